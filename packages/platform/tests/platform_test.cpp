#include <doctest/doctest.h>

#include "platform_p.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr auto kDeadline = std::chrono::seconds(5);

std::string MakeResponse(const std::string& aBody, const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// A platform client whose callbacks run on an event loop thread, with blocking calls for tests.
struct PlatformFixture
{
  explicit PlatformFixture(uint16_t aPort)
    : platform(CreateHttpPlatform(
        { .address = "127.0.0.1", .port = aPort, .post = [this](std::function<void()> aCall) {
           loop.Loop().Post(std::move(aCall));
         } }))
  {
  }

  template<typename T, typename Start>
  Result<T> Await(const Start& aStart)
  {
    std::promise<Result<T>> promise;
    aStart([&](Result<T> aResult) { promise.set_value(std::move(aResult)); });
    return promise.get_future().get();
  }

  Result<RowReply> ReadRow(std::string_view aKey, Duration aDeadline = kDeadline)
  {
    return Await<RowReply>(
      [&](auto aCallback) { platform->ReadRow(aKey, aDeadline, std::move(aCallback)); });
  }

  Result<CommitReply> Commit(const CommitRequest& aRequest, Duration aDeadline = kDeadline)
  {
    return Await<CommitReply>(
      [&](auto aCallback) { platform->Commit(aRequest, aDeadline, std::move(aCallback)); });
  }

  LoopThread loop;
  std::unique_ptr<Platform> platform;
};

} // namespace

TEST_CASE("requests are encoded and responses decoded as the platform's protocol defines")
{
  // Fails if query parameters are not percent-encoded or if fields of a response are lost.
  std::vector<std::string> requests;
  const std::vector<std::string> replies = {
    R"({"key":"a/b","version":7,"value":"x","now_ms":99})",
    R"({"key":"c","version":0,"value":null,"now_ms":99})",
    R"({"rows":[{"key":"a","version":1,"value":"\u0000\n"}],"now_ms":5})",
    R"({"names":["n1","n2"]})",
    R"({"hosts":[{"host":"h","role":"upstream","service":"s","address":"127.0.0.1","port":1,
       "admin_port":2,"failure_domain":"d","state":"leaving","boot_id":"b"}],"now_ms":1})",
    "",
    std::string("\0raw\xff", 5),
  };
  RawServer server([&](RawConnection& aConnection, int) {
    for (const std::string& reply : replies) {
      requests.push_back(aConnection.ReadMessage());
      aConnection.Write(MakeResponse(reply));
    }
  });
  PlatformFixture client(server.Port());
  const auto row = client.ReadRow("a/b &=+%\xc3\xa9");
  REQUIRE(row);
  CHECK(row->row.value == "x");
  CHECK(row->row.version == 7);
  CHECK(row->nowMs == 99);
  const auto absent = client.ReadRow("c");
  REQUIRE(absent);
  CHECK(absent->row.version == 0);
  const auto rows = client.Await<ScanReply>(
    [&](auto aCallback) { client.platform->Scan("p/", kDeadline, std::move(aCallback)); });
  REQUIRE(rows);
  CHECK(rows->rows.at(0).value == std::string("\0\n", 2));
  const auto names = client.Await<std::vector<std::string>>(
    [&](auto aCallback) { client.platform->ListObjects("p", kDeadline, std::move(aCallback)); });
  REQUIRE(names);
  CHECK(names->size() == 2);
  const auto hosts = client.Await<std::vector<HostEntry>>(
    [&](auto aCallback) { client.platform->ListHosts(kDeadline, std::move(aCallback)); });
  REQUIRE(hosts);
  CHECK(hosts->at(0).state == HostState::Leaving);
  CHECK(hosts->at(0).adminPort == 2);
  const std::string object = TestBody(1UL << 20);
  CHECK(client.Await<bool>([&](auto aCallback) {
    client.platform->PutObject("a b", object, kDeadline, std::move(aCallback));
  }));
  const auto bytes = client.Await<std::string>(
    [&](auto aCallback) { client.platform->GetObject("o", kDeadline, std::move(aCallback)); });
  REQUIRE(bytes);
  CHECK(*bytes == replies.back());
  CHECK(
    requests.at(0).starts_with("GET /v1/table/rows?key=a%2Fb%20%26%3D%2B%25%C3%A9 HTTP/1.1\r\n"));
  CHECK(requests.at(5).starts_with("PUT /v1/objects?name=a%20b HTTP/1.1\r\n"));
  CHECK(requests.at(5).find("Expect") == std::string::npos);
  CHECK(requests.at(5).ends_with(object));
  CHECK(server.Connections() == 1);
}

