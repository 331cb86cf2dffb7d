#include <doctest/doctest.h>

#include <map>

#include "routes_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

std::shared_ptr<const FleetConfiguration> MakeConfiguration()
{
  auto configuration = std::make_shared<FleetConfiguration>();
  const auto add = [&](const char* aId, const char* aHost, const char* aPrefix) {
    FleetRoute route;
    route.id = aId;
    route.host = aHost;
    route.pathPrefix = aPrefix;
    route.services = { { "desk", 1 } };
    configuration->routes.push_back(route);
  };
  add("orders", "shop.example", "/orders/");
  add("urgent", "shop.example", "/orders/urgent/");
  add("other", "other.example", "/");
  return configuration;
}

} // namespace

TEST_CASE("routes by host name and path")
{
  const RouteTable routes(MakeConfiguration());
  const auto idOf = [&](std::string_view aHost, std::string_view aTarget) -> std::string {
    const FleetRoute* route = routes.Match(aHost, aTarget);
    return route == nullptr ? "" : route->id;
  };
  SUBCASE("the longest prefix wins")
  {
    CHECK(idOf("shop.example", "/orders/1") == "orders");
    CHECK(idOf("shop.example", "/orders/urgent/1") == "urgent");
    CHECK(idOf("shop.example", "/orders/urgent") == "orders");
  }
  SUBCASE("a prefix matches only with its trailing slash")
  {
    CHECK(idOf("shop.example", "/orders") == "");
    CHECK(idOf("shop.example", "/ordersx/1") == "");
    CHECK(idOf("shop.example", "/orders/") == "orders");
  }
  SUBCASE("port and case of the host and the query are ignored")
  {
    CHECK(idOf("SHOP.example:8080", "/orders/1?path=/orders/urgent/") == "orders");
  }
  SUBCASE("routes of other host names do not match")
  {
    CHECK(idOf("other.example", "/orders/1") == "other");
    CHECK(idOf("unknown.example", "/orders/1") == "");
  }
}

TEST_CASE("services are selected by weight")
{
  FleetRoute route;
  route.services = { { "old", 90 }, { "new", 10 }, { "off", 0 } };
  std::map<std::string, int> counts;
  for (uint64_t i = 0; i < 1000; ++i) {
    ++counts[SelectService(route, i)];
  }
  CHECK(counts["old"] == 900);
  CHECK(counts["new"] == 100);
  CHECK(counts["off"] == 0);
}
