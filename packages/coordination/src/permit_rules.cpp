#include "permit_rules_p.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "coordination_p.h"

namespace bg::detail {

namespace {

/// Spreads the removal of other proxies' expired entries over this time, so that one removes them
/// and the others find them gone.
constexpr uint64_t kRemovalSpreadMs = 8000;

bool IsHealthy(const ServiceHealth& aHealth, const std::string& aUpstream)
{
  return std::find(aHealth.healthy.begin(), aHealth.healthy.end(), aUpstream) !=
         aHealth.healthy.end();
}

class Planner
{
public:
  explicit Planner(const PermitInput& aInput)
    : in_(aInput)
    , init_(*aInput.init)
    , tableNow_(TableNowMs(*aInput.snapshot, aInput.now))
  {
    plan_.row = aInput.snapshot->row;
  }

  PermitPlan Run()
  {
    ReleaseOverFloor();
    for (EjectionEntry& entry : plan_.row.entries) {
      if (IsOwn(entry) && !entry.released) {
        UpdateOwn(entry);
      }
    }
    GrantWanted();
    RemoveExpired();
    return std::move(plan_);
  }

private:
  bool IsOwn(const EjectionEntry& aEntry) const
  {
    return aEntry.holder == init_.host && aEntry.incarnation == init_.incarnation;
  }

  bool IsActive(const EjectionEntry& aEntry) const
  {
    return !aEntry.released && (init_.testIgnoreLease || aEntry.expiresMs > tableNow_);
  }

  bool IsRemovable(const EjectionEntry& aEntry, int64_t aExtraMs) const
  {
    return aEntry.expiresMs + init_.removeAfterExpiry.count() + aExtraMs <= tableNow_;
  }

  const OwnPermit* FindOwn(const std::string& aUpstream) const
  {
    const auto found = in_.own->find(aUpstream);
    return found == in_.own->end() ? nullptr : &found->second;
  }

  void ReleaseOverFloor()
  {
    if (init_.testIgnoreFloor) {
      return;
    }
    std::vector<EjectionEntry> active;
    std::copy_if(plan_.row.entries.begin(),
                 plan_.row.entries.end(),
                 std::back_inserter(active),
                 [this](const EjectionEntry& aEntry) { return IsActive(aEntry); });
    const std::vector<EjectionEntry> allowed = WithinFloor(active, *in_.health);
    for (const EjectionEntry& entry : active) {
      const OwnPermit* own = IsOwn(entry) ? FindOwn(entry.upstream) : nullptr;
      if (own != nullptr && own->state == PermitState::Held &&
          std::find(allowed.begin(), allowed.end(), entry) == allowed.end()) {
        plan_.floorReleases.push_back(entry.upstream);
      }
    }
  }

  void UpdateOwn(EjectionEntry& aEntry)
  {
    const OwnPermit* own = FindOwn(aEntry.upstream);
    const bool overFloor =
      std::find(plan_.floorReleases.begin(), plan_.floorReleases.end(), aEntry.upstream) !=
      plan_.floorReleases.end();
    // An entry without an own permit comes from a commit that took effect late.
    if (own == nullptr || own->state == PermitState::Releasing ||
        own->state == PermitState::FloorReleasing || overFloor) {
      aEntry.released = true;
      plan_.write = true;
      return;
    }
    if (own->state != PermitState::Held) {
      return;
    }
    // A lease that has lapsed is never renewed: others may have counted on its end.
    const bool lapsed = own->deadline <= in_.now || !IsActive(aEntry);
    const bool due = own->deadline - in_.now <= init_.lease - init_.renewAfter;
    if (due && (!lapsed || init_.testIgnoreLease)) {
      aEntry.expiresMs = std::max(aEntry.expiresMs, tableNow_ + init_.lease.count());
      plan_.write = true;
    }
  }

  /// Upstreams that count against the floor besides aUpstream: a released or just expired entry
  /// counts, because a reader without contact to the table may still apply it.
  size_t CountedBesides(const std::string& aUpstream) const
  {
    std::set<std::string> counted;
    for (const EjectionEntry& entry : plan_.row.entries) {
      if (!IsRemovable(entry, 0) && !(entry.released && init_.testFreeReleased)) {
        counted.insert(entry.upstream);
      }
    }
    for (const auto& [upstream, until] : *in_.lost) {
      if (until > in_.now) {
        counted.insert(upstream);
      }
    }
    counted.erase(aUpstream);
    return static_cast<size_t>(std::count_if(counted.begin(), counted.end(), [&](const auto& aId) {
      return IsHealthy(*in_.health, aId);
    }));
  }

