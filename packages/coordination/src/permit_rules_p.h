#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "boragegauge/coordination.h"

/// Rules of the ejection permits without I/O: what may be applied and what is to be written.
namespace bg::detail {

/// One row ejections/SERVICE as it was read, or written, by this proxy.
struct PermitSnapshot
{
  bool valid = false;    ///< Read at least once.
  bool readable = false; ///< Of a known format; otherwise it is neither applied nor written.
  uint64_t version = 0;
  EjectionsRow row;
  int64_t nowMs = 0;    ///< Table's clock in the response.
  TimePoint sentAt;     ///< Before the request was sent.
  TimePoint receivedAt; ///< After the response arrived.
};

enum class PermitState
{
  Wanted,
  Held,
  Releasing,
  FloorReleasing,

  Count
};

/// A permit that this proxy wants, holds or gives up.
struct OwnPermit
{
  PermitState state = PermitState::Wanted;
  std::string recordId;
  TimePoint since;    ///< When it was asked for.
  TimePoint deadline; ///< When Held.
};

using OwnPermits = std::map<std::string, OwnPermit, std::less<>>;

/// Upstreams whose entry disappeared before it expired, and how long they count as ejected. Only a
/// table that was restored from an older copy loses entries in this way.
using LostEntries = std::map<std::string, TimePoint, std::less<>>;

/// Local time until which a reader may apply an entry. Later than the lease never: a table clock
/// that was set back must not prolong an entry.
TimePoint EntryDeadline(const EjectionEntry& aEntry,
                        const PermitSnapshot& aSnapshot,
                        Duration aLease);

/// Orders by grant, ties by upstream id, and leaves out what the floor does not allow. Entries of
/// upstreams that are not healthy take no capacity.
std::vector<EjectionEntry> WithinFloor(std::vector<EjectionEntry> aEntries,
                                       const ServiceHealth& aHealth);

struct PermitInput
{
  const EjectionPermitsInit* init = nullptr;
  const PermitSnapshot* snapshot = nullptr;
  const OwnPermits* own = nullptr;
  const LostEntries* lost = nullptr;
  const ServiceHealth* health = nullptr;
  TimePoint now;
};

struct PermitPlan
{
  bool write = false;
  EjectionsRow row;
  std::vector<std::pair<std::string, PermitEvent>> denials; ///< Upstream and reason.
  std::vector<std::string> floorReleases;                   ///< Own permits over the floor.
};

/// Lower bound of the table's clock now, so that an entry is never removed early.
int64_t TableNowMs(const PermitSnapshot& aSnapshot, TimePoint aNow);

/// The row that this proxy wants to write, from a snapshot. The write must be conditional on the
/// snapshot's version.
PermitPlan PlanPermits(const PermitInput& aInput);

} // namespace bg::detail
