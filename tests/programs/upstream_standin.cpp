// Upstreams with slots, cold start, drain and gray faults (docs/design.md, 4.3).
#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "upstream_model.h"

namespace {

using namespace bg;
using namespace bg::support;

struct Options
{
  uint16_t port = 0;
  uint16_t basePort = 0;
  size_t count = 1;
  std::string id = "upstream";
  std::string history;
};

std::string UpstreamId(const Options& aOptions, size_t aIndex)
{
  return aOptions.count == 1 ? aOptions.id : aOptions.id + '-' + std::to_string(aIndex + 1);
}

uint16_t UpstreamPort(const Options& aOptions, size_t aIndex)
{
  if (aOptions.basePort != 0) {
    return static_cast<uint16_t>(aOptions.basePort + aIndex);
  }
  return aIndex == 0 ? aOptions.port : 0;
}

void AddOptions(CLI::App& aApp, Options& aOptions, UpstreamSettings& aSettings)
{
  aApp.add_option("--port", aOptions.port, "TCP port of the first upstream; 0: by the system");
  aApp.add_option("--count", aOptions.count, "Number of upstreams in this process");
  aApp.add_option("--base-port", aOptions.basePort, "Port of the first of several upstreams");
  aApp.add_option("--id", aOptions.id, "Id; with --count the ids are ID-1, ID-2, ...");
  aApp.add_option("--history", aOptions.history, "File to which executions are appended");
  aApp.add_option("--slots", aSettings.slots, "Requests worked on at the same time");
  aApp.add_option("--queue", aSettings.queueLimit, "Requests that may wait for a slot");
  aApp.add_option("--service-ms", aSettings.serviceMs, "Mean service time");
  aApp.add_option("--sigma", aSettings.sigma, "Shape of the log-normal service time");
  aApp.add_option("--cold-ms", aSettings.coldMs, "Duration of the cold period");
  aApp.add_option("--cold-factor", aSettings.coldFactor, "Slow-down while cold; 0: refuse");
  aApp.add_option("--load-lag-ms", aSettings.adminLagMs, "Age of what healthz and loadz show");
  aApp.add_option("--drain-linger-ms", aSettings.drainLingerMs, "Least time from drain to exit");
  aApp.add_option("--seed", aSettings.seed, "Seed of service times and faults");
}

/// Drains all upstreams; the loop ends when none has work left.
void DrainAll(std::vector<std::unique_ptr<Upstream>>& aUpstreams, EventLoop& aLoop)
{
  auto remaining = std::make_shared<size_t>(aUpstreams.size());
  for (const auto& upstream : aUpstreams) {
    upstream->Drain([remaining, &aLoop] {
      if (--*remaining == 0) {
        aLoop.Stop();
      }
    });
  }
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Upstreams for tests");
  Options options;
  UpstreamSettings settings;
  AddOptions(app, options, settings);
  CLI11_PARSE(app, argc, argv);

  EventLoop loop;
  HistoryFile history(options.history);
  std::vector<std::unique_ptr<Upstream>> upstreams;
  const ControlHandler control = [&upstreams](const std::string& aId, const nlohmann::json& aBody) {
    size_t matched = 0;
    for (const auto& upstream : upstreams) {
      if (aId == "*" || aId == upstream->Id()) {
        upstream->Control(aBody);
        ++matched;
      }
    }
    return matched;
  };
  nlohmann::json list = nlohmann::json::array();
  for (size_t i = 0; i < options.count; ++i) {
    settings.id = UpstreamId(options, i);
    settings.port = UpstreamPort(options, i);
    upstreams.push_back(std::make_unique<Upstream>(loop, settings, history, control));
    list.push_back({ { "id", settings.id },
                     { "port", upstreams.back()->Port() },
                     { "boot_id", upstreams.back()->BootId() } });
    settings.seed += 1;
  }
  OnTerminate(loop, [&upstreams, &loop] { DrainAll(upstreams, loop); });
  PrintListening(upstreams.front()->Port());
  std::cout << nlohmann::json({ { "upstreams", list } }).dump() << std::endl;
  loop.Run();
  return 0;
}
