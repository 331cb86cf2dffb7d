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

/// Everything that traffic threads need to serve requests. Published by the control thread and
/// never changed afterwards, except for the atomics of the load table.
struct RoutingSnapshot
{
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const RouteTable> routes;
  std::shared_ptr<LoadTable> load;
  std::vector<UpstreamStatus> status; ///< By upstream handle.
  std::vector<Duration> slowLimits;   ///< By service handle.
  FailureDomainHandle localDomain;
};

using SnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

enum class EvidenceKind
{
  Good,
  Failed,
  Slow,
  Neutral,

  Count
};

/// One outcome of real work at one upstream.
struct UpstreamEvidence
{
  SnapshotPtr snapshot; ///< Defines the handle.
  UpstreamHandle upstream;
  EvidenceKind kind = EvidenceKind::Good;
  Duration latency{ 0 };
  TimePoint at{};
  bool trial = false;
};

/// Refused requests, reported for decision records.
struct RefusalEvent
{
  std::string service;
  std::string caller;
  std::string rule;
  std::string requestId;
  std::vector<std::pair<std::string, double>> evidence;
};

/// Calls from traffic threads into the control thread. Each may be called from any thread and
/// returns at once; callbacks run on the thread of the loop given at start.
struct ControlHooks
{
  std::function<void(std::vector<UpstreamEvidence>)> onEvidence;
  std::function<void(RefusalEvent)> onRefusal;
  std::function<
    void(std::string aService, std::string aUpstream, std::string aBootId, std::string aSource)>
    onLeaving;
  std::function<void(ClaimRequest, TimePoint aDeadline, std::function<void(ClaimResult)>)> claim;
  /// Stores the outcome of a claim that was won.
  std::function<void(std::string aRowKey, ClaimOutcome)> completeClaim;
  /// Gives up a claim whose request was certainly not run.
  std::function<void(std::string aRowKey)> withdrawClaim;
  /// Keeps a claim without an outcome.
  std::function<void(std::string aRowKey)> forgetClaim;
};

/// Outcome of one caller's request, for metrics.
struct RequestMetrics
{
  std::string_view service;
  std::string_view caller;
  std::string_view outcome;
  double seconds = 0;
  uint32_t attempts = 0;
};

/// Shared by all traffic threads of the process.
struct TrafficShared
{
  const ProxySettings* settings = nullptr;
  ControlHooks hooks;
  std::function<void(const RequestMetrics&)> onRequestDone;
  std::shared_ptr<ByteBudget> bodyBudget; ///< Request bodies in memory.

  SnapshotPtr Snapshot() const { return snapshot_.load(); }
  void Publish(SnapshotPtr aSnapshot) { snapshot_.store(std::move(aSnapshot)); }

private:
  std::atomic<SnapshotPtr> snapshot_;
};

} // namespace bg
