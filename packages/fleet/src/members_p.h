#pragma once

#include <map>
#include <string>
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
};

struct MembersInit
{
  Member self;
  Duration heartbeatTimeout =
    Milliseconds(2500); ///< A domain peer is down without a message for so long.
  /// Backoff of a host that did not respond in time; doubles from the minimum to the maximum.
  Duration minSuspectPeriod = std::chrono::seconds(1);
  Duration maxSuspectPeriod = std::chrono::seconds(16);
  size_t peersPerOtherDomain = 2; ///< Size of CrossDomainPeers() per domain.
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
  /// Records that the member is stopping. It is not used as an allocator for a while.
  void RecordLeaving(std::string_view aHost, TimePoint aNow);

  const Member* Find(std::string_view aHost) const;
  const Member& Self() const { return init_.self; }
  /// Number of hosts, including this one.
  size_t Count() const { return members_.size(); }
  std::vector<Member> All() const;
  /// The other hosts of this host's failure domain.
  std::vector<std::string> DomainPeers() const;
  /// A few hosts of each other failure domain, to which this host sends its state. Hosts that were
  /// not suspects recently come first.
  std::vector<std::string> CrossDomainPeers() const;
  /// Rank among the hosts of this failure domain with a recent heartbeat; 0 is the first.
  size_t LiveRank(TimePoint aNow) const;
  /// Rank among all hosts of this failure domain, whether they are running or not.
  size_t StaticRank() const;
  /// Rank of this host's failure domain among the domains of all members.
  size_t DomainRank() const;
  /// Candidates for the allocator of a shard, best first, without suspects. This host itself is
  /// never a suspect. Hosts with the largest CPU capacity rank first, because a small host may be
  /// too slow for a shard.
  std::vector<std::string> Allocators(std::string_view aShard, size_t aCount, TimePoint aNow);

private:
  struct Entry
  {
    Member member;
    TimePoint lastMessageAt{};
    bool hasSentMessage = false; ///< Since it joined or announced its stop.
    TimePoint suspectUntil{};    ///< Not used as an allocator until then.
    Duration suspectPeriod{ 0 };
  };

  MembersInit init_;
  std::map<std::string, Entry, std::less<>> members_;
  std::map<std::string, std::vector<std::string>, std::less<>> ranking_; ///< By shard.
};

} // namespace bg::fleet::detail
