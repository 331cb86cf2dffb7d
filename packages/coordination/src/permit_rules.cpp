#include "permit_rules_p.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "coordination_p.h"

namespace bg::detail {

namespace {

/// Each proxy delays the removal of other proxies' expired entries by a fixed time below this
/// limit, derived from its host name. The first proxy removes them, and the others need no commit.
constexpr uint64_t kRemovalJitterMs = 8000;

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
    , tableNowMs_(TableNowMs(*aInput.snapshot, aInput.now))
  {
    plan_.row = aInput.snapshot->row;
  }

  PermitPlan Run()
  {
    FindPermitsOverFloor();
    for (EjectionEntry& entry : plan_.row.entries) {
      if (IsLocal(entry) && !entry.released) {
        UpdateLocalEntry(entry);
      }
    }
    GrantRequests();
    RemoveExpired();
    return std::move(plan_);
  }

private:
  bool IsLocal(const EjectionEntry& aEntry) const
  {
    return aEntry.holder == init_.host && aEntry.incarnation == init_.incarnation;
  }

  bool IsActive(const EjectionEntry& aEntry) const
  {
    return !aEntry.released && (init_.testIgnoreLease || aEntry.expiresMs > tableNowMs_);
  }

  bool IsRemovable(const EjectionEntry& aEntry, int64_t aExtraDelayMs) const
  {
    return aEntry.expiresMs + init_.removeAfterExpiry.count() + aExtraDelayMs <= tableNowMs_;
  }

  const LocalPermit* FindLocalPermit(const std::string& aUpstream) const
  {
    const auto found = in_.localPermits->find(aUpstream);
    return found == in_.localPermits->end() ? nullptr : &found->second;
  }

  void FindPermitsOverFloor()
  {
    if (init_.testIgnoreFloor) {
      return;
    }
    std::vector<EjectionEntry> active;
    std::copy_if(plan_.row.entries.begin(),
                 plan_.row.entries.end(),
                 std::back_inserter(active),
                 [this](const EjectionEntry& aEntry) { return IsActive(aEntry); });
    const std::vector<EjectionEntry> allowed = SelectWithinFloor(active, *in_.health);
    for (const EjectionEntry& entry : active) {
      const LocalPermit* permit = IsLocal(entry) ? FindLocalPermit(entry.upstream) : nullptr;
      if (permit != nullptr && permit->state == PermitState::Held &&
          std::find(allowed.begin(), allowed.end(), entry) == allowed.end()) {
        plan_.permitsOverFloor.push_back(entry.upstream);
      }
    }
  }

  void UpdateLocalEntry(EjectionEntry& aEntry)
  {
    const LocalPermit* permit = FindLocalPermit(aEntry.upstream);
    const bool overFloor =
      std::find(plan_.permitsOverFloor.begin(), plan_.permitsOverFloor.end(), aEntry.upstream) !=
      plan_.permitsOverFloor.end();
    // An entry without a local permit comes from a commit that took effect late.
    if (permit == nullptr || permit->state == PermitState::Releasing ||
        permit->state == PermitState::ReleasingForFloor || overFloor) {
      aEntry.released = true;
      plan_.commitNeeded = true;
      return;
    }
    if (permit->state != PermitState::Held) {
      return;
    }
    // An expired lease is never renewed: another proxy may already use the freed capacity.
    const bool expired = permit->deadline <= in_.now || !IsActive(aEntry);
    const bool renewalDue = permit->deadline - in_.now <= init_.lease - init_.renewAfter;
    if (renewalDue && (!expired || init_.testIgnoreLease)) {
      aEntry.expiresMs = std::max(aEntry.expiresMs, tableNowMs_ + init_.lease.count());
      plan_.commitNeeded = true;
    }
  }

