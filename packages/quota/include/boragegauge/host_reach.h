#pragma once

#include <array>
#include <map>

#include "boragegauge/quota.h"

namespace bg::quota {

/// How many hosts use this host as the owner of each partition. An owner grants its accounts the
/// share of their limits that these hosts have of all hosts, so that owners that act at the same
/// time divide a limit and do not copy it.
class HostReach
{
public:
  /// Interval between the messages of a host to an owner that it has no requests for.
  static constexpr Duration kHeartbeatInterval = Milliseconds(400);
  /// A host counts until this long after its last message. It is one of many, so that the loss of a
  /// heartbeat matters little.
  static constexpr Duration kReachPeriod = Milliseconds(600);
  /// A host whose previous owner does not know of it counts from this long after its first message,
  /// because that owner may still count it. Shorter than kReachPeriod: usually that owner has
  /// stopped, and callers would be rejected meanwhile. The difference is paid from the overshoot:
  /// at most 0.45 s of the rate, where 0.5 s and a tenth of the burst are allowed.
  static constexpr Duration kMaturity = Milliseconds(150);
  /// A host that was silent for this long is gone and its share is free. Twice the longest
  /// partition that the deployments allow for.
  static constexpr Duration kPresencePeriod = std::chrono::seconds(10);
  /// On the first start of a fleet, hosts count at once for this long: there are no previous
  /// owners.
  static constexpr Duration kFirstStartPeriod = std::chrono::seconds(5);

  HostReach(TimePoint aStartedAt, bool aIsFirstStart);

  /// Records a message of a host. @param aUsed, aHandedOver See OwnerRequest.
  void Record(std::string_view aHost,
              const Partitions& aUsed,
              const Partitions& aHandedOver,
              TimePoint aNow);
  /// Removes a host that has announced its stop.
  void Remove(std::string_view aHost, TimePoint aNow);
  /// Applies what has changed by the passage of time.
  void Update(TimePoint aNow);
  /// Forgets which hosts use this host, after a pause of the process.
  void Reset(TimePoint aNow);
  /// Sets the number of hosts that are known to the fleet, running or not.
  /// @param aIsOwner All hosts send heartbeats to this one, so that it knows which are running.
  void SetMembers(size_t aCount, bool aIsOwner)
  {
    members_ = aCount;
    isOwner_ = aIsOwner;
  }

  /// Share of the hosts that use this host for a partition; at least that of one host.
  double Share(size_t aPartition, TimePoint aNow) const;
  /// The same with the hosts that do not count yet.
  double ReachedShare(size_t aPartition, TimePoint aNow) const;
  /// How long this host would have had its share of now to have been granted as much as it was.
  Duration Age(size_t aPartition, TimePoint aNow) const;
  size_t Counted(size_t aPartition) const { return partitions_[aPartition].counted; }

private:
  struct Host
  {
    Partitions counted;
    Partitions pending; ///< Used, but not counted yet.
    TimePoint pendingUntil{};
    TimePoint lastMessageAt{};
  };
  struct Partition
  {
    uint32_t counted = 0;
    uint32_t pending = 0;
    TimePoint since{}; ///< See Age().
  };

  /// Changes the partitions of a host and the counts by them.
  void SetPartitions(Host& aHost,
                     const Partitions& aCounted,
                     const Partitions& aPending,
                     TimePoint aNow);
  bool IsFirstStart(TimePoint aNow) const;
  size_t Hosts(TimePoint aNow) const;

  TimePoint startedAt_;
  bool isFirstStart_;
  size_t members_ = 1;
  bool isOwner_ = true;
  std::map<std::string, Host, std::less<>> hosts_;
  std::array<Partition, kPartitions> partitions_;
};

} // namespace bg::quota
