#include "boragegauge/relay.h"

namespace bg::relay {

namespace {

/// Failures that are further apart have nothing to do with each other: a host with little traffic
/// meets one crashed upstream now and then.
constexpr Duration kMaxFailureGap = std::chrono::seconds(10);
/// Between two trials of the links.
constexpr Duration kTrialInterval = Milliseconds(500);

} // namespace

bool LinkMonitor::RecordConnected(std::string_view aUpstream, TimePoint aNow)
{
  failed_.clear();
  if (!hasLostLinks_) {
    return false;
  }
  connected_.emplace(aUpstream);
  if (connected_.size() < kRegainedUpstreams) {
    return false;
  }
  hasLostLinks_ = false;
  since_ = aNow;
  connected_.clear();
  return true;
}

bool LinkMonitor::RecordUnreachable(std::string_view aUpstream, TimePoint aNow)
{
  if (aNow - lastFailure_ > kMaxFailureGap) {
    failed_.clear();
  }
  lastFailure_ = aNow;
  failed_.emplace(aUpstream);
  connected_.clear();
  if (hasLostLinks_ || failed_.size() < kLostUpstreams) {
    return false;
  }
  hasLostLinks_ = true;
  since_ = aNow;
  return true;
}

bool LinkMonitor::IsTrialDue(TimePoint aNow) const
{
  return hasLostLinks_ && aNow - lastTrial_ >= kTrialInterval;
}

} // namespace bg::relay
