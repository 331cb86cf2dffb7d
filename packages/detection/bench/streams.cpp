#include "streams.h"

#include <cmath>
#include <queue>
#include <random>

#include <pcg_random.hpp>

namespace bg::detection::measure {

namespace {

constexpr uint16_t kFaulty = 0;
constexpr double kSharedSlowDown = 5;
constexpr double kTenTimes = 10;
constexpr double kFlapSeconds = 20;
constexpr double kShedShare = 0.6;
constexpr double kSilentShare = 0.3;
constexpr Milliseconds kTick{ 5 };
// Keeps the start away from the default TimePoint, which means "never".
constexpr std::chrono::hours kStart{ 1 };

struct PendingOutcome
{
  TimePoint at;
  Duration latency;
  uint16_t proxy;
  uint16_t upstream;
  OutcomeClass outcome;
  bool trial;

  friend bool operator>(const PendingOutcome& aLeft, const PendingOutcome& aRight)
  {
    return aLeft.at > aRight.at;
  }
};

/// What one request meets.
struct Answer
{
  double latencyMs = 0;
  bool fails = false;
  bool neutral = false;
  bool lost = false;
};

class Stream
{
public:
  Stream(const StreamInit& aInit, const PolicySpec& aPolicy, uint64_t aSeed)
    : init_(aInit)
    , random_(aSeed)
    , logMedian_(std::log(aInit.serviceMs) - aInit.sigma * aInit.sigma / 2)
    , perSecond_(aInit.load * aInit.fleet.upstreams * aInit.slots / (aInit.serviceMs / 1000))
    , detected_(aInit.fleet.proxies, TimePoint::max())
    , policy_(MakePolicy(aInit.fleet, aPolicy, MakeHooks()))
  {
    start_ += std::chrono::duration_cast<Duration>(kStart);
    faultAt_ = start_ + Seconds(aInit.warmUpSeconds);
    end_ = faultAt_ + Seconds(aInit.runSeconds);
  }

  StreamResult Run();

private:
  static Duration Seconds(double aSeconds) { return Duration(std::llround(aSeconds * 1e9)); }
  double Uniform() { return std::ldexp(static_cast<double>(random_()), -32); }
  double SinceFault(TimePoint aNow) const
  {
    return std::chrono::duration<double>(aNow - faultAt_).count();
  }

  PolicyHooks MakeHooks();
  bool Affects(uint16_t aProxy) const;
  bool FaultActive(TimePoint aNow) const;
  bool IsJustified(const VerdictEvent& aEvent, TimePoint aNow) const;
  Answer AnswerOf(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow);
  void ApplyUpstreamFault(Answer& aAnswer);
  void Send(TimePoint aNow);
  uint16_t Choose(uint16_t aProxy, TimePoint aNow, bool& aTrial);
  void Push(const Answer& aAnswer,
            uint16_t aProxy,
            uint16_t aUpstream,
            TimePoint aNow,
            bool aTrial);
  void AdvanceTo(TimePoint aNow);
  void Deliver(const PendingOutcome& aOutcome);

