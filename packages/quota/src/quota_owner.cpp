#include "boragegauge/quota_owner.h"

#include <algorithm>
#include <cmath>

namespace bg::quota {

namespace {

/// Between two searches for buckets that need not be kept.
constexpr Duration kRemovalInterval = std::chrono::seconds(2);
/// A bucket that is not refilled, or only slowly, has a token again after this long for all that
/// callers can use.
constexpr double kMaxRetryAfterSeconds = 60;
/// Avoids a Retry-After of 0, which means none.
constexpr double kMinRetryAfterSeconds = 0.001;

double ToSeconds(Duration aPeriod)
{
  return std::chrono::duration<double>(aPeriod).count();
}

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

QuotaOwner::QuotaOwner(QuotaOwnerInit aInit)
  : init_(std::move(aInit))
  , reach_(init_.startedAt, init_.isFirstStart)
  , seed_(Hash64(init_.self))
  , updatedAt_(init_.startedAt)
{
}

void QuotaOwner::SetFleet(size_t aHosts, size_t aOwners, bool aIsOwner)
{
  reach_.SetMembers(aHosts, aIsOwner);
  owners_ = std::max<size_t>(1, aOwners);
  isOwner_ = aIsOwner;
}

double QuotaOwner::Phase(std::string_view aAccount) const
{
  constexpr uint64_t kSteps = 1024;
  return static_cast<double>(Hash64(aAccount, seed_) % kSteps) / static_cast<double>(kSteps);
}

double QuotaOwner::OwnersStart(const Limits& aLimits) const
{
  return isOwner_ ? init_.bounds.Overshoot(aLimits) * kOwnersPart / static_cast<double>(owners_)
                  : 0;
}

double QuotaOwner::Start(const Limits& aLimits, double aShare) const
{
  return init_.bounds.Overshoot(aLimits) * kStartPart * std::min(1.0, 2 * aShare);
}

double QuotaOwner::Capacity(const Limits& aLimits, double aShare) const
{
  const double burst = aLimits.burst + init_.bounds.slack * kBurstSlackPart;
  return std::max(burst, 1.0) * aShare + OwnersStart(aLimits);
}

void QuotaOwner::Fill(Bucket& aBucket,
                      size_t aPartition,
                      const Limits& aLimits,
                      TimePoint aNow) const
{
  const double reached = reach_.ReachedShare(aPartition, aNow);
  aBucket.level +=
    aLimits.perSecond * reach_.Share(aPartition, aNow) * ToSeconds(aNow - aBucket.updatedAt);
  if (reached > aBucket.startShare) {
    aBucket.level += Start(aLimits, reached) - Start(aLimits, aBucket.startShare);
    aBucket.startShare = reached;
  }
  aBucket.level = std::min(aBucket.level, Capacity(aLimits, reached));
  aBucket.updatedAt = aNow;
}

QuotaOwner::Bucket& QuotaOwner::Refill(const std::string& aAccount,
                                       const Limits& aLimits,
                                       TimePoint aNow)
{
  const size_t partition = PartitionOf(aAccount);
  const auto [found, isNew] = buckets_.try_emplace(aAccount);
  Bucket& bucket = found->second;
  if (isNew) { // As if it had existed, unused, since the hosts use this host.
    bucket.level = OwnersStart(aLimits);
    bucket.updatedAt = aNow - reach_.Age(partition, aNow);
  }
  Fill(bucket, partition, aLimits, aNow);
  return bucket;
}

TokenAnswer QuotaOwner::Grant(const TokenRequest& aRequest, TimePoint aNow)
{
  TokenAnswer answer;
  answer.account = aRequest.account;
  answer.id = aRequest.id;
  const std::optional<Limits> limits = init_.limits(aRequest.account);
  if (!limits) {
    answer.isKnown = false;
    return answer;
  }
  if (!limits->HasLimit()) {
    answer.granted = aRequest.wanted;
    return answer;
  }
  Bucket& bucket = Refill(aRequest.account, *limits, aNow);
  bucket.level += aRequest.returned;
  const double available = bucket.level + Phase(aRequest.account);
  const auto tokens = static_cast<uint32_t>(std::clamp(std::floor(available), 0.0, 1e6));
  answer.granted = std::min(aRequest.wanted, tokens);
  if (answer.granted < aRequest.wanted) {
    const double rate =
      limits->perSecond * reach_.ReachedShare(PartitionOf(aRequest.account), aNow);
    const double missing = 1 - (available - answer.granted);
    answer.retryAfter = FromSeconds(std::clamp(rate > 0 ? missing / rate : kMaxRetryAfterSeconds,
                                               kMinRetryAfterSeconds,
                                               kMaxRetryAfterSeconds));
  } else { // All hosts together half of the rest at most, so that requests elsewhere find tokens.
    const size_t hosts = std::max<size_t>(1, reach_.Counted(PartitionOf(aRequest.account)));
    const size_t rest = (tokens - answer.granted) / (2 * hosts);
    answer.granted += static_cast<uint32_t>(std::min<size_t>(aRequest.ahead, rest));
  }
  bucket.level -= answer.granted;
  return answer;
}

OwnerAnswer QuotaOwner::Handle(std::string_view aHost, const OwnerRequest& aRequest, TimePoint aNow)
{
  Update(aNow);
  reach_.Record(aHost, aRequest.used, aRequest.handedOver, aNow);
  OwnerAnswer answer;
  for (const TokenRequest& item : aRequest.items) {
    TokenAnswer granted = Grant(item, aNow);
    if (item.id != 0) {
      answer.items.push_back(std::move(granted));
    }
  }
  return answer;
}

void QuotaOwner::Update(TimePoint aNow)
{
  const Duration gap = aNow - std::exchange(updatedAt_, aNow);
  if (gap >= kMinPause) {
    ++pauses_;
    reach_.Reset(aNow);
    for (auto& [account, bucket] : buckets_) {
      const std::optional<Limits> limits = init_.limits(account);
      bucket.level = std::min(bucket.level, limits ? OwnersStart(*limits) : 0);
      bucket.updatedAt = aNow;
      bucket.startShare = 0;
    }
  }
  reach_.Update(aNow);
  RemoveFullBuckets(aNow);
}

/// A bucket that is full again is the same as one that was never used.
void QuotaOwner::RemoveFullBuckets(TimePoint aNow)
{
  if (aNow < nextRemoval_) {
    return;
  }
  nextRemoval_ = aNow + kRemovalInterval;
  for (auto next = buckets_.begin(); next != buckets_.end();) {
    const std::optional<Limits> limits = init_.limits(next->first);
    bool isRemoved = !limits || !limits->HasLimit();
    if (!isRemoved) {
      const size_t partition = PartitionOf(next->first);
      Fill(next->second, partition, *limits, aNow);
      isRemoved = next->second.level >= Capacity(*limits, reach_.ReachedShare(partition, aNow));
    }
    next = isRemoved ? buckets_.erase(next) : std::next(next);
  }
}

} // namespace bg::quota
