#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <deque>
#include <map>

#include "boragegauge/coordination.h"
#include "simulation.h"

using namespace bg;

namespace {

struct Fixture
{
  explicit Fixture(double aBytesPerSecond = 3000)
    : exchange({ .sender = &sender,
                 .failureDomain = "xela-a",
                 .aggregators = [this](uint64_t) { return aggregators; },
                 .peers =
                   [] {
                     return std::vector<std::string>{ "p2", "p3" };
                   },
                 .onReport = [this](std::string_view aHost,
                                    const EvidenceReport& aReport) { Count(aHost, aReport); },
                 .onVerdict = [this](std::string_view, const Verdict&) { ++verdicts; },
                 .bytesPerSecond = aBytesPerSecond })
  {
  }

  void Count(std::string_view aHost, const EvidenceReport& aReport)
  {
    for (const EvidenceCounts& counts : aReport.counts) {
      delivered[std::string(aHost)] += counts.good + counts.failed + counts.slow;
      intervalMs[std::string(aHost)] += counts.intervalMs;
    }
  }

  void Deliver(std::string_view aHost, std::string_view aBytes)
  {
    const auto message = DecodeMessage(aBytes);
    if (const auto* report = std::get_if<EvidenceReport>(&message->body)) {
      CHECK(report->failureDomain == "xela-a");
      Count(aHost, *report);
    }
    bytes += aBytes.size();
  }

  void Run(Milliseconds aTime)
  {
    for (int64_t i = 0; i < aTime.count(); i += 100) {
      simulation.RunFor(Milliseconds(100));
      exchange.Tick(simulation.Now());
    }
  }

  test::Simulation simulation;
  std::map<std::string, uint64_t> delivered;
  std::map<std::string, uint64_t> intervalMs;
  std::vector<std::string> aggregators{ "p1", "p2" };
  size_t bytes = 0;
  int verdicts = 0;
  PeerSender sender{ { "p1", 1, [this](std::string_view aHost, std::string_view aBytes) {
                        Deliver(aHost, aBytes);
                      } } };
  EvidenceExchange exchange;
};

} // namespace

TEST_CASE("evidence of a healthy upstream stays local until an outcome is failed or slow")
{
  Fixture fixture;
  fixture.exchange.Add({ 1, 50, 0, 0, 0 });
  fixture.Run(Milliseconds(1000));
  CHECK(fixture.bytes == 0);
  fixture.exchange.Add({ 1, 0, 0, 1, 0 });
  fixture.Run(Milliseconds(1000));
  CHECK(fixture.delivered["p1"] == 51);
  CHECK(fixture.delivered["p2"] == 51);
}

TEST_CASE("a report contains the interval that its counts cover")
{
  // Guards against aggregators that overestimate the traffic. With an interval of 0 they assumed
  // 200 ms for each report and never detected an upstream that was ten times slower.
  Fixture fixture;
  fixture.exchange.Add({ 1, 50, 0, 0, 9000 });
  fixture.exchange.Add({ 1, 0, 0, 1, 400 });
  fixture.Run(Milliseconds(1000));
  CHECK(fixture.intervalMs["p1"] == 9400);
  CHECK(fixture.intervalMs["p2"] == 9400);
}

TEST_CASE("reports respect the byte rate and lose no counts")
{
  // Guards against counts that are dropped while the token bucket is empty, and against a rate
  // above 3 KB/s.
  CHECK(rc::check("random load", [] {
    Fixture fixture(*rc::gen::inRange(300, 3000));
    fixture.aggregators = { "p2", "p3" };
    uint64_t added = 0;
    const auto steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      const auto upstreams = *rc::gen::inRange(0, 200);
      for (int i = 0; i < upstreams; ++i) {
        const auto failed = *rc::gen::inRange<uint32_t>(0, 5);
        fixture.exchange.Add({ Hash64(std::to_string(i)), 1, failed, 0, 200 });
        added += 1 + failed;
      }
      fixture.Run(Milliseconds(200));
      const double seconds = 0.2 * (step + 1);
      RC_ASSERT(static_cast<double>(fixture.bytes) <= 3000 + seconds * 3000);
    }
    for (int i = 0; i < 200; ++i) {
      fixture.exchange.Add({ Hash64(std::to_string(i)), 0, 1, 0, 200 });
      ++added;
    }
    fixture.Run(Milliseconds(200000));
    RC_ASSERT(fixture.delivered["p2"] == added);
    RC_ASSERT(fixture.delivered["p3"] == added);
  }));
}

TEST_CASE("verdicts are sent to all peers at once, and received ones reach the hook")
{
  Fixture fixture;
  Verdict verdict;
  verdict.service = "desk";
  verdict.upstream = "d1";
  fixture.exchange.Publish(verdict);
  CHECK(fixture.bytes > 0);
  fixture.exchange.Handle({ "p2", 1, 1, verdict });
  fixture.exchange.Handle({ "p2", 1, 2, EvidenceReport{ "xela-a", { { 1, 1, 1, 1 } } } });
  CHECK(fixture.verdicts == 1);
  CHECK(fixture.delivered["p2"] == 3);
}
