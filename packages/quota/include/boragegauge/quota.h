#pragma once

#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"

/// Quotas of client accounts over all hosts of a fleet. Each account has an owner, a host that
/// keeps its token bucket; the hosts get tokens from it for the requests of their callers. Neither
/// clock nor network is used: the caller passes the time and carries the messages.
namespace bg::quota {

/// Accounts are grouped by hash, so that hosts are ranked per group and not per account. Enough to
/// spread the accounts over the strong hosts of a fleet of planned size (about 140).
constexpr size_t kPartitions = 256;
using Partitions = std::bitset<kPartitions>;

size_t PartitionOf(std::string_view aAccount);

/// Quota of an account over all hosts. Both 0: there is none.
struct Limits
{
  double perSecond = 0;
  double burst = 0;

  bool HasLimit() const { return perSecond > 0 || burst > 0; }
};

/// What all hosts together may let through beyond the limits of an account.
struct Bounds
{
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1; ///< Share of the requests that the limits allow in a window.
  double slack = 20;      ///< Requests per window in addition.

  /// Requests per window that the limits allow.
  double Nominal(const Limits& aLimits) const;
  /// Requests per window beyond these.
  double Overshoot(const Limits& aLimits) const;
};

/// Request of a host for tokens of an account.
struct TokenRequest
{
  std::string account;
  uint64_t id = 0;       ///< Returned with the answer; 0: none is wanted.
  uint32_t wanted = 0;   ///< For requests that wait.
  uint32_t ahead = 0;    ///< For requests that are expected soon.
  uint32_t returned = 0; ///< Tokens of the receiver that were not used.
};

struct TokenAnswer
{
  std::string account;
  uint64_t id = 0;
  uint32_t granted = 0;
  bool isKnown = true;      ///< False: the owner does not know the account.
  Duration retryAfter{ 0 }; ///< To the next token, if fewer were granted than wanted.
};

/// Message of a host to an owner. Without items it says only which partitions the host uses it for.
struct OwnerRequest
{
  Partitions used; ///< Partitions whose owner the receiver is for the sender.
  /// Those of them whose previous owner was told that the sender does not use it any more.
  Partitions handedOver;
  std::vector<TokenRequest> items;
};

struct OwnerAnswer
{
  std::vector<TokenAnswer> items;
};

} // namespace bg::quota
