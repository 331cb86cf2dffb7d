#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "boragegauge/fleet.h"

namespace bg::fleet::detail {

/// The difference between two states of the registry.
struct RegistryChange
{
  std::vector<RegisteredUpstream> changed; ///< New or updated upstreams.
  std::vector<std::string> removed;
  /// Last reports of the removed upstreams, so that hosts reject older ones.
  std::vector<RegisteredUpstream> lastReports;

  bool Empty() const { return changed.empty() && removed.empty(); }
};

/// A written or deleted entry of the store.
struct EntryChange
{
  std::string id;
  std::optional<RegisteredUpstream> upstream; ///< Absent: the entry was deleted or is unreadable.
};

struct RegistryInit
{
  /// After an outage or a restore of the store, missing entries are kept for this long, so that
  /// upstreams whose entries have expired or were lost can register again.
  Duration reregistrationGrace = Milliseconds(2200);
  /// Time without a read of the store that counts as an outage if there were signs of one, see
  /// RecordStoreTrouble(). Entries that are missing after it may have expired although their
  /// upstreams are still running.
  Duration outageThreshold = Milliseconds(3500);
  /// Interval between reads of all entries, in case a change was missed. Reads between them fetch
  /// only the changes.
  Duration fullReadInterval = std::chrono::seconds(20);
  /// A host whose last read is older than this reads all entries, because the peer that read the
  /// store in the meantime may have kept missing entries after an outage.
  Duration maxReadGap = std::chrono::seconds(2);
  /// How long tombstones of removed upstreams are kept. A write whose response was lost may still
  /// take effect several seconds later.
  Duration tombstonePeriod = std::chrono::seconds(30);
};

/// The registered upstreams as read from the store or received from peers.
///
/// States are ordered by the position of the store; an older state never replaces a newer one.
/// After a restore of the store, entries that are missing from the copy are kept until their
/// upstreams can write them again, and the copy brings back neither older reports nor earlier runs.
/// Reports of one run of an upstream are ordered by their sequence number, because the store may
/// perform writes late and out of order.
class Registry
{
public:
  explicit Registry(RegistryInit aInit = {});

  /// Replaces the state by all entries of the store, as read by this host.
  RegistryChange ApplySnapshot(std::span<const EntryChange> aEntries,
                               StorePosition aPosition,
                               TimePoint aNow);

  /// Whether it suffices to read the changes since Position(); otherwise all entries must be read.
  bool CanReadChanges(TimePoint aNow) const;
  void RequireFullRead() { lastFullRead_ = TimePoint{}; }
  /// Records a sign that the store does not respond: a failed call of this or another host, or a
  /// pause of the process, in which it could not see an outage.
  void RecordStoreTrouble(TimePoint aAt) { storeTroubleAt_ = std::max(storeTroubleAt_, aAt); }
  /// Applies the changes in the store since Position(), as read by this host, in their order. An
  /// entry may occur more than once.
  RegistryChange ApplyChanges(std::span<const EntryChange> aChanges,
                              StorePosition aPosition,
                              TimePoint aNow);

  /// Applies changes or a full snapshot from a peer. Of a view with the same digest only newer
  /// reports are taken.
  /// @param aDigest Digest() of the peer.
  /// @param aFreshAt When the state of the peer was last confirmed to be the newest.
  /// @param aLocalChange Set to the resulting change of this registry.
  /// @return False if the state still differs from the peer's, so that a full snapshot is needed.
  bool ApplyPeerView(const RegistryChange& aChange,
                     bool aIsSnapshot,
                     StorePosition aPosition,
                     uint64_t aDigest,
                     TimePoint aFreshAt,
                     TimePoint aNow,
                     RegistryChange& aLocalChange);

  const std::map<std::string, RegisteredUpstream, std::less<>>& Upstreams() const
  {
    return upstreams_;
  }
  const RegisteredUpstream* Find(std::string_view aId) const;
  /// False until the first read of the store or view of a peer.
  bool HasState() const { return hasState_; }
  /// Position of the store that the state reflects.
  StorePosition Position() const { return position_; }
  /// When the state was last confirmed to be the newest of the store.
  TimePoint FreshAt() const { return freshAt_; }
  /// Digest of all upstreams, independent of their order, without sequence and warm-up time.
  uint64_t Digest() const { return digest_; }
  /// End of the warm-up of an upstream, during which it is slower than usual.
  TimePoint WarmupEnd(std::string_view aId) const;

private:
  /// Identifies the last report of a removed upstream, so that older reports are rejected.
  struct Tombstone
  {
    int64_t startedAtMs = 0;
    uint64_t sequence = 0;
    TimePoint expiresAt{};
  };

  void Upsert(const RegisteredUpstream& aUpstream, TimePoint aNow, RegistryChange& aChange);
  void Remove(const std::string& aId, TimePoint aNow, RegistryChange& aChange);
  /// Records the last report of an upstream that was removed.
  void RecordLastReport(const RegisteredUpstream& aUpstream, TimePoint aNow);
  /// Whether a newer report of the upstream is known.
  bool IsStale(const RegisteredUpstream& aUpstream, TimePoint aNow) const;
  /// Records the run that a new one of the same upstream follows.
  void RecordEarlierRun(const RegisteredUpstream& aUpstream, TimePoint aNow);
  /// Records a read of the store. @return False if the state is already newer than the response.
  bool RecordRead(StorePosition aPosition, TimePoint aNow);
  /// Starts the time in which upstreams write lost entries again, if the epoch is new.
  void EnterEpoch(uint64_t aEpoch, TimePoint aNow);
  void RemoveMissing(TimePoint aNow, RegistryChange& aChange);

  RegistryInit init_;
  std::map<std::string, RegisteredUpstream, std::less<>> upstreams_;
  std::map<std::string, TimePoint, std::less<>> warmupEnd_;
  uint64_t digest_ = 0;
  StorePosition position_;
  bool hasState_ = false;
  TimePoint freshAt_{};
  TimePoint storeTroubleAt_{};    ///< See RecordStoreTrouble().
  TimePoint lastRead_{};          ///< Last read of the store by this host.
  TimePoint lastFullRead_{};      ///< Last read of all entries; reset by RequireFullRead().
  TimePoint reregistrationEnd_{}; ///< Until then missing entries are kept after an outage.
  TimePoint restoreEnd_{};        ///< The same after a restore of the store.
  std::set<std::string, std::less<>>
    missingFromStore_; ///< Upstreams kept without an entry in the store.
  std::map<std::string, Tombstone, std::less<>> tombstones_;
  /// Runs that were followed by one that started later, by upstream and start; until when their
  /// reports are ignored, which the store may write late.
  std::map<std::pair<std::string, int64_t>, TimePoint> earlierRuns_;
};

} // namespace bg::fleet::detail
