#include <algorithm>
#include <fstream>
#include <istream>
#include <map>
#include <set>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

/// Changes of an upstream's health or entry this long before and after a request may explain it.
/// Allocators log their suspects twice a second.
constexpr int64_t kBeforeMs = 5000;
constexpr int64_t kAfterMs = 1000;
/// Larger input is refused; a day of one host at the bounded rate of log lines is about 3 GB.
constexpr size_t kMaxLines = 20'000'000;

std::string Get(const LogLine& aLine, std::string_view aKey)
{
  const auto found = std::find_if(aLine.fields.begin(),
                                  aLine.fields.end(),
                                  [&](const auto& aField) { return aField.first == aKey; });
  return found == aLine.fields.end() ? std::string() : found->second;
}

/// Undoes the quoting of a log value, from the quote on. @return The size of the quoted text.
size_t Unquote(std::string_view aText, std::string& aValue)
{
  size_t at = 1;
  while (at < aText.size() && aText[at] != '"') {
    if (aText[at] != '\\' || at + 1 >= aText.size()) {
      aValue.push_back(aText[at++]);
    } else if (aText[at + 1] == 'x' && at + 3 < aText.size()) {
      aValue.push_back(
        static_cast<char>(std::strtol(std::string(aText.substr(at + 2, 2)).c_str(), nullptr, 16)));
      at += 4;
    } else {
      aValue.push_back(aText[at + 1]);
      at += 2;
    }
  }
  return std::min(aText.size(), at + 1);
}

/// What the final answer of a proxy means, by the rule that it names.
std::string_view MeaningOf(std::string_view aRule)
{
  static constexpr std::pair<std::string_view, std::string_view> kMeanings[] = {
    { "overload", "no slot would have been free in time" },
    { "no_upstream", "the service had no upstream" },
    { "retry_budget", "an upstream refused it, and the budget for repeats was used up" },
    { "upstreams_refused", "the upstreams refused it" },
    { "unreachable", "the chosen upstreams accepted no connection" },
    { "upstream_failure", "the upstream broke off, and the request could not be sent again" },
    { "invalid_response", "the response was not the upstream's own" },
    { "upstream_timeout", "the upstream did not respond in time" },
    { "deadline", "its time was over" },
    { "request_quarantined",
      "upstreams have crashed under this request, which is kept from others" },
    { "request_on_trial",
      "upstreams have crashed under this request, which another host is sending" },
    { "request_suspected", "a second upstream has crashed under the request" },
    { "unknown_route", "the configuration of the host had no route for it" },
    { "no_configuration", "the host had no configuration yet" },
  };
  for (const auto& [rule, meaning] : kMeanings) {
    if (rule == aRule) {
      return meaning;
    }
  }
  return "see the rule";
}

/// One sentence on how the request ended.
std::string Summarize(const std::vector<LogLine>& aLines, const std::string& aRequestId)
{
  const LogLine* failed = nullptr;
  const LogLine* attempt = nullptr;
  for (const LogLine& line : aLines) {
    if (Get(line, "request_id") != aRequestId) {
      continue;
    }
    failed = line.event == "request_failed" ? &line : failed;
    attempt = line.event == "attempt_failed" ? &line : attempt;
  }
  if (failed != nullptr) {
    const std::string rule = Get(*failed, "rule");
    return "Request " + aRequestId + " was answered " + Get(*failed, "status") + " by " +
           failed->host + " after " + Get(*failed, "held_ms") + " ms and " +
           Get(*failed, "attempts") + " attempts: " + std::string(MeaningOf(rule)) + " (rule " +
           rule + ", revision " + Get(*failed, "revision") + ").";
  }
  if (attempt != nullptr) {
    return "Request " + aRequestId + " failed at upstream " + Get(*attempt, "upstream") + " (" +
           Get(*attempt, "detail") + ") through " + attempt->host +
           "; no final answer of a proxy is logged, so that the caller got a response of an "
           "upstream or had gone.";
  }
  return "Nothing is logged of request " + aRequestId +
         ": it was served at once, its lines were dropped, or it reached no host.";
}

bool Mentions(const LogLine& aLine, const TimelineQuery& aQuery)
{
  return (!aQuery.requestId.empty() && Get(aLine, "request_id") == aQuery.requestId) ||
         (!aQuery.upstream.empty() && Get(aLine, "upstream") == aQuery.upstream) ||
         (aQuery.revision != 0 && Get(aLine, "revision") == std::to_string(aQuery.revision));
}

/// The hosts, upstreams and times of the lines that were asked for.
struct Scope
{
  int64_t fromMs = INT64_MAX;
  int64_t untilMs = INT64_MIN;
  std::set<std::string> hosts;
  std::set<std::string> upstreams;

