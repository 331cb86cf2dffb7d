#include "load_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "boragegauge/placement.h"

namespace bg::placement::model {

namespace {

/// Upstreams that one request is sent to at most.
constexpr uint32_t kMaxAttempts = 2;
constexpr double kRetryRatio = 0.2;
constexpr double kRetrySlack = 64;
constexpr Milliseconds kTick{ 50 };
/// Latencies under it cannot be told from a failure at once.
constexpr Milliseconds kFailTime{ 1 };

struct Request
{
  size_t host = 0;
  bool idempotent = false;
  TimePoint receivedAt;
  TimePoint deadline;
  double workMs = 0;
  uint32_t attempts = 0;
  std::vector<std::string> tried;
  bool isDone = false;
};

using RequestPtr = std::shared_ptr<Request>;

struct Running
{
  uint64_t lease;
  RequestPtr request;
  TimePoint sentAt;
};

struct Upstream
{
  std::string id;
  std::string domain;
  bool hasSpells = false;
  double phase = 0;
  uint32_t busy = 0;
  std::deque<Running> queue;
};

class Simulation
{
public:
  Simulation(const Load& aLoad, Policy aPolicy)
    : load_(aLoad)
    , policy_(aPolicy)
    , random_(aLoad.seed)
    , retries_({ kRetryRatio, kRetrySlack, std::chrono::seconds(10) })
    , allocator_({ [this](const Grant& aGrant) { OnGrant(aGrant); },
                   [this](const Refusal& aRefusal) { OnRefusal(aRefusal); },
                   { kRetryRatio, kRetrySlack, std::chrono::seconds(10) },
                   aLoad.seed })
  {
    std::vector<UpstreamSlots> slots;
    for (size_t i = 0; i < load_.upstreams; ++i) {
      Upstream upstream;
      upstream.id = "u" + std::to_string(100 + i);
      upstream.domain = "d" + std::to_string(i % 4);
      upstream.hasSpells = double(i) < load_.spells.upstreamShare * double(load_.upstreams);
      upstream.phase = Uniform() * load_.spells.everySeconds;
      slots.push_back({ upstream.id, upstream.domain, load_.slots });
      upstreams_.push_back(std::move(upstream));
    }
    allocator_.SetUpstreams(slots, now_);
    ownCounts_.assign(load_.hosts, std::vector<uint32_t>(load_.upstreams, 0));
    ownSuspectUntil_.assign(load_.hosts, std::vector<TimePoint>(load_.upstreams));
    for (size_t i = 0; i < load_.hosts; ++i) {
      // Callers are spread unevenly.
      hostWeights_.push_back(0.4 + 1.2 * Uniform());
    }
  }

  LoadResult Run()
  {
    const TimePoint end =
      now_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(load_.seconds));
    At(now_, [this, end] { Arrive(end); });
    if (policy_ == Policy::Allocator) {
      At(now_, [this, end] { Tick(end); });
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return result_;
  }

private:
  struct Event
  {
    TimePoint at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, ++order_, std::move(aAction) });
  }

  void After(Duration aDelay, std::function<void()> aAction)
  {
    At(now_ + aDelay, std::move(aAction));
  }

  void Tick(TimePoint aEnd)
  {
    allocator_.Tick(now_);
    if (now_ < aEnd + std::chrono::seconds(5)) {
      After(kTick, [this, aEnd] { Tick(aEnd); });
    }
  }

  void Arrive(TimePoint aEnd)
  {
    auto request = std::make_shared<Request>();
    request->host =
      std::discrete_distribution<size_t>(hostWeights_.begin(), hostWeights_.end())(random_);
    request->idempotent = Uniform() < load_.idempotentShare;
    request->receivedAt = now_;
    request->deadline = now_ + load_.deadline;
    std::lognormal_distribution<double> work(
      std::log(load_.workMs) - load_.workSpread * load_.workSpread / 2, load_.workSpread);
    request->workMs = work(random_) * (Uniform() < load_.tailShare ? 3 : 1);
    ++ClassOf(*request).asked;
    retries_.OnRequest(now_);
    Place(request);
    const auto wait = std::chrono::duration<double>(
      std::exponential_distribution<double>(load_.requestsPerSecond)(random_));
    if (now_ < aEnd) {
      After(std::chrono::duration_cast<Duration>(wait), [this, aEnd] { Arrive(aEnd); });
    }
  }

