#pragma once

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"
#include "boragegauge/configuration.h"
#include "boragegauge/records.h"

/// Gray-failure detection: finds upstreams that look alive but fail or slow down real requests.
/// Pure decision code without I/O, threads or a clock; outcomes and the current time are arguments.
///
/// Each outcome updates a score (CUSUM, a sequential probability test). A score that reaches the
/// threshold gives a verdict, and the upstream is avoided until trial requests succeed. The guard
/// is the limit that suspends verdicts while too many upstreams of a service look unhealthy: the
/// cause is then a service-wide fault, and fewer upstreams would make it worse.
namespace bg::detection {

/// How one real request to an upstream ended (docs/design.md section 5.1).
enum class OutcomeClass
{
  Good,
  Failed,  ///< 5xx except a documented refusal, connection reset, timeout or truncated body.
  Slow,    ///< Exceeded SlowLimit(); reported at that moment, not when the response arrives.
  Neutral, ///< Shed, cancelled by the caller, 4xx, or no response on a reused connection.

  Count
};

/// Number of outcomes per class. Neutral outcomes are not counted.
struct EvidenceCounts
{
  uint32_t good = 0;
  uint32_t failed = 0;
  uint32_t slow = 0;

  uint32_t Bad() const { return failed + slow; }
  uint32_t Total() const { return good + failed + slow; }
  EvidenceCounts& operator+=(const EvidenceCounts& aOther);
  friend bool operator==(const EvidenceCounts&, const EvidenceCounts&) = default;
};

/// Outcomes of one upstream that one proxy has counted since its previous report.
struct EvidenceReport
{
  UpstreamHandle upstream;
  EvidenceCounts counts;
  Milliseconds interval{ 0 }; ///< Time covered by the counts.
};

/// Normal behaviour of a service, as seen by one proxy.
struct ServiceBaseline
{
  /// Share of bad (failed or slow) outcomes. The higher of two values: the median over the
  /// upstreams, and the recent share over all upstreams except the worst.
  double badRate = 0;
  Duration latency{ 0 }; ///< Median over the upstreams of their mean latencies.
  /// Number of upstreams that are avoided or whose last outcome was bad. A high number shows a
  /// service-wide fault before the scores of single upstreams reach the threshold.
  uint32_t suspects = 0;
  bool known = false; ///< False until enough outcomes were observed; no request is slow until then.
};

/// The two hypotheses of the sequential test: the share of bad outcomes that each one expects.
struct TestRates
{
  double normal = 0.01;    ///< p0, of a normal upstream.
  double unhealthy = 0.35; ///< p1, of an unhealthy upstream.
};

/// Rates for a baseline: p0 is the bad rate, clamped to 0.01..0.45; p1 is at least 0.35 and at
/// least twice p0.
TestRates RatesFor(const ServiceBaseline& aBaseline);

/// Log-likelihood ratio (nats) of unhealthy to normal for these numbers of outcomes; negative when
/// the upstream is more likely to be normal.
double LogLikelihoodRatio(const TestRates& aRates, double aGood, double aBad);

/// Score after one CUSUM step, max(0, score + log-likelihood ratio). The order of the outcomes
/// within a step has no effect.
double NextScore(double aScore, const TestRates& aRates, double aGood, double aBad);

enum class VerdictScope
{
  None,
  Local,    ///< Avoided by the proxy that observed the outcomes.
  Path,     ///< Avoided by all proxies of one failure domain; never ejected.
  Upstream, ///< Avoided by all proxies; may be ejected once confirmed.

