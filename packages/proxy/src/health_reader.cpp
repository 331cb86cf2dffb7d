#include "health_reader.h"

#include <nlohmann/json.hpp>

namespace bg {

namespace {

constexpr Duration kReadTimeout = Milliseconds(1000);
constexpr size_t kMaxResponseBytes = 4096;

} // namespace

HealthReader::HealthReader(HealthReaderInit aInit)
  : init_(std::move(aInit))
  , client_(CreateCurlUpstreamClient({ .loop = init_.loop }))
{
}

void HealthReader::Configure(std::shared_ptr<const Configuration> aConfiguration)
{
  configuration_ = std::move(aConfiguration);
  nextReadAt_.assign(configuration_->upstreams.size(), TimePoint{});
}

void HealthReader::Tick(TimePoint aNow)
{
  if (!configuration_) {
    return;
  }
  for (size_t i = 0; i < nextReadAt_.size(); ++i) {
    if (nextReadAt_[i] == TimePoint{}) {
      // Offsets of the first reads spread all reads over the interval.
      const auto offset =
        init_.interval * static_cast<int64_t>(i) / static_cast<int64_t>(nextReadAt_.size());
      nextReadAt_[i] = aNow + offset;
    }
    if (aNow < nextReadAt_[i]) {
      continue;
    }
    nextReadAt_[i] = aNow + init_.interval;
    const UpstreamConfig& upstream = configuration_->upstreams[i];
    if (init_.isAssigned(configuration_->services[upstream.service.idx].id, upstream.id)) {
      ReadEndpoint(upstream);
    }
  }
}

void HealthReader::ReadEndpoint(const UpstreamConfig& aUpstream)
{
  UpstreamRequest request;
  request.address = aUpstream.address;
  request.port = aUpstream.adminPort != 0 ? aUpstream.adminPort : aUpstream.port;
  request.method = "GET";
  request.target = "/healthz";
  request.deadline = kReadTimeout;
  request.maxResponseBytes = kMaxResponseBytes;
  const std::string service = configuration_->services[aUpstream.service.idx].id;
  client_->Send(std::move(request),
                [this, service, id = aUpstream.id](const UpstreamResult& aResult) {
                  if (aResult.failure != UpstreamFailure::None) {
                    return;
                  }
                  const auto body = nlohmann::json::parse(aResult.body, nullptr, false);
                  if (!body.is_object()) {
                    return;
                  }
                  const auto stringAt = [&](const char* aKey) {
                    const auto found = body.find(aKey);
                    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                                     : std::string();
                  };
                  init_.onHealthRead(service, id, stringAt("status"), stringAt("boot_id"));
                });
}

} // namespace bg
