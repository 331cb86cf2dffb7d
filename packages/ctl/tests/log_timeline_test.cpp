#include <algorithm>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "ctl_p.h"

using namespace bg;
using namespace bg::ctl;

namespace {

std::vector<LogLine> Read(const std::string& aText)
{
  std::istringstream input(aText);
  const std::vector<std::string> files = { "-" };
  auto lines = ReadLogs(files, input);
  REQUIRE(lines);
  return *lines;
}

std::vector<std::string> EventsOf(const Timeline& aTimeline)
{
  std::vector<std::string> events;
  for (const LogLine& line : aTimeline.lines) {
    events.push_back(line.host + " " + line.event);
  }
  return events;
}

constexpr const char* kLogs =
  "two time=2026-10-19T19:50:22.300Z level=info event=request_failed request_id=7c40 status=503 "
  "rule=overload service=desk route=r-1 revision=12 attempts=0 unreachable=0 held_ms=212 "
  "detail=\"no upstream could take the request in time\"\n"
  "one time=2026-10-19T19:50:21.600Z level=info event=upstream_suspected upstream=i-1 shard=desk#0 "
  "suspects=4\n"
  "not a line of a host\n"
  "one time=2026-10-19T19:50:21.000Z level=info event=attempt_failed request_id=5b1e upstream=i-1 "
  "service=desk attempt=1 outcome=failed latency_ms=2.1 detail=\"status 500\"\n"
  "two time=2026-10-19T19:50:20.000Z level=info event=configuration_adopted revision=12 "
  "store_version=40 source=store routes=3\n"
  "three time=2026-10-19T19:50:20.500Z level=warning event=store_lost step=store.read\n";

} // namespace

TEST_CASE("a line of a log")
{
  SUBCASE("names its host, before the line or by its file")
  {
    const auto line = ParseLogLine("  22.3 edge-1 time=2026-10-19T19:50:22.036Z event=ready", "f");
    REQUIRE(line);
    CHECK(line->host == "edge-1");
    CHECK(FormatTime(line->timeMs) == "2026-10-19T19:50:22.036Z");
    CHECK(ParseLogLine("time=2026-10-19T19:50:22.036Z event=ready", "host-2")->host == "host-2");
  }
  SUBCASE("may hold any text in a quoted value")
  {
    // Guards against values of callers that look like further fields.
    const auto line = ParseLogLine(
      R"(time=2026-10-19T19:50:22.036Z event=x detail="a \"b\" event=y\x0a" last=1)", "f");
    REQUIRE(line);
    CHECK(line->event == "x");
    CHECK(line->fields == std::vector<std::pair<std::string, std::string>>{
                            { "detail", "a \"b\" event=y\n" }, { "last", "1" } });
  }
  SUBCASE("is passed over when it is something else")
  {
    for (const char* text : { "", "time=", "time=x", "event=x", "time=\"", "time=1 event" }) {
      CHECK_FALSE(ParseLogLine(text, "f"));
    }
  }
}

TEST_CASE("the timeline of a request")
{
  const auto lines = Read(kLogs);
  REQUIRE(lines.size() == 5);
  SUBCASE("says how it ended, and what its host believed")
  {
    const Timeline timeline = MakeTimeline(lines, { .requestId = "7c40" });
    CHECK(timeline.summary.find("503 by two after 212 ms") != std::string::npos);
    CHECK(timeline.summary.find("no slot would have been free in time") != std::string::npos);
    CHECK(EventsOf(timeline) ==
          std::vector<std::string>{ "two configuration_adopted", "two request_failed" });
  }
  SUBCASE("shows how its upstream was judged, by whichever host")
  {
    const Timeline timeline = MakeTimeline(lines, { .requestId = "5b1e" });
    CHECK(timeline.summary.find("failed at upstream i-1 (status 500) through one") !=
          std::string::npos);
    CHECK(EventsOf(timeline) ==
          std::vector<std::string>{ "one attempt_failed", "one upstream_suspected" });
  }
  SUBCASE("shows the limits of its upstreams, by whichever host")
  {
    const auto limited =
      Read(std::string(kLogs) +
           "three time=2026-10-19T19:50:22.000Z level=info event=upstream_limited upstream=i-1 "
           "shard=desk#0 per_second=2 peer=one\n"
           "three time=2026-10-19T19:50:22.000Z level=info event=upstream_limited upstream=i-2 "
           "shard=desk#0 per_second=2 peer=one\n");
    const Timeline timeline = MakeTimeline(limited, { .requestId = "5b1e" });
    const std::vector<std::string> events = EventsOf(timeline);
    CHECK(std::count(events.begin(), events.end(), "three upstream_limited") == 1);
  }
  SUBCASE("says so when nothing is known")
  {
    const Timeline timeline = MakeTimeline(lines, { .requestId = "none" });
    CHECK(timeline.lines.empty());
    CHECK(timeline.summary.find("Nothing is logged") != std::string::npos);
  }
}

TEST_CASE("the timeline of an upstream or a revision")
{
  const auto lines = Read(kLogs);
  CHECK(MakeTimeline(lines, { .upstream = "i-1" }).lines.size() == 2);
  CHECK(MakeTimeline(lines, { .revision = 12 }).lines.size() == 2);
}

TEST_CASE("logs that cannot be read")
{
  std::istringstream input;
  const std::vector<std::string> files = { "/nonexistent/host.log" };
  const auto lines = ReadLogs(files, input);
  REQUIRE_FALSE(lines);
  CHECK(lines.Failure().peer == "/nonexistent/host.log");
}

TEST_CASE("the examples of the operators' page lead from the id to the cause")
{
  // Guards against a page that names fields which the logs or the command do not have.
  std::ifstream page(BG_OPERATIONS_PAGE);
  std::string examples;
  for (std::string text; std::getline(page, text);) {
    if (text.find("event=") != std::string::npos && text.starts_with("    ")) {
      examples += text + '\n';
    }
  }
  const auto lines = Read(examples);
  const std::pair<const char*, const char*> causes[] = {
    { "5b1e", "no slot would have been free in time" },
    { "7c40", "failed at upstream i-86b0 (status 500)" },
    { "91aa", "had no configuration yet" },
  };
  for (const auto& example : causes) {
    CAPTURE(example.first);
    const Timeline timeline = MakeTimeline(lines, { .requestId = example.first });
    CHECK(timeline.summary.find(example.second) != std::string::npos);
  }
}
