#include <doctest/doctest.h>

#include "boragegauge/detection.h"
#include "fake_platform.h"

using namespace bg;
using namespace bg::ctl;

namespace {

DecisionRecord Record(const std::string& aProxy, int aSequence, int64_t aTimeMs)
{
  DecisionRecord record;
  record.id = aProxy + "-1-" + std::to_string(aSequence);
  record.proxy = aProxy;
  record.timeMs = aTimeMs;
  record.kind = DecisionKind::Avoidance;
  record.service = "desk";
  record.subject = "u1";
  return record;
}

std::string Lines(const std::vector<DecisionRecord>& aRecords)
{
  std::string text;
  for (const auto& record : aRecords)
    text += EncodeRecord(record) + "\n";
  return text;
}

std::vector<std::string> Ids(const ExplainResult& aResult)
{
  std::vector<std::string> ids;
  for (const auto& record : aResult.records)
    ids.push_back(record.id);
  return ids;
}

struct Records
{
  Records()
  {
    platform.AddProxy("p1");
    platform.AddProxy("p2");
    auto refusal = Record("p1", 3, 3000000);
    refusal.kind = DecisionKind::Refusal;
    refusal.subject = "shops";
    refusal.requestId = "r9";
    refusal.count = 5;
    // The proxy still counts repeats of a record that the store has with a lower count.
    bodies["p1"] = "[" + EncodeRecord(Record("p1", 1, 1000000)) + "," + EncodeRecord(refusal) + "]";
    refusal.count = 2;
    platform.objects["decisions/p1/1-9"] = Lines({ Record("p1", 1, 1000000) });
    platform.objects["decisions/p1/1-10"] = Lines({ refusal });
    platform.objects["decisions/p2/1-1"] = Lines({ Record("p2", 1, 2000000) });
    platform.objects["decisions/gone/1-1"] = Lines({ Record("gone", 1, 1500000) });
  }

  ExplainResult Collect(const ExplainQuery& aQuery, size_t aMaxObjects = 100)
  {
    ExplainInit init;
    init.platform = &blocking;
    init.maxObjectsPerProxy = aMaxObjects;
    init.queryProxies = [this](std::span<const ProxyAddress> aProxies, std::string_view aTarget) {
      CHECK(aTarget == "/decisions");
      std::vector<Result<std::string>> result;
      for (const auto& proxy : aProxies) {
        const auto body = bodies.find(proxy.host);
        if (body != bodies.end())
          result.emplace_back(body->second);
        else
          result.emplace_back(Error{ Errc::Timeout, "proxy.get", proxy.host, "" });
      }
      return result;
    };
    return Explainer(init).Collect(aQuery);
  }

  FakePlatform platform;
  BlockingPlatform blocking{ platform };
  std::map<std::string, std::string> bodies{ { "p2", "[]" } };
};

using IdList = std::vector<std::string>;

ExplainQuery ForProxy(const std::string& aProxy, int64_t aSinceMs = 0)
{
  ExplainQuery query;
  query.proxy = aProxy;
  query.sinceMs = aSinceMs;
  return query;
}

} // namespace

TEST_CASE("records of store and proxies are merged by id and ordered by time")
{
  Records records;
  const auto result = records.Collect({});
  CHECK(Ids(result) == IdList{ "p1-1-1", "gone-1-1", "p2-1-1", "p1-1-3" });
  CHECK(result.records.back().count == 5);
  CHECK(result.unreachable.empty());
}

TEST_CASE("records are selected by service, upstream, proxy, request and time")
{
  Records records;
  ExplainQuery query;
  query.service = "other";
  CHECK(records.Collect(query).records.empty());
  query = ForProxy("p1");
  query.upstream = "u1";
  CHECK(Ids(records.Collect(query)) == IdList{ "p1-1-1" });
  query = {};
  query.requestId = "r9";
  CHECK(Ids(records.Collect(query)) == IdList{ "p1-1-3" });
  query = {};
  query.sinceMs = 1500000;
  query.untilMs = 2000000;
  CHECK(Ids(records.Collect(query)) == IdList{ "gone-1-1", "p2-1-1" });
}

TEST_CASE("what could not be read is said")
{
  // Guards against an incomplete answer that looks complete.
  Records records;
  SUBCASE("one proxy is down; its stored records are still shown")
  {
    records.bodies.erase("p2");
    const auto result = records.Collect({});
    CHECK(result.records.size() == 4);
    REQUIRE(result.unreachable.size() == 1);
    CHECK(result.unreachable[0].starts_with("proxy p2"));
  }
  SUBCASE("the object store is down; the proxies' records are still shown")
  {
    records.platform.objectsDown = true;
    const auto result = records.Collect({});
    CHECK(result.records.size() == 2);
    CHECK(result.unreachable.size() == 1);
  }
  SUBCASE("a proxy answers nonsense")
  {
    records.bodies["p2"] = "{}";
    CHECK(records.Collect({}).unreachable.size() == 1);
  }
  SUBCASE("more batches than the limit: the newest by number, not by digits, are read")
  {
    records.bodies["p1"] = "[]";
    const auto result = records.Collect(ForProxy("p1"), 1);
    CHECK(Ids(result) == IdList{ "p1-1-3" });
    CHECK(result.unreachable.size() == 1);
  }
  SUBCASE("batches before the wanted time are not fetched")
  {
    records.platform.objects["decisions/p1/1-9"] = "not a record\n";
    CHECK(records.Collect({}).unreachable.size() == 1);
    CHECK(records.Collect(ForProxy("p1", 9000000)).unreachable.empty());
  }
}

TEST_CASE("the recorded evidence is decided again")
{
  detection::VerdictEvidence evidence;
  evidence.threshold = 6;
  evidence.members = 30;
  evidence.suspects = 1;
  for (uint16_t i = 0; i < 2; ++i) {
    auto& domain = evidence.domains.emplace_back();
    domain.domain.idx = i;
    domain.counts.failed = 4;
    domain.observers = 3;
  }
  auto record = Record("p1", 1, 1);
  record.kind = DecisionKind::Ejection;
  record.evidence = detection::ToEvidenceValues(evidence);
  const auto replay = ReplayRecord(record);
  REQUIRE(replay);
  CHECK(replay->agrees);

  SUBCASE("evidence that does not support the recorded decision is noticed")
  {
    for (auto& domain : evidence.domains)
      domain.counts = { .good = 100, .failed = 0, .slow = 0 };
    record.evidence = detection::ToEvidenceValues(evidence);
    const auto differs = ReplayRecord(record);
    REQUIRE(differs);
    CHECK_FALSE(differs->agrees);
  }
  SUBCASE("incomplete evidence and other kinds are refused")
  {
    record.evidence.pop_back();
    CHECK_FALSE(ReplayRecord(record));
    record.kind = DecisionKind::Drain;
    CHECK_FALSE(ReplayRecord(record));
  }
}
