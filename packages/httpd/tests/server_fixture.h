#pragma once

#include "boragegauge/httpd.h"
#include "raw_tcp.h"

namespace bg::test {

/// A server on a loop of its own.
struct ServerFixture
{
  using Handler = decltype(HttpServerInit::handler);

  explicit ServerFixture(Handler aHandler, HttpServerInit aInit = {})
  {
    aInit.loop = &loop.Loop();
    aInit.handler = std::move(aHandler);
    loop.Call([&] {
      auto created = CreateHttpServer(std::move(aInit));
      if (!created) {
        throw std::runtime_error(ToString(created.Failure()));
      }
      server = std::move(*created);
      port = server->Port();
    });
  }
  ~ServerFixture()
  {
    loop.Call([&] { server.reset(); });
  }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  HttpServerStats Stats()
  {
    HttpServerStats stats;
    loop.Call([&] { stats = server->Stats(); });
    return stats;
  }

  void SetLimits(const HttpLimits& aLimits)
  {
    loop.Call([&] { server->SetLimits(aLimits); });
  }

  /// Sends bytes on a new connection and returns the first response.
  std::string Ask(const std::string& aBytes) const
  {
    const auto connection = RawConnection::Connect(port);
    connection->Write(aBytes);
    return connection->ReadMessage();
  }

  LoopThread loop;
  std::unique_ptr<HttpServer> server;
  uint16_t port = 0;
};

/// Answers with the request's body.
inline void Echo(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  aReply->Send({ .status = 200, .headers = {}, .body = *aRequest.body });
}

} // namespace bg::test
