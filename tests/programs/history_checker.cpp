// Proves one invariant from recorded histories, or prints the shortest violating excerpt.
// Exit code 0: no violation; 1: a violation, or nothing to check; 2: bad input.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "history_checks.h"

namespace {

using namespace bg::support;
using Json = nlohmann::json;

std::vector<Json> Load(const std::vector<std::string>& aFiles)
{
  std::vector<Json> events;
  for (const std::string& name : aFiles) {
    std::ifstream file(name);
    if (!file) {
      throw std::runtime_error("cannot read " + name);
    }
    for (std::string line; std::getline(file, line);) {
      if (!line.empty()) {
        events.push_back(Json::parse(line));
      }
    }
  }
  return events;
}

void SetFloors(const std::vector<std::string>& aTexts, CheckOptions& aOptions)
{
  for (const std::string& text : aTexts) {
    const size_t equals = text.find('=');
    aOptions.floors[text.substr(0, equals)] = std::stoul(text.substr(equals + 1));
  }
}

int Report(const std::string& aPromise, const Histories& aHistories, const CheckResult& aResult)
{
  Json line = { { "promise", aPromise },
                { "calls", aHistories.calls.size() },
                { "executions", aHistories.executions.size() },
                { "evidence", aResult.evidence },
                { "violations", aResult.violations.size() } };
  if (const Violation* shortest = ShortestViolation(aResult)) {
    line["reason"] = shortest->reason;
    line["excerpt"] = shortest->excerpt;
  } else if (aResult.evidence == 0) {
    line["reason"] = "the histories contain nothing to check";
  }
  std::cout << line.dump() << std::endl;
  return aResult.violations.empty() && aResult.evidence > 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Checks recorded histories");
  std::string promise;
  std::vector<std::string> calls;
  std::vector<std::string> executions;
  std::vector<std::string> decisions;
  std::vector<std::string> floors;
  CheckOptions options;
  app.add_option("--promise", promise, "Invariant of docs/design.md, section 1.1")->required();
  app.add_option("--calls", calls, "Histories of load_tool");
  app.add_option("--executions", executions, "Histories of upstream_standin");
  app.add_option("--decisions", decisions, "Histories of platform_standin and of the driver");
  app.add_option("--floor", floors, "SERVICE=N");
  app.add_option("--leaving-limit-ms", options.leavingLimitMs, "New work after leaving starts");
  app.add_option("--config-limit-ms", options.configLimitMs, "Until a configuration is in force");
  app.add_option("--notice-ms", options.noticeMs, "A proxy accepts requests after SIGTERM");
  app.add_option("--grace-ms", options.graceMs, "Age of the knowledge about healthy upstreams");
  CLI11_PARSE(app, argc, argv);
  try {
    SetFloors(floors, options);
    const Histories histories{ Load(calls), Load(executions), Load(decisions) };
    return Report(promise, histories, CheckPromise(promise, histories, options));
  } catch (const std::exception& error) {
    std::cerr << "history_checker: " << error.what() << '\n';
    return 2;
  }
}
