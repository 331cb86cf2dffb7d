#include <doctest/doctest.h>

#include "messages_p.h"
#include "pending_messages_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

std::string Texts(const std::vector<PeerMessage>& aMessages)
{
  std::string texts;
  for (const PeerMessage& message : aMessages) {
    texts += message.host + message.bytes + ' ';
  }
  return texts;
}

} // namespace

TEST_CASE("messages to hosts whose connections are not ready")
{
  const TimePoint now = Now();
  const auto add = [now](PendingMessages& aMessages,
                         const std::string& aHost,
                         const std::string& aBytes,
                         Duration aMaxWait) {
    return aMessages.Add({ aHost, DomainBytesKind::State, aBytes, now, aMaxWait });
  };
  PendingMessages messages;
  CHECK(add(messages, "a", "1", Milliseconds(500)));
  CHECK(add(messages, "b", "2", Milliseconds(20)));
  CHECK(add(messages, "a", "3", Milliseconds(500)));
  CHECK(messages.Contains("a"));
  SUBCASE("leave in order once a connection is ready")
  {
    int calls = 0;
    const auto isReady = [&calls](const std::string& aHost) { return aHost == "a" && ++calls > 0; };
    CHECK(Texts(messages.TakeReady(isReady)) == "a1 a3 ");
    CHECK(calls == 1); // A connection that gets ready meanwhile must not let one overtake another.
    CHECK_FALSE(messages.Contains("a"));
    CHECK(Texts(messages.TakeReady([](const std::string&) { return true; })) == "b2 ");
    CHECK(messages.Empty());
  }
  SUBCASE("are given up once they are of no use")
  {
    CHECK(messages.TakeExpired(now + Milliseconds(19)).empty());
    CHECK(Texts(messages.TakeExpired(now + Milliseconds(20))) == "b2 ");
    CHECK(Texts(messages.TakeExpired(now + Milliseconds(500))) == "a1 a3 ");
  }
  SUBCASE("leave room for others if a connection is never ready")
  {
    int added = 0;
    while (added < 1000 && add(messages, "a", "x", Milliseconds(500))) {
      ++added;
    }
    CHECK(added < 1000);
    CHECK(add(messages, "c", "4", Milliseconds(500)));
    CHECK_FALSE(add(messages, "d", std::string(3UL << 20, 'x'), Milliseconds(500)));
    messages.TakeExpired(now + Milliseconds(500));
    CHECK(messages.Empty());
    CHECK(add(messages, "d", std::string(1UL << 20, 'x'), Milliseconds(500)));
  }
}

TEST_CASE("a message that waited for a connection says for how long")
{
  wire::Envelope view;
  *view.mutable_sender() = ToWire(Member{ "a", "127.0.0.1", 7000, "zone", 1, 10, 0 });
  view.mutable_view()->set_configuration_age_ms(300);
  const auto received = ParseEnvelope(view.SerializeAsString() + EncodeHeldTime(Milliseconds(70)));
  REQUIRE(received);
  CHECK(received->held_ms() == 70);
  CHECK(received->view().configuration_age_ms() == 300);
}
