#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "boragegauge/base.h"

namespace bg::test {

/// Simulated time: runs callbacks in the order of their times, without waiting.
class Simulation
{
public:
  TimePoint Now() const { return now_; }
  int64_t ElapsedMs() const
  {
    return std::chrono::duration_cast<Milliseconds>(now_ - kStart).count();
  }

  void After(Duration aDelay, std::function<void()> aCallback)
  {
    events_.emplace(now_ + aDelay, std::move(aCallback));
  }

  /// Runs the callback at each interval until the end of the simulation.
  void Every(Duration aInterval, std::function<void()> aCallback)
  {
    After(aInterval, [this, aInterval, callback = std::move(aCallback)]() mutable {
      callback();
      Every(aInterval, std::move(callback));
    });
  }

  void RunFor(Duration aDuration)
  {
    const TimePoint end = now_ + aDuration;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

private:
  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  TimePoint now_ = kStart;
  std::multimap<TimePoint, std::function<void()>> events_;
};

/// Delivers messages between simulated proxies. Each direction of a link can be cut alone.
class FakeNetwork
{
public:
  explicit FakeNetwork(Simulation& aSimulation)
    : simulation_(aSimulation)
  {
  }

  void Attach(const std::string& aHost, std::function<void(std::string_view)> aReceive)
  {
    receivers_[aHost] = std::move(aReceive);
  }
  void Detach(const std::string& aHost) { receivers_.erase(aHost); }
  void SetCut(const std::string& aFrom, const std::string& aTo, bool aCut)
  {
    if (aCut) {
      cuts_.insert({ aFrom, aTo });
    } else {
      cuts_.erase({ aFrom, aTo });
    }
  }
  void SetCutAll(const std::string& aHost, bool aCut)
  {
    for (const auto& [other, receive] : receivers_) {
      SetCut(aHost, other, aCut);
      SetCut(other, aHost, aCut);
    }
  }

  void Send(const std::string& aFrom, std::string_view aTo, std::string_view aBytes)
  {
    if (cuts_.contains({ aFrom, std::string(aTo) })) {
      return;
    }
    ++messages;
    simulation_.After(delay, [this, to = std::string(aTo), bytes = std::string(aBytes)] {
      if (const auto found = receivers_.find(to); found != receivers_.end()) {
        found->second(bytes);
      }
    });
  }

  Duration delay = Milliseconds(1);
  uint64_t messages = 0;

private:
  Simulation& simulation_;
  std::map<std::string, std::function<void(std::string_view)>> receivers_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

} // namespace bg::test
