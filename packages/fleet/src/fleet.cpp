#include "boragegauge/fleet.h"

#include <csignal>
#include <ctime>

#include "stop_p.h"

namespace bg::fleet {

namespace {

using namespace detail;

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
  StopServing(
    { Now(), aInit.stopLimit }, control, traffic, [](Duration aTime) { WaitForSignal(aTime); });
  traffic.Stop();
  control.Stop();
  Log(LogLevel::Info, "stopped", { { "host", aInit.host } });
  return 0;
}

} // namespace bg::fleet
