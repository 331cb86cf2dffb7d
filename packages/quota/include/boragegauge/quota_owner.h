#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "boragegauge/host_reach.h"

namespace bg::quota {

struct QuotaOwnerInit
{
  Bounds bounds;
  /// Limits of an account in the configuration in force; nothing: it does not know the account.
  std::function<std::optional<Limits>(std::string_view aAccount)> limits = nullptr;
  std::string self;          ///< This host.
  TimePoint startedAt{};     ///< Of the process.
  bool isFirstStart = false; ///< No process of the fleet has run before this one.
};

/// The token buckets of the accounts that hosts use this host as the owner for.
///
/// Load: all requests of these accounts, up to some thousand messages per second. Each bucket has
/// the share of the limits that the hosts which use this host have of all hosts, see HostReach.
/// Nothing is known of what a previous owner has granted, so that a bucket starts with a part of
/// the overshoot and fills at the rate.
class QuotaOwner
{
public:
  /// Part of the overshoot that an owner starts with if half of the hosts use it, as those with
  /// requests do first. With HostReach::kMaturity it keeps callers at the usual 0.6 of the rate
  /// going until the successor of an owner is used by all of them.
  static constexpr double kStartPart = 0.4;
  /// Part of the overshoot that all owners have together, whoever uses them: an owner that a single
  /// host reaches can serve accounts whose share for one host is less than a token.
  static constexpr double kOwnersPart = 0.05;
  /// Part of the slack by which bursts may exceed the limit: requests that an ideal bucket admits
  /// must not be rejected because messages take different times.
  static constexpr double kBurstSlackPart = 0.25;
  /// A longer gap between two updates is a pause of the process, in which hosts have gone to other
  /// owners. Shorter than HostReach::kReachPeriod.
  static constexpr Duration kMinPause = Milliseconds(500);

  explicit QuotaOwner(QuotaOwnerInit aInit);

  /// Sets the number of hosts, and of those among them that may be owners of any partition.
  /// @param aIsOwner This host is one of them.
  void SetFleet(size_t aHosts, size_t aOwners, bool aIsOwner);
  OwnerAnswer Handle(std::string_view aHost, const OwnerRequest& aRequest, TimePoint aNow);
  void RemoveHost(std::string_view aHost, TimePoint aNow) { reach_.Remove(aHost, aNow); }
  /// Must be called at least ten times per second.
  void Update(TimePoint aNow);

  const HostReach& Reach() const { return reach_; }
  size_t Accounts() const { return buckets_.size(); }
  uint64_t Pauses() const { return pauses_; }

private:
  struct Bucket
  {
    double level = 0;
    TimePoint updatedAt{};
    double startShare = 0; ///< Share of the hosts that the start of the bucket was granted for.
  };

  Bucket& Refill(const std::string& aAccount, const Limits& aLimits, TimePoint aNow);
  void Fill(Bucket& aBucket, size_t aPartition, const Limits& aLimits, TimePoint aNow) const;
  double Capacity(const Limits& aLimits, double aShare) const;
  /// Tokens of a bucket of which nothing is known. @param aShare Of the hosts that use this host.
  double Start(const Limits& aLimits, double aShare) const;
  double OwnersStart(const Limits& aLimits) const;
  /// Fraction of a token, the same for each request of an account, that rounds grants up: without
  /// it, many hosts with a share of less than a token would grant nothing at all.
  double Phase(std::string_view aAccount) const;
  TokenAnswer Grant(const TokenRequest& aRequest, TimePoint aNow);
  void RemoveFullBuckets(TimePoint aNow);

  QuotaOwnerInit init_;
  HostReach reach_;
  uint64_t seed_;
  size_t owners_ = 1;
  bool isOwner_ = true;
  std::unordered_map<std::string, Bucket> buckets_;
  TimePoint updatedAt_{};
  TimePoint nextRemoval_{};
  uint64_t pauses_ = 0;
};

} // namespace bg::quota
