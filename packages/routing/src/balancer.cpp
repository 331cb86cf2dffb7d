#include "boragegauge/routing.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bg {

namespace {

/// Time in which the reported load of other proxies loses half of its weight. An upstream with 3
/// slots and 25 ms requests replaces all of its requests in about this time.
constexpr Duration kReportHalfLife = Milliseconds(50);

/// On average one request in this many ignores the preference for the local failure domain.
/// Otherwise each upstream would be observed from one domain only, while a verdict for all proxies
/// needs evidence from two.
constexpr uint64_t kIgnoreDomainInterval = 4;

/// Share of its normal traffic that an upstream gets at the start of its slow-start ramp.
constexpr double kMinSlowStartShare = 0.1;

/// Groups of candidates, in order of preference.
enum Tier : size_t
{
  TierLocalFree,
  TierRemoteFree,
  TierAvoidedFree,
  TierBusy,
  TierAvoidedBusy,
  TierCount
};

struct Candidate
{
  UpstreamHandle upstream;
  double load;
};

/// Candidates of one tier: two random ones (reservoir sampling) and the least loaded one.
struct TierCandidates
{
  uint32_t count = 0; ///< All candidates of the tier.
  std::array<Candidate, 2> sample{};
  Candidate leastLoaded{};
};

uint64_t NextRandom(uint64_t& aState)
{
  // One step of SplitMix64. It derives independent values from the single random number of the
  // request.
  aState += 0x9e3779b97f4a7c15ULL;
  uint64_t z = aState;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

double ToUnitInterval(uint64_t aRandom)
{
  return static_cast<double>(aRandom >> 11) * 0x1.0p-53;
}

void AddCandidate(TierCandidates& aTier, const Candidate& aCandidate, uint64_t& aRandom)
{
  ++aTier.count;
  if (aTier.count == 1 || aCandidate.load < aTier.leastLoaded.load ||
      (aCandidate.load == aTier.leastLoaded.load && NextRandom(aRandom) % aTier.count == 0)) {
    aTier.leastLoaded = aCandidate;
  }
  if (aTier.count <= 2) {
    aTier.sample[aTier.count - 1] = aCandidate;
    return;
  }
  const uint64_t index = NextRandom(aRandom) % aTier.count;
  if (index < 2) {
    aTier.sample[index] = aCandidate;
  }
}

bool IsExcluded(const PickRequest& aRequest, UpstreamHandle aUpstream)
{
  return std::find(aRequest.exclude.begin(), aRequest.exclude.end(), aUpstream) !=
         aRequest.exclude.end();
}

/// True when the slow-start ramp of the upstream makes this request treat it as full.
bool IsSkippedForSlowStart(const UpstreamStatus& aStatus,
                           Milliseconds aSlowStart,
                           TimePoint aNow,
                           uint64_t& aRandom)
{
  if (aStatus.slowStartFrom == TimePoint{} || aNow >= aStatus.slowStartFrom + aSlowStart) {
    return false;
  }
  const double elapsed = std::chrono::duration<double>(aNow - aStatus.slowStartFrom).count();
  const double total = std::chrono::duration<double>(aSlowStart).count();
  return ToUnitInterval(NextRandom(aRandom)) > std::max(kMinSlowStartShare, elapsed / total);
}

std::optional<UpstreamHandle> PickTrialUpstream(const ServiceConfig& aService,
                                                std::span<const UpstreamStatus> aStatus,
                                                LoadTable& aLoad,
                                                const PickRequest& aRequest)
{
  for (const UpstreamHandle upstream : aService.upstreams) {
    const UpstreamStatus& status = aStatus[upstream.idx];
    const bool isSuspect = status.avoided || status.ejectedUntil > aRequest.now;
    if (isSuspect && !status.leaving && !IsExcluded(aRequest, upstream) &&
        aLoad.TakeTrial(upstream)) {
      return upstream;
    }
  }
  return std::nullopt;
}

/// Ignores load and failure domain; used as the baseline of measurements.
UpstreamHandle PickRoundRobin(std::span<const UpstreamHandle> aCandidates)
{
  static std::atomic<uint64_t> next{ 0 };
  return aCandidates.empty() ? UpstreamHandle{}
                             : aCandidates[next.fetch_add(1) % aCandidates.size()];
}

UpstreamHandle SelectFromTier(const TierCandidates& aTier, BalancePolicy aPolicy)
{
  if (aPolicy == BalancePolicy::LeastLoaded || aTier.count == 1) {
    return aTier.leastLoaded.upstream;
  }
  return aTier.sample[0].load <= aTier.sample[1].load ? aTier.sample[0].upstream
                                                      : aTier.sample[1].upstream;
}

Tier TierOf(const UpstreamStatus& aStatus, bool aFree, bool aLocal)
{
  if (aStatus.avoided) {
    return aFree ? TierAvoidedFree : TierAvoidedBusy;
  }
  if (!aFree) {
    return TierBusy;
  }
  return aLocal ? TierLocalFree : TierRemoteFree;
}

} // namespace

LoadTable::LoadTable(size_t aUpstreams)
{
  entries_.reserve(aUpstreams);
  for (size_t i = 0; i < aUpstreams; ++i) {
    entries_.push_back(std::make_shared<Entry>());
  }
}

LoadTable::LoadTable(const LoadTable& aOld, std::span<const UpstreamHandle> aPrevious)
{
  entries_.reserve(aPrevious.size());
  for (const UpstreamHandle previous : aPrevious) {
    const bool isKept = previous.idx < aOld.entries_.size();
    entries_.push_back(isKept ? aOld.entries_[previous.idx] : std::make_shared<Entry>());
  }
}

void LoadTable::Begin(UpstreamHandle aUpstream)
{
  entries_[aUpstream.idx]->inFlight.fetch_add(1, std::memory_order_relaxed);
}

void LoadTable::End(UpstreamHandle aUpstream)
{
  entries_[aUpstream.idx]->inFlight.fetch_sub(1, std::memory_order_relaxed);
}

uint32_t LoadTable::InFlight(UpstreamHandle aUpstream) const
{
  return entries_[aUpstream.idx]->inFlight.load(std::memory_order_relaxed);
}

void LoadTable::Report(UpstreamHandle aUpstream, uint32_t aBusy, TimePoint aNow)
{
  Entry& entry = *entries_[aUpstream.idx];
  const uint32_t ownInFlight = entry.inFlight.load(std::memory_order_relaxed);
  entry.othersInFlight.store(aBusy > ownInFlight ? aBusy - ownInFlight : 0,
                             std::memory_order_relaxed);
  entry.reportedAt.store(aNow.time_since_epoch().count(), std::memory_order_relaxed);
}

double LoadTable::Estimate(UpstreamHandle aUpstream, TimePoint aNow) const
{
  const Entry& entry = *entries_[aUpstream.idx];
  const double ownInFlight = entry.inFlight.load(std::memory_order_relaxed);
  const uint32_t othersInFlight = entry.othersInFlight.load(std::memory_order_relaxed);
  if (othersInFlight == 0) {
    return ownInFlight;
  }
  const int64_t age =
    aNow.time_since_epoch().count() - entry.reportedAt.load(std::memory_order_relaxed);
  const double halfLives =
    static_cast<double>(std::max<int64_t>(age, 0)) / static_cast<double>(kReportHalfLife.count());
  return ownInFlight + othersInFlight * std::exp2(-halfLives);
}

void LoadTable::GrantTrials(UpstreamHandle aUpstream, uint32_t aCount)
{
  entries_[aUpstream.idx]->grantedTrials.store(aCount, std::memory_order_relaxed);
}

bool LoadTable::TakeTrial(UpstreamHandle aUpstream)
{
  std::atomic<uint32_t>& trials = entries_[aUpstream.idx]->grantedTrials;
  uint32_t left = trials.load(std::memory_order_relaxed);
  while (left > 0) {
    if (trials.compare_exchange_weak(left, left - 1, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

std::optional<BalancePolicy> ParseBalancePolicy(std::string_view aName)
{
  static constexpr std::string_view kNames[] = { "power_of_two", "round_robin", "least_loaded" };
  for (size_t i = 0; i < std::size(kNames); ++i) {
    if (kNames[i] == aName) {
      return static_cast<BalancePolicy>(i);
    }
  }
  return std::nullopt;
}

PickResult PickUpstream(const Configuration& aConfiguration,
                        std::span<const UpstreamStatus> aStatus,
                        LoadTable& aLoad,
                        BalancePolicy aPolicy,
                        const PickRequest& aRequest)
{
  const ServiceConfig& service = aConfiguration.services[aRequest.service.idx];
  if (aRequest.allowTrial) {
    if (const auto trial = PickTrialUpstream(service, aStatus, aLoad, aRequest)) {
      return { *trial, true, false };
    }
  }

  uint64_t random = aRequest.random;
  const bool ignoresDomain = NextRandom(random) % kIgnoreDomainInterval == 0;
  std::array<TierCandidates, TierCount> tiers{};
  std::vector<UpstreamHandle> candidates;
  for (const UpstreamHandle upstream : service.upstreams) {
    const UpstreamStatus& status = aStatus[upstream.idx];
    if (status.leaving || status.ejectedUntil > aRequest.now || IsExcluded(aRequest, upstream)) {
      continue;
    }
    if (aPolicy == BalancePolicy::RoundRobin) {
      candidates.push_back(upstream);
      continue;
    }
    const double load = aLoad.Estimate(upstream, aRequest.now);
    const bool isSkipped = IsSkippedForSlowStart(status, service.slowStart, aRequest.now, random);
    const bool isFree = load + 0.5 < service.slotsPerUpstream && !isSkipped;
    const bool isLocal =
      ignoresDomain || aConfiguration.upstreams[upstream.idx].failureDomain == aRequest.localDomain;
    AddCandidate(tiers[TierOf(status, isFree, isLocal)], { upstream, load }, random);
  }
  if (aPolicy == BalancePolicy::RoundRobin) {
    return { PickRoundRobin(candidates), false, false };
  }
  for (size_t tier = 0; tier < TierCount; ++tier) {
    if (tiers[tier].count > 0) {
      return { SelectFromTier(tiers[tier], aPolicy),
               false,
               tier == TierAvoidedFree || tier == TierAvoidedBusy };
    }
  }
  return {};
}

} // namespace bg
