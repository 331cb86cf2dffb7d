#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "boragegauge/fleet.h"

namespace bg::fleet::detail {

/// A difference between two states of the registry.
struct RegistryChange
{
  std::vector<RegisteredUpstream> changed; ///< New or different.
  std::vector<std::string> removed;

  bool Empty() const { return changed.empty() && removed.empty(); }
};

/// A change of one entry of the store.
struct EntryChange
{
  std::string id;
  std::optional<RegisteredUpstream> upstream; ///< None: deleted, or names no upstream any more.
};

struct RegistryInit
{
  /// After an outage of the store, entries that lapsed meanwhile have this long to return.
  Duration lapseGrace = Milliseconds(2200);
  /// Without a read for so long, missing entries may have lapsed rather than left.
  Duration outageLimit = Milliseconds(3500);
  /// Changes are read for so long before all entries are read again, in case one was missed.
  Duration fullInterval = std::chrono::seconds(20);
  /// A host that has not read for so long reads all entries: it does not know which ones another
  /// reader kept after an outage.
  Duration mergeLimit = std::chrono::seconds(2);
  /// A write whose answer was lost may still take effect several seconds later.
  Duration goneMemory = std::chrono::seconds(30);
};

/// The registered upstreams as read from the store or heard from peers.
///
/// States are ordered by the store's version; an older one never replaces a newer one. Reports of
/// one run of an upstream are ordered by their sequence, because the store may perform a write
/// late.
class Registry
{
public:
  explicit Registry(RegistryInit aInit = {});

  /// Takes all entries of the store, read by this host.
  RegistryChange Replace(std::span<const EntryChange> aEntries, uint64_t aVersion, TimePoint aNow);

  /// Whether changes since Version() are enough, or all entries have to be read.
  bool CanMerge(TimePoint aNow) const;
  void RequireFullRead() { lastFull_ = TimePoint{}; }
  /// Takes the changes in the store since Version(), in their order, read by this host. An entry
  /// may change more than once.
  RegistryChange Merge(std::span<const EntryChange> aChanges, uint64_t aVersion, TimePoint aNow);

  /// Takes a peer's changes, or its whole state.
  /// @param aFreshAt When the peer's state was the newest one.
  /// @param aEffect Set to what has changed here.
  /// @return False when the state then differs from the peer's, so that the whole state is needed.
  bool Apply(const RegistryChange& aChange,
             bool aFull,
             uint64_t aVersion,
             uint64_t aDigest,
             TimePoint aFreshAt,
             TimePoint aNow,
             RegistryChange& aEffect);

  const std::map<std::string, RegisteredUpstream, std::less<>>& Upstreams() const
  {
    return upstreams_;
  }
  const RegisteredUpstream* Find(std::string_view aId) const;
  bool IsKnown() const { return isKnown_; }
  uint64_t Version() const { return version_; }
  TimePoint LastFresh() const { return lastFresh_; }
  uint64_t Digest() const;
  /// When an upstream stops being slower than usual after its start.
  TimePoint ColdUntil(std::string_view aId) const;

private:
  /// The last report of an upstream that is gone.
  struct Gone
  {
    int64_t startedAtMs = 0;
    uint64_t sequence = 0;
    TimePoint forgetAt{};
  };

  void Set(const RegisteredUpstream& aUpstream, TimePoint aNow, RegistryChange& aChange);
  void Remove(const std::string& aId, TimePoint aNow, RegistryChange& aChange);
  bool IsOvertaken(const RegisteredUpstream& aUpstream) const;
  /// Notes a read of the store. @return False when the answer was overtaken by a later one.
  bool NoteRead(uint64_t aVersion, TimePoint aNow);
  void RemoveMissing(TimePoint aNow, RegistryChange& aChange);

  RegistryInit init_;
  std::map<std::string, RegisteredUpstream, std::less<>> upstreams_;
  std::map<std::string, TimePoint, std::less<>> coldUntil_;
  uint64_t version_ = 0;
  bool isKnown_ = false;
  TimePoint lastFresh_{};
  TimePoint lastRead_{};   ///< By this host.
  TimePoint lastFull_{};   ///< Last read of all entries; none since a peer's whole state.
  TimePoint lapseUntil_{}; ///< Missing entries are kept until then, after an outage.
  std::set<std::string, std::less<>> missing_; ///< Kept although the store has no entry.
  std::map<std::string, Gone, std::less<>> gone_;
};

/// When a host reads the store. The hosts of the fleet share what they read, so that each waits for
/// its turn: the first host of the first failure domain reads, others only when nothing fresh
/// comes.
struct ReadSchedule
{
  Duration interval = Milliseconds(500); ///< Of the first host.
  Duration step = Milliseconds(120);     ///< For each rank of the host and of its domain.
  size_t maxRank = 4;                    ///< Hosts beyond it read only in need.
  Duration needDelay = std::chrono::seconds(3);
  Duration minPause = Milliseconds(400); ///< After a failed read; doubles with each.
  Duration maxPause = Milliseconds(1600);

  /// Time that this host waits for others.
  Duration Delay(size_t aRank, size_t aDomainRank) const;
  /// The next time to read, given the last fresh state and the failures since the last success.
  TimePoint Next(Duration aDelay,
                 TimePoint aLastFresh,
                 TimePoint aLastFailure,
                 uint32_t aFailures) const;
};

} // namespace bg::fleet::detail
