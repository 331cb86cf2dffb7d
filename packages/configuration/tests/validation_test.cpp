#include <doctest/doctest.h>

#include "boragegauge/configuration.h"

using namespace bg;

namespace {

struct Case
{
  const char* name;
  const char* patch;   ///< Merged over a valid body as "90.json".
  const char* pointer; ///< Of the only problem.
  const char* found;   ///< Part of the text.
  const char* allowed; ///< Part of the text.
};

constexpr auto kValid = R"({"format":1,"failure_domains":["a"],
  "services":{"desk":{"healthy_floor":1,"upstreams":{
    "u1":{"address":"127.0.0.1","port":1,"failure_domain":"a"},
    "u2":{"address":"::1","port":1,"failure_domain":"a"}}}},
  "callers":{"shops":{"account_prefixes":["shop-"]}},
  "routes":{"stock":{"path_prefix":"/stock","methods":["GET"],"callers":["shops"],
                     "service":"desk"}}})";

// Each entry guards against accepting one kind of mistake, or reporting it unclearly.
constexpr Case kCases[] = {
  { "unknown key",
    R"({"routes":{"stock":{"servise":"x"}}})",
    "/routes/stock/servise",
    "unknown key \"servise\"",
    "\"service\" (nearest key)" },
  { "unknown key far from all",
    R"({"zzzzzzzzz":1})",
    "/zzzzzzzzz",
    "unknown key",
    "one of format" },
  { "wrong unit",
    R"({"routes":{"stock":{"deadline_s":5}}})",
    "/routes/stock/deadline_s",
    "another unit \"deadline_s\"",
    "\"deadline_ms\", in milliseconds" },
  { "missing unit",
    R"({"routes":{"stock":{"deadline":5}}})",
    "/routes/stock/deadline",
    "another unit",
    "\"deadline_ms\"" },
  { "unit in the value",
    R"({"routes":{"stock":{"deadline_ms":"5s"}}})",
    "/routes/stock/deadline_ms",
    "string \"5s\"",
    "integer, in milliseconds" },
  { "wrong type",
    R"({"services":{"desk":{"hedge":1}}})",
    "/services/desk/hedge",
    "integer 1",
    "boolean" },
  { "fraction for an integer",
    R"({"services":{"desk":{"queue_limit":1.5}}})",
    "/services/desk/queue_limit",
    "number 1.5",
    "integer" },
  { "object expected",
    R"({"services":{"desk":{"upstreams":{"u2":7}}}})",
    "/services/desk/upstreams/u2",
    "integer 7",
    "object" },
  { "out of range",
    R"({"services":{"desk":{"detection":{"max_bad_fraction":1.5}}}})",
    "/services/desk/detection/max_bad_fraction",
    "1.5",
    "number from 0.0 to 1.0" },
  { "newer format", R"({"format":2})", "/format", "2", "integer from 1 to 1" },
  { "no format", R"({"format":null})", "", "no key \"format\"", "required" },
  { "backoff order",
    R"({"services":{"desk":{"detection":{"min_backoff_ms":400000}}}})",
    "/services/desk/detection",
    "min_backoff_ms 400000",
    "at most max_backoff_ms" },
  { "unknown service",
    R"({"routes":{"stock":{"service":"desc"}}})",
    "/routes/stock/service",
    "unknown service \"desc\"",
    "\"desk\" (nearest id)" },
  { "unknown caller",
    R"({"routes":{"stock":{"callers":["shops","zzzzzz"]}}})",
    "/routes/stock/callers/1",
    "unknown caller \"zzzzzz\"",
    "the id of a caller" },
  { "unknown failure domain",
    R"({"services":{"desk":{"upstreams":{"u2":{"failure_domain":"x~y/z"}}}}})",
    "/services/desk/upstreams/u2/failure_domain",
    "unknown failure domain",
    "failure domain" },
  { "unknown method",
    R"({"routes":{"stock":{"methods":["get"]}}})",
    "/routes/stock/methods/0",
    "\"get\"",
    "one of GET" },
  { "value twice",
    R"({"routes":{"stock":{"methods":["GET","GET"]}}})",
    "/routes/stock/methods/1",
    "second time",
    "once" },
  { "mistyped list",
    R"({"routes":{"stock":{"methods":"GET"}}})",
    "/routes/stock/methods",
    "string",
    "array" },
  { "mistyped path",
    R"({"routes":{"stock":{"path_prefix":1}}})",
    "/routes/stock/path_prefix",
    "integer 1",
    "string" },
  { "bad path",
    R"({"routes":{"stock":{"path_prefix":"/stock/"}}})",
    "/routes/stock/path_prefix",
    "/stock/",
    "without trailing" },
  { "overlapping routes",
    R"({"routes":{"twin":{"path_prefix":"/stock","methods":["PUT","GET"],"callers":["shops"],"service":"desk"}}})",
    "/routes/twin",
    "same path_prefix as /routes/stock for GET of shops",
    "one route" },
  { "same account prefix",
    R"({"callers":{"twin":{"account_prefixes":["shop-"]}}})",
    "/callers/twin/account_prefixes",
    "also of /callers/shops",
    "no other caller" },
  { "same address, spelled differently",
    R"({"services":{"desk":{"upstreams":{"u3":{"address":"0:0::1","port":1,"failure_domain":"a"}}}}})",
    "/services/desk/upstreams/u3/port",
    "used by /services/desk/upstreams/u2",
    "no other" },
  { "host name as address",
    R"({"services":{"desk":{"upstreams":{"u2":{"address":"localhost"}}}}})",
    "/services/desk/upstreams/u2/address",
    "\"localhost\"",
    "IPv4 or IPv6" },
  { "same upstream id in two services",
    R"({"services":{"other":{"upstreams":{"u1":{"address":"127.0.0.2","port":1,"failure_domain":"a"}}}}})",
    "/services/other/upstreams/u1",
    "used by /services/desk/upstreams/u1",
    "no other service" },
  { "floor of all upstreams",
    R"({"services":{"desk":{"healthy_floor":2}}})",
    "/services/desk/healthy_floor",
    "floor 2 of 2",
    "at most 1" },
  { "service without upstreams",
    R"({"services":{"empty":{"upstreams":{}}}})",
    "/services/empty/upstreams",
    "no upstream",
    "at least one" },
  { "id unfit for a table key",
    R"({"callers":{"a/b":{"account_prefixes":["x"]}}})",
    "/callers/a~1b",
    "id",
    "A-Z" },
  { "body over the limit",
    R"({"routes":{"stock":{"max_body_bytes":67108865}}})",
    "/routes/stock/max_body_bytes",
    "67108865",
    "67108864, in bytes" },
};

