#include <algorithm>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Share of the budget that is granted. The rest is a reserve, because arrivals at the upstreams
/// lag behind the grants, and a replaced allocator may have granted some of the retries.
constexpr double kGrantableShare = 0.9;

} // namespace

RetryWindow::RetryWindow(const Init& aInit)
  : init_(aInit)
{
}

RetryWindow::Bucket& RetryWindow::BucketAt(TimePoint aNow)
{
  const Duration length = init_.window / kBuckets;
  const int64_t index = aNow.time_since_epoch() / length;
  Bucket& bucket = buckets_[static_cast<size_t>(index) % kBuckets];
  if (bucket.index != index) {
    bucket = { index, 0, 0 };
  }
  return bucket;
}

void RetryWindow::OnRequest(TimePoint aNow)
{
  ++BucketAt(aNow).requests;
}

bool RetryWindow::TryTake(size_t aWindowCount, TimePoint aNow, double aBudgetShare)
{
  Bucket& current = BucketAt(aNow);
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.index > current.index - static_cast<int64_t>(kBuckets)) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
  }
  const double windowCount = static_cast<double>(std::max<size_t>(1, aWindowCount));
  const double allowed =
    kGrantableShare * aBudgetShare * (init_.ratio * requests + init_.slack / windowCount);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

} // namespace bg::placement
