#include <doctest/doctest.h>

#include "boragegauge/relay.h"

using namespace bg;
using namespace bg::relay;

TEST_CASE("requests of a host without links go to hosts that can send them")
{
  const auto peers = std::make_shared<const RelayPeers>(RelayPeers{ { "a1", "10.0.0.1", 1, "a" },
                                                                    { "a2", "10.0.0.2", 1, "a" },
                                                                    { "b1", "10.0.1.1", 1, "b" },
                                                                    { "b2", "10.0.1.2", 1, "b" },
                                                                    { "b3", "10.0.1.3", 1, "b" } });
  RelaySelector selector("a");
  TimePoint now{ std::chrono::hours(1) };
  std::vector<std::string> tried;
  const auto select = [&] {
    std::set<std::string> hosts;
    for (uint64_t random = 0; random < 60; ++random) {
      const RelayPeer* peer = selector.Select(tried, random, now);
      hosts.insert(peer == nullptr ? "" : peer->host);
    }
    return hosts;
  };
  CHECK(select() == std::set<std::string>{ "" });
  selector.SetPeers(peers);
  CHECK(select() == std::set<std::string>{ "a1", "a2" });

  SUBCASE("not to one that was tried, nor one that is unable for now")
  {
    tried = { "a1" };
    CHECK(select() == std::set<std::string>{ "a2" });
    selector.RecordUnable("a2", std::chrono::seconds(2), now);
    CHECK(select() == std::set<std::string>{ "b1", "b2", "b3" });
    now += std::chrono::seconds(2);
    CHECK(select() == std::set<std::string>{ "a2" });
    tried = { "a1", "a2", "b1", "b2", "b3" };
    CHECK(select() == std::set<std::string>{ "" });
  }

  SUBCASE("to those that have just served, once there are enough to share the load")
  {
    selector.RecordServed("b1", now);
    selector.RecordServed("b2", now);
    CHECK(select() == std::set<std::string>{ "a1", "a2" });
    selector.RecordServed("a2", now);
    CHECK(select() == std::set<std::string>{ "a2", "b1", "b2" });
    now += std::chrono::seconds(5);
    CHECK(select() == std::set<std::string>{ "a1", "a2" });
  }

  SUBCASE("to none that has left the fleet")
  {
    selector.RecordServed("a1", now);
    selector.SetPeers(
      std::make_shared<const RelayPeers>(RelayPeers{ { "b1", "10.0.1.1", 1, "b" } }));
    CHECK(select() == std::set<std::string>{ "b1" });
  }
}
