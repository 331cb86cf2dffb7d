#pragma once

#include <memory>
#include <string>
#include <vector>

#include "boragegauge/coordination.h"
#include "fake_platform.h"

namespace bg::test {

/// Several simulated proxies whose ClaimStore objects share one table and tick every 50 ms of
/// simulated time.
class ClaimFleet
{
public:
  struct Proxy
  {
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<ClaimStore> claims;
    std::vector<ClaimResult> results;
    bool paused = false;
  };

  explicit ClaimFleet(size_t aProxies, const ClaimStoreInit& aOptions = {})
  {
    proxies.resize(aProxies);
    for (Proxy& proxy : proxies) {
      proxy.platform = std::make_unique<FakePlatform>(simulation, store);
      ClaimStoreInit init = aOptions;
      init.platform = proxy.platform.get();
      init.now = [this] { return simulation.Now(); };
      init.retentionHours = [] { return 24U; };
      init.callDeadline = Milliseconds(200);
      proxy.claims = std::make_unique<ClaimStore>(std::move(init));
    }
    simulation.Every(Milliseconds(50), [this] {
      for (Proxy& proxy : proxies) {
        if (!proxy.paused) {
          proxy.claims->Tick(simulation.Now());
        }
      }
    });
  }

  static ClaimRequest Request(const std::string& aKey = "key", const std::string& aBody = "body")
  {
    return { "desk", "account-7", aKey, Sha256Hex(aBody) };
  }

  void Claim(size_t aIndex, ClaimRequest aRequest = Request())
  {
    Proxy& proxy = proxies[aIndex];
    proxy.claims->Claim(
      std::move(aRequest), simulation.Now() + Milliseconds(1000), [&proxy](ClaimResult aResult) {
        proxy.results.push_back(std::move(aResult));
      });
  }

  /// Claims and waits for the result.
  ClaimResult ClaimAndWait(size_t aIndex, ClaimRequest aRequest = Request())
  {
    const size_t resultIndex = proxies[aIndex].results.size();
    Claim(aIndex, std::move(aRequest));
    simulation.RunFor(Milliseconds(1100));
    return proxies[aIndex].results.at(resultIndex);
  }

  size_t Count(ClaimStatus aStatus) const
  {
    size_t count = 0;
    for (const Proxy& proxy : proxies) {
      for (const ClaimResult& result : proxy.results) {
        count += result.status == aStatus ? 1 : 0;
      }
    }
    return count;
  }

  Simulation simulation;
  FakeStore store;
  std::vector<Proxy> proxies;
};

} // namespace bg::test