  Count
};

std::string_view ToString(VerdictScope aScope);

/// Evidence from the proxies of one failure domain; part of the input of one decision.
struct DomainEvidence
{
  FailureDomainHandle domain;
  double scoreBefore = 0;
  EvidenceCounts counts; ///< Outcomes reported since the previous decision.
  /// Good outcomes that the score counts instead of counts.good: they include an estimate of the
  /// unreported ones, see PooledDetector.
  double assumedGood = 0;
  EvidenceCounts total; ///< Outcomes since the score was last 0. Shown in records, decides nothing.
  uint32_t observers = 0; ///< Lower bound of the proxies that have reported since the score was 0.
  bool enoughObservers = true; ///< At least two proxies have reported, or the only one there is.
  bool avoided = false;        ///< The path from this domain already has a verdict.
};

/// Complete input of one decision. A replay of the record needs nothing else.
struct VerdictEvidence
{
  TestRates rates;
  double threshold = 0; ///< Score that gives a verdict.
  double scoreBefore = 0;
  bool pooled = true;    ///< False for the outcomes of one proxy, which give a Local verdict only.
  uint32_t suspects = 0; ///< Upstreams of the service that look unhealthy.
  uint32_t members = 0;  ///< All upstreams of the service.
  double maxBadFraction = 0.34; ///< Share of suspects above which the guard suspends verdicts.
  bool guardActive = false;     ///< The guard was activated recently and still suspends verdicts.
  std::vector<DomainEvidence> domains;
};

/// Result of one decision.
struct Decision
{
  VerdictScope scope = VerdictScope::None;
  FailureDomainHandle domain; ///< For VerdictScope::Path.
  bool guarded = false;       ///< The guard suppresses the verdict; scope is the suppressed one.
  double score = 0;           ///< Score of the upstream after this decision.
  std::vector<double> domainScores; ///< In the order of VerdictEvidence::domains.

  friend bool operator==(const Decision&, const Decision&) = default;
};

/// Decides on the evidence. `explain --replay` calls it with the evidence of a decision record.
Decision Decide(const VerdictEvidence& aEvidence);

/// Same, but reuses the memory of aDecision.
void Decide(const VerdictEvidence& aEvidence, Decision& aDecision);

/// Converts the evidence to the named numbers of a decision record.
std::vector<EvidenceValue> ToEvidenceValues(const VerdictEvidence& aEvidence);
/// Inverse of ToEvidenceValues(). Fails with NotFound when a value is missing or out of range.
Result<VerdictEvidence> ParseEvidenceValues(std::span<const EvidenceValue> aValues);

/// True when the guard must suspend verdicts: there are at least two suspects, and they are more
/// than aMaxFraction of the members.
bool TooManySuspects(uint32_t aSuspects, uint32_t aMembers, double aMaxFraction);

/// Tells that an upstream or a path must be avoided, or may be used normally again.
struct Verdict
{
  UpstreamHandle upstream;
  ServiceHandle service;
  VerdictScope scope = VerdictScope::None;
  FailureDomainHandle domain; ///< For VerdictScope::Path.
  bool avoid = false;         ///< False when the upstream or path may be used normally again.
  bool confirmed = false;   ///< Upstream scope persisted for the confirmation time; may be ejected.
  bool guarded = false;     ///< Suppressed by the guard; for the decision record only.
  VerdictEvidence evidence; ///< Default value when avoid is false.
};

struct ReadmissionInit
{
  Milliseconds minBackoff{ 5000 };
  Milliseconds maxBackoff{ 300000 };
  uint32_t trialsNeeded = 5;          ///< Consecutive successful trials that readmit an upstream.
  Milliseconds trialTimeout{ 10000 }; ///< After this time without an outcome a new trial may start.
  Milliseconds healthyReset{ 600000 }; ///< Time without a verdict that resets the back-off.
};

/// Back-off and trial requests of one upstream, from a verdict until it is readmitted.
class ReadmissionState
{
public:
  /// Excludes the upstream and starts the back-off. It doubles when the upstream was readmitted
  /// less than ReadmissionInit::healthyReset ago. No effect while excluded.
  void OnVerdict(const ReadmissionInit& aInit, TimePoint aNow);
  /// Starts a trial, with one real idempotent request, if the back-off is over and no other trial
  /// is running. Returns whether it has started.
  bool StartTrial(const ReadmissionInit& aInit, TimePoint aNow);
  /// Ends the running trial, if any. Returns true if this readmits the upstream. A bad outcome
  /// starts a longer back-off; after a neutral one the next trial may start at once.
  bool ObserveTrial(const ReadmissionInit& aInit, OutcomeClass aOutcome, TimePoint aNow);
  /// Readmits the upstream without trials and resets the back-off, for example after a restart.
  void Clear() { *this = {}; }
  /// Readmits the upstream after a false alarm, so that the next back-off is the shortest one.
  void Revoke();