  StreamInit init_;
  pcg32 random_;
  std::normal_distribution<double> normal_;
  double logMedian_;
  double perSecond_;
  TimePoint start_{};
  TimePoint faultAt_{};
  TimePoint end_{};
  TimePoint nextTick_{};
  std::vector<TimePoint> detected_;
  StreamResult result_;
  std::unique_ptr<Policy> policy_;
  std::priority_queue<PendingOutcome, std::vector<PendingOutcome>, std::greater<>> pending_;
};

PolicyHooks Stream::MakeHooks()
{
  PolicyHooks hooks;
  hooks.onExclusion = [this](const Exclusion& aExclusion, TimePoint aNow) {
    if (aExclusion.excluded && aExclusion.upstream == kFaulty && aNow >= faultAt_ &&
        detected_[aExclusion.proxy] == TimePoint::max()) {
      detected_[aExclusion.proxy] = aNow;
    }
  };
  hooks.onVerdict = [this](const VerdictEvent& aEvent, TimePoint aNow) {
    if (aNow >= faultAt_ && !IsJustified(aEvent, aNow)) {
      ++(aEvent.ejection ? result_.falseEjections : result_.falseAvoidances);
    }
  };
  return hooks;
}

bool Stream::Affects(uint16_t aProxy) const
{
  if (init_.fault == FaultKind::SlowForOneDomain) {
    return init_.fleet.DomainOf(aProxy) == 0;
  }
  if (init_.fault == FaultKind::OneWayLoss) {
    return (aProxy / init_.fleet.domains) % 4 == 0;
  }
  return IsUpstreamFault(init_.fault);
}

bool Stream::FaultActive(TimePoint aNow) const
{
  if (aNow < faultAt_ || init_.fault == FaultKind::None) {
    return false;
  }
  const double since = SinceFault(aNow);
  if (init_.fault == FaultKind::Flapping) {
    return std::fmod(since, 2 * kFlapSeconds) < kFlapSeconds;
  }
  if (IsUpstreamFault(init_.fault)) {
    return true;
  }
  return std::fmod(since, init_.episodeEvery) < init_.episodeSeconds;
}

bool Stream::IsJustified(const VerdictEvent& aEvent, TimePoint aNow) const
{
  if (!IsUpstreamFault(init_.fault) || aNow < faultAt_ || aEvent.upstream != kFaulty) {
    return false;
  }
  if (init_.fault == FaultKind::SlowForOneDomain) {
    return aEvent.domain == 0 || (aEvent.proxy != UINT16_MAX && Affects(aEvent.proxy));
  }
  return aEvent.proxy == UINT16_MAX || Affects(aEvent.proxy);
}

void Stream::ApplyUpstreamFault(Answer& aAnswer)
{
  switch (init_.fault) {
    case FaultKind::HalfFailing:
    case FaultKind::Flapping:
      aAnswer.fails = aAnswer.fails || Uniform() < 0.5;
      break;
    case FaultKind::TenTimesSlower:
      // Its slots hold a tenth of their former throughput; the rest is shed.
      aAnswer.neutral = Uniform() > 1 / (kTenTimes * init_.load);
      aAnswer.latencyMs *= kTenTimes;
      break;
    case FaultKind::SlowForOneDomain:
      aAnswer.latencyMs *= kTenTimes;
      break;
    case FaultKind::OneWayLoss:
      aAnswer.lost = true;
      break;
    default:
      break;
  }
}

Answer Stream::AnswerOf(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow)
{
  Answer answer;
  answer.latencyMs = std::exp(logMedian_ + init_.sigma * normal_(random_));
  answer.fails = Uniform() < init_.failureRate;
  if (!FaultActive(aNow)) {
    return answer;
  }
  if (IsUpstreamFault(init_.fault)) {
    if (aUpstream == kFaulty && Affects(aProxy)) {
      ApplyUpstreamFault(answer);
    }
  } else if (init_.fault == FaultKind::SharedSlowDown) {
    answer.latencyMs *= kSharedSlowDown;
  } else if (init_.fault == FaultKind::ShedBurst) {
    answer.neutral = Uniform() < kShedShare;
    answer.latencyMs *= 2;
  } else if (init_.fault == FaultKind::SilentConnections) {
    answer.neutral = aUpstream == kFaulty && Uniform() < kSilentShare;
  }
  return answer;
}

uint16_t Stream::Choose(uint16_t aProxy, TimePoint aNow, bool& aTrial)
{
  const uint16_t excluded = policy_->ExcludedCount(aProxy);
  const uint16_t upstreams = init_.fleet.upstreams;
  if (excluded == 0 || excluded == upstreams) {
    return static_cast<uint16_t>(random_(upstreams));
  }
  for (uint16_t u = 0; u < upstreams; ++u) {
    if (policy_->Excluded(aProxy, u) && policy_->StartTrial(aProxy, u, aNow)) {
      aTrial = true;
      return u;
    }
  }
  for (;;) {
    const auto upstream = static_cast<uint16_t>(random_(upstreams));
    if (!policy_->Excluded(aProxy, upstream)) {
      return upstream;
    }
  }
}

void Stream::Send(TimePoint aNow)
{
  const auto proxy = static_cast<uint16_t>(random_(init_.fleet.proxies));
  bool trial = false;
  const uint16_t upstream = Choose(proxy, aNow, trial);
  const Answer answer = AnswerOf(proxy, upstream, aNow);
  ++result_.requests;
  if (aNow >= faultAt_ && upstream == kFaulty && Affects(proxy) && FaultActive(aNow)) {
    ++result_.sent;
  }
  Push(answer, proxy, upstream, aNow, trial);
  if (answer.neutral && init_.fault == FaultKind::SilentConnections) {
    // The retry on a fresh connection.
    Push({ .latencyMs = answer.latencyMs, .fails = answer.fails }, proxy, upstream, aNow, trial);
  }
}

void Stream::Push(const Answer& aAnswer,
                  uint16_t aProxy,
                  uint16_t aUpstream,
                  TimePoint aNow,
                  bool aTrial)
{
  const Duration slowLimit = policy_->SlowLimit(aProxy);
  Duration latency = Seconds((aAnswer.lost ? init_.timeoutMs : aAnswer.latencyMs) / 1000);
  auto outcome = aAnswer.fails || aAnswer.lost ? OutcomeClass::Failed : OutcomeClass::Good;
  if (aAnswer.neutral) {
    outcome = OutcomeClass::Neutral;
  } else if (latency > slowLimit) {
    outcome = OutcomeClass::Slow;
    latency = slowLimit;
  }
  const bool bad = outcome == OutcomeClass::Failed || outcome == OutcomeClass::Slow;
  if (bad && aNow >= faultAt_ && aUpstream == kFaulty && Affects(aProxy) && FaultActive(aNow)) {
    ++result_.wasted;
  }
  pending_.push({ aNow + latency, latency, aProxy, aUpstream, outcome, aTrial });
}

void Stream::Deliver(const PendingOutcome& aOutcome)
{
  if (aOutcome.trial) {
    policy_->ObserveTrial(aOutcome.upstream, aOutcome.outcome, aOutcome.at);
  }
  policy_->Observe(
    aOutcome.proxy, aOutcome.upstream, aOutcome.outcome, aOutcome.latency, aOutcome.at);
}

void Stream::AdvanceTo(TimePoint aNow)
{
  for (;;) {
    const TimePoint outcomeAt = pending_.empty() ? TimePoint::max() : pending_.top().at;
    if (std::min(outcomeAt, nextTick_) > aNow) {
      return;
    }
    if (nextTick_ <= outcomeAt) {
      policy_->Tick(nextTick_);
      nextTick_ += kTick;
    } else {
      const PendingOutcome outcome = pending_.top();
      pending_.pop();
      Deliver(outcome);
    }
  }
}

StreamResult Stream::Run()
{
  nextTick_ = start_;
  for (TimePoint now = start_; now < end_;) {
    AdvanceTo(now);
    Send(now);
    now += Seconds(-std::log(1 - Uniform()) / perSecond_);
  }
  AdvanceTo(end_);
  for (uint16_t p = 0; p < init_.fleet.proxies; ++p) {
    if (!Affects(p)) {
      continue;
    }
    const bool detected = detected_[p] != TimePoint::max();
    result_.missed += detected ? 0 : 1;
    result_.detectionMs.push_back(1000 * SinceFault(detected ? detected_[p] : end_));
  }
  result_.hours = init_.runSeconds / 3600;
  return result_;
}

} // namespace

std::string_view ToString(FaultKind aFault)
{
  static constexpr std::array<std::string_view, static_cast<size_t>(FaultKind::Count)> kNames = {
    "none",         "half_failing",     "ten_times_slower", "slow_for_one_domain", "flapping",
    "one_way_loss", "shared_slow_down", "shed_burst",       "silent_connections"
  };
  return kNames[static_cast<size_t>(aFault)];
}

bool IsUpstreamFault(FaultKind aFault)
{
  switch (aFault) {
    case FaultKind::HalfFailing:
    case FaultKind::TenTimesSlower:
    case FaultKind::SlowForOneDomain:
    case FaultKind::Flapping:
    case FaultKind::OneWayLoss:
      return true;
    default:
      return false;
  }
}

StreamResult RunStream(const StreamInit& aInit, const PolicySpec& aPolicy, uint64_t aSeed)
{
  return Stream(aInit, aPolicy, aSeed).Run();
}

} // namespace bg::detection::measure