TEST_CASE("a commit succeeds, fails a condition or has an unknown outcome")
{
  // A commit must not be reported as failed if the platform may have applied it.
  struct Case
  {
    std::string reply;
    std::error_code error;
    bool committed;
  };
  const Case cases[] = {
    { MakeResponse(R"({"committed":true,"version":3,"now_ms":1})"), {}, true },
    { MakeResponse(
        R"({"committed":false,"conflicts":[{"key":"k","version":2,"value":"v"}],"now_ms":1})",
        "409 Conflict"),
      {},
      false },
    { MakeResponse(R"({"committed":true,"version":3,"now_ms":1})", "409 Conflict"),
      Errc::OutcomeUnknown,
      false },
    { MakeResponse("{\"committed\":true"), Errc::OutcomeUnknown, false },
    { MakeResponse("", "500 Internal Server Error"), Errc::OutcomeUnknown, false },
    { MakeResponse("", "400 Bad Request"), Errc::Refused, false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"committed\"", Errc::OutcomeUnknown, false },
    { "", Errc::OutcomeUnknown, false },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.reply);
    std::atomic<int> received = 0;
    RawServer server([&](RawConnection& aConnection, int) {
      aConnection.ReadMessage();
      ++received;
      aConnection.Write(entry.reply);
    });
    PlatformFixture client(server.Port());
    const auto result = client.Commit({ { { "k", 1 } }, { { "k", "v" } }, { "d" } });
    if (entry.error) {
      REQUIRE_FALSE(result);
      CHECK(result.Failure().code == entry.error);
      CHECK(result.Failure().step == "table.commit");
      CHECK(result.Failure().peer == "127.0.0.1:" + std::to_string(server.Port()));
    } else {
      REQUIRE(result);
      CHECK(result->committed == entry.committed);
    }
    CHECK(received == 1);
  }
}

TEST_CASE("a commit that was never sent fails with a definite error")
{
  // An unknown outcome would make the caller read the rows again although the platform is down.
  const ClosedPort port;
  PlatformFixture client(port.Port());
  CHECK(client.Commit({}).Failure().code == Errc::Unavailable);
  CHECK(client.Commit({}, Milliseconds(0)).Failure().code == Errc::Timeout);
  CHECK(client.Commit({ {}, { { "k", "\xff" } }, {} }).Failure().code == Errc::InvalidArgument);
}

TEST_CASE("a commit is not sent again on a dead connection")
{
  // libcurl itself sends a request again if a reused connection turns out to be closed; that could
  // apply a commit twice.
  std::atomic<int> commits = 0;
  RawServer server([&](RawConnection& aConnection, int) {
    std::string request = aConnection.ReadMessage();
    while (request.starts_with("GET")) {
      aConnection.Write(MakeResponse(R"({"key":"c","version":0,"now_ms":99})"));
      request = aConnection.ReadMessage();
    }
    commits += request.starts_with("POST") ? 1 : 0;
  });
  PlatformFixture client(server.Port());
  REQUIRE(client.ReadRow("c"));
  CHECK(client.Commit({}).Failure().code == Errc::OutcomeUnknown);
  CHECK(commits == 1);
}

TEST_CASE("calls to an unresponsive platform end at their deadline")
{
  // Without it, background work would hang while the platform is down.
  RawServer server([](RawConnection& aConnection, int) { aConnection.WaitForClose(); });
  PlatformFixture client(server.Port());
  const TimePoint start = Now();
  CHECK(client.ReadRow("k", Milliseconds(30)).Failure().code == Errc::Timeout);
  CHECK(client.Commit({}, Milliseconds(30)).Failure().code == Errc::OutcomeUnknown);
  CHECK(Now() - start < std::chrono::seconds(2));
}

