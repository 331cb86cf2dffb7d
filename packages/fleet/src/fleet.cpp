#include "boragegauge/fleet.h"

#include <csignal>
#include <ctime>

#include "session_p.h"

namespace bg::fleet {

namespace {

using namespace detail;

/// Time for the load balancer to remove this host. It checks readiness once a second and removes a
/// host after two failures.
constexpr Duration kBalancerNoticePeriod = Milliseconds(2800);
constexpr Duration kDrainPollInterval = Milliseconds(20);
/// Time for the response to the last request to leave the socket.
constexpr Duration kResponseFlushTime = Milliseconds(100);

sigset_t HandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

/// @return The signal, or 0 on a timeout.
int WaitForSignal(Duration aTimeout)
{
  const sigset_t signals = HandledSignals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aTimeout);
  const timespec timeout{ static_cast<time_t>(seconds.count()),
                          static_cast<long>((aTimeout - seconds).count()) };
  const int signal = sigtimedwait(&signals, nullptr, &timeout);
  return signal < 0 ? 0 : signal;
}

int FailStart(const Error& aError)
{
  Log(LogLevel::Error,
      "start_failed",
      { { "step", aError.step },
        { "peer", aError.peer },
        { "error", aError.code.message() },
        { "detail", aError.detail } });
  return 1;
}

/// Fails the readiness check, then closes the listening socket, then waits for the open requests.
void Drain(const FleetInit& aInit, FleetControl& aControl, FleetTraffic& aTraffic)
{
  const TimePoint drainEnd = Now() + aInit.stopLimit;
  Log(LogLevel::Info, "stopping", { { "in_flight", aTraffic.Active() } });
  aControl.BeginStop();
  aTraffic.CloseAfterResponses();
  const TimePoint noticeEnd = Now() + kBalancerNoticePeriod;
  while (Now() < noticeEnd) {
    WaitForSignal(noticeEnd - Now());
  }
  aTraffic.StopAccepting();
  TimePoint idleSince = Now();
  while (Now() < drainEnd && Now() - idleSince < kResponseFlushTime) {
    WaitForSignal(kDrainPollInterval);
    if (aTraffic.Active() > 0) {
      idleSince = Now();
    }
  }
  if (aTraffic.Active() > 0) {
    Log(LogLevel::Warning, "stopped_with_requests", { { "in_flight", aTraffic.Active() } });
  }
}

} // namespace

int RunFleetProxy(const FleetInit& aInit)
{
  FleetShared shared;
  FleetMetrics metrics;
  shared.onDomainBytes =
    [&metrics](std::string_view aDomain, DomainBytesKind aKind, size_t aBytes) {
      metrics.RecordDomainBytes(aDomain, aKind, aBytes);
    };
  shared.onControlDelay = [&metrics](Duration aDelay) { metrics.RecordControlDelay(aDelay); };
  FleetControl control(aInit, shared);
  control.SetMetrics([&] {
    metrics.SetLimitedUpstreams(control.LimitedUpstreams());
    metrics.SetLeavingUpstreams(control.LeavingUpstreams());
    metrics.SetPausedUpstreams(control.PausedUpstreams());
    metrics.SetDomainCrossings(control.Crossings());
    metrics.SetQueues(control.Queues());
    metrics.SetQuarantinedRequests(control.QuarantinedRequests());
    metrics.SetQuotas(control.QuotaStats());
    metrics.SetConfiguration(control.ConfigurationState());
    metrics.SetStoreCalls(control.StoreCallCounts(), control.StoreEpoch());
    return metrics.Expose();
  });
  if (const auto error = control.Bind()) {
    return FailStart(*error);
  }
  FleetTraffic traffic(aInit, shared, control, metrics);
  if (const auto error = traffic.Start()) {
    return FailStart(*error);
  }
  control.Start();
  Log(LogLevel::Info,
      "started",
      { { "host", aInit.host },
        { "failure_domain", aInit.failureDomain },
        { "address", aInit.address },
        { "port", aInit.callerPort },
        { "admin_port", aInit.adminPort },
        { "peer_port", aInit.peerPort } });
  int signal = 0;
  while (signal == 0 || signal == SIGHUP) {
    signal = WaitForSignal(std::chrono::hours(24));
    if (signal == SIGHUP) {
      // Settings are addresses and limits that cannot change while the process runs.
      Log(LogLevel::Info, "reload_ignored", { { "reason", "settings take effect at a restart" } });
    }
  }
  Drain(aInit, control, traffic);
  traffic.Stop();
  control.Stop();
  Log(LogLevel::Info, "stopped", { { "host", aInit.host } });
  return 0;
}

} // namespace bg::fleet
