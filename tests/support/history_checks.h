#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Checks of the invariants of docs/design.md, section 1.1, over recorded histories.
namespace bg::support {

/// All events are JSON objects with `time_ns` (calls: `start_ns` and `end_ns`), CLOCK_MONOTONIC.
struct Histories
{
  std::vector<nlohmann::json> calls;      ///< Attempts, from load_tool.
  std::vector<nlohmann::json> executions; ///< From upstream_standin.
  std::vector<nlohmann::json> decisions;  ///< From platform_standin and the driver of the faults.
};

struct CheckOptions
{
  int64_t leavingLimitMs = 4000;        ///< New work allowed after an upstream starts leaving.
  int64_t configLimitMs = 4000;         ///< Time until an accepted configuration is in force.
  int64_t noticeMs = 0;                 ///< A proxy accepts requests this long after SIGTERM.
  int64_t graceMs = 3000;               ///< Age of the knowledge about healthy upstreams.
  std::map<std::string, size_t> floors; ///< Healthy floor by service.
};

struct Violation
{
  std::string reason;
  std::vector<nlohmann::json> excerpt;
};

struct CheckResult
{
  size_t evidence = 0; ///< Facts checked; 0 means that the histories prove nothing.
  std::vector<Violation> violations;
};

/// Promises: whole, notrun, once, leaving, shutdown, config, floor. Throws std::invalid_argument
/// for another name and nlohmann::json::exception for events without the needed fields.
CheckResult CheckPromise(const std::string& aPromise,
                         const Histories& aHistories,
                         const CheckOptions& aOptions);

/// The violation with the fewest lines; null when there is none.
const Violation* ShortestViolation(const CheckResult& aResult);

namespace detail {

CheckResult CheckWhole(const Histories& aHistories, const CheckOptions& aOptions);
CheckResult CheckNotRun(const Histories& aHistories, const CheckOptions& aOptions);
CheckResult CheckOnce(const Histories& aHistories, const CheckOptions& aOptions);
CheckResult CheckLeaving(const Histories& aHistories, const CheckOptions& aOptions);
CheckResult CheckShutdown(const Histories& aHistories, const CheckOptions& aOptions);
CheckResult CheckConfig(const Histories& aHistories, const CheckOptions& aOptions);
CheckResult CheckFloor(const Histories& aHistories, const CheckOptions& aOptions);

} // namespace detail

} // namespace bg::support
