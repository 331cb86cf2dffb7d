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

  SUBCASE("the longest prefix in whole segments decides the route")
  {
    CHECK(table.Match("GET", "/orders/7?x=1", "shop-1").route == RouteHandle{ 0 });
    CHECK(table.Match("POST", "/orders/7", "shop-1").route == RouteHandle{ 1 });
    // "/orders" is no prefix of "/ordersheet", because it ends in the middle of a segment.
    CHECK(table.Match("POST", "/ordersheet", "shop-1").error == RouteError::MethodNotAllowed);
  }
  SUBCASE("each mismatch gives its own error")
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

TEST_CASE("selection of an upstream")
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

  SUBCASE("the local failure domain is preferred until it is full")
  {
    int local = 0;
    for (int i = 0; i < 4000; ++i) {
      local += pick().upstream.idx % 2 == 0 ? 1 : 0;
    }
    // One request in four ignores the domain; half of these still select a local upstream.
    CHECK(local > 3300);
    // An upstream that is observed from one domain only could never get an Upstream verdict.
    CHECK(local < 3700);
    for (const uint16_t full : { 0, 2, 4 }) {
      load.Report(UpstreamHandle{ full }, 3, kStart);
    }
    CHECK(pick().upstream.idx % 2 == 1);
  }

  SUBCASE("an avoided upstream is used when the others are full")
  {
    // Avoidance is work-conserving: a false alarm must not reduce the capacity of the service.
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

  SUBCASE("an ejection ends when its lease expires, by the time of the request")
  {
    // A proxy that was paused must not apply an ejection whose lease has expired meanwhile.
    for (uint16_t i = 0; i < 5; ++i) {
      status[i].leaving = true;
    }
    status[5].ejectedUntil = kStart + Milliseconds(1);
    CHECK_FALSE(IsValid(pick().upstream));
    request.now = kStart + Milliseconds(1);
    CHECK(pick().upstream == UpstreamHandle{ 5 });
  }

  SUBCASE("trials are sent only to suspects and only as often as granted")
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

  SUBCASE("an upstream in slow start gets a growing share")
  {
    status[0].slowStartFrom = kStart;
    const auto countSelections = [&] {
      int selected = 0;
      for (int i = 0; i < 3000; ++i) {
        selected += pick().upstream == UpstreamHandle{ 0 } ? 1 : 0;
      }
      return selected;
    };
    const int early = countSelections();
    request.now = kStart + std::chrono::seconds(9);
    const int late = countSelections();
    CHECK(early > 0);
    CHECK(late > 2 * early);
  }

  SUBCASE("leaving, ejected and excluded upstreams are never selected")
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
