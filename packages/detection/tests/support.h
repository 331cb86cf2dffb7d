#pragma once

#include "boragegauge/detection.h"

namespace bg::detection::test {

/// One service with the given number of upstreams and four failure domains.
inline Configuration MakeConfiguration(uint16_t aUpstreams, double aThreshold)
{
  Configuration configuration;
  configuration.failureDomains = { "xela-a", "xela-b", "toto-a", "solola-a" };
  ServiceConfig service;
  service.id = "order-desk";
  service.detection.threshold = aThreshold;
  for (uint16_t u = 0; u < aUpstreams; ++u) {
    UpstreamConfig upstream;
    upstream.id = "desk-" + std::to_string(u);
    upstream.service = ServiceHandle{ 0 };
    service.upstreams.push_back(UpstreamHandle{ u });
    configuration.upstreams.push_back(upstream);
  }
  configuration.services.push_back(service);
  return configuration;
}

/// Time of a test in milliseconds after its start. The start is not the default TimePoint, which
/// means "never".
inline TimePoint At(int64_t aMs)
{
  return TimePoint(std::chrono::hours(1)) + Milliseconds(aMs);
}

} // namespace bg::detection::test
