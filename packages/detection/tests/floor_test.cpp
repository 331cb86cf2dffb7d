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
  Gone,

  Count
};

/// A service whose holders follow the rules of section 5.2, one event at a time.
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
      capacity.live += state != UpstreamState::Gone ? 1 : 0;
      capacity.leaving += state == UpstreamState::Leaving ? 1 : 0;
      capacity.cold += state == UpstreamState::Cold ? 1 : 0;
    }
    capacity.ejected = static_cast<uint32_t>(permits.size());
    return capacity;
  }

  /// Healthy upstreams without a permit among the first aApplied ones.
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
    const bool known = std::find(permits.begin(), permits.end(), aUpstream) != permits.end();
    if (!known && upstreams[aUpstream] == UpstreamState::Healthy && MayEject(Capacity(), floor)) {
      permits.push_back(aUpstream);
      // A reader that ignores surplus permits must not hide a grant that goes too far.
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

TEST_CASE("no sequence of grants, leaves, colds and expiries lets ejections break the floor")
{
  // Guards against an ejection that takes the last spare capacity, also right after upstreams left
  // and before the holders have released their permits.
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
      // What a reader applies holds the floor at any time; what remains after the release does too.
      RC_ASSERT(service.Serving(PermitsToApply(service.Capacity(), service.floor)) >= required);
      service.Release();
      RC_ASSERT(service.Serving(service.permits.size()) >= required);
      RC_ASSERT(PermitsToRelease(service.Capacity(), service.floor) == 0);
    }
  }));
}

TEST_CASE("the floor is read strictly")
{
  const ServiceCapacity capacity{
    .configured = 10, .live = 9, .leaving = 1, .cold = 1, .ejected = 2
  };

  SUBCASE("an ejection that would reach the floor exactly is allowed, one more is not")
  {
    // Guards against an off-by-one in the floor.
    CHECK(HealthyUpstreams(capacity) == 7);
    CHECK(MayEject(capacity, 4));
    CHECK_FALSE(MayEject(capacity, 5));
  }

  SUBCASE("upstreams that are listed but not configured do not count as healthy")
  {
    // Guards against capacity that no route uses.
    CHECK(HealthyUpstreams({ .configured = 3, .live = 8 }) == 3);
  }

  SUBCASE("counts that contradict each other give no healthy upstream")
  {
    // Guards against unsigned wrap-around when the lagging host list shows more leaving than live.
    CHECK(HealthyUpstreams({ .configured = 3, .live = 1, .leaving = 3, .cold = 2 }) == 0);
    CHECK_FALSE(MayEject({ .configured = 3, .live = 1, .leaving = 3, .cold = 2 }, 0));
    CHECK_FALSE(MayEject({ .configured = 3, .live = 3 }, UINT32_MAX));
  }
}
