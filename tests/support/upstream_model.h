#pragma once

#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "content.h"
#include "http_server.h"

namespace bg::support {

struct UpstreamSettings
{
  std::string id;
  uint16_t port = 0;
  size_t slots = 3;
  size_t queueLimit = 0;
  double serviceMs = 5;
  double sigma = 0.5; ///< Of the logarithm of the service time.
  int64_t coldMs = 0;
  double coldFactor = 5; ///< 0: requests are refused while cold.
  int64_t adminLagMs = 500;
  int64_t drainLingerMs = 500; ///< A drained upstream refuses work for at least this long.
  uint64_t seed = 1;
};

/// Gray faults. Those about responses apply to the requests selected by header and fraction.
struct UpstreamFaults
{
  std::string matchHeader; ///< Empty: all requests.
  std::string matchPrefix;
  double fraction = 1; ///< Share of the matching requests.
  bool fail = false;   ///< Answer 500 to real work.
  double slowFactor = 1;
  int64_t flapPeriodMs = 0; ///< Faults are on in every second period.
  std::string truncate;     ///< "length" or "chunked".
  bool resetAfterAnswer = false;
  bool stall = false; ///< Work never ends.
  bool unhealthy = false;
  int64_t silentConnectionAgeMs = 0; ///< Older connections get no response.
};

/// Applies a control body to the upstreams with this id ("*": all); returns their number.
using ControlHandler = std::function<size_t(const std::string&, const nlohmann::json&)>;

/// One simulated upstream on its own port.
class Upstream
{
public:
  Upstream(EventLoop& aLoop,
           UpstreamSettings aSettings,
           HistoryFile& aHistory,
           ControlHandler aControl);

  const std::string& Id() const { return settings_.id; }
  const std::string& BootId() const { return bootId_; }
  uint16_t Port() const { return settings_.port; }

  /// Changes faults or settings; unknown fields are ignored.
  void Control(const nlohmann::json& aBody);
  /// Refuses new work, finishes what is in flight and calls back once.
  void Drain(std::function<void()> aDone);
  void Restart(Duration aDownTime);

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  /// One request that holds a slot.
  struct Work
  {
    ExchangePtr exchange;
    std::unique_ptr<EventLoop::Timer> timer;
    bool faulty = false;
  };
  using WorkPtr = std::shared_ptr<Work>;

  /// A request that waits for a slot.
  struct Waiting
  {
    ExchangePtr exchange;
    TimePoint deadline;
  };

  /// What the lagging health and load endpoints show.
  struct AdminView
  {
    TimePoint at;
    std::string status;
    size_t busy = 0;
  };

  void Boot();
  void Listen();
  void Stop(const char* aReason);
  void Handle(const ExchangePtr& aExchange);
  void HandleControl(const ExchangePtr& aExchange);
  void HandleWork(const ExchangePtr& aExchange);
  bool HandleAdmin(const ExchangePtr& aExchange);
  const char* RefusalReason(const HttpRequest& aRequest) const;
  void Refuse(const ExchangePtr& aExchange, const std::string& aReason);
  void Enqueue(const ExchangePtr& aExchange);
  void Begin(const ExchangePtr& aExchange);
  void End(const WorkPtr& aWork);
  void Answer(const WorkPtr& aWork);
  void AnswerTruncated(HttpExchange& aExchange, HttpResponse aResponse);
  void Release(const WorkPtr& aWork);
  void CheckDrained();
  bool IsCold() const;
  bool FaultsOn() const;
  bool Selected(const HttpRequest& aRequest);
  Duration ServiceTime(bool aFaulty);
  HttpResponse EchoResponse(const HttpRequest& aRequest) const;
  void AddStandardHeaders(HttpResponse& aResponse) const;
  std::string Status() const;
  void UpdateAdminView();
  void Record(const char* aEvent, const HttpRequest* aRequest, const std::string& aReason = "");

  EventLoop& loop_;
  UpstreamSettings settings_;
  HistoryFile& history_;
  ControlHandler control_;
  UpstreamFaults faults_;
  std::mt19937_64 random_;
  std::unique_ptr<HttpServer> server_;
  std::string bootId_;
  TimePoint bootedAt_;
  TimePoint drainedAt_;
  TimePoint faultsSince_;
  bool draining_ = false;
  bool stopped_ = false;
  std::function<void()> drained_;
  std::set<WorkPtr> working_;
  std::deque<Waiting> waiting_;
  std::deque<AdminView> views_;
  std::unique_ptr<EventLoop::Timer> adminTimer_;
  std::unique_ptr<EventLoop::Timer> restartTimer_;
  std::unique_ptr<EventLoop::Timer> drainTimer_;
};

} // namespace bg::support
