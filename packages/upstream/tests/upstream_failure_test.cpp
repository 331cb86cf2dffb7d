#include <doctest/doctest.h>

#include "client_fixture.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr std::string_view kEmptyOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Reads one request per connection, writes the bytes and closes the connection.
RawServer::Script RespondAndClose(std::string aBytes)
{
  return [bytes = std::move(aBytes)](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    aConnection.Write(bytes);
  };
}

} // namespace

TEST_CASE("a truncated response is never reported as complete")
{
  struct Case
  {
    const char* response;
    UpstreamFailure failure;
  };
  const Case cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", UpstreamFailure::Truncated },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      UpstreamFailure::Truncated },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", UpstreamFailure::Truncated },
    // The end of a close-delimited body cannot be distinguished from a lost connection.
    { "HTTP/1.1 200 OK\r\n\r\nabc", UpstreamFailure::Truncated },
    { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n", UpstreamFailure::Reset },
    { "", UpstreamFailure::Reset },
    { "HTTP/1.1 100 Continue\r\n\r\n", UpstreamFailure::Reset },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.response);
    RawServer server(RespondAndClose(entry.response));
    ClientFixture client;
    const UpstreamResult result = client.Fetch(MakeRequest(server.Port(), "GET"));
    CHECK(result.failure == entry.failure);
    CHECK(result.maybeSent);
  }
}

TEST_CASE("a response of ambiguous length or that is not HTTP is rejected")
{
  // Response smuggling: leftover bytes would be read as the response to the next request.
  const char* responses[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n\r\n",
    "HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n",
    "hello\r\n\r\n",
  };
  for (const char* response : responses) {
    CAPTURE(response);
    RawServer server(RespondAndClose(response));
    ClientFixture client;
    CHECK(client.Fetch(MakeRequest(server.Port(), "GET")).failure == UpstreamFailure::Protocol);
  }
}

TEST_CASE("responses that exceed a size limit are rejected")
{
  // Without the limits one response could use unbounded memory.
  RawServer server([](RawConnection& aConnection, int aIndex) {
    aConnection.ReadMessage();
    if (aIndex == 0) {
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + TestBody(1001));
    } else {
      aConnection.Write("HTTP/1.1 200 OK\r\nX: " + std::string(kMaxHeaderBytes, 'a') + "\r\n");
    }
    aConnection.WaitForClose();
  });
  ClientFixture client;
  UpstreamRequest request = MakeRequest(server.Port(), "GET");
  request.maxResponseBytes = 1000;
  CHECK(client.Fetch(request).failure == UpstreamFailure::TooLarge);
  CHECK(client.Fetch(request).failure == UpstreamFailure::TooLarge);
}

TEST_CASE("maybeSent is false only if no request byte was sent")
{
  ClientFixture client;
  SUBCASE("refused connection")
  {
    const ClosedPort port;
    const UpstreamResult result = client.Fetch(MakeRequest(port.Port(), "POST"));
    CHECK(result.failure == UpstreamFailure::Connect);
    CHECK_FALSE(result.maybeSent);
  }
  SUBCASE("connection not established in time")
  {
    const FullPort port;
    UpstreamRequest request = MakeRequest(port.Port(), "POST");
    request.connectTimeout = Milliseconds(30);
    const UpstreamResult result = client.Fetch(request);
    CHECK(result.failure == UpstreamFailure::Connect);
    CHECK_FALSE(result.maybeSent);
    CHECK(result.totalTime >= Milliseconds(29));
    CHECK(result.totalTime < Milliseconds(500));
  }
  SUBCASE("deadline passes before the connection is established")
  {
    const FullPort port;
    UpstreamRequest request = MakeRequest(port.Port(), "POST");
    request.deadline = Milliseconds(20);
    const UpstreamResult result = client.Fetch(request);
    CHECK(result.failure == UpstreamFailure::Timeout);
    CHECK_FALSE(result.maybeSent);
  }
  SUBCASE("reset after the request")
  {
    RawServer server([](RawConnection& aConnection, int) {
      aConnection.ReadMessage();
      aConnection.Reset();
    });
    const UpstreamResult result = client.Fetch(MakeRequest(server.Port(), "POST"));
    CHECK(result.failure == UpstreamFailure::Reset);
    CHECK(result.maybeSent);
  }
  SUBCASE("reset inside the body")
  {
    RawServer server([](RawConnection& aConnection, int) {
      aConnection.ReadMessage();
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
      aConnection.Reset();
    });
    const UpstreamResult result = client.Fetch(MakeRequest(server.Port(), "POST"));
    // The reset may discard the head before curl has read it.
    CHECK(
      (result.failure == UpstreamFailure::Truncated || result.failure == UpstreamFailure::Reset));
    CHECK(result.maybeSent);
  }
  SUBCASE("deadline has passed before the call")
  {
    UpstreamRequest request = MakeRequest(1, "POST");
    request.deadline = Milliseconds(0);
    const UpstreamResult result = client.Fetch(request);
    CHECK(result.failure == UpstreamFailure::Timeout);
    CHECK_FALSE(result.maybeSent);
  }
  SUBCASE("cancelled before the connection exists")
  {
    RawServer server([](RawConnection& aConnection, int) { aConnection.ReadMessage(); });
    std::promise<UpstreamResult> promise;
    bool insideSend = true;
    client.loop.Call([&] {
      const uint64_t id =
        client.client->Send(MakeRequest(server.Port(), "POST"), [&](auto aResult) {
          CHECK_FALSE(insideSend);
          promise.set_value(aResult);
        });
      client.client->Cancel(id);
      client.client->Cancel(id);
      insideSend = false;
    });
    const UpstreamResult result = promise.get_future().get();
    CHECK(result.failure == UpstreamFailure::Cancelled);
    CHECK_FALSE(result.maybeSent);
  }
}

