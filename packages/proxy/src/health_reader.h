#pragma once

#include <functional>
#include <memory>
#include <string>

#include "boragegauge/upstream.h"
#include "proxy_p.h"

namespace bg {

struct HealthReaderInit
{
  EventLoop* loop = nullptr;
  /// Whether this proxy, of all proxies, has to read the upstream's endpoint.
  std::function<bool(std::string_view aService, std::string_view aUpstream)> isAssigned;
  /// Called after each successful read; aStatus and aBootId are empty if the body lacks them.
  std::function<void(std::string_view aService,
                     std::string_view aUpstream,
                     std::string_view aStatus,
                     std::string_view aBootId)>
    onHealthRead;
  Milliseconds interval{ 2000 }; ///< Time between two reads of one upstream.
};

/// Reads /healthz of upstreams periodically, only to detect leaving upstreams and new boot ids. The
/// reported status is not used as evidence of health, because it lags and can be wrong. The reads
/// of all upstreams are spread evenly over the interval.
class HealthReader
{
public:
  explicit HealthReader(HealthReaderInit aInit);
  void Configure(std::shared_ptr<const Configuration> aConfiguration);
  void Tick(TimePoint aNow);

private:
  void ReadEndpoint(const UpstreamConfig& aUpstream);

  HealthReaderInit init_;
  std::unique_ptr<UpstreamClient> client_;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<TimePoint> nextReadAt_; ///< By upstream handle.
};

} // namespace bg
