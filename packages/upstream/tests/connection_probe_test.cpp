#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "boragegauge/upstream.h"
#include "raw_tcp.h"

using namespace bg;

namespace {

ProbeResult Probe(const std::string& aAddress, uint16_t aPort, Duration aTimeout)
{
  EventLoop loop;
  const auto client = CreateCurlUpstreamClient({ .loop = &loop });
  std::promise<ProbeResult> result;
  loop.Post([&] {
    client->Probe(aAddress, aPort, aTimeout, [&](ProbeResult aResult) {
      result.set_value(aResult);
      loop.Stop();
    });
  });
  loop.Run();
  return result.get_future().get();
}

} // namespace

TEST_CASE("a probe tells an upstream that runs from one that has ended")
{
  SUBCASE("an upstream that runs accepts the connection and gets no bytes")
  {
    test::RawServer server(
      [](test::RawConnection& aConnection, int) { CHECK(aConnection.ReadToEnd().empty()); });
    CHECK(Probe("127.0.0.1", server.Port(), test::kTestDeadline) == ProbeResult::Accepted);
  }

  SUBCASE("nothing listens where one has ended")
  {
    const test::ClosedPort port;
    CHECK(Probe("127.0.0.1", port.Port(), test::kTestDeadline) == ProbeResult::Refused);
  }

  SUBCASE("a host that does not answer is silent")
  {
    const test::FullPort port;
    CHECK(Probe("127.0.0.1", port.Port(), Milliseconds(50)) == ProbeResult::Silent);
  }

  SUBCASE("what is no address counts as refused")
  {
    CHECK(Probe("not an address", 1, test::kTestDeadline) == ProbeResult::Refused);
  }
}
