#pragma once

#include <algorithm>

#include "boragegauge/base.h"

namespace bg::fleet::detail {

/// The times of a graceful stop. Load: as many requests as callers send to a host until the load
/// balancer has removed it, while upstreams may have no room for them.
struct StopSchedule
{
  TimePoint startedAt{};
  Duration limit{ 0 }; ///< From the signal to SIGKILL.

  /// Time for the load balancer to remove this host. It checks readiness once a second and removes
  /// a host after two failures.
  Duration balancerNotice = Milliseconds(2800);
  /// Between the end of the process and SIGKILL, whose time counts from before startedAt.
  Duration exitMargin = Milliseconds(100);
  /// Time for the last refusals to reach their callers.
  Duration refusalTime = Milliseconds(500);

  /// When the listening socket is closed: no caller is sent to this host any more, or the time does
  /// not suffice to wait for that.
  TimePoint NoticeEnd() const { return std::min(startedAt + balancerNotice, RefuseAt()); }
  /// When the process ends, whatever is still unfinished.
  TimePoint End() const { return startedAt + limit - exitMargin; }
  /// From then on requests that no upstream works at are refused.
  TimePoint RefuseAt() const { return End() - refusalTime; }
  /// When a request may be sent to an upstream at the latest, so that its response can be expected
  /// before the end. Another host can still serve one that is refused by then.
  /// @param aLatencyTarget Time that responses should take.
  TimePoint SendBy(Duration aLatencyTarget) const
  {
    return RefuseAt() - std::min(aLatencyTarget, limit / 3);
  }
};

} // namespace bg::fleet::detail
