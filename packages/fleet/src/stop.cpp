#include "stop_p.h"

namespace bg::fleet::detail {

namespace {

constexpr Duration kStopPollInterval = Milliseconds(20);
/// A host ends when it has had nothing to finish for this long.
constexpr Duration kIdleTime = Milliseconds(100);

/// What a host has not finished yet.
struct Unfinished
{
  size_t requests = 0;
  size_t connections = 0; ///< See FleetTraffic::Unfinished().

  bool Empty() const { return requests + connections == 0; }
};

Unfinished CountUnfinished(FleetControl& aControl, FleetTraffic& aTraffic)
{
  return { aTraffic.Active(), aTraffic.Unfinished() + aControl.Unfinished() };
}

void LogUnfinished(LogLevel aLevel, std::string_view aEvent, const Unfinished& aUnfinished)
{
  Log(aLevel,
      aEvent,
      { { "in_flight", aUnfinished.requests }, { "connections", aUnfinished.connections } });
}

} // namespace

void StopServing(const StopSchedule& aSchedule,
                 FleetControl& aControl,
                 FleetTraffic& aTraffic,
                 const std::function<void(Duration)>& aWait)
{
  Log(LogLevel::Info, "stopping", { { "in_flight", aTraffic.Active() } });
  aControl.BeginStop();
  aTraffic.BeginStop(aSchedule);
  while (Now() < aSchedule.NoticeEnd()) {
    aWait(aSchedule.NoticeEnd() - Now());
  }
  aTraffic.StopAccepting();
  Unfinished unfinished = CountUnfinished(aControl, aTraffic);
  LogUnfinished(LogLevel::Info, "accepting_ended", unfinished);
  TimePoint idleSince = Now();
  while (Now() < aSchedule.End() && Now() - idleSince < kIdleTime) {
    aWait(kStopPollInterval);
    // The connections matter only when no request is left.
    unfinished = aTraffic.Active() > 0 ? Unfinished{ .requests = aTraffic.Active() }
                                       : CountUnfinished(aControl, aTraffic);
    if (!unfinished.Empty()) {
      idleSince = Now();
    }
  }
  if (!unfinished.Empty()) {
    LogUnfinished(LogLevel::Warning, "stopped_with_requests", unfinished);
  }
}

} // namespace bg::fleet::detail
