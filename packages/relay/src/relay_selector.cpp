#include <algorithm>

#include "boragegauge/relay.h"

namespace bg::relay {

namespace {

/// A host that has served within this time can probably serve again.
constexpr Duration kServedPeriod = std::chrono::seconds(5);
/// With fewer such hosts, others are tried as well, so that none is overrun.
constexpr size_t kMinServingHosts = 3;

} // namespace

RelaySelector::RelaySelector(std::string aFailureDomain)
  : failureDomain_(std::move(aFailureDomain))
  , peers_(std::make_shared<const RelayPeers>())
{
}

void RelaySelector::SetPeers(std::shared_ptr<const RelayPeers> aPeers)
{
  if (peers_ == aPeers || !aPeers) {
    return;
  }
  peers_ = std::move(aPeers);
  std::erase_if(states_, [this](const auto& aEntry) {
    return std::none_of(peers_->begin(), peers_->end(), [&](const RelayPeer& aPeer) {
      return aPeer.host == aEntry.first;
    });
  });
}

const RelayPeer* RelaySelector::Select(std::span<const std::string> aTried,
                                       uint64_t aRandom,
                                       TimePoint aNow)
{
  std::vector<const RelayPeer*> near;
  std::vector<const RelayPeer*> all;
  std::vector<const RelayPeer*> serving;
  for (const RelayPeer& peer : *peers_) {
    const auto state = states_.find(peer.host);
    const bool isUnable = state != states_.end() && state->second.unableUntil > aNow;
    if (isUnable || std::find(aTried.begin(), aTried.end(), peer.host) != aTried.end()) {
      continue;
    }
    all.push_back(&peer);
    if (peer.failureDomain == failureDomain_) {
      near.push_back(&peer);
    }
    if (state != states_.end() && aNow - state->second.servedAt < kServedPeriod) {
      serving.push_back(&peer);
    }
  }
  const auto& candidates = serving.size() >= kMinServingHosts ? serving : near.empty() ? all : near;
  return candidates.empty() ? nullptr : candidates[aRandom % candidates.size()];
}

void RelaySelector::RecordServed(const std::string& aHost, TimePoint aNow)
{
  states_[aHost] = { aNow, {} };
}

void RelaySelector::RecordUnable(const std::string& aHost, Duration aPeriod, TimePoint aNow)
{
  states_[aHost] = { {}, aNow + aPeriod };
}

} // namespace bg::relay
