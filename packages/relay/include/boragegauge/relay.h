#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
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
  /// Whether another upstream than this one could not be reached either.
  bool IsInDoubtBeside(std::string_view aUpstream) const
  {
    return failed_.size() > (failed_.contains(aUpstream) ? 1U : 0U);
  }
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

/// A host that sends requests to upstreams for other hosts.
struct RelayPeer
{
  std::string host;
  std::string address;
  uint16_t port = 0;
  std::string failureDomain;
};

using RelayPeers = std::vector<RelayPeer>;

/// Selects the host that sends a request for this one: at random, so that the load is spread; of
/// those that have just served, if there are enough, because others may have lost their links as
/// well; and of the own failure domain first.
class RelaySelector
{
public:
  /// @param aFailureDomain Of this host.
  explicit RelaySelector(std::string aFailureDomain);

  void SetPeers(std::shared_ptr<const RelayPeers> aPeers);
  bool HasPeers() const { return !peers_->empty(); }
  /// @param aTried Hosts that were tried for the request. @param aRandom Uniformly distributed.
  /// @return Null if no host is left.
  const RelayPeer* Select(std::span<const std::string> aTried, uint64_t aRandom, TimePoint aNow);

  void RecordServed(const std::string& aHost, TimePoint aNow);
  /// Records that a host cannot send requests for others now.
  void RecordUnable(const std::string& aHost, Duration aPeriod, TimePoint aNow);

private:
  struct State
  {
    TimePoint servedAt{};
    TimePoint unableUntil{};
  };
  std::string failureDomain_;
  std::shared_ptr<const RelayPeers> peers_;
  std::map<std::string, State, std::less<>> states_; ///< By host, as far as they were used.
};

} // namespace bg::relay
