#include "metrics_p.h"

#include <algorithm>
#include <mutex>
#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bg::fleet::detail {

namespace {

/// Upper bounds of the latency buckets in seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = { 0.05, 0.1, 0.2, 0.4, 0.6,
                                                                 0.8,  1,   1.5, 2,   4 };
/// Upper bounds of the buckets of the delay of the control thread in seconds.
const prometheus::Histogram::BucketBoundaries kDelayBounds = { 0.01, 0.025, 0.05, 0.1, 0.25,
                                                               0.5,  1,     2,    4 };

} // namespace

std::string_view ToString(DomainBytesKind aKind)
{
  static constexpr std::string_view kNames[] = { "request", "response", "slot", "state" };
  return aKind < DomainBytesKind::Count ? kNames[static_cast<size_t>(aKind)] : "unknown";
}

struct FleetMetrics::Impl
{
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                        .Name("boragegauge_fleet_requests_total")
                                                        .Help("Requests of callers by outcome")
                                                        .Register(registry);
  prometheus::Family<prometheus::Counter>& unauthenticated =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_unauthenticated_requests_total")
      .Help("Requests that were rejected because of their key, by reason")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& accountRequests =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_account_requests_total")
      .Help(
        "Requests of client accounts by outcome; of the first accounts that the host has served")
      .Register(registry);
  std::mutex accountLabelsMutex;
  std::set<std::string, std::less<>> accountLabels;
  prometheus::Family<prometheus::Histogram>& latency =
    prometheus::BuildHistogram()
      .Name("boragegauge_fleet_request_seconds")
      .Help("Time from a request to its response")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& attempts =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_attempts_total")
      .Help("Requests sent to upstreams by outcome")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& domainBytes =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_domain_bytes_total")
      .Help("Bytes between this host and other failure domains, without those of packets")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& domainCrossings =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_domain_crossings_total")
      .Help("Requests that were granted an upstream of another failure domain by this host")
      .Register(registry);
  prometheus::Family<prometheus::Gauge>& limited =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_limited_upstreams")
      .Help("Upstreams whose responses name a limit of requests, as far as this host knows them")
      .Register(registry);
  prometheus::Family<prometheus::Gauge>& leaving =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_leaving_upstreams")
      .Help("Registered upstreams that have said in a response that they leave")
      .Register(registry);
  prometheus::Family<prometheus::Gauge>& paused =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_paused_upstreams")
      .Help("Upstreams that have asked this host for a pause that has not ended")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& relayed =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_relayed_requests_total")
      .Help("Requests that hosts without links to upstreams have sent by way of others")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& callersCutOff =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_callers_cut_off_total")
      .Help("Connections closed because their callers did not read a response, by reason")
      .Register(registry);
  prometheus::Gauge& lostLinks = prometheus::BuildGauge()
                                   .Name("boragegauge_fleet_upstream_links_lost")
                                   .Help("1 while this host reaches no upstream")
                                   .Register(registry)
                                   .Add({});
  prometheus::Family<prometheus::Gauge>& waiting =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_waiting_requests")
      .Help("Requests that wait for a slot at the allocators of this host, by priority")
      .Register(registry);
  prometheus::Family<prometheus::Gauge>& longestWait =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_longest_wait_seconds")
      .Help("Age of the oldest request that waits for a slot at the allocators of this host")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& refusals =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_refused_requests_total")
      .Help("Requests that the allocators of this host have refused, by priority and reason")
      .Register(registry);
  std::set<QueueMetrics::Priority> queues; ///< With a value in waiting.
  prometheus::Gauge& quarantined =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_quarantined_requests")
      .Help("Requests that are rejected because upstreams have crashed under them")
      .Register(registry)
      .Add({});
  prometheus::Family<prometheus::Counter>& storeCalls =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_store_calls_total")
      .Help("Calls to the store by operation and result")
      .Register(registry);
  prometheus::Gauge& storeEpoch = prometheus::BuildGauge()
                                    .Name("boragegauge_fleet_store_epoch")
                                    .Help("Rises when the store is restored from an older copy")
                                    .Register(registry)
                                    .Add({});

  prometheus::Family<prometheus::Counter>& quotaRequests =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_quota_requests_total")
      .Help("Requests of client accounts with a quota by decision")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& quotaRejected =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_quota_rejected_total")
      .Help("Requests over the quota by client account; empty: all accounts beyond the first 100")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& quotaMessages =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_quota_messages_total")
      .Help("Messages to owners of quotas, and those without an answer")
      .Register(registry);
  prometheus::Family<prometheus::Gauge>& quotaAccounts =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_quota_accounts")
      .Help("Client accounts with state at this host, by the role of the host")
      .Register(registry);
  prometheus::Gauge& quotaOwnersAvoided = prometheus::BuildGauge()
                                            .Name("boragegauge_fleet_quota_owners_avoided")
                                            .Help("Owners of quotas that do not answer this host")
                                            .Register(registry)
                                            .Add({});

