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

/// Longest wait for requests in flight after the listening socket is closed.
constexpr Duration kDrainLimit = std::chrono::seconds(60);
constexpr Duration kUploadLimit = std::chrono::seconds(2);
constexpr Duration kPollInterval = Milliseconds(10);
/// A host with a narrower link coordinates as if it had less processor time, in Mbit/s.
constexpr double kFullBandwidthMbps = 100;

sigset_t TerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Waits for a termination signal. @return True when one arrived within the limit.
bool WaitForSignal(Duration aLimit)
{
  const sigset_t signals = TerminationSignals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aLimit);
  const timespec limit{ static_cast<time_t>(seconds.count()),
                        static_cast<long>((aLimit - seconds).count()) };
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

size_t CountActive(const std::vector<std::unique_ptr<TrafficThread>>& aThreads)
{
  size_t active = 0;
  for (const auto& thread : aThreads) {
    active += thread->ActiveSessions();
  }
  return active;
}

/// Unready first, then closed for new connections, then finished. A second signal cuts this short.
void Drain(const ProxySettings& aSettings,
           ControlThread& aControl,
           const std::vector<std::unique_ptr<TrafficThread>>& aThreads)
{
  if (aSettings.IsDisabled("drain")) {
    return;
  }
  Log(LogLevel::Info, "shutdown_started", { { "in_flight", CountActive(aThreads) } });
  aControl.BeginShutdown();
  if (WaitForSignal(aSettings.balancerNotice)) {
    return;
  }
  for (const auto& thread : aThreads) {
    thread->StopAccepting();
  }
  const TimePoint end = Now() + kDrainLimit;
  // One more interval after the last request lets its response leave the socket.
  int idlePolls = 0;
  while (idlePolls < 10 && Now() < end) {
    idlePolls = CountActive(aThreads) == 0 ? idlePolls + 1 : 0;
    if (WaitForSignal(kPollInterval)) {
      return;
    }
  }
}

int Fail(const Error& aError)
{
  Log(LogLevel::Error,
      "start_failed",
      { { "step", aError.step },
        { "peer", aError.peer },
        { "error", aError.code.message() },
        { "detail", aError.detail } });
  return 1;
}

int Serve(const ProxySettings& aSettings)
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
    return Fail(ports.Failure());
  }
  ports->port = aSettings.port;
  for (uint32_t i = 0; i < aSettings.trafficThreads; ++i) {
    threads.push_back(std::make_unique<TrafficThread>(context));
    const auto port = threads.back()->Start(ports->port);
    if (!port) {
      return Fail(port.Failure());
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
  Drain(aSettings, control, threads);
  for (const auto& thread : threads) {
    thread->Stop();
  }
  control.Stop(kUploadLimit);
  Log(LogLevel::Info, "stopped", { { "host", aSettings.host } });
  return 0;
}

/// Serves from the shared store of the users' platform.
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
  for (const SeedPeer& seed : aSettings.seeds) {
    init.seeds.push_back(seed.address);
  }
  const double network = std::min(1.0, store.bandwidthMbps / kFullBandwidthMbps);
  init.capacity = static_cast<uint32_t>(100 * store.cpuShare * network);
  init.isFirstStart = store.isFirstStart;
  init.retryRatio = store.retryRatio;
  init.retrySlack = store.retrySlack;
  init.retryWindow = store.retryWindow;
  init.stopLimit = store.stopLimit;
  init.bodyBudgetBytes = aSettings.bodyBudgetBytes;
  init.createPlatform = [&store](EventLoop& aLoop) {
    return users_platform::CreateAdapter({ &aLoop, store.store.address, store.store.port });
  };
  return fleet::RunFleetProxy(init);
}

} // namespace

int RunProxy(int argc, char** argv)
{
  // Blocked before any thread starts, so that only WaitForSignal() receives them, and before
  // anything else, so that a SIGHUP does not end a process that is still starting.
  sigset_t signals = TerminationSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("HTTP proxy of a boragegauge fleet.\n"
               "Example: boragegauge-proxy --settings proxy.json\n"
               "Exit codes: 0 stopped gracefully, 1 bad settings or address in use, 2 usage.");
  std::string file;
  bool isCheck = false;
  app.add_option("--settings", file, "JSON file with the proxy's own settings")->required();
  app.add_flag("--check", isCheck, "Check the settings and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  const auto settings = LoadProxySettings(file);
  if (!settings) {
    return Fail(settings.Failure());
  }
  if (isCheck) {
    return 0;
  }
  SetLogLevel(settings->logLevel);
  return settings->discovery == Discovery::Store ? ServeFromStore(*settings) : Serve(*settings);
}

} // namespace bg
