#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/configuration.h"

namespace bg {

enum class RouteError
{
  None,
  UnknownCaller,    ///< No caller class matches the account.
  UnknownPath,      ///< No route has a matching path prefix.
  MethodNotAllowed, ///< A route has the path but not the method.
  CallerNotAllowed, ///< A route has path and method but not the caller class.

  Count
};

struct RouteMatch
{
  RouteHandle route;
  CallerHandle caller;
  RouteError error = RouteError::None;
};

/// Look-up of routes and caller classes. Built once per configuration, then read-only.
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const Configuration> aConfiguration);

  /// Matches the longest path prefix, by whole segments, that allows method and caller.
  /// @param aTarget Origin-form target; the query is ignored.
  RouteMatch Match(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aAccount) const;

  /// Caller class with the longest matching account prefix; invalid when there is none.
  CallerHandle FindCaller(std::string_view aAccount) const;

private:
  std::shared_ptr<const Configuration> configuration_;
  std::unordered_map<std::string, std::vector<RouteHandle>> routesByPrefix_;
  std::map<std::string, CallerHandle, std::less<>> callersByPrefix_;
  size_t longestPrefix_ = 0;
};

/// What the balancer knows of one upstream. Written by control, read-only in traffic threads.
struct UpstreamStatus
{
  bool leaving = false;      ///< Receives no new work.
  bool avoided = false;      ///< Used only when no other upstream has a free slot.
  TimePoint ejectedUntil{};  ///< Receives no work before this time; the lease of the permit.
  TimePoint slowStartFrom{}; ///< Start of the ramp; the epoch means warm.
};

/// Load of all upstreams as seen by this process. Shared by the traffic threads.
class LoadTable
{
public:
  explicit LoadTable(size_t aUpstreams);

  /// Table for a new configuration that keeps the counts of upstreams that stay.
  /// @param aPrevious For each new upstream its handle in aOld; invalid when it is new.
  LoadTable(const LoadTable& aOld, std::span<const UpstreamHandle> aPrevious);

  void Begin(UpstreamHandle aUpstream);
  void End(UpstreamHandle aUpstream);
  uint32_t InFlight(UpstreamHandle aUpstream) const;

  /// Stores the load that a response reported.
  void Report(UpstreamHandle aUpstream, uint32_t aBusy, TimePoint aNow);

  /// Own requests in flight plus the reported work of others, which fades with its age.
  double Estimate(UpstreamHandle aUpstream, TimePoint aNow) const;

  /// Trials are single idempotent requests sent to an ejected or avoided upstream.
  void GrantTrials(UpstreamHandle aUpstream, uint32_t aCount);
  bool TakeTrial(UpstreamHandle aUpstream);

  size_t Size() const { return slots_.size(); }

private:
  struct Slot
  {
    std::atomic<uint32_t> inFlight{ 0 };
    std::atomic<uint32_t> othersBusy{ 0 };
    std::atomic<int64_t> reportedAt{ 0 };
    std::atomic<uint32_t> trials{ 0 };
  };
  std::vector<std::shared_ptr<Slot>> slots_;
};

enum class BalancePolicy
{
  PowerOfTwo, ///< Of two random upstreams with a free slot, the less loaded one.
  RoundRobin,
  LeastLoaded, ///< The lowest estimate, ties at random.

  Count
};

std::optional<BalancePolicy> ParseBalancePolicy(std::string_view aName);

/// Input of one selection.
struct PickRequest
{
  ServiceHandle service;
  FailureDomainHandle localDomain;
  bool allowTrial = false;                 ///< An idempotent first attempt may serve as a trial.
  std::span<const UpstreamHandle> exclude; ///< Already tried for this request.
  uint64_t random = 0;                     ///< Uniform over all values.
  TimePoint now{};
};

struct PickResult
{
  UpstreamHandle upstream; ///< Invalid when no upstream may receive work.
  bool trial = false;
  bool avoided = false; ///< A suspect was used because the others are full.
};

