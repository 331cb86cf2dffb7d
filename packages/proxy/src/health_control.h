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

struct HealthControlInit
{
  const ProxySettings* settings = nullptr;
  EvidenceExchange* exchange = nullptr;
  EjectionPermits* permits = nullptr;
  LeavingMarks* leaving = nullptr;
  std::function<std::string(DecisionRecord)> record; ///< Returns the record's id.
};

/// State of one upstream for /state.
struct UpstreamView
{
  std::string service;
  std::string upstream;
  std::string state; ///< "normal", "avoided", "ejected", "leaving" or "cold".
  double score = 0;  ///< Pooled CUSUM score, only at its aggregators.
  uint32_t inFlight = 0;
};

/// Connects detection, peers, permits and leaving marks, and derives from them what the balancer
/// may do with each upstream. Control thread only.
class HealthControl
{
public:
  explicit HealthControl(HealthControlInit aInit);

  void Configure(std::shared_ptr<const Configuration> aConfiguration,
                 std::shared_ptr<LoadTable> aLoad);

  void OnOutcomes(const std::vector<AttemptOutcome>& aOutcomes);
  void OnPeerReport(std::string_view aHost, const EvidenceReport& aReport, TimePoint aNow);
  void OnPeerVerdict(std::string_view aHost, const Verdict& aVerdict, TimePoint aNow);
  void OnPermitEvent(PermitEvent aEvent, const std::string& aService, const std::string& aUpstream);
  void OnHosts(const std::vector<HostEntry>& aHosts, TimePoint aNow);
  void OnLeavingChange(const LeavingMark& aMark, bool aLeaving);
  /// The upstream reported this boot id; a new one ends verdicts and starts the slow start.
  void OnBootId(std::string_view aService,
                std::string_view aUpstream,
                std::string_view aBootId,
                TimePoint aNow);

  /// @param aProxiesPerDomain Live proxies by failure domain name, this one included.
  void Tick(TimePoint aNow, const std::map<std::string, uint32_t>& aProxiesPerDomain);

  /// For EjectionPermits: upstreams that count as healthy.
  ServiceHealth Health(std::string_view aService) const;

  /// Input of the routing snapshot.
  std::vector<UpstreamStatus> Status(TimePoint aNow) const;
  std::vector<Duration> SlowLimits() const;

  std::vector<UpstreamView> View(TimePoint aNow) const;
  UpstreamHandle Find(std::string_view aService, std::string_view aUpstream) const;

private:
  struct Upstream
  {
    bool listedLive = false;
    std::string bootId;
    TimePoint slowStartFrom{};
    /// Senders of verdicts that stand, and when each was last heard.
    std::map<std::string, TimePoint, std::less<>> avoidedBy;
    std::string recordId; ///< Of this proxy's own pooled verdict.
  };

  UpstreamHandle FindByKey(uint64_t aKey) const;
  void SendReports(TimePoint aNow);
  void RepeatLocalEvidence(TimePoint aNow);
  void UpdatePooled(TimePoint aNow, const std::map<std::string, uint32_t>& aProxiesPerDomain);
  void ActOnLocal(const detection::Verdict& aVerdict);
  void ActOnPooled(const detection::Verdict& aVerdict);
  void PublishVerdict(const detection::Verdict& aVerdict, VerdictAction aAction);
  void RepeatVerdicts(TimePoint aNow);
  void GrantTrials(TimePoint aNow);
  void ExpirePeerVerdicts(TimePoint aNow);
  void ApplyAvoidance(const Verdict& aVerdict, std::string_view aHost, TimePoint aNow);
  bool IsCold(UpstreamHandle aUpstream, TimePoint aNow) const;
  DecisionRecord MakeRecord(DecisionKind aKind,
                            UpstreamHandle aUpstream,
                            std::string_view aRule) const;
  std::string RecordVerdict(DecisionKind aKind,
                            const detection::Verdict& aVerdict,
                            std::string_view aRule);

  HealthControlInit init_;
  std::shared_ptr<const Configuration> configuration_;
  std::shared_ptr<LoadTable> load_;
  FailureDomainHandle localDomain_;
  detection::LocalDetector local_;
  detection::PooledDetector pooled_;
  std::vector<Upstream> upstreams_;
  std::unordered_map<uint64_t, UpstreamHandle> byKey_;
  /// Evidence of this proxy's own verdicts that stand, by upstream index.
  std::map<uint16_t, EvidenceCounts> localEvidence_;
  std::map<uint16_t, Verdict> published_; ///< Own verdicts that stand, by upstream index.
  TimePoint lastRepeat_{};
  TimePoint lastLocalRepeat_{};
  TimePoint lastBaseline_{};
  TimePoint now_{};
};

} // namespace bg
