#include <doctest/doctest.h>

#include "fake_platform.h"

using namespace bg;
using namespace bg::ctl;

namespace {

ConfigurationReport Folder(int aRetention)
{
  const std::vector<ConfigurationFile> files{
    { "10.json", R"({"format":1,"claim_retention_h":)" + std::to_string(aRetention) + "}" }
  };
  return MergeConfiguration(files);
}

/// A platform with two live proxies and operators that apply to it.
struct Fleet
{
  Fleet()
  {
    platform.AddProxy("p1");
    platform.AddProxy("p2");
    states = { { "p1", State(0, 1) }, { "p2", State(0, 1) } };
  }

  static std::string State(uint64_t aRevision, uint32_t aFormat, const std::string& aDigest = "d")
  {
    return R"({"revision":)" + std::to_string(aRevision) + R"(,"digest":")" + aDigest +
           R"(","format_max":)" + std::to_string(aFormat) + "}";
  }

  ApplyResult Apply(int aRetention, const std::optional<FolderBase>& aBase, bool aSkip = false)
  {
    ApplyInit init;
    init.platform = &blocking;
    init.skipUnreachable = aSkip;
    init.pause = [this](Milliseconds) {
      ++pauses;
      if (onPause)
        onPause();
    };
    init.queryProxies = [this](std::span<const ProxyAddress> aProxies, std::string_view aTarget) {
      CHECK(aTarget == "/state");
      std::vector<Result<std::string>> bodies;
      for (const auto& proxy : aProxies) {
        const auto state = states.find(proxy.host);
        if (state != states.end())
          bodies.emplace_back(state->second);
        else
          bodies.emplace_back(Error{ Errc::Timeout, "proxy.get", proxy.host, "" });
      }
      return bodies;
    };
    return Applier(std::move(init)).Apply(Folder(aRetention), aBase);
  }

  FolderBase Base() const { return { platform.Head()->revision, platform.Head()->digest }; }
  /// Claim retention of the body in force, which tells the folders apart.
  uint32_t InForce() const
  {
    const auto body = platform.objects.at(ConfigurationObjectName(platform.Head()->digest));
    return ParseConfiguration(body).configuration->claimRetentionHours;
  }

  FakePlatform platform;
  BlockingPlatform blocking{ platform };
  std::map<std::string, std::string> states;
  int pauses = 0;
  std::function<void()> onPause;
};

} // namespace

TEST_CASE("a folder is applied, changed and applied again")
{
  Fleet fleet;
  const auto first = fleet.Apply(1, std::nullopt);
  REQUIRE(first.code == ExitCode::Ok);
  CHECK(first.revision == 1);
  CHECK(fleet.platform.objects.contains(ConfigurationObjectName(first.digest)));

  const auto second = fleet.Apply(2, FolderBase{ 1, first.digest });
  REQUIRE(second.code == ExitCode::Ok);
  CHECK(second.revision == 2);
  REQUIRE(second.changes.size() == 1);
  CHECK(second.changes[0].pointer == "/claim_retention_h");
  CHECK(fleet.InForce() == 2);

  SUBCASE("the same content again moves nothing, even from an older base or with a dead proxy")
  {
    fleet.states.erase("p2");
    const auto again = fleet.Apply(2, FolderBase{ 1, first.digest });
    CHECK(again.code == ExitCode::Ok);
    CHECK(again.revision == 2);
    CHECK(fleet.platform.Head()->revision == 2);
  }
  SUBCASE("the same content again is refused while proxies have a higher revision")
  {
    // Guards against "in force already" when the store was restored from an older copy.
    fleet.states["p1"] = Fleet::State(5, 1);
    CHECK(fleet.Apply(2, fleet.Base()).code == ExitCode::Conflict);
  }
  SUBCASE("the same content again gets a higher revision after a fork")
  {
    // Guards against a proxy that keeps another digest of the head's revision for ever.
    fleet.states["p1"] = Fleet::State(2, 1, second.digest);
    CHECK(fleet.Apply(2, fleet.Base()).revision == 2);
    fleet.states["p2"] = Fleet::State(2, 1, first.digest);
    const auto again = fleet.Apply(2, fleet.Base());
    CHECK(again.code == ExitCode::Ok);
    CHECK(again.revision == 3);
    CHECK(again.digest == second.digest);
  }
  SUBCASE("history shows both, newest first")
  {
    const auto history = ReadHistory(fleet.blocking, 10);
    REQUIRE(history);
    REQUIRE(history->size() == 2);
    CHECK((*history)[0].row.changeId == second.changeId);
    CHECK((*history)[1].row.digest == first.digest);
  }
  SUBCASE("a stale folder is refused and the colleague's change is shown")
  {
    // Guards against undoing a change that was accepted after the folder was made.
    const auto stale = fleet.Apply(3, FolderBase{ 1, first.digest });
    CHECK(stale.code == ExitCode::Conflict);
    REQUIRE(stale.changes.size() == 1);
    CHECK(stale.changes[0].after == "2");
    CHECK(fleet.InForce() == 2);
  }
  SUBCASE("a folder of unknown origin is refused, a stated base is accepted")
  {
    CHECK(fleet.Apply(3, std::nullopt).code == ExitCode::Conflict);
    CHECK(fleet.Apply(3, FolderBase{ 1, "" }).code == ExitCode::Conflict);
    CHECK(fleet.Apply(3, FolderBase{ 2, "" }).code == ExitCode::Ok);
  }
  SUBCASE("a base of another digest is stale although its revision is the head's")
  {
    CHECK(fleet.Apply(3, FolderBase{ 2, "other" }).code == ExitCode::Conflict);
  }
}

