#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "boragegauge/fleet.h"

namespace bg::fleet::detail {

/// Index of the routes by host name and path prefix. Built once per configuration; immutable.
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const FleetConfiguration> aConfiguration);

  /// Returns the route with the longest matching path prefix, or null.
  /// @param aHost Host header; a port and the case are ignored.
  /// @param aTarget Origin-form target; the query is ignored.
  const FleetRoute* Match(std::string_view aHost, std::string_view aTarget) const;

  /// Whether requests need a key, except on public routes.
  bool HasAccounts() const { return !accounts_.IsEmpty(); }
  /// Returns the client account that holds a key, or null.
  std::shared_ptr<const ClientAccount> Authenticate(std::string_view aKey) const
  {
    return accounts_.Authenticate(aKey);
  }
  /// Returns the client account with a name, or null.
  std::shared_ptr<const ClientAccount> FindAccount(std::string_view aName) const
  {
    return accounts_.Find(aName);
  }

  const FleetConfiguration& Configuration() const { return *configuration_; }

private:
  std::shared_ptr<const FleetConfiguration> configuration_;
  /// Keyed by host name followed by path prefix.
  std::unordered_map<std::string, const FleetRoute*> routes_;
  std::unordered_map<std::string, size_t> longestPrefixLength_; ///< By host name.
  AccountDirectory accounts_;
};

/// Selects a service of the route by weight. @param aRandom Uniformly distributed.
const std::string& SelectService(const FleetRoute& aRoute, uint64_t aRandom);

} // namespace bg::fleet::detail
