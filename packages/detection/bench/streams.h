#pragma once

#include "policies.h"

/// Seeded streams of request outcomes at each proxy, with and without faults. This is no simulation
/// of a cluster: service times are independent and upstreams have no queues.
namespace bg::detection::measure {

enum class FaultKind
{
  None,
  HalfFailing,      ///< Half of the real requests fail; health probes would succeed.
  TenTimesSlower,   ///< One upstream; it sheds the requests for which it has no free slot.
  SlowForOneDomain, ///< Ten times slower, but only for the proxies of one failure domain.
  Flapping,         ///< Half-failing and healthy in turns of 20 s.
  OneWayLoss,       ///< Requests from every fourth proxy, in all domains, get no response.
  SharedSlowDown,   ///< All upstreams become five times slower, because of load.
  ShedBurst,        ///< All upstreams shed most requests and are twice as slow, because of load.
  /// Requests on reused connections get no response, new connections work; no fault of the
  /// upstream.
  SilentConnections,

  Count
};

std::string_view ToString(FaultKind aFault);
/// True when one upstream is unhealthy; false when only load or nothing is wrong.
bool IsUpstreamFault(FaultKind aFault);

struct StreamInit
{
  Fleet fleet{};
  FaultKind fault = FaultKind::None;
  double serviceMs = 25;      ///< Mean service time.
  double sigma = 0.6;         ///< Standard deviation of the logarithm of the service time.
  double load = 0.5;          ///< Share of all slots in use.
  uint32_t slots = 3;         ///< Concurrent requests per upstream.
  double failureRate = 0.001; ///< Share of requests that fail at a healthy upstream.
  double timeoutMs = 1000;
  double warmUpSeconds = 30;
  double runSeconds = 30;     ///< Time after the warm-up, in which the fault is active.
  double episodeSeconds = 20; ///< Length of a load-only episode.
  double episodeEvery = 600;  ///< Time from the start of one episode to the start of the next.
};

struct StreamResult
{
  /// Detection time of each affected proxy; the length of the run if it did not detect the fault.
  std::vector<double> detectionMs;
  uint32_t missed = 0; ///< Affected proxies that did not detect the fault.
  uint64_t requests = 0;
  uint64_t sent = 0;   ///< New requests of affected proxies to the unhealthy upstream.
  uint64_t wasted = 0; ///< Those of the sent requests that failed or were slow.
  /// Ejections of upstreams that are healthy, or unhealthy on one path only.
  uint32_t falseEjections = 0;
  uint32_t falseAvoidances = 0; ///< Avoidances of upstreams or at proxies without a fault.
  double hours = 0;             ///< Simulated time after the warm-up.
};

StreamResult RunStream(const StreamInit& aInit, const PolicySpec& aPolicy, uint64_t aSeed);

} // namespace bg::detection::measure
