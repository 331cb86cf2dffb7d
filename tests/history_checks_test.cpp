#include <doctest/doctest.h>

#include "history_checks.h"

namespace {

using namespace bg::support;
using Json = nlohmann::json;

struct Case
{
  const char* name;
  const char* promise;
  size_t violations;
  const char* calls; ///< JSON arrays.
  const char* executions;
  const char* decisions;
};

/// Times are in ns; 1 s is 1000000000. Each bad history differs from a good one in one event.
const Case kCases[] = {
  { "an own and complete answer",
    "whole",
    0,
    R"([{"call_id":"c1","outcome":"complete","status":200,"check":"ok"}])",
    R"([{"event":"begin","call_id":"c1"},{"event":"end","call_id":"c1"}])",
    "[]" },
  { "a broken connection is no answer",
    "whole",
    0,
    R"([{"call_id":"c1","outcome":"broken","status":0,"check":"none"},
        {"call_id":"c2","outcome":"complete","status":503,"check":"none"},
        {"call_id":"c3","outcome":"complete","status":200,"check":"ok"}])",
    "[]",
    "[]" },
  { "another caller's answer",
    "whole",
    1,
    R"([{"call_id":"c1","outcome":"complete","status":200,"check":"foreign"}])",
    "[]",
    "[]" },
  { "a truncated answer that was passed on as complete",
    "whole",
    1,
    R"([{"call_id":"c1","outcome":"complete","status":200,"check":"mismatch"}])",
    "[]",
    "[]" },
  { "a success that cannot be verified",
    "whole",
    1,
    R"([{"call_id":"c1","outcome":"complete","status":200,"check":"none"}])",
    "[]",
    "[]" },
  { "an answer that no upstream gave",
    "whole",
    1,
    R"([{"call_id":"c1","outcome":"complete","status":200,"check":"ok"}])",
    R"([{"event":"begin","call_id":"c1"},{"event":"cancelled","call_id":"c1"}])",
    "[]" },
  { "told not run, and refused by the upstream",
    "notrun",
    0,
    R"([{"attempt_id":"c1.1","executed":"no"}])",
    R"([{"event":"refused","attempt_id":"c1.1"},{"event":"begin","attempt_id":"c1.2"}])",
    "[]" },
  { "told not run, but it ran",
    "notrun",
    1,
    R"([{"attempt_id":"c1.1","executed":"no"}])",
    R"([{"event":"begin","attempt_id":"c1.1"}])",
    "[]" },
  { "told unknown, and it ran",
    "notrun",
    0,
    R"([{"attempt_id":"c1.1","executed":"unknown"},{"attempt_id":"c2.1","executed":"no"}])",
    R"([{"event":"begin","attempt_id":"c1.1"}])",
    "[]" },
  { "each key ran once; reads may repeat",
    "once",
    0,
    "[]",
    R"([{"event":"begin","method":"POST","account":"a","key":"k1","attempt_id":"c1.1"},
        {"event":"refused","method":"POST","account":"a","key":"k1","attempt_id":"c1.2"},
        {"event":"begin","method":"POST","account":"b","key":"k1","attempt_id":"c2.1"},
        {"event":"begin","method":"GET","attempt_id":"c3.1"},
        {"event":"begin","method":"GET","attempt_id":"c3.1"}])",
    "[]" },
  { "one key ran at two upstreams",
    "once",
    1,
    "[]",
    R"([{"event":"begin","method":"POST","account":"a","key":"k1","attempt_id":"c1.1"},
        {"event":"begin","method":"POST","account":"a","key":"k1","attempt_id":"c1.2"}])",
    "[]" },
  { "a request without a key was sent again",
    "once",
    1,
    "[]",
    R"([{"event":"begin","method":"POST","key":"","attempt_id":"c1.1"},
        {"event":"begin","method":"POST","key":"","attempt_id":"c1.1"}])",
    "[]" },
  { "work soon after leaving starts, and again after a restart",
    "leaving",
    0,
    "[]",
    R"([{"event":"leaving","upstream":"u1","time_ns":0},
        {"event":"begin","upstream":"u1","time_ns":3000000000},
        {"event":"begin","upstream":"u2","time_ns":9000000000},
        {"event":"boot","upstream":"u1","time_ns":8000000000},
        {"event":"begin","upstream":"u1","time_ns":9000000000}])",
    "[]" },
  { "work long after leaving starts",
    "leaving",
    1,
    "[]",
    R"([{"event":"leaving","upstream":"u1","time_ns":0},
        {"event":"begin","upstream":"u1","time_ns":5000000000}])",
    "[]" },
  { "requests that the leaving upstream still has to refuse",
    "leaving",
    1,
    "[]",
    R"([{"event":"leaving","upstream":"u1","time_ns":0},
        {"event":"refused","upstream":"u1","time_ns":5000000000}])",
    "[]" },
  { "work after the host list says leaving",
    "leaving",
    1,
    "[]",
    R"([{"event":"begin","upstream":"u1","time_ns":5000000000}])",
    R"([{"event":"host","entry":{"host":"u1","state":"leaving"},"time_ns":0}])" },
  { "a proxy finishes what it accepted",
    "shutdown",
    0,
    R"([{"proxy":"p1","outcome":"complete","start_ns":500,"end_ns":1500},
        {"proxy":"p1","outcome":"connect_failed","start_ns":3000000000,"end_ns":3000000001},
        {"proxy":"p2","outcome":"broken","start_ns":500,"end_ns":1500}])",
    "[]",
    R"([{"event":"terminate","proxy":"p1","time_ns":1000},
        {"event":"exited","proxy":"p1","time_ns":2000000000,"code":0}])" },
  { "a proxy cuts off a request",
    "shutdown",
    1,
    R"([{"proxy":"p1","outcome":"broken","start_ns":500,"end_ns":1500}])",
    "[]",
    R"([{"event":"terminate","proxy":"p1","time_ns":1000}])" },
  { "a proxy refuses connections within the notice",
    "shutdown",
    1,
    R"([{"proxy":"p1","outcome":"connect_failed","start_ns":500000000,"end_ns":500000001}])",
    "[]",
    R"([{"event":"terminate","proxy":"p1","time_ns":1000}])" },
  { "a proxy crashes while shutting down",
    "shutdown",
    1,
    "[]",
    "[]",
    R"([{"event":"exited","proxy":"p1","time_ns":2000,"code":-6}])" },
  { "an upstream finishes its work before it ends",
    "shutdown",
    0,
    "[]",
    R"([{"event":"begin","upstream":"u1","attempt_id":"c1.1"},{"event":"leaving","upstream":"u1"},
        {"event":"end","upstream":"u1","attempt_id":"c1.1"},
        {"event":"stopped","upstream":"u1","reason":"drained"}])",
    "[]" },
  { "an upstream ends with work in flight",
    "shutdown",
    1,
    "[]",
    R"([{"event":"begin","upstream":"u1","attempt_id":"c1.1"},{"event":"leaving","upstream":"u1"},
        {"event":"stopped","upstream":"u1","reason":"drained"}])",
    "[]" },
  { "a proxy cancels work at a leaving upstream",
    "shutdown",
    1,
    R"([{"attempt_id":"c1.1","proxy":"p1","outcome":"complete","check":"none","status":502}])",
    R"([{"event":"begin","upstream":"u1","attempt_id":"c1.1"},{"event":"leaving","upstream":"u1"},
        {"event":"cancelled","upstream":"u1","attempt_id":"c1.1"}])",
    "[]" },
  { "a revision comes into force in time",
    "config",
    0,
    "[]",
    "[]",
    R"([{"event":"accepted","revision":2,"digest":"d2","time_ns":1000000000},
        {"event":"observed","proxy":"p1","revision":1,"digest":"d1","time_ns":2000000000},
        {"event":"observed","proxy":"p1","revision":2,"digest":"d2","time_ns":6000000000}])" },
  { "a revision comes into force too late",
    "config",
    1,
    "[]",
    "[]",
    R"([{"event":"accepted","revision":2,"digest":"d2","time_ns":1000000000},
        {"event":"observed","proxy":"p1","revision":1,"digest":"d1","time_ns":6000000000}])" },
  { "a paused proxy gets the time again; one that is not ready is not used",
    "config",
    0,
    "[]",
    "[]",
    R"([{"event":"accepted","revision":2,"digest":"d2","time_ns":1000000000},
        {"event":"resumed","proxy":"p1","time_ns":5000000000},
        {"event":"observed","proxy":"p1","revision":1,"digest":"d1","time_ns":6000000000},
        {"event":"observed","proxy":"p2","revision":1,"digest":"d1","ready":false,"time_ns":6000000000},
        {"event":"observed","proxy":"p1","revision":2,"digest":"d2","time_ns":9500000000}])" },
  { "an outage of the platform starts the time again",
    "config",
    0,
    "[]",
    "[]",
    R"([{"event":"accepted","revision":2,"digest":"d2","time_ns":1000000000},
        {"event":"control","change":{"mode":"down"},"time_ns":1100000000},
        {"event":"control","change":{"mode":"up"},"time_ns":9000000000},
        {"event":"observed","proxy":"p1","revision":1,"digest":"d1","time_ns":12000000000},
        {"event":"observed","proxy":"p1","revision":2,"digest":"d2","time_ns":13500000000}])" },
  { "an outage excuses nothing that was late before it, nor for longer than the time after it",
    "config",
    2,
    "[]",
    "[]",
    R"([{"event":"accepted","revision":2,"digest":"d2","time_ns":0},
        {"event":"control","change":{"mode":"hang"},"time_ns":5000000000},
        {"event":"observed","proxy":"p1","revision":1,"digest":"d1","time_ns":6000000000},
        {"event":"accepted","revision":3,"digest":"d3","time_ns":6000000000},
        {"event":"control","change":{"mode":"up"},"time_ns":9000000000},
        {"event":"observed","proxy":"p1","revision":2,"digest":"d2","time_ns":14000000000}])" },
  { "a slow platform is no excuse",
    "config",
    1,
    "[]",
    "[]",
    R"([{"event":"accepted","revision":2,"digest":"d2","time_ns":0},
        {"event":"control","change":{"mode":"slow"},"time_ns":100000000},
        {"event":"observed","proxy":"p1","revision":1,"digest":"d1","time_ns":6000000000}])" },
  { "a proxy goes back",
    "config",
    1,
    "[]",
    "[]",
    R"([{"event":"observed","proxy":"p1","incarnation":"i","revision":2,"digest":"d2","time_ns":1},
        {"event":"observed","proxy":"p1","incarnation":"i","revision":1,"digest":"d1","time_ns":2}])" },
  { "a head row that a proxy does not follow",
    "config",
    1,
    "[]",
    "[]",
    R"([{"event":"put","key":"configuration/head","time_ns":0,
         "value":"{\"revision\":3,\"digest\":\"d3\"}"},
        {"event":"observed","proxy":"p1","revision":2,"digest":"d2","time_ns":5000000000}])" },
  { "one revision with two digests",
    "config",
    1,
    "[]",
    "[]",
    R"([{"event":"observed","proxy":"p1","revision":2,"digest":"d2","time_ns":1},
        {"event":"observed","proxy":"p2","revision":2,"digest":"d3","time_ns":2}])" },
};

