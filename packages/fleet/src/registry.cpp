#include <algorithm>

#include "registry_p.h"

namespace bg::fleet::detail {

namespace {

/// Whether two reports say the same but for their number and the time that is left of the warm-up.
bool IsSame(const RegisteredUpstream& aLeft, const RegisteredUpstream& aRight)
{
  RegisteredUpstream right = aRight;
  right.warmupLeft = aLeft.warmupLeft;
  right.sequence = aLeft.sequence;
  return aLeft == right;
}

uint64_t DigestOf(const RegisteredUpstream& aUpstream)
{
  const std::string text = aUpstream.id + '|' + aUpstream.service + '|' + aUpstream.address + ':' +
                           std::to_string(aUpstream.port) + '|' + aUpstream.failureDomain + '|' +
                           std::to_string(aUpstream.slots) +
                           (aUpstream.isDraining ? "|d|" : "|r|") +
                           std::to_string(aUpstream.startedAtMs);
  return Hash64(text);
}

} // namespace

Registry::Registry(RegistryInit aInit)
  : init_(aInit)
{
}

bool Registry::IsOvertaken(const RegisteredUpstream& aUpstream) const
{
  if (aUpstream.startedAtMs == 0) {
    return false; // Runs under the same id cannot be told apart.
  }
  if (const auto known = upstreams_.find(aUpstream.id); known != upstreams_.end()) {
    return known->second.startedAtMs == aUpstream.startedAtMs &&
           known->second.sequence > aUpstream.sequence;
  }
  const auto gone = gone_.find(aUpstream.id);
  return gone != gone_.end() && gone->second.startedAtMs == aUpstream.startedAtMs &&
         gone->second.sequence > aUpstream.sequence;
}

void Registry::Set(const RegisteredUpstream& aUpstream, TimePoint aNow, RegistryChange& aChange)
{
  if (IsOvertaken(aUpstream)) {
    return;
  }
  missing_.erase(aUpstream.id);
  const auto known = upstreams_.find(aUpstream.id);
  if (known == upstreams_.end() || !IsSame(known->second, aUpstream)) {
    aChange.changed.push_back(aUpstream);
    coldUntil_[aUpstream.id] = aNow + aUpstream.warmupLeft;
  }
  upstreams_.insert_or_assign(aUpstream.id, aUpstream);
}

void Registry::Remove(const std::string& aId, TimePoint aNow, RegistryChange& aChange)
{
  const auto known = upstreams_.find(aId);
  if (known == upstreams_.end()) {
    return;
  }
  gone_.insert_or_assign(
    aId, Gone{ known->second.startedAtMs, known->second.sequence, aNow + init_.goneMemory });
  aChange.removed.push_back(aId);
  coldUntil_.erase(aId);
  upstreams_.erase(known);
}

bool Registry::NoteRead(uint64_t aVersion, TimePoint aNow)
{
  if (isKnown_ && aNow - lastRead_ > init_.outageLimit && aNow - lastFresh_ > init_.outageLimit) {
    lapseUntil_ = aNow + init_.lapseGrace;
  }
  lastRead_ = aNow;
  if (aVersion < version_) {
    return false;
  }
  lastFresh_ = aNow;
  isKnown_ = true;
  version_ = aVersion;
  std::erase_if(gone_, [aNow](const auto& aEntry) { return aEntry.second.forgetAt <= aNow; });
  return true;
}

void Registry::RemoveMissing(TimePoint aNow, RegistryChange& aChange)
{
  if (aNow < lapseUntil_) {
    return;
  }
  for (const std::string& id : std::exchange(missing_, {})) {
    Remove(id, aNow, aChange);
  }
}

RegistryChange Registry::Replace(std::span<const EntryChange> aEntries,
                                 uint64_t aVersion,
                                 TimePoint aNow)
{
  RegistryChange change;
  if (!NoteRead(aVersion, aNow)) {
    return change;
  }
  lastFull_ = aNow;
  for (const auto& [id, upstream] : upstreams_) {
    missing_.insert(id);
  }
  for (const EntryChange& entry : aEntries) {
    if (entry.upstream) {
      missing_.erase(entry.id);
      Set(*entry.upstream, aNow, change);
    }
  }
  RemoveMissing(aNow, change);
  return change;
}

bool Registry::CanMerge(TimePoint aNow) const
{
  return lastFull_ != TimePoint{} && aNow - lastFull_ < init_.fullInterval &&
         aNow - lastRead_ < init_.mergeLimit;
}

RegistryChange Registry::Merge(std::span<const EntryChange> aChanges,
                               uint64_t aVersion,
                               TimePoint aNow)
{
  RegistryChange change;
  if (!NoteRead(aVersion, aNow)) {
    return change;
  }
  for (const EntryChange& entry : aChanges) {
    if (entry.upstream) {
      Set(*entry.upstream, aNow, change);
    } else {
      missing_.insert(entry.id);
    }
  }
  RemoveMissing(aNow, change);
  return change;
}

bool Registry::Apply(const RegistryChange& aChange,
                     bool aFull,
                     uint64_t aVersion,
                     uint64_t aDigest,
                     TimePoint aFreshAt,
                     TimePoint aNow,
                     RegistryChange& aEffect)
{
  aEffect = {};
  if (aVersion < version_) {
    return true;
  }
  std::vector<std::string> gone(aChange.removed);
  if (aFull) {
    RequireFullRead(); // Which of these entries the store still has is not known here.
    std::set<std::string_view> present;
    for (const RegisteredUpstream& upstream : aChange.changed) {
      present.insert(upstream.id);
    }
    for (const auto& [id, upstream] : upstreams_) {
      if (!present.contains(id)) {
        gone.push_back(id);
      }
    }
  }
  for (const RegisteredUpstream& upstream : aChange.changed) {
    Set(upstream, aNow, aEffect);
  }
  for (const std::string& id : gone) {
    Remove(id, aNow, aEffect);
  }
  if (!aFull && Digest() != aDigest) {
    return false;
  }
  isKnown_ = true;
  version_ = aVersion;
  lastFresh_ = std::max(lastFresh_, aFreshAt);
  return true;
}

const RegisteredUpstream* Registry::Find(std::string_view aId) const
{
  const auto found = upstreams_.find(aId);
  return found == upstreams_.end() ? nullptr : &found->second;
}

uint64_t Registry::Digest() const
{
  uint64_t digest = 0;
  for (const auto& [id, upstream] : upstreams_) {
    digest ^= DigestOf(upstream);
  }
  return digest;
}

TimePoint Registry::ColdUntil(std::string_view aId) const
{
  const auto found = coldUntil_.find(aId);
  return found == coldUntil_.end() ? TimePoint{} : found->second;
}

Duration ReadSchedule::Delay(size_t aRank, size_t aDomainRank) const
{
  const Duration needed = aRank < maxRank ? Duration(0) : needDelay;
  return needed + step * static_cast<int64_t>(std::min(aRank, maxRank) + aDomainRank);
}

TimePoint ReadSchedule::Next(Duration aDelay,
                             TimePoint aLastFresh,
                             TimePoint aLastFailure,
                             uint32_t aFailures) const
{
  const TimePoint due = aLastFresh + interval + aDelay;
  if (aFailures == 0) {
    return due;
  }
  const Duration pause = std::min(maxPause, minPause * (1 << std::min(aFailures - 1, 8U)));
  return std::max(due, aLastFailure + pause);
}

} // namespace bg::fleet::detail
