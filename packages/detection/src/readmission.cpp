#include <algorithm>

#include "boragegauge/detection.h"

namespace bg::detection {

void ReadmissionState::StartBackoff(const ReadmissionInit& aInit, TimePoint aNow)
{
  backoff_ = std::clamp(backoff_ * 2, aInit.minBackoff, aInit.maxBackoff);
  nextTrialAt_ = aNow + backoff_;
  consecutiveSuccesses_ = 0;
  isTrialRunning_ = false;
}

void ReadmissionState::OnVerdict(const ReadmissionInit& aInit, TimePoint aNow)
{
  if (isExcluded_) {
    return;
  }
  if (aNow - readmittedAt_ >= aInit.healthyReset) {
    backoff_ = Milliseconds(0);
  }
  isExcluded_ = true;
  excludedSince_ = aNow;
  StartBackoff(aInit, aNow);
}

void ReadmissionState::Revoke()
{
  isExcluded_ = false;
  isTrialRunning_ = false;
  consecutiveSuccesses_ = 0;
  backoff_ = Milliseconds(0);
}

bool ReadmissionState::StartTrial(const ReadmissionInit& aInit, TimePoint aNow)
{
  if (!isExcluded_ || aNow < nextTrialAt_) {
    return false;
  }
  // Only one trial runs at a time, so that an upstream that still fails costs one request per
  // back-off.
  isTrialRunning_ = true;
  nextTrialAt_ = aNow + aInit.trialTimeout;
  return true;
}

bool ReadmissionState::ObserveTrial(const ReadmissionInit& aInit,
                                    OutcomeClass aOutcome,
                                    TimePoint aNow)
{
  if (!isExcluded_ || !isTrialRunning_) {
    return false;
  }
  isTrialRunning_ = false;
  nextTrialAt_ = aNow;
  if (aOutcome == OutcomeClass::Neutral) {
    return false;
  }
  if (aOutcome != OutcomeClass::Good) {
    StartBackoff(aInit, aNow);
    return false;
  }
  if (++consecutiveSuccesses_ < aInit.trialsNeeded) {
    return false;
  }
  isExcluded_ = false;
  consecutiveSuccesses_ = 0;
  readmittedAt_ = aNow;
  return true;
}

} // namespace bg::detection
