#pragma once

#include <set>
#include <string>
#include <vector>

#include "boragegauge/base.h"
#include "boragegauge/routing.h"

namespace bg {

/// Configured address of a peer, for the time before the host list is read.
struct SeedPeer
{
  std::string address;
  uint16_t port = 0;
};

/// Source of a proxy's configuration and upstreams.
enum class Discovery
{
  Configuration, ///< Accepted configurations of operators, which also list the upstreams.
  Store,         ///< Rows of a shared store in which upstreams register themselves.

  Count
};

/// An address to listen on or to connect to.
struct Endpoint
{
  std::string address;
  uint16_t port = 0;
};

/// Settings that apply with Discovery::Store only.
struct StoreSettings
{
  Endpoint store;     ///< The shared store.
  Endpoint callers;   ///< Listens for requests of callers.
  Endpoint readiness; ///< Listens for readiness checks of the load balancer.
  Endpoint admin;     ///< Listens for metrics and state.
  std::string readinessPath = "/ready";
  bool isFirstStart = false; ///< First start of the whole fleet, before it receives requests.
  double cpuShare = 1;       ///< CPU cores of this host; weighs the selection of coordinators.
  double memoryMb = 0;       ///< Memory limit of the process; 0: none is known.
  uint64_t maxResponseBytes = 8UL << 20; ///< Of the body of one response.
  double bandwidthMbps = 1000;           ///< Link bandwidth of this host in Mbit/s.
  bool preferOwnDomain = true;           ///< See FleetInit::alwaysPrefersOwnDomain.
  double retryRatio = 0.1;               ///< Retries per request, over all proxies.
  double retrySlack = 10;                ///< Retries allowed beyond the ratio, over all proxies.
  Milliseconds quotaWindow{ 5000 };      ///< Period over which the quota of a client account holds.
  double quotaOvershoot = 0.1;           ///< Part of a quota by which all proxies may exceed it.
  double quotaSlack = 20;                ///< Requests per window in addition, over all proxies.
  Milliseconds retryWindow{ 10000 };     ///< Period over which retries and requests are counted.
  Milliseconds stopLimit{ 30000 };       ///< Longest time from SIGTERM to the end of the process.
};

/// A proxy's own settings, read once at start.
struct ProxySettings
{
  std::string host;
  std::string failureDomain;
  std::string listenAddress = "127.0.0.1";
  uint16_t port = 0; ///< 0: chosen by the system.
  uint16_t adminPort = 0;
  uint16_t peerPort = 0;
  uint16_t relayPort = 0;      ///< Used with Discovery::Store; 0: no relay.
  std::string platformAddress; ///< Unused with Discovery::Store.
  uint16_t platformPort = 0;
  uint32_t trafficThreads = 1;
  /// Time between failing readiness and closing the listening sockets at shutdown.
  Milliseconds balancerNotice{ 3000 };
  size_t bodyBudgetBytes = 128UL << 20; ///< Limit of all request bodies in memory.
  LogLevel logLevel = LogLevel::Info;
  std::vector<SeedPeer> seeds;
  Discovery discovery = Discovery::Configuration;
  StoreSettings store;
  BalancePolicy balancePolicy = BalancePolicy::PowerOfTwo;
  bool testMode = false;
  std::set<std::string, std::less<>> testDisable; ///< Disabled mechanisms; requires testMode.

  /// Whether test_disable names the mechanism.
  bool IsDisabled(std::string_view aMechanism) const { return testDisable.contains(aMechanism); }
};

/// Mechanisms that test_disable accepts. Each is named after the check that fails without it.
extern const std::vector<std::string_view> kDisableableMechanisms;

/// Parses settings.
/// @param aFile File name for the error.
/// @return The settings, or an error whose detail lists, in one line, each invalid key with the
/// value found and the values allowed.
Result<ProxySettings> ParseProxySettings(std::string_view aJson, std::string_view aFile);

/// Reads and parses a settings file.
Result<ProxySettings> LoadProxySettings(const std::string& aFile);

} // namespace bg
