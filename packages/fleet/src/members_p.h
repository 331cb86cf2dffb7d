#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/base.h"

namespace bg::fleet::detail {

/// A host of the fleet.
struct Member
{
  std::string host;
  std::string address;
  uint16_t port = 0;
  std::string failureDomain;
  uint64_t incarnation = 0; ///< Wall clock at the start of the process, in ms.
  uint32_t capacity = 0;    ///< CPU capacity, in percent of a core.
  uint16_t relayPort = 0;   ///< See FleetInit::relayPort.
};

/// Key of a process of a host: hash of its name and incarnation.
uint64_t ProcessKey(std::string_view aHost, uint64_t aIncarnation);

struct MembersInit
{
  Member self;
  /// Backoff of a host that did not respond in time; doubles from the minimum to the maximum.
  Duration minSuspectPeriod = std::chrono::seconds(1);
  Duration maxSuspectPeriod = std::chrono::seconds(16);
};

/// The hosts of the fleet, which of them respond, and which one allocates the slots of a shard.
class Members
{
public:
  explicit Members(MembersInit aInit);

  /// Adds a member or replaces an earlier incarnation of it. @return True if its address is new.
  bool Add(const Member& aMember);
  /// Records a message from the member.
  void RecordMessage(std::string_view aHost, TimePoint aNow);
  /// Records that the member did not respond in time. It is not used as an allocator for a period
  /// that doubles with each timeout.
  void RecordTimeout(std::string_view aHost, TimePoint aNow);
  /// Records that the member is stopping. It is used as an allocator only if no other host is
  /// available, this one until it ends and another one for a while.
  void RecordLeaving(std::string_view aHost, TimePoint aNow);
  bool IsLeaving(std::string_view aHost, TimePoint aNow) const;

  const Member* Find(std::string_view aHost) const;
  /// Returns the member whose known process has a key, or null. @param aKey See ProcessKey().
  const Member* FindProcess(uint64_t aKey) const;
  /// Records that a process of a member has all data of this host, so that messages to it need not
  /// contain them. It holds until the member restarts, stops or does not respond in time.
  void RecordKnownBy(std::string_view aHost, uint64_t aIncarnation);
  /// For a new connection to the member.
  void ForgetKnownBy(std::string_view aHost);
  bool IsKnownBy(std::string_view aHost) const;
  const Member& Self() const { return init_.self; }
  /// Number of hosts, including this one.
  size_t Count() const { return members_.size(); }
  /// Records that the member uses this host as an allocator, or would if the one before it stopped.
  void RecordClient(std::string_view aHost, TimePoint aNow);
  /// Number of such hosts within aPeriod, including this one.
  size_t CountClients(Duration aPeriod, TimePoint aNow) const;
  std::vector<Member> All() const;
  /// Digest of the names and addresses of all members, independent of their order.
  uint64_t Digest() const { return digest_; }
  /// Candidates for the allocator of a shard, best first, without suspects. This host itself is
  /// never a suspect. Hosts that are stopping are candidates only if there is no other one: if all
  /// stop together, they still agree on one allocator. Hosts with the largest CPU capacity rank
  /// first, because a small host may be too slow for a shard.
  std::vector<std::string> Allocators(std::string_view aShard, size_t aCount, TimePoint aNow);

private:
  struct Entry
  {
    Member member;
    TimePoint lastMessageAt{};
    TimePoint lastClientAt{};    ///< See RecordClient().
    bool hasSentMessage = false; ///< Since it joined or announced its stop.
    TimePoint suspectUntil{};    ///< Not used as an allocator until then.
    TimePoint leavingUntil{};    ///< See RecordLeaving().
    Duration suspectPeriod{ 0 };
    bool knowsSelf = false; ///< See RecordKnownBy().
  };

  /// Hosts in the order of their rank for a shard, as far as they were needed.
  struct Ranking
  {
    std::vector<std::string> hosts;
    size_t classes = 0; ///< Capacity classes that hosts contains, the largest ones.
  };

  static uint64_t DigestOf(const Member& aMember);
  /// The first hosts of the ranking of a shard that fulfil a condition.
  std::vector<std::string> SelectRanked(std::string_view aShard,
                                        size_t aCount,
                                        const std::function<bool(const Entry&)>& aMaySelect);
  /// Ranks the hosts of the next capacity class. @return False if there is none.
  bool ExtendRanking(std::string_view aShard, Ranking& aRanking) const;

  MembersInit init_;
  std::map<std::string, Entry, std::less<>> members_;
  std::map<std::string, Ranking, std::less<>> rankings_; ///< By shard.
  /// Hosts by capacity class, the largest first.
  std::map<uint32_t, std::vector<std::string>, std::greater<>> classes_;
  uint64_t digest_ = 0;
  std::unordered_map<uint64_t, std::string> processes_; ///< Hosts by ProcessKey().
};

} // namespace bg::fleet::detail
