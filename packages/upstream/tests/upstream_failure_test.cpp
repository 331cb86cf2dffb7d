#include <doctest/doctest.h>

#include "client_fixture.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr std::string_view kEmptyOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Answers each request on a connection with the bytes, then closes it.
RawServer::Script AnswerAndClose(std::string aBytes)
{
  return [bytes = std::move(aBytes)](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    aConnection.Write(bytes);
  };
}

} // namespace

TEST_CASE("a response that ends early is never passed on as complete")
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
    // A body that only the close ends cannot be told from a lost connection.
    { "HTTP/1.1 200 OK\r\n\r\nabc", UpstreamFailure::Truncated },
    { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n", UpstreamFailure::Reset },
    { "", UpstreamFailure::Reset },
    { "HTTP/1.1 100 Continue\r\n\r\n", UpstreamFailure::Reset },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.response);
    RawServer server(AnswerAndClose(entry.response));
    ClientFixture client;
    const UpstreamResult result = client.Fetch(RequestTo(server.Port(), "GET"));
    CHECK(result.failure == entry.failure);
    CHECK(result.maybeSent);
  }
}

TEST_CASE("a response whose end is ambiguous or that is not HTTP is refused")
{
  // Guards against response smuggling: rest bytes that become the next transfer's response.
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
    RawServer server(AnswerAndClose(response));
    ClientFixture client;
    CHECK(client.Fetch(RequestTo(server.Port(), "GET")).failure == UpstreamFailure::Protocol);
  }
}

TEST_CASE("responses over a limit are refused")
{
  // Guards against unbounded memory.
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
  UpstreamRequest request = RequestTo(server.Port(), "GET");
  request.maxResponseBytes = 1000;
  CHECK(client.Fetch(request).failure == UpstreamFailure::TooLarge);
  CHECK(client.Fetch(request).failure == UpstreamFailure::TooLarge);
}

TEST_CASE("maybeSent is false only when no byte can have left")
{
  ClientFixture client;
  SUBCASE("refused connection")
  {
    const ClosedPort port;
    const UpstreamResult result = client.Fetch(RequestTo(port.Port(), "POST"));
    CHECK(result.failure == UpstreamFailure::Connect);
    CHECK_FALSE(result.maybeSent);
  }
  SUBCASE("connection not established in time")
  {
    const FullPort port;
    UpstreamRequest request = RequestTo(port.Port(), "POST");
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
    UpstreamRequest request = RequestTo(port.Port(), "POST");
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
    const UpstreamResult result = client.Fetch(RequestTo(server.Port(), "POST"));
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
    const UpstreamResult result = client.Fetch(RequestTo(server.Port(), "POST"));
    // The reset may discard the head before curl has read it.
    CHECK(
      (result.failure == UpstreamFailure::Truncated || result.failure == UpstreamFailure::Reset));
    CHECK(result.maybeSent);
  }
  SUBCASE("deadline has passed before the call")
  {
    UpstreamRequest request = RequestTo(1, "POST");
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
      const uint64_t id = client.client->Send(RequestTo(server.Port(), "POST"), [&](auto aResult) {
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

TEST_CASE("a silent upstream is left at the deadline")
{
  // Guards against deadlines rounded to seconds and against reuse of a silent connection.
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
  UpstreamRequest request = RequestTo(server.Port(), "GET");
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

TEST_CASE("a late response after a cancellation reaches no other transfer")
{
  // Guards against reuse of a connection on which a response is still due.
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
    id = client.client->Send(RequestTo(server.Port(), "GET"),
                             [&](auto aResult) { promise.set_value(aResult); });
  });
  REQUIRE(received.Wait());
  client.loop.Call([&] { client.client->Cancel(id); });
  const UpstreamResult result = promise.get_future().get();
  CHECK(result.failure == UpstreamFailure::Cancelled);
  CHECK(result.maybeSent);
  cancelled.Set();
  CHECK(client.Fetch(RequestTo(server.Port(), "GET")).body == "own");
}

TEST_CASE("a dead or polluted idle connection is not used")
{
  // Guards against bytes after a response that would be taken for the next response, and against
  // a failure that is only due to an idle connection closed by the upstream.
  Signal first;
  Signal changed;
  bool pollute = false;
  SUBCASE("closed by the upstream")
  {
    pollute = false;
  }
  SUBCASE("unasked bytes")
  {
    pollute = true;
  }
  RawServer server([&](RawConnection& aConnection, int aIndex) {
    aConnection.ReadMessage();
    aConnection.Write(kEmptyOk);
    if (aIndex > 0) {
      aConnection.ReadMessage();
      return;
    }
    CHECK(first.Wait());
    if (pollute) {
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
      changed.Set();
      CHECK(aConnection.WaitForClose());
    } else {
      aConnection.Close();
      changed.Set();
    }
  });
  ClientFixture client;
  CHECK(client.Fetch(RequestTo(server.Port(), "GET")).status == 200);
  first.Set();
  REQUIRE(changed.Wait());
  const UpstreamResult result = client.Fetch(RequestTo(server.Port(), "GET"));
  CHECK(result.failure == UpstreamFailure::None);
  CHECK(result.body.empty());
  CHECK_FALSE(result.connectionReused);
}

TEST_CASE("bytes that follow a response directly close the connection")
{
  // Guards against pipelined garbage in the same segment as the response.
  RawServer server([](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\n"
                      "Content-Length: 4\r\n\r\nevil");
    CHECK(aConnection.WaitForClose());
  });
  ClientFixture client;
  CHECK(client.Fetch(RequestTo(server.Port(), "GET")).body == "own");
  CHECK(client.Fetch(RequestTo(server.Port(), "GET")).body == "own");
}

TEST_CASE("a client destroyed in a callback calls nobody back")
{
  // Guards against use after free when a program stops with transfers under way.
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
    client.client->Send(RequestTo(server.Port(), "GET"), [&](const UpstreamResult&) {
      ++calls;
      client.client.reset();
      destroyed.Set();
    });
  });
  REQUIRE(destroyed.Wait());
  client.loop.Call([] {});
  CHECK(calls == 1);
}
