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

/// Admission control, retry budgets and request queue of one service in one traffic thread.
struct ServiceTraffic
{
  ServiceTraffic(const ServiceConfig& aService, std::span<const CallerConfig> aCallers);

  /// Starts queued sessions that the concurrency limit admits and refuses those whose deadline has
  /// passed.
  void ProcessQueue(TimePoint aNow);

  /// Whether the limits are those of aService. If not, the state has to be replaced.
  bool HasSameLimits(const ServiceConfig& aService) const;

  const uint32_t maxConcurrency;
  const uint32_t queueLimit;
  const double retryRatio; ///< Retries per request.
  ServiceAdmission admission;
  RetryBudget retryBudget;
  /// For retries after documented refusals, which cost an upstream almost nothing.
  RetryBudget refusalRetryBudget;
  std::unordered_map<Ticket, std::shared_ptr<RequestSession>> queuedSessions;
};

/// An event loop with caller connections, upstream connections and the requests between them.
class TrafficThread
{
public:
  explicit TrafficThread(TrafficContext& aContext);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Binds the port and starts the thread.
  /// @param aPort 0: chosen by the system.
  /// @return The bound port.
  Result<uint16_t> Start(uint16_t aPort);

  /// Closes the listening socket; requests in flight go on. Callable from any thread.
  void StopAccepting();

  /// Number of sessions that wait for a response or still run an attempt. Callable from any thread.
  size_t ActiveSessions() const { return activeSessions_.load(); }

  /// Ends the thread and closes all connections, also those with requests in flight.
  void Stop();

  // The functions below are called by sessions, on the loop's thread.
  TrafficContext& Context() { return context_; }
  EventLoop& Loop() { return loop_; }
  UpstreamClient& Client() { return *client_; }
  uint64_t Random() { return random_(); }
  std::shared_ptr<ServiceTraffic> ServiceTrafficFor(const SnapshotPtr& aSnapshot,
                                                    ServiceHandle aService);
  RateLimiter& RateLimiterFor(const SnapshotPtr& aSnapshot, CallerHandle aCaller);
  void AddOutcome(AttemptOutcome aOutcome);

  /// Makes requests to the upstream use new connections until aUntil. For an upstream of which a
  /// pooled connection was unresponsive or failed.
  void RequireNewConnections(const SnapshotPtr& aSnapshot,
                             UpstreamHandle aUpstream,
                             TimePoint aUntil);
  bool RequiresNewConnection(const SnapshotPtr& aSnapshot,
                             UpstreamHandle aUpstream,
                             TimePoint aNow);

  Ticket NextTicket() { return ++lastTicket_; }
  void OnSessionStarted() { activeSessions_.fetch_add(1); }
  void OnSessionEnded() { activeSessions_.fetch_sub(1); }

private:
  void ApplyConfiguration(const SnapshotPtr& aSnapshot);
  void FlushOutcomes();
  void Tick();

  TrafficContext& context_;
  EventLoop loop_;
  std::unique_ptr<UpstreamClient> client_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<EventLoop::Timer> tickTimer_;
  std::thread thread_;
  pcg64 random_;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<std::shared_ptr<ServiceTraffic>> services_; ///< By service handle.
  /// Replaced by a new configuration but still owned by sessions.
  std::vector<std::weak_ptr<ServiceTraffic>> retiredServices_;
  std::vector<RateLimiter> rateLimiters_;       ///< By caller handle.
  std::vector<TimePoint> newConnectionsUntil_;  ///< By upstream handle.
  std::vector<AttemptOutcome> pendingOutcomes_; ///< Not yet passed to the control thread.
  std::atomic<size_t> activeSessions_{ 0 };
  Ticket lastTicket_ = 0;
};

} // namespace bg
