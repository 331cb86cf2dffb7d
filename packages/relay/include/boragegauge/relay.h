#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"

/// How a host that has lost its links to upstreams still serves its callers. Decision code without
/// I/O and clocks.
namespace bg::relay {

/// Finds out from the connections to upstreams whether this host has lost its links to them.
///
/// One upstream that cannot be reached may have crashed. If several in a row cannot and none can in
/// between, the cause is more likely at this host. Connections to two of them end it.
class LinkMonitor
{
public:
  static constexpr size_t kLostUpstreams = 3;
  static constexpr size_t kRegainedUpstreams = 2;

  /// Records a connection that was established. @return True if the host has regained its links.
  bool RecordConnected(std::string_view aUpstream, TimePoint aNow);
  /// Records a connection that failed. @return True if the host has lost its links.
  bool RecordUnreachable(std::string_view aUpstream, TimePoint aNow);

  /// Whether the host reaches no upstream.
  bool HasLostLinks() const { return hasLostLinks_; }
  /// Whether the last connection failed, so that this host cannot tell whether the upstream or its
  /// own links are the cause.
  bool IsInDoubt() const { return !failed_.empty(); }
  /// Since when HasLostLinks() is what it is.
  TimePoint Since() const { return since_; }

  /// Whether a connection should be tried to find out whether the links are back.
  bool IsTrialDue(TimePoint aNow) const;
  void RecordTrial(TimePoint aNow) { lastTrial_ = aNow; }

private:
  bool hasLostLinks_ = false;
  TimePoint since_{};
  TimePoint lastFailure_{};
  TimePoint lastTrial_{};
  std::set<std::string, std::less<>> failed_;    ///< Since the last connection.
  std::set<std::string, std::less<>> connected_; ///< Since the links were lost or a trial failed.
};

} // namespace bg::relay
