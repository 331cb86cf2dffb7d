#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "boragegauge/detection.h"

using namespace bg;
using namespace bg::detection;

namespace {

enum class UpstreamState
{
  Healthy,
  Leaving,
  Cold,
  Offline,

  Count
};

/// Model of a service whose proxies grant and release ejection permits, one event at a time, by the
/// rules of docs/design.md, section 5.2.
struct Service
{
  std::vector<UpstreamState> upstreams;
  std::vector<size_t> permits; ///< Oldest first.
  uint32_t floor = 0;

  ServiceCapacity Capacity() const
  {
    ServiceCapacity capacity;
    capacity.configured = static_cast<uint32_t>(upstreams.size());
    for (const UpstreamState state : upstreams) {
      capacity.live += state != UpstreamState::Offline ? 1 : 0;
      capacity.leaving += state == UpstreamState::Leaving ? 1 : 0;
      capacity.cold += state == UpstreamState::Cold ? 1 : 0;
    }
    capacity.ejected = static_cast<uint32_t>(permits.size());
    return capacity;
  }

  /// Number of healthy upstreams in use when the aApplied oldest permits are applied.
  uint32_t Serving(size_t aApplied) const
  {
    uint32_t serving = 0;
    for (size_t u = 0; u < upstreams.size(); ++u) {
      const auto end = permits.begin() + static_cast<std::ptrdiff_t>(aApplied);
      const bool ejected = std::find(permits.begin(), end, u) != end;
      serving += upstreams[u] == UpstreamState::Healthy && !ejected ? 1 : 0;
    }
    return serving;
  }

  void Grant(size_t aUpstream)
  {
    const bool isEjected = std::find(permits.begin(), permits.end(), aUpstream) != permits.end();
    if (!isEjected && upstreams[aUpstream] == UpstreamState::Healthy &&
        MayEject(Capacity(), floor)) {
      permits.push_back(aUpstream);
      // The floor must be met with all permits applied, because readers would hide an excess one.
      RC_ASSERT(Serving(permits.size()) >= floor);
    }
  }

  void Release()
  {
    for (uint32_t i = PermitsToRelease(Capacity(), floor); i > 0; --i) {
      permits.pop_back();
    }
  }
};

} // namespace

TEST_CASE("no sequence of events lets ejections break the healthy floor")
{
  // Events: a grant, the expiry of a permit, an upstream that leaves, restarts or goes offline. The
  // floor must also be met right after upstreams have left, before permits are released.
  CHECK(rc::check([] {
    Service service;
    service.upstreams.resize(*rc::gen::inRange<size_t>(1, 12), UpstreamState::Healthy);
    service.floor = *rc::gen::inRange<uint32_t>(0, 12);
    const auto events = *rc::gen::container<std::vector<std::pair<int, size_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange<size_t>(0, 1000)));
    for (const auto& [event, number] : events) {
      const size_t upstream = number % service.upstreams.size();
      if (event == 0 || event == 1) {
        service.Grant(upstream);
      } else if (event == 2 && !service.permits.empty()) {
        service.permits.erase(service.permits.begin() +
                              static_cast<std::ptrdiff_t>(number % service.permits.size()));
      } else if (event > 2) {
        service.upstreams[upstream] = static_cast<UpstreamState>((event + number) % 4);
      }
      const uint32_t healthy = HealthyUpstreams(service.Capacity());
      const uint32_t required = std::min(service.floor, healthy);
      // The floor is met with the permits that readers apply, and with all that remain after the
      // release.
      RC_ASSERT(service.Serving(PermitsToApply(service.Capacity(), service.floor)) >= required);
      service.Release();
      RC_ASSERT(service.Serving(service.permits.size()) >= required);
      RC_ASSERT(PermitsToRelease(service.Capacity(), service.floor) == 0);
    }
  }));
}

TEST_CASE("limits of the healthy floor")
{
  const ServiceCapacity capacity{
    .configured = 10, .live = 9, .leaving = 1, .cold = 1, .ejected = 2
  };

  SUBCASE("ejections may reach the floor but not go below it")
  {
    // Fails on an off-by-one in the comparison with the floor.
    CHECK(HealthyUpstreams(capacity) == 7);
    CHECK(MayEject(capacity, 4));
    CHECK_FALSE(MayEject(capacity, 5));
  }

  SUBCASE("upstreams that are listed but not configured do not count as healthy")
  {
    // No route uses them, so they are no spare capacity.
    CHECK(HealthyUpstreams({ .configured = 3, .live = 8 }) == 3);
  }

  SUBCASE("inconsistent counts give no healthy upstream")
  {
    // The host list lags, so it may show more leaving upstreams than live ones. The unsigned
    // subtraction must not wrap around.
    CHECK(HealthyUpstreams({ .configured = 3, .live = 1, .leaving = 3, .cold = 2 }) == 0);
    CHECK_FALSE(MayEject({ .configured = 3, .live = 1, .leaving = 3, .cold = 2 }, 0));
    CHECK_FALSE(MayEject({ .configured = 3, .live = 3 }, UINT32_MAX));
  }
}
