#pragma once

#include "policies.h"

/// Seeded streams of outcomes as each proxy sees them, with and without faults. Not a simulation of
/// a cluster: service times are independent, upstreams have no queues.
namespace bg::detection::measure {

enum class FaultKind
{
  None,
  HalfFailing,       ///< Half of real work fails; probes would succeed.
  TenTimesSlower,    ///< One upstream; the work that no longer fits into its slots is shed.
  SlowForOneDomain,  ///< Ten times slower, for callers of one failure domain only.
  Flapping,          ///< Half-failing for 20 s, healthy for 20 s, and so on.
  OneWayLoss,        ///< Requests from every fourth proxy, in all domains, get no response.
  SharedSlowDown,    ///< All upstreams become five times slower; load, not a fault.
  ShedBurst,         ///< All upstreams shed most work and are twice as slow; load, not a fault.
  SilentConnections, ///< Reused connections stay silent, fresh ones work; no fault of the upstream.

  Count
};

std::string_view ToString(FaultKind aFault);
/// True when one upstream is unhealthy, false for load-only and fault-free streams.
bool IsUpstreamFault(FaultKind aFault);

struct StreamInit
{
  Fleet fleet{};
  FaultKind fault = FaultKind::None;
  double serviceMs = 25; ///< Mean.
  double sigma = 0.6;    ///< Of the logarithm of the service time.
  double load = 0.5;     ///< Share of all slots in use.
  uint32_t slots = 3;
  double failureRate = 0.001; ///< Of healthy upstreams.
  double timeoutMs = 1000;
  double warmUpSeconds = 30;
  double runSeconds = 30;     ///< After the warm-up, with the fault.
  double episodeSeconds = 20; ///< Length of a load-only episode; the same time without follows.
  double episodeEvery = 600;  ///< Start of the next episode in runs that are long enough.
};

struct StreamResult
{
  std::vector<double> detectionMs; ///< One per affected proxy; runSeconds when not detected.
  uint32_t missed = 0;             ///< Affected proxies that did not detect the fault.
  uint64_t requests = 0;
  uint64_t sent = 0;           ///< New requests of affected proxies to the unhealthy upstream.
  uint64_t wasted = 0;         ///< Of these, failed or slow.
  uint32_t falseEjections = 0; ///< Healthy upstreams; also ones with a fault on one path only.
  uint32_t falseAvoidances = 0;
  double hours = 0; ///< Simulated time after the warm-up.
};

StreamResult RunStream(const StreamInit& aInit, const PolicySpec& aPolicy, uint64_t aSeed);

} // namespace bg::detection::measure