  void GrantWanted()
  {
    for (const auto& [upstream, own] : *in_.own) {
      if (own.state != PermitState::Wanted) {
        continue;
      }
      auto& entries = plan_.row.entries;
      const auto existing =
        std::find_if(entries.begin(), entries.end(), [&id = upstream](const auto& aEntry) {
          return aEntry.upstream == id;
        });
      if (existing != entries.end() && IsActive(*existing) && !IsOwn(*existing)) {
        plan_.denials.emplace_back(upstream, PermitEvent::HeldByOther);
      } else if (!IsHealthy(*in_.health, upstream)) {
        plan_.denials.emplace_back(upstream, PermitEvent::NotHealthy);
      } else if (!init_.testIgnoreFloor &&
                 in_.health->healthy.size() < CountedBesides(upstream) + 1 + in_.health->floor) {
        plan_.denials.emplace_back(upstream, PermitEvent::FloorReached);
      } else {
        Grant(upstream, own.recordId);
      }
    }
  }

  void Grant(const std::string& aUpstream, const std::string& aRecordId)
  {
    EjectionEntry entry{ aUpstream, init_.host, init_.incarnation, tableNow_, 0, aRecordId, false };
    entry.expiresMs = tableNow_ + init_.lease.count();
    for (const EjectionEntry& other : plan_.row.entries) {
      entry.grantedMs = std::max(entry.grantedMs, other.grantedMs);
      if (other.upstream == aUpstream) {
        entry.expiresMs = std::max(entry.expiresMs, other.expiresMs);
      }
    }
    std::erase_if(plan_.row.entries,
                  [&](const EjectionEntry& aOther) { return aOther.upstream == aUpstream; });
    plan_.row.entries.push_back(std::move(entry));
    plan_.write = true;
  }

  void RemoveExpired()
  {
    // An additional write only for this is spread; a write that happens anyway takes all along.
    const auto delay = static_cast<int64_t>(Hash64(init_.host) % kRemovalSpreadMs);
    auto& entries = plan_.row.entries;
    const bool alone = std::any_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
      return IsRemovable(aEntry, IsOwn(aEntry) ? 0 : delay);
    });
    if (plan_.write || alone) {
      plan_.write = true;
      std::erase_if(entries, [this](const auto& aEntry) { return IsRemovable(aEntry, 0); });
    }
  }

  const PermitInput& in_;
  const EjectionPermitsInit& init_;
  int64_t tableNow_;
  PermitPlan plan_;
};

} // namespace

TimePoint EntryDeadline(const EjectionEntry& aEntry,
                        const PermitSnapshot& aSnapshot,
                        Duration aLease)
{
  const Milliseconds remaining(aEntry.expiresMs - aSnapshot.nowMs);
  return aSnapshot.sentAt + std::min<Duration>(remaining, aLease);
}

std::vector<EjectionEntry> WithinFloor(std::vector<EjectionEntry> aEntries,
                                       const ServiceHealth& aHealth)
{
  std::sort(aEntries.begin(), aEntries.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.grantedMs, aLeft.upstream) < std::tie(aRight.grantedMs, aRight.upstream);
  });
  size_t capacity = aHealth.healthy.size();
  std::vector<EjectionEntry> allowed;
  for (EjectionEntry& entry : aEntries) {
    const bool healthy = IsHealthy(aHealth, entry.upstream);
    if (healthy && capacity < static_cast<size_t>(aHealth.floor) + 1) {
      continue;
    }
    capacity -= healthy ? 1 : 0;
    allowed.push_back(std::move(entry));
  }
  return allowed;
}

int64_t TableNowMs(const PermitSnapshot& aSnapshot, TimePoint aNow)
{
  return aSnapshot.nowMs + ToMilliseconds(aNow - aSnapshot.receivedAt);
}

PermitPlan PlanPermits(const PermitInput& aInput)
{
  return Planner(aInput).Run();
}

} // namespace bg::detail
