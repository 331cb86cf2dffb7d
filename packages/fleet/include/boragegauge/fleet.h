#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/accounts.h"
#include "boragegauge/eventloop.h"
#include "boragegauge/peering.h"
#include "boragegauge/upstream.h"

/// Proxy fleet over a shared store. Operators write the configuration to the store and upstreams
/// register in it. The hosts of the fleet share slots, the health of upstreams and the state read
/// from the store.
namespace bg::fleet {

/// A service and its share of the requests of a route.
struct ServiceShare
{
  std::string service;
  uint32_t weight = 1; ///< Relative to the other services of the route.

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// A route for the requests to a host name whose paths begin with a prefix.
struct FleetRoute
{
  std::string id;
  std::string host;
  std::string pathPrefix; ///< Begins and ends with a slash.
  std::vector<ServiceShare> services;
  bool idempotent = false;         ///< Requests may be executed more than once.
  Milliseconds timeout{ 30000 };   ///< Time for the request; 0: a default.
  Milliseconds latencyTarget{ 0 }; ///< Responses should take no longer; 0: the timeout.
  uint32_t priority = 0;           ///< 0 is the most urgent.
  uint32_t maxAttempts = 1;        ///< Upstreams that a request may be sent to.
  bool isPublic = false;           ///< Requests need no key, and belong to no client account.

  friend bool operator==(const FleetRoute&, const FleetRoute&) = default;
};

/// Limits for the requests of callers. 0: not set.
struct CallerLimits
{
  size_t maxHeaderBytes = 0;
  size_t maxBodyBytes = 0;
  Milliseconds headTimeout{ 0 };
  Milliseconds idleTimeout{ 0 };

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct FleetConfiguration
{
  uint64_t revision = 0;
  std::vector<FleetRoute> routes;
  std::vector<std::string> services;
  /// Without accounts, requests need no key.
  ClientAccounts accounts;
  CallerLimits limits;
};

/// An upstream as described by its entry in the store.
struct RegisteredUpstream
{
  std::string id;
  std::string service;
  std::string address; ///< IP address.
  uint16_t port = 0;
  std::string failureDomain;
  uint32_t slots = 1;
  bool isDraining = false;
  Milliseconds warmupLeft{ 0 }; ///< Remaining warm-up, during which it is slower.
  int64_t startedAtMs = 0;      ///< Distinguishes two runs with the same id; 0: unknown.
  uint64_t sequence = 0;        ///< Grows with each report; restarts with each run.

  friend bool operator==(const RegisteredUpstream&, const RegisteredUpstream&) = default;
};

/// Position in the history of the store. After the store was restored from an older copy, versions
/// are given out again in the next epoch, so that a version alone does not order two states.
struct StorePosition
{
  uint64_t epoch = 0;   ///< Rises with each restore.
  uint64_t version = 0; ///< Rises with each write of an epoch.

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// A row of a table in the store.
struct StoreRow
{
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool isDeleted = false; ///< Only in the results of RowStore::Watch().
};

struct StoreRows
{
  std::vector<StoreRow> rows;
  StorePosition position; ///< That the rows reflect.
};

/// Tables of the shared store. Calls are asynchronous; callbacks run on the thread of the event
/// loop. Errors: Unavailable (the call was not executed), OutcomeUnknown (no response), NotFound
/// (the changes since the position are not available: too old, or of another epoch).
class RowStore
{
public:
  template<typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~RowStore() = default;

