#include <doctest/doctest.h>

#include "server_fixture.h"

using namespace bg;
using namespace bg::test;

namespace {

/// Runs the rest of the test case once for each back end.
HttpBackend ChooseBackend()
{
  HttpBackend backend = HttpBackend::Asio;
  SUBCASE("Asio")
  {
    backend = HttpBackend::Asio;
  }
  SUBCASE("RESTinio")
  {
    backend = HttpBackend::Restinio;
  }
  return backend;
}

} // namespace

TEST_CASE("bodies pass byte for byte in both directions")
{
  const HttpBackend backend = ChooseBackend();
  // Guards against lost bytes and wrong lengths at buffer boundaries.
  ServerFixture server(Echo, { .maxBodyBytes = 2UL << 20, .backend = backend });
  const auto connection = RawConnection::Connect(server.port);
  for (const size_t size : { 0UL, 1UL, 4095UL, 65536UL, 65537UL, 1UL << 20 }) {
    CAPTURE(size);
    const std::string body = TestBody(size);
    connection->Write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(size) +
                      "\r\n\r\n" + body);
    const std::string response = connection->ReadMessage();
    CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK((response.substr(response.find("\r\n\r\n") + 4) == body));
  }
  CHECK(server.Stats().requests == 6);
  CHECK(server.Stats().connections == 1);
}

TEST_CASE("requests that two programs could read differently are refused")
{
  const HttpBackend backend = ChooseBackend();
  // Guards against request smuggling: such a request must not reach the handler.
  std::atomic<int> handled = 0;
  ServerFixture server(
    [&](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      ++handled;
      Echo(aRequest, aReply);
    },
    { .backend = backend });
  struct Case
  {
    const char* request;
    const char* status;
  };
  const std::string longLine(kMaxHeaderLineBytes, 'a');
  const std::string longTarget(kMaxTargetBytes, 'a');
  const std::string manyBytes = "GET / HTTP/1.1\r\nHost: x\r\nA: " + longLine.substr(10) +
                                "\r\nB: " + longLine.substr(10) + "\r\nC: " + longLine.substr(10) +
                                "\r\nD: " + longLine.substr(10) +
                                "\r\nE: " + longLine.substr(8000) + "\r\n\r\n";
  const std::string tooLongLine = "GET / HTTP/1.1\r\nHost: x\r\nA: " + longLine + "\r\n\r\n";
  const std::string tooLongTarget = "GET /" + longTarget + " HTTP/1.1\r\nHost: x\r\n\r\n";
  const Case cases[] = {
    { "GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nHost: x, y\r\n\r\n", "400" },
    { "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", "400" },
    { tooLongLine.c_str(), "431" },
    { tooLongTarget.c_str(), "414" },
    { manyBytes.c_str(), "431" },
    { "POST / HTTP/1.1\r\nHost: x\r\nExpect: magic\r\nContent-Length: 0\r\n\r\n", "417" },
  };
  for (const Case& entry : cases) {
    CAPTURE(std::string(entry.request).substr(0, 60));
    const std::string response = server.Ask(entry.request);
    CHECK(response.substr(0, 12) == "HTTP/1.1 " + std::string(entry.status));
    CHECK(response.find("application/problem+json") != std::string::npos);
    CHECK(response.find("\"executed\":\"no\"") != std::string::npos);
    CHECK(response.find("X-Request-Id: ") != std::string::npos);
  }
  CHECK(handled == 0);
  CHECK(server.Stats().rejected == std::size(cases));
}

TEST_CASE("a handler cannot break the framing of its response")
{
  const HttpBackend backend = ChooseBackend();
  // Guards against header injection from an upstream's fields and against two lengths.
  ServerFixture server(
    [](const HttpRequest&, const std::shared_ptr<HttpReply>& aReply) {
      const HttpResponse response{ .status = 200,
                                   .headers = { { "Content-Length", "99" },
                                                { "Transfer-Encoding", "chunked" },
                                                { "Connection", "close" },
                                                { "X-Bad", "a\r\nX-Evil: b" },
                                                { "X-Good", "1" } },
                                   .body = "abc" };
      aReply->Send(response);
      aReply->Send({ .status = 500, .headers = {}, .body = "second" });
    },
    { .backend = backend });
  const std::string response = server.Ask("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(response.ends_with("\r\n\r\nabc"));
  CHECK(response.find("X-Good: 1\r\n") != std::string::npos);
  CHECK(response.find("Evil") == std::string::npos);
  CHECK(response.find("99") == std::string::npos);
  CHECK(response.find("chunked") == std::string::npos);
}

TEST_CASE("the handler learns that its caller has gone")
{
  const HttpBackend backend = ChooseBackend();
  // Guards against work that goes on for a caller that will not read the response.
  Signal handling;
  Signal gone;
  std::shared_ptr<HttpReply> held;
  ServerFixture server(
    [&](const HttpRequest&, const std::shared_ptr<HttpReply>& aReply) {
      aReply->OnCallerGone([&] { gone.Set(); });
      held = aReply;
      handling.Set();
    },
    { .backend = backend });
  auto connection = RawConnection::Connect(server.port);
  connection->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(handling.Wait());
  CHECK(server.Stats().inFlight == 1);
  connection.reset();
  CHECK(gone.Wait());
  CHECK(server.Stats().inFlight == 0);
  server.loop.Call([&] {
    held->Send({});
    held.reset();
  });
}

TEST_CASE("a graceful stop finishes the request in flight")
{
  const HttpBackend backend = ChooseBackend();
  // Guards against a shutdown that cuts off a response.
  Signal handling;
  std::shared_ptr<HttpReply> held;
  ServerFixture server(
    [&](const HttpRequest&, const std::shared_ptr<HttpReply>& aReply) {
      held = aReply;
      handling.Set();
    },
    { .backend = backend });
  const auto connection = RawConnection::Connect(server.port);
  connection->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(handling.Wait());
  server.loop.Call([&] { server.server->StopAccepting(); });
  CHECK(RawConnection::Connect(server.port) == nullptr);
  server.loop.Call([&] { std::exchange(held, nullptr)->Send({ .body = "late but whole" }); });
  const std::string response = connection->ReadToEnd();
  CHECK(response.ends_with("\r\n\r\nlate but whole"));
  CHECK(response.find("Connection: close\r\n") != std::string::npos);
}

TEST_CASE("an address in use is reported with step and peer")
{
  const HttpBackend backend = ChooseBackend();
  ServerFixture server(Echo, { .backend = backend });
  Error error;
  server.loop.Call([&] {
    const auto second = CreateHttpServer(
      { .loop = &server.loop.Loop(), .port = server.port, .backend = backend, .handler = Echo });
    REQUIRE_FALSE(second);
    error = second.Failure();
  });
  CHECK(error.code == Errc::Unavailable);
  CHECK(error.step == "http.bind");
  CHECK(error.peer == "127.0.0.1:" + std::to_string(server.port));
}

TEST_CASE("several servers share a port")
{
  // Guards against traffic threads that cannot bind the same port.
  ServerFixture first(Echo, { .reusePort = true });
  const ServerFixture second(Echo, { .port = first.port, .reusePort = true });
  CHECK(second.port == first.port);
  CHECK(first.Ask("GET / HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 200"));
}