/// Chooses an upstream: same failure domain with a free slot, any domain with a free slot, avoided
/// ones with a free slot, then the least loaded one that is not avoided. Upstreams that are
/// leaving or ejected are never chosen, except for trials.
PickResult PickUpstream(const Configuration& aConfiguration,
                        std::span<const UpstreamStatus> aStatus,
                        LoadTable& aLoad,
                        BalancePolicy aPolicy,
                        const PickRequest& aRequest);

/// Bounds retries and hedges to a share of the requests.
class RetryBudget
{
public:
  /// @param aRatio Retries per request. @param aReserve Retries allowed without traffic.
  explicit RetryBudget(double aRatio = 0.1, double aReserve = 5);
  void OnRequest();
  bool TryTake();
  double Available() const { return tokens_; }

private:
  double ratio_;
  double reserve_;
  double tokens_;
};

/// Token bucket with one second of burst.
class RateLimiter
{
public:
  /// @param aPerSecond 0: no limit.
  explicit RateLimiter(uint32_t aPerSecond = 0);
  bool TryTake(TimePoint aNow);

private:
  double perSecond_;
  double tokens_;
  TimePoint last_{};
};

enum class AdmissionResult
{
  Start,         ///< Send now.
  Queued,        ///< TakeReady() or TakeExpired() returns the ticket later.
  QueueFull,     ///< Refuse: this caller class has its share of the queue.
  DeadlineShort, ///< Refuse: the expected wait exceeds the deadline.

  Count
};

using Ticket = uint64_t;

struct AdmissionDecision
{
  AdmissionResult result = AdmissionResult::Start;
  std::optional<Ticket> evicted; ///< A queued request to refuse in favour of the new one.
};

struct AdmissionStats
{
  double limit = 0;
  uint32_t inFlight = 0;
  uint32_t queued = 0;
  double serviceTimeMs = 0; ///< Moving average.
};

/// Concurrency limit and queue of one service in one traffic thread.
///
/// The limit adapts to shed answers: additive increase, multiplicative decrease. The queue is fair
/// between caller classes by weight, and earliest deadline first within a class.
class ServiceAdmission
{
public:
  struct Init
  {
    uint32_t maxConcurrency = 64;
    uint32_t queueLimit = 64;
    std::span<const CallerConfig> callers;
  };
  explicit ServiceAdmission(const Init& aInit);

  AdmissionDecision Admit(Ticket aTicket,
                          CallerHandle aCaller,
                          TimePoint aDeadline,
                          TimePoint aNow);

  /// Ends a started request. @param aServiceTime Time since its start, waits included.
  void Finish(Duration aServiceTime);

  /// Upstreams refused a started request for load; lowers the limit.
  void OnShed(TimePoint aNow);

  /// Removes a queued ticket whose caller has gone. Unknown tickets are ignored.
  void Cancel(Ticket aTicket);

  /// Tickets that may start now; each counts as in flight. TakeExpired() goes first.
  std::vector<Ticket> TakeReady(TimePoint aNow);

  /// Queued tickets whose deadline has passed or cannot be met any more.
  std::vector<Ticket> TakeExpired(TimePoint aNow);

  AdmissionStats Stats() const;

private:
  struct Waiting
  {
    TimePoint deadline;
    Ticket ticket;
    auto operator<=>(const Waiting&) const = default;
  };
  struct ClassQueue
  {
    uint32_t weight = 1;
    double pass = 0; ///< Stride scheduling: the class with the lowest pass goes next.
    std::set<Waiting> waiting;
  };
  struct Position
  {
    size_t queue;
    TimePoint deadline;
  };

  bool HasCapacity() const;
  Duration ExpectedWait() const;
  std::optional<Ticket> EvictFor(size_t aQueue);
  void Enqueue(size_t aQueue, const Waiting& aWaiting);
  void Remove(size_t aQueue, const Waiting& aWaiting);
  ClassQueue* NextQueue();

  uint32_t maxConcurrency_;
  uint32_t queueLimit_;
  double limit_;
  uint32_t inFlight_ = 0;
  double serviceTimeNs_ = 0;
  double passNow_ = 0;
  TimePoint lastDecrease_{};
  std::vector<ClassQueue> queues_;
  std::unordered_map<Ticket, Position> positions_;
};

} // namespace bg