TEST_CASE("a transfer to an unresponsive upstream ends at its deadline")
{
  // The deadline must not be rounded to seconds, and the connection must not be reused afterwards.
  Signal closed;
  RawServer server([&](RawConnection& aConnection, int aIndex) {
    aConnection.ReadMessage();
    if (aIndex == 0) {
      if (aConnection.WaitForClose()) {
        closed.Set();
      }
    } else {
      aConnection.Write(kEmptyOk);
    }
  });
  ClientFixture client;
  UpstreamRequest request = MakeRequest(server.Port(), "GET");
  request.deadline = Milliseconds(37);
  const UpstreamResult result = client.Fetch(request);
  CHECK(result.failure == UpstreamFailure::Timeout);
  CHECK(result.maybeSent);
  CHECK(result.totalTime >= Milliseconds(37));
  CHECK(result.totalTime < Milliseconds(500));
  CHECK(closed.Wait());
  request.deadline = kTestDeadline;
  CHECK(client.Fetch(request).status == 200);
}

TEST_CASE("a late response to a cancelled transfer reaches no other transfer")
{
  // A connection on which a response is still outstanding must not be reused.
  Signal received;
  Signal cancelled;
  RawServer server([&](RawConnection& aConnection, int aIndex) {
    aConnection.ReadMessage();
    if (aIndex == 0) {
      received.Set();
      CHECK(cancelled.Wait());
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      CHECK(aConnection.WaitForClose());
    } else {
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    }
  });
  ClientFixture client;
  std::promise<UpstreamResult> promise;
  uint64_t id = 0;
  client.loop.Call([&] {
    id = client.client->Send(MakeRequest(server.Port(), "GET"),
                             [&](auto aResult) { promise.set_value(aResult); });
  });
  REQUIRE(received.Wait());
  client.loop.Call([&] { client.client->Cancel(id); });
  const UpstreamResult result = promise.get_future().get();
  CHECK(result.failure == UpstreamFailure::Cancelled);
  CHECK(result.maybeSent);
  cancelled.Set();
  CHECK(client.Fetch(MakeRequest(server.Port(), "GET")).body == "own");
}

TEST_CASE("an idle connection that was closed or has unread bytes is not reused")
{
  // Bytes after a response would be read as the next response. An idle connection that the upstream
  // closed must not make the next request fail.
  Signal firstResponseRead;
  Signal connectionChanged;
  bool sendUnsolicited = false;
  SUBCASE("closed by the upstream")
  {
    sendUnsolicited = false;
  }
  SUBCASE("unsolicited bytes")
  {
    sendUnsolicited = true;
  }
  RawServer server([&](RawConnection& aConnection, int aIndex) {
    aConnection.ReadMessage();
    aConnection.Write(kEmptyOk);
    if (aIndex > 0) {
      aConnection.ReadMessage();
      return;
    }
    CHECK(firstResponseRead.Wait());
    if (sendUnsolicited) {
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
      connectionChanged.Set();
      CHECK(aConnection.WaitForClose());
    } else {
      aConnection.Close();
      connectionChanged.Set();
    }
  });
  ClientFixture client;
  CHECK(client.Fetch(MakeRequest(server.Port(), "GET")).status == 200);
  firstResponseRead.Set();
  REQUIRE(connectionChanged.Wait());
  const UpstreamResult result = client.Fetch(MakeRequest(server.Port(), "GET"));
  CHECK(result.failure == UpstreamFailure::None);
  CHECK(result.body.empty());
  CHECK_FALSE(result.connectionReused);
}

TEST_CASE("bytes directly after a response close the connection")
{
  // The extra bytes arrive in the same segment as the response and must not become the next one.
  RawServer server([](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\n"
                      "Content-Length: 4\r\n\r\nevil");
    CHECK(aConnection.WaitForClose());
  });
  ClientFixture client;
  CHECK(client.Fetch(MakeRequest(server.Port(), "GET")).body == "own");
  CHECK(client.Fetch(MakeRequest(server.Port(), "GET")).body == "own");
}

TEST_CASE("a client destroyed in a callback runs no further callbacks")
{
  // A program that stops with unfinished transfers would otherwise use freed memory.
  RawServer server([](RawConnection& aConnection, int aIndex) {
    aConnection.ReadMessage();
    if (aIndex > 0) {
      aConnection.WaitForClose();
    }
    aConnection.Write(kEmptyOk);
  });
  ClientFixture client;
  Signal destroyed;
  std::atomic<int> calls = 0;
  client.loop.Call([&] {
    client.client->Send(MakeRequest(server.Port(), "GET"), [&](const UpstreamResult&) {
      ++calls;
      client.client.reset();
      destroyed.Set();
    });
  });
  REQUIRE(destroyed.Wait());
  client.loop.Call([] {});
  CHECK(calls == 1);
}