ConfigurationReport MergeOverValid(const char* aPatch)
{
  const std::vector<ConfigurationFile> files{ { "10.json", kValid }, { "90.json", aPatch } };
  return MergeConfiguration(files);
}

std::string Numbered(size_t aCount, const std::string& aPrefix, const std::string& aValue)
{
  std::string text;
  for (size_t i = 0; i < aCount; ++i)
    text.append(i == 0 ? "\"" : ",\"").append(aPrefix + std::to_string(i)).append("\"" + aValue);
  return text;
}

} // namespace

TEST_CASE("each kind of mistake is reported once, with place and remedy")
{
  for (const auto& entry : kCases) {
    CAPTURE(entry.name);
    const auto report = MergeOverValid(entry.patch);
    std::string all;
    for (const auto& problem : report.problems)
      all += ToString(problem) + "\n";
    CAPTURE(all);
    REQUIRE(report.problems.size() == 1);
    const auto& problem = report.problems[0];
    CHECK(problem.pointer == entry.pointer);
    CHECK(problem.found.find(entry.found) != std::string::npos);
    CHECK(problem.allowed.find(entry.allowed) != std::string::npos);
    CHECK_FALSE(report.configuration);
  }
}

TEST_CASE("all problems are reported at once")
{
  const auto report = MergeOverValid(
    R"({"typo":1,"services":{"desk":{"queue_limit":-1,"upstreams":{"u3":{}}}},"callers":{"x":{}}})");
  // u3 lacks three required keys.
  CHECK(report.problems.size() == 6);
}

TEST_CASE("duplicate keys and syntax errors name file and place")
{
  const std::vector<ConfigurationFile> files{
    { "10.json", R"({"routes":{"a":{"deadline_ms":1,"deadline_ms":2}}})" },
    { "20.json", "{\"x\":}" },
    { "30.json", "[]" },
    { "40.json", std::string(10000, '[') },
    { "50.json", "{\"x\":\"\xff\"}" },
  };
  const auto report = MergeConfiguration(files);
  REQUIRE(report.problems.size() == 5);
  CHECK(report.problems[0].pointer == "/routes/a/deadline_ms");
  CHECK(report.problems[0].found.find("twice") != std::string::npos);
  CHECK(report.problems[1].found.find("line 1") != std::string::npos);
  CHECK(report.problems[2].allowed == "an object");
  CHECK(report.problems[3].found.find("nesting") != std::string::npos);
  CHECK(report.problems[4].allowed == "JSON in UTF-8");
}

TEST_CASE("a duplicate key in a body without other mistakes is still a problem")
{
  const auto report = MergeOverValid(R"({"claim_retention_h":1,"claim_retention_h":2})");
  REQUIRE(report.problems.size() == 1);
  CHECK(report.problems[0].file == "90.json");
}

TEST_CASE("the limits of config.h hold")
{
  // Guards against handles that overflow 16 bits.
  const auto domains = R"({"failure_domains":["a",)" + Numbered(kMaxFailureDomains, "d", "") + "]}";
  CHECK(MergeOverValid(domains.c_str()).problems.size() == 1);
  const auto callers =
    R"({"callers":{)" + Numbered(kMaxCallers, "c", R"(:{"account_prefixes":[]})") + "}}";
  const auto report = MergeOverValid(callers.c_str());
  REQUIRE_FALSE(report.problems.empty());
  CHECK(report.problems[0].allowed == "at most 1024");
  const std::string upstream = R"(:{"address":"127.0.0.1","port":1,"failure_domain":"a"})";
  const auto upstreams =
    R"({"services":{"desk":{"upstreams":{)" + Numbered(kMaxUpstreams, "x", upstream) + "}}}}";
  CHECK(MergeOverValid(upstreams.c_str()).problems.size() == 1);
}
