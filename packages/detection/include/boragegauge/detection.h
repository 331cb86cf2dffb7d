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

/// Gray-failure detection. Pure decision code: events and the time come in, verdicts come out.
namespace bg::detection {

/// How one real request to an upstream ended (docs/design.md section 5.1).
enum class OutcomeClass
{
  Good,
  Failed,  ///< 5xx other than a documented refusal, reset, timeout, truncated body.
  Slow,    ///< SlowLimit() exceeded; reported at that moment, not when the response arrives.
  Neutral, ///< Shed, cancelled by the caller, answered 4xx, silent reused connection.

  Count
};

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

/// Counts of one proxy for one upstream since its last report.
struct EvidenceReport
{
  UpstreamHandle upstream;
  EvidenceCounts counts;
  Milliseconds interval{ 0 }; ///< Time that the counts cover.
};

/// Normal behaviour of a service.
struct ServiceBaseline
{
  /// Share of bad outcomes (failed or slow): the median over the upstreams or, when it is higher,
  /// the share of the last seconds over all upstreams but the worst.
  double badRate = 0;
  Duration latency{ 0 }; ///< Median over the upstreams of their mean latencies.
  /// Upstreams that are avoided or whose last outcome was bad. Many of them show a shared problem
  /// before the tests of single upstreams do.
  uint32_t suspects = 0;
  bool known = false; ///< False until enough outcomes were seen; nothing is slow before.
};

/// Hypotheses of the sequential test.
struct TestRates
{
  double normal = 0.01;    ///< p0
  double unhealthy = 0.35; ///< p1
};

/// p0 and p1 for a baseline: p0 is at least 0.01, p1 at least 0.35 and at least twice p0.
TestRates RatesFor(const ServiceBaseline& aBaseline);

/// Log-likelihood ratio (nats) of the outcomes; negative when they speak for "normal".
double LogLikelihoodRatio(const TestRates& aRates, double aGood, double aBad);

/// One CUSUM step, max(0, score + llr). The outcomes of one step have no order.
double NextScore(double aScore, const TestRates& aRates, double aGood, double aBad);

enum class VerdictScope
{
  None,
  Local,    ///< Only the proxy that saw the outcomes.
  Path,     ///< Proxies of one failure domain; avoidance only.
  Upstream, ///< All proxies; may be ejected once confirmed.

  Count
};

std::string_view ToString(VerdictScope aScope);

/// Input of one decision for one observing failure domain.
struct DomainEvidence
{
  FailureDomainHandle domain;
  double scoreBefore = 0;
  EvidenceCounts counts;  ///< Reported since the last decision.
  double assumedGood = 0; ///< Good outcomes that the step counts, see PooledDetector.
  EvidenceCounts total;   ///< Since the score was last 0; for the reader, not for the decision.
  uint32_t observers = 0; ///< Proxies that reported bad outcomes recently (lower bound).
  bool enoughObservers = true;
  bool avoided = false; ///< The path from this domain already has a verdict.
};

/// Complete input of one decision; Decide() and replay need nothing else.
struct VerdictEvidence
{
  TestRates rates;
  double threshold = 0;
  double scoreBefore = 0;
  bool pooled = true;    ///< False: outcomes of one proxy only, gives a Local verdict.
  uint32_t suspects = 0; ///< Upstreams of the service that look bad, for the guard.
  uint32_t members = 0;  ///< Upstreams of the service.
  double maxBadFraction = 0.34;
  bool guardHeld = false; ///< The guard tripped a short time ago.
  std::vector<DomainEvidence> domains;
};

/// Result of one decision.
struct Decision
{
  VerdictScope scope = VerdictScope::None;
  FailureDomainHandle domain; ///< For VerdictScope::Path.
  bool guarded = false;       ///< Scope is what would have been decided without the guard.
  double score = 0;           ///< Score of the upstream after the step.
  std::vector<double> domainScores;

