#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "slot_fleet.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;
using bg::placement::Outcome;

namespace {

constexpr placement::RetryBudget::Init kBudget{ 0.2, 60, std::chrono::seconds(10) };
constexpr Duration kStep = Milliseconds(10);
constexpr int kRequestsPerStep = 3;
constexpr Duration kRestartTime = Milliseconds(500);

/// Requests of all hosts, more than half of which are refused by their upstreams and sent again.
class RefusedLoad
{
public:
  explicit RefusedLoad(SlotFleet& aFleet)
    : fleet_(aFleet)
    , random_(7)
  {
    for (const auto& [name, host] : fleet_.hosts) {
      names_.push_back(name);
    }
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = fleet_.now + aTime; fleet_.now < end;) {
      for (int i = 0; i < kRequestsPerStep; ++i) {
        const std::string& host = names_[random_() % names_.size()];
        requests_.push_back(fleet_.now); // Callers send it whether the host runs or not.
        if (!fleet_.stopped.contains(host)) {
          outstanding_.push_back({ host, fleet_.Acquire(host), false });
        }
      }
      fleet_.Advance(kStep);
      Finish();
    }
  }

  uint32_t refusedPercent = 55;

  /// Kills hosts and starts them again.
  void Kill(const std::vector<std::string>& aHosts)
  {
    for (const std::string& host : aHosts) {
      fleet_.stopped.insert(host);
      std::erase_if(outstanding_, [&](const Request& aRequest) { return aRequest.host == host; });
    }
    Run(kRestartTime);
    for (const std::string& host : aHosts) {
      fleet_.stopped.erase(host);
      fleet_.RestartProcess(host);
    }
  }

  void KillSome(size_t aCount)
  {
    std::vector<std::string> names = names_;
    std::shuffle(names.begin(), names.end(), random_);
    names.resize(aCount);
    if (const std::string allocator = fleet_.AllocatorHost();
        std::find(names.begin(), names.end(), allocator) == names.end()) {
      names.front() = allocator;
    }
    Kill(names);
  }

  /// The largest number of retries in any window, as a share of those that the budget allows.
  double WorstShare() const
  {
    double worst = 0;
    for (const TimePoint end : retries_) {
      const TimePoint start = end - kBudget.window;
      const auto requests =
        std::max({ Count(requests_, start, end),
                   Count(requests_, start - kBudget.window, start),
                   Count(requests_, start - kBudget.window / 2, end - kBudget.window / 2) });
      worst = std::max(worst,
                       static_cast<double>(Count(retries_, start, end)) /
                         (kBudget.ratio * static_cast<double>(requests) + kBudget.slack));
    }
    return worst;
  }

private:
  struct Request
  {
    std::string host;
    uint64_t sequence = 0;
    bool isRetry = false;
  };

  static int64_t Count(const std::vector<TimePoint>& aTimes, TimePoint aStart, TimePoint aEnd)
  {
    return std::upper_bound(aTimes.begin(), aTimes.end(), aEnd) -
           std::upper_bound(aTimes.begin(), aTimes.end(), aStart);
  }

  /// Ends the attempts that were granted a slot.
  void Finish()
  {
    std::vector<Request> waiting;
    for (const Request& request : std::exchange(outstanding_, {})) {
      auto& results = fleet_.hosts.at(request.host).results;
      const auto result = results.find(request.sequence);
      if (result == results.end()) {
        waiting.push_back(request);
        continue;
      }
      const bool isGranted = result->second.isGranted;
      results.erase(result);
      if (!isGranted) {
        continue;
      }
      if (request.isRetry) {
        retries_.push_back(fleet_.now);
      }
      const bool isRefused = random_() % 100 < refusedPercent;
      fleet_.Release(
        request.host, request.sequence, isRefused ? Outcome::Cancelled : Outcome::Good);
      if (isRefused) {
        waiting.push_back(
          { request.host, fleet_.Acquire(request.host, false, "desk", true), true });
      }
    }
    outstanding_.insert(outstanding_.end(), waiting.begin(), waiting.end());
  }

  SlotFleet& fleet_;
  std::minstd_rand random_;
  std::vector<std::string> names_;
  std::vector<Request> outstanding_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
};

} // namespace

// Each holder of the retry budget used to grant all of it: an allocator, the one that replaced it,
// and each host that reached none.
TEST_CASE("all hosts together keep to the retry budget of a service")
{
  SlotFleet fleet(8, 20, 10, kBudget);
  RefusedLoad load(fleet);
  load.refusedPercent = 0;
  load.Run(std::chrono::seconds(12));
  load.refusedPercent = 55;
  load.Run(std::chrono::seconds(2));
  SUBCASE("and use most of it while nothing happens")
  {
    load.Run(std::chrono::seconds(12));
    CHECK(load.WorstShare() > 0.85);
  }
  SUBCASE("when allocators are killed")
  {
    for (int i = 0; i < 3; ++i) {
      load.Kill({ fleet.AllocatorHost() });
      load.Run(std::chrono::seconds(1));
    }
    load.Run(std::chrono::seconds(12));
  }
  SUBCASE("when most hosts are killed twice")
  {
    load.KillSome(5);
    load.Run(Milliseconds(1500));
    load.KillSome(5);
    load.Run(std::chrono::seconds(12));
  }
  SUBCASE("when all hosts are killed")
  {
    std::vector<std::string> all;
    for (const auto& [name, host] : fleet.hosts) {
      all.push_back(name);
    }
    load.Kill(all);
    load.Run(std::chrono::seconds(12));
  }
  SUBCASE("when hosts are cut off from each other")
  {
    const std::string allocator = fleet.AllocatorHost();
    for (const auto& [name, host] : fleet.hosts) {
      const bool isNear = name < "host4";
      for (const auto& [other, ignored] : fleet.hosts) {
        if (isNear != (other < "host4")) {
          fleet.cutLinks.insert({ name, other });
        }
      }
    }
    load.Run(std::chrono::seconds(14));
    fleet.cutLinks.clear();
    load.Run(std::chrono::seconds(12));
  }
  SUBCASE("when each host is cut off from all others")
  {
    for (const auto& [name, host] : fleet.hosts) {
      for (const auto& [other, ignored] : fleet.hosts) {
        if (name != other) {
          fleet.cutLinks.insert({ name, other });
        }
      }
    }
    load.Run(std::chrono::seconds(14));
    fleet.cutLinks.clear();
    load.Run(std::chrono::seconds(12));
  }
  SUBCASE("when an allocator does not respond for a while")
  {
    const std::string allocator = fleet.AllocatorHost();
    fleet.stopped.insert(allocator);
    load.Run(std::chrono::seconds(4));
    fleet.stopped.erase(allocator);
    load.Run(std::chrono::seconds(12));
  }
  CHECK(load.WorstShare() <= 1);
}
