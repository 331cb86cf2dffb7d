#include "boragegauge/routing.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bg {

namespace {

/// Reported load of other proxies loses half of its weight in this time. An upstream with 3 slots
/// and 25 ms requests turns its whole load over in about this time.
constexpr Duration kReportHalfLife = Milliseconds(50);

/// One request in this many ignores the preference for the own failure domain. Without it an
/// upstream is seen from one domain only, and a verdict for all proxies needs evidence from two.
constexpr uint64_t kAnyDomainInterval = 4;

/// Smallest share of its normal traffic that a cold upstream gets.
constexpr double kSlowStartFloor = 0.1;

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

/// Reservoir of up to two random candidates and the least loaded one of a tier.
struct TierState
{
  uint32_t seen = 0;
  std::array<Candidate, 2> sample{};
  Candidate least{};
};

uint64_t NextRandom(uint64_t& aState)
{
  // SplitMix64 step: derives independent values from the caller's single random number.
  aState += 0x9e3779b97f4a7c15ULL;
  uint64_t z = aState;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

double ToUnit(uint64_t aRandom)
{
  return static_cast<double>(aRandom >> 11) * 0x1.0p-53;
}

void AddCandidate(TierState& aTier, const Candidate& aCandidate, uint64_t& aRandom)
{
  ++aTier.seen;
  if (aTier.seen == 1 || aCandidate.load < aTier.least.load ||
      (aCandidate.load == aTier.least.load && NextRandom(aRandom) % aTier.seen == 0)) {
    aTier.least = aCandidate;
  }
  if (aTier.seen <= 2) {
    aTier.sample[aTier.seen - 1] = aCandidate;
    return;
  }
  const uint64_t index = NextRandom(aRandom) % aTier.seen;
  if (index < 2) {
    aTier.sample[index] = aCandidate;
  }
}

bool IsExcluded(const PickRequest& aRequest, UpstreamHandle aUpstream)
{
  return std::find(aRequest.exclude.begin(), aRequest.exclude.end(), aUpstream) !=
         aRequest.exclude.end();
}

/// True when the ramp of a cold upstream passes over it this time.
bool SkipsForSlowStart(const UpstreamStatus& aStatus,
                       Milliseconds aSlowStart,
                       TimePoint aNow,
                       uint64_t& aRandom)
{
  if (aStatus.slowStartFrom == TimePoint{} || aNow >= aStatus.slowStartFrom + aSlowStart) {
    return false;
  }
  const double elapsed = std::chrono::duration<double>(aNow - aStatus.slowStartFrom).count();
  const double total = std::chrono::duration<double>(aSlowStart).count();
  return ToUnit(NextRandom(aRandom)) > std::max(kSlowStartFloor, elapsed / total);
}

std::optional<UpstreamHandle> PickTrial(const ServiceConfig& aService,
                                        std::span<const UpstreamStatus> aStatus,
                                        LoadTable& aLoad,
                                        const PickRequest& aRequest)
{
  for (const UpstreamHandle upstream : aService.upstreams) {
    const UpstreamStatus& status = aStatus[upstream.idx];
    const bool suspect = status.avoided || status.ejectedUntil > aRequest.now;
    if (suspect && !status.leaving && !IsExcluded(aRequest, upstream) &&
        aLoad.TakeTrial(upstream)) {
      return upstream;
    }
  }
  return std::nullopt;
}

/// Round robin ignores load and domain; it is the baseline of the measurement.
UpstreamHandle PickRoundRobin(std::span<const UpstreamHandle> aUsable)
{
  static std::atomic<uint64_t> next{ 0 };
  return aUsable.empty() ? UpstreamHandle{} : aUsable[next.fetch_add(1) % aUsable.size()];
}

UpstreamHandle ChooseFrom(const TierState& aTier, BalancePolicy aPolicy)
{
  if (aPolicy == BalancePolicy::LeastLoaded || aTier.seen == 1) {
    return aTier.least.upstream;
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
  slots_.reserve(aUpstreams);
  for (size_t i = 0; i < aUpstreams; ++i) {
    slots_.push_back(std::make_shared<Slot>());
  }
}

LoadTable::LoadTable(const LoadTable& aOld, std::span<const UpstreamHandle> aPrevious)
{
  slots_.reserve(aPrevious.size());
  for (const UpstreamHandle previous : aPrevious) {
    const bool isKept = previous.idx < aOld.slots_.size();
    slots_.push_back(isKept ? aOld.slots_[previous.idx] : std::make_shared<Slot>());
  }
}

void LoadTable::Begin(UpstreamHandle aUpstream)
{
  slots_[aUpstream.idx]->inFlight.fetch_add(1, std::memory_order_relaxed);
}

void LoadTable::End(UpstreamHandle aUpstream)
{
  slots_[aUpstream.idx]->inFlight.fetch_sub(1, std::memory_order_relaxed);
}

uint32_t LoadTable::InFlight(UpstreamHandle aUpstream) const
{
  return slots_[aUpstream.idx]->inFlight.load(std::memory_order_relaxed);
}

void LoadTable::Report(UpstreamHandle aUpstream, uint32_t aBusy, TimePoint aNow)
{
  Slot& slot = *slots_[aUpstream.idx];
  const uint32_t own = slot.inFlight.load(std::memory_order_relaxed);
  slot.othersBusy.store(aBusy > own ? aBusy - own : 0, std::memory_order_relaxed);
  slot.reportedAt.store(aNow.time_since_epoch().count(), std::memory_order_relaxed);
}

double LoadTable::Estimate(UpstreamHandle aUpstream, TimePoint aNow) const
{
  const Slot& slot = *slots_[aUpstream.idx];
  const double own = slot.inFlight.load(std::memory_order_relaxed);
  const uint32_t others = slot.othersBusy.load(std::memory_order_relaxed);
  if (others == 0) {
    return own;
  }
  const int64_t age =
    aNow.time_since_epoch().count() - slot.reportedAt.load(std::memory_order_relaxed);
  const double halves =
    static_cast<double>(std::max<int64_t>(age, 0)) / static_cast<double>(kReportHalfLife.count());
  return own + others * std::exp2(-halves);
}

void LoadTable::GrantTrials(UpstreamHandle aUpstream, uint32_t aCount)
{
  slots_[aUpstream.idx]->trials.store(aCount, std::memory_order_relaxed);
}

bool LoadTable::TakeTrial(UpstreamHandle aUpstream)
{
  std::atomic<uint32_t>& trials = slots_[aUpstream.idx]->trials;
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
    if (const auto trial = PickTrial(service, aStatus, aLoad, aRequest)) {
      return { *trial, true, false };
    }
  }

  uint64_t random = aRequest.random;
  const bool anyDomain = NextRandom(random) % kAnyDomainInterval == 0;
  std::array<TierState, TierCount> tiers{};
  std::vector<UpstreamHandle> usable;
  for (const UpstreamHandle upstream : service.upstreams) {
    const UpstreamStatus& status = aStatus[upstream.idx];
    if (status.leaving || status.ejectedUntil > aRequest.now || IsExcluded(aRequest, upstream)) {
      continue;
    }
    if (aPolicy == BalancePolicy::RoundRobin) {
      usable.push_back(upstream);
      continue;
    }
    const double load = aLoad.Estimate(upstream, aRequest.now);
    const bool skipped = SkipsForSlowStart(status, service.slowStart, aRequest.now, random);
    const bool isFree = load + 0.5 < service.slotsPerUpstream && !skipped;
    const bool isLocal =
      anyDomain || aConfiguration.upstreams[upstream.idx].failureDomain == aRequest.localDomain;
    AddCandidate(tiers[TierOf(status, isFree, isLocal)], { upstream, load }, random);
  }
  if (aPolicy == BalancePolicy::RoundRobin) {
    return { PickRoundRobin(usable), false, false };
  }
  for (size_t tier = 0; tier < TierCount; ++tier) {
    if (tiers[tier].seen > 0) {
      return { ChooseFrom(tiers[tier], aPolicy),
               false,
               tier == TierAvoidedFree || tier == TierAvoidedBusy };
    }
  }
  return {};
}

} // namespace bg
