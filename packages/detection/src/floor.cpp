#include <algorithm>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

/// Number of healthy upstreams above the floor; 0 when the floor is not met.
uint64_t HealthyAboveFloor(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  const uint64_t healthy = HealthyUpstreams(aCapacity);
  return healthy > aFloor ? healthy - aFloor : 0;
}

} // namespace

uint32_t HealthyUpstreams(const ServiceCapacity& aCapacity)
{
  const uint64_t liveConfigured = std::min(aCapacity.configured, aCapacity.live);
  const uint64_t notServing = uint64_t{ aCapacity.leaving } + aCapacity.cold;
  return liveConfigured > notServing ? static_cast<uint32_t>(liveConfigured - notServing) : 0;
}

bool MayEject(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  return uint64_t{ aCapacity.ejected } + 1 <= HealthyAboveFloor(aCapacity, aFloor);
}

uint32_t PermitsToRelease(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  return aCapacity.ejected - PermitsToApply(aCapacity, aFloor);
}

uint32_t PermitsToApply(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  return static_cast<uint32_t>(
    std::min<uint64_t>(aCapacity.ejected, HealthyAboveFloor(aCapacity, aFloor)));
}

} // namespace bg::detection
