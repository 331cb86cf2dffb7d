#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "boragegauge/http_util.h"
#include "control_p.h"
#include "metrics_p.h"

namespace bg::fleet::detail {

class FleetSession;

/// One traffic thread: connections of callers and upstreams, and the requests between them.
class FleetTraffic
{
public:
  FleetTraffic(const FleetInit& aInit,
               FleetShared& aShared,
               FleetControl& aControl,
               FleetMetrics& aMetrics);
  ~FleetTraffic();
  FleetTraffic(const FleetTraffic&) = delete;
  FleetTraffic& operator=(const FleetTraffic&) = delete;

  std::optional<Error> Start();
  /// Responses close their connections from now on. Callable from any thread, like the next ones.
  void CloseAfterResponses();
  void StopAccepting();
  size_t Active() const { return active_.load(); }
  void Stop();

  // For sessions, on the thread of the loop.
  EventLoop& Loop() { return loop_; }
  UpstreamClient& Client() { return *client_; }
  FleetShared& Shared() { return shared_; }
  FleetControl& Control() { return control_; }
  FleetMetrics& Metrics() { return metrics_; }
  uint64_t NextSequence() { return ++sequence_; }
  uint64_t Random();
  /// The session is started when there is a current configuration, or after a while; it is refused
  /// then when there is none at all.
  void AwaitConfiguration(std::shared_ptr<FleetSession> aSession);
  /// Requests of this host avoid an upstream that it could not reach.
  void MarkUnreachable(const std::string& aUpstream, TimePoint aNow);
  std::vector<std::string> Unreachable(TimePoint aNow);
  void SessionStarted() { active_.fetch_add(1); }
  void SessionEnded() { active_.fetch_sub(1); }

private:
  void TakeConfiguration();
  void StartAwaiting();

  const FleetInit& init_;
  FleetShared& shared_;
  FleetControl& control_;
  FleetMetrics& metrics_;
  EventLoop loop_;
  std::vector<std::shared_ptr<FleetSession>> awaiting_; ///< For a configuration.
  std::unique_ptr<EventLoop::Timer> awaitingTimer_;
  std::unique_ptr<UpstreamClient> client_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
  std::atomic<size_t> active_{ 0 };
  uint64_t sequence_ = 0;
  uint64_t random_;
  std::map<std::string, TimePoint> unreachable_; ///< Until when.
};

/// One request of a caller from its arrival to its response. Keeps itself alive by shared ownership
/// while a callback is pending.
class FleetSession : public std::enable_shared_from_this<FleetSession>
{
public:
  static void Start(FleetTraffic& aTraffic,
                    HttpRequest aRequest,
                    std::shared_ptr<HttpReply> aReply);

  FleetSession(FleetTraffic& aTraffic, HttpRequest aRequest, std::shared_ptr<HttpReply> aReply);
  ~FleetSession();
  FleetSession(const FleetSession&) = delete;
  FleetSession& operator=(const FleetSession&) = delete;

  /// Serves the request by the configuration in force, or refuses it when there is none.
  void Serve();

private:
  bool Route();
  void AskForSlot();
  void OnSlot(uint64_t aSequence, SlotResult aResult);
  void Send();
  void OnResult(UpstreamResult aResult);
  void OnResponse(UpstreamResult aResult);
  void OnTransportFailure(const UpstreamResult& aResult);
  void OnUnreachable(const UpstreamResult& aResult);
  void OnRefused(placement::Outcome aOutcome);
  bool TryAgain(std::string_view aReason);
  void EndSlot(placement::Outcome aOutcome, std::string_view aDetail);
  void OnDeadline();
  void OnCallerGone();
  void Deliver(UpstreamResult aResult);
  void Fail(int aStatus, std::string_view aRule, std::string aDetail, Duration aRetryAfter);
  void Respond(HttpResponse aResponse, std::string_view aOutcome);
  bool IsIdempotent() const { return route_->idempotent; }

  FleetTraffic& traffic_;
  HttpRequest request_;
  std::shared_ptr<HttpReply> reply_;
  CallerMetadata caller_;
  std::shared_ptr<const HostRoutes> routes_; ///< Keeps the route alive.
  const FleetRoute* route_ = nullptr;
  std::string service_;
  TimePoint receivedAt_;
  TimePoint deadline_{};
  std::unique_ptr<EventLoop::Timer> deadlineTimer_;
  uint64_t sequence_ = 0; ///< Of the slot that is held or asked for; 0: none.
  uint64_t transfer_ = 0; ///< 0: none.
  TimePoint sentAt_{};
  RegisteredUpstream upstream_;
  std::vector<std::string> tried_;
  uint32_t attempts_ = 0;                   ///< Upstreams that the request was sent to.
  uint32_t unreachable_ = 0;                ///< Upstreams without a connection.
  std::optional<UpstreamResult> lastError_; ///< An upstream's own error, while a repeat is tried.
  bool mayHaveRun_ = false;
  bool isAnswered_ = false;
};

} // namespace bg::fleet::detail
