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

uint64_t ProcessKey(std::string_view aHost, uint64_t aIncarnation)
{
  return Hash64(aHost, aIncarnation);
}

Members::Members(MembersInit aInit)
  : init_(std::move(aInit))
{
  members_.emplace(init_.self.host, Entry{ .member = init_.self });
  classes_[init_.self.capacity / kCapacityClassWidth].push_back(init_.self.host);
  digest_ = DigestOf(init_.self);
}

uint64_t Members::DigestOf(const Member& aMember)
{
  return Hash64(aMember.host + '|' + aMember.address + ':' + std::to_string(aMember.port) + '|' +
                aMember.failureDomain + '|' + std::to_string(aMember.capacity) + '|' +
                std::to_string(aMember.relayPort));
}

bool Members::Add(const Member& aMember)
{
  const auto known = members_.find(aMember.host);
  if (known == members_.end()) {
    members_.emplace(aMember.host, Entry{ .member = aMember });
    processes_.emplace(ProcessKey(aMember.host, aMember.incarnation), aMember.host);
    classes_[aMember.capacity / kCapacityClassWidth].push_back(aMember.host);
    digest_ ^= DigestOf(aMember);
    rankings_.clear();
    return true;
  }
  Entry& entry = known->second;
  if (aMember.host == init_.self.host || aMember.incarnation <= entry.member.incarnation) {
    return false;
  }
  const bool hasNewAddress =
    entry.member.address != aMember.address || entry.member.port != aMember.port;
  const uint32_t oldClass = entry.member.capacity / kCapacityClassWidth;
  const uint32_t newClass = aMember.capacity / kCapacityClassWidth;
  if (oldClass != newClass) {
    std::erase(classes_[oldClass], aMember.host);
    classes_[newClass].push_back(aMember.host);
    rankings_.clear();
  }
  digest_ ^= DigestOf(entry.member) ^ DigestOf(aMember);
  processes_.erase(ProcessKey(aMember.host, entry.member.incarnation));
  processes_.emplace(ProcessKey(aMember.host, aMember.incarnation), aMember.host);
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
  entry.knowsSelf = false;
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
    found->second.leavingUntil =
      aHost == init_.self.host ? TimePoint::max() : aNow + kMinRestartTime;
    found->second.hasSentMessage = false;
    found->second.knowsSelf = false;
  }
}

bool Members::IsLeaving(std::string_view aHost, TimePoint aNow) const
{
  const auto found = members_.find(aHost);
  return found != members_.end() && found->second.leavingUntil > aNow;
}

const Member* Members::Find(std::string_view aHost) const
{
  const auto found = members_.find(aHost);
  return found == members_.end() ? nullptr : &found->second.member;
}

const Member* Members::FindProcess(uint64_t aKey) const
{
  const auto found = processes_.find(aKey);
  return found == processes_.end() ? nullptr : Find(found->second);
}

void Members::RecordKnownBy(std::string_view aHost, uint64_t aIncarnation)
{
  const auto found = members_.find(aHost);
  if (found != members_.end() && found->second.member.incarnation == aIncarnation) {
    found->second.knowsSelf = true;
  }
}

void Members::ForgetKnownBy(std::string_view aHost)
{
  if (const auto found = members_.find(aHost); found != members_.end()) {
    found->second.knowsSelf = false;
  }
}

bool Members::IsKnownBy(std::string_view aHost) const
{
  const auto found = members_.find(aHost);
  return found != members_.end() && found->second.knowsSelf;
}

void Members::RecordClient(std::string_view aHost, TimePoint aNow)
{
  if (const auto found = members_.find(aHost); found != members_.end()) {
    found->second.lastClientAt = aNow;
  }
}

size_t Members::CountClients(Duration aPeriod, TimePoint aNow) const
{
  return 1 + static_cast<size_t>(
               std::count_if(members_.begin(), members_.end(), [&](const auto& aEntry) {
                 return aNow - aEntry.second.lastClientAt <= aPeriod &&
                        aEntry.first != init_.self.host;
               }));
}

std::vector<Member> Members::All() const
{
  std::vector<Member> all;
  for (const auto& [host, entry] : members_) {
    all.push_back(entry.member);
  }
  return all;
}

bool Members::ExtendRanking(std::string_view aShard, Ranking& aRanking) const
{
  if (aRanking.classes == classes_.size()) {
    return false;
  }
  const auto next = std::next(classes_.begin(), static_cast<std::ptrdiff_t>(aRanking.classes));
  ++aRanking.classes;
  const std::vector<std::string> ranked = placement::RankHosts(aShard, next->second);
  aRanking.hosts.insert(aRanking.hosts.end(), ranked.begin(), ranked.end());
  return true;
}

std::vector<std::string> Members::SelectRanked(std::string_view aShard,
                                               size_t aCount,
                                               const std::function<bool(const Entry&)>& aMaySelect)
{
  Ranking& ranking = rankings_.try_emplace(std::string(aShard)).first->second;
  std::vector<std::string> selected;
  for (size_t i = 0; selected.size() < aCount; ++i) {
    while (i == ranking.hosts.size()) {
      if (!ExtendRanking(aShard, ranking)) {
        return selected;
      }
    }
    const std::string& host = ranking.hosts[i];
    if (aMaySelect(members_.find(host)->second)) {
      selected.push_back(host);
    }
  }
  return selected;
}

std::vector<std::string> Members::Allocators(std::string_view aShard, size_t aCount, TimePoint aNow)
{
  const auto isUsable = [&](const Entry& aEntry) {
    return aEntry.member.host == init_.self.host || aEntry.suspectUntil <= aNow;
  };
  std::vector<std::string> allocators = SelectRanked(aShard, aCount, [&](const Entry& aEntry) {
    return aEntry.leavingUntil <= aNow && isUsable(aEntry);
  });
  return allocators.empty() ? SelectRanked(aShard, aCount, isUsable) : allocators;
}

} // namespace bg::fleet::detail