  /// Number of healthy upstreams other than aUpstream that count as ejected. Released and recently
  /// expired entries count too, because a reader that cannot reach the table may still apply them.
  size_t CountOtherEjected(const std::string& aUpstream) const
  {
    std::set<std::string> ejected;
    for (const EjectionEntry& entry : plan_.row.entries) {
      if (!IsRemovable(entry, 0) && !(entry.released && init_.testFreeReleased)) {
        ejected.insert(entry.upstream);
      }
    }
    for (const auto& [upstream, until] : *in_.missingEntries) {
      if (until > in_.now) {
        ejected.insert(upstream);
      }
    }
    ejected.erase(aUpstream);
    return static_cast<size_t>(std::count_if(ejected.begin(), ejected.end(), [&](const auto& aId) {
      return IsHealthy(*in_.health, aId);
    }));
  }

  void GrantRequests()
  {
    for (const auto& [upstream, permit] : *in_.localPermits) {
      if (permit.state != PermitState::Requested) {
        continue;
      }
      auto& entries = plan_.row.entries;
      const auto existing =
        std::find_if(entries.begin(), entries.end(), [&id = upstream](const auto& aEntry) {
          return aEntry.upstream == id;
        });
      if (existing != entries.end() && IsActive(*existing) && !IsLocal(*existing)) {
        plan_.denials.emplace_back(upstream, PermitEvent::HeldByOther);
      } else if (!IsHealthy(*in_.health, upstream)) {
        plan_.denials.emplace_back(upstream, PermitEvent::NotHealthy);
      } else if (!init_.testIgnoreFloor &&
                 in_.health->healthy.size() < CountOtherEjected(upstream) + 1 + in_.health->floor) {
        plan_.denials.emplace_back(upstream, PermitEvent::FloorReached);
      } else {
        Grant(upstream, permit.recordId);
      }
    }
  }

  void Grant(const std::string& aUpstream, const std::string& aRecordId)
  {
    EjectionEntry entry{
      aUpstream, init_.host, init_.incarnation, tableNowMs_, 0, aRecordId, false
    };
    entry.expiresMs = tableNowMs_ + init_.lease.count();
    // The grant time never decreases, so a new permit sorts last even after a table clock step.
    for (const EjectionEntry& other : plan_.row.entries) {
      entry.grantedMs = std::max(entry.grantedMs, other.grantedMs);
      if (other.upstream == aUpstream) {
        entry.expiresMs = std::max(entry.expiresMs, other.expiresMs);
      }
    }
    std::erase_if(plan_.row.entries,
                  [&](const EjectionEntry& aOther) { return aOther.upstream == aUpstream; });
    plan_.row.entries.push_back(std::move(entry));
    plan_.commitNeeded = true;
  }

  void RemoveExpired()
  {
    // A commit made only to remove expired entries is delayed by the jitter. A commit that is
    // needed for another reason removes all of them at once.
    const auto delay = static_cast<int64_t>(Hash64(init_.host) % kRemovalJitterMs);
    auto& entries = plan_.row.entries;
    const bool removalDue = std::any_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
      return IsRemovable(aEntry, IsLocal(aEntry) ? 0 : delay);
    });
    if (plan_.commitNeeded || removalDue) {
      plan_.commitNeeded = true;
      std::erase_if(entries, [this](const auto& aEntry) { return IsRemovable(aEntry, 0); });
    }
  }

  const PermitInput& in_;
  const EjectionPermitsInit& init_;
  int64_t tableNowMs_;
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

std::vector<EjectionEntry> SelectWithinFloor(std::vector<EjectionEntry> aEntries,
                                             const ServiceHealth& aHealth)
{
  std::sort(aEntries.begin(), aEntries.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.grantedMs, aLeft.upstream) < std::tie(aRight.grantedMs, aRight.upstream);
  });
  size_t available = aHealth.healthy.size();
  std::vector<EjectionEntry> allowed;
  for (EjectionEntry& entry : aEntries) {
    const bool healthy = IsHealthy(aHealth, entry.upstream);
    if (healthy && available < static_cast<size_t>(aHealth.floor) + 1) {
      continue;
    }
    available -= healthy ? 1 : 0;
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
