#include <thread>

#include <doctest/doctest.h>

#include "boragegauge/ctl.h"
#include "http_server.h"

using namespace bg;
using namespace bg::ctl;

namespace {

/// Serves the given bodies by path; other paths get 404.
class Server
{
public:
  using Bodies = std::map<std::string, std::string>;

  explicit Server(Bodies aBodies = {})
    : bodies_(std::move(aBodies))
    , server_(
        support::CreateHttpServer({ &loop_, 0, [this](auto aExchange) { Answer(aExchange); } }))
    , port_(server_->Port())
    , thread_([this] { loop_.Run(); })
  {
  }
  ~Server()
  {
    loop_.Post([this] { server_.reset(); });
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t Port() const { return port_; }

private:
  void Answer(const std::shared_ptr<support::HttpExchange>& aExchange) const
  {
    const auto body = bodies_.find(aExchange->Request().path);
    support::HttpResponse response;
    response.status = body == bodies_.end() ? 404 : 200;
    response.body = body == bodies_.end() ? "" : body->second;
    aExchange->Respond(response);
  }

  EventLoop loop_;
  Bodies bodies_;
  std::unique_ptr<support::HttpServer> server_;
  uint16_t port_;
  std::thread thread_;
};

std::string Host(const std::string& aName, uint16_t aAdminPort)
{
  return R"({"host":")" + aName +
         R"(","role":"proxy","service":"","address":"127.0.0.1","port":1,"admin_port":)" +
         std::to_string(aAdminPort) +
         R"(,"peer_port":1,"failure_domain":"a","state":"live","boot_id":"b"})";
}

} // namespace

// Guards against a dead proxy that hides or blocks the answers of the others.
TEST_CASE("proxies are asked over HTTP, and a dead one gives an error")
{
  const Server healthy(
    Server::Bodies{ { "/state", R"({"revision":3,"digest":"d","format_max":1})" } });
  const Server confused;
  uint16_t closedPort = 0;
  {
    const Server closed;
    closedPort = closed.Port();
  }
  const Server platform(
    { { "/v1/hosts",
        R"({"hosts":[)" + Host("healthy", healthy.Port()) + "," + Host("closed", closedPort) + "," +
          Host("confused", confused.Port()) + R"(],"now_ms":1})" } });
  const auto session = Connect("127.0.0.1", platform.Port());
  BlockingPlatform blocking(*session.platform);
  const auto proxies = LiveProxies(blocking);
  REQUIRE(proxies);
  const auto states = ReadProxyStatus(*proxies, session.queryProxies);
  REQUIRE(states.size() == 3);
  CHECK_FALSE(states[0].error);
  CHECK(states[0].revision == 3);
  CHECK(states[1].error);
  CHECK(states[2].error);
}