  /// Reads all rows of a table.
  virtual void Read(std::string_view aTable, Duration aDeadline, Callback<StoreRows> aCallback) = 0;
  /// Reads one row; returns no rows if there is none.
  virtual void ReadRow(std::string_view aTable,
                       std::string_view aKey,
                       Duration aDeadline,
                       Callback<StoreRows> aCallback) = 0;
  /// Waits for changes of a table after a position. Returns them as soon as there are any, or no
  /// rows after aWait.
  /// @param aDeadline Time for the response in addition to aWait.
  virtual void Watch(std::string_view aTable,
                     StorePosition aAfter,
                     Duration aWait,
                     Duration aDeadline,
                     Callback<StoreRows> aCallback) = 0;
  /// Writes a row and returns the position of the write.
  virtual void Put(std::string_view aTable,
                   std::string_view aKey,
                   std::string_view aValue,
                   Duration aDeadline,
                   Callback<StorePosition> aCallback) = 0;
};

/// Metadata of a caller's request.
struct CallerMetadata
{
  std::string requestId{};
  std::optional<Milliseconds> deadline{}; ///< Time left for the request.
  std::string account{};                  ///< What identifies the client account; may be empty.
  std::string key{};                      ///< Key of a client account, a secret; empty: none.
};

/// Metadata of an upstream's response.
struct ResponseMetadata
{
  bool isNotExecuted = false; ///< The upstream did not execute the request.
  bool isMisdirected = false; ///< The response is from another upstream at this address.
  bool isSigned = false;      ///< The upstream itself sent the response, not an intermediary.
  std::string requestId;      ///< Id of the request as returned by the upstream; may be empty.
  /// Requests per second that the upstream accepts from all hosts together.
  std::optional<double> requestLimit;
  std::string invalidLimit; ///< A limit that cannot be read; empty: none.
  bool isLeaving = false;   ///< The upstream is shutting down and accepts no new requests.
  /// The upstream wants no requests of this host for so long, at most kMaxPause.
  std::optional<Milliseconds> pause;
  /// A header field about leaving or a pause that cannot be read, or names a longer pause than
  /// kMaxPause; empty: none.
  std::string invalidNotice;
};

/// Longest pause that an upstream can ask for.
constexpr Milliseconds kMaxPause = std::chrono::hours(1);

/// Encoding of the metadata in the header fields of callers and upstreams.
struct RequestDialect
{
  std::function<CallerMetadata(std::span<const HttpHeader>)> readCaller = nullptr;
  /// Sets the header fields of a request to an upstream, and removes the key of the caller.
  /// @param aAccount Name of the client account; empty: the request belongs to none.
  std::function<void(std::vector<HttpHeader>& aHeaders,
                     Milliseconds aTimeLeft,
                     std::string_view aUpstream,
                     std::string_view aAccount)>
    writeUpstream = nullptr;
  std::function<ResponseMetadata(int aStatus, std::span<const HttpHeader>)> readResponse = nullptr;
};

/// Adapter to the platform: its store, header fields and document formats.
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
  /// Where this host sends requests to upstreams for hosts that do not reach them; 0: it does not.
  uint16_t relayPort = 0;
  bool isFirstStart = false;      ///< All hosts start together and have no callers yet.
  std::vector<std::string> seeds; ///< Addresses of hosts with the same peer port.
  uint32_t capacity = 100;        ///< CPU capacity, in percent of a core.
  /// In a fleet of up to this size, all restarted hosts read the upstreams from the store at once:
  /// it can bear that, and the wait for a peer takes longer.
  size_t maxDirectReaders = 150;
  /// Requests stay in their failure domain while it can run them. If false, this holds for services
  /// without idempotent requests only.
  bool alwaysPrefersOwnDomain = true;
  double retryRatio = 0.2; ///< Retries per request, over all hosts.
  double retrySlack = 10;  ///< Retries per window in addition to the ratio, over all hosts.
  Duration retryWindow = std::chrono::seconds(10); ///< For retryRatio and retrySlack.
  Duration quotaWindow = std::chrono::seconds(5);  ///< For the quotas of client accounts.
  /// Part of what a quota allows in a window by which all hosts together may exceed it.
  double quotaOvershoot = 0.1;
  double quotaSlack = 20; ///< Requests per window in addition, over all hosts.
  Duration stopLimit = std::chrono::seconds(5); ///< From the signal to the exit of the process.
  size_t bodyBudgetBytes = 64UL << 20;          ///< For all request and response bodies in memory.
  size_t maxResponseBytes = 8UL << 20;          ///< Of the body of one response.
  /// Creates the adapter, which uses the event loop of the control thread.
  std::function<PlatformAdapter(EventLoop&)> createPlatform = nullptr;
  /// Creates the client of a traffic thread; null: CreateCurlUpstreamClient().
  std::function<std::unique_ptr<UpstreamClient>(const UpstreamClientInit&)> createUpstreamClient =
    nullptr;
  /// Creates the transport to other hosts; null: CreateZmqPeerTransport().
  std::function<Result<std::unique_ptr<PeerTransport>>(PeerTransportInit)> createPeerTransport =
    nullptr;
};

/// Serves until SIGTERM or SIGINT. SIGTERM, SIGINT and SIGHUP must be blocked in the process.
/// @return Exit code: 0 after a graceful stop, 1 when an address cannot be bound.
int RunFleetProxy(const FleetInit& aInit);

} // namespace bg::fleet
