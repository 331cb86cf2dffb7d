#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/eventloop.h"
#include "boragegauge/upstream.h"

/// Proxy fleet over a shared store: operators write the configuration there, upstreams register
/// themselves there, and the hosts of the fleet share slots, health and what they have read.
namespace bg::fleet {

/// A service and its share of a route's requests.
struct ServiceShare
{
  std::string service;
  uint32_t weight = 1;
};

/// Requests of one host name whose path begins with the prefix.
struct FleetRoute
{
  std::string id;
  std::string host;
  std::string pathPrefix; ///< Begins and ends with a slash.
  std::vector<ServiceShare> services;
  bool idempotent = false;         ///< Requests may run more than once.
  Milliseconds timeout{ 30000 };   ///< Longest time until the caller has a response.
  Milliseconds latencyTarget{ 0 }; ///< A response within it is worth most; 0: not stated.
  uint32_t priority = 0;           ///< 0 is the most urgent.
  uint32_t maxAttempts = 1;        ///< Upstreams that one request may be sent to.
};

/// What callers may send. 0: not stated.
struct CallerLimits
{
  size_t maxHeaderBytes = 0;
  size_t maxBodyBytes = 0;
  Milliseconds headTimeout{ 0 };
  Milliseconds idleTimeout{ 0 };
};

struct FleetConfiguration
{
  uint64_t revision = 0;
  std::vector<FleetRoute> routes;
  std::vector<std::string> services;
  CallerLimits limits;
};

/// An upstream as it describes itself.
struct RegisteredUpstream
{
  std::string id;
  std::string service;
  std::string address; ///< IP address.
  uint16_t port = 0;
  std::string failureDomain;
  uint32_t slots = 1;
  bool isDraining = false;
  Milliseconds warmupLeft{ 0 }; ///< Slower than usual for so long.
  int64_t startedAtMs = 0;      ///< Tells two runs under the same id apart.
  uint64_t sequence = 0;        ///< Grows with each report; starts anew with each run.

  friend bool operator==(const RegisteredUpstream&, const RegisteredUpstream&) = default;
};

/// A row of a table of the store.
struct StoreRow
{
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool isDeleted = false; ///< Only in changes.
};

struct StoreRows
{
  std::vector<StoreRow> rows;
  uint64_t version = 0; ///< Newest version of the store that the rows reflect.
};

/// Tables of the shared store. Calls are asynchronous and return on the thread of the loop.
/// Errors: Unavailable (nothing was done), OutcomeUnknown (no answer), NotFound (history is gone).
class RowStore
{
public:
  template<typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~RowStore() = default;

  /// All rows of a table.
  virtual void Read(std::string_view aTable, Duration aDeadline, Callback<StoreRows> aCallback) = 0;
  /// Changes after a version; answers as soon as there is one, or without any after the wait.
  /// @param aDeadline For the answer, beyond the wait.
  virtual void Watch(std::string_view aTable,
                     uint64_t aAfter,
                     Duration aWait,
                     Duration aDeadline,
                     Callback<StoreRows> aCallback) = 0;
  virtual void Put(std::string_view aTable,
                   std::string_view aKey,
                   std::string_view aValue,
                   Duration aDeadline,
                   Callback<uint64_t> aCallback) = 0;
};

/// What a caller's request says about itself.
struct CallerMetadata
{
  std::string requestId;
  std::optional<Milliseconds> deadline;
};

/// What an upstream's response says about itself.
struct ResponseMetadata
{
  bool isNotExecuted = false; ///< The upstream did not run the request.
  bool isMisdirected = false; ///< Another upstream has the address.
  bool isSigned = false;      ///< The response is the upstream's own.
  std::string requestId;      ///< Echoed; empty when absent.
};

/// Fields that carry metadata between callers, this proxy and upstreams.
struct RequestDialect
{
  std::function<CallerMetadata(std::span<const HttpHeader>)> readCaller = nullptr;
  /// Sets the fields of a request to an upstream.
  std::function<
    void(std::vector<HttpHeader>& aHeaders, Milliseconds aLeft, std::string_view aUpstream)>
    writeUpstream = nullptr;
  std::function<ResponseMetadata(int aStatus, std::span<const HttpHeader>)> readResponse = nullptr;
};

/// Everything that the fleet needs to know about the platform that it runs on.
struct PlatformAdapter
{
  std::unique_ptr<RowStore> store;
  RequestDialect dialect;
  std::string configurationTable;
  std::string configurationKey;
  std::string upstreamTable;
  std::function<Result<FleetConfiguration>(std::string_view aDocument)> parseConfiguration =
    nullptr;
  std::function<Result<RegisteredUpstream>(std::string_view aId, std::string_view aEntry)>
    parseUpstream = nullptr;
};

/// Address of a peer.
struct PeerEndpoint
{
  std::string address;
  uint16_t port = 0;
};

struct FleetInit
{
  std::string host;
  std::string failureDomain;
  std::string address; ///< IP address of all listening sockets.
  uint16_t callerPort = 0;
  std::string readinessAddress;
  uint16_t readinessPort = 0;
  std::string readinessPath = "/ready";
  uint16_t adminPort = 0;
  uint16_t peerPort = 0;
  bool isFirstStart = false;      ///< All hosts start together, before callers come.
  std::vector<std::string> seeds; ///< Addresses of hosts that listen on the same peer port.
  uint32_t capacity = 100;        ///< Power of the host, in percent of a core.
  double retryRatio = 0.2;        ///< Repeats per request, over all hosts.
  double retrySlack = 10;         ///< Repeats beside the ratio, over all hosts.
  Duration retryWindow = std::chrono::seconds(10);
  Duration stopLimit = std::chrono::seconds(5); ///< From SIGTERM to the end of the process.
  size_t bodyBudgetBytes = 64UL << 20;
  /// Creates the adapter on the loop of the control thread.
  std::function<PlatformAdapter(EventLoop&)> createPlatform = nullptr;
};

/// Serves until SIGTERM or SIGINT. The signals SIGTERM, SIGINT and SIGHUP must be blocked.
/// @return Exit code: 0 after a graceful stop, 1 when an address cannot be bound.
int RunFleetProxy(const FleetInit& aInit);

} // namespace bg::fleet
