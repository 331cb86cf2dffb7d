#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "boragegauge/base.h"

namespace bg::placement {

/// Requests, and retries of requests.
struct RetryCounts
{
  uint32_t requests = 0;
  uint32_t retries = 0;
};

/// Counts requests and retries over a sliding window.
class RetryUsage
{
public:
  explicit RetryUsage(Duration aWindow);
  void Add(const RetryCounts& aCounts, TimePoint aNow);
  RetryCounts At(TimePoint aNow) const;

private:
  static constexpr size_t kBuckets = 10;
  struct Bucket
  {
    int64_t index = -1;
    RetryCounts counts;
  };

  Duration bucketLength_;
  std::array<Bucket, kBuckets> buckets_;
};

/// Retry budget of a service over a sliding window, as one of its holders keeps it. It limits how
/// many requests are sent to a second upstream.
///
/// There are several holders at once and one after the other: the allocators of the shards, those
/// that replace them, and hosts that reach none. Each request counts for one of them. A holder that
/// stops takes its counts with it, so that hosts keep what other holders have counted for them and
/// report it to each new one. A holder to which nobody can tell what has been spent grants nothing
/// for a window.
class RetryBudget
{
public:
  struct Init
  {
    double ratio = 0.2; ///< Retries per request.
    double slack = 0;   ///< Retries per window allowed in addition to the ratio.
    Duration window = std::chrono::seconds(10);
  };
  /// The part of the service that a holder serves.
  struct Share
  {
    double slack = 1; ///< Share of the slack that belongs to this holder, 0 to 1.
    size_t hosts = 1; ///< Hosts whose requests it may get.
  };
  explicit RetryBudget(const Init& aInit);

  /// Sets the start of the process. What an earlier one has counted is known to hosts only. By
  /// default, there was none.
  void SetStart(TimePoint aStartedAt);
  /// Counts a request that no other holder has counted.
  void OnRequest(TimePoint aNow);
  /// Sets what other holders have counted for a host within the window, which replaces its report
  /// before.
  /// @param aIsComplete The host knows all of the window.
  void SetElsewhere(uint64_t aHost, const RetryCounts& aCounts, bool aIsComplete, TimePoint aNow);
  /// Spends one retry if one is left.
  /// @param aBudgetShare Share of the budget that this kind of retry may use up, 0 to 1.
  bool TryTake(const Share& aShare, TimePoint aNow, double aBudgetShare = 1);
  /// Share of the budget that this holder has spent by itself, 0 to 1.
  double UsedShare(const Share& aShare, TimePoint aNow) const;
  /// Retries per second that this holder may grant in the long run.
  double PerSecond(const Share& aShare, TimePoint aNow) const;

private:
  struct Report
  {
    RetryCounts counts;
    bool isComplete = false;
    TimePoint at{};
  };
  double Left(const Share& aShare, TimePoint aNow, double aBudgetShare);

  Init init_;
  TimePoint startedAt_{};
  RetryUsage usage_;
  std::unordered_map<uint64_t, Report> elsewhere_; ///< By LeaseId::host.
};

} // namespace bg::placement
