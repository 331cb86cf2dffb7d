#include <doctest/doctest.h>

#include "slot_fleet.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

constexpr uint64_t kRequest = 0xabc;

struct SuspectFleet : SlotFleet
{
  SuspectFleet()
    : SlotFleet(4, 4, 2)
  {
  }

  uint64_t Send(const std::string& aHost, uint64_t aFingerprint = kRequest, bool aIsRetry = false)
  {
    Host& host = hosts.at(aHost);
    const uint64_t sequence = ++host.sequence;
    SlotQuery query;
    query.fingerprint = aFingerprint;
    query.service = "desk";
    query.idempotent = true;
    query.isRetry = aIsRetry;
    query.receivedAt = now;
    query.deadline = now + std::chrono::seconds(2);
    host.slots->Acquire(sequence, query, [&host, sequence](SlotResult aResult) {
      host.results[sequence] = std::move(aResult);
    });
    Deliver();
    return sequence;
  }

  /// The upstream that runs the request crashes.
  void Crash(const std::string& aHost, uint64_t aSequence)
  {
    const TimePoint sentAt = now;
    const std::string upstream = GrantedUpstream(aHost, aSequence);
    REQUIRE(!upstream.empty());
    now += Milliseconds(80);
    Release(aHost, aSequence, placement::Outcome::Failed);
    hosts.at(aHost).slots->ReportCrash(kRequest, { upstream, 1, sentAt, now, "" }, "r1", "/x?y=1");
    Spread(aHost);
  }

  /// All hosts learn what one of them knows.
  void Spread(const std::string& aHost)
  {
    std::vector<quarantine::SuspectRequest> requests;
    for (const auto& [fingerprint, request] : hosts.at(aHost).slots->Quarantine().Requests()) {
      requests.push_back(FromWire(ToWire(request, now), now));
    }
    for (auto& [name, host] : hosts) {
      host.slots->HandleSuspectRequests(requests, aHost);
    }
  }

  const SlotResult* Result(const std::string& aHost, uint64_t aSequence)
  {
    const auto found = hosts.at(aHost).results.find(aSequence);
    return found == hosts.at(aHost).results.end() ? nullptr : &found->second;
  }

  std::string RefusalReason(const std::string& aHost, uint64_t aSequence)
  {
    const SlotResult* result = Result(aHost, aSequence);
    return result == nullptr ? "queued" : result->isGranted ? "granted" : result->reason;
  }
};

} // namespace

TEST_CASE("no host sends a request that has crashed three upstreams")
{
  SuspectFleet fleet;
  const std::string allocator = fleet.AllocatorHost();
  const std::string host = fleet.OtherHost();
  const std::string other = fleet.OtherHost(host);
  fleet.Crash(host, fleet.Send(host));
  fleet.Crash(other, fleet.Send(other));

  SUBCASE("after two crashes an attempt is not repeated")
  {
    CHECK(fleet.RefusalReason(host, fleet.Send(host, kRequest, true)) == "request_suspected");
  }

  SUBCASE("after two crashes it runs by itself, once at a time")
  {
    const uint64_t trial = fleet.Send(host);
    const std::string upstream = fleet.GrantedUpstream(host, trial);
    REQUIRE(!upstream.empty());
    CHECK(fleet.Result(host, trial)->isSuspectTrial);
    CHECK(fleet.RefusalReason(other, fleet.Send(other)) == "request_on_trial");
    CHECK(fleet.RefusalReason(allocator, fleet.Send(allocator)) == "request_on_trial");
    for (int i = 0; i < 6; ++i) {
      CHECK(fleet.GrantedUpstream(other, fleet.Send(other, 1)) != upstream);
    }
  }

  SUBCASE("a third crash ends it at all hosts")
  {
    fleet.Crash(host, fleet.Send(host));
    fleet.Advance(std::chrono::seconds(3));
    for (const auto& [name, unused] : fleet.hosts) {
      const uint64_t sequence = fleet.Send(name);
      CHECK(fleet.RefusalReason(name, sequence) == "request_quarantined");
      CHECK(fleet.Result(name, sequence)->retryAfter > std::chrono::seconds(50));
    }
    CHECK(!fleet.GrantedUpstream(host, fleet.Send(host, kRequest + 1)).empty());
  }

  SUBCASE("an upstream that answers it clears it")
  {
    const uint64_t trial = fleet.Send(host);
    fleet.now += Milliseconds(80);
    SlotReport report;
    report.outcome = placement::Outcome::Good;
    report.survivor = kRequest;
    fleet.hosts.at(host).slots->Release(trial, report);
    fleet.Deliver();
    fleet.Spread(host);
    CHECK(fleet.RefusalReason(other, fleet.Send(other)) == "granted");
  }
}

TEST_CASE("a request that waits for a slot is rejected if upstreams crash under it meanwhile")
{
  SuspectFleet fleet;
  const std::string host = fleet.OtherHost();
  const std::string other = fleet.OtherHost(host);
  const uint64_t first = fleet.Send(other);
  std::vector<uint64_t> busy;
  while (fleet.RefusalReason(host, fleet.Send(host, 1)) == "granted") {
    busy.push_back(fleet.hosts.at(host).sequence);
  }
  const uint64_t waiting = fleet.Send(host);
  REQUIRE(fleet.RefusalReason(host, waiting) == "queued");
  fleet.Crash(other, first);
  for (const char* upstream : { "elsewhere1", "elsewhere2" }) {
    fleet.now += Milliseconds(100);
    fleet.hosts.at(other).slots->ReportCrash(
      kRequest, { upstream, 1, fleet.now - Milliseconds(50), fleet.now, "" }, "r2", "/x");
    fleet.Spread(other);
  }
  for (const uint64_t sequence : busy) {
    fleet.Release(host, sequence);
  }
  fleet.Advance(Milliseconds(100));
  CHECK(fleet.RefusalReason(host, waiting) == "request_quarantined");
}

TEST_CASE("a suspect request is not sent while no allocator answers")
{
  SuspectFleet fleet;
  const std::string host = fleet.OtherHost();
  fleet.Crash(host, fleet.Send(host));
  fleet.Crash(host, fleet.Send(host));
  for (const auto& [name, unused] : fleet.hosts) {
    if (name != host) {
      fleet.stopped.insert(name);
    }
  }
  const uint64_t sequence = fleet.Send(host);
  fleet.Advance(Milliseconds(300));
  CHECK(fleet.RefusalReason(host, sequence) == "request_on_trial");
}
