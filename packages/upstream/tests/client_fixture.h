#pragma once

#include "boragegauge/upstream.h"
#include "raw_tcp.h"

namespace bg::test {

inline UpstreamRequest MakeRequest(uint16_t aPort, std::string aMethod)
{
  UpstreamRequest request;
  request.address = "127.0.0.1";
  request.port = aPort;
  request.method = std::move(aMethod);
  request.target = "/";
  return request;
}

/// A client on its own event loop thread, with blocking calls for tests.
struct ClientFixture
{
  explicit ClientFixture(size_t aMaxConnections = 64)
  {
    loop.Call([&] {
      client = CreateCurlUpstreamClient(
        { .loop = &loop.Loop(), .maxConnectionsPerUpstream = aMaxConnections });
    });
  }
  ~ClientFixture()
  {
    loop.Call([&] { client.reset(); });
  }
  ClientFixture(const ClientFixture&) = delete;
  ClientFixture& operator=(const ClientFixture&) = delete;

  UpstreamResult Fetch(const UpstreamRequest& aRequest)
  {
    std::promise<UpstreamResult> promise;
    loop.Call([&] {
      client->Send(aRequest,
                   [&](UpstreamResult aResult) { promise.set_value(std::move(aResult)); });
    });
    return promise.get_future().get();
  }

  UpstreamClientStats Stats()
  {
    UpstreamClientStats stats;
    loop.Call([&] { stats = client->Stats(); });
    return stats;
  }

  LoopThread loop;
  std::unique_ptr<UpstreamClient> client;
};

} // namespace bg::test
