#include <algorithm>
#include <cmath>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Pause before a trial with an idempotent request, which costs a repeat when it fails. Spells of
/// failures last several seconds.
constexpr Duration kMinBackoff = Milliseconds(300);
constexpr Duration kMaxBackoff = Milliseconds(1200);
/// While requests wait for slots, trials start after this part of the pause.
constexpr int kShortSlotsDivisor = 4;
/// A trial that times out costs its caller the whole wait, so these are rarer.
constexpr Duration kMinTimeoutBackoff = Milliseconds(800);
constexpr Duration kMaxTimeoutBackoff = std::chrono::seconds(6);
/// Without idempotent requests a trial risks work that cannot be repeated.
constexpr Duration kUnsafeTrialFactor = std::chrono::seconds(2);
/// Successes in a row that end the suspicion: a failing upstream still answers some requests well.
constexpr uint32_t kTrialsNeeded = 2;
/// Two reports of no connection within this time are not the path of one host.
constexpr Duration kUnreachablePeriod = std::chrono::seconds(2);
/// A full or shedding upstream gets no further request for this time.
constexpr Duration kRefusedPause = Milliseconds(40);
/// Time constant with which the share of refused requests fades without new evidence.
constexpr double kRefusedFadeSeconds = 2;
/// Weight of the newest outcome in the share of refused requests.
constexpr double kRefusedWeight = 0.2;

} // namespace

std::string_view ToString(Outcome aOutcome)
{
  static constexpr std::string_view kNames[] = { "good",     "failed",      "timed_out",
                                                 "refused",  "unreachable", "misdirected",
                                                 "cancelled" };
  return aOutcome < Outcome::Count ? kNames[static_cast<size_t>(aOutcome)] : "unknown";
}

void UpstreamHealth::MarkSuspect(Duration aMinBackoff, Duration aMaxBackoff, TimePoint aNow)
{
  isSuspect_ = true;
  trialSuccesses_ = 0;
  backoff_ = std::clamp(backoff_ * 2, aMinBackoff, aMaxBackoff);
  lastFailure_ = aNow;
}

void UpstreamHealth::Observe(Outcome aOutcome, TimePoint aStartedAt, TimePoint aNow, bool aIsTrial)
{
  if (aOutcome != Outcome::Refused) {
    refusedShare_ *= 1 - kRefusedWeight;
  }
  switch (aOutcome) {
    case Outcome::Good:
      lastSuccess_ = aNow;
      if (isSuspect_ && aStartedAt < lastFailure_) {
        return;
      }
      unreachableReports_ = 0;
      if (isSuspect_ && ++trialSuccesses_ < kTrialsNeeded && aIsTrial) {
        return;
      }
      isSuspect_ = false;
      consecutiveFailures_ = 0;
      trialSuccesses_ = 0;
      backoff_ = Duration(0);
      return;
    case Outcome::Failed:
      ++consecutiveFailures_;
      return MarkSuspect(kMinBackoff, kMaxBackoff, aNow);
    case Outcome::TimedOut:
      ++consecutiveFailures_;
      return MarkSuspect(kMinTimeoutBackoff, kMaxTimeoutBackoff, aNow);
    case Outcome::Unreachable:
      unreachableReports_ =
        aNow - lastUnreachable_ < kUnreachablePeriod ? unreachableReports_ + 1 : 1;
      lastUnreachable_ = aNow;
      if (unreachableReports_ > 1) {
        MarkSuspect(kMinTimeoutBackoff, kMaxTimeoutBackoff, aNow);
      }
      return;
    case Outcome::Misdirected:
      consecutiveFailures_ += 1;
      return MarkSuspect(kMaxTimeoutBackoff, kMaxTimeoutBackoff, aNow);
    case Outcome::Refused:
      refusedShare_ = RefusedShare(aNow) * (1 - kRefusedWeight) + kRefusedWeight;
      lastRefused_ = aNow;
      pausedUntil_ = aNow + kRefusedPause;
      return;
    case Outcome::Cancelled:
    case Outcome::Count:
      return;
  }
}

void UpstreamHealth::SetSuspect(bool aIsSuspect, TimePoint aNow)
{
  if (aIsSuspect && !isSuspect_) {
    consecutiveFailures_ = 1;
    MarkSuspect(kMinBackoff, kMaxBackoff, aNow);
  } else if (!aIsSuspect && isSuspect_) {
    *this = UpstreamHealth();
    lastSuccess_ = aNow;
  }
}

bool UpstreamHealth::IsTrialDue(bool aIsIdempotent, bool aHasQueue, TimePoint aNow) const
{
  const Duration wait =
    aIsIdempotent
      ? backoff_ / (aHasQueue ? kShortSlotsDivisor : 1)
      : std::max<Duration>(kUnsafeTrialFactor, kUnsafeTrialFactor * consecutiveFailures_);
  return aNow - lastFailure_ >= wait;
}

double UpstreamHealth::RefusedShare(TimePoint aNow) const
{
  const double age = std::chrono::duration<double>(aNow - lastRefused_).count();
  return refusedShare_ * std::exp(-age / kRefusedFadeSeconds);
}

} // namespace bg::placement
