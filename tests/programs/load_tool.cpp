// Open-loop and closed-loop load over HTTP keep-alive connections, with a history of all calls.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "content.h"
#include "load_model.h"

namespace {

using namespace bg;
using namespace bg::support;
using Json = nlohmann::json;

struct Options
{
  std::vector<std::string> proxies;
  std::string proxiesFile;
  std::string mix;
  std::string history;
  std::string prefix;
  double rate = 0; ///< Calls per second; 0: closed loop.
  size_t concurrency = 8;
  size_t connections = 64; ///< Per proxy.
  double durationS = 5;
  double warmupS = 0;
  int64_t retryDelayMs = 50;
  uint64_t seed = 1;
};

const char* ToText(ClientOutcome aOutcome)
{
  static constexpr const char* kNames[] = {
    "complete", "connect_failed", "broken", "truncated", "invalid"
  };
  return kNames[static_cast<size_t>(aOutcome)];
}

/// One proxy with its connections and the attempts that wait for one.
struct Target
{
  std::string name;
  std::string address;
  uint16_t port = 0;
  size_t open = 0;
  std::vector<std::shared_ptr<HttpConnection>> idle;
  std::deque<std::function<void()>> waiting;
};

struct Attempt
{
  Call call;
  std::string id;
  std::shared_ptr<Target> target;
  std::shared_ptr<HttpConnection> connection;
  std::unique_ptr<EventLoop::Timer> timer;
  int64_t startNs = 0;
  bool reused = false;
  const char* ended = nullptr; ///< "timeout" or "cancelled" when the tool closed the connection.
};

class LoadTool
{
public:
  LoadTool(EventLoop& aLoop, Options aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , kinds_(LoadMix(options_.mix))
    , history_(options_.history)
    , random_(options_.seed)
  {
    std::vector<double> weights;
    for (const CallKind& kind : kinds_) {
      weights.push_back(kind.weight);
    }
    kindChoice_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
    SetProxies(options_.proxies);
    ReloadProxies();
  }

  void Start()
  {
    startNs_ = MonotonicNs();
    nextArrivalNs_ = startNs_;
    const auto duration = std::chrono::duration<double>(options_.durationS);
    endTimer_ = loop_.RunAfter(std::chrono::duration_cast<Duration>(duration), [this] { Stop(); });
    reloadTimer_ = loop_.RunEvery(Milliseconds(50), [this] { ReloadProxies(); });
    if (options_.rate > 0) {
      ScheduleArrival();
      return;
    }
    for (size_t i = 0; i < options_.concurrency; ++i) {
      StartCall(MonotonicNs());
    }
  }

  /// Starts no more calls; ends when all calls in flight have ended.
  void Stop()
  {
    stopping_ = true;
    if (stoppedNs_ == 0) {
      stoppedNs_ = MonotonicNs();
    }
    EndWhenIdle();
  }

  Json Summary() const;

private:
  void SetProxies(const std::vector<std::string>& aProxies)
  {
    std::vector<std::shared_ptr<Target>> targets;
    for (const std::string& name : aProxies) {
      const auto known =
        std::find_if(targets_.begin(), targets_.end(), [&name](const auto& aTarget) {
          return aTarget->name == name;
        });
      if (known != targets_.end()) {
        targets.push_back(*known);
        continue;
      }
      const size_t colon = name.rfind(':');
      auto target = std::make_shared<Target>();
      target->name = name;
      target->address = name.substr(0, colon);
      target->port = static_cast<uint16_t>(std::stoi(name.substr(colon + 1)));
      targets.push_back(std::move(target));
    }
    targets_ = std::move(targets);
  }

  /// Follows a changing list, as a balancer would give it: a JSON array of "ip:port".
  void ReloadProxies()
  {
    std::error_code error;
    if (options_.proxiesFile.empty()) {
      return;
    }
    const auto time = std::filesystem::last_write_time(options_.proxiesFile, error);
    if (error || time == proxiesTime_) {
      return;
    }
    std::ifstream file(options_.proxiesFile);
    const Json list = Json::parse(file, nullptr, false);
    if (list.is_array() && !list.empty()) {
      proxiesTime_ = time;
      SetProxies(list.get<std::vector<std::string>>());
    }
  }

  void ScheduleArrival()
  {
    if (stopping_) {
      return;
    }
    const Duration wait(std::max<int64_t>(nextArrivalNs_ - MonotonicNs(), 0));
    arrivalTimer_ = loop_.RunAfter(wait, [this] {
      // Late arrivals keep their intended time, so that a stall of the tool shows as latency.
      const int64_t now = MonotonicNs();
      while (nextArrivalNs_ <= now && !stopping_) {
        StartCall(nextArrivalNs_);
        const double gap = std::exponential_distribution<>(options_.rate)(random_);
        nextArrivalNs_ += static_cast<int64_t>(gap * 1e9);
      }
      ScheduleArrival();
    });
  }

  void StartCall(int64_t aIntendedNs)
  {
    const CallKind& kind = kinds_[kindChoice_(random_)];
    Call call = MakeCall(kind, options_.prefix + '-' + std::to_string(++lastCall_), random_);
    call.intendedNs = aIntendedNs;
    ++inFlight_;
    StartAttempt(std::move(call));
  }

  void StartAttempt(Call aCall)
  {
    auto attempt = std::make_shared<Attempt>();
    attempt->target = targets_[random_() % targets_.size()];
    attempt->id = aCall.id + '.' + std::to_string(++aCall.attempt);
    attempt->call = std::move(aCall);
    attempt->startNs = MonotonicNs();
    Target& target = *attempt->target;
    if (target.idle.empty() && target.open >= options_.connections) {
      target.waiting.push_back([this, attempt] { Send(attempt); });
    } else {
      Send(attempt);
    }
  }

  std::shared_ptr<HttpConnection> TakeConnection(Target& aTarget)
  {
    while (!aTarget.idle.empty()) {
      auto connection = std::move(aTarget.idle.back());
      aTarget.idle.pop_back();
      if (connection->Usable()) {
        return connection;
      }
      --aTarget.open;
    }
    ++aTarget.open;
    return CreateHttpConnection(loop_, aTarget.address, aTarget.port);
  }

  void Send(const std::shared_ptr<Attempt>& aAttempt)
  {
    aAttempt->startNs = MonotonicNs();
    aAttempt->connection = TakeConnection(*aAttempt->target);
    aAttempt->reused = aAttempt->connection->Reused();
    const CallKind& kind = *aAttempt->call.kind;
    const bool cancels = kind.cancelMs > 0;
    aAttempt->timer = loop_.RunAfter(Milliseconds(cancels ? kind.cancelMs : kind.timeoutMs),
                                     [aAttempt = aAttempt.get(), cancels] {
                                       aAttempt->ended = cancels ? "cancelled" : "timeout";
                                       aAttempt->connection->Close();
                                     });
    aAttempt->connection->Send(
      RequestBytes(aAttempt->call, aAttempt->id),
      kind.method == "HEAD",
      [this, aAttempt](ClientResult aResult) { Complete(aAttempt, std::move(aResult)); });
  }

  void Complete(const std::shared_ptr<Attempt>& aAttempt, ClientResult aResult)
  {
    aAttempt->timer.reset();
    if (aAttempt->ended != nullptr && aResult.outcome != ClientOutcome::Complete) {
      aResult.outcome = ClientOutcome::Broken;
    }
    const int64_t endNs = MonotonicNs();
    const Verification verification = Verify(aAttempt->call, aResult);
    Record(*aAttempt, aResult, verification, endNs);
    ReturnConnection(*aAttempt);
    const CallKind& kind = *aAttempt->call.kind;
    const bool repeat =
      OutcomeUnknown(aResult, verification) || (kind.retryNotRun && verification.executed == "no");
    if (repeat && aAttempt->call.attempt <= kind.retries && aAttempt->ended != kCancelled) {
      RetryLater(std::move(aAttempt->call));
      return;
    }
    EndCall();
  }

  void ReturnConnection(Attempt& aAttempt)
  {
    Target& target = *aAttempt.target;
    const auto connection = std::move(aAttempt.connection);
    if (connection->Usable()) {
      target.idle.push_back(connection);
    } else {
      --target.open;
    }
    if (!target.waiting.empty()) {
      auto next = std::move(target.waiting.front());
      target.waiting.pop_front();
      next();
    }
  }

  void RetryLater(Call aCall)
  {
    const uint64_t id = ++lastTimer_;
    timers_[id] = loop_.RunAfter(Milliseconds(options_.retryDelayMs),
                                 [this, id, call = std::move(aCall)]() mutable {
                                   const auto timer = std::move(timers_[id]);
                                   timers_.erase(id);
                                   StartAttempt(std::move(call));
                                 });
  }

  void EndCall()
  {
    --inFlight_;
    if (options_.rate <= 0 && !stopping_) {
      StartCall(MonotonicNs());
    }
    EndWhenIdle();
  }

  void EndWhenIdle()
  {
    if (stopping_ && inFlight_ == 0) {
      loop_.Stop();
    }
  }

  void Record(const Attempt& aAttempt,
              const ClientResult& aResult,
              const Verification& aVerification,
              int64_t aEndNs);

  static constexpr const char* kCancelled = "cancelled";

  EventLoop& loop_;
  Options options_;
  std::vector<CallKind> kinds_;
  HistoryFile history_;
  std::mt19937_64 random_;
  std::discrete_distribution<size_t> kindChoice_;
  std::vector<std::shared_ptr<Target>> targets_;
  std::filesystem::file_time_type proxiesTime_{};
  std::unique_ptr<EventLoop::Timer> arrivalTimer_;
  std::unique_ptr<EventLoop::Timer> endTimer_;
  std::unique_ptr<EventLoop::Timer> reloadTimer_;
  std::map<uint64_t, std::unique_ptr<EventLoop::Timer>> timers_;
  uint64_t lastTimer_ = 0;
  uint64_t lastCall_ = 0;
  size_t inFlight_ = 0;
  bool stopping_ = false;
  int64_t startNs_ = 0;
  int64_t stoppedNs_ = 0;
  int64_t nextArrivalNs_ = 0;
  std::vector<double> latenciesMs_;
  std::map<std::string, uint64_t> statuses_;
  std::map<std::string, uint64_t> checks_;
  std::map<std::string, uint64_t> executed_;
  uint64_t attempts_ = 0;
  uint64_t measured_ = 0;
};

void LoadTool::Record(const Attempt& aAttempt,
                      const ClientResult& aResult,
                      const Verification& aVerification,
                      int64_t aEndNs)
{
  const Call& call = aAttempt.call;
  const char* outcome = aAttempt.ended != nullptr && aResult.outcome != ClientOutcome::Complete
                          ? aAttempt.ended
                          : ToText(aResult.outcome);
  ++attempts_;
  if (call.intendedNs >= startNs_ + static_cast<int64_t>(options_.warmupS * 1e9)) {
    ++measured_;
    ++statuses_[aResult.status != 0 ? std::to_string(aResult.status) : outcome];
    ++checks_[aVerification.check];
    ++executed_[aVerification.executed];
    if (aResult.outcome == ClientOutcome::Complete && aResult.status < 400) {
      latenciesMs_.push_back(static_cast<double>(aEndNs - call.intendedNs) / 1e6);
    }
  }
  if (options_.history.empty()) {
    return;
  }
  history_.Append(Json({ { "call_id", call.id },
                         { "attempt_id", aAttempt.id },
                         { "name", call.kind->name },
                         { "key", call.key },
                         { "account", call.account },
                         { "method", call.kind->method },
                         { "target", call.target },
                         { "proxy", aAttempt.target->name },
                         { "intended_ns", call.intendedNs },
                         { "start_ns", aAttempt.startNs },
                         { "end_ns", aEndNs },
                         { "outcome", outcome },
                         { "reused", aAttempt.reused },
                         { "status", aResult.status },
                         { "executed", aVerification.executed },
                         { "check", aVerification.check },
                         { "detail", aVerification.detail },
                         { "upstream", aVerification.upstream } })
                    .dump());
}

double Percentile(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(std::ceil(aShare * static_cast<double>(aSorted.size())));
  return aSorted[std::clamp<size_t>(rank, 1, aSorted.size()) - 1];
}

Json LoadTool::Summary() const
{
  std::vector<double> sorted = latenciesMs_;
  std::sort(sorted.begin(), sorted.end());
  const double seconds = static_cast<double>(stoppedNs_ - startNs_) / 1e9 - options_.warmupS;
  return { { "seed", options_.seed },
           { "calls", lastCall_ },
           { "attempts", attempts_ },
           { "seconds", seconds },
           { "rate", seconds > 0 ? static_cast<double>(measured_) / seconds : 0 },
           { "statuses", statuses_ },
           { "checks", checks_ },
           { "executed", executed_ },
           { "p50_ms", Percentile(sorted, 0.5) },
           { "p99_ms", Percentile(sorted, 0.99) },
           { "p999_ms", Percentile(sorted, 0.999) },
           { "max_ms", sorted.empty() ? 0 : sorted.back() } };
}

void AddOptions(CLI::App& aApp, Options& aOptions)
{
  aApp.add_option("--proxy", aOptions.proxies, "IP:PORT; may be repeated");
  aApp.add_option("--proxies", aOptions.proxiesFile, "JSON array of IP:PORT, followed on change");
  aApp.add_option("--mix", aOptions.mix, "JSON file with the mix of calls")->required();
  aApp.add_option("--history", aOptions.history, "File to which each attempt is appended");
  aApp.add_option("--prefix", aOptions.prefix, "Start of all call ids; default: random");
  aApp.add_option("--rate", aOptions.rate, "Calls per second (open loop); 0: closed loop");
  aApp.add_option("--concurrency", aOptions.concurrency, "Calls in flight of the closed loop");
  aApp.add_option("--connections", aOptions.connections, "Connections per proxy, at most");
  aApp.add_option("--duration-s", aOptions.durationS, "Seconds during which calls are started");
  aApp.add_option("--warmup-s", aOptions.warmupS, "Seconds that the summary leaves out");
  aApp.add_option("--retry-delay-ms", aOptions.retryDelayMs, "Pause before a repeat");
  aApp.add_option("--seed", aOptions.seed, "Seed of arrivals, mix and proxies");
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Load over HTTP keep-alive connections");
  Options options;
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  if (options.prefix.empty()) {
    options.prefix = RandomToken().substr(0, 8);
  }
  if (options.proxies.empty() && options.proxiesFile.empty()) {
    std::cerr << "load_tool: --proxy or --proxies is required\n";
    return 2;
  }
  try {
    EventLoop loop;
    LoadTool tool(loop, options);
    OnTerminate(loop, [&tool] { tool.Stop(); });
    tool.Start();
    loop.Run();
    std::cout << tool.Summary().dump() << std::endl;
  } catch (const std::exception& error) {
    std::cerr << "load_tool: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
