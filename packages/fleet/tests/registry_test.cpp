#include <doctest/doctest.h>

#include "registry_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

RegisteredUpstream MakeUpstream(const std::string& aId, bool aDraining = false)
{
  RegisteredUpstream upstream;
  upstream.id = aId;
  upstream.service = "desk";
  upstream.address = "10.0.0.1";
  upstream.port = 80;
  upstream.isDraining = aDraining;
  return upstream;
}

std::vector<EntryChange> Entries(std::span<const RegisteredUpstream> aUpstreams)
{
  std::vector<EntryChange> entries;
  for (const RegisteredUpstream& upstream : aUpstreams) {
    entries.push_back({ upstream.id, upstream });
  }
  return entries;
}

std::vector<EntryChange> Deleted(const std::string& aId)
{
  return { { aId, std::nullopt } };
}

const TimePoint kStart{ std::chrono::hours(1) };

} // namespace

TEST_CASE("the registry as read from the store")
{
  Registry registry;
  const std::vector<RegisteredUpstream> both = { MakeUpstream("one"), MakeUpstream("two") };
  CHECK(registry.Replace(Entries(both), 10, kStart).changed.size() == 2);
  SUBCASE("reports only what differs")
  {
    std::vector<RegisteredUpstream> next = { MakeUpstream("one"), MakeUpstream("two", true) };
    next.front().warmupLeft = Milliseconds(200);
    const RegistryChange change = registry.Replace(Entries(next), 11, kStart + Milliseconds(500));
    REQUIRE(change.changed.size() == 1);
    CHECK(change.changed.front().isDraining);
  }
  SUBCASE("drops an entry that is gone")
  {
    const RegistryChange change =
      registry.Replace(Entries({ both.data(), 1 }), 11, kStart + Milliseconds(500));
    CHECK(change.removed == std::vector<std::string>{ "two" });
    CHECK(registry.Find("two") == nullptr);
  }
  SUBCASE("is never replaced by an older read")
  {
    // Guards against an answer that was overtaken by a later one.
    registry.Replace(Entries({ both.data(), 1 }), 12, kStart + Milliseconds(500));
    registry.Replace(Entries(both), 11, kStart + Milliseconds(600));
    CHECK(registry.Find("two") == nullptr);
  }
  SUBCASE("keeps entries that lapsed during an outage until they had time to return")
  {
    const TimePoint back = kStart + std::chrono::seconds(6);
    CHECK(registry.Replace({}, 20, back).Empty());
    CHECK(registry.Find("one") != nullptr);
    SUBCASE("and drops those that are still missing then")
    {
      const RegistryChange change =
        registry.Replace(Entries({ both.data(), 1 }), 21, back + Milliseconds(2500));
      CHECK(change.removed == std::vector<std::string>{ "two" });
    }
  }
  SUBCASE("does not take a host's own lost reads for an outage while peers have fresh ones")
  {
    const TimePoint later = kStart + std::chrono::seconds(6);
    RegistryChange effect;
    REQUIRE(
      registry.Apply({}, false, 19, registry.Digest(), later - Milliseconds(400), later, effect));
    const RegistryChange change = registry.Replace(Entries({ both.data(), 1 }), 20, later);
    CHECK(change.removed.size() == 1);
  }
}

