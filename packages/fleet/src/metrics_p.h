#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "boragegauge/placement.h"
#include "domain_crossings_p.h"
#include "metered_store_p.h"
#include "quota_client_p.h"
#include "slot_queues_p.h"

namespace bg::fleet::detail {

/// Client accounts with metrics of their own, the first ones that a host serves. Each has a time
/// series per outcome; 100 of them take some 200 KB on the metrics page.
constexpr size_t kMaxAccountLabels = 100;
/// Label of the accounts beyond kMaxAccountLabels together. An account of this name would be
/// counted with them.
constexpr std::string_view kOtherAccounts = "(other)";

/// What passes between failure domains.
enum class DomainBytesKind
{
  Request,
  Response,
  Slot,  ///< Messages about slots.
  State, ///< All other messages between hosts.

  Count
};

std::string_view ToString(DomainBytesKind aKind);

/// What metrics say of the configuration of a host and of the messages that bring it.
struct ConfigurationMetrics
{
  uint64_t revision = 0;
  Duration age{ 0 };            ///< Since the configuration was last known to be the newest one.
  uint64_t droppedMessages = 0; ///< To peers, since the start.
};

/// Prometheus metrics of a host. The label values are bounded: services, failure domains, two
/// request classes, fixed outcomes and kMaxAccountLabels client accounts. Thread-safe.
class FleetMetrics
{
public:
  FleetMetrics();
  ~FleetMetrics();
  FleetMetrics(const FleetMetrics&) = delete;
  FleetMetrics& operator=(const FleetMetrics&) = delete;

  /// Counts a finished request. @param aSeconds Time from the request to the response.
  void RecordRequest(std::string_view aService,
                     std::string_view aClass,
                     std::string_view aOutcome,
                     double aSeconds);
  /// Counts a request that is rejected because its key is missing, unknown or revoked.
  void RecordUnauthenticated(std::string_view aReason);
  /// Counts a finished request of a client account. Accounts beyond kMaxAccountLabels are counted
  /// together.
  void RecordAccountRequest(const std::string& aAccount, std::string_view aOutcome);
  /// Counts a request that was sent to an upstream.
  void RecordAttempt(std::string_view aService, placement::Outcome aOutcome);
  /// Counts bytes that this host has sent to another failure domain, or the response that it has
  /// received from there.
  void RecordDomainBytes(std::string_view aPeerDomain, DomainBytesKind aKind, size_t aBytes);
  /// Sets the requests that have left their failure domain by grants of this host.
  void SetDomainCrossings(std::span<const DomainCrossings> aCrossings);
  /// Sets the number of upstreams that accept a limited rate of requests, by service.
  void SetLimitedUpstreams(const std::map<std::string, size_t>& aCounts);
  /// Sets the number of upstreams that have said that they leave, by service.
  void SetLeavingUpstreams(const std::map<std::string, size_t>& aCounts);
  /// Sets the number of upstreams that want no requests of this host now, by service.
  /// Counts a connection that was closed because its caller did not read a response.
  void RecordCallerCutOff(std::string_view aReason);
  /// Counts a request that another host has relayed for this one ("sent"), or this one for another
  /// ("served").
  void RecordRelay(std::string_view aRole, std::string_view aOutcome);
  /// Callable from any thread.
  void SetHasLostLinks(bool aHasLostLinks);
  void SetQuarantinedRequests(size_t aCount);
  void SetPausedUpstreams(const std::map<std::string, size_t>& aCounts);
  /// Sets the decisions about the quotas of client accounts so far.
  void SetQuotas(const QuotaClientStats& aStats);
  /// Sets the queues of the allocators of this host.
  void SetQueues(const QueueMetrics& aMetrics);
  /// Sets the calls to the store so far, and its epoch.
  void SetStoreCalls(const MeteredStore::Counts& aCalls, uint64_t aEpoch);
  void SetConfiguration(const ConfigurationMetrics& aMetrics);
  /// Records by how much the control thread was late for its regular work.
  void RecordControlDelay(Duration aDelay);
  /// All metrics in the text exposition format.
  std::string Expose() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace bg::fleet::detail
