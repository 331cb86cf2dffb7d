#include "streams.h"

#include <cmath>
#include <queue>
#include <random>

#include <pcg_random.hpp>

namespace bg::detection::measure {

namespace {

constexpr uint16_t kFaultyUpstream = 0;
constexpr double kSharedSlowDownFactor = 5;
constexpr double kTenTimesSlowerFactor = 10;
constexpr double kFlapPhaseSeconds = 20;
constexpr double kShedShare = 0.6;
constexpr double kSilentConnectionShare = 0.3;
constexpr Milliseconds kTick{ 5 };
// The start must differ from the default TimePoint, which means "never".
constexpr std::chrono::hours kStart{ 1 };

struct PendingOutcome
{
  TimePoint at;
  Duration latency;
  uint16_t proxy;
  uint16_t upstream;
  OutcomeClass outcome;
  bool isTrial;

  friend bool operator>(const PendingOutcome& aLeft, const PendingOutcome& aRight)
  {
    return aLeft.at > aRight.at;
  }
};

/// Result of one request, before the proxy classifies it.
struct Response
{
  double latencyMs = 0;
  bool fails = false;
  bool neutral = false;
  bool lost = false; ///< No response arrives before the timeout.
};

class Stream
{
public:
  Stream(const StreamInit& aInit, const PolicySpec& aPolicy, uint64_t aSeed)
    : init_(aInit)
    , random_(aSeed)
    , logMedian_(std::log(aInit.serviceMs) - aInit.sigma * aInit.sigma / 2)
    , requestsPerSecond_(aInit.load * aInit.fleet.upstreams * aInit.slots /
                         (aInit.serviceMs / 1000))
    , detectedAt_(aInit.fleet.proxies, TimePoint::max())
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
  double SecondsSinceFault(TimePoint aNow) const
  {
    return std::chrono::duration<double>(aNow - faultAt_).count();
  }

  PolicyHooks MakeHooks();
  bool IsAffected(uint16_t aProxy) const;
  bool IsFaultActive(TimePoint aNow) const;
  bool IsJustified(const VerdictEvent& aEvent, TimePoint aNow) const;
  Response SimulateRequest(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow);
  void ApplyUpstreamFault(Response& aResponse);
  void SendRequest(TimePoint aNow);
  uint16_t SelectUpstream(uint16_t aProxy, TimePoint aNow, bool& aIsTrial);
  void ScheduleOutcome(const Response& aResponse,
                       uint16_t aProxy,
                       uint16_t aUpstream,
                       TimePoint aNow,
                       bool aIsTrial);
  void AdvanceTo(TimePoint aNow);
  void DeliverOutcome(const PendingOutcome& aOutcome);