TEST_CASE("the registry as changes of the store tell it")
{
  Registry registry;
  const std::vector<RegisteredUpstream> both = { MakeUpstream("one"), MakeUpstream("two") };
  const std::vector<std::string> two = { "two" };
  CHECK_FALSE(registry.CanMerge(kStart));
  registry.Replace(Entries(both), 10, kStart);
  const TimePoint next = kStart + Milliseconds(500);
  REQUIRE(registry.CanMerge(next));

  SUBCASE("keeps what has not changed")
  {
    const std::vector<RegisteredUpstream> changed = { MakeUpstream("one", true) };
    const RegistryChange change = registry.Merge(Entries(changed), 11, next);
    REQUIRE(change.changed.size() == 1);
    CHECK(registry.Find("one")->isDraining);
    CHECK(registry.Find("two") != nullptr);
    CHECK(registry.Version() == 11);
  }
  SUBCASE("drops an entry that is deleted")
  {
    CHECK(registry.Merge(Deleted("two"), 11, next).removed == two);
    CHECK(registry.Find("two") == nullptr);
  }
  SUBCASE("keeps entries that lapsed during an outage until they had time to return")
  {
    const TimePoint back = kStart + std::chrono::seconds(6);
    CHECK(registry.Merge(Deleted("two"), 20, back).Empty());
    SUBCASE("and for good when they do")
    {
      const std::vector<RegisteredUpstream> returned = { MakeUpstream("two") };
      CHECK(registry.Merge(Entries(returned), 21, back + Milliseconds(900)).Empty());
      CHECK(registry.Merge({}, 22, back + std::chrono::seconds(3)).Empty());
    }
    SUBCASE("and drops those that are still missing then")
    {
      CHECK(registry.Merge({}, 22, back + std::chrono::seconds(3)).removed == two);
    }
  }
  SUBCASE("follows several changes of one entry in their order")
  {
    // Guards against work for an upstream whose entry was written and deleted between two reads.
    std::vector<EntryChange> changes = Entries({ both.data() + 1, 1 });
    changes.push_back({ "two", std::nullopt });
    CHECK(registry.Merge(changes, 12, next).removed == two);
    CHECK(registry.Find("two") == nullptr);
    std::swap(changes.front(), changes.back());
    CHECK(registry.Merge(changes, 14, next).changed.size() == 1);
    CHECK(registry.Find("two") != nullptr);
  }
  SUBCASE("does not report entries that were only written again")
  {
    // Guards against messages to all hosts for each sign of life of each upstream.
    std::vector<RegisteredUpstream> again = both;
    for (RegisteredUpstream& upstream : again) {
      ++upstream.sequence;
    }
    CHECK(registry.Merge(Entries(again), 11, next).Empty());
  }
  SUBCASE("is read as a whole now and then, and after a pause")
  {
    CHECK_FALSE(registry.CanMerge(kStart + std::chrono::seconds(5)));
    registry.Merge({}, 11, kStart + std::chrono::seconds(19));
    CHECK_FALSE(registry.CanMerge(kStart + std::chrono::seconds(21)));
  }
  SUBCASE("is read as a whole after a peer has told its whole state")
  {
    // Guards against entries for ever that the peer kept only because of an outage.
    RegistryChange change;
    RegistryChange effect;
    change.changed = both;
    registry.Apply(change, true, 12, registry.Digest(), next, next, effect);
    CHECK_FALSE(registry.CanMerge(next));
  }
}

TEST_CASE("reports of an upstream that the store writes late")
{
  // Guards against work for an upstream that has reported its leaving: a write without an answer
  // may be performed seconds later, after newer ones.
  const auto report = [](uint64_t aSequence, bool aDraining, int64_t aStartedAtMs = 1700) {
    RegisteredUpstream upstream = MakeUpstream("one", aDraining);
    upstream.sequence = aSequence;
    upstream.startedAtMs = aStartedAtMs;
    return std::vector<RegisteredUpstream>{ upstream };
  };
  Registry registry;
  registry.Replace(Entries(report(4, false)), 10, kStart);
  registry.Merge(Entries(report(5, true)), 11, kStart + Milliseconds(500));
  const TimePoint later = kStart + Milliseconds(1000);
  SUBCASE("do not replace newer ones")
  {
    CHECK(registry.Merge(Entries(report(4, false)), 12, later).Empty());
    CHECK(registry.Find("one")->isDraining);
  }
  SUBCASE("do not bring back an upstream that is gone")
  {
    CHECK(registry.Merge(Deleted("one"), 12, later).removed == std::vector<std::string>{ "one" });
    CHECK(registry.Merge(Entries(report(4, false)), 13, later + Milliseconds(500)).Empty());
    CHECK(registry.Find("one") == nullptr);
    SUBCASE("while a newer report does")
    {
      CHECK(
        registry.Merge(Entries(report(6, false)), 14, later + Milliseconds(900)).changed.size() ==
        1);
    }
  }
  SUBCASE("are told from those of a new run under the same id")
  {
    CHECK(registry.Merge(Entries(report(1, false, 1800)), 12, later).changed.size() == 1);
    CHECK_FALSE(registry.Find("one")->isDraining);
  }
  SUBCASE("count as they come when runs cannot be told apart")
  {
    Registry plain;
    plain.Replace(Entries(report(9, true, 0)), 10, kStart);
    CHECK(plain.Replace(Entries(report(1, false, 0)), 11, later).changed.size() == 1);
  }
}

