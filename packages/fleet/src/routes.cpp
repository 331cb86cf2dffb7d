#include <algorithm>
#include <cctype>

#include "routes_p.h"

namespace bg::fleet::detail {

namespace {

/// Converts a host name to lower case and removes the port.
std::string NormalizeHost(std::string_view aHost)
{
  std::string name(aHost.substr(0, aHost.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return name;
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const FleetConfiguration> aConfiguration)
  : configuration_(std::move(aConfiguration))
  , accounts_(configuration_->accounts)
{
  for (const FleetRoute& route : configuration_->routes) {
    const std::string host = NormalizeHost(route.host);
    routes_.insert_or_assign(host + route.pathPrefix, &route);
    size_t& longest = longestPrefixLength_[host];
    longest = std::max(longest, route.pathPrefix.size());
  }
}

const FleetRoute* RouteTable::Match(std::string_view aHost, std::string_view aTarget) const
{
  const std::string host = NormalizeHost(aHost);
  const auto longest = longestPrefixLength_.find(host);
  if (longest == longestPrefixLength_.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  size_t end = std::min(path.size(), longest->second);
  while (end > 0) {
    const size_t slash = path.rfind('/', end - 1);
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto route = routes_.find(host + std::string(path.substr(0, slash + 1)));
    if (route != routes_.end()) {
      return route->second;
    }
    end = slash;
  }
  return nullptr;
}

const std::string& SelectService(const FleetRoute& aRoute, uint64_t aRandom)
{
  uint64_t total = 0;
  for (const ServiceShare& share : aRoute.services) {
    total += share.weight;
  }
  uint64_t remaining = total == 0 ? 0 : aRandom % total;
  for (const ServiceShare& share : aRoute.services) {
    if (remaining < share.weight) {
      return share.service;
    }
    remaining -= share.weight;
  }
  return aRoute.services.front().service;
}

} // namespace bg::fleet::detail