TEST_CASE("errors of reads carry the step and the peer")
{
  // Incomplete or malformed responses must become errors: they must not be returned as rows or
  // throw on the background thread.
  const std::pair<const char*, Errc> cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", Errc::ProtocolViolation },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", Errc::ProtocolViolation },
    { "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n"
      R"({"key":"k","version":-1,"value":"","now_ms)",
      Errc::ProtocolViolation },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", Errc::Unavailable },
    { "HTTP/1.1 200 OK\r\n\r\n{\"key\":\"k\",\"version\":1,\"value\":\"\",\"now_ms\":1}",
      Errc::Unavailable },
    { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", Errc::NotFound },
    { "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Errc::Unavailable },
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.first);
    RawServer server([&](RawConnection& aConnection, int) {
      aConnection.ReadMessage();
      aConnection.Write(entry.first);
    });
    PlatformFixture client(server.Port());
    const auto result = client.ReadRow("k");
    REQUIRE_FALSE(result);
    CHECK(result.Failure().code == entry.second);
    CHECK(result.Failure().step == "table.read");
    CHECK(result.Failure().peer == "127.0.0.1:" + std::to_string(server.Port()));
  }
}

// The bytes of an object say nothing of their number, so that only the response does.
TEST_CASE("an object is not read in part when the length of its response is damaged")
{
  for (const std::string& head :
       std::vector<std::string>{ "Content-Length: 99999999999999999999",
                                 "Content-Length: 3x",
                                 "Content-Length: 3,6",
                                 "Transfer-Encoding: chunked\r\n\r\n3 3",
                                 "Transfer-Encoding: chunked\r\n\r\n0x6" }) {
    CAPTURE(head);
    RawServer server([&](RawConnection& aConnection, int) {
      aConnection.ReadMessage();
      aConnection.Write("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\nabc\r\n0\r\n\r\n");
    });
    PlatformFixture client(server.Port());
    const auto object = client.Await<std::string>(
      [&](auto aCallback) { client.platform->GetObject("name", kDeadline, std::move(aCallback)); });
    CHECK_FALSE(object);
  }
}

TEST_CASE("integers outside the range of their field are rejected")
{
  // Otherwise versions and ports would wrap around.
  CHECK_FALSE(detail::DecodeRow(R"({"key":"k","version":-1,"value":"","now_ms":1})"));
  CHECK_FALSE(detail::DecodeRow(R"({"key":"k","version":1.5,"value":"","now_ms":1})"));
  CHECK_FALSE(detail::DecodeRow(R"({"key":"k","version":1,"now_ms":1})"));
  CHECK(detail::DecodeRow(R"({"key":"k","version":18446744073709551615,"value":"","now_ms":-1})"));
  CHECK_FALSE(detail::DecodeHosts(R"({"hosts":[{"host":"h","role":"proxy","address":"a",)"
                                  R"("port":65536,"failure_domain":"d","state":"live"}]})"));
  CHECK_FALSE(detail::DecodeHosts(R"({"hosts":[{"host":"h","role":"other","address":"a",)"
                                  R"("port":1,"failure_domain":"d","state":"live"}]})"));
}

TEST_CASE("a destroyed client runs no callbacks")
{
  // A callback may refer to objects that were destroyed together with the client.
  Signal received;
  RawServer server([&](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    received.Set();
    aConnection.WaitForClose();
  });
  std::atomic<int> calls = 0;
  PlatformFixture client(server.Port());
  client.platform->ReadRow("k", kDeadline, [&](const Result<RowReply>&) { ++calls; });
  REQUIRE(received.Wait());
  const TimePoint start = Now();
  client.platform.reset();
  CHECK(Now() - start < std::chrono::seconds(1));
  client.loop.Call([] {});
  CHECK(calls == 0);
}