  friend bool operator==(const Decision&, const Decision&) = default;
};

/// The decision for recorded evidence; `explain --replay` calls the same function.
Decision Decide(const VerdictEvidence& aEvidence);

/// Decide() that reuses the memory of aDecision.
void Decide(const VerdictEvidence& aEvidence, Decision& aDecision);

/// Named numbers for a decision record, and back. Parsing fails with NotFound when a value is
/// missing or out of range.
std::vector<EvidenceValue> ToEvidenceValues(const VerdictEvidence& aEvidence);
Result<VerdictEvidence> ParseEvidenceValues(std::span<const EvidenceValue> aValues);

/// True when more than aMaxFraction of the members are suspects; then none is acted on.
bool TooManySuspects(uint32_t aSuspects, uint32_t aMembers, double aMaxFraction);

/// A change of what may be sent to an upstream.
struct Verdict
{
  UpstreamHandle upstream;
  ServiceHandle service;
  VerdictScope scope = VerdictScope::None;
  FailureDomainHandle domain; ///< For VerdictScope::Path.
  bool avoid = false;         ///< False: the upstream or path is used normally again.
  bool confirmed = false;     ///< Upstream scope held for the confirmation time; may be ejected.
  bool guarded = false;       ///< Not acted on: too many suspects. For a decision record only.
  VerdictEvidence evidence;   ///< Empty when avoid is false.
};

struct ReadmissionInit
{
  Milliseconds minBackoff{ 5000 };
  Milliseconds maxBackoff{ 300000 };
  uint32_t trialsNeeded = 5;           ///< Successes in a row that readmit an upstream.
  Milliseconds trialTimeout{ 10000 };  ///< A trial without an outcome is given up.
  Milliseconds healthyReset{ 600000 }; ///< Healthy time after which the back-off starts over.
};

/// Back-off and trial requests of one upstream with a verdict.
class ReadmissionState
{
public:
  /// Starts the back-off; doubled for each verdict that follows a readmission too soon.
  void OnVerdict(const ReadmissionInit& aInit, TimePoint aNow);
  /// True when one real idempotent request may be sent now; it then counts as started.
  bool StartTrial(const ReadmissionInit& aInit, TimePoint aNow);
  /// Outcome of a trial. True when the upstream is readmitted with it. A neutral outcome neither
  /// counts for nor against it. A bad one starts a longer back-off.
  bool ObserveTrial(const ReadmissionInit& aInit, OutcomeClass aOutcome, TimePoint aNow);
  /// Drops the verdict without a trial, for example after a restart of the upstream.
  void Clear() { *this = {}; }
  /// Takes the verdict back as a false alarm; it does not count for the back-off.
  void Revoke();

  bool Excluded() const { return excluded_; }
  TimePoint Since() const { return since_; }
  Milliseconds Backoff() const { return backoff_; }
  TimePoint NextTrial() const { return nextTrial_; }

private:
  void Extend(const ReadmissionInit& aInit, TimePoint aNow);

  Milliseconds backoff_{ 0 };
  TimePoint nextTrial_{};
  TimePoint since_{};
  TimePoint readmitted_{};
  uint32_t successes_ = 0;
  bool excluded_ = false;
  bool trialRunning_ = false;
};

namespace detail {

/// Identity of the configured upstreams, to keep their state across configurations.
class UpstreamTable
{
public:
  /// For each upstream of the new configuration its former index, or UINT16_MAX.
  std::vector<uint16_t> Rebuild(const Configuration& aConfiguration);

private:
  std::vector<std::string> keys_;
};

struct ServiceMembers
{
  std::string id;
  DetectionConfig config;
  ReadmissionInit readmission;
  std::vector<uint16_t> upstreams;
};

std::vector<ServiceMembers> CollectServices(const Configuration& aConfiguration);

/// Replaces the members of all services; other state of services with the same id stays.
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

struct LocalCell
{
  uint16_t service = UINT16_MAX;
  bool reportQueued = false;
  bool lastBad = false;
  uint32_t samples = 0;
  float badRate = 0;
  float latencyMs = 0;
  float recentTotal = 0; ///< Outcomes of the last seconds, decayed.
  float recentBad = 0;
  EvidenceCounts unreported;
  double score = 0;
  EvidenceCounts total; ///< Since the score was last 0.
  TimePoint lastReport{};
  ReadmissionState readmission;
};

struct LocalService
{
  ServiceMembers members;
  ServiceBaseline baseline;
  Duration slowLimit{ Duration::max() };
  std::array<float, 32> firstLatenciesMs{}; ///< Until enough upstreams have outcomes of their own.
  uint32_t firstCount = 0;
  TimePoint firstSeen{}; ///< First outcome at any upstream of the service.
  uint32_t untilRefresh = 0;
  TimePoint guardUntil{};
};

struct PooledCell
{
  double score = 0;
  EvidenceCounts pending;
  EvidenceCounts total;       ///< Since the score was last 0.
  double pendingGood = 0;     ///< Good outcomes of the last report interval.
  double reported = 0;        ///< Outcomes in reports, decayed.
  double reportedSeconds = 0; ///< Time covered by these reports, decayed.
  uint64_t observerBits = 0;
  bool avoided = false;
};

struct PooledUpstream
{
  uint16_t service = UINT16_MAX;
  bool active = false;
  bool remoteVerdict = false;
  bool confirmed = false;
  double score = 0;
  TimePoint stepped{};
  TimePoint verdictAt{};
  ReadmissionState readmission; ///< Excluded while a verdict of Path or Upstream scope stands.
  VerdictScope scope = VerdictScope::None;
};

struct PooledService
{
  ServiceMembers members;
  TestRates rates;
  uint32_t localSuspects = 0; ///< ServiceBaseline::suspects
  Duration latency{ 0 };      ///< ServiceBaseline::latency
  TimePoint guardUntil{};
  bool guardHeld = false;
};

} // namespace detail

struct LocalDetectorInit
{
  Milliseconds reportInterval{ 200 }; ///< Shortest time between two reports for an upstream.
  Milliseconds slowFloor{ 10 };       ///< SlowLimit() is never below this.
  Milliseconds guardHold{ 5000 };     ///< No verdict for this time after the guard tripped.
};

struct LocalDetectorStats
{
  uint64_t observed = 0;
  uint64_t verdicts = 0;
  uint64_t guarded = 0;
};

/// Outcomes seen by one proxy: baselines, its own verdicts and its reports to the aggregators.
class LocalDetector
{
public:
  explicit LocalDetector(LocalDetectorInit aInit = {});