  bool IsExcluded() const { return isExcluded_; }
  TimePoint ExcludedSince() const { return excludedSince_; }
  Milliseconds Backoff() const { return backoff_; }
  TimePoint NextTrial() const { return nextTrialAt_; }

private:
  void StartBackoff(const ReadmissionInit& aInit, TimePoint aNow);

  Milliseconds backoff_{ 0 };
  TimePoint nextTrialAt_{};
  TimePoint excludedSince_{};
  TimePoint readmittedAt_{};
  uint32_t consecutiveSuccesses_ = 0;
  bool isExcluded_ = false;
  bool isTrialRunning_ = false;
};

namespace detail {

/// Maps upstreams to their index in the previous configuration by service and upstream id, so that
/// their state survives a configuration change.
class UpstreamTable
{
public:
  /// Returns the former index of each upstream of the new configuration, UINT16_MAX for new ones.
  std::vector<uint16_t> Rebuild(const Configuration& aConfiguration);

private:
  std::vector<std::string> keys_; ///< Service id and upstream id, by upstream index.
};

/// Settings of one service and the indices of its upstreams.
struct ServiceMembers
{
  std::string id;
  DetectionConfig config;
  ReadmissionInit readmission;
  std::vector<uint16_t> upstreams;
};

std::vector<ServiceMembers> CollectServices(const Configuration& aConfiguration);

/// Replaces the members of all services. Services with the same id keep their other state.
template<typename Service>
void ReplaceMembers(std::vector<Service>& aServices, std::vector<ServiceMembers> aMembers)
{
  std::map<std::string, Service> former;
  for (Service& service : aServices) {
    std::string id = service.members.id;
    former.emplace(std::move(id), std::move(service));
  }
  aServices.clear();
  for (ServiceMembers& members : aMembers) {
    const auto it = former.find(members.id);
    aServices.push_back(it == former.end() ? Service{} : std::move(it->second));
    aServices.back().members = std::move(members);
  }
}

/// State of one upstream in LocalDetector.
struct LocalUpstream
{
  uint16_t service = UINT16_MAX;
  bool isReportQueued = false;
  bool isLastOutcomeBad = false;
  uint32_t outcomeCount = 0; ///< All outcomes but neutral ones.
  float badRate = 0;         ///< Moving average over the outcomes.
  float latencyMs = 0;       ///< Moving average over the outcomes that have not failed.
  float recentTotal = 0;     ///< Number of recent outcomes; decays at each baseline refresh.
  float recentBad = 0;       ///< Number of recent bad outcomes; decays likewise.
  EvidenceCounts unreportedCounts;
  double score = 0;
  EvidenceCounts countsSinceZero; ///< Outcomes since the score was last 0.
  TimePoint lastReportAt{};
  ReadmissionState readmission;
};

/// State of one service in LocalDetector.
struct LocalService
{
  ServiceMembers members;
  ServiceBaseline baseline;
  Duration slowLimit{ Duration::max() };
  /// Latencies of the first good outcomes of the service, until the baseline is known.
  std::array<float, 32> startupLatenciesMs{};
  uint32_t startupLatencyCount = 0;
  /// Start of the time that the first reports cover: one report interval before the first outcome.
  TimePoint firstReportStart{};
  uint32_t outcomesUntilRefresh = 0; ///< Outcomes until the baseline is computed again.
  TimePoint guardUntil{};            ///< Verdicts are suspended before this time.
};

/// Evidence about the path from the proxies of one failure domain to one upstream.
struct PathState
{
  double score = 0;
  EvidenceCounts newCounts;       ///< Outcomes reported since the last score update.
  EvidenceCounts countsSinceZero; ///< Outcomes since the score was last 0.
  double recentGood = 0;          ///< Estimated part of newCounts.good from the last 200 ms.
  double reportedOutcomes = 0;    ///< Number of outcomes in past reports; halved from time to time.
  double reportedSeconds = 0;     ///< Time covered by these reports; halved likewise.
  uint64_t observerHashBits = 0;  ///< One bit per hash of a proxy that has reported.
  bool avoided = false;
};

/// State of one upstream in PooledDetector.
struct PooledUpstream
{
  uint16_t service = UINT16_MAX;
  bool isActive = false;         ///< Listed in PooledDetector::activeUpstreams_.
  bool hasRemoteVerdict = false; ///< Another aggregator has given a verdict.
  bool confirmed = false;
  double score = 0;
  TimePoint lastStepAt{}; ///< Time of the last score update.
  TimePoint verdictAt{};
  ReadmissionState readmission; ///< Excluded while a verdict of Path or Upstream scope exists.
  VerdictScope scope = VerdictScope::None;
};

/// State of one service in PooledDetector.
struct PooledService
{
  ServiceMembers members;
  TestRates rates;
  uint32_t localSuspects = 0; ///< ServiceBaseline::suspects of this proxy.
  Duration latency{ 0 };      ///< ServiceBaseline::latency of this proxy.
  TimePoint guardUntil{};     ///< Verdicts are suspended at least until this time.
  bool isGuardActive = false;
};

} // namespace detail

struct LocalDetectorInit
{
  Milliseconds reportInterval{ 200 }; ///< Shortest time between two reports for an upstream.
  Milliseconds slowFloor{ 10 };       ///< Lower bound of SlowLimit().
  Milliseconds guardDuration{ 5000 }; ///< Time for which an activated guard suspends verdicts.
};

struct LocalDetectorStats
{
  uint64_t observed = 0; ///< Outcomes, neutral ones included.
  uint64_t verdicts = 0; ///< Verdicts to avoid an upstream.
  uint64_t guarded = 0;  ///< Times that the guard was activated.
};

/// Evaluates the outcomes that one proxy observes: computes the baselines of the services, gives
/// Local verdicts and prepares the reports to the aggregators.
class LocalDetector
{
public:
  explicit LocalDetector(LocalDetectorInit aInit = {});

