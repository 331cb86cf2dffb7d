#include <unordered_map>

#include "boragegauge/detection.h"

namespace bg::detection::detail {

std::vector<uint16_t> UpstreamTable::Rebuild(const Configuration& aConfiguration)
{
  std::unordered_map<std::string, uint16_t> formerByKey;
  for (size_t i = 0; i < keys_.size(); ++i) {
    formerByKey.emplace(std::move(keys_[i]), static_cast<uint16_t>(i));
  }
  keys_.clear();
  std::vector<uint16_t> formerIndices;
  for (const UpstreamConfig& upstream : aConfiguration.upstreams) {
    const std::string& service = aConfiguration.services[upstream.service.idx].id;
    keys_.push_back(service + '\n' + upstream.id);
    const auto it = formerByKey.find(keys_.back());
    formerIndices.push_back(it == formerByKey.end() ? UINT16_MAX : it->second);
  }
  return formerIndices;
}

std::vector<ServiceMembers> CollectServices(const Configuration& aConfiguration)
{
  std::vector<ServiceMembers> services(aConfiguration.services.size());
  for (size_t i = 0; i < services.size(); ++i) {
    services[i].id = aConfiguration.services[i].id;
    services[i].config = aConfiguration.services[i].detection;
    services[i].readmission.minBackoff = services[i].config.minBackoff;
    services[i].readmission.maxBackoff = services[i].config.maxBackoff;
  }
  for (size_t i = 0; i < aConfiguration.upstreams.size(); ++i) {
    services[aConfiguration.upstreams[i].service.idx].upstreams.push_back(static_cast<uint16_t>(i));
  }
  return services;
}

} // namespace bg::detection::detail