  /// Takes over a configuration. State of upstreams with the same service and upstream id stays.
  void Configure(const Configuration& aConfiguration);

  /// Counts one outcome. Does not allocate unless a verdict changes.
  /// @param aLatency Time to the response, or the time waited so far for Failed and Slow.
  void Observe(UpstreamHandle aUpstream, OutcomeClass aOutcome, Duration aLatency, TimePoint aNow);

  /// Latency above which a request counts as slow; Duration::max() while the baseline is unknown.
  Duration SlowLimit(ServiceHandle aService) const;
  ServiceBaseline Baseline(ServiceHandle aService) const;

  /// True while this proxy uses the upstream last because of its own outcomes.
  bool IsAvoided(UpstreamHandle aUpstream) const;
  /// True when an idempotent request may try an avoided upstream now. Its outcome goes to
  /// Observe().
  bool StartTrial(UpstreamHandle aUpstream, TimePoint aNow);

  /// Changes since the last call, in the order in which they happened.
  std::vector<Verdict> TakeVerdicts();
  /// Reports that are due, ordered by upstream.
  std::vector<EvidenceReport> TakeReports(TimePoint aNow);
  const LocalDetectorStats& Stats() const { return stats_; }

private:
  void RefreshBaseline(detail::LocalService& aService);
  double TakeRecentRate(const std::vector<uint16_t>& aMembers);
  void Step(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow);
  void Judge(UpstreamHandle aUpstream, OutcomeClass aOutcome, double aScoreBefore, TimePoint aNow);
  void TripGuard(UpstreamHandle aUpstream, TimePoint aNow);
  void Emit(UpstreamHandle aUpstream, bool aAvoid, bool aGuarded);
  uint32_t CountSuspects(const detail::LocalService& aService) const;

  LocalDetectorInit init_;
  LocalDetectorStats stats_;
  detail::UpstreamTable table_;
  std::vector<detail::LocalCell> cells_;
  std::vector<detail::LocalService> services_;
  std::vector<uint16_t> reportQueue_;
  std::vector<Verdict> verdicts_;
  std::vector<float> scratch_;
  VerdictEvidence evidence_;
  Decision decision_;
};

struct PooledDetectorInit
{
  /// An Upstream verdict is confirmed after this time, or after four times the slow limit when that
  /// is longer: until then a shared slow-down may not have shown at most upstreams.
  Milliseconds confirmation{ 1000 };
  Milliseconds guardHold{ 5000 }; ///< No verdict for this time after the guard tripped.
};

struct PooledDetectorStats
{
  uint64_t reports = 0;
  uint64_t verdicts = 0;
  uint64_t guarded = 0;
};

/// Reports of all proxies for the upstreams that this proxy aggregates.
///
/// Proxies without a bad outcome do not report. The detector therefore learns from the reports how
/// many outcomes each failure domain has per second and counts the rest of them as good.
class PooledDetector
{
public:
  explicit PooledDetector(PooledDetectorInit aInit = {});

