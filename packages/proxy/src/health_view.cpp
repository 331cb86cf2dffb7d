#include "health_control.h"

namespace bg {

bool HealthControl::IsInSlowStart(UpstreamHandle aUpstream, TimePoint aNow) const
{
  const TimePoint from = upstreams_[aUpstream.idx].slowStartFrom;
  const ServiceHandle service = configuration_->upstreams[aUpstream.idx].service;
  return from != TimePoint{} && aNow < from + configuration_->services[service.idx].slowStart;
}

ServiceHealth HealthControl::Health(std::string_view aService) const
{
  ServiceHealth health;
  if (!configuration_) {
    return health;
  }
  for (const ServiceConfig& service : configuration_->services) {
    if (service.id != aService) {
      continue;
    }
    health.floor = service.healthyFloor;
    for (const UpstreamHandle handle : service.upstreams) {
      const std::string& id = configuration_->upstreams[handle.idx].id;
      if (upstreams_[handle.idx].isListedLive && !IsInSlowStart(handle, lastTick_) &&
          !init_.leaving->IsLeaving(aService, id, lastTick_)) {
        health.healthy.push_back(id);
      }
    }
  }
  return health;
}

std::vector<UpstreamStatus> HealthControl::UpstreamStatuses(TimePoint aNow) const
{
  std::vector<UpstreamStatus> status(upstreams_.size());
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamHandle handle{ static_cast<uint16_t>(i) };
    status[i].avoided = !upstreams_[i].avoidedBy.empty() || localDetector_.IsAvoided(handle);
    status[i].slowStartFrom = upstreams_[i].slowStartFrom;
  }
  for (const LeavingMark& mark : init_.leaving->Marks(aNow)) {
    const UpstreamHandle handle = FindUpstream(mark.service, mark.upstream);
    if (IsValid(handle) && !init_.settings->IsDisabled("leaving")) {
      status[handle.idx].leaving = true;
    }
  }
  for (const Ejection& ejection : init_.permits->Ejected(aNow)) {
    const UpstreamHandle handle = FindUpstream(ejection.service, ejection.upstream);
    if (IsValid(handle)) {
      status[handle.idx].ejectedUntil = ejection.deadline;
      status[handle.idx].avoided = true;
    }
  }
  return status;
}

std::vector<Duration> HealthControl::SlowLimits() const
{
  std::vector<Duration> limits;
  for (size_t i = 0; i < configuration_->services.size(); ++i) {
    limits.push_back(localDetector_.SlowLimit(ServiceHandle{ static_cast<uint16_t>(i) }));
  }
  return limits;
}

std::vector<UpstreamView> HealthControl::UpstreamViews(TimePoint aNow) const
{
  std::vector<UpstreamView> views;
  const std::vector<UpstreamStatus> status = UpstreamStatuses(aNow);
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamHandle handle{ static_cast<uint16_t>(i) };
    const UpstreamConfig& config = configuration_->upstreams[i];
    UpstreamView& view = views.emplace_back();
    view.service = configuration_->services[config.service.idx].id;
    view.upstream = config.id;
    view.state = status[i].leaving               ? "leaving"
                 : status[i].ejectedUntil > aNow ? "ejected"
                 : status[i].avoided             ? "avoided"
                 : IsInSlowStart(handle, aNow)   ? "cold"
                                                 : "normal";
    view.score = pooledDetector_.Score(handle);
    view.inFlight = load_->InFlight(handle);
  }
  return views;
}

} // namespace bg