  /// Replaces the configuration. Upstreams with the same service id and upstream id keep their
  /// state. Handles of the previous configuration become invalid.
  void Configure(const Configuration& aConfiguration);

  /// Records one outcome. Allocates no memory unless a verdict changes.
  /// @param aLatency Time to the response; for Failed and Slow the time waited so far.
  void Observe(UpstreamHandle aUpstream, OutcomeClass aOutcome, Duration aLatency, TimePoint aNow);

  /// Latency above which a request is slow; Duration::max() while the baseline is unknown.
  Duration SlowLimit(ServiceHandle aService) const;
  ServiceBaseline Baseline(ServiceHandle aService) const;

  /// True while the upstream has a Local verdict of this proxy.
  bool IsAvoided(UpstreamHandle aUpstream) const;
  /// Starts a trial of an avoided upstream if one is due, and returns whether it has started. The
  /// caller sends one idempotent request and passes its outcome to Observe().
  bool StartTrial(UpstreamHandle aUpstream, TimePoint aNow);

  /// Returns and clears the verdicts since the last call, oldest first.
  std::vector<Verdict> TakeVerdicts();
  /// Returns and clears the reports that are due, ordered by upstream.
  std::vector<EvidenceReport> TakeReports(TimePoint aNow);
  const LocalDetectorStats& Stats() const { return stats_; }

private:
  void RefreshBaseline(detail::LocalService& aService);
  /// Returns the recent bad rate over all members except the worst, then decays the recent counts.
  double UpdateRecentBadRate(const std::vector<uint16_t>& aMembers);
  void UpdateScore(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow);
  /// Decides on a score that has reached the threshold.
  void DecideVerdict(UpstreamHandle aUpstream,
                     OutcomeClass aOutcome,
                     double aScoreBefore,
                     TimePoint aNow);
  /// Activates or prolongs the guard of the service and revokes its recent verdicts.
  void SuspendVerdicts(UpstreamHandle aUpstream, TimePoint aNow);
  void QueueVerdict(UpstreamHandle aUpstream, bool aAvoid, bool aGuarded);
  uint32_t CountSuspects(const detail::LocalService& aService) const;

