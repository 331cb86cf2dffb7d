#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boragegauge/configuration.h"
#include "boragegauge/coordination.h"
#include "boragegauge/httpd.h"
#include "boragegauge/routing.h"
#include "settings.h"

namespace bg {

/// What traffic threads need to route requests. Published by the control thread; immutable except
/// for the atomic counters of the load table.
struct RoutingSnapshot
{
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const RouteTable> routes;
  std::shared_ptr<LoadTable> load;
  std::vector<UpstreamStatus> upstreamStatus; ///< By upstream handle.
  /// Latency above which an attempt counts as slow, by service handle.
  std::vector<Duration> slowLimits;
  FailureDomainHandle localDomain; ///< Invalid if the configuration lacks this proxy's domain.
};

using SnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

/// How an attempt counts for detection.
enum class OutcomeKind
{
  Good,
  Failed,
  Slow,
  Neutral, ///< Counts neither for nor against the upstream.

  Count
};

/// Outcome of one attempt to send a caller's request to an upstream.
struct AttemptOutcome
{
  SnapshotPtr snapshot; ///< Its configuration defines the upstream handle.
  UpstreamHandle upstream;
  OutcomeKind kind = OutcomeKind::Good;
  Duration latency{ 0 }; ///< Time from the start of the attempt to its outcome.
  TimePoint observedAt{};
  bool isTrial = false; ///< Trial request to an avoided or ejected upstream.
};

/// A request that the proxy refused, for a decision record.
struct RefusalEvent
{
  std::string service;
  std::string caller;
  std::string rule;
  std::string requestId;
  std::vector<std::pair<std::string, double>> evidence;
};

/// Calls from traffic threads into the control thread. Each may be called from any thread and
/// returns at once. Callbacks run on the control thread.
struct ControlHooks
{
  std::function<void(std::vector<AttemptOutcome>)> onOutcomes;
  std::function<void(RefusalEvent)> onRefusal;
  /// An upstream announced that it is leaving. aSource names the channel of the announcement, for
  /// the decision record.
  std::function<
    void(std::string aService, std::string aUpstream, std::string aBootId, std::string aSource)>
    onLeavingSignal;
  /// Claims an idempotency key.
  std::function<void(ClaimRequest, TimePoint aDeadline, std::function<void(ClaimResult)>)> claim;
  /// Stores the response to a claimed request.
  std::function<void(std::string aRowKey, ClaimOutcome)> completeClaim;
  /// Deletes a claim whose request was certainly not executed, so that the key can be used again.
  std::function<void(std::string aRowKey)> withdrawClaim;
  /// Leaves a claim without an outcome, because the request may have been executed.
  std::function<void(std::string aRowKey)> abandonClaim;
};

/// Outcome of one caller's request, for metrics.
struct RequestMetrics
{
  std::string_view service;
  std::string_view caller;
  std::string_view outcome;
  double seconds = 0;    ///< From the receipt of the request to its response.
  uint32_t attempts = 0; ///< Requests sent to upstreams, refused ones included.
};

/// State that all traffic threads of the process share.
struct TrafficContext
{
  const ProxySettings* settings = nullptr;
  ControlHooks hooks;
  std::function<void(const RequestMetrics&)> onRequestDone;
  std::shared_ptr<ByteBudget> bodyBudget; ///< Limits the request bodies in memory.

  SnapshotPtr Snapshot() const { return snapshot_.load(); }
  void Publish(SnapshotPtr aSnapshot) { snapshot_.store(std::move(aSnapshot)); }

private:
  std::atomic<SnapshotPtr> snapshot_;
};

} // namespace bg