  /// Takes over a configuration. State of upstreams with the same service and upstream id stays.
  void Configure(const Configuration& aConfiguration);
  /// Live proxies per failure domain, indexed by handle. Needed to estimate how many good
  /// outcomes went unreported.
  void SetObservers(std::span<const uint32_t> aProxiesPerDomain);
  /// Baseline from this proxy's own LocalDetector, to be set before each Evaluate().
  void SetBaseline(ServiceHandle aService, const ServiceBaseline& aBaseline);
  /// Verdict of another aggregator; counts for the guard of the service.
  void SetRemoteVerdict(UpstreamHandle aUpstream, bool aAvoid);

  /// Adds a report. It takes effect with the next Evaluate(); the order of reports in between does
  /// not matter.
  void Add(std::string_view aObserver,
           FailureDomainHandle aDomain,
           const EvidenceReport& aReport,
           TimePoint aNow);

  /// Runs the tests and returns what changed. To be called about every 50 ms.
  std::vector<Verdict> Evaluate(TimePoint aNow);

  /// True while a verdict of Path or Upstream scope stands.
  bool HasVerdict(UpstreamHandle aUpstream) const;
  VerdictScope Scope(UpstreamHandle aUpstream) const;
  bool PathAvoided(UpstreamHandle aUpstream, FailureDomainHandle aDomain) const;
  double Score(UpstreamHandle aUpstream) const;

  /// True when an idempotent request may try the upstream now; its outcome goes to ObserveTrial().
  /// For a Path verdict only proxies of that domain may try.
  bool StartTrial(UpstreamHandle aUpstream, TimePoint aNow);
  void ObserveTrial(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow);
  /// Drops verdict and evidence, for example when the boot id of the upstream changed.
  void Forget(UpstreamHandle aUpstream);

  const PooledDetectorStats& Stats() const { return stats_; }

private:
  using Index = uint16_t;
  detail::PooledCell& Cell(Index aUpstream, size_t aDomain);
  const detail::PooledCell& Cell(Index aUpstream, size_t aDomain) const;
  void CollectEvidence(Index aUpstream, TimePoint aNow);
  double AssumedGood(const detail::PooledCell& aCell, size_t aDomain, double aSeconds) const;
  void Step(Index aUpstream, TimePoint aNow);
  void Act(Index aUpstream, TimePoint aNow);
  void Confirm(Index aUpstream, TimePoint aNow);
  bool IsGuardDue(const detail::PooledService& aService) const;
  void TripGuard(Index aUpstream, TimePoint aNow);
  void EndGuards(TimePoint aNow);
  void Release(Index aUpstream);
  void ResetScores(Index aUpstream);
  Verdict MakeVerdict(Index aUpstream) const;
  uint32_t CountSuspects(const detail::PooledService& aService) const;
  bool IsQuiet(Index aUpstream) const;

  PooledDetectorInit init_;
  PooledDetectorStats stats_;
  detail::UpstreamTable table_;
  size_t domains_ = 0;
  std::vector<uint32_t> observers_;
  std::vector<detail::PooledUpstream> upstreams_;
  std::vector<detail::PooledCell> cells_; ///< upstream * domains_ + domain
  std::vector<detail::PooledService> services_;
  std::vector<uint16_t> active_;
  std::vector<Verdict> changes_;
  std::map<uint16_t, Verdict> unconfirmed_;
  VerdictEvidence evidence_;
  Decision decision_;
};

/// Upstreams of a service by state. Leaving, cold and ejected ones are part of the live ones; one
/// that is in two of these states may be counted twice, which only lowers the healthy number.
struct ServiceCapacity
{
  uint32_t configured = 0;
  uint32_t live = 0; ///< Configured and listed as live.
  uint32_t leaving = 0;
  uint32_t cold = 0;
  uint32_t ejected = 0; ///< Permits that have not expired.
};

/// Upstreams that are configured, live, not leaving and not cold; ejected ones included.
uint32_t HealthyUpstreams(const ServiceCapacity& aCapacity);
/// True only when one more ejection leaves at least aFloor healthy upstreams.
bool MayEject(const ServiceCapacity& aCapacity, uint32_t aFloor);
/// Permits that must be released, newest first, until the floor holds.
uint32_t PermitsToRelease(const ServiceCapacity& aCapacity, uint32_t aFloor);
/// Permits that a reader applies, oldest first (ties by upstream id).
uint32_t PermitsToApply(const ServiceCapacity& aCapacity, uint32_t aFloor);

} // namespace bg::detection
