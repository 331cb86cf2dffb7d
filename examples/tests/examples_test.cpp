#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include "boragegauge/configuration.h"

using namespace bg;

namespace {

/// Loads a ready folder; fails the test with all problems when there are any.
std::shared_ptr<const Configuration> Load(const std::string& aName)
{
  const auto report = LoadConfigurationFolder(std::string(BG_EXAMPLES) + "/" + aName);
  std::string problems;
  for (const auto& problem : report.problems)
    problems += ToString(problem) + "\n";
  CAPTURE(problems);
  REQUIRE(report.configuration);
  return report.configuration;
}

const ServiceConfig& Service(const Configuration& aModel, std::string_view aId)
{
  const auto it = std::ranges::find(aModel.services, aId, &ServiceConfig::id);
  REQUIRE(it != aModel.services.end());
  return *it;
}

/// Difference between the failure domains with the most and the fewest upstreams.
size_t Imbalance(const Configuration& aModel, const ServiceConfig& aService)
{
  std::vector<size_t> counts(aModel.failureDomains.size());
  for (const auto upstream : aService.upstreams)
    ++counts[aModel.upstreams[upstream.idx].failureDomain.idx];
  const auto [fewest, most] = std::ranges::minmax(counts);
  return most - fewest;
}

void CheckKeyRequired(const Configuration& aModel, std::string_view aRoute)
{
  const auto route = std::ranges::find(aModel.routes, aRoute, &RouteConfig::id);
  REQUIRE(route != aModel.routes.end());
  CHECK_FALSE(route->idempotent);
  CHECK(route->requireIdempotencyKey);
}

} // namespace

// Guards against ready folders that no longer load or no longer have the deployments' sizes.
TEST_CASE("the ready folders load with the sizes of the design page")
{
  const auto taller = Load("taller");
  const auto huron = Load("huron");
  CHECK(Service(*taller, "order-desk").upstreams.size() == 30);
  CHECK(Service(*taller, "proof-uploader").upstreams.size() == 8);
  CHECK(Service(*huron, "order-desk").upstreams.size() == 30);
  CHECK(Service(*huron, "drawings").upstreams.size() == 6);
  CHECK(taller->upstreams.front().port == 21001);
  CHECK(taller->failureDomains.size() == 4);
  CHECK(huron->failureDomains.size() == 3);
  for (const auto& model : { taller, huron }) {
    for (const auto& service : model->services) {
      CAPTURE(service.id);
      CHECK(service.slotsPerUpstream == 3);
      CHECK(service.healthyFloor > 0);
      CHECK(Imbalance(*model, service) <= 1);
    }
  }
}

// Guards against a release or order route that would send work twice or without a key.
TEST_CASE("orders and cut-list releases require an idempotency key")
{
  CheckKeyRequired(*Load("taller"), "order");
  CheckKeyRequired(*Load("huron"), "cut-list-release");
}

// Guards against swapped sensitivities: the Taller detects faster, Huron has fewer false alarms.
TEST_CASE("the Taller's threshold is below Huron's")
{
  const auto taller = Load("taller");
  const auto huron = Load("huron");
  CHECK(Service(*taller, "order-desk").detection.threshold <
        Service(*huron, "order-desk").detection.threshold);
  CHECK(Service(*taller, "order-desk").healthyFloor < Service(*huron, "order-desk").healthyFloor);
}
