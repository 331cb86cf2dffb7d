#include <doctest/doctest.h>

#include "slot_fleet.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

RegisteredUpstream MakeUpstream(const std::string& aId, const std::string& aService)
{
  RegisteredUpstream upstream;
  upstream.id = aId;
  upstream.service = aService;
  upstream.slots = 1;
  return upstream;
}

} // namespace

// Answers to a killed process must not reach the requests of the process that replaces it: its
// requests have the same numbers, and may be for another service.
TEST_CASE("a host whose process was killed and started again while requests waited")
{
  SlotFleet fleet(3, 0);
  fleet.SetUpstreams({ MakeUpstream("desk0", "desk"), MakeUpstream("uploader0", "uploader") });
  const std::string allocator = fleet.AllocatorHost();
  const std::string one = fleet.OtherHost();
  const std::string two = fleet.OtherHost(one);
  const uint64_t held = fleet.Acquire(two);
  const uint64_t predecessor = fleet.Acquire(one);
  REQUIRE(fleet.GrantedUpstream(two, held) == "desk0");
  REQUIRE(fleet.GrantedUpstream(one, predecessor).empty());

  SUBCASE("does not use a slot that was granted to a request of the predecessor")
  {
    fleet.RestartProcess(one);
    const uint64_t blocker = fleet.Acquire(two, false, "uploader");
    REQUIRE(fleet.GrantedUpstream(two, blocker) == "uploader0");
    const uint64_t request = fleet.Acquire(one, false, "uploader");
    REQUIRE(request == predecessor);
    fleet.Release(two, held);
    CHECK_FALSE(fleet.hosts.at(one).results.contains(request));
    SUBCASE("and gets the next slot of its own service")
    {
      fleet.Release(two, blocker);
      fleet.Advance(Milliseconds(300));
      CHECK(fleet.GrantedUpstream(one, request) == "uploader0");
    }
  }
  SUBCASE("leaves no request of the predecessor in the queue of the allocator")
  {
    fleet.RestartProcess(one);
    const uint64_t request = fleet.Acquire(one);
    fleet.Release(two, held);
    CHECK(fleet.GrantedUpstream(one, request) == "desk0");
  }
  SUBCASE("is not refused because the predecessor is")
  {
    fleet.RestartProcess(one);
    const uint64_t blocker = fleet.Acquire(two, false, "uploader");
    const uint64_t request = fleet.Acquire(one, false, "uploader");
    fleet.SetUpstreams({ MakeUpstream("uploader0", "uploader") });
    fleet.Advance(Milliseconds(1500));
    CHECK_FALSE(fleet.hosts.at(one).results.contains(request));
    fleet.Release(two, blocker);
    fleet.Advance(Milliseconds(300));
    CHECK(fleet.GrantedUpstream(one, request) == "uploader0");
  }
  SUBCASE("does not free a slot of the predecessor, whose request may still run")
  {
    fleet.Release(two, held);
    fleet.RestartProcess(one);
    const uint64_t request = fleet.Acquire(one);
    REQUIRE(request == predecessor);
    CHECK(fleet.GrantedUpstream(one, request).empty());
    fleet.Release(one, request);
    CHECK(fleet.GrantedUpstream(two, fleet.Acquire(two)).empty());
    fleet.Advance(Milliseconds(2500));
    CHECK(fleet.GrantedUpstream(two, fleet.Acquire(two)) == "desk0");
  }
  SUBCASE("ignores an answer to the predecessor that was on its way")
  {
    // The answer is written by hand: the network of the test delivers at once.
    fleet.RestartProcess(one);
    const uint64_t blocker = fleet.Acquire(two, false, "uploader");
    REQUIRE_FALSE(fleet.GrantedUpstream(two, blocker).empty());
    const uint64_t request = fleet.Acquire(one, false, "uploader");
    wire::Envelope envelope;
    *envelope.mutable_sender() = ToWire(fleet.hosts.at(allocator).members->Self());
    wire::SlotAnswer& answer = *envelope.mutable_slot_answer();
    answer.set_sequence(request);
    answer.set_receiver_incarnation(1);
    for (const auto kind : { wire::SlotAnswer::REFUSED, wire::SlotAnswer::GRANTED }) {
      answer.set_kind(kind);
      answer.set_upstream("uploader0");
      fleet.hosts.at(one).slots->HandleMessage(envelope);
      CHECK_FALSE(fleet.hosts.at(one).results.contains(request));
    }
  }
}

// The expected upstream goes with the request, so that an upstream of another service would take
// it.
TEST_CASE("a grant of an upstream of another service is not used")
{
  SlotFleet fleet(3, 0);
  fleet.SetUpstreams({ MakeUpstream("desk0", "desk"), MakeUpstream("uploader0", "uploader") });
  const std::string allocator = fleet.AllocatorHost();
  const std::string one = fleet.OtherHost();
  const uint64_t blocker = fleet.Acquire(allocator);
  REQUIRE_FALSE(fleet.GrantedUpstream(allocator, blocker).empty());
  const uint64_t request = fleet.Acquire(one);
  wire::Envelope envelope;
  *envelope.mutable_sender() = ToWire(fleet.hosts.at(allocator).members->Self());
  wire::SlotAnswer& answer = *envelope.mutable_slot_answer();
  answer.set_sequence(request); // As an allocator of an older version writes it.
  answer.set_kind(wire::SlotAnswer::GRANTED);
  answer.set_upstream("uploader0");
  fleet.hosts.at(one).slots->HandleMessage(envelope);
  fleet.Deliver();
  CHECK(fleet.GrantedUpstream(one, request) != "uploader0");
}