  LocalDetectorInit init_;
  LocalDetectorStats stats_;
  detail::UpstreamTable table_;
  std::vector<detail::LocalUpstream> upstreams_;
  std::vector<detail::LocalService> services_;
  std::vector<uint16_t> reportQueue_; ///< Upstreams with bad outcomes that are not yet reported.
  std::vector<Verdict> pendingVerdicts_;
  std::vector<float> medianValues_; ///< Reused by RefreshBaseline().
  VerdictEvidence evidence_;        ///< Input of the last decision.
  Decision decision_;               ///< Result of the last decision.
};

struct PooledDetectorInit
{
  /// Time after which an Upstream verdict is confirmed; four times the slow limit of the service if
  /// that is longer. In a service-wide slow-down most upstreams become suspects within this time,
  /// so that the guard revokes the verdict.
  Milliseconds confirmation{ 1000 };
  Milliseconds guardDuration{ 5000 }; ///< Time for which an activated guard suspends verdicts.
};

struct PooledDetectorStats
{
  uint64_t reports = 0;
  uint64_t verdicts = 0; ///< Verdicts to avoid an upstream or a path.
  uint64_t guarded = 0;  ///< Times that the guard was activated.
};

/// Evaluates the reports of all proxies about the upstreams that this proxy aggregates. Gives Path
/// and Upstream verdicts.
///
/// Proxies that observe no bad outcome send no report. The detector therefore estimates from past
/// reports how many outcomes each failure domain has per second, and counts a share of the estimate
/// as good outcomes.
class PooledDetector
{
public:
  explicit PooledDetector(PooledDetectorInit aInit = {});

  /// Replaces the configuration. Upstreams with the same service id and upstream id keep their
  /// state. Handles of the previous configuration become invalid.
  void Configure(const Configuration& aConfiguration);
  /// Sets the number of live proxies per failure domain, indexed by handle. It scales the estimate
  /// of the unreported good outcomes.
  void SetObservers(std::span<const uint32_t> aProxiesPerDomain);
  /// Sets the baseline from this proxy's LocalDetector. Call it before each Evaluate().
  void SetBaseline(ServiceHandle aService, const ServiceBaseline& aBaseline);
  /// Sets whether another aggregator has a verdict for the upstream, which then is a suspect for
  /// the guard of the service.
  void SetRemoteVerdict(UpstreamHandle aUpstream, bool aAvoid);

  /// Adds a report, which the next Evaluate() takes into account. The order of the reports between
  /// two calls of Evaluate() has no effect.
  /// @param aObserver Id of the proxy that sent the report. @param aDomain Its failure domain.
  void Add(std::string_view aObserver,
           FailureDomainHandle aDomain,
           const EvidenceReport& aReport,
           TimePoint aNow);

  /// Updates the scores and returns the new verdicts. Call it about every 50 ms.
  std::vector<Verdict> Evaluate(TimePoint aNow);

  /// True while the upstream has a verdict of Path or Upstream scope.
  bool HasVerdict(UpstreamHandle aUpstream) const;
  VerdictScope Scope(UpstreamHandle aUpstream) const;
  bool IsPathAvoided(UpstreamHandle aUpstream, FailureDomainHandle aDomain) const;
  double Score(UpstreamHandle aUpstream) const;

  /// Starts a trial of the upstream if one is due, and returns whether it has started. The caller
  /// sends one idempotent request and passes its outcome to ObserveTrial(). For a Path verdict the
  /// request must come from a proxy of that domain.
  bool StartTrial(UpstreamHandle aUpstream, TimePoint aNow);
  void ObserveTrial(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow);
  /// Clears the verdict, the scores and the back-off, for example when the boot id of the upstream
  /// has changed.
  void ResetUpstream(UpstreamHandle aUpstream);