TEST_CASE("of two operators who race, exactly one wins")
{
  Fleet fleet;
  REQUIRE(fleet.Apply(1, std::nullopt).code == ExitCode::Ok);
  const auto base = fleet.Base();
  std::optional<ApplyResult> winner;
  // The colleague commits between this operator's check and commit.
  fleet.platform.beforeCommit = [&] { winner = fleet.Apply(2, base); };
  const auto loser = fleet.Apply(3, base);
  REQUIRE(winner);
  CHECK(winner->code == ExitCode::Ok);
  CHECK(loser.code == ExitCode::Conflict);
  CHECK(loser.changes.size() == 1);
  CHECK(fleet.InForce() == 2);
  CHECK(fleet.platform.Head()->revision == 2);
}

TEST_CASE("a lost response is resolved by the revision row")
{
  Fleet fleet;
  REQUIRE(fleet.Apply(1, std::nullopt).code == ExitCode::Ok);
  const auto base = fleet.Base();

  SUBCASE("the write took effect")
  {
    fleet.platform.faults = { CommitFault::LoseResponse };
    const auto result = fleet.Apply(2, base);
    CHECK(result.code == ExitCode::Ok);
    CHECK(result.revision == 2);
    CHECK(fleet.platform.Head()->changeId == result.changeId);
  }
  SUBCASE("the write took effect and others have moved the head since")
  {
    // Guards against reading only the head, which names the other change.
    fleet.platform.faults = { CommitFault::LoseResponse };
    fleet.platform.afterCommit = [&] { CHECK(fleet.Apply(7, fleet.Base()).code == ExitCode::Ok); };
    const auto result = fleet.Apply(2, base);
    CHECK(result.code == ExitCode::Ok);
    CHECK(result.revision == 2);
    CHECK(fleet.platform.Head()->revision == 3);
    CHECK(fleet.InForce() == 7);
  }
  SUBCASE("the write had no effect and is sent again")
  {
    fleet.platform.faults = { CommitFault::Drop, CommitFault::Drop };
    CHECK(fleet.Apply(2, base).code == ExitCode::Ok);
    CHECK(fleet.platform.Head()->revision == 2);
  }
  SUBCASE("another operator won while the write was lost")
  {
    fleet.platform.faults = { CommitFault::Drop };
    fleet.platform.afterCommit = [&] { CHECK(fleet.Apply(7, base).code == ExitCode::Ok); };
    CHECK(fleet.Apply(2, base).code == ExitCode::Conflict);
    CHECK(fleet.InForce() == 7);
  }
  SUBCASE("a delayed write that arrives after the second one changes nothing")
  {
    fleet.platform.faults = { CommitFault::Delay };
    const auto result = fleet.Apply(2, base);
    CHECK(result.code == ExitCode::Ok);
    fleet.platform.DeliverDelayed();
    CHECK(fleet.platform.Head()->revision == 2);
  }
  SUBCASE("a delayed write that arrives before the second one is recognized")
  {
    fleet.platform.faults = { CommitFault::Delay };
    fleet.onPause = [&] { fleet.platform.DeliverDelayed(); };
    CHECK(fleet.Apply(2, base).code == ExitCode::Ok);
    CHECK(fleet.platform.Head()->revision == 2);
  }
  SUBCASE("the head was restored to a higher revision without this row")
  {
    fleet.platform.faults = { CommitFault::Drop };
    fleet.platform.afterCommit = [&] {
      auto& row = fleet.platform.rows.find(kHeadKey)->second;
      row = { row.key, 99, EncodeHead({ 9, base.digest, "repair" }) };
    };
    CHECK(fleet.Apply(2, base).code == ExitCode::Conflict);
    CHECK(fleet.InForce() == 1);
  }
  SUBCASE("the table stays down: the outcome is unknown, and a second apply finds it out")
  {
    fleet.platform.faults = { CommitFault::LoseResponse };
    fleet.platform.afterCommit = [&] { fleet.platform.tableDown = true; };
    const auto result = fleet.Apply(2, base);
    CHECK(result.code == ExitCode::OutcomeUnknown);
    CHECK(fleet.pauses > 0);
    fleet.platform.tableDown = false;
    CHECK(fleet.Apply(2, base).code == ExitCode::Ok);
    CHECK(fleet.platform.Head()->revision == 2);
  }
}

