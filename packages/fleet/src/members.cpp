#include <algorithm>
#include <functional>

#include "boragegauge/placement.h"
#include "members_p.h"

namespace bg::fleet::detail {

namespace {

/// A host that has announced its stop is not back sooner than this.
constexpr Duration kMinRestartTime = std::chrono::seconds(6);

/// Hosts whose capacities fall into the same interval of this width rank as equal, in percent of a
/// core.
constexpr uint32_t kCapacityClassWidth = 10;

} // namespace

Members::Members(MembersInit aInit)
  : init_(std::move(aInit))
{
  members_.emplace(init_.self.host, Entry{ .member = init_.self });
}

bool Members::Add(const Member& aMember)
{
  const auto known = members_.find(aMember.host);
  if (known == members_.end()) {
    members_.emplace(aMember.host, Entry{ .member = aMember });
    ranking_.clear();
    return true;
  }
  Entry& entry = known->second;
  if (aMember.host == init_.self.host || aMember.incarnation <= entry.member.incarnation) {
    return false;
  }
  const bool hasNewAddress =
    entry.member.address != aMember.address || entry.member.port != aMember.port;
  entry = Entry{ .member = aMember };
  return hasNewAddress;
}

void Members::RecordMessage(std::string_view aHost, TimePoint aNow)
{
  if (const auto found = members_.find(aHost); found != members_.end()) {
    found->second.lastMessageAt = aNow;
    found->second.hasSentMessage = true;
  }
}

void Members::RecordTimeout(std::string_view aHost, TimePoint aNow)
{
  const auto found = members_.find(aHost);
  if (found == members_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.suspectUntil > aNow) {
    return;
  }
  // A message since the last suspect period resets the backoff.
  const bool hasResponded = entry.hasSentMessage && entry.lastMessageAt > entry.suspectUntil;
  entry.suspectPeriod =
    hasResponded
      ? init_.minSuspectPeriod
      : std::clamp(entry.suspectPeriod * 2, init_.minSuspectPeriod, init_.maxSuspectPeriod);
  entry.suspectUntil = aNow + entry.suspectPeriod;
}

void Members::RecordLeaving(std::string_view aHost, TimePoint aNow)
{
  if (const auto found = members_.find(aHost); found != members_.end()) {
    found->second.suspectUntil = aNow + kMinRestartTime;
    found->second.hasSentMessage = false;
  }
}

const Member* Members::Find(std::string_view aHost) const
{
  const auto found = members_.find(aHost);
  return found == members_.end() ? nullptr : &found->second.member;
}

std::vector<Member> Members::All() const
{
  std::vector<Member> all;
  for (const auto& [host, entry] : members_) {
    all.push_back(entry.member);
  }
  return all;
}

std::vector<std::string> Members::DomainPeers() const
{
  std::vector<std::string> hosts;
  for (const auto& [host, entry] : members_) {
    if (host != init_.self.host && entry.member.failureDomain == init_.self.failureDomain) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

size_t Members::LiveRank(TimePoint aNow) const
{
  const uint64_t ownHash = Hash64(init_.self.host);
  size_t rank = 0;
  for (const std::string& host : DomainPeers()) {
    const Entry& entry = members_.find(host)->second;
    const bool isAlive =
      entry.hasSentMessage && aNow - entry.lastMessageAt < init_.heartbeatTimeout;
    rank += isAlive && Hash64(host) < ownHash ? 1 : 0;
  }
  return rank;
}

size_t Members::StaticRank() const
{
  const uint64_t ownHash = Hash64(init_.self.host);
  const std::vector<std::string> peers = DomainPeers();
  return static_cast<size_t>(
    std::count_if(peers.begin(), peers.end(), [ownHash](const std::string& aHost) {
      return Hash64(aHost) < ownHash;
    }));
}

size_t Members::DomainRank() const
{
  std::map<uint64_t, std::string_view> domains;
  for (const auto& [host, entry] : members_) {
    domains.emplace(Hash64(entry.member.failureDomain), entry.member.failureDomain);
  }
  const auto ownDomain = domains.find(Hash64(init_.self.failureDomain));
  return static_cast<size_t>(std::distance(domains.begin(), ownDomain));
}

std::vector<std::string> Members::CrossDomainPeers() const
{
  std::map<std::string_view, std::map<std::pair<TimePoint, uint64_t>, const std::string*>> domains;
  for (const auto& [host, entry] : members_) {
    if (entry.member.failureDomain != init_.self.failureDomain) {
      domains[entry.member.failureDomain][{ entry.suspectUntil, Hash64(host) }] = &host;
    }
  }
  std::vector<std::string> contacts;
  for (const auto& [domain, hosts] : domains) {
    size_t count = 0;
    for (const auto& [order, host] : hosts) {
      if (count++ == init_.peersPerOtherDomain) {
        break;
      }
      contacts.push_back(*host);
    }
  }
  return contacts;
}

std::vector<std::string> Members::Allocators(std::string_view aShard, size_t aCount, TimePoint aNow)
{
  auto ranking = ranking_.find(aShard);
  if (ranking == ranking_.end()) {
    std::map<uint32_t, std::vector<std::string>, std::greater<>> classes;
    for (const auto& [host, entry] : members_) {
      classes[entry.member.capacity / kCapacityClassWidth].push_back(host);
    }
    std::vector<std::string> hosts;
    for (const auto& [capacity, hostsOfClass] : classes) {
      const std::vector<std::string> ranked = placement::RankHosts(aShard, hostsOfClass);
      hosts.insert(hosts.end(), ranked.begin(), ranked.end());
    }
    ranking = ranking_.emplace(std::string(aShard), std::move(hosts)).first;
  }
  std::vector<std::string> allocators;
  for (const std::string& host : ranking->second) {
    const Entry& entry = members_.find(host)->second;
    if (host == init_.self.host || entry.suspectUntil <= aNow) {
      allocators.push_back(host);
    }
    if (allocators.size() == aCount) {
      break;
    }
  }
  return allocators;
}

} // namespace bg::fleet::detail