  void Add(const LogLine& aLine)
  {
    fromMs = std::min(fromMs, aLine.timeMs - kBeforeMs);
    untilMs = std::max(untilMs, aLine.timeMs + kAfterMs);
    hosts.insert(aLine.host);
    upstreams.insert(Get(aLine, "upstream"));
  }

  /// Whether a line tells what a host of the scope believed, or what all believed of its upstreams.
  bool Explains(const LogLine& aLine) const
  {
    static const std::set<std::string, std::less<>> kOfUpstreams = {
      "upstream_suspected", "upstream_cleared", "upstream_limited", "upstream_limit_ended",
      "upstream_changed",   "upstream_removed", "upstream_leaving", "upstream_paused"
    };
    static const std::set<std::string, std::less<>> kOfHosts = { "started",
                                                                 "ready",
                                                                 "not_ready",
                                                                 "resumed",
                                                                 "stopping",
                                                                 "stopped",
                                                                 "store_lost",
                                                                 "store_regained",
                                                                 "configuration_adopted",
                                                                 "allocator_silent",
                                                                 "log_lines_dropped" };
    if (aLine.timeMs < fromMs || aLine.timeMs > untilMs) {
      return false;
    }
    if (kOfUpstreams.contains(aLine.event)) {
      // Each host logs what it hears of the registry; one host's lines are enough.
      const bool isShared = aLine.event.starts_with("upstream_c") ||
                            aLine.event.starts_with("upstream_limit") || hosts.contains(aLine.host);
      return isShared && upstreams.contains(Get(aLine, "upstream")) &&
             (aLine.event != "upstream_changed" || hosts.contains(aLine.host));
    }
    return kOfHosts.contains(aLine.event) && hosts.contains(aLine.host);
  }
};

} // namespace

std::optional<LogLine> ParseLogLine(std::string_view aText, const std::string& aSource)
{
  const size_t start = aText.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.host = aSource;
  // Collectors often put the host's name before each line.
  const std::string_view prefix = aText.substr(0, start);
  if (const size_t end = prefix.find_last_not_of(" \t"); end != std::string_view::npos) {
    const size_t word = prefix.find_last_of(" \t", end);
    line.host = prefix.substr(word == std::string_view::npos ? 0 : word + 1,
                              word == std::string_view::npos ? end + 1 : end - word);
  }
  std::string_view rest = aText.substr(start);
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    std::string value;
    size_t size = std::min(rest.find(' '), rest.size());
    if (rest.starts_with('"')) {
      size = Unquote(rest, value);
    } else {
      value = rest.substr(0, size);
    }
    rest.remove_prefix(size);
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    if (key == "time") {
      line.timeMs = ParseTime(value, 0).value_or(0);
    } else if (key == "event") {
      line.event = std::move(value);
    } else if (key != "level") {
      line.fields.emplace_back(std::move(key), std::move(value));
    }
  }
  return line.event.empty() ? std::nullopt : std::optional(std::move(line));
}

Result<std::vector<LogLine>> ReadLogs(std::span<const std::string> aFiles, std::istream& aInput)
{
  std::vector<LogLine> lines;
  for (const std::string& name : aFiles) {
    std::ifstream file;
    if (name != "-") {
      file.open(name);
      if (!file) {
        return Error{ Errc::NotFound, "logs.open", name, "cannot be read" };
      }
    }
    std::istream& input = name == "-" ? aInput : file;
    const std::string source = std::filesystem::path(name).stem().string();
    for (std::string text; std::getline(input, text);) {
      if (auto line = ParseLogLine(text, source)) {
        lines.push_back(std::move(*line));
      }
      if (lines.size() > kMaxLines) {
        return Error{ Errc::TooLarge,
                      "logs.read",
                      name,
                      "more than " + std::to_string(kMaxLines) + " lines; select a time first" };
      }
    }
  }
  // Clocks of hosts differ by little; lines of one host keep their order.
  std::stable_sort(lines.begin(), lines.end(), [](const LogLine& aLeft, const LogLine& aRight) {
    return aLeft.timeMs < aRight.timeMs;
  });
  return lines;
}

Timeline MakeTimeline(std::span<const LogLine> aLines, const TimelineQuery& aQuery)
{
  Scope scope;
  for (const LogLine& line : aLines) {
    if (Mentions(line, aQuery)) {
      scope.Add(line);
    }
  }
  Timeline timeline;
  for (const LogLine& line : aLines) {
    if (Mentions(line, aQuery) || (!aQuery.requestId.empty() && scope.Explains(line))) {
      timeline.lines.push_back(line);
    }
  }
  if (!aQuery.requestId.empty()) {
    timeline.summary = Summarize(timeline.lines, aQuery.requestId);
  }
  return timeline;
}

} // namespace bg::ctl
