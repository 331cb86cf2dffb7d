#include <algorithm>

#include "boragegauge/overlay.h"

namespace bg::overlay {

namespace {

/// Requests for state to hosts of this failure domain before hosts of others are asked.
constexpr uint32_t kAsksInDomain = 2;
/// Requests that bring no news after which the interval between them doubles, and how often.
constexpr uint32_t kAsksPerBackoff = 8;
constexpr uint32_t kMaxBackoffs = 4;
/// Rounds of contacts that get urgent state at once.
constexpr uint64_t kUrgentRounds = 4;

} // namespace

Spreader::Spreader(SpreaderInit aInit)
  : init_(std::move(aInit))
  , tree_(init_.tree)
{
}

std::vector<std::string> Spreader::WithFollowers(std::vector<std::string> aHosts, TimePoint aNow)
{
  std::erase_if(followers_, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  for (const auto& [host, expiry] : followers_) {
    aHosts.push_back(host);
  }
  std::sort(aHosts.begin(), aHosts.end());
  aHosts.erase(std::unique(aHosts.begin(), aHosts.end()), aHosts.end());
  std::erase(aHosts, init_.tree.host);
  return aHosts;
}

std::vector<std::string> Spreader::SourceTargets(TimePoint aNow, bool aIsUrgent)
{
  lastForwardedAt_ = aNow;
  std::vector<std::string> hosts = tree_.Heads();
  hosts.insert(hosts.end(), tree_.Children().begin(), tree_.Children().end());
  for (uint64_t left = aIsUrgent ? kUrgentRounds : 1; left > 0; --left) {
    for (std::string& contact : tree_.Contacts(++round_)) {
      hosts.push_back(std::move(contact));
    }
  }
  return WithFollowers(std::move(hosts), aNow);
}

std::vector<std::string> Spreader::OnReceived(std::string_view aSender,
                                              std::string_view aSenderDomain,
                                              bool aIsNews,
                                              TimePoint aNow)
{
  lastReceivedAt_ = aNow;
  lastUnaskedAt_ = aSender == askedPeer_ ? lastUnaskedAt_ : aNow;
  fruitlessAsks_ = aIsNews ? 0 : fruitlessAsks_;
  if (!aIsNews && aNow - lastForwardedAt_ < init_.keepAliveInterval) {
    return {};
  }
  return ForwardTargets(aSenderDomain, aNow);
}

std::vector<std::string> Spreader::ForwardTargets(std::string_view aSenderDomain, TimePoint aNow)
{
  lastForwardedAt_ = aNow;
  std::vector<std::string> hosts = tree_.Children();
  if (aSenderDomain != init_.tree.failureDomain) {
    hosts.insert(hosts.end(), tree_.Heads().begin(), tree_.Heads().end());
  }
  return WithFollowers(std::move(hosts), aNow);
}

void Spreader::AddFollower(std::string_view aHost, TimePoint aNow)
{
  std::erase_if(followers_, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  if (followers_.size() < init_.maxFollowers || followers_.contains(std::string(aHost))) {
    followers_.insert_or_assign(std::string(aHost), aNow + init_.followPeriod);
  }
}

std::string Spreader::PeerToAsk(bool aIsOutdated, uint64_t aRandom, TimePoint aNow)
{
  const bool isSilent = aNow - lastReceivedAt_ > init_.silenceLimit;
  const Duration sinceAsked = aNow - lastAskedAt_;
  if (!aIsOutdated && !isSilent) {
    if (aNow - lastUnaskedAt_ <= init_.silenceLimit) {
      askedPeer_.clear();
    }
    // Only the asked peer sends state: asks it again before it stops.
    const bool isRenewalDue = !askedPeer_.empty() && sinceAsked > init_.followPeriod / 2;
    lastAskedAt_ = isRenewalDue ? aNow : lastAskedAt_;
    return isRenewalDue ? askedPeer_ : std::string();
  }
  const uint32_t backoffs = std::min(fruitlessAsks_ / kAsksPerBackoff, kMaxBackoffs);
  if (sinceAsked < init_.repairInterval * (1 << backoffs)) {
    return {};
  }
  lastAskedAt_ = aNow;
  const bool isInDomain = fruitlessAsks_ % (kAsksInDomain + 1) < kAsksInDomain;
  ++fruitlessAsks_;
  askedPeer_ = tree_.RandomHead(aRandom, isInDomain);
  if (askedPeer_.empty()) {
    askedPeer_ = tree_.RandomHead(aRandom, !isInDomain);
  }
  return askedPeer_;
}

bool Spreader::IsConnected(TimePoint aNow) const
{
  return aNow - lastReceivedAt_ <= init_.silenceLimit;
}

} // namespace bg::overlay
