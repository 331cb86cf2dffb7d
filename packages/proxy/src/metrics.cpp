#include "metrics.h"

#include <mutex>
#include <tuple>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bg {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBuckets = { 0.001, 0.0025, 0.005, 0.01, 0.025,
                                                                  0.05,  0.1,    0.25,  0.5,  1,
                                                                  2.5,   5,      10 };

std::string_view ToLabel(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Good:
      return "good";
    case OutcomeKind::Failed:
      return "failed";
    case OutcomeKind::Slow:
      return "slow";
    case OutcomeKind::Neutral:
    case OutcomeKind::Count:
      break;
  }
  return "neutral";
}

} // namespace

struct Metrics::Impl
{
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>* latency = nullptr;
  prometheus::Family<prometheus::Counter>* attempts = nullptr;
  prometheus::Family<prometheus::Counter>* outcomes = nullptr;
  std::mutex mutex;
  std::map<std::tuple<std::string, std::string, std::string>, prometheus::Histogram*> histograms;
  std::map<std::string, prometheus::Counter*> attemptCounters;
  std::map<std::pair<std::string, OutcomeKind>, prometheus::Counter*> outcomeCounters;
  std::map<std::string, prometheus::Gauge*> gauges;
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
  impl_->latency = &prometheus::BuildHistogram()
                      .Name("boragegauge_request_seconds")
                      .Help("Time from the complete request to its response.")
                      .Register(impl_->registry);
  impl_->attempts = &prometheus::BuildCounter()
                       .Name("boragegauge_upstream_attempts_total")
                       .Help("Requests sent to upstreams, retries and hedges included.")
                       .Register(impl_->registry);
  impl_->outcomes = &prometheus::BuildCounter()
                       .Name("boragegauge_upstream_outcomes_total")
                       .Help("Outcomes at upstreams as classified for detection.")
                       .Register(impl_->registry);
}

Metrics::~Metrics() = default;

void Metrics::CountRequest(const RequestMetrics& aRequest)
{
  const std::lock_guard lock(impl_->mutex);
  auto& histogram = impl_->histograms[{
    std::string(aRequest.service), std::string(aRequest.caller), std::string(aRequest.outcome) }];
  if (histogram == nullptr) {
    histogram = &impl_->latency->Add({ { "service", std::string(aRequest.service) },
                                       { "caller", std::string(aRequest.caller) },
                                       { "outcome", std::string(aRequest.outcome) } },
                                     kLatencyBuckets);
  }
  histogram->Observe(aRequest.seconds);
  auto& counter = impl_->attemptCounters[std::string(aRequest.service)];
  if (counter == nullptr) {
    counter = &impl_->attempts->Add({ { "service", std::string(aRequest.service) } });
  }
  counter->Increment(aRequest.attempts);
}

void Metrics::CountOutcome(std::string_view aService, OutcomeKind aKind)
{
  const std::lock_guard lock(impl_->mutex);
  auto& counter = impl_->outcomeCounters[{ std::string(aService), aKind }];
  if (counter == nullptr) {
    counter = &impl_->outcomes->Add(
      { { "service", std::string(aService) }, { "class", std::string(ToLabel(aKind)) } });
  }
  counter->Increment();
}

std::string Metrics::Expose(const std::vector<Gauge>& aGauges)
{
  const std::lock_guard lock(impl_->mutex);
  for (const Gauge& gauge : aGauges) {
    auto& registered = impl_->gauges[gauge.name];
    if (registered == nullptr) {
      registered = &prometheus::BuildGauge()
                      .Name(gauge.name)
                      .Help(gauge.help)
                      .Register(impl_->registry)
                      .Add({});
    }
    registered->Set(gauge.value);
  }
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace bg