  StreamInit init_;
  pcg32 random_;
  std::normal_distribution<double> normal_;
  double logMedian_;
  double requestsPerSecond_;
  TimePoint start_{};
  TimePoint faultAt_{};
  TimePoint end_{};
  TimePoint nextTick_{};
  std::vector<TimePoint> detectedAt_;
  StreamResult result_;
  std::unique_ptr<Policy> policy_;
  std::priority_queue<PendingOutcome, std::vector<PendingOutcome>, std::greater<>> pendingOutcomes_;
};

PolicyHooks Stream::MakeHooks()
{
  PolicyHooks hooks;
  hooks.onExclusion = [this](const Exclusion& aExclusion, TimePoint aNow) {
    if (aExclusion.excluded && aExclusion.upstream == kFaultyUpstream && aNow >= faultAt_ &&
        detectedAt_[aExclusion.proxy] == TimePoint::max()) {
      detectedAt_[aExclusion.proxy] = aNow;
    }
  };
  hooks.onVerdict = [this](const VerdictEvent& aEvent, TimePoint aNow) {
    if (aNow >= faultAt_ && !IsJustified(aEvent, aNow)) {
      ++(aEvent.ejection ? result_.falseEjections : result_.falseAvoidances);
    }
  };
  return hooks;
}

bool Stream::IsAffected(uint16_t aProxy) const
{
  if (init_.fault == FaultKind::SlowForOneDomain) {
    return init_.fleet.DomainOf(aProxy) == 0;
  }
  if (init_.fault == FaultKind::OneWayLoss) {
    return (aProxy / init_.fleet.domains) % 4 == 0;
  }
  return IsUpstreamFault(init_.fault);
}

bool Stream::IsFaultActive(TimePoint aNow) const
{
  if (aNow < faultAt_ || init_.fault == FaultKind::None) {
    return false;
  }
  const double sinceFault = SecondsSinceFault(aNow);
  if (init_.fault == FaultKind::Flapping) {
    return std::fmod(sinceFault, 2 * kFlapPhaseSeconds) < kFlapPhaseSeconds;
  }
  if (IsUpstreamFault(init_.fault)) {
    return true;
  }
  return std::fmod(sinceFault, init_.episodeEvery) < init_.episodeSeconds;
}

bool Stream::IsJustified(const VerdictEvent& aEvent, TimePoint aNow) const
{
  if (!IsUpstreamFault(init_.fault) || aNow < faultAt_ || aEvent.upstream != kFaultyUpstream) {
    return false;
  }
  if (init_.fault == FaultKind::SlowForOneDomain) {
    return aEvent.domain == 0 || (aEvent.proxy != UINT16_MAX && IsAffected(aEvent.proxy));
  }
  return aEvent.proxy == UINT16_MAX || IsAffected(aEvent.proxy);
}

void Stream::ApplyUpstreamFault(Response& aResponse)
{
  switch (init_.fault) {
    case FaultKind::HalfFailing:
    case FaultKind::Flapping:
      aResponse.fails = aResponse.fails || Uniform() < 0.5;
      break;
    case FaultKind::TenTimesSlower:
      // The slots now have a tenth of their throughput. The requests beyond it are shed.
      aResponse.neutral = Uniform() > 1 / (kTenTimesSlowerFactor * init_.load);
      aResponse.latencyMs *= kTenTimesSlowerFactor;
      break;
    case FaultKind::SlowForOneDomain:
      aResponse.latencyMs *= kTenTimesSlowerFactor;
      break;
    case FaultKind::OneWayLoss:
      aResponse.lost = true;
      break;
    default:
      break;
  }
}

Response Stream::SimulateRequest(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow)
{
  Response response;
  response.latencyMs = std::exp(logMedian_ + init_.sigma * normal_(random_));
  response.fails = Uniform() < init_.failureRate;
  if (!IsFaultActive(aNow)) {
    return response;
  }
  if (IsUpstreamFault(init_.fault)) {
    if (aUpstream == kFaultyUpstream && IsAffected(aProxy)) {
      ApplyUpstreamFault(response);
    }
  } else if (init_.fault == FaultKind::SharedSlowDown) {
    response.latencyMs *= kSharedSlowDownFactor;
  } else if (init_.fault == FaultKind::ShedBurst) {
    response.neutral = Uniform() < kShedShare;
    response.latencyMs *= 2;
  } else if (init_.fault == FaultKind::SilentConnections) {
    response.neutral = aUpstream == kFaultyUpstream && Uniform() < kSilentConnectionShare;
  }
  return response;
}

uint16_t Stream::SelectUpstream(uint16_t aProxy, TimePoint aNow, bool& aIsTrial)
{
  const uint16_t excluded = policy_->ExcludedCount(aProxy);
  const uint16_t upstreams = init_.fleet.upstreams;
  if (excluded == 0 || excluded == upstreams) {
    return static_cast<uint16_t>(random_(upstreams));
  }
  for (uint16_t u = 0; u < upstreams; ++u) {
    if (policy_->IsExcluded(aProxy, u) && policy_->StartTrial(aProxy, u, aNow)) {
      aIsTrial = true;
      return u;
    }
  }
  for (;;) {
    const auto upstream = static_cast<uint16_t>(random_(upstreams));
    if (!policy_->IsExcluded(aProxy, upstream)) {
      return upstream;
    }
  }
}

void Stream::SendRequest(TimePoint aNow)
{
  const auto proxy = static_cast<uint16_t>(random_(init_.fleet.proxies));
  bool isTrial = false;
  const uint16_t upstream = SelectUpstream(proxy, aNow, isTrial);
  const Response response = SimulateRequest(proxy, upstream, aNow);
  ++result_.requests;
  if (aNow >= faultAt_ && upstream == kFaultyUpstream && IsAffected(proxy) && IsFaultActive(aNow)) {
    ++result_.sent;
  }
  ScheduleOutcome(response, proxy, upstream, aNow, isTrial);
  if (response.neutral && init_.fault == FaultKind::SilentConnections) {
    // The proxy retries on a new connection.
    ScheduleOutcome(
      { .latencyMs = response.latencyMs, .fails = response.fails }, proxy, upstream, aNow, isTrial);
  }
}

void Stream::ScheduleOutcome(const Response& aResponse,
                             uint16_t aProxy,
                             uint16_t aUpstream,
                             TimePoint aNow,
                             bool aIsTrial)
{
  const Duration slowLimit = policy_->SlowLimit(aProxy);
  Duration latency = Seconds((aResponse.lost ? init_.timeoutMs : aResponse.latencyMs) / 1000);
  auto outcome = aResponse.fails || aResponse.lost ? OutcomeClass::Failed : OutcomeClass::Good;
  if (aResponse.neutral) {
    outcome = OutcomeClass::Neutral;
  } else if (latency > slowLimit) {
    outcome = OutcomeClass::Slow;
    latency = slowLimit;
  }
  const bool isBad = outcome == OutcomeClass::Failed || outcome == OutcomeClass::Slow;
  if (isBad && aNow >= faultAt_ && aUpstream == kFaultyUpstream && IsAffected(aProxy) &&
      IsFaultActive(aNow)) {
    ++result_.wasted;
  }
  pendingOutcomes_.push({ aNow + latency, latency, aProxy, aUpstream, outcome, aIsTrial });
}

void Stream::DeliverOutcome(const PendingOutcome& aOutcome)
{
  if (aOutcome.isTrial) {
    policy_->ObserveTrial(aOutcome.upstream, aOutcome.outcome, aOutcome.at);
  }
  policy_->Observe(
    aOutcome.proxy, aOutcome.upstream, aOutcome.outcome, aOutcome.latency, aOutcome.at);
}

void Stream::AdvanceTo(TimePoint aNow)
{
  for (;;) {
    const TimePoint outcomeAt =
      pendingOutcomes_.empty() ? TimePoint::max() : pendingOutcomes_.top().at;
    if (std::min(outcomeAt, nextTick_) > aNow) {
      return;
    }
    if (nextTick_ <= outcomeAt) {
      policy_->Tick(nextTick_);
      nextTick_ += kTick;
    } else {
      const PendingOutcome outcome = pendingOutcomes_.top();
      pendingOutcomes_.pop();
      DeliverOutcome(outcome);
    }
  }
}

StreamResult Stream::Run()
{
  nextTick_ = start_;
  for (TimePoint now = start_; now < end_;) {
    AdvanceTo(now);
    SendRequest(now);
    now += Seconds(-std::log(1 - Uniform()) / requestsPerSecond_);
  }
  AdvanceTo(end_);
  for (uint16_t p = 0; p < init_.fleet.proxies; ++p) {
    if (!IsAffected(p)) {
      continue;
    }
    const bool isDetected = detectedAt_[p] != TimePoint::max();
    result_.missed += isDetected ? 0 : 1;
    result_.detectionMs.push_back(1000 * SecondsSinceFault(isDetected ? detectedAt_[p] : end_));
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
