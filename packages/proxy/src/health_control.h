#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/coordination.h"
#include "boragegauge/detection.h"
#include "proxy_p.h"

namespace bg {

/// Dependencies of HealthControl, not owned.
struct HealthControlInit
{
  const ProxySettings* settings = nullptr;
  EvidenceExchange* exchange = nullptr;
  EjectionPermits* permits = nullptr;
  LeavingMarks* leaving = nullptr;
  std::function<std::string(DecisionRecord)> addRecord; ///< Returns the record's id.
};

/// State of one upstream for /state.
struct UpstreamView
{
  std::string service;
  std::string upstream;
  std::string state; ///< "normal", "avoided", "ejected", "leaving" or "cold".
  double score = 0;  ///< Pooled CUSUM score; nonzero only at the upstream's aggregators.
  uint32_t inFlight = 0;
};

/// Derives the balancing status of each upstream from detection, peers, ejection permits and
/// leaving marks. Control thread only.
class HealthControl
{
public:
  explicit HealthControl(HealthControlInit aInit);

  /// Applies a configuration; state of upstreams that stay is kept.
  void Configure(std::shared_ptr<const Configuration> aConfiguration,
                 std::shared_ptr<LoadTable> aLoad);

  /// Outcomes of this proxy's own attempts.
  void OnOutcomes(const std::vector<AttemptOutcome>& aOutcomes);
  void OnPeerReport(std::string_view aHost, const EvidenceReport& aReport, TimePoint aNow);
  void OnPeerVerdict(std::string_view aHost, const Verdict& aVerdict, TimePoint aNow);
  void OnPermitEvent(PermitEvent aEvent, const std::string& aService, const std::string& aUpstream);
  void OnHostList(const std::vector<HostEntry>& aHosts, TimePoint aNow);
  void OnLeavingChange(const LeavingMark& aMark, bool aIsLeaving);
  /// Handles the boot id that an upstream reported. A new one means that the upstream has
  /// restarted: pooled verdicts are dropped and its slow start begins.
  void OnBootId(std::string_view aService,
                std::string_view aUpstream,
                std::string_view aBootId,
                TimePoint aNow);

  /// Sends evidence, evaluates verdicts and grants trials.
  /// @param aProxiesPerDomain Number of live proxies by failure domain, this one included.
  void Tick(TimePoint aNow, const std::map<std::string, uint32_t>& aProxiesPerDomain);

  /// Capacity of a service for the floor check of EjectionPermits.
  ServiceHealth Health(std::string_view aService) const;

  // Content of the routing snapshot, by upstream and service handle.
  std::vector<UpstreamStatus> UpstreamStatuses(TimePoint aNow) const;
  std::vector<Duration> SlowLimits() const;

  std::vector<UpstreamView> UpstreamViews(TimePoint aNow) const;
  UpstreamHandle FindUpstream(std::string_view aService, std::string_view aUpstream) const;

private:
  struct Upstream
  {
    bool isListedLive = false; ///< Live in the platform's host list.
    std::string bootId;
    TimePoint slowStartFrom{}; ///< Time of the last restart; the epoch: none was observed.
    /// Hosts with an active verdict to avoid the upstream, and when each verdict was last received.
    std::map<std::string, TimePoint, std::less<>> avoidedBy;
    std::string verdictRecordId; ///< Record of this proxy's pooled verdict; empty: none.
  };

  UpstreamHandle FindUpstreamByKey(uint64_t aKey) const;
  void SendEvidenceReports(TimePoint aNow);
  void ResendLocalEvidence(TimePoint aNow);
  void UpdatePooledInputs(TimePoint aNow, const std::map<std::string, uint32_t>& aProxiesPerDomain);
  void ApplyLocalVerdict(const detection::Verdict& aVerdict);
  void ApplyPooledVerdict(const detection::Verdict& aVerdict);
  void PublishVerdict(const detection::Verdict& aVerdict, VerdictAction aAction);
  void ResendVerdicts(TimePoint aNow);
  void GrantTrials(TimePoint aNow);
  void ExpirePeerVerdicts(TimePoint aNow);
  void ApplyPublishedVerdict(const Verdict& aVerdict, std::string_view aHost, TimePoint aNow);
  bool IsInSlowStart(UpstreamHandle aUpstream, TimePoint aNow) const;
  DecisionRecord CreateRecord(DecisionKind aKind,
                              UpstreamHandle aUpstream,
                              std::string_view aRule) const;
  std::string RecordVerdict(DecisionKind aKind,
                            const detection::Verdict& aVerdict,
                            std::string_view aRule);

  HealthControlInit init_;
  std::shared_ptr<const Configuration> configuration_;
  std::shared_ptr<LoadTable> load_;
  FailureDomainHandle localDomain_;
  detection::LocalDetector localDetector_;
  detection::PooledDetector pooledDetector_;
  std::vector<Upstream> upstreams_;
  std::unordered_map<uint64_t, UpstreamHandle> upstreamsByKey_;
  /// Evidence of this proxy's active local verdicts, by upstream index. Sent again periodically.
  std::map<uint16_t, EvidenceCounts> localVerdictEvidence_;
  std::map<uint16_t, Verdict> activeVerdicts_; ///< This proxy's pooled verdicts, by upstream index.
  TimePoint lastVerdictResend_{};
  TimePoint lastLocalEvidenceResend_{};
  TimePoint lastPooledInputUpdate_{};
  TimePoint lastTick_{};
};

} // namespace bg
