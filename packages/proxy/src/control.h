#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "boragegauge/peering.h"
#include "boragegauge/platform.h"
#include "health_control.h"
#include "health_reader.h"
#include "metrics.h"
#include "proxy_p.h"

namespace bg {

/// Ports of a running proxy.
struct ProxyPorts
{
  uint16_t port = 0;
  uint16_t adminPort = 0;
  uint16_t peerPort = 0;
};

/// Control thread of a proxy: owns all control state and publishes routing snapshots.
class Control
{
public:
  Control(const ProxySettings& aSettings, TrafficContext& aContext, Metrics& aMetrics);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  /// Binds the admin and peer addresses. Hooks of TrafficContext are set afterwards.
  Result<ProxyPorts> Bind();
  void Start();

  /// Makes readiness fail, so that the balancer sends no new callers. Callable from any thread.
  void BeginShutdown();
  /// Uploads pending records, waits for it at most for the limit, and ends the thread.
  void Stop(Duration aLimit);

private:
  void CreateCoordination();
  ControlHooks MakeHooks();

  void Tick();
  void HandleMessage(std::string_view aBytes);
  void Adopt(uint64_t aRevision, const std::string& aDigest, const std::string& aBody);
  void PublishSnapshot(TimePoint aNow);
  std::string Record(DecisionRecord aRecord);
  void RecordRefusal(RefusalEvent aEvent);
  std::map<std::string, uint32_t> CountProxiesPerDomain(TimePoint aNow) const;
  bool IsReady(TimePoint aNow) const;
  Heartbeat MakeHeartbeat() const;
  void ServeAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  std::string StateJson(TimePoint aNow) const;
  std::string DecisionsJson() const;
  std::vector<Gauge> Gauges(TimePoint aNow) const;

  const ProxySettings& settings_;
  TrafficContext& context_;
  Metrics& metrics_;
  std::string incarnationText_;
  uint64_t incarnation_;
  EventLoop loop_;
  std::unique_ptr<Platform> platform_;
  std::unique_ptr<HttpServer> admin_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<RecordRing> ring_;
  std::unique_ptr<PeerSender> sender_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<LeavingMarks> leaving_;
  std::unique_ptr<EvidenceExchange> exchange_;
  std::unique_ptr<EjectionPermits> permits_;
  std::unique_ptr<ClaimStore> claims_;
  std::unique_ptr<ConfigurationSync> sync_;
  std::unique_ptr<RecordUploader> uploader_;
  std::unique_ptr<HealthControl> health_;
  std::unique_ptr<HealthReader> healthReader_;
  std::unique_ptr<EventLoop::Timer> tick_;
  std::thread thread_;
  std::shared_ptr<const Configuration> configuration_;
  ConfigurationReport parsed_; ///< Last body that was validated.
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<LoadTable> load_;
  FailureDomainHandle localDomain_;
  bool isShuttingDown_ = false;
  TimePoint lastSlowTick_{};
};

} // namespace bg