  prometheus::Gauge& configurationRevision = prometheus::BuildGauge()
                                               .Name("boragegauge_fleet_configuration_revision")
                                               .Help("Revision of the active configuration")
                                               .Register(registry)
                                               .Add({});
  prometheus::Gauge& configurationAge =
    prometheus::BuildGauge()
      .Name("boragegauge_fleet_configuration_age_seconds")
      .Help("Time since the active configuration was last known to be the newest one")
      .Register(registry)
      .Add({});
  prometheus::Counter& peerMessagesDropped =
    prometheus::BuildCounter()
      .Name("boragegauge_fleet_peer_messages_dropped_total")
      .Help("Messages to hosts that were dropped: no connection, or a full queue")
      .Register(registry)
      .Add({});
  prometheus::Histogram& controlDelay =
    prometheus::BuildHistogram()
      .Name("boragegauge_fleet_control_delay_seconds")
      .Help("Time by which the control thread is late for its regular work")
      .Register(registry)
      .Add({}, kDelayBounds);

  static void SetTotal(prometheus::Counter& aCounter, uint64_t aTotal)
  {
    aCounter.Increment(static_cast<double>(aTotal) - aCounter.Value());
  }

  void SetCalls(StoreOperation aOperation, const char* aResult, uint64_t aCount)
  {
    auto& counter =
      storeCalls.Add({ { "operation", std::string(ToString(aOperation)) }, { "result", aResult } });
    counter.Increment(static_cast<double>(aCount) - counter.Value());
  }
};

FleetMetrics::FleetMetrics()
  : impl_(std::make_unique<Impl>())
{
}

FleetMetrics::~FleetMetrics() = default;

void FleetMetrics::RecordRequest(std::string_view aService,
                                 std::string_view aClass,
                                 std::string_view aOutcome,
                                 double aSeconds)
{
  const std::string service(aService);
  const std::string requestClass(aClass);
  impl_->requests
    .Add(
      { { "service", service }, { "class", requestClass }, { "outcome", std::string(aOutcome) } })
    .Increment();
  impl_->latency.Add({ { "service", service }, { "class", requestClass } }, kLatencyBounds)
    .Observe(aSeconds);
}

void FleetMetrics::RecordUnauthenticated(std::string_view aReason)
{
  impl_->unauthenticated.Add({ { "reason", std::string(aReason) } }).Increment();
}

void FleetMetrics::RecordAccountRequest(const std::string& aAccount, std::string_view aOutcome)
{
  std::string label(kOtherAccounts);
  {
    const std::lock_guard lock(impl_->accountLabelsMutex);
    const bool hasRoom = impl_->accountLabels.size() < kMaxAccountLabels;
    if (impl_->accountLabels.contains(aAccount) ||
        (hasRoom && impl_->accountLabels.insert(aAccount).second)) {
      label = aAccount;
    }
  }
  impl_->accountRequests
    .Add({ { "account", std::move(label) }, { "outcome", std::string(aOutcome) } })
    .Increment();
}

void FleetMetrics::RecordAttempt(std::string_view aService, placement::Outcome aOutcome)
{
  impl_->attempts
    .Add({ { "service", std::string(aService) }, { "outcome", std::string(ToString(aOutcome)) } })
    .Increment();
}

void FleetMetrics::RecordDomainBytes(std::string_view aPeerDomain,
                                     DomainBytesKind aKind,
                                     size_t aBytes)
{
  impl_->domainBytes
    .Add({ { "peer_domain", std::string(aPeerDomain) }, { "kind", std::string(ToString(aKind)) } })
    .Increment(static_cast<double>(aBytes));
}

void FleetMetrics::SetDomainCrossings(std::span<const DomainCrossings> aCrossings)
{
  for (const DomainCrossings& crossings : aCrossings) {
    auto& counter = impl_->domainCrossings.Add(
      { { "domain", crossings.domain }, { "reason", std::string(ToString(crossings.reason)) } });
    counter.Increment(std::max(0.0, static_cast<double>(crossings.requests) - counter.Value()));
  }
}

void FleetMetrics::SetLimitedUpstreams(const std::map<std::string, size_t>& aCounts)
{
  for (const auto& [service, count] : aCounts) {
    impl_->limited.Add({ { "service", service } }).Set(static_cast<double>(count));
  }
}

