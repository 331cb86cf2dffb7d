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
  /// Whether this proxy reads the endpoint of the upstream.
  std::function<bool(std::string_view aService, std::string_view aUpstream)> isReader;
  std::function<void(std::string_view aService,
                     std::string_view aUpstream,
                     std::string_view aStatus,
                     std::string_view aBootId)>
    onHealth;
  Milliseconds interval{ 2000 };
};

/// Reads /healthz of upstreams, for leaving and boot id only; its status is never evidence of
/// health, because it lags and misleads. The reads of one interval are spread over it.
class HealthReader
{
public:
  explicit HealthReader(HealthReaderInit aInit);
  void Configure(std::shared_ptr<const Configuration> aConfiguration);
  void Tick(TimePoint aNow);

private:
  void Read(const UpstreamConfig& aUpstream);

  HealthReaderInit init_;
  std::unique_ptr<UpstreamClient> client_;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<TimePoint> due_;
};

} // namespace bg
