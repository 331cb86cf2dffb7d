#include <algorithm>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Share of the budget that is granted. The rest is a reserve, because arrivals at the upstreams
/// lag behind the grants, and what killed hosts had spent is estimated.
constexpr double kGrantableShare = 0.9;
/// Requests of an older report are not counted, because some of them have left the window.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);

} // namespace

RetryUsage::RetryUsage(Duration aWindow)
  : bucketLength_(aWindow / kBuckets)
{
}

void RetryUsage::Add(const RetryCounts& aCounts, TimePoint aNow)
{
  const int64_t index = aNow.time_since_epoch() / bucketLength_;
  Bucket& bucket = buckets_[static_cast<size_t>(index) % kBuckets];
  if (bucket.index != index) {
    bucket = { index, {} };
  }
  bucket.counts.requests += aCounts.requests;
  bucket.counts.retries += aCounts.retries;
}

RetryCounts RetryUsage::At(TimePoint aNow) const
{
  const int64_t current = aNow.time_since_epoch() / bucketLength_;
  RetryCounts total;
  for (const Bucket& bucket : buckets_) {
    if (bucket.index > current - static_cast<int64_t>(kBuckets)) {
      total.requests += bucket.counts.requests;
      total.retries += bucket.counts.retries;
    }
  }
  return total;
}

RetryBudget::RetryBudget(const Init& aInit)
  : init_(aInit)
  , usage_(aInit.window)
{
}

void RetryBudget::OnRequest(TimePoint aNow)
{
  usage_.Add({ 1, 0 }, aNow);
}

void RetryBudget::SetStart(TimePoint aStartedAt)
{
  startedAt_ = aStartedAt;
}

void RetryBudget::SetElsewhere(uint64_t aHost,
                               const RetryCounts& aCounts,
                               bool aIsComplete,
                               TimePoint aNow)
{
  elsewhere_.insert_or_assign(aHost, Report{ aCounts, aIsComplete, aNow });
}

double RetryBudget::Left(const Share& aShare, TimePoint aNow, double aBudgetShare)
{
  std::erase_if(elsewhere_,
                [&](const auto& aEntry) { return aNow - aEntry.second.at > init_.window; });
  size_t complete = 0;
  double known = 0; // What hosts that know all of the window have left elsewhere; negative: a debt.
  double partial = 0; // The same of those that do not.
  bool isOnlyHolder = true;
  for (const auto& [host, report] : elsewhere_) {
    const bool isRecent = aNow - report.at <= kMaxReportAge;
    const double left = kGrantableShare * init_.ratio * (isRecent ? report.counts.requests : 0) -
                        report.counts.retries;
    (report.isComplete ? known : partial) += left;
    complete += report.isComplete ? 1 : 0;
    isOnlyHolder = isOnlyHolder && report.counts.requests + report.counts.retries == 0;
  }
  if (complete == 0 && aNow - startedAt_ < init_.window) {
    return 0;
  }
  // Hosts that have not reported, or do not know what they had spent before they were killed, are
  // taken to owe as much as the others, and to have their part of the slack spent.
  const double scale = static_cast<double>(std::max(aShare.hosts, complete)) /
                       static_cast<double>(std::max<size_t>(1, complete));
  const RetryCounts own = usage_.At(aNow);
  const double slack = kGrantableShare * init_.slack * aShare.slack / (isOnlyHolder ? 1 : scale);
  const double budget = kGrantableShare * init_.ratio * own.requests + slack + partial +
                        known * (known < 0 ? scale : 1);
  return budget * aBudgetShare - own.retries;
}

bool RetryBudget::TryTake(const Share& aShare, TimePoint aNow, double aBudgetShare)
{
  if (Left(aShare, aNow, aBudgetShare) < 1) {
    return false;
  }
  usage_.Add({ 0, 1 }, aNow);
  return true;
}

double RetryBudget::UsedShare(const Share& aShare, TimePoint aNow) const
{
  const RetryCounts own = usage_.At(aNow);
  const double budget = kGrantableShare * (init_.ratio * own.requests + init_.slack * aShare.slack);
  return budget > 0 ? own.retries / budget : 1;
}

double RetryBudget::PerSecond(const Share& aShare, TimePoint aNow) const
{
  const double budget =
    kGrantableShare * (init_.ratio * usage_.At(aNow).requests + init_.slack * aShare.slack);
  return budget / std::chrono::duration<double>(init_.window).count();
}

} // namespace bg::placement
