#include "history_checks.h"

#include <algorithm>
#include <stdexcept>

namespace bg::support {

using Json = nlohmann::json;

namespace {

/// More lines than this of one request explain nothing.
constexpr size_t kMaxRelatedLines = 6;

std::string Text(const Json& aEvent, const char* aField)
{
  return aEvent.value(aField, "");
}

int64_t Number(const Json& aEvent, const char* aField)
{
  return aEvent.at(aField).get<int64_t>();
}

bool Answered(const Json& aCall)
{
  return Text(aCall, "outcome") == "complete";
}

/// Events of one field value, in the order of the history.
using Index = std::map<std::string, std::vector<const Json*>>;

Index IndexBy(const std::vector<Json>& aEvents, const char* aField)
{
  Index index;
  for (const Json& event : aEvents) {
    if (const std::string value = Text(event, aField); !value.empty()) {
      index[value].push_back(&event);
    }
  }
  return index;
}

std::vector<Json> WithRelated(const Json& aCall, const Index& aIndex, const char* aField)
{
  std::vector<Json> excerpt{ aCall };
  const auto found = aIndex.find(Text(aCall, aField));
  if (found != aIndex.end()) {
    for (const Json* event : found->second) {
      if (excerpt.size() < kMaxRelatedLines) {
        excerpt.push_back(*event);
      }
    }
  }
  return excerpt;
}

const Json* FindEvent(const Index& aIndex, const std::string& aValue, const char* aEvent)
{
  const auto found = aIndex.find(aValue);
  if (found != aIndex.end()) {
    for (const Json* event : found->second) {
      if (Text(*event, "event") == aEvent) {
        return event;
      }
    }
  }
  return nullptr;
}

bool IsNewWork(const Json& aEvent)
{
  const std::string event = Text(aEvent, "event");
  return event == "begin" || event == "refused";
}

/// A start of leaving and the work that follows it.
struct Departure
{
  int64_t timeNs = 0;
  Json event;
};

} // namespace

namespace detail {

CheckResult CheckWhole(const Histories& aHistories, const CheckOptions&)
{
  CheckResult result;
  const Index executions = IndexBy(aHistories.executions, "call_id");
  for (const Json& call : aHistories.calls) {
    const std::string check = Text(call, "check");
    const bool success = Answered(call) && call.value("status", 0) / 100 == 2;
    result.evidence += check == "ok" ? 1 : 0;
    if (check != "ok" && (check != "none" || success)) {
      result.violations.push_back({ "the answer is not the complete answer to this call",
                                    WithRelated(call, executions, "call_id") });
    } else if (check == "ok" && success && !aHistories.executions.empty() &&
               FindEvent(executions, Text(call, "call_id"), "end") == nullptr) {
      result.violations.push_back(
        { "no upstream finished this call", WithRelated(call, executions, "call_id") });
    }
  }
  return result;
}

CheckResult CheckNotRun(const Histories& aHistories, const CheckOptions&)
{
  CheckResult result;
  const Index executions = IndexBy(aHistories.executions, "attempt_id");
  for (const Json& call : aHistories.calls) {
    if (Text(call, "executed") != "no") {
      continue;
    }
    ++result.evidence;
    if (const Json* run = FindEvent(executions, Text(call, "attempt_id"), "begin")) {
      result.violations.push_back(
        { "the caller was told \"not run\", but it ran", { call, *run } });
    }
  }
  return result;
}

CheckResult CheckOnce(const Histories& aHistories, const CheckOptions&)
{
  CheckResult result;
  std::map<std::string, std::vector<Json>> runs;
  for (const Json& event : aHistories.executions) {
    const std::string method = Text(event, "method");
    if (Text(event, "event") != "begin" || (method != "POST" && method != "PATCH")) {
      continue;
    }
    const std::string key = Text(event, "key");
    const std::string id =
      key.empty() ? Text(event, "attempt_id") : Text(event, "account") + ' ' + key;
    runs[id].push_back(event);
  }
  for (const auto& [id, events] : runs) {
    ++result.evidence;
    if (events.size() > 1) {
      result.violations.push_back(
        { "non-idempotent work ran " + std::to_string(events.size()) + " times",
          { events[0], events[1] } });
    }
  }
  return result;
}

CheckResult CheckLeaving(const Histories& aHistories, const CheckOptions& aOptions)
{
  CheckResult result;
  std::vector<Json> events = aHistories.executions;
  events.insert(events.end(), aHistories.decisions.begin(), aHistories.decisions.end());
  std::stable_sort(events.begin(), events.end(), [](const Json& aLeft, const Json& aRight) {
    return aLeft.value("time_ns", int64_t{ 0 }) < aRight.value("time_ns", int64_t{ 0 });
  });
  std::map<std::string, Departure> leaving;
  for (const Json& event : events) {
    const Json entry = event.value("entry", Json::object());
    const std::string kind = Text(event, "event");
    if (kind == "leaving" || (kind == "host" && Text(entry, "state") == "leaving")) {
      const std::string id = kind == "host" ? Text(entry, "host") : Text(event, "upstream");
      result.evidence +=
        leaving.try_emplace(id, Departure{ Number(event, "time_ns"), event }).second;
    } else if (kind == "boot") {
      leaving.erase(Text(event, "upstream"));
    } else if (IsNewWork(event)) {
      const auto found = leaving.find(Text(event, "upstream"));
      if (found != leaving.end() &&
          Number(event, "time_ns") - found->second.timeNs > aOptions.leavingLimitMs * 1000000) {
        result.violations.push_back(
          { "new work for an upstream that is leaving", { found->second.event, event } });
      }
    }
  }
  return result;
}

} // namespace detail

namespace {

/// Requests that a proxy accepted and then cut off.
void CheckProxyShutdown(const Histories& aHistories,
                        const CheckOptions& aOptions,
                        CheckResult& aResult)
{
  for (const Json& event : aHistories.decisions) {
    if (Text(event, "event") == "exited" && event.value("graceful", true)) {
      ++aResult.evidence;
      if (event.value("code", 0) != 0) {
        aResult.violations.push_back({ "the proxy did not end cleanly", { event } });
      }
    }
    if (Text(event, "event") != "terminate") {
      continue;
    }
    const int64_t stopNs = Number(event, "time_ns");
    for (const Json& call : aHistories.calls) {
      const std::string outcome = Text(call, "outcome");
      const bool cutOff = outcome == "broken" || outcome == "truncated" || outcome == "invalid" ||
                          outcome == "connect_failed";
      if (Text(call, "proxy") == Text(event, "proxy") && cutOff &&
          Number(call, "start_ns") < stopNs + aOptions.noticeMs * 1000000 &&
          Number(call, "end_ns") > stopNs) {
        aResult.violations.push_back(
          { "a request in flight was cut off by a graceful shutdown", { event, call } });
      }
    }
  }
}

bool EndedByCaller(const Json& aCall)
{
  const std::string outcome = Text(aCall, "outcome");
  return outcome == "cancelled" || outcome == "timeout";
}

/// Requests that were in flight at an upstream when it started to leave.
void CheckUpstreamShutdown(const Histories& aHistories, CheckResult& aResult)
{
  const Index calls = IndexBy(aHistories.calls, "attempt_id");
  std::map<std::string, std::map<std::string, Json>> open;
  std::map<std::string, Json> leaving;
  for (const Json& event : aHistories.executions) {
    const std::string kind = Text(event, "event");
    const std::string upstream = Text(event, "upstream");
    const std::string attempt = Text(event, "attempt_id");
    if (kind == "begin") {
      open[upstream][attempt] = event;
    } else if (kind == "leaving") {
      ++aResult.evidence;
      leaving[upstream] = event;
    } else if (kind == "end") {
      open[upstream].erase(attempt);
    } else if (kind == "cancelled" && open[upstream].erase(attempt) > 0 &&
               leaving.count(upstream) > 0) {
      const auto found = calls.find(attempt);
      const Json* call = found == calls.end() ? nullptr : found->second.front();
      if (call != nullptr && Text(*call, "check") != "ok" && !EndedByCaller(*call)) {
        aResult.violations.push_back({ "work in flight at a leaving upstream was cancelled",
                                       { leaving[upstream], event, *call } });
      }
    } else if (kind == "stopped") {
      if (Text(event, "reason") == "drained" && !open[upstream].empty()) {
        aResult.violations.push_back(
          { "the upstream ended with work in flight", { event, open[upstream].begin()->second } });
      }
      open.erase(upstream);
      leaving.erase(upstream);
    }
  }
}

} // namespace

namespace detail {

CheckResult CheckShutdown(const Histories& aHistories, const CheckOptions& aOptions)
{
  CheckResult result;
  CheckProxyShutdown(aHistories, aOptions, result);
  CheckUpstreamShutdown(aHistories, result);
  return result;
}

} // namespace detail

const Violation* ShortestViolation(const CheckResult& aResult)
{
  const auto shortest = std::min_element(aResult.violations.begin(),
                                         aResult.violations.end(),
                                         [](const Violation& aLeft, const Violation& aRight) {
                                           return aLeft.excerpt.size() < aRight.excerpt.size();
                                         });
  return shortest == aResult.violations.end() ? nullptr : &*shortest;
}

CheckResult CheckPromise(const std::string& aPromise,
                         const Histories& aHistories,
                         const CheckOptions& aOptions)
{
  using Check = CheckResult (*)(const Histories&, const CheckOptions&);
  static const std::map<std::string, Check> kChecks = {
    { "whole", detail::CheckWhole },       { "notrun", detail::CheckNotRun },
    { "once", detail::CheckOnce },         { "leaving", detail::CheckLeaving },
    { "shutdown", detail::CheckShutdown }, { "config", detail::CheckConfig },
    { "floor", detail::CheckFloor }
  };
  const auto found = kChecks.find(aPromise);
  if (found == kChecks.end()) {
    throw std::invalid_argument("unknown promise " + aPromise);
  }
  return found->second(aHistories, aOptions);
}

} // namespace bg::support
