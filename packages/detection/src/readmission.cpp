#include <algorithm>

#include "boragegauge/detection.h"

namespace bg::detection {

void ReadmissionState::Extend(const ReadmissionInit& aInit, TimePoint aNow)
{
  backoff_ = std::clamp(backoff_ * 2, aInit.minBackoff, aInit.maxBackoff);
  nextTrial_ = aNow + backoff_;
  successes_ = 0;
  trialRunning_ = false;
}

void ReadmissionState::OnVerdict(const ReadmissionInit& aInit, TimePoint aNow)
{
  if (excluded_) {
    return;
  }
  if (aNow - readmitted_ >= aInit.healthyReset) {
    backoff_ = Milliseconds(0);
  }
  excluded_ = true;
  since_ = aNow;
  Extend(aInit, aNow);
}

void ReadmissionState::Revoke()
{
  excluded_ = false;
  trialRunning_ = false;
  successes_ = 0;
  backoff_ = Milliseconds(0);
}

bool ReadmissionState::StartTrial(const ReadmissionInit& aInit, TimePoint aNow)
{
  if (!excluded_ || aNow < nextTrial_) {
    return false;
  }
  // One trial at a time, so that an upstream that still fails costs one request per back-off.
  trialRunning_ = true;
  nextTrial_ = aNow + aInit.trialTimeout;
  return true;
}

bool ReadmissionState::ObserveTrial(const ReadmissionInit& aInit,
                                    OutcomeClass aOutcome,
                                    TimePoint aNow)
{
  if (!excluded_ || !trialRunning_) {
    return false;
  }
  trialRunning_ = false;
  nextTrial_ = aNow;
  if (aOutcome == OutcomeClass::Neutral) {
    return false;
  }
  if (aOutcome != OutcomeClass::Good) {
    Extend(aInit, aNow);
    return false;
  }
  if (++successes_ < aInit.trialsNeeded) {
    return false;
  }
  excluded_ = false;
  successes_ = 0;
  readmitted_ = aNow;
  return true;
}

} // namespace bg::detection