TEST_CASE("each check accepts good histories and finds the violation in bad ones")
{
  for (const Case& entry : kCases) {
    CAPTURE(entry.name);
    const Histories histories{ Json::parse(entry.calls),
                               Json::parse(entry.executions),
                               Json::parse(entry.decisions) };
    CheckOptions options;
    options.noticeMs = 1000;
    const CheckResult result = CheckPromise(entry.promise, histories, options);
    CHECK(result.violations.size() == entry.violations);
    if (entry.violations == 0) {
      CHECK(result.evidence > 0);
      CHECK(ShortestViolation(result) == nullptr);
    } else {
      REQUIRE(ShortestViolation(result) != nullptr);
      CHECK_FALSE(ShortestViolation(result)->excerpt.empty());
    }
  }
}

Json Host(const char* aHost, const char* aState, int64_t aNowMs)
{
  return {
    { "event", "host" },
    { "now_ms", aNowMs },
    { "time_ns", aNowMs * 1000000 },
    { "entry",
      { { "host", aHost }, { "role", "upstream" }, { "service", "s" }, { "state", aState } } }
  };
}

struct Entry
{
  const char* upstream;
  int64_t grantedMs;
  bool released = false;
};

Json Permits(const std::vector<Entry>& aEntries, int64_t aNowMs)
{
  Json entries = Json::array();
  for (const Entry& entry : aEntries) {
    entries.push_back({ { "upstream", entry.upstream },
                        { "granted_ms", entry.grantedMs },
                        { "expires_ms", entry.grantedMs + 30000 },
                        { "released", entry.released } });
  }
  return { { "event", "put" },
           { "key", "ejections/s" },
           { "now_ms", aNowMs },
           { "time_ns", aNowMs * 1000000 },
           { "value", Json({ { "entries", entries } }).dump() } };
}

