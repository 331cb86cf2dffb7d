#include <algorithm>
#include <cmath>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Limits of the backoff before a trial with an idempotent request. A failed trial costs a retry,
/// and failure bursts last several seconds.
constexpr Duration kMinBackoff = Milliseconds(300);
constexpr Duration kMaxBackoff = Milliseconds(1200);
/// While requests wait for slots, the backoff before a trial is divided by this.
constexpr int kQueuedBackoffDivisor = 4;
/// Limits of the backoff after a timeout. They are longer because a trial that times out makes its
/// caller wait for the whole timeout.
constexpr Duration kMinTimeoutBackoff = Milliseconds(800);
constexpr Duration kMaxTimeoutBackoff = std::chrono::seconds(6);
/// Backoff before a trial with a non-idempotent request, per consecutive failure. It is longer
/// because the request cannot be retried when the trial fails.
constexpr Duration kNonIdempotentBackoff = std::chrono::seconds(2);
/// The same while most slots are free. It exceeds the usual length of a failure burst.
constexpr Duration kSpareNonIdempotentBackoff = std::chrono::seconds(9);
/// Consecutive successful trials that clear the suspicion. One is not enough because a failing
/// upstream still serves some requests.
constexpr uint32_t kRequiredTrialSuccesses = 2;
/// Two connection failures within this time make the upstream a suspect. A single one may be due to
/// the network of one host.
constexpr Duration kUnreachableWindow = std::chrono::seconds(2);
/// An upstream that refused a request, because it is full or sheds load, gets none for this time.
constexpr Duration kRefusedPause = Milliseconds(40);
/// Time constant of the decay of the refused share since the last refusal.
constexpr double kRefusedDecaySeconds = 2;
/// Weight of the newest outcome in the refused share.
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
  suspectSince_ = isSuspect_ ? suspectSince_ : aNow;
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
      if (isSuspect_ && ++trialSuccesses_ < kRequiredTrialSuccesses && aIsTrial) {
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
        aNow - lastUnreachable_ < kUnreachableWindow ? unreachableReports_ + 1 : 1;
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

bool UpstreamHealth::IsTrialDue(bool aIsIdempotent, CapacityDemand aDemand, TimePoint aNow) const
{
  const Duration age = aNow - lastFailure_;
  if (!aIsIdempotent) {
    return aDemand == CapacityDemand::Spare
             ? age >= kSpareNonIdempotentBackoff
             : age >= kNonIdempotentBackoff * std::max(1U, consecutiveFailures_);
  }
  return age >= backoff_ / (aDemand == CapacityDemand::Waiting ? kQueuedBackoffDivisor : 1);
}

double UpstreamHealth::RefusedShare(TimePoint aNow) const
{
  const double age = std::chrono::duration<double>(aNow - lastRefused_).count();
  return refusedShare_ * std::exp(-age / kRefusedDecaySeconds);
}

} // namespace bg::placement
