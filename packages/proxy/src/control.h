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

/// Control thread of a proxy. Owns the coordination and health state, serves the admin endpoints
/// and publishes routing snapshots.
class ControlThread
{
public:
  ControlThread(const ProxySettings& aSettings, TrafficContext& aContext, Metrics& aMetrics);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Binds the admin and peer addresses and sets the hooks of the traffic context.
  Result<ProxyPorts> Bind();
  void Start();

  /// Makes /readyz fail, so that the balancer sends no new requests. Callable from any thread.
  void BeginShutdown();
  /// Uploads pending decision records, waiting at most aUploadTimeout, and ends the thread.
  void Stop(Duration aUploadTimeout);

private:
  void CreateCoordination();
  ControlHooks CreateHooks();

  void Tick();
  void OnPeerMessage(std::string_view aBytes);
  void ApplyConfiguration(uint64_t aRevision, const std::string& aDigest, const std::string& aBody);
  void PublishSnapshot(TimePoint aNow);
  std::string AddRecord(DecisionRecord aRecord);
  void RecordRefusal(RefusalEvent aEvent);
  std::map<std::string, uint32_t> CountLiveProxiesPerDomain(TimePoint aNow) const;
  bool IsReady(TimePoint aNow) const;
  Heartbeat CreateHeartbeat() const;
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
  std::unique_ptr<HttpServer> adminServer_;
  std::unique_ptr<PeerTransport> peerTransport_;
  std::unique_ptr<RecordRing> recordRing_;
  std::unique_ptr<PeerSender> peerSender_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<LeavingMarks> leavingMarks_;
  std::unique_ptr<EvidenceExchange> evidenceExchange_;
  std::unique_ptr<EjectionPermits> ejectionPermits_;
  std::unique_ptr<ClaimStore> claimStore_;
  std::unique_ptr<ConfigurationSync> configurationSync_;
  std::unique_ptr<RecordUploader> recordUploader_;
  std::unique_ptr<HealthControl> healthControl_;
  std::unique_ptr<HealthReader> healthReader_;
  std::unique_ptr<EventLoop::Timer> tickTimer_;
  std::thread thread_;
  std::shared_ptr<const Configuration> configuration_;
  ConfigurationReport lastValidated_; ///< Parsed form of the body that was last validated.
  std::shared_ptr<const RouteTable> routeTable_;
  std::shared_ptr<LoadTable> loadTable_;
  FailureDomainHandle localDomain_;
  bool isShuttingDown_ = false;
  TimePoint lastCoordinationTick_{};
};

} // namespace bg