size_t FloorViolations(const std::vector<Json>& aEvents)
{
  CheckOptions options;
  options.floors["s"] = 2;
  options.graceMs = 3000;
  return CheckPromise("floor", { {}, {}, aEvents }, options).violations.size();
}

TEST_CASE("the floor check counts live upstreams without those under a permit")
{
  // Four live upstreams and a floor of two.
  std::vector<Json> events{
    Host("a", "live", 0), Host("b", "live", 0), Host("c", "live", 0), Host("d", "live", 0)
  };
  SUBCASE("two ejections keep the floor")
  {
    events.push_back(Permits({ { "a", 10 } }, 10));
    events.push_back(Permits({ { "a", 10 }, { "b", 20 } }, 20));
    CHECK(FloorViolations(events) == 0);
  }
  SUBCASE("a third ejection breaks it")
  {
    events.push_back(Permits({ { "a", 10 }, { "b", 20 }, { "c", 30 } }, 30));
    CHECK(FloorViolations(events) == 1);
  }
  SUBCASE("a released permit still counts against a new one until it expires")
  {
    events.push_back(Permits({ { "a", 10 }, { "b", 20 } }, 20));
    events.push_back(Permits({ { "a", 10, true }, { "b", 20 }, { "c", 30 } }, 30));
    CHECK(FloorViolations(events) == 1);
    events.back() = Permits({ { "b", 20 }, { "c", 30011 } }, 30011);
    CHECK(FloorViolations(events) == 0);
  }
  SUBCASE("a grant on old knowledge is allowed within the grace only")
  {
    events.push_back(Permits({ { "a", 10 } }, 10));
    events.push_back(Host("d", "leaving", 100));
    events.push_back(Permits({ { "a", 10 }, { "b", 200 } }, 200));
    CHECK(FloorViolations(events) == 0);
    events.back() = Permits({ { "a", 10 }, { "b", 4000 } }, 4000);
    CHECK(FloorViolations(events) == 1);
  }
  SUBCASE("an ejection that is kept after capacity fell")
  {
    events.push_back(Permits({ { "a", 10 }, { "b", 20 } }, 20));
    events.push_back(Host("d", "leaving", 100));
    events.push_back(Permits({ { "a", 10 } }, 200));
    events.push_back(Host("e", "leaving", 5000));
    CHECK(FloorViolations(events) == 0);
    events[6] = Permits({ { "a", 10 }, { "b", 20 } }, 200);
    CHECK(FloorViolations(events) == 1);
  }
}

TEST_CASE("a history without facts proves nothing")
{
  for (const char* promise :
       { "whole", "notrun", "once", "leaving", "shutdown", "config", "floor" }) {
    CAPTURE(promise);
    CHECK(CheckPromise(promise, {}, {}).evidence == 0);
  }
  CHECK_THROWS_AS(CheckPromise("other", {}, {}), std::invalid_argument);
}

} // namespace