  ClassResult& ClassOf(const Request& aRequest)
  {
    return aRequest.idempotent ? result_.idempotent : result_.other;
  }

  void Place(const RequestPtr& aRequest)
  {
    if (policy_ != Policy::Allocator) {
      return Send(aRequest, PickUnaided(*aRequest), 0);
    }
    const uint64_t lease = ++lastLease_;
    byLease_[lease] = aRequest;
    After(load_.messageDelay, [this, aRequest, lease] {
      SlotRequest slot;
      slot.lease = { aRequest->host, lease };
      slot.failureDomain = "d" + std::to_string(aRequest->host % 4);
      slot.idempotent = aRequest->idempotent;
      slot.priority = aRequest->idempotent ? 2 : 1;
      slot.receivedAt = aRequest->receivedAt;
      slot.targetBy = aRequest->receivedAt + load_.aim;
      slot.deadline = aRequest->deadline;
      slot.isRetry = aRequest->attempts > 0;
      slot.exclude = aRequest->tried;
      allocator_.Request(slot, now_);
    });
  }

  void OnGrant(const Grant& aGrant)
  {
    const uint64_t lease = aGrant.lease.sequence;
    const size_t index = IndexOf(aGrant.upstream);
    After(load_.messageDelay, [this, lease, index] { Send(byLease_[lease], index, lease); });
  }

  void OnRefusal(const Refusal& aRefusal)
  {
    Finish(byLease_[aRefusal.lease.sequence], [](ClassResult& aClass) { ++aClass.refused; });
  }

  size_t IndexOf(const std::string& aId) const
  {
    return static_cast<size_t>(std::stoul(aId.substr(1)) - 100);
  }

  size_t PickUnaided(const Request& aRequest)
  {
    const auto any = [this] {
      return std::uniform_int_distribution<size_t>(0, load_.upstreams - 1)(random_);
    };
    const auto isBad = [&](size_t aIndex) {
      const bool isTried =
        std::find(aRequest.tried.begin(), aRequest.tried.end(), upstreams_[aIndex].id) !=
        aRequest.tried.end();
      return isTried || ownSuspectUntil_[aRequest.host][aIndex] > now_;
    };
    const size_t first = any();
    if (policy_ == Policy::RandomPick) {
      return first;
    }
    const size_t second = any();
    if (isBad(first) != isBad(second)) {
      return isBad(first) ? second : first;
    }
    const auto& counts = ownCounts_[aRequest.host];
    return counts[second] < counts[first] ? second : first;
  }

  bool IsInSpell(const Upstream& aUpstream) const
  {
    if (!aUpstream.hasSpells) {
      return false;
    }
    const double time =
      std::chrono::duration<double>(now_.time_since_epoch()).count() + aUpstream.phase;
    return std::fmod(time, load_.spells.everySeconds) < load_.spells.forSeconds;
  }

  void Send(const RequestPtr& aRequest, size_t aIndex, uint64_t aLease)
  {
    if (aRequest->isDone) {
      return;
    }
    ++aRequest->attempts;
    result_.repeats += aRequest->attempts > 1 ? 1 : 0;
    Upstream& upstream = upstreams_[aIndex];
    ++ownCounts_[aRequest->host][aIndex];
    const Running running{ aLease, aRequest, now_ };
    if (IsInSpell(upstream) && Uniform() < load_.spells.refuseShare) {
      return After(kFailTime, [this, running, aIndex] { End(running, aIndex, Outcome::Refused); });
    }
    if (upstream.busy < load_.slots) {
      return Start(running, aIndex);
    }
    ++result_.overbooked;
    if (upstream.queue.size() >= load_.upstreamQueue) {
      return After(kFailTime, [this, running, aIndex] { End(running, aIndex, Outcome::Refused); });
    }
    upstream.queue.push_back(running);
  }