void FleetMetrics::SetLeavingUpstreams(const std::map<std::string, size_t>& aCounts)
{
  for (const auto& [service, count] : aCounts) {
    impl_->leaving.Add({ { "service", service } }).Set(static_cast<double>(count));
  }
}

void FleetMetrics::SetPausedUpstreams(const std::map<std::string, size_t>& aCounts)
{
  for (const auto& [service, count] : aCounts) {
    impl_->paused.Add({ { "service", service } }).Set(static_cast<double>(count));
  }
}

void FleetMetrics::RecordRelay(std::string_view aRole, std::string_view aOutcome)
{
  impl_->relayed.Add({ { "role", std::string(aRole) }, { "outcome", std::string(aOutcome) } })
    .Increment();
}

void FleetMetrics::RecordCallerCutOff(std::string_view aReason)
{
  impl_->callersCutOff.Add({ { "reason", std::string(aReason) } }).Increment();
}

void FleetMetrics::SetHasLostLinks(bool aHasLostLinks)
{
  impl_->lostLinks.Set(aHasLostLinks ? 1 : 0);
}

void FleetMetrics::SetQuarantinedRequests(size_t aCount)
{
  impl_->quarantined.Set(static_cast<double>(aCount));
}

void FleetMetrics::SetQueues(const QueueMetrics& aMetrics)
{
  for (const auto& [priority, queue] : aMetrics.queues) {
    impl_->queues.insert(priority);
  }
  for (const auto& [service, priority] : impl_->queues) {
    const auto found = aMetrics.queues.find({ service, priority });
    const bool isEmpty = found == aMetrics.queues.end();
    const std::map<std::string, std::string> labels{ { "service", service },
                                                     { "priority", std::to_string(priority) } };
    impl_->waiting.Add(labels).Set(isEmpty ? 0 : static_cast<double>(found->second.waiting));
    impl_->longestWait.Add(labels).Set(isEmpty ? 0 : found->second.longestWaitSeconds);
  }
  for (const auto& [key, count] : aMetrics.refusals) {
    const auto& [service, priority, reason] = key;
    auto& counter = impl_->refusals.Add(
      { { "service", service }, { "priority", std::to_string(priority) }, { "reason", reason } });
    counter.Increment(static_cast<double>(count) - counter.Value());
  }
}

void FleetMetrics::SetStoreCalls(const MeteredStore::Counts& aCalls, uint64_t aEpoch)
{
  for (size_t i = 0; i < aCalls.size(); ++i) {
    const auto operation = static_cast<StoreOperation>(i);
    impl_->SetCalls(operation, "succeeded", aCalls[i].succeeded);
    impl_->SetCalls(operation, "refused", aCalls[i].refused);
    impl_->SetCalls(operation, "unanswered", aCalls[i].unanswered);
    impl_->SetCalls(operation, "history_gone", aCalls[i].historyGone);
  }
  impl_->storeEpoch.Set(static_cast<double>(aEpoch));
}

void FleetMetrics::SetQuotas(const QuotaClientStats& aStats)
{
  const quota::QuotaHostStats& host = aStats.host;
  Impl::SetTotal(impl_->quotaRequests.Add({ { "decision", "granted" } }), host.granted);
  Impl::SetTotal(impl_->quotaRequests.Add({ { "decision", "rejected" } }), host.rejected);
  Impl::SetTotal(impl_->quotaRequests.Add({ { "decision", "refunded" } }), host.refunded);
  Impl::SetTotal(impl_->quotaMessages.Add({ { "result", "sent" } }), host.messages);
  Impl::SetTotal(impl_->quotaMessages.Add({ { "result", "timeout" } }), host.timeouts);
  for (const auto& [account, count] : aStats.rejected) {
    Impl::SetTotal(impl_->quotaRejected.Add({ { "account", account } }), count);
  }
  impl_->quotaAccounts.Add({ { "role", "host" } }).Set(static_cast<double>(aStats.accounts));
  impl_->quotaAccounts.Add({ { "role", "owner" } }).Set(static_cast<double>(aStats.ownedAccounts));
  impl_->quotaOwnersAvoided.Set(static_cast<double>(aStats.avoidedOwners));
}

void FleetMetrics::SetConfiguration(const ConfigurationMetrics& aMetrics)
{
  impl_->configurationRevision.Set(static_cast<double>(aMetrics.revision));
  impl_->configurationAge.Set(std::chrono::duration<double>(aMetrics.age).count());
  Impl::SetTotal(impl_->peerMessagesDropped, aMetrics.droppedMessages);
}

void FleetMetrics::RecordControlDelay(Duration aDelay)
{
  impl_->controlDelay.Observe(std::chrono::duration<double>(aDelay).count());
}

std::string FleetMetrics::Expose() const
{
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace bg::fleet::detail
