#include "boragegauge/host_reach.h"

#include <algorithm>

namespace bg::quota {

namespace {

/// Age of the partitions of an owner at the first start of a fleet: its buckets are full.
constexpr Duration kFullAge = std::chrono::hours(1);

} // namespace

size_t PartitionOf(std::string_view aAccount)
{
  return Hash64(aAccount) % kPartitions;
}

double Bounds::Nominal(const Limits& aLimits) const
{
  return aLimits.perSecond * std::chrono::duration<double>(window).count() + aLimits.burst;
}

double Bounds::Overshoot(const Limits& aLimits) const
{
  return Nominal(aLimits) * overshoot + slack;
}

HostReach::HostReach(TimePoint aStartedAt, bool aIsFirstStart)
  : startedAt_(aStartedAt)
  , isFirstStart_(aIsFirstStart)
{
}

bool HostReach::IsFirstStart(TimePoint aNow) const
{
  return isFirstStart_ && aNow - startedAt_ < kFirstStartPeriod;
}

void HostReach::SetPartitions(Host& aHost,
                              const Partitions& aCounted,
                              const Partitions& aPending,
                              TimePoint aNow)
{
  if (aHost.counted == aCounted && aHost.pending == aPending) {
    return;
  }
  for (size_t i = 0; i < kPartitions; ++i) {
    Partition& partition = partitions_[i];
    const bool wasCounted = aHost.counted.test(i);
    if (aCounted.test(i) && !wasCounted) {
      if (IsFirstStart(aNow)) {
        partition.since = startedAt_ - kFullAge;
      } else if (partition.counted == 0) {
        partition.since = aNow;
      } else { // The age shrinks as the share grows, so that nothing is granted for the past.
        partition.since =
          aNow - (aNow - partition.since) * partition.counted / (partition.counted + 1);
      }
      ++partition.counted;
    } else if (wasCounted && !aCounted.test(i)) {
      --partition.counted;
    }
    partition.pending += aPending.test(i) ? 1 : 0;
    partition.pending -= aHost.pending.test(i) ? 1 : 0;
  }
  aHost.counted = aCounted;
  aHost.pending = aPending;
}

void HostReach::Record(std::string_view aHost,
                       const Partitions& aUsed,
                       const Partitions& aHandedOver,
                       TimePoint aNow)
{
  Host& host = hosts_.try_emplace(std::string(aHost)).first->second;
  host.lastMessageAt = aNow;
  const Partitions atOnce = IsFirstStart(aNow) ? aUsed : aUsed & aHandedOver;
  const Partitions pending = aUsed & ~host.counted & ~atOnce;
  if ((pending & ~host.pending).any()) {
    host.pendingUntil = aNow + kMaturity;
  }
  SetPartitions(host, (host.counted & aUsed) | atOnce, pending, aNow);
}

void HostReach::Remove(std::string_view aHost, TimePoint aNow)
{
  if (const auto found = hosts_.find(aHost); found != hosts_.end()) {
    SetPartitions(found->second, {}, {}, aNow);
    hosts_.erase(found);
  }
}

void HostReach::Update(TimePoint aNow)
{
  for (auto& [name, host] : hosts_) {
    if (aNow - host.lastMessageAt > kReachPeriod) {
      SetPartitions(host, {}, {}, aNow);
    } else if (host.pending.any() && aNow >= host.pendingUntil) {
      SetPartitions(host, host.counted | host.pending, {}, aNow);
    }
  }
}

void HostReach::Reset(TimePoint aNow)
{
  for (auto& [name, host] : hosts_) {
    SetPartitions(host, {}, {}, aNow);
    host.lastMessageAt = aNow;
  }
}

size_t HostReach::Hosts(TimePoint aNow) const
{
  if (!isOwner_ || aNow - startedAt_ < kPresencePeriod) { // Not all have sent a message.
    return std::max(members_, hosts_.size());
  }
  const auto present = std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& aEntry) {
    return aNow - aEntry.second.lastMessageAt < kPresencePeriod;
  });
  return std::max<size_t>(1, static_cast<size_t>(present));
}

double HostReach::Share(size_t aPartition, TimePoint aNow) const
{
  const size_t counted = std::max<size_t>(1, partitions_[aPartition].counted);
  return std::min(1.0, static_cast<double>(counted) / static_cast<double>(Hosts(aNow)));
}

double HostReach::ReachedShare(size_t aPartition, TimePoint aNow) const
{
  const Partition& partition = partitions_[aPartition];
  const size_t reached = std::max<size_t>(1, partition.counted + partition.pending);
  return std::min(1.0, static_cast<double>(reached) / static_cast<double>(Hosts(aNow)));
}

Duration HostReach::Age(size_t aPartition, TimePoint aNow) const
{
  const Partition& partition = partitions_[aPartition];
  return partition.counted == 0 ? Duration(0) : aNow - partition.since;
}

} // namespace bg::quota
