#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "boragegauge/quota.h"

namespace bg::quota {

struct QuotaHostInit
{
  std::string self; ///< This host.
  /// Hosts that may be the owner of a partition, best first.
  std::function<std::vector<std::string>(size_t aPartition, TimePoint aNow)> candidates = nullptr;
  /// Called once for each request that was not cancelled, possibly from within a call.
  /// @param aRetryAfter If it was rejected: when the account has a token again.
  std::function<void(uint64_t aRequest, bool aIsGranted, Duration aRetryAfter)> onDecision =
    nullptr;
  uint64_t firstId = 1; ///< Of the requests for tokens; not one of an earlier process of this host.
};

struct QuotaHostStats
{
  uint64_t granted = 0;
  uint64_t rejected = 0;
  uint64_t refunded = 0;
  uint64_t ownRequests = 0;   ///< Requests for tokens that this host decided without an owner.
  uint64_t timeouts = 0;      ///< Requests for tokens that an owner did not answer.
  uint64_t ownersAvoided = 0; ///< Times that an owner was given up until it answers again.
  uint64_t messages = 0;      ///< To owners, without this host.
};

/// Gets tokens for the requests of one host.
///
/// Load: the requests of the callers of one host. While a request for tokens is under way, further
/// ones of the same account wait for its answer and go along with the next one, so that an account
/// has at most one message per round trip, however many requests there are. Busy accounts get some
/// tokens ahead. A request within the quota is not lost with a message or an owner: it is repeated
/// to the same owner, then to others, and at last this host decides by its own share of the limit.
class QuotaHost
{
public:
  /// Until the next owner is asked.
  static constexpr Duration kAnswerTimeout = Milliseconds(60);
  /// Until the same owner is asked again, once; a message may have been lost with its connection.
  static constexpr Duration kRepeatTimeout = Milliseconds(25);
  /// Owners that are asked for one request before this host decides: 180 ms at most.
  static constexpr uint32_t kMaxOwners = 3;
  /// Tokens that were got ahead, or refunded, are returned after this long. Within the window of a
  /// quota, tokens of a longer time can be used: this much more of the rate.
  static constexpr Duration kLeasePeriod = Milliseconds(150);
  static constexpr uint32_t kMaxAhead = 64; ///< Bounds what a host that stops takes along.
  /// An owner that did not answer is not used for this long, and until it answers a heartbeat.
  static constexpr Duration kAvoidPeriod = std::chrono::seconds(1);
  /// Owners that leave heartbeats unanswered for this long are avoided, so that hosts without
  /// requests are counted by the successor of an owner that has stopped.
  static constexpr Duration kHeartbeatTimeout = Milliseconds(150);
  /// Until an unanswered heartbeat is repeated.
  static constexpr Duration kHeartbeatRepeat = Milliseconds(50);
  /// Rejections within this time of one by the owner need no message. Short, because refunds and
  /// other owners may provide tokens earlier than announced.
  static constexpr Duration kMaxKnownEmptyPeriod = Milliseconds(100);
  /// A longer gap between two updates is a stall of this host: the answers may be here already, so
  /// that nothing has timed out. Twice the interval of its ticks.
  static constexpr Duration kMaxUpdateGap = Milliseconds(100);
  /// State of an account without requests is dropped after this long.
  static constexpr Duration kIdlePeriod = std::chrono::seconds(10);

  struct Message
  {
    std::string owner; ///< May be this host.
    OwnerRequest request;
  };

  explicit QuotaHost(QuotaHostInit aInit);

  /// Gets a token for a request.
  void Acquire(uint64_t aRequest, const std::string& aAccount, TimePoint aNow);
  /// Abandons a request that has no decision yet. @return False if there is no such request.
  bool Cancel(uint64_t aRequest, const std::string& aAccount);
  /// Gives back the token of a request that has not run and never will.
  void Refund(const std::string& aAccount, TimePoint aNow);
  void HandleAnswer(std::string_view aOwner, const OwnerAnswer& aAnswer, TimePoint aNow);
  /// Applies timeouts. Must be called every 10 ms while IsAsking().
  void Update(TimePoint aNow);
  bool IsAsking() const { return !asking_.empty(); }
  /// Whether there are messages to send before the next heartbeat.
  bool HasMessages() const { return !outbox_.empty() || !changed_.empty(); }
  /// The messages to send now: requests for tokens and heartbeats that are due.
  std::vector<Message> TakeMessages(TimePoint aNow);
  /// Selects the owners again, after a change of the members.
  void SelectOwners(TimePoint aNow);

