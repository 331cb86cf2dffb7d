#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "boragegauge/routing.h"

using namespace bg;

namespace {

/// One service with upstreams spread over two failure domains.
std::shared_ptr<Configuration> MakeConfiguration(uint16_t aUpstreams)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->failureDomains = { "a", "b" };
  ServiceConfig service;
  service.id = "order-desk";
  service.slotsPerUpstream = 3;
  for (uint16_t i = 0; i < aUpstreams; ++i) {
    UpstreamConfig upstream;
    upstream.failureDomain = FailureDomainHandle{ static_cast<uint16_t>(i % 2) };
    upstream.service = ServiceHandle{ 0 };
    configuration->upstreams.push_back(upstream);
    service.upstreams.push_back(UpstreamHandle{ i });
  }
  configuration->services.push_back(service);
  CallerConfig shops;
  shops.id = "shops";
  shops.accountPrefixes = { "shop-" };
  CallerConfig gold;
  gold.id = "gold";
  gold.accountPrefixes = { "shop-gold-" };
  configuration->callers = { shops, gold };
  return configuration;
}

RouteConfig MakeRoute(std::string_view aPrefix, std::string_view aMethod, uint16_t aCaller)
{
  RouteConfig route;
  route.pathPrefix = aPrefix;
  route.methods = { std::string(aMethod) };
  route.callers = { CallerHandle{ aCaller } };
  route.service = ServiceHandle{ 0 };
  return route;
}

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

} // namespace

TEST_CASE("routes and callers")
{
  auto configuration = MakeConfiguration(1);
  configuration->routes = { MakeRoute("/", "GET", 0),
                            MakeRoute("/orders", "POST", 0),
                            MakeRoute("/orders/bulk", "POST", 1) };
  const RouteTable table(configuration);

  SUBCASE("the longest prefix by whole segments wins")
  {
    CHECK(table.Match("GET", "/orders/7?x=1", "shop-1").route == RouteHandle{ 0 });
    CHECK(table.Match("POST", "/orders/7", "shop-1").route == RouteHandle{ 1 });
    // Guards against a prefix match in the middle of a segment.
    CHECK(table.Match("POST", "/ordersheet", "shop-1").error == RouteError::MethodNotAllowed);
  }
  SUBCASE("each refusal names its reason")
  {
    CHECK(table.Match("GET", "/orders", "unknown").error == RouteError::UnknownCaller);
    CHECK(table.Match("GET", "/orders", "").error == RouteError::UnknownCaller);
    CHECK(table.Match("PATCH", "/orders", "shop-1").error == RouteError::MethodNotAllowed);
    CHECK(table.Match("GET", "/orders", "shop-gold-1").error == RouteError::CallerNotAllowed);
  }
  SUBCASE("the longest account prefix decides the caller class")
  {
    CHECK(table.FindCaller("shop-gold-1") == CallerHandle{ 1 });
    CHECK(table.FindCaller("shop-gol") == CallerHandle{ 0 });
  }
}

TEST_CASE("choice of an upstream")
{
  const auto configuration = MakeConfiguration(6);
  std::vector<UpstreamStatus> status(6);
  LoadTable load(6);
  PickRequest request;
  request.service = ServiceHandle{ 0 };
  request.localDomain = FailureDomainHandle{ 0 };
  request.now = kStart;
  const auto pick = [&] {
    request.random = request.random * 6364136223846793005ULL + 1442695040888963407ULL;
    return PickUpstream(*configuration, status, load, BalancePolicy::PowerOfTwo, request);
  };

  SUBCASE("the own failure domain is preferred and spills over when full")
  {
    int local = 0;
    for (int i = 0; i < 4000; ++i) {
      local += pick().upstream.idx % 2 == 0 ? 1 : 0;
    }
    // One request in four ignores the domain; half of these stay local here.
    CHECK(local > 3300);
    // Guards against an upstream that is seen from one domain only, which hides its faults.
    CHECK(local < 3700);
    for (const uint16_t full : { 0, 2, 4 }) {
      load.Report(UpstreamHandle{ full }, 3, kStart);
    }
    CHECK(pick().upstream.idx % 2 == 1);
  }

  SUBCASE("an avoided upstream still serves when the others are full")
  {
    // Guards against losing capacity to a false alarm: avoidance is work-conserving.
    status[0].avoided = true;
    for (int i = 0; i < 50; ++i) {
      CHECK(pick().upstream != UpstreamHandle{ 0 });
    }
    for (uint16_t i = 1; i < 6; ++i) {
      load.Report(UpstreamHandle{ i }, 3, kStart);
    }
    const PickResult result = pick();
    CHECK(result.upstream == UpstreamHandle{ 0 });
    CHECK(result.avoided);
  }

  SUBCASE("an ejection ends with its lease, by the clock of the pick")
  {
    // Guards against a paused proxy that keeps an ejection after its lease has lapsed.
    for (uint16_t i = 0; i < 5; ++i) {
      status[i].leaving = true;
    }
    status[5].ejectedUntil = kStart + Milliseconds(1);
    CHECK_FALSE(IsValid(pick().upstream));
    request.now = kStart + Milliseconds(1);
    CHECK(pick().upstream == UpstreamHandle{ 5 });
  }

  SUBCASE("trials go only to suspects and only as often as granted")
  {
    status[3].ejectedUntil = kStart + std::chrono::seconds(10);
    load.GrantTrials(UpstreamHandle{ 3 }, 1);
    CHECK(pick().upstream != UpstreamHandle{ 3 });
    request.allowTrial = true;
    CHECK(pick().upstream == UpstreamHandle{ 3 });
    CHECK(pick().upstream != UpstreamHandle{ 3 });
    load.GrantTrials(UpstreamHandle{ 3 }, 1);
    status[3].leaving = true;
    CHECK(pick().upstream != UpstreamHandle{ 3 });
  }

  SUBCASE("a cold upstream gets a growing share")
  {
    status[0].slowStartFrom = kStart;
    const auto share = [&] {
      int chosen = 0;
      for (int i = 0; i < 3000; ++i) {
        chosen += pick().upstream == UpstreamHandle{ 0 } ? 1 : 0;
      }
      return chosen;
    };
    const int early = share();
    request.now = kStart + std::chrono::seconds(9);
    const int late = share();
    CHECK(early > 0);
    CHECK(late > 2 * early);
  }

  SUBCASE("no state makes the balancer choose a leaving, ejected or excluded upstream")
  {
    CHECK(rc::check([&](const std::vector<uint8_t>& aFlags, uint64_t aRandom) {
      std::vector<UpstreamStatus> states(6);
      for (size_t i = 0; i < states.size() && i < aFlags.size(); ++i) {
        states[i].leaving = (aFlags[i] & 1) != 0;
        states[i].avoided = (aFlags[i] & 2) != 0;
        states[i].ejectedUntil = (aFlags[i] & 4) != 0 ? kStart + Milliseconds(1) : TimePoint{};
      }
      const UpstreamHandle excluded[] = { UpstreamHandle{ 1 } };
      PickRequest any = request;
      any.random = aRandom;
      any.exclude = excluded;
      for (int policy = 0; policy < static_cast<int>(BalancePolicy::Count); ++policy) {
        const auto result =
          PickUpstream(*configuration, states, load, static_cast<BalancePolicy>(policy), any);
        if (IsValid(result.upstream)) {
          RC_ASSERT(result.upstream.idx != 1);
          RC_ASSERT(!states[result.upstream.idx].leaving);
          RC_ASSERT(states[result.upstream.idx].ejectedUntil <= kStart);
        }
      }
    }));
  }
}
