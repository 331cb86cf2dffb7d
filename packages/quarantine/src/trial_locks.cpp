#include <algorithm>

#include "boragegauge/quarantine.h"

namespace bg::quarantine {

namespace {

/// The result of a trial has reached all hosts after this time.
constexpr Duration kResultSpreadTime = std::chrono::seconds(1);

} // namespace

bool TrialLocks::TryAcquire(uint64_t aFingerprint, Owner aOwner, TimePoint aUntil, TimePoint aNow)
{
  std::erase_if(locks_, [aNow](const auto& aEntry) { return aEntry.second.until <= aNow; });
  const auto [lock, isNew] = locks_.try_emplace(aFingerprint, Lock{ aOwner, aUntil });
  return isNew || lock->second.owner == aOwner;
}

void TrialLocks::Release(Owner aOwner, TimePoint aNow)
{
  for (auto& [fingerprint, lock] : locks_) {
    if (lock.owner == aOwner) {
      lock.until = std::min(lock.until, aNow + kResultSpreadTime);
    }
  }
}

} // namespace bg::quarantine
