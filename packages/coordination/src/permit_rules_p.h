#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "boragegauge/coordination.h"

/// Rules of the ejection permits, without I/O: which entries a reader may apply and which row a
/// proxy commits.
namespace bg::detail {

/// One row ejections/SERVICE as this proxy last read or committed it.
struct PermitSnapshot
{
  bool valid = false;    ///< The row was read or committed at least once.
  bool readable = false; ///< The format is supported; any other row is neither applied nor written.
  uint64_t version = 0;
  EjectionsRow row;
  int64_t nowMs = 0;    ///< Table's clock in the response.
  TimePoint sentAt;     ///< Local time just before the request was sent.
  TimePoint receivedAt; ///< Local time when the response arrived.
};

enum class PermitState
{
  Requested,
  Held,
  Releasing,
  ReleasingForFloor,

  Count
};

/// A permit that this proxy has requested, holds or is releasing.
struct LocalPermit
{
  PermitState state = PermitState::Requested;
  std::string recordId;
  TimePoint requestedAt;
  TimePoint deadline; ///< End of the lease; set while Held.
};

using LocalPermits = std::map<std::string, LocalPermit, std::less<>>;

/// Upstreams whose entry disappeared before it expired, and the time until which they still count
/// as ejected. Entries disappear early only when the table is restored from an older copy.
using MissingEntries = std::map<std::string, TimePoint, std::less<>>;

/// Local time until which a reader may apply an entry: at most one lease after the row was
/// requested, because a table clock that is set back must not prolong an entry.
TimePoint EntryDeadline(const EjectionEntry& aEntry,
                        const PermitSnapshot& aSnapshot,
                        Duration aLease);

/// Sorts the entries by grant time, then by upstream id, and drops those that would leave fewer
/// healthy upstreams than the floor. Entries of unhealthy upstreams are always kept: they take no
/// capacity.
std::vector<EjectionEntry> SelectWithinFloor(std::vector<EjectionEntry> aEntries,
                                             const ServiceHealth& aHealth);

struct PermitInput
{
  const EjectionPermitsInit* init = nullptr;
  const PermitSnapshot* snapshot = nullptr;
  const LocalPermits* localPermits = nullptr;
  const MissingEntries* missingEntries = nullptr;
  const ServiceHealth* health = nullptr;
  TimePoint now;
};

struct PermitPlan
{
  bool commitNeeded = false;
  EjectionsRow row;
  std::vector<std::pair<std::string, PermitEvent>> denials; ///< Upstream and reason.
  /// Upstreams of local permits that must be released, because the floor no longer allows them.
  std::vector<std::string> permitsOverFloor;
};

/// Lower bound of the table's clock at aNow, so that an entry is never removed early.
int64_t TableNowMs(const PermitSnapshot& aSnapshot, TimePoint aNow);

/// Computes the row that this proxy should commit next. The commit must be conditional on the
/// version of the snapshot.
PermitPlan PlanPermits(const PermitInput& aInput);

} // namespace bg::detail