TEST_CASE("nothing is changed when a part of the platform is down")
{
  Fleet fleet;
  REQUIRE(fleet.Apply(1, std::nullopt).code == ExitCode::Ok);
  const auto base = fleet.Base();
  SUBCASE("object store")
  {
    // Guards against a head that names a body nobody can fetch.
    fleet.platform.objectsDown = true;
  }
  SUBCASE("table")
  {
    fleet.platform.tableDown = true;
  }
  SUBCASE("table, from the commit on")
  {
    fleet.platform.faults = { CommitFault::Refuse };
  }
  SUBCASE("host list")
  {
    fleet.platform.hostsDown = true;
  }
  CHECK(fleet.Apply(2, base).code == ExitCode::Unreachable);
  CHECK(fleet.platform.Head()->revision == 1);
}

TEST_CASE("live proxies are asked before the head moves")
{
  Fleet fleet;
  REQUIRE(fleet.Apply(1, std::nullopt).code == ExitCode::Ok);
  const auto base = fleet.Base();
  auto expected = ExitCode::Ok;
  bool skip = false;
  SUBCASE("a higher revision means that the store is an older copy")
  {
    fleet.states["p2"] = Fleet::State(5, 1);
    expected = ExitCode::Conflict;
  }
  SUBCASE("a proxy that cannot read the format would reject the body later")
  {
    fleet.states["p2"] = Fleet::State(1, 0);
    expected = ExitCode::Conflict;
  }
  SUBCASE("a proxy that does not answer may be either")
  {
    fleet.states.erase("p2");
    expected = ExitCode::Unreachable;
  }
  SUBCASE("an answer that is not understood counts as none")
  {
    fleet.states["p2"] = R"({"revision":"1"})";
    expected = ExitCode::Unreachable;
  }
  SUBCASE("the operator goes on without the proxy that does not answer")
  {
    fleet.states.erase("p2");
    skip = true;
  }
  SUBCASE("skipping does not hide an objection")
  {
    fleet.states.erase("p2");
    fleet.states["p1"] = Fleet::State(5, 1);
    skip = true;
    expected = ExitCode::Conflict;
  }
  SUBCASE("leaving proxies are not asked")
  {
    fleet.platform.AddProxy("p3", HostState::Leaving);
  }
  const auto result = fleet.Apply(2, base, skip);
  CHECK(result.code == expected);
  CHECK(fleet.platform.Head()->revision == (expected == ExitCode::Ok ? 2 : 1));
}

TEST_CASE("a folder with problems never reaches the platform")
{
  Fleet fleet;
  fleet.platform.tableDown = true;
  const auto result = fleet.Apply(0, std::nullopt);
  CHECK(result.code == ExitCode::Problems);
  CHECK(result.problems.size() == 1);
}
