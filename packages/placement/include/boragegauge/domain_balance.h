#pragma once

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"

namespace bg::placement {

/// Why a request was sent to an upstream of another failure domain than that of its host.
enum class CrossingReason
{
  None,        ///< It was not.
  NoUpstream,  ///< Its domain has no upstream that the request may use.
  Unhealthy,   ///< All upstreams of its domain are suspects, overdue or unproven.
  PathFailing, ///< Requests of its domain fail at the upstreams of its domain.
  NoFreeSlot,  ///< All slots of the healthy upstreams of its domain are in use.
  FailureRisk, ///< The upstream has succeeded much more recently than those of its domain.
  Exploration, ///< Coverage, a trial or a proof that no request of the upstream's domain provides.

  Count
};

std::string_view ToString(CrossingReason aReason);

/// The upstreams of a failure domain that one request may use.
struct DomainSlots
{
  uint32_t upstreams = 0; ///< All of them.
  uint32_t healthy = 0;   ///< Those that are neither suspects nor overdue, proven if need be.
  uint32_t freeSlots = 0; ///< Of the healthy ones.
  uint32_t slots = 0;     ///< Of the healthy ones.
};

/// Decides whether a request leaves its failure domain, and where to.
///
/// Answers the load of a service whose demand and upstreams are spread differently over the
/// failure domains: demand comes in waves, callers move, and the upstreams of a domain fail, are
/// slow or refuse, for all callers or those of one domain. A request stays while its domain has a
/// healthy upstream with a free slot. Otherwise it leaves at once, to the domain with the most
/// spare slots: an allocator has at most 64 upstreams, so that waiting for one of the slots of its
/// domain takes longer than the path (0.9 ms each way) unless the service takes some 40 ms or less.
/// The load is exact at any time, so that there is no delayed feedback that could oscillate.
///
/// Domains are numbered by IndexOf().
class DomainBalance
{
public:
  /// Number of a domain, which is added if necessary.
  size_t IndexOf(std::string_view aDomain);
  size_t Count() const { return names_.size(); }
  const std::string& Name(size_t aDomain) const { return names_[aDomain]; }

  /// Records that a request of a domain arrived. @param aIsExploring It may test upstreams.
  void RecordRequest(size_t aHome, bool aIsExploring, TimePoint aNow);
  /// Whether requests of a domain test its upstreams, so that others need not.
  bool HasOwnExplorers(size_t aDomain, TimePoint aNow) const;
  /// Whether requests of one domain currently fail at the upstreams of another, or of its own.
  bool IsPathFailing(size_t aHome, size_t aDomain) const;
  /// Whether one request may test a failing path.
  bool IsPathProbeDue(size_t aHome, size_t aDomain, TimePoint aNow) const;

  /// Cost of each domain for a request, see SlotAllocator::Cost(). Only valid until the next call.
  /// @param aSlots By domain. @param aBytes Of the request and its expected response.
  std::span<const double> Costs(size_t aHome,
                                std::span<const DomainSlots> aSlots,
                                size_t aBytes,
                                bool aIsExploring,
                                TimePoint aNow);
  /// The same for requests that may leave their domain at any time, for a cost by their size.
  std::span<const double> CrossingCosts(size_t aHome, size_t aDomains, size_t aBodyBytes);
  /// Why a request of a domain goes to an upstream that was selected without a special reason.
  CrossingReason Reason(size_t aHome, size_t aTarget, std::span<const DomainSlots> aSlots) const;

  void RecordGrant(size_t aHome, size_t aTarget, CrossingReason aReason, TimePoint aNow);
  /// Records the result of a request at an upstream that was no suspect when it was granted.
  /// @param aSuccessAge Time since the last success of the upstream as of the grant.
  void RecordResult(size_t aHome, size_t aTarget, bool aHasFailed, Duration aSuccessAge);
  /// Failures per request and second since the last success of its upstream, as learned.
  double RiskPerSecond() const;

  /// What leaves a domain.
  struct Outflow
  {
    std::array<uint64_t, static_cast<size_t>(CrossingReason::Count)> grants{};
    CrossingReason reason = CrossingReason::None; ///< Of the last request that had to leave.
    TimePoint since{};                            ///< Start of the current period of these.
    TimePoint lastAt{};
  };
  const Outflow& Leaving(size_t aHome) const { return outflows_[aHome]; }
  /// Whether requests have had to leave a domain recently, other than to explore.
  bool IsLeaving(size_t aHome, TimePoint aNow) const;

private:
  /// Results of the requests of one domain at the upstreams of one.
  struct Path
  {
    double results = 0; ///< Exponentially decaying counts.
    double failures = 0;
    bool isFailing = false;
    uint32_t probeSuccesses = 0; ///< In a row.
    TimePoint lastGrantAt{};
  };
  Path& PathOf(size_t aHome, size_t aTarget) { return paths_[{ aHome, aTarget }]; }

  std::vector<std::string> names_;
  std::vector<TimePoint> lastExplorerAt_; ///< By domain.
  std::vector<Outflow> outflows_;         ///< By domain.
  std::map<std::pair<size_t, size_t>, Path> paths_;
  std::vector<double> costs_;
  // Exponentially decaying sums of the linear regression of failures on the age of the last
  // success.
  double samples_ = 0;
  double ages_ = 0;
  double failures_ = 0;
  double squaredAges_ = 0;
  double failedAges_ = 0;
};

} // namespace bg::placement
