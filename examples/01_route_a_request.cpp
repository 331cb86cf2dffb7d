// Loads a configuration folder and finds the route of a request.
//
//   example_01 examples/taller GET /catalog/notebooks shop-0042

#include <cstdio>

#include "boragegauge/routing.h"

int main(int argc, char** argv)
{
  if (argc != 5) {
    std::fprintf(stderr, "usage: example_01 FOLDER METHOD PATH ACCOUNT\n");
    return 2;
  }
  const bg::ConfigurationReport report = bg::LoadConfigurationFolder(argv[1]);
  for (const bg::ConfigurationProblem& problem : report.problems) {
    std::fprintf(stderr, "%s\n", bg::ToString(problem).c_str());
  }
  if (!report.configuration) {
    return 1;
  }
  const bg::RouteTable table(report.configuration);
  const bg::RouteMatch match = table.Match(argv[2], argv[3], argv[4]);
  if (match.error != bg::RouteError::None) {
    std::printf("refused, reason %d\n", static_cast<int>(match.error));
    return 1;
  }
  const bg::RouteConfig& route = report.configuration->routes[match.route.idx];
  std::printf("route %s, service %s, caller class %s, %s\n",
              route.id.c_str(),
              report.configuration->services[route.service.idx].id.c_str(),
              report.configuration->callers[match.caller.idx].id.c_str(),
              route.idempotent ? "idempotent" : "non-idempotent");
  return 0;
}
