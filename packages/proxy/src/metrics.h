#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy_p.h"

namespace bg {

/// A value that is read when metrics are collected.
struct Gauge
{
  std::string name;
  std::string help;
  double value = 0;
};

/// Prometheus metrics of one proxy. Label sets are bounded: services, caller classes and a fixed
/// list of outcomes, never accounts or paths.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Callable from any thread.
  void CountRequest(const RequestMetrics& aRequest);
  void CountOutcome(std::string_view aService, OutcomeKind aKind);

  /// Text exposition format of all metrics, with the gauges given.
  std::string Expose(const std::vector<Gauge>& aGauges);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace bg