  const PooledDetectorStats& Stats() const { return stats_; }

private:
  using UpstreamIndex = uint16_t;

  detail::PathState& Path(UpstreamIndex aUpstream, size_t aDomain);
  const detail::PathState& Path(UpstreamIndex aUpstream, size_t aDomain) const;
  /// Moves the new counts of the upstream into evidence_.
  void CollectEvidence(UpstreamIndex aUpstream, TimePoint aNow);
  /// Good outcomes of the last aSeconds, reported or not.
  double EstimateGoodOutcomes(const detail::PathState& aPath,
                              size_t aDomain,
                              double aSeconds) const;
  void UpdateScores(UpstreamIndex aUpstream, TimePoint aNow);
  /// Decides again with the number of suspects; gives the verdict or activates the guard.
  void ApplyDecision(UpstreamIndex aUpstream, TimePoint aNow);
  /// Confirms an Upstream verdict when its confirmation time has passed.
  void ConfirmVerdict(UpstreamIndex aUpstream, TimePoint aNow);
  bool HasTooManySuspects(const detail::PooledService& aService) const;
  /// Activates or prolongs the guard of the service; on activation revokes its recent verdicts.
  void SuspendVerdicts(UpstreamIndex aUpstream, TimePoint aNow);
  /// Ends the guards whose time is over and resets the scores of their services.
  void ResumeVerdicts(TimePoint aNow);
  /// Ends the verdict of the upstream and resets its scores.
  void ClearVerdict(UpstreamIndex aUpstream);
  void ResetScores(UpstreamIndex aUpstream);
  Verdict MakeVerdict(UpstreamIndex aUpstream) const;
  uint32_t CountSuspects(const detail::PooledService& aService) const;
  /// True when all scores are 0 and no verdict waits for its confirmation.
  bool IsIdle(UpstreamIndex aUpstream) const;

  PooledDetectorInit init_;
  PooledDetectorStats stats_;
  detail::UpstreamTable table_;
  size_t domainCount_ = 0;
  std::vector<uint32_t> proxiesPerDomain_; ///< Live proxies.
  std::vector<detail::PooledUpstream> upstreams_;
  std::vector<detail::PathState> paths_; ///< Index: upstream * domainCount_ + domain.
  std::vector<detail::PooledService> services_;
  std::vector<uint16_t> activeUpstreams_; ///< Upstreams that Evaluate() must look at.
  std::vector<Verdict> pendingVerdicts_;
  std::map<uint16_t, Verdict> unconfirmed_; ///< Upstream verdicts before their confirmation.
  VerdictEvidence evidence_;                ///< Input of the last decision.
  Decision decision_;                       ///< Result of the last decision.
};

/// Number of upstreams of a service by state. The live ones include the leaving, cold and ejected
/// ones. An upstream in two of these states may be counted twice, which only makes the number of
/// healthy upstreams too low.
struct ServiceCapacity
{
  uint32_t configured = 0;
  uint32_t live = 0; ///< Configured and listed as live.
  uint32_t leaving = 0;
  uint32_t cold = 0;
  uint32_t ejected = 0; ///< Ejection permits that have not expired.
};

/// Number of upstreams that are configured and live, and neither leaving nor cold. Ejected ones are
/// included.
uint32_t HealthyUpstreams(const ServiceCapacity& aCapacity);
/// True if at least aFloor healthy upstreams remain in use after one more ejection.
bool MayEject(const ServiceCapacity& aCapacity, uint32_t aFloor);
/// Number of permits to release, newest first, so that aFloor healthy upstreams remain in use.
uint32_t PermitsToRelease(const ServiceCapacity& aCapacity, uint32_t aFloor);
/// Number of permits that a reader applies, oldest first (ties by upstream id).
uint32_t PermitsToApply(const ServiceCapacity& aCapacity, uint32_t aFloor);

} // namespace bg::detection
