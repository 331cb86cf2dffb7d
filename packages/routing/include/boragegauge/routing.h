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
  UnknownCaller,    ///< No account prefix of any caller class matches.
  UnknownPath,      ///< No route has a matching path prefix.
  MethodNotAllowed, ///< A route matches the path, but none of these allows the method.
  CallerNotAllowed, ///< A route matches path and method, but none of these allows the caller class.

  Count
};

/// Result of RouteTable::Match(). The route is valid only without an error.
struct RouteMatch
{
  RouteHandle route;
  CallerHandle caller;
  RouteError error = RouteError::None;
};

/// Finds routes and caller classes. Built once per configuration and read-only from then on.
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const Configuration> aConfiguration);

  /// Finds the route with the longest path prefix, in whole segments, that allows the method and
  /// the caller.
  /// @param aTarget Request target in origin form; the query is ignored.
  RouteMatch Match(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aAccount) const;

  /// Returns the caller class with the longest prefix of the account; invalid when there is none.
  CallerHandle FindCaller(std::string_view aAccount) const;

private:
  std::shared_ptr<const Configuration> configuration_;
  std::unordered_map<std::string, std::vector<RouteHandle>> routesByPrefix_;
  std::map<std::string, CallerHandle, std::less<>> callersByAccountPrefix_;
  size_t longestAccountPrefix_ = 0; ///< Length in bytes.
};

/// State of one upstream that the balancer needs. Written by the control thread; traffic threads
/// only read it.
struct UpstreamStatus
{
  bool leaving = false;      ///< Receives no new requests.
  bool avoided = false;      ///< Is used only when no other upstream has a free slot.
  TimePoint ejectedUntil{};  ///< End of the ejection lease; until then receives only trials.
  TimePoint slowStartFrom{}; ///< Start of the slow-start ramp; default value when already warm.
};

/// Requests in flight at each upstream, as far as this process can tell. Shared by the traffic
/// threads.
class LoadTable
{
public:
  explicit LoadTable(size_t aUpstreams);

  /// Creates the table of a new configuration. Upstreams that were in aOld share their counts with
  /// it.
  /// @param aPrevious Handle in aOld of each upstream; invalid for new ones.
  LoadTable(const LoadTable& aOld, std::span<const UpstreamHandle> aPrevious);

  /// Counts a request of this process that starts.
  void Begin(UpstreamHandle aUpstream);
  /// Counts a request of this process that has ended.
  void End(UpstreamHandle aUpstream);
  /// Requests of this process in flight.
  uint32_t InFlight(UpstreamHandle aUpstream) const;

  /// Stores the number of busy slots that a response reported. It includes requests of this
  /// process.
  void Report(UpstreamHandle aUpstream, uint32_t aBusy, TimePoint aNow);

  /// Estimated requests in flight: those of this process, plus the reported ones of other
  /// processes, whose weight decays with the age of the report.
  double Estimate(UpstreamHandle aUpstream, TimePoint aNow) const;

  /// Allows aCount trials, in place of any that are left. A trial is a single idempotent request to
  /// an ejected or avoided upstream.
  void GrantTrials(UpstreamHandle aUpstream, uint32_t aCount);
  /// Uses up one granted trial. False when none is left.
  bool TakeTrial(UpstreamHandle aUpstream);

  size_t Size() const { return entries_.size(); }

private:
  struct Entry
  {
    std::atomic<uint32_t> inFlight{ 0 };
    std::atomic<uint32_t> othersInFlight{ 0 }; ///< Requests of other processes, when reported.
    std::atomic<int64_t> reportedAt{ 0 };      ///< Time since the epoch, in units of Duration.
    std::atomic<uint32_t> grantedTrials{ 0 };
  };
  std::vector<std::shared_ptr<Entry>> entries_;
};

enum class BalancePolicy
{
  PowerOfTwo, ///< Of two random upstreams with a free slot, the less loaded one.
  RoundRobin,
  LeastLoaded, ///< The upstream with the lowest estimated load; ties are broken at random.

  Count
};

std::optional<BalancePolicy> ParseBalancePolicy(std::string_view aName);

/// Input of one selection of an upstream.
struct PickRequest
{
  ServiceHandle service;
  FailureDomainHandle localDomain;
  /// True when the request may serve as a trial: it is idempotent and has not been sent yet.
  bool allowTrial = false;
  std::span<const UpstreamHandle> exclude; ///< Upstreams that the request has already tried.
  uint64_t random = 0;                     ///< Uniformly distributed over all values.
  TimePoint now{};
};

struct PickResult
{
  UpstreamHandle upstream; ///< Invalid when no upstream may receive work.
  bool trial = false;
  bool avoided = false; ///< The upstream is avoided; used because all others are full.
};

