#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy_p.h"

namespace bg {

/// A metric whose value is sampled at each collection.
struct Gauge
{
  std::string name;
  std::string help;
  double value = 0;
};

/// Prometheus metrics of one proxy. Label values are bounded: services, caller classes and a fixed
/// set of outcomes, never accounts or paths.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  // All functions are callable from any thread.
  void CountRequest(const RequestMetrics& aRequest);
  void CountOutcome(std::string_view aService, OutcomeKind aKind);

  /// Serializes all metrics, aGauges included, in the Prometheus text format.
  std::string Expose(const std::vector<Gauge>& aGauges);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace bg
