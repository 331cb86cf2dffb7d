#include <algorithm>
#include <array>

#include "boragegauge/config.h"
#include "boragegauge/quarantine.h"

namespace bg::quarantine {

namespace {

/// Time from the last crash to the next trial, by the number of failed trials: two trials a day.
constexpr std::array<Duration, 3> kTrialDelays = { std::chrono::minutes(1),
                                                   std::chrono::minutes(10),
                                                   std::chrono::hours(24) };
/// A crash does not count after this time.
constexpr Duration kCrashPeriod = std::chrono::hours(24);
/// A request that has survived is kept for this long, so that the reports of other hosts about
/// earlier crashes do not make it a suspect again.
constexpr Duration kSurvivalPeriod = std::chrono::hours(1);
/// Crashes that are kept of one request.
constexpr size_t kMaxCrashes = 8;

bool IsSameRun(const Crash& aLeft, const Crash& aRight)
{
  return aLeft.upstream == aRight.upstream && aLeft.startedAtMs == aRight.startedAtMs;
}

TimePoint LastNews(const SuspectRequest& aRequest)
{
  const TimePoint survivedAt = aRequest.survivedAt.value_or(TimePoint{});
  return aRequest.crashes.empty() ? survivedAt
                                  : std::max(survivedAt, aRequest.crashes.back().endedAt);
}

/// Sort key: the more crashes, then the newer, the greater.
std::pair<size_t, TimePoint> Rank(const SuspectRequest& aRequest)
{
  return { aRequest.CountSequentialCrashes(), LastNews(aRequest) };
}

} // namespace

std::string_view ToString(Decision aDecision)
{
  static constexpr std::string_view kNames[] = { "allow", "trial", "reject" };
  return aDecision < Decision::Count ? kNames[static_cast<size_t>(aDecision)] : "unknown";
}

size_t SuspectRequest::CountSequentialCrashes() const
{
  size_t count = 0;
  TimePoint lastEnd{};
  for (const Crash& crash : crashes) {
    if (count == 0 || crash.sentAt >= lastEnd) {
      ++count;
      lastEnd = crash.endedAt;
    }
  }
  return count;
}

const SuspectRequest* RequestQuarantine::Find(uint64_t aFingerprint) const
{
  const auto found = requests_.find(aFingerprint);
  return found == requests_.end() ? nullptr : &found->second;
}

Verdict RequestQuarantine::Check(uint64_t aFingerprint, TimePoint aNow) const
{
  const SuspectRequest* request = Find(aFingerprint);
  const size_t crashes = request == nullptr ? 0 : request->CountSequentialCrashes();
  if (crashes < kTrialCrashes) {
    return {};
  }
  if (crashes < kQuarantineCrashes) {
    return { Decision::Trial, Duration(0) };
  }
  const size_t failedTrials = std::min(crashes - kQuarantineCrashes, kTrialDelays.size() - 1);
  const TimePoint trialAt = request->crashes.back().endedAt + kTrialDelays[failedTrials];
  return trialAt <= aNow ? Verdict{ Decision::Trial, Duration(0) }
                         : Verdict{ Decision::Reject, trialAt - aNow };
}

SuspectRequest& RequestQuarantine::GetRequest(uint64_t aFingerprint)
{
  if (requests_.size() >= kMaxSuspectRequests && !requests_.contains(aFingerprint)) {
    Evict();
  }
  SuspectRequest& request = requests_[aFingerprint];
  request.fingerprint = aFingerprint;
  return request;
}

/// Drops the request with the lowest rank.
void RequestQuarantine::Evict()
{
  requests_.erase(
    std::min_element(requests_.begin(), requests_.end(), [](const auto& aLeft, const auto& aRight) {
      return Rank(aLeft.second) < Rank(aRight.second);
    }));
}

uint64_t RequestQuarantine::Digest() const
{
  uint64_t digest = 0;
  for (const auto& [fingerprint, request] : requests_) {
    for (const Crash& crash : request.crashes) {
      digest ^= Hash64(crash.upstream, fingerprint ^ static_cast<uint64_t>(crash.startedAtMs));
    }
  }
  return digest;
}

std::vector<const SuspectRequest*> RequestQuarantine::MostSuspected(size_t aMaxCount) const
{
  std::vector<const SuspectRequest*> requests;
  for (const auto& [fingerprint, request] : requests_) {
    requests.push_back(&request);
  }
  std::sort(requests.begin(), requests.end(), [](const auto* aLeft, const auto* aRight) {
    return Rank(*aLeft) > Rank(*aRight);
  });
  requests.resize(std::min(requests.size(), aMaxCount));
  return requests;
}

bool RequestQuarantine::RecordCrash(uint64_t aFingerprint, Crash aCrash, TimePoint aNow)
{
  SuspectRequest& request = GetRequest(aFingerprint);
  const bool hasSurvivedSince = request.survivedAt && *request.survivedAt >= aCrash.endedAt;
  const bool isKnown = std::any_of(request.crashes.begin(),
                                   request.crashes.end(),
                                   [&](const Crash& aKnown) { return IsSameRun(aKnown, aCrash); });
  if (hasSurvivedSince || isKnown || request.crashes.size() >= kMaxCrashes) {
    return false;
  }
  request.changedAt = aNow;
  const auto next = std::upper_bound(
    request.crashes.begin(),
    request.crashes.end(),
    aCrash,
    [](const Crash& aLeft, const Crash& aRight) { return aLeft.endedAt < aRight.endedAt; });
  request.crashes.insert(next, std::move(aCrash));
  return true;
}

bool RequestQuarantine::RecordSurvival(uint64_t aFingerprint, TimePoint aNow)
{
  const auto found = requests_.find(aFingerprint);
  if (found == requests_.end()) {
    return false;
  }
  const bool wasSuspected = !found->second.crashes.empty();
  found->second.crashes.clear();
  found->second.survivedAt = aNow;
  found->second.changedAt = wasSuspected ? aNow : found->second.changedAt;
  return wasSuspected;
}

bool RequestQuarantine::Merge(const SuspectRequest& aRequest, TimePoint aNow)
{
  bool isNews = false;
  if (aRequest.survivedAt) {
    SuspectRequest& request = GetRequest(aRequest.fingerprint);
    const TimePoint survivedAt = *aRequest.survivedAt;
    request.survivedAt = std::max(request.survivedAt.value_or(survivedAt), survivedAt);
    isNews = std::erase_if(request.crashes, [survivedAt](const Crash& aCrash) {
               return aCrash.endedAt <= survivedAt;
             }) > 0;
    request.changedAt = isNews ? aNow : request.changedAt;
  }
  for (const Crash& crash : aRequest.crashes) {
    isNews = RecordCrash(aRequest.fingerprint, crash, aNow) || isNews;
  }
  return isNews;
}

void RequestQuarantine::Expire(TimePoint aNow)
{
  std::erase_if(requests_, [aNow](const auto& aEntry) {
    const SuspectRequest& request = aEntry.second;
    return aNow - LastNews(request) > (request.crashes.empty() ? kSurvivalPeriod : kCrashPeriod);
  });
}

size_t RequestQuarantine::CountQuarantined(TimePoint aNow) const
{
  return std::count_if(requests_.begin(), requests_.end(), [&](const auto& aEntry) {
    return Check(aEntry.first, aNow).decision == Decision::Reject;
  });
}

} // namespace bg::quarantine