  void Start(const Running& aRunning, size_t aIndex)
  {
    Upstream& upstream = upstreams_[aIndex];
    ++upstream.busy;
    const bool isInSpell = IsInSpell(upstream);
    const bool fails = Uniform() < (isInSpell ? load_.spells.failShare : load_.errorShare);
    const double slow = isInSpell ? load_.spells.slowFactor : 1;
    const Duration work =
      fails ? Duration(kFailTime)
            : std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(aRunning.request->workMs * slow));
    const Outcome outcome = fails ? Outcome::Failed : Outcome::Good;
    After(work, [this, aRunning, aIndex, outcome] {
      Upstream& ended = upstreams_[aIndex];
      --ended.busy;
      if (!ended.queue.empty()) {
        const Running next = std::move(ended.queue.front());
        ended.queue.pop_front();
        Start(next, aIndex);
      }
      End(aRunning, aIndex, outcome);
    });
  }

  void End(const Running& aRunning, size_t aIndex, Outcome aOutcome)
  {
    const RequestPtr& request = aRunning.request;
    --ownCounts_[request->host][aIndex];
    const bool isLate = now_ > request->deadline;
    const Outcome seen = isLate ? Outcome::TimedOut : aOutcome;
    if (policy_ == Policy::Allocator) {
      const Duration latency = now_ - aRunning.sentAt;
      After(load_.messageDelay, [this, aRunning, seen, latency] {
        allocator_.Release({ aRunning.request->host, aRunning.lease }, seen, latency, now_);
      });
    } else if (seen != Outcome::Good) {
      ownSuspectUntil_[request->host][aIndex] = now_ + std::chrono::seconds(1);
    }
    if (isLate) {
      return Finish(request, [](ClassResult& aClass) { ++aClass.failed; });
    }
    if (aOutcome == Outcome::Good) {
      const bool inAim = now_ - request->receivedAt <= load_.aim;
      return Finish(request,
                    [inAim](ClassResult& aClass) { ++(inAim ? aClass.inAim : aClass.late); });
    }
    request->tried.push_back(upstreams_[aIndex].id);
    const bool mayRepeat = request->idempotent || aOutcome == Outcome::Refused;
    const bool isAllowed = policy_ == Policy::Allocator || retries_.TryTake(1, now_);
    if (mayRepeat && request->attempts < kMaxAttempts && isAllowed) {
      return Place(request);
    }
    Finish(request, [aOutcome](ClassResult& aClass) {
      ++(aOutcome == Outcome::Refused ? aClass.refused : aClass.failed);
    });
  }

  void Finish(const RequestPtr& aRequest, const std::function<void(ClassResult&)>& aCount)
  {
    if (!std::exchange(aRequest->isDone, true)) {
      aCount(ClassOf(*aRequest));
    }
  }

  Load load_;
  Policy policy_;
  std::mt19937_64 random_;
  RetryWindow retries_;
  SlotAllocator allocator_;
  std::vector<Upstream> upstreams_;
  std::vector<std::vector<uint32_t>> ownCounts_;
  std::vector<std::vector<TimePoint>> ownSuspectUntil_;
  std::vector<double> hostWeights_;
  std::map<uint64_t, RequestPtr> byLease_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  uint64_t lastLease_ = 0;
  TimePoint now_{ std::chrono::hours(1) };
  LoadResult result_;
};

} // namespace

std::string_view ToString(Policy aPolicy)
{
  static constexpr std::string_view kNames[] = { "allocator", "own_counts", "random" };
  return aPolicy < Policy::Count ? kNames[static_cast<size_t>(aPolicy)] : "unknown";
}

ClassResult LoadResult::Total() const
{
  return { idempotent.asked + other.asked,
           idempotent.inAim + other.inAim,
           idempotent.late + other.late,
           idempotent.refused + other.refused,
           idempotent.failed + other.failed };
}

LoadResult Play(const Load& aLoad, Policy aPolicy)
{
  return Simulation(aLoad, aPolicy).Run();
}

} // namespace bg::placement::model
