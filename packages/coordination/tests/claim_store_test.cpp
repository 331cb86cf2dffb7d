#include <doctest/doctest.h>

#include "claim_fleet.h"

using namespace bg;
using namespace bg::test;

namespace {

const ClaimOutcome kOutcome{ 201, { { "Content-Type", "text/plain" } }, "order 12" };

} // namespace

TEST_CASE("one proxy wins a claim and stores its outcome")
{
  ClaimFleet fleet(2);
  const ClaimResult won = fleet.ClaimAndWait(0);
  REQUIRE(won.status == ClaimStatus::Won);
  CHECK(fleet.ClaimAndWait(1).status == ClaimStatus::InProgressOrUnknown);
  CHECK(fleet.ClaimAndWait(0).status == ClaimStatus::InProgressOrUnknown);
  CHECK(fleet.ClaimAndWait(1, ClaimFleet::Request("key", "other")).status ==
        ClaimStatus::KeyReused);
  CHECK(fleet.ClaimAndWait(1, ClaimFleet::Request("key 2")).status == ClaimStatus::Won);
  ClaimRequest otherAccount = ClaimFleet::Request();
  otherAccount.account = "account-8";
  CHECK(fleet.ClaimAndWait(1, otherAccount).status == ClaimStatus::Won);

  SUBCASE("every proxy returns the outcome for a retry and refuses other requests with the key")
  {
    fleet.proxies[0].claims->Complete(won.rowKey, kOutcome);
    fleet.simulation.RunFor(Milliseconds(100));
    const ClaimResult retry = fleet.ClaimAndWait(1);
    REQUIRE(retry.status == ClaimStatus::AlreadyDone);
    CHECK(retry.outcome.status == 201);
    CHECK(retry.outcome.body == kOutcome.body);
    CHECK(retry.outcome.headers == kOutcome.headers);
    CHECK(fleet.ClaimAndWait(1, ClaimFleet::Request("key", "other")).status ==
          ClaimStatus::KeyReused);
  }

  SUBCASE("a claim whose request was not executed can be released")
  {
    fleet.proxies[0].claims->Release(won.rowKey);
    fleet.simulation.RunFor(Milliseconds(100));
    CHECK(fleet.ClaimAndWait(1).status == ClaimStatus::Won);
  }

  SUBCASE("an abandoned claim stays in the table without outcome")
  {
    fleet.proxies[0].claims->Abandon(won.rowKey);
    fleet.proxies[0].claims->Complete(won.rowKey, kOutcome);
    CHECK(fleet.ClaimAndWait(1).status == ClaimStatus::InProgressOrUnknown);
  }

  SUBCASE("an outcome is stored after an outage, and after lost responses")
  {
    FakePlatform& platform = *fleet.proxies[0].platform;
    SUBCASE("outage")
    {
      platform.down = true;
    }
    SUBCASE("lost responses")
    {
      platform.fault = [](bool) { return Fault::Lost; };
    }
    SUBCASE("late effects")
    {
      platform.fault = [](bool) { return Fault::Late; };
    }
    fleet.proxies[0].claims->Complete(won.rowKey, kOutcome);
    fleet.simulation.RunFor(Milliseconds(60000));
    platform.down = false;
    platform.fault = nullptr;
    fleet.simulation.RunFor(Milliseconds(5000));
    CHECK(fleet.ClaimAndWait(1).status == ClaimStatus::AlreadyDone);
    CHECK(fleet.proxies[0].claims->Stats().outcomesStored == 1);
  }

  SUBCASE("a row of a later format is a claim of unknown state")
  {
    fleet.store.Put(won.rowKey, R"({"format":2})");
    CHECK(fleet.ClaimAndWait(1).status == ClaimStatus::InProgressOrUnknown);
  }
}

TEST_CASE("claims are refused in bounded time if the table does not respond")
{
  ClaimFleet fleet(1);

  SUBCASE("table unavailable: refused at once")
  {
    fleet.proxies[0].platform->down = true;
    fleet.Claim(0);
    fleet.simulation.RunFor(Milliseconds(20));
    REQUIRE(fleet.proxies[0].results.size() == 1);
    CHECK(fleet.proxies[0].results[0].status == ClaimStatus::StoreUnavailable);
  }

  SUBCASE("responses lost: refused at the deadline, and the row is deleted once it is found")
  {
    // Guards against a refused claim whose late row blocks the key for the retention time of a day.
    fleet.proxies[0].platform->fault = [](bool aWrite) {
      return aWrite ? Fault::Lost : Fault::None;
    };
    fleet.proxies[0].platform->delay = Milliseconds(150);
    fleet.ClaimAndWait(0, ClaimFleet::Request("first, to learn the table's clock"));
    fleet.proxies[0].platform->fault = [](bool) { return Fault::Lost; };
    CHECK(fleet.ClaimAndWait(0).status == ClaimStatus::StoreUnavailable);
    CHECK(fleet.store.rows.contains(ClaimKey("desk", "account-7", "key")));
    fleet.proxies[0].platform->fault = nullptr;
    fleet.simulation.RunFor(Milliseconds(3000));
    CHECK_FALSE(fleet.store.rows.contains(ClaimKey("desk", "account-7", "key")));
    CHECK(fleet.ClaimAndWait(0).status == ClaimStatus::Won);
  }

  SUBCASE("too many undecided claims: refused at once")
  {
    fleet.proxies[0].platform->fault = [](bool) { return Fault::Dropped; };
    for (int i = 0; i < 1025; ++i) {
      fleet.Claim(0, ClaimFleet::Request(std::to_string(i)));
    }
    CHECK(fleet.proxies[0].results.size() == 1);
    fleet.simulation.RunFor(Milliseconds(1100));
    CHECK(fleet.Count(ClaimStatus::StoreUnavailable) == 1025);
  }

  SUBCASE("a claim whose commit took effect before a pause of the proxy is won after it")
  {
    fleet.ClaimAndWait(0, ClaimFleet::Request("first, to learn the table's clock"));
    fleet.Claim(0);
    fleet.proxies[0].paused = true;
    fleet.proxies[0].platform->SetPaused(true);
    fleet.simulation.RunFor(Milliseconds(10000));
    fleet.proxies[0].paused = false;
    fleet.proxies[0].platform->SetPaused(false);
    CHECK(fleet.proxies[0].results.back().status == ClaimStatus::Won);
  }
}

TEST_CASE("the sweeper deletes expired claims and keeps younger ones")
{
  ClaimStoreInit options;
  options.sweptServices = [] { return std::vector<std::string>{ "desk", "proof" }; };
  ClaimFleet fleet(1, options);
  for (int i = 0; i < 100; ++i) {
    fleet.ClaimAndWait(0, ClaimFleet::Request("old " + std::to_string(i)));
  }
  fleet.simulation.RunFor(std::chrono::hours(23));
  CHECK(fleet.store.rows.size() == 100);
  for (int i = 0; i < 50; ++i) {
    fleet.ClaimAndWait(0, ClaimFleet::Request("young " + std::to_string(i)));
  }
  fleet.simulation.RunFor(std::chrono::hours(2));
  CHECK(fleet.store.rows.size() == 50);
  CHECK(fleet.proxies[0].claims->Stats().swept == 100);
}
