#include <algorithm>
#include <tuple>

#include "registry_p.h"

namespace bg::fleet::detail {

namespace {

/// Whether two reports are equal apart from the sequence number and the remaining warm-up time.
bool HasSameState(const RegisteredUpstream& aLeft, const RegisteredUpstream& aRight)
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

bool Registry::IsStale(const RegisteredUpstream& aUpstream, TimePoint aNow) const
{
  if (aUpstream.startedAtMs == 0) {
    return false; // Runs with the same id cannot be distinguished.
  }
  const auto earlier = earlierRuns_.find({ aUpstream.id, aUpstream.startedAtMs });
  if (earlier != earlierRuns_.end() && aNow < earlier->second) {
    return true;
  }
  const auto current = upstreams_.find(aUpstream.id);
  const auto tombstone = tombstones_.find(aUpstream.id);
  const bool isRemoved = current == upstreams_.end();
  if (isRemoved && tombstone == tombstones_.end()) {
    return false;
  }
  const int64_t startedAtMs =
    isRemoved ? tombstone->second.startedAtMs : current->second.startedAtMs;
  const uint64_t sequence = isRemoved ? tombstone->second.sequence : current->second.sequence;
  if (startedAtMs == aUpstream.startedAtMs) {
    // The last report of a removed upstream does not bring it back.
    return sequence > aUpstream.sequence || (isRemoved && sequence == aUpstream.sequence);
  }
  return aNow < restoreEnd_ && aUpstream.startedAtMs < startedAtMs;
}

void Registry::Upsert(const RegisteredUpstream& aUpstream, TimePoint aNow, RegistryChange& aChange)
{
  if (IsStale(aUpstream, aNow)) {
    return;
  }
  missingFromStore_.erase(aUpstream.id);
  RecordEarlierRun(aUpstream, aNow);
  const auto current = upstreams_.find(aUpstream.id);
  if (current == upstreams_.end() || !HasSameState(current->second, aUpstream)) {
    digest_ ^= current == upstreams_.end() ? 0 : DigestOf(current->second);
    digest_ ^= DigestOf(aUpstream);
    aChange.changed.push_back(aUpstream);
    warmupEnd_[aUpstream.id] = aNow + aUpstream.warmupLeft;
  }
  upstreams_.insert_or_assign(aUpstream.id, aUpstream);
}

void Registry::RecordEarlierRun(const RegisteredUpstream& aUpstream, TimePoint aNow)
{
  const auto current = upstreams_.find(aUpstream.id);
  const auto tombstone = tombstones_.find(aUpstream.id);
  const int64_t startedAtMs = current != upstreams_.end()      ? current->second.startedAtMs
                              : tombstone != tombstones_.end() ? tombstone->second.startedAtMs
                                                               : 0;
  // A run that starts with a clock that was set back counts as well, but ends no earlier one.
  if (startedAtMs == 0 || startedAtMs >= aUpstream.startedAtMs) {
    return;
  }
  std::erase_if(earlierRuns_, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  earlierRuns_.insert_or_assign({ aUpstream.id, startedAtMs }, aNow + init_.tombstonePeriod);
}

void Registry::Remove(const std::string& aId, TimePoint aNow, RegistryChange& aChange)
{
  const auto current = upstreams_.find(aId);
  if (current == upstreams_.end()) {
    return;
  }
  tombstones_.insert_or_assign(aId,
                               Tombstone{ current->second.startedAtMs,
                                          current->second.sequence,
                                          aNow + init_.tombstonePeriod });
  digest_ ^= DigestOf(current->second);
  aChange.removed.push_back(aId);
  aChange.lastReports.push_back(current->second);
  warmupEnd_.erase(aId);
  upstreams_.erase(current);
}

void Registry::RecordLastReport(const RegisteredUpstream& aUpstream, TimePoint aNow)
{
  if (const auto current = upstreams_.find(aUpstream.id); current != upstreams_.end()) {
    const bool isSameRun = current->second.startedAtMs == aUpstream.startedAtMs;
    if (isSameRun && current->second.sequence < aUpstream.sequence) {
      current->second.sequence = aUpstream.sequence;
    }
    return;
  }
  const auto known = tombstones_.find(aUpstream.id);
  const bool isOlder =
    known != tombstones_.end() && std::tie(aUpstream.startedAtMs, aUpstream.sequence) <=
                                    std::tie(known->second.startedAtMs, known->second.sequence);
  if (!isOlder) {
    tombstones_.insert_or_assign(
      aUpstream.id,
      Tombstone{ aUpstream.startedAtMs, aUpstream.sequence, aNow + init_.tombstonePeriod });
  }
}

bool Registry::RecordRead(StorePosition aPosition, TimePoint aNow)
{
  // Silence of this host alone is no outage: entries that are missing after it are gone.
  const bool hasSigns = storeTroubleAt_ > freshAt_;
  if (hasSigns && hasState_ && aNow - lastRead_ > init_.outageThreshold &&
      aNow - freshAt_ > init_.outageThreshold) {
    reregistrationEnd_ = aNow + init_.reregistrationGrace;
  }
  lastRead_ = aNow;
  if (aPosition < position_) {
    return false;
  }
  EnterEpoch(aPosition.epoch, aNow);
  position_ = aPosition;
  hasState_ = true;
  freshAt_ = aNow;
  std::erase_if(tombstones_,
                [aNow](const auto& aEntry) { return aEntry.second.expiresAt <= aNow; });
  return true;
}

void Registry::EnterEpoch(uint64_t aEpoch, TimePoint aNow)
{
  if (!hasState_ || aEpoch <= position_.epoch) {
    return;
  }
  restoreEnd_ = aNow + init_.reregistrationGrace;
  reregistrationEnd_ = restoreEnd_;
  position_ = { aEpoch, 0 };
  RequireFullRead();
}

void Registry::RemoveMissing(TimePoint aNow, RegistryChange& aChange)
{
  if (aNow < reregistrationEnd_) {
    return;
  }
  for (const std::string& id : std::exchange(missingFromStore_, {})) {
    Remove(id, aNow, aChange);
  }
}

RegistryChange Registry::ApplySnapshot(std::span<const EntryChange> aEntries,
                                       StorePosition aPosition,
                                       TimePoint aNow)
{
  RegistryChange change;
  if (!RecordRead(aPosition, aNow)) {
    return change;
  }
  lastFullRead_ = aNow;
  for (const auto& [id, upstream] : upstreams_) {
    missingFromStore_.insert(id);
  }
  for (const EntryChange& entry : aEntries) {
    if (entry.upstream) {
      missingFromStore_.erase(entry.id);
      Upsert(*entry.upstream, aNow, change);
    }
  }
  RemoveMissing(aNow, change);
  return change;
}

bool Registry::CanReadChanges(TimePoint aNow) const
{
  return lastFullRead_ != TimePoint{} && aNow - lastFullRead_ < init_.fullReadInterval &&
         aNow - lastRead_ < init_.maxReadGap;
}

RegistryChange Registry::ApplyChanges(std::span<const EntryChange> aChanges,
                                      StorePosition aPosition,
                                      TimePoint aNow)
{
  RegistryChange change;
  if (aPosition.epoch != position_.epoch) {
    RequireFullRead(); // The changes of one epoch do not apply to a state of another.
    return change;
  }
  if (!RecordRead(aPosition, aNow)) {
    return change;
  }
  for (const EntryChange& entry : aChanges) {
    if (entry.upstream) {
      Upsert(*entry.upstream, aNow, change);
    } else {
      missingFromStore_.insert(entry.id);
    }
  }
  RemoveMissing(aNow, change);
  return change;
}

bool Registry::ApplyPeerView(const RegistryChange& aChange,
                             bool aIsSnapshot,
                             StorePosition aPosition,
                             uint64_t aDigest,
                             TimePoint aFreshAt,
                             TimePoint aNow,
                             RegistryChange& aLocalChange)
{
  aLocalChange = {};
  if (aPosition < position_) {
    return true;
  }
  EnterEpoch(aPosition.epoch, aNow);
  const bool isKnown = hasState_ && digest_ == aDigest;
  const bool isSnapshot = aIsSnapshot && !isKnown;
  std::vector<std::string> removed;
  if (!isKnown) {
    removed = aChange.removed;
  }
  if (isSnapshot) {
    // The snapshot may hold entries that the store has deleted, so changes alone do not suffice.
    RequireFullRead();
    std::set<std::string_view> present;
    for (const RegisteredUpstream& upstream : aChange.changed) {
      present.insert(upstream.id);
    }
    for (const auto& [id, upstream] : upstreams_) {
      if (present.contains(id)) {
        continue;
      }
      if (aNow < restoreEnd_) {
        missingFromStore_.insert(id); // The peer may have started from the restored copy.
      } else {
        removed.push_back(id);
      }
    }
  }
  for (const RegisteredUpstream& upstream : aChange.changed) {
    // The state is that of the peer already, so that only the reports can be newer.
    if (!isKnown || upstreams_.contains(upstream.id)) {
      Upsert(upstream, aNow, aLocalChange);
    }
  }
  for (const RegisteredUpstream& upstream : aChange.lastReports) {
    RecordLastReport(upstream, aNow);
  }
  for (const std::string& id : removed) {
    Remove(id, aNow, aLocalChange);
  }
  if (!isSnapshot && Digest() != aDigest) {
    return false;
  }
  hasState_ = true;
  position_ = aPosition;
  freshAt_ = std::max(freshAt_, aFreshAt);
  return true;
}

const RegisteredUpstream* Registry::Find(std::string_view aId) const
{
  const auto found = upstreams_.find(aId);
  return found == upstreams_.end() ? nullptr : &found->second;
}

TimePoint Registry::WarmupEnd(std::string_view aId) const
{
  const auto found = warmupEnd_.find(aId);
  return found == warmupEnd_.end() ? TimePoint{} : found->second;
}

} // namespace bg::fleet::detail
