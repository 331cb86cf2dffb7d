#include <doctest/doctest.h>

#include <rapidcheck.h>

#include "boragegauge/protocol.h"

using namespace bg;

namespace {

const std::string kDigest = Sha256Hex("body");

ClaimRow DoneClaim()
{
  ClaimRow row{ "token", kDigest, ClaimState::Done, {}, 1700000000000 };
  row.outcome = { 201,
                  { { "Content-Type", "text/plain" }, { "X", "" } },
                  std::string("\0\xff!", 3) };
  return row;
}

} // namespace

TEST_CASE("rows survive encoding")
{
  const auto head = DecodeHead(EncodeHead({ 41, kDigest, "change" }));
  REQUIRE(head);
  CHECK(head->revision == 41);
  CHECK(head->changeId == "change");

  const auto revision = DecodeRevision(EncodeRevision({ 41, kDigest, "change", 5 }));
  REQUIRE(revision);
  CHECK(revision->createdMs == 5);

  const EjectionsRow ejections{ { { "d1", "p1", 7, 100, 200, "p1-7-1", false },
                                  { "d2", "p2", 8, 110, 210, "p2-8-1", true } } };
  const auto entries = DecodeEjections(EncodeEjections(ejections));
  REQUIRE(entries);
  CHECK(entries->entries == ejections.entries);

  const auto claim = DecodeClaim(EncodeClaim(DoneClaim()));
  REQUIRE(claim);
  CHECK(claim->state == ClaimState::Done);
  CHECK(claim->outcome.status == 201);
  CHECK(claim->outcome.headers == DoneClaim().outcome.headers);
  CHECK(claim->outcome.body == DoneClaim().outcome.body);
  CHECK(DecodeClaim(EncodeClaim({ "t", kDigest, ClaimState::Sending, {}, 1 }))->state ==
        ClaimState::Sending);
}

TEST_CASE("a response body of any bytes up to 8 KB is kept, a larger one is left out")
{
  CHECK(rc::check("any bytes", [](const std::string& aBody) {
    ClaimRow row = DoneClaim();
    row.outcome.body = aBody;
    const auto decoded = DecodeClaim(EncodeClaim(row));
    RC_ASSERT(bool(decoded));
    RC_ASSERT(decoded->outcome.body == std::optional<std::string>(aBody));
  }));
  ClaimRow row = DoneClaim();
  row.outcome.body = std::string(kMaxClaimBodyBytes, 'x');
  CHECK(DecodeClaim(EncodeClaim(row))->outcome.body == row.outcome.body);
  row.outcome.body = std::string(kMaxClaimBodyBytes + 1, 'x');
  CHECK_FALSE(DecodeClaim(EncodeClaim(row))->outcome.body);
  row.outcome.headers = { { "X-Name", "\xff" } };
  CHECK(DecodeClaim(EncodeClaim(row)));
}

TEST_CASE("damaged rows and rows of a later format are refused")
{
  const auto refused = [](std::string aText, std::string_view aFrom, std::string_view aTo) {
    aText.replace(aText.find(aFrom), aFrom.size(), aTo);
    CAPTURE(aText);
    const auto head = DecodeHead(aText);
    const auto ejections = DecodeEjections(aText);
    const auto claim = DecodeClaim(aText);
    CHECK_FALSE(head);
    CHECK_FALSE(ejections);
    CHECK_FALSE(claim);
    return head.Failure().detail;
  };
  const std::string head = EncodeHead({ 41, kDigest, "change" });
  CHECK(refused(head, "\"format\":1", "\"format\":2") == "format 2; supported is 1");
  CHECK(refused(head, "41", "-41") == "revision is out of range");
  CHECK(refused(head, "41", "41.5") == "revision is not an integer");
  CHECK(refused(head, "41", "18446744073709551616") == "revision is not an integer");
  CHECK(refused(head, kDigest, "ABC") == "digest is not a SHA-256 digest");
  refused(head, "{", "[");

  const std::string ejections = EncodeEjections({ { { "d1", "p1", 7, 100, 200, "r", false } } });
  refused(ejections, "\"expires_ms\":200", "\"expires_ms\":\"200\"");
  refused(ejections, "\"expires_ms\":200", "\"expires_ms\":-200");
  refused(ejections, "\"holder\"", "\"host\"");

  const std::string claim = EncodeClaim(DoneClaim());
  refused(claim, "\"done\"", "\"sent\"");
  refused(claim, "\"status\":201", "\"status\":65537");
  refused(claim, "\"status\":201", "\"status\":7");
  refused(claim, "AP8h", "A*8h");
  refused(claim, "AP8h", " AP8h");
  refused(claim, "[\"X\",\"\"]", "[\"X\"]");
}
