#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

#include "boragegauge/configuration.h"

using namespace bg;

namespace {

constexpr auto kBase = R"({"format":1,"failure_domains":["b","a"],
  "callers":{"shops":{"account_prefixes":["shop-"]}}})";
constexpr auto kDesk = R"({"services":{"desk":{"healthy_floor":1,"upstreams":{
  "u2":{"address":"127.0.0.1","port":2,"failure_domain":"b"},
  "u1":{"address":"127.0.0.1","port":1,"admin_port":9,"failure_domain":"a"}}}},
  "routes":{"stock":{"path_prefix":"/stock","methods":["GET","PUT"],"callers":["shops"],
                     "service":"desk","deadline_ms":250},
            "order":{"path_prefix":"/order","methods":["POST"],"callers":["shops"],
                     "service":"desk","require_idempotency_key":true}}})";

ConfigurationReport Merge(std::initializer_list<ConfigurationFile> aFiles)
{
  return MergeConfiguration(std::vector<ConfigurationFile>(aFiles));
}

} // namespace

TEST_CASE("files merge into one model")
{
  const auto report = Merge({ { "10.json", kBase }, { "20.json", kDesk } });
  REQUIRE(report.problems.empty());
  const auto& model = *report.configuration;

  SUBCASE("handles follow the order of ids, whatever the order in the files")
  {
    CHECK(model.failureDomains == std::vector<std::string>{ "a", "b" });
    REQUIRE(model.upstreams.size() == 2);
    CHECK(model.upstreams[0].id == "u1");
    CHECK(model.upstreams[1].failureDomain.idx == 1);
    CHECK(model.routes[0].id == "order");
    CHECK(model.services[0].upstreams.size() == 2);
  }
  SUBCASE("defaults: only methods that are idempotent make a route idempotent")
  {
    CHECK_FALSE(model.routes[0].idempotent);
    CHECK(model.routes[0].requireIdempotencyKey);
    CHECK(model.routes[1].idempotent);
    CHECK(model.routes[1].deadline == Milliseconds(250));
    CHECK(model.services[0].detection.threshold == 8.0);
  }
  SUBCASE("the digest is that of the canonical body")
  {
    CHECK(model.digest == Sha256Hex(report.body));
    const auto again = ParseConfiguration(report.body);
    REQUIRE(again.configuration);
    CHECK(again.body == report.body);
    CHECK(again.configuration->digest == model.digest);
  }
}

TEST_CASE("a later file overrides and removes")
{
  const auto report = Merge({ { "10.json", kBase },
                              { "20.json", kDesk },
                              { "30.json", R"({"routes":{"stock":null},"services":{"desk":{
                                "upstreams":{"u2":{"port":7}}}}})" } });
  REQUIRE(report.problems.empty());
  CHECK(report.configuration->routes.size() == 1);
  CHECK(report.configuration->upstreams[1].port == 7);
}

TEST_CASE("a problem names the file that set the value")
{
  // Guards against blaming the file that created the object.
  const auto report =
    Merge({ { "10.json", kBase },
            { "20.json", kDesk },
            { "30.json", R"({"services":{"desk":{"upstreams":{"u2":{"port":70000}}}}})" } });
  REQUIRE(report.problems.size() == 1);
  CHECK(ToString(report.problems[0]) == "30.json:/services/desk/upstreams/u2/port: found 70000; "
                                        "allowed integer from 1 to 65535");
  CHECK_FALSE(report.configuration);
}

TEST_CASE("folders load in the order of names")
{
  const auto folder = std::filesystem::temp_directory_path() / ("bg-" + RandomToken());
  std::filesystem::create_directory(folder);
  const auto write = [&](const char* aName, const char* aText) {
    std::ofstream(folder / aName) << aText;
  };
  write("20-desk.json", kDesk);
  write("10-base.json", kBase);
  write("30-late.json", R"({"claim_retention_h":48})");
  write(".base.json", "not JSON, not merged");
  write("notes.txt", "not merged");
  const auto report = LoadConfigurationFolder(folder);
  REQUIRE(report.problems.empty());
  CHECK(report.configuration->claimRetentionHours == 48);
  std::filesystem::remove_all(folder);

  // Guards against an empty or mistyped folder being applied as an empty configuration.
  const auto missing = LoadConfigurationFolder(folder);
  REQUIRE(missing.problems.size() == 1);
  CHECK(missing.problems[0].file == folder.string());
}

TEST_CASE("differences are ordered by pointer")
{
  const auto before = Merge({ { "10.json", kBase }, { "20.json", kDesk } });
  const auto after = Merge(
    { { "10.json", kBase },
      { "20.json", kDesk },
      { "30.json",
        R"({"claim_retention_h":48,"routes":{"stock":null},"services":{"desk":{"healthy_floor":0}}})" } });
  const auto changes = DiffConfiguration(before.body, after.body);
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].kind == ChangeKind::Added);
  CHECK(changes[0].after == "48");
  CHECK(changes[1].kind == ChangeKind::Removed);
  CHECK(changes[1].pointer == "/routes/stock");
  CHECK(changes[2].pointer == "/services/desk/healthy_floor");
  CHECK(changes[2].before == "1");
  CHECK(DiffConfiguration(after.body, after.body).empty());
  CHECK(DiffConfiguration("", after.body).size() == 6);
}