TEST_CASE("the registry as told by peers")
{
  Registry store;
  Registry peer;
  const std::vector<RegisteredUpstream> first = { MakeUpstream("one"), MakeUpstream("two") };
  RegistryChange change = store.Replace(Entries(first), 10, kStart);
  RegistryChange effect;
  SUBCASE("follows changes")
  {
    CHECK(peer.Apply(change, true, 10, store.Digest(), kStart, kStart, effect));
    const std::vector<RegisteredUpstream> next = { MakeUpstream("one", true) };
    change = store.Replace(Entries(next), 11, kStart + Milliseconds(500));
    CHECK(peer.Apply(change, false, 11, store.Digest(), kStart, kStart, effect));
    CHECK(peer.Find("one")->isDraining);
    CHECK(peer.Find("two") == nullptr);
    CHECK(peer.Version() == 11);
  }
  SUBCASE("says what is new to it, not what the peer has told")
  {
    // Guards against hosts that log and place anew for each upstream of a whole state they know.
    REQUIRE(peer.Apply(change, true, 10, store.Digest(), kStart, kStart, effect));
    CHECK(effect.changed.size() == 2);
    REQUIRE(peer.Apply(change, true, 10, store.Digest(), kStart, kStart, effect));
    CHECK(effect.Empty());
  }
  SUBCASE("notices a change that it has missed")
  {
    CHECK(peer.Apply(change, true, 10, store.Digest(), kStart, kStart, effect));
    const std::vector<RegisteredUpstream> next = { MakeUpstream("one") };
    store.Replace(Entries(next), 11, kStart + Milliseconds(500));
    CHECK_FALSE(peer.Apply({}, false, 12, store.Digest(), kStart, kStart, effect));
    CHECK(peer.Version() == 10);
  }
  SUBCASE("is not made fresher than the peer's own knowledge")
  {
    // Guards against hosts that confirm old state to each other while the store is away.
    CHECK(peer.Apply(change, true, 10, store.Digest(), kStart, kStart, effect));
    CHECK(
      peer.Apply({}, false, 10, store.Digest(), kStart, kStart + std::chrono::seconds(3), effect));
    CHECK(peer.LastFresh() == kStart);
  }
}

TEST_CASE("the schedule of reads")
{
  const ReadSchedule schedule;
  SUBCASE("lets the first host of the first domain read and others wait")
  {
    CHECK(schedule.Delay(0, 0) == Duration(0));
    CHECK(schedule.Delay(1, 2) == 3 * schedule.step);
    CHECK(schedule.Next(schedule.Delay(1, 0), kStart, {}, 0) ==
          kStart + schedule.interval + schedule.step);
  }
  SUBCASE("lets most hosts read only in need")
  {
    // Guards against calls of all hosts while the store is away.
    CHECK(schedule.Delay(30, 0) >= schedule.needDelay);
  }
  SUBCASE("pauses longer after each failure, up to a limit")
  {
    const TimePoint failure = kStart + std::chrono::seconds(1);
    CHECK(schedule.Next({}, kStart, failure, 1) == failure + schedule.minPause);
    CHECK(schedule.Next({}, kStart, failure, 2) == failure + 2 * schedule.minPause);
    CHECK(schedule.Next({}, kStart, failure, 20) == failure + schedule.maxPause);
  }
}
