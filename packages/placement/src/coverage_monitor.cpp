#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Larger share of idle upstreams that calls for requests to them. At least 70 % of the sound
/// upstreams must be in use in any two seconds. The upstreams that have just recovered are in use
/// as well but do not count as sound, so that the idle ones are a larger share of those that count.
constexpr double kMaxIdleShare = 0.12;
/// Share of the requests that may be sent to idle upstreams for coverage. Each of them meets an
/// upstream that may have begun to fail.
constexpr double kMaxCoverageShare = 0.25;
/// Requests per second and upstream from which idle upstreams are used for coverage. With fewer
/// requests, coverage would take a large part of them.
constexpr double kMinRequestRate = 1;
/// Number of grants over which that share is taken.
constexpr double kGrantWindow = 100;

} // namespace

void CoverageMonitor::Update(size_t aIdle, size_t aHealthy, double aRequestsPerSecond)
{
  const auto healthy = static_cast<double>(aHealthy);
  isIdleShareHigh_ = static_cast<double>(aIdle) > kMaxIdleShare * healthy &&
                     aRequestsPerSecond >= kMinRequestRate * healthy;
}

bool CoverageMonitor::IsDue() const
{
  return isIdleShareHigh_ && coverageGrants_ + 1 <= kMaxCoverageShare * (grants_ + 1) + 1;
}

void CoverageMonitor::OnGrant(bool aIsCoverage)
{
  const double decay = 1 - 1 / kGrantWindow;
  grants_ = grants_ * decay + 1;
  coverageGrants_ = coverageGrants_ * decay + (aIsCoverage ? 1 : 0);
}

} // namespace bg::placement
