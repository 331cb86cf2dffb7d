#include "boragegauge/proxy.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>

#include <CLI/CLI.hpp>

#include "boragegauge/fleet.h"
#include "boragegauge/users_platform.h"
#include "control.h"
#include "traffic_thread.h"

namespace bg {

namespace {

/// Longest wait for requests in flight after the listening sockets are closed.
constexpr Duration kMaxDrainTime = std::chrono::seconds(60);
constexpr Duration kRecordUploadTimeout = std::chrono::seconds(2);
constexpr Duration kDrainPollInterval = Milliseconds(10);
/// The CPU capacity that a host advertises for coordination is scaled down in proportion if its
/// link is slower than this, in Mbit/s.
constexpr double kReferenceBandwidthMbps = 100;
/// Share of the memory limit for the bodies of requests and responses.
constexpr double kBodyMemoryShare = 0.25;

sigset_t TerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Waits for a termination signal. @return True when one arrived within the limit.
bool WaitForSignal(Duration aTimeout)
{
  const sigset_t signals = TerminationSignals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aTimeout);
  const timespec limit{ static_cast<time_t>(seconds.count()),
                        static_cast<long>((aTimeout - seconds).count()) };
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

size_t CountActiveSessions(const std::vector<std::unique_ptr<TrafficThread>>& aThreads)
{
  size_t sessions = 0;
  for (const auto& thread : aThreads) {
    sessions += thread->ActiveSessions();
  }
  return sessions;
}

/// Makes the proxy unready, then closes its listening sockets, then waits for the requests in
/// flight. A second signal ends the wait.
void DrainRequests(const ProxySettings& aSettings,
                   ControlThread& aControl,
                   const std::vector<std::unique_ptr<TrafficThread>>& aThreads)
{
  if (aSettings.IsDisabled("drain")) {
    return;
  }
  Log(LogLevel::Info, "shutdown_started", { { "in_flight", CountActiveSessions(aThreads) } });
  aControl.BeginShutdown();
  if (WaitForSignal(aSettings.balancerNotice)) {
    return;
  }
  for (const auto& thread : aThreads) {
    thread->StopAccepting();
  }
  const TimePoint end = Now() + kMaxDrainTime;
  // Ten idle polls in sequence give the last response time to leave the socket.
  int idlePolls = 0;
  while (idlePolls < 10 && Now() < end) {
    idlePolls = CountActiveSessions(aThreads) == 0 ? idlePolls + 1 : 0;
    if (WaitForSignal(kDrainPollInterval)) {
      return;
    }
  }
}

/// Logs the error. @return Exit code.
int ReportStartFailure(const Error& aError)
{
  Log(LogLevel::Error,
      "start_failed",
      { { "step", aError.step },
        { "peer", aError.peer },
        { "error", aError.code.message() },
        { "detail", aError.detail } });
  return 1;
}

/// Serves with accepted configurations from the platform, until a termination signal.
/// @return Exit code.
int ServeFromConfiguration(const ProxySettings& aSettings)
{
  Metrics metrics;
  TrafficContext context;
  context.settings = &aSettings;
  context.bodyBudget = std::make_shared<ByteBudget>(aSettings.bodyBudgetBytes);
  context.onRequestDone = [&](const RequestMetrics& aRequest) { metrics.CountRequest(aRequest); };
  std::vector<std::unique_ptr<TrafficThread>> threads;
  ControlThread control(aSettings, context, metrics);
  auto ports = control.Bind();
  if (!ports) {
    return ReportStartFailure(ports.Failure());
  }
  ports->port = aSettings.port;
  for (uint32_t i = 0; i < aSettings.trafficThreads; ++i) {
    threads.push_back(std::make_unique<TrafficThread>(context));
    const auto port = threads.back()->Start(ports->port);
    if (!port) {
      return ReportStartFailure(port.Failure());
    }
    ports->port = *port;
  }
  control.Start();
  std::printf("listening port=%u admin_port=%u peer_port=%u\n",
              ports->port,
              ports->adminPort,
              ports->peerPort);
  std::fflush(stdout);
  Log(LogLevel::Info,
      "started",
      { { "host", aSettings.host },
        { "failure_domain", aSettings.failureDomain },
        { "port", ports->port },
        { "admin_port", ports->adminPort },
        { "peer_port", ports->peerPort } });

  while (!WaitForSignal(std::chrono::hours(24))) {
  }
  DrainRequests(aSettings, control, threads);
  for (const auto& thread : threads) {
    thread->Stop();
  }
  control.Stop(kRecordUploadTimeout);
  Log(LogLevel::Info, "stopped", { { "host", aSettings.host } });
  return 0;
}

/// Serves with configuration and upstreams from the shared store of the users' platform, until a
/// termination signal. @return Exit code.
int ServeFromStore(const ProxySettings& aSettings)
{
  const StoreSettings& store = aSettings.store;
  SetLogLimits({});
  fleet::FleetInit init;
  init.host = aSettings.host;
  init.failureDomain = aSettings.failureDomain;
  init.address = store.callers.address;
  init.callerPort = store.callers.port;
  init.readinessAddress = store.readiness.address;
  init.readinessPort = store.readiness.port;
  init.readinessPath = store.readinessPath;
  init.adminPort = store.admin.port;
  init.peerPort = aSettings.peerPort;
  init.relayPort = aSettings.relayPort;
  for (const SeedPeer& seed : aSettings.seeds) {
    init.seeds.push_back(seed.address);
  }
  const double bandwidthFactor = std::min(1.0, store.bandwidthMbps / kReferenceBandwidthMbps);
  init.capacity = static_cast<uint32_t>(100 * store.cpuShare * bandwidthFactor);
  init.isFirstStart = store.isFirstStart;
  init.alwaysPrefersOwnDomain = store.preferOwnDomain;
  init.retryRatio = store.retryRatio;
  init.retrySlack = store.retrySlack;
  init.retryWindow = store.retryWindow;
  init.quotaWindow = store.quotaWindow;
  init.quotaOvershoot = store.quotaOvershoot;
  init.quotaSlack = store.quotaSlack;
  init.stopLimit = store.stopLimit;
  init.bodyBudgetBytes = aSettings.bodyBudgetBytes;
  if (store.memoryMb > 0) {
    const auto limit = static_cast<size_t>(kBodyMemoryShare * store.memoryMb * (1UL << 20));
    init.bodyBudgetBytes = std::min(init.bodyBudgetBytes, limit);
  }
  init.maxResponseBytes = store.maxResponseBytes;
  init.createPlatform = [&store](EventLoop& aLoop) {
    return users_platform::CreateAdapter({ &aLoop, store.store.address, store.store.port });
  };
  return fleet::RunFleetProxy(init);
}

} // namespace

int RunProxy(int argc, char** argv)
{
  // Signals are blocked before any thread starts, so that only WaitForSignal() receives them, and
  // before all other work, so that a SIGHUP does not end a process that is still starting.
  sigset_t signals = TerminationSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("HTTP proxy of a boragegauge fleet.\n"
               "Example: boragegauge-proxy --settings proxy.json\n"
               "Exit codes: 0 stopped gracefully, 1 bad settings or address in use, 2 usage.");
  std::string file;
  bool isCheckOnly = false;
  app.add_option("--settings", file, "JSON file with the proxy's own settings")->required();
  app.add_flag("--check", isCheckOnly, "Check the settings and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  const auto settings = LoadProxySettings(file);
  if (!settings) {
    return ReportStartFailure(settings.Failure());
  }
  if (isCheckOnly) {
    return 0;
  }
  SetLogLevel(settings->logLevel);
  return settings->discovery == Discovery::Store ? ServeFromStore(*settings)
                                                 : ServeFromConfiguration(*settings);
}

} // namespace bg
