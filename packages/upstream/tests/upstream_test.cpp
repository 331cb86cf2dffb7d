#include <doctest/doctest.h>

#include "client_fixture.h"

using namespace bg;
using namespace bg::test;

TEST_CASE("bodies are transferred unchanged in both directions")
{
  // Bytes must not be lost, decoded or re-encoded, nor the length be wrong at buffer boundaries.
  RawServer server([](RawConnection& aConnection, int) {
    while (true) {
      const std::string request = aConnection.ReadMessage();
      const size_t end = request.find("\r\n\r\n");
      if (end == std::string::npos) {
        return;
      }
      const std::string body = request.substr(end + 4);
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  });
  ClientFixture client;
  for (const size_t size : { 0UL, 1UL, 16383UL, 65536UL, 65537UL, 1UL << 20 }) {
    CAPTURE(size);
    UpstreamRequest request = MakeRequest(server.Port(), "POST");
    request.body = std::make_shared<const std::string>(TestBody(size));
    const UpstreamResult result = client.Fetch(request);
    CHECK(result.failure == UpstreamFailure::None);
    CHECK(result.status == 200);
    CHECK((result.body == *request.body));
  }
  CHECK(server.Connections() == 1);
  CHECK(client.Stats().reusedConnections == 5);
}

TEST_CASE("the request is sent without added or normalized parts")
{
  // By default curl normalizes the target and adds fields: Expect delays an upload by 1 s, Accept
  // and Content-Type change the meaning of the caller's request.
  std::promise<std::string> receivedRequest;
  RawServer server([&](RawConnection& aConnection, int) {
    receivedRequest.set_value(aConnection.ReadMessage());
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  ClientFixture client;
  UpstreamRequest request = MakeRequest(server.Port(), "PUT");
  request.target = "/a/../b//c?x=%2F&y";
  request.headers = { { "Host", "desk.example" },
                      { "X-Empty", "" },
                      { "Connection", "X-Hop" },
                      { "X-Hop", "1" },
                      { "Content-Length", "999" } };
  request.body = std::make_shared<const std::string>("abc");
  CHECK(client.Fetch(request).status == 200);
  CHECK(receivedRequest.get_future().get() ==
        "PUT /a/../b//c?x=%2F&y HTTP/1.1\r\nHost: desk.example\r\n"
        "X-Empty:\r\nContent-Length: 3\r\n\r\nabc");
}

TEST_CASE("a request with an invalid method, target, field or address is not sent")
{
  // Line breaks and spaces would allow header or request line injection.
  ClientFixture client;
  RawServer server([](RawConnection&, int) {});
  UpstreamRequest request = MakeRequest(server.Port(), "GET");
  SUBCASE("line break in the target")
  {
    request.target = "/ HTTP/1.1\r\nX: y";
  }
  SUBCASE("line break in a header value")
  {
    request.headers = { { "X", "a\r\nY: b" } };
  }
  SUBCASE("line break in a header name")
  {
    request.headers = { { "X\r\nY", "b" } };
  }
  SUBCASE("space in the method")
  {
    request.method = "GET /x";
  }
  SUBCASE("host name instead of an address")
  {
    request.address = "localhost";
  }
  const UpstreamResult result = client.Fetch(request);
  CHECK(result.failure == UpstreamFailure::Protocol);
  CHECK_FALSE(result.maybeSent);
  CHECK(server.Connections() == 0);
}

TEST_CASE("the end of chunked bodies and of responses without a body is detected")
{
  // Otherwise the client would wait for a body that is never sent, or read it from the next
  // response.
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
  struct Case
  {
    const char* method;
    std::string response;
    int status;
    std::string body;
  };
  const std::vector<Case> cases = {
    { "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", 200, "" },
    { "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "" },
    { "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 304, "" },
    { "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "" },
    { "GET", chunked, 200, "abcde" },
    { "GET", "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n" + chunked, 200, "abcde" },
  };
  RawServer server([&](RawConnection& aConnection, int) {
    for (const Case& entry : cases) {
      aConnection.ReadUntil("\r\n\r\n");
      aConnection.Write(entry.response);
    }
  });
  ClientFixture client;
  for (const Case& entry : cases) {
    CAPTURE(entry.response);
    const UpstreamResult result = client.Fetch(MakeRequest(server.Port(), entry.method));
    CHECK(result.failure == UpstreamFailure::None);
    CHECK(result.status == entry.status);
    CHECK(result.body == entry.body);
    CHECK(FindHeader(result.headers, "X-Early") == nullptr);
    CHECK(FindHeader(result.headers, "Transfer-Encoding") == nullptr);
    CHECK(FindHeader(result.headers, "X-Trailer") == nullptr);
  }
  CHECK(server.Connections() == 1);
}

TEST_CASE("hop-by-hop response fields are dropped")
{
  // Fields that apply to the connection to the upstream must not reach the caller's connection.
  RawServer server([](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    aConnection.Write("HTTP/1.1 200 OK\r\nConnection: close, x-hop\r\nKeep-Alive: timeout=5\r\n"
                      "X-Hop: 1\r\nX-Load: 1/3\r\nContent-Length: 0\r\n\r\n");
  });
  ClientFixture client;
  const UpstreamResult result = client.Fetch(MakeRequest(server.Port(), "GET"));
  CHECK(FindHeader(result.headers, "connection") == nullptr);
  CHECK(FindHeader(result.headers, "keep-alive") == nullptr);
  CHECK(FindHeader(result.headers, "x-hop") == nullptr);
  REQUIRE(FindHeader(result.headers, "x-load") != nullptr);
  CHECK(*FindHeader(result.headers, "x-load") == "1/3");
}

TEST_CASE("a fresh connection neither comes from the pool nor returns to it")
{
  // On a dead pooled connection libcurl itself sends a request again, also a non-idempotent one.
  RawServer server([](RawConnection& aConnection, int) {
    while (!aConnection.ReadMessage().empty()) {
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  ClientFixture client;
  UpstreamRequest request = MakeRequest(server.Port(), "POST");
  CHECK(client.Fetch(request).status == 200);
  request.freshConnection = true;
  CHECK_FALSE(client.Fetch(request).connectionReused);
  CHECK_FALSE(client.Fetch(request).connectionReused);
  request.freshConnection = false;
  CHECK(client.Fetch(request).connectionReused);
  CHECK(server.Connections() == 3);
}

TEST_CASE("each of many concurrent transfers gets its own response")
{
  // A response must not be delivered to another transfer that shares the connection pool.
  RawServer server([](RawConnection& aConnection, int) {
    std::string head = aConnection.ReadUntil("\r\n\r\n");
    while (!head.empty()) {
      const std::string target = head.substr(4, head.find(' ', 4) - 4);
      aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) +
                        "\r\n\r\n" + target);
      head = aConnection.ReadUntil("\r\n\r\n");
    }
  });
  ClientFixture client(16);
  constexpr int kTransferCount = 500;
  std::atomic<int> correct = 0;
  std::atomic<int> finished = 0;
  client.loop.Call([&] {
    for (int i = 0; i < kTransferCount; ++i) {
      UpstreamRequest request = MakeRequest(server.Port(), "GET");
      request.target = "/" + std::to_string(i);
      client.client->Send(request, [&, target = request.target](const UpstreamResult& aResult) {
        correct += aResult.body == target ? 1 : 0;
        ++finished;
      });
    }
  });
  CHECK(Eventually([&] { return finished == kTransferCount; }));
  CHECK(correct == kTransferCount);
  CHECK(server.Connections() <= 16);
}
