#pragma once

#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include <pcg_random.hpp>

#include "proxy_p.h"

namespace bg {

class RequestSession;

/// Admission, retry budget and queue of one service in one traffic thread.
struct ServiceTraffic
{
  ServiceTraffic(const ServiceConfig& aService, std::span<const CallerConfig> aCallers);

  /// Starts queued sessions that may run now and refuses those whose deadline has passed.
  void Pump(TimePoint aNow);

  /// False when the configured limits have changed, so that new state is needed.
  bool HasLimitsOf(const ServiceConfig& aService) const;

  const uint32_t maxConcurrency;
  const uint32_t queueLimit;
  const double retryBudget;
  ServiceAdmission admission;
  RetryBudget retries;
  RetryBudget refusalRetries; ///< After documented refusals, which cost an upstream almost nothing.
  std::unordered_map<Ticket, std::shared_ptr<RequestSession>> waiting;
};

/// One traffic thread: caller connections, upstream connections and the requests between them.
class TrafficThread
{
public:
  explicit TrafficThread(TrafficShared& aShared);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Binds the port and starts the thread. @param aPort 0: chosen by the system.
  Result<uint16_t> Start(uint16_t aPort);

  /// Closes the listening socket; requests in flight go on. Callable from any thread.
  void StopAccepting();

  /// Requests without a response yet, and attempts that still run. Callable from any thread.
  size_t Active() const { return active_.load(); }

  /// Ends the thread. Requests in flight are cut off.
  void Stop();

  // The members below are for sessions, on the loop's thread.
  TrafficShared& Shared() { return shared_; }
  EventLoop& Loop() { return loop_; }
  UpstreamClient& Client() { return *client_; }
  uint64_t Random() { return random_(); }
  std::shared_ptr<ServiceTraffic> Service(const SnapshotPtr& aSnapshot, ServiceHandle aService);
  RateLimiter& Limiter(const SnapshotPtr& aSnapshot, CallerHandle aCaller);
  void AddEvidence(UpstreamEvidence aEvidence);

  /// Requests to this upstream use fresh connections until the time, because one of its pooled
  /// connections went silent.
  void RequireFreshConnections(const SnapshotPtr& aSnapshot,
                               UpstreamHandle aUpstream,
                               TimePoint aUntil);
  bool NeedsFreshConnection(const SnapshotPtr& aSnapshot, UpstreamHandle aUpstream, TimePoint aNow);

  Ticket NextTicket() { return ++lastTicket_; }
  void SessionStarted() { active_.fetch_add(1); }
  void SessionEnded() { active_.fetch_sub(1); }

private:
  void AdoptConfiguration(const SnapshotPtr& aSnapshot);
  void FlushEvidence();
  void Tick();

  TrafficShared& shared_;
  EventLoop loop_;
  std::unique_ptr<UpstreamClient> client_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<EventLoop::Timer> tick_;
  std::thread thread_;
  pcg64 random_;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<std::shared_ptr<ServiceTraffic>> services_;
  std::vector<std::weak_ptr<ServiceTraffic>> retired_;
  std::vector<RateLimiter> limiters_;
  std::vector<TimePoint> freshUntil_;
  std::vector<UpstreamEvidence> evidence_;
  std::atomic<size_t> active_{ 0 };
  Ticket lastTicket_ = 0;
};

} // namespace bg
