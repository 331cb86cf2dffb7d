#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "boragegauge/quota_host.h"
#include "boragegauge/quota_owner.h"
#include "messages_p.h"
#include "slot_client_p.h"

namespace bg::fleet::detail {

struct QuotaClientInit
{
  Members* members = nullptr;
  std::function<void(std::string_view aHost, wire::Envelope aMessage)> send = nullptr;
  /// Runs a callback once after a delay; a destroyed handle cancels it.
  std::function<std::shared_ptr<void>(Duration, std::function<void()>)> runAfter = nullptr;
  std::function<TimePoint()> now = nullptr;
  /// An account of the configuration in force; null: it does not contain it.
  std::function<std::shared_ptr<const ClientAccount>(std::string_view aName)> findAccount = nullptr;
  /// Whether the configuration in force contains accounts with a quota.
  std::function<bool()> hasQuotas = nullptr;
  /// Whether this host has read the members of the fleet.
  std::function<bool()> knowsMembers = nullptr;
  quota::Bounds bounds;
  bool isFirstStart = false; ///< No process of the fleet has run before this one.
};

struct QuotaClientStats
{
  quota::QuotaHostStats host;
  size_t accounts = 0;      ///< That requests of this host belong to.
  size_t ownedAccounts = 0; ///< Whose buckets this host keeps.
  size_t avoidedOwners = 0;
  uint64_t pauses = 0; ///< After which this host has started its buckets anew.
  /// Rejections by account, of at most kMaxReportedAccounts; of the others by an empty name.
  std::map<std::string, uint64_t> rejected;
};

/// Gets tokens for the requests of this host from the owners of their accounts, and keeps the token
/// buckets of the accounts that this host owns. Control thread only.
class QuotaClient
{
public:
  /// Accounts that are named in the metrics. Bounds the number of time series.
  static constexpr size_t kMaxReportedAccounts = 100;

  using Callback = std::function<void(bool aIsGranted, Duration aRetryAfter)>;

  explicit QuotaClient(QuotaClientInit aInit);
  QuotaClient(const QuotaClient&) = delete;
  QuotaClient& operator=(const QuotaClient&) = delete;

  /// Gets a token for a request, or none if it needs none: its account has no quota, or the request
  /// was charged before.
  /// @param aCallback Called once, possibly before this call returns, unless the request is
  /// cancelled first.
  void Acquire(uint64_t aSequence, const SlotQuery& aQuery, Callback aCallback);
  /// Abandons a request that has no token yet.
  void Cancel(uint64_t aSequence);
  /// Ends a charge, see SlotQuery::charge. @param aMayHaveRun False: the token is refunded.
  void Settle(uint64_t aCharge, bool aMayHaveRun);
  void HandleMessage(const wire::Envelope& aMessage);
  /// Records that a host has announced its stop.
  void RecordLeaving(std::string_view aHost);
  void Tick(TimePoint aNow);
  /// Cancels the timers.
  void Stop();
  QuotaClientStats Stats() const;
  std::string Describe() const; ///< One line for /state.

private:
  /// A request that waits for a token.
  struct PendingRequest
  {
    std::string account;
    uint64_t charge = 0;
    TimePoint deadline{};
    Callback callback;
  };
  /// A request that has a token.
  struct Charge
  {
    std::string account;
    TimePoint expiresAt{}; ///< It is not settled if the process of its session has failed.
  };

  std::vector<std::string> Candidates(size_t aPartition, TimePoint aNow) const;
  std::optional<quota::Limits> LimitsOf(std::string_view aAccount) const;
  void OnDecision(uint64_t aSequence, bool aIsGranted, Duration aRetryAfter);
  void RecordRejection(const std::string& aAccount);
  void UpdateFleet();
  void SendMessages();
  void ScheduleMessages();
  void ScheduleTimeouts();
  void HandleRequest(const wire::Envelope& aMessage);
  void HandleAnswer(const wire::Envelope& aMessage);
  void LogChanges(TimePoint aNow);
  const std::string& Self() const { return init_.members->Self().host; }

  QuotaClientInit init_;
  std::unique_ptr<quota::QuotaOwner> owner_;
  std::unique_ptr<quota::QuotaHost> host_;
  std::unordered_map<uint64_t, PendingRequest> pendingRequests_;
  std::unordered_map<uint64_t, Charge> charges_;
  std::vector<std::string> partitionKeys_; ///< For Members::Allocators().
  uint64_t membersDigest_ = 0;             ///< As of the last UpdateFleet().
  bool knowsMembers_ = false;              ///< The same.
  uint32_t topCapacity_ = 0;               ///< Largest capacity class.
  std::shared_ptr<void> sendTimer_;
  std::shared_ptr<void> timeoutTimer_;
  TimePoint nextChargeRemoval_{};
  TimePoint nextLog_{};
  quota::QuotaHostStats logged_; ///< As of the last LogChanges().
  uint64_t loggedPauses_ = 0;
  std::map<std::string, uint64_t> rejected_;         ///< See QuotaClientStats::rejected.
  std::map<std::string, uint64_t> rejectedUnlogged_; ///< Since the last LogChanges().
};

} // namespace bg::fleet::detail
