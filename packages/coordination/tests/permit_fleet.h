#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "boragegauge/coordination.h"
#include "fake_platform.h"

namespace bg::test {

/// Several simulated proxies whose EjectionPermits share one table and tick every 100 ms of
/// simulated time.
class PermitFleet
{
public:
  struct Proxy
  {
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<EjectionPermits> permits;
    std::vector<std::pair<PermitEvent, std::string>> events; ///< Event and upstream.
    uint64_t incarnation = 0;
    /// Relative rate error of the local clock against the table's clock; 0.05 means 5 % fast.
    double drift = 0;
    bool paused = false;
  };

  PermitFleet(size_t aProxies,
              size_t aUpstreams,
              uint32_t aFloor,
              EjectionPermitsInit aOptions = {})
    : options_(std::move(aOptions))
  {
    health.floor = aFloor;
    for (size_t i = 0; i < aUpstreams; ++i) {
      health.healthy.push_back("d" + std::to_string(i));
    }
    proxies.resize(aProxies);
    for (size_t i = 0; i < aProxies; ++i) {
      proxies[i].platform = std::make_unique<FakePlatform>(simulation, store);
      Restart(i);
    }
    simulation.Every(Milliseconds(100), [this] {
      for (size_t i = 0; i < proxies.size(); ++i) {
        if (!proxies[i].paused) {
          proxies[i].permits->Tick(Now(i));
        }
      }
    });
  }

  TimePoint Now(size_t aIndex) const
  {
    const Duration elapsed = simulation.Now() - start_;
    return start_ + std::chrono::duration_cast<Duration>(elapsed * (1 + proxies[aIndex].drift));
  }

  /// Restarts the process of a proxy with a new incarnation and without state.
  void Restart(size_t aIndex)
  {
    Proxy& proxy = proxies[aIndex];
    EjectionPermitsInit init = options_;
    init.host = "p" + std::to_string(aIndex);
    init.incarnation = ++proxy.incarnation;
    init.platform = proxy.platform.get();
    init.now = [this, aIndex] { return Now(aIndex); };
    init.services = [] { return std::vector<std::string>{ "desk" }; };
    init.health = [this](std::string_view) { return health; };
    init.onEvent = [&proxy](PermitEvent aEvent, const std::string&, const std::string& aUpstream) {
      proxy.events.emplace_back(aEvent, aUpstream);
    };
    proxy.permits = std::make_unique<EjectionPermits>(std::move(init));
  }

  void SetPaused(size_t aIndex, bool aPaused)
  {
    proxies[aIndex].paused = aPaused;
    proxies[aIndex].platform->SetPaused(aPaused);
  }

  void Acquire(size_t aIndex, const std::string& aUpstream)
  {
    proxies[aIndex].permits->Acquire("desk", aUpstream, "record");
  }

  std::set<std::string> EjectedBy(size_t aIndex) const
  {
    std::set<std::string> upstreams;
    for (const Ejection& ejection : proxies[aIndex].permits->Ejected(Now(aIndex))) {
      upstreams.insert(ejection.upstream);
    }
    return upstreams;
  }

  /// Upstreams that at least one running proxy treats as ejected.
  std::set<std::string> EjectedByAny() const
  {
    std::set<std::string> all;
    for (size_t i = 0; i < proxies.size(); ++i) {
      if (!proxies[i].paused) {
        all.merge(EjectedBy(i));
      }
    }
    return all;
  }

  bool FloorHolds() const { return health.healthy.size() >= EjectedByAny().size() + health.floor; }

  size_t Count(size_t aIndex, PermitEvent aEvent) const
  {
    size_t count = 0;
    for (const auto& [event, upstream] : proxies[aIndex].events) {
      count += event == aEvent ? 1 : 0;
    }
    return count;
  }

  Simulation simulation;
  FakeStore store;
  ServiceHealth health;
  std::vector<Proxy> proxies;

private:
  TimePoint start_ = simulation.Now();
  EjectionPermitsInit options_;
};

} // namespace bg::test
