#include <doctest/doctest.h>

#include "boragegauge/protocol.h"

using namespace bg;

namespace {

std::vector<PeerBody> Examples()
{
  return {
    Heartbeat{
      41, 0x0123456789abcdef, "xela-a", ProxyState::Ready, 1700000000000, "127.0.0.1", 7000 },
    EvidenceReport{ "xela-a", { { UpstreamKey("desk", "d1"), 10, 2, 1 }, { 7, 0, 1, 0 } } },
    Verdict{ "desk",
             "d1",
             VerdictScope::Path,
             VerdictAction::Clear,
             "xela-a",
             "p1-1-2",
             { { "score", 9.5 } } },
    LeavingNotice{ "desk", "d1", "boot-7", "host_list" },
    ConfigurationRequest{ 42 },
    ConfigurationReply{ 42, Sha256Hex("{}"), "change-1", "{}" },
  };
}

PeerMessage Message(PeerBody aBody)
{
  return { "p1", 1700000000000, 9, std::move(aBody) };
}

} // namespace

TEST_CASE("each message survives encoding, and each truncation is refused or another message")
{
  for (PeerBody& body : Examples()) {
    const PeerMessage message = Message(body);
    const std::string bytes = EncodeMessage(message);
    const auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded);
    CHECK(decoded->sender == "p1");
    CHECK(decoded->incarnation == 1700000000000);
    CHECK(decoded->sequence == 9);
    CHECK(decoded->body.index() == message.body.index());
    CHECK(EncodeMessage(*decoded) == bytes);
    for (size_t size = 0; size < bytes.size(); ++size) {
      const auto cut = DecodeMessage(std::string_view(bytes).substr(0, size));
      CHECK((!cut || EncodeMessage(*cut) != bytes));
    }
  }
}

TEST_CASE("unknown versions, unknown values and oversized input are refused with a reason")
{
  const auto refuse = [](const std::string& aBytes, Errc aErrc, std::string_view aDetail) {
    const auto decoded = DecodeMessage(aBytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.Failure().code == aErrc);
    CHECK(decoded.Failure().detail == aDetail);
  };
  std::string bytes = EncodeMessage(Message(ConfigurationRequest{ 42 }));
  REQUIRE(bytes.substr(0, 2) == "\x08\x01");
  bytes[1] = 2;
  refuse(bytes, Errc::ProtocolViolation, "version 2; supported is 1");
  refuse("", Errc::ProtocolViolation, "version 0; supported is 1");
  refuse("\xff\xff", Errc::ProtocolViolation, "not an envelope");

  // Guards against a message type of a later release that is taken for an empty known one.
  std::string unknownType = EncodeMessage(Message(ConfigurationRequest{}));
  unknownType.replace(unknownType.size() - 2, 2, std::string("\xa2\x06\x00", 3));
  refuse(unknownType, Errc::ProtocolViolation, "unknown message type");

  Heartbeat heartbeat;
  heartbeat.state = ProxyState::Count;
  refuse(
    EncodeMessage(Message(heartbeat)), Errc::ProtocolViolation, "state has the unknown value 3");
  heartbeat.state = ProxyState::Ready;
  heartbeat.failureDomain.assign(1000, 'x');
  refuse(EncodeMessage(Message(heartbeat)), Errc::TooLarge, "failure_domain is too long");
  refuse(EncodeMessage(Message(LeavingNotice{})), Errc::ProtocolViolation, "service is empty");
  refuse(EncodeMessage(Message(ConfigurationReply{ 1, "ab", "", "" })),
         Errc::ProtocolViolation,
         "digest does not have 32 bytes");
  refuse(std::string(kMaxPeerMessageBytes + 1, 'x'), Errc::TooLarge, "20971521 bytes");
}

TEST_CASE("47 heartbeats a second fit into 3 KB/s")
{
  // Guards against fields that push the control traffic of the current fleet over its limit.
  // Once a peer hears the sender, heartbeats to it state no address.
  Heartbeat heartbeat = std::get<Heartbeat>(Examples()[0]);
  heartbeat.address.clear();
  heartbeat.port = 0;
  PeerMessage message = Message(heartbeat);
  message.sender = "toto-entry-48";
  message.sequence = 47 * 86400ULL * 7;
  const size_t size = EncodeMessage(message).size();
  MESSAGE("heartbeat bytes: " << size);
  CHECK(47 * size <= 3072);
}

TEST_CASE("keys differ where the concatenated names are equal")
{
  CHECK(UpstreamKey("ab", "c") != UpstreamKey("a", "bc"));
  CHECK(ClaimKey("s", "ab", "c") != ClaimKey("s", "a", "bc"));
  CHECK(DigestPrefix("0123456789abcdef00") == 0x0123456789abcdef);
  CHECK(DigestPrefix("") == 0);
}
