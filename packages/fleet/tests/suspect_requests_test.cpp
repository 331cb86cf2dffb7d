#include <doctest/doctest.h>

#include "control_host.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::test;
using bg::test::Eventually;

TEST_CASE("all hosts reject a request that has crashed upstreams at one of them")
{
  constexpr uint64_t kRequest = 0xabc;
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  ControlHost one(tables, "one", 5, port);
  const auto start = [&](const std::string& aName, int aNumber) {
    auto host = std::make_unique<ControlHost>(tables, aName, aNumber, port);
    REQUIRE(Eventually([&] { return host->Revision() == 1; }));
    REQUIRE(Eventually([&] { return host->GrantsSlotOf("one"); }));
    return host;
  };
  auto two = start("two", 6);
  REQUIRE(Eventually([&] { return one.GrantsSlotOf("one"); }));
  const auto rejects = [&](ControlHost& aHost) {
    return aHost.RefusalReason(kRequest) == "request_quarantined";
  };

  SUBCASE("others learn of it at once")
  {
    one.ReportCrashes(kRequest, 3);
    CHECK(Eventually([&] { return rejects(*two); }));
    CHECK(two->RefusalReason(kRequest + 1).empty());
  }

  SUBCASE("a host that is restarted learns of it before it serves")
  {
    one.ReportCrashes(kRequest, 3);
    REQUIRE(Eventually([&] { return rejects(*two); }));
    two.reset();
    std::this_thread::sleep_for(std::chrono::seconds(4)); // The news of it is over.
    two = std::make_unique<ControlHost>(tables, "two", 6, port);
    REQUIRE(Eventually([&] { return two->shared.isStateConfirmed && two->Revision() == 1; }));
    CHECK(rejects(*two));
  }

  SUBCASE("all hosts know it after a stop of all at once")
  {
    two.reset();
    auto first = std::make_unique<ControlHost>(tables, "three", 7, FreePort());
    REQUIRE(Eventually([&] { return first->GrantsSlotOf("one"); }));
    first->ReportCrashes(kRequest, 3);
    REQUIRE(Eventually([&] {
      const auto rows = tables.Read("members").rows;
      return std::any_of(rows.begin(), rows.end(), [](const auto& aRow) {
        return aRow.key.starts_with("suspect#");
      });
    }));
    first.reset();
    ControlHost again(tables, "four", 8, FreePort());
    REQUIRE(Eventually([&] { return again.Revision() == 1; }));
    CHECK(Eventually([&] { return rejects(again); }));
  }
}
