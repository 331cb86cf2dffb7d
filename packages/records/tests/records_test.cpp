#include <doctest/doctest.h>

#include "boragegauge/records.h"

using namespace bg;

namespace {

DecisionRecord MakeRefusal(std::string aSubject)
{
  DecisionRecord record;
  record.kind = DecisionKind::Refusal;
  record.service = "order-desk";
  record.subject = std::move(aSubject);
  record.rule = "queue_limit";
  return record;
}

DecisionRecord MakeEjection()
{
  DecisionRecord record;
  record.kind = DecisionKind::Ejection;
  record.service = "order-desk";
  record.subject = "desk-7";
  record.rule = "cusum";
  record.threshold = 8;
  record.evidence = { { "failed", 12 }, { "score", 9.25 } };
  record.opposing = { "floor" };
  record.revision = 41;
  record.digest = "0123456789abcdef";
  return record;
}

} // namespace

TEST_CASE("record ring of one proxy")
{
  RecordRing ring(RecordRingInit{ "p1", "77", "xela-a", 4, Milliseconds(10000) });

  SUBCASE("equal refusals within one interval share a record")
  {
    // Without aggregation, an overloaded proxy adds one record per refused request, and these fill
    // the ring.
    for (int i = 0; i < 100; ++i) {
      ring.Add(MakeRefusal("shops"), 1000 + i);
    }
    ring.Add(MakeRefusal("designers"), 1050);
    REQUIRE(ring.Snapshot().size() == 2);
    CHECK(ring.Snapshot()[0].count == 100);
    CHECK(ring.Snapshot()[0].id == "p1-77-1");
    CHECK(ring.Stats().repeats == 99);

    // A refusal is not uploaded before its interval ends, because its count may still increase.
    CHECK(ring.TakeBatch(10, 10999).empty());
    ring.Add(MakeRefusal("shops"), 11000);
    const auto batch = ring.TakeBatch(10, 11050);
    REQUIRE(batch.size() == 2);
    CHECK(batch[0].count == 100);
    CHECK(ring.Snapshot().size() == 3);
  }

  SUBCASE("a returned batch is taken again, in order and without duplicates")
  {
    // The uploader returns a batch when the object store is unavailable. Those records must not be
    // lost.
    ring.Add(MakeEjection(), 1);
    ring.Add(MakeEjection(), 2);
    auto batch = ring.TakeBatch(1, 3);
    REQUIRE(batch.size() == 1);
    ring.Add(MakeEjection(), 3);
    ring.ReturnBatch(std::move(batch));
    batch = ring.TakeBatch(10, 4);
    REQUIRE(batch.size() == 3);
    CHECK(batch[0].id == "p1-77-1");
    CHECK(batch[2].id == "p1-77-3");
    CHECK(ring.TakeBatch(10, 4).empty());
  }

  SUBCASE("ring and upload queue are bounded, and discarded records are counted")
  {
    for (int i = 0; i < 10; ++i) {
      ring.Add(MakeEjection(), i);
    }
    CHECK(ring.Snapshot().size() == 4);
    CHECK(ring.Snapshot()[0].id == "p1-77-7");
    CHECK(ring.Stats().dropped == 6);
  }

  SUBCASE("a wall clock that is set back does not delay the upload of a refusal")
  {
    ring.Add(MakeRefusal("shops"), 1000000);
    ring.Add(MakeRefusal("shops"), 500000);
    CHECK(ring.TakeBatch(10, 400000).size() == 2);
  }
}

TEST_CASE("a record can be encoded and decoded, and invalid JSON is rejected")
{
  for (int kind = 0; kind < static_cast<int>(DecisionKind::Count); ++kind) {
    DecisionRecord record = MakeEjection();
    record.kind = static_cast<DecisionKind>(kind);
    record.count = 3;
    const auto decoded = DecodeRecord(EncodeRecord(record));
    REQUIRE(decoded);
    CHECK(decoded->kind == record.kind);
    CHECK(EncodeRecord(*decoded) == EncodeRecord(record));
  }
  const std::string text = EncodeRecord(MakeEjection());
  for (const auto& [from, to] : { std::pair{ "\"ejection\"", "\"expulsion\"" },
                                  std::pair{ "\"revision\":41", "\"revision\":-41" },
                                  std::pair{ "\"count\":1", "\"count\":4294967296" },
                                  std::pair{ "\"rule\"", "\"role\"" } }) {
    std::string changed = text;
    changed.replace(changed.find(from), std::string_view(from).size(), to);
    CAPTURE(changed);
    REQUIRE_FALSE(DecodeRecord(changed));
    CHECK(DecodeRecord(changed).Failure().code == Errc::ProtocolViolation);
  }
  // Records that the first release wrote have no "context" field and must stay readable.
  std::string withoutContext = text;
  withoutContext.replace(withoutContext.find("\"context\":[],"), 13, "");
  CHECK(DecodeRecord(withoutContext));
  CHECK_FALSE(DecodeRecord("[]"));
  CHECK_FALSE(DecodeRecord(text.substr(0, text.size() - 1)));
  // Encoding a subject with invalid UTF-8 must not throw.
  CHECK(DecodeRecord(EncodeRecord(MakeRefusal("\xff\xfe"))));
}

TEST_CASE("a description contains the threshold and the evidence")
{
  DecisionRecord record = MakeEjection();
  record.proxy = "p1";
  record.failureDomain = "xela-a";
  record.timeMs = 1767225600123;
  record.context = { "verdict=p1-77-3" };
  CHECK(
    Describe(record) ==
    "At 2026-01-01T00:00:00.123Z proxy p1 (xela-a) ejected upstream desk-7 from the whole fleet "
    "in service order-desk, by rule cusum with threshold 8; evidence: "
    "failed = 12, score = 9.25; opposed by: floor; context: verdict=p1-77-3; configuration "
    "revision "
    "41 (digest 0123456789ab).");
}