/// Selects an upstream. If allowed, the first suspect with a granted trial is selected. Otherwise
/// the policy selects from the first of these groups that is not empty: upstreams with a free slot
/// in the same failure domain, then in any domain, then avoided ones with a free slot, then full
/// ones, then full avoided ones. Leaving upstreams are never selected, ejected ones only for
/// trials. RoundRobin ignores the groups.
PickResult PickUpstream(const Configuration& aConfiguration,
                        std::span<const UpstreamStatus> aStatus,
                        LoadTable& aLoad,
                        BalancePolicy aPolicy,
                        const PickRequest& aRequest);

/// Token bucket that limits retries and hedges to a share of the requests.
class RetryBudget
{
public:
  /// @param aRatio Retries allowed per request.
  /// @param aReserve Retries allowed without any request.
  explicit RetryBudget(double aRatio = 0.1, double aReserve = 5);
  /// Adds the share of one request.
  void OnRequest();
  /// Takes a token for one retry. False when none is left.
  bool TryTake();
  /// Number of retries that are left.
  double Available() const { return tokens_; }

private:
  double ratio_;
  double reserve_;
  double tokens_;
};

/// Token bucket that limits the request rate and allows bursts of one second.
class RateLimiter
{
public:
  /// @param aPerSecond Requests per second; 0 means no limit.
  explicit RateLimiter(uint32_t aPerSecond = 0);
  /// Takes a token for one request. False when the rate limit is exceeded.
  bool TryTake(TimePoint aNow);

private:
  double perSecond_;
  double tokens_;
  TimePoint lastRefillAt_{};
};

enum class AdmissionResult
{
  Start,         ///< The request may be sent now.
  Queued,        ///< TakeReady() or TakeExpired() returns the ticket later, unless it is evicted.
  QueueFull,     ///< Refused: the queue is full and the caller class has at least its share of it.
  DeadlineShort, ///< Refused: the expected wait exceeds the time to the deadline.

  Count
};

/// Identifies a request; chosen by the user of ServiceAdmission.
using Ticket = uint64_t;

struct AdmissionDecision
{
  AdmissionResult result = AdmissionResult::Start;
  /// Queued request that the new one has displaced. The caller must refuse it.
  std::optional<Ticket> evicted;
};

struct AdmissionStats
{
  double limit = 0; ///< Current concurrency limit.
  uint32_t inFlight = 0;
  uint32_t queued = 0;
  double serviceTimeMs = 0; ///< Moving average of the service time.
};

/// Concurrency limit and queue of one service in one traffic thread.
///
/// The limit adapts to shed responses by additive increase and multiplicative decrease. The queue
/// serves the caller classes in proportion to their weights, and each class by earliest deadline
/// first.
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

  /// Admits, queues or refuses a request.
  AdmissionDecision Admit(Ticket aTicket,
                          CallerHandle aCaller,
                          TimePoint aDeadline,
                          TimePoint aNow);

  /// Ends a started request and raises the limit.
  /// @param aServiceTime Time since the start of the request, including its waits.
  void Finish(Duration aServiceTime);

  /// Lowers the limit, because upstreams refused a started request for overload.
  void OnShed(TimePoint aNow);

  /// Removes a queued ticket, for example when its caller has disconnected. Tickets that are not
  /// queued are ignored.
  void Cancel(Ticket aTicket);

  /// Removes and returns the queued tickets that may start now; each counts as in flight. Call
  /// TakeExpired() first.
  std::vector<Ticket> TakeReady(TimePoint aNow);

  /// Removes and returns the queued tickets whose deadline has passed.
  std::vector<Ticket> TakeExpired(TimePoint aNow);

  AdmissionStats Stats() const;

private:
  struct QueueEntry
  {
    TimePoint deadline;
    Ticket ticket;
    auto operator<=>(const QueueEntry&) const = default;
  };
  struct ClassQueue
  {
    uint32_t weight = 1;
    double pass = 0; ///< Stride scheduling: the class with the lowest pass is served next.
    std::set<QueueEntry> entries;
  };
  /// Finds the queue entry of a ticket.
  struct QueueKey
  {
    size_t queue;
    TimePoint deadline;
  };

  bool HasCapacity() const;
  Duration ExpectedWait() const;
  /// Makes room for a request of a class by evicting one of a class with a larger share of the
  /// queue.
  std::optional<Ticket> EvictEntryFor(size_t aQueue);
  void Enqueue(size_t aQueue, const QueueEntry& aEntry);
  void Remove(size_t aQueue, const QueueEntry& aEntry);
  ClassQueue* NextQueue();

  uint32_t maxConcurrency_;
  uint32_t queueLimit_;
  double concurrencyLimit_;
  uint32_t inFlight_ = 0;
  double averageServiceTimeNs_ = 0;
  double globalPass_ = 0; ///< Pass of the class that was served last.
  TimePoint lastDecreaseAt_{};
  std::vector<ClassQueue> queues_; ///< One per caller class.
  std::unordered_map<Ticket, QueueKey> queueKeys_;
};

} // namespace bg