  /// The owner that this host uses for an account; itself if it reaches none.
  const std::string& OwnerOf(std::string_view aAccount) const;
  size_t Accounts() const { return accounts_.size(); }
  size_t AvoidedOwners() const { return avoided_.size(); }
  const QuotaHostStats& Stats() const { return stats_; }

private:
  struct Account
  {
    std::deque<uint64_t> waiting;
    uint32_t leased = 0;
    TimePoint leaseUntil{};
    std::string leaseOwner;
    uint64_t askId = 0; ///< 0: no request for tokens is under way.
    uint32_t asked = 0; ///< Waiting requests that it is for.
    std::string askedOwner;
    TimePoint askedAt{};
    bool isRepeated = false;
    uint32_t timeouts = 0;    ///< Owners that did not answer.
    bool isForcedOwn = false; ///< This host decides.
    TimePoint emptyUntil{};   ///< When the owner has a token again, at most kMaxKnownEmptyPeriod.
    TimePoint retryAt{};      ///< The same without the maximum.
    double demand = 0;        ///< Requests per second, smoothed.
    TimePoint lastRequestAt{};
  };
  struct Owner
  {
    TimePoint lastMessageAt{};
    TimePoint unansweredSince{}; ///< Unset: it has answered since the last message.
  };

  void RecordDemand(Account& aAccount, TimePoint aNow) const;
  void ServeWaiting(const std::string& aName, Account& aAccount, TimePoint aNow);
  void Ask(const std::string& aName, Account& aAccount, TimePoint aNow);
  void PostAsk(const std::string& aName, const Account& aAccount, TimePoint aNow);
  void OnTimeout(const std::string& aName, Account& aAccount, TimePoint aNow);
  void Reject(Account& aAccount, uint32_t aCount, Duration aRetryAfter);
  void Lease(const std::string& aName,
             Account& aAccount,
             uint32_t aTokens,
             std::string_view aOwner,
             TimePoint aNow);
  void Return(const std::string& aName, std::string_view aOwner, uint32_t aTokens);
  void AvoidOwner(const std::string& aOwner, TimePoint aNow);
  void CheckOwners(TimePoint aNow);
  void RestartTimeouts(TimePoint aNow);
  void IncludeWaiting(OwnerRequest& aRequest);
  bool IsMessageDue(const std::string& aOwner, TimePoint aNow) const;
  void HandleItem(std::string_view aOwner, const TokenAnswer& aAnswer, TimePoint aNow);

  QuotaHostInit init_;
  uint64_t nextId_;
  std::unordered_map<std::string, Account> accounts_;
  std::set<std::string> asking_; ///< Accounts with a request for tokens under way.
  std::set<std::string> leased_; ///< Accounts with leased tokens.
  std::map<std::string, std::vector<TokenRequest>, std::less<>> outbox_; ///< By owner.
  std::map<std::string, Owner, std::less<>> owners_;      ///< That messages are sent to.
  std::map<std::string, TimePoint, std::less<>> avoided_; ///< Since when, by owner.
  std::array<std::string, kPartitions> ownerOf_;
  std::map<std::string, Partitions, std::less<>> used_; ///< By owner.
  Partitions handedOver_;                               ///< See OwnerRequest::handedOver.
  std::set<std::string> changed_;                       ///< Owners that used_ has changed for.
  std::set<std::string> standby_; ///< First and second of any partition, avoided or not.
  TimePoint nextSelection_{};
  TimePoint updatedAt_{};
  TimePoint nextRemoval_{};
  QuotaHostStats stats_;
};

} // namespace bg::quota
