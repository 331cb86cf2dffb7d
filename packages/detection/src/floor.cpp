#include <algorithm>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

/// Healthy upstreams above the floor.
uint64_t Spare(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  const uint64_t healthy = HealthyUpstreams(aCapacity);
  return healthy > aFloor ? healthy - aFloor : 0;
}

} // namespace

uint32_t HealthyUpstreams(const ServiceCapacity& aCapacity)
{
  const uint64_t usable = std::min(aCapacity.configured, aCapacity.live);
  const uint64_t unusable = uint64_t{ aCapacity.leaving } + aCapacity.cold;
  return usable > unusable ? static_cast<uint32_t>(usable - unusable) : 0;
}

bool MayEject(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  return uint64_t{ aCapacity.ejected } + 1 <= Spare(aCapacity, aFloor);
}

uint32_t PermitsToRelease(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  return aCapacity.ejected - PermitsToApply(aCapacity, aFloor);
}

uint32_t PermitsToApply(const ServiceCapacity& aCapacity, uint32_t aFloor)
{
  return static_cast<uint32_t>(std::min<uint64_t>(aCapacity.ejected, Spare(aCapacity, aFloor)));
}

} // namespace bg::detection
