#include <algorithm>

#include "boragegauge/body_bytes.h"

namespace bg::placement {

namespace {

/// Bytes of request bodies that an upstream may hold. Bodies of usual requests have a few KB, so
/// that the slots of an upstream are used up before; bodies of the largest usual size (1 MB) go to
/// different upstreams.
constexpr size_t kMaxBodyBytesInFlight = 1UL << 20;
/// A body counts for no more than this when its place is sought, so that one over the limit finds
/// an upstream that runs small requests all the time.
constexpr size_t kMaxCountedBytes = kMaxBodyBytesInFlight / 2;

/// Bodies of at least this size spread. Usual ones are smaller.
constexpr size_t kLargeBodyBytes = 64UL << 10;
/// Cost per KiB that the upstream holds. An upstream with half of the limit costs as much as one
/// whose last success is 1.5 s older, so that bodies spread over upstreams that have just
/// succeeded.
constexpr double kSpreadCostPerKib = 1.5 / 512;

} // namespace

bool BodyBytesInFlight::MayTake(size_t aBytes) const
{
  return bytes_ + std::min(aBytes, kMaxCountedBytes) <= kMaxBodyBytesInFlight;
}

double BodyBytesInFlight::SpreadCost(size_t aBytes) const
{
  return aBytes < kLargeBodyBytes ? 0 : kSpreadCostPerKib * static_cast<double>(bytes_) / 1024;
}

void BodyBytesInFlight::Add(size_t aBytes)
{
  bytes_ += aBytes;
}

void BodyBytesInFlight::Remove(size_t aBytes)
{
  bytes_ -= std::min(aBytes, bytes_);
}

} // namespace bg::placement
