#include <map>

#include "claim_sweeper_p.h"
#include "coordination_p.h"

namespace bg {

namespace {

/// Delay between reads that resolve the outcome of a commit whose response was lost.
constexpr Milliseconds kResolveRetryDelay{ 100 };
/// A commit may take effect after its claim was refused. For this time the row is looked for and
/// deleted. Its request was never sent, so deleting the row lets the caller use the key again.
constexpr Milliseconds kLateCommitWindow{ 60000 };

/// A claim that is not decided yet, or that was refused while its commit could still take effect.
struct ClaimAttempt
{
  std::string rowKey;
  std::string service;
  ClaimRow row;
  TimePoint deadline;
  TimePoint retryAt;
  ClaimStore::Callback callback; ///< Empty after the call.
  bool callInProgress = false;
  bool outcomeUnknown = false; ///< A commit may have taken effect or may still do so.
};

enum class WonClaimState
{
  Idle,
  Completing,
  Releasing,

  Count
};

/// A claim that this proxy won, until its row is updated or deleted or it is abandoned.
struct WonClaim
{
  ClaimRow row;
  uint64_t version = 0;
  WonClaimState state = WonClaimState::Idle;
  TimePoint updateStartedAt; ///< When the update or deletion of the row began.
  TimePoint retryAt;
  bool callInProgress = false;
};

} // namespace

struct ClaimStore::Impl : std::enable_shared_from_this<ClaimStore::Impl>
{
  explicit Impl(ClaimStoreInit aInit)
    : init(std::move(aInit))
    , sweeper(std::make_shared<detail::ClaimSweeper>(init, stats))
  {
  }

  // --- Claim attempts ---

  void UpdateTableClock(int64_t aNowMs)
  {
    tableNowMs = aNowMs;
    tableReadAt = init.now();
  }

  int64_t TableNowMs() const
  {
    return *tableNowMs + detail::ToMilliseconds(init.now() - tableReadAt);
  }

  ClaimAttempt* FindAttempt(uint64_t aId)
  {
    const auto found = attempts.find(aId);
    return found == attempts.end() ? nullptr : &found->second;
  }

  /// Calls the callback unless it was called before. The attempt is kept when a commit may still
  /// take effect.
  void ReportResult(uint64_t aId, ClaimResult aResult)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    const Callback callback = std::exchange(attempt.callback, nullptr);
    const bool keepAttempt = aResult.status == ClaimStatus::StoreUnavailable &&
                             (attempt.outcomeUnknown || attempt.callInProgress);
    if (!keepAttempt) {
      attempts.erase(aId);
    }
    if (callback) {
      --pendingCount;
      stats.won += aResult.status == ClaimStatus::Won ? 1 : 0;
      stats.refused += aResult.status == ClaimStatus::StoreUnavailable ? 1 : 0;
      callback(std::move(aResult));
    }
  }

  /// The commit of this attempt created the row.
  void HandleWon(uint64_t aId, uint64_t aVersion)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    const std::string rowKey = attempt.rowKey;
    WonClaim& claim = wonClaims[rowKey];
    claim = WonClaim();
    claim.row = attempt.row;
    claim.version = aVersion;
    if (attempt.callback) {
      return ReportResult(aId, { ClaimStatus::Won, rowKey, {} });
    }
    attempts.erase(aId);
    BeginUpdate(rowKey, WonClaimState::Releasing);
  }

  void EvaluateRow(uint64_t aId, const TableRow& aRow)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    const auto row = DecodeClaim(aRow.value);
    if (row && row->token == attempt.row.token) {
      return HandleWon(aId, aRow.version);
    }
    attempt.outcomeUnknown = false;
    // A row with an unsupported format was written by a later release; its state is unknown.
    ClaimResult result{ ClaimStatus::InProgressOrUnknown, "", {} };
    if (row && row->requestDigest != attempt.row.requestDigest) {
      result.status = ClaimStatus::KeyReused;
    } else if (row && row->state == ClaimState::Done) {
      result.status = ClaimStatus::AlreadyDone;
      result.outcome = row->outcome;
    }
    ReportResult(aId, std::move(result));
  }

  void Commit(uint64_t aId)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    attempt.callInProgress = true;
    attempt.row.createdMs = TableNowMs();
    CommitRequest request{ { { attempt.rowKey, 0 } },
                           { { attempt.rowKey, EncodeClaim(attempt.row) } },
                           {} };
    if (init.testIgnoreExistingClaim) {
      request.conditions.clear();
    }
    init.platform->Commit(
      std::move(request),
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aId](Impl& aSelf, const Result<CommitReply>& aReply) {
        aSelf.HandleCommitReply(aId, aReply);
      }));
  }

  void HandleCommitReply(uint64_t aId, const Result<CommitReply>& aReply)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    attempt.callInProgress = false;
    if (!aReply) {
      if (aReply.Failure().code != Errc::OutcomeUnknown) {
        return RetryOrRefuse(aId);
      }
      ++stats.unknownOutcomes;
      attempt.outcomeUnknown = true;
      return init.testTrustLostResponse ? HandleWon(aId, 0) : ReadRow(aId);
    }
    UpdateTableClock(aReply->nowMs);
    if (aReply->committed) {
      return HandleWon(aId, aReply->version);
    }
    EvaluateRow(aId, aReply->conflicts.empty() ? TableRow() : aReply->conflicts.front());
  }

  void RetryOrRefuse(uint64_t aId)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    if (attempt.outcomeUnknown) {
      attempt.retryAt = init.now() + kResolveRetryDelay;
      return;
    }
    ReportResult(aId, {});
  }

  void ReadRow(uint64_t aId)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    attempt.callInProgress = true;
    init.platform->ReadRow(
      attempt.rowKey,
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aId](Impl& aSelf, const Result<RowReply>& aReply) {
        aSelf.HandleReadReply(aId, aReply);
      }));
  }

  void HandleReadReply(uint64_t aId, const Result<RowReply>& aReply)
  {
    ClaimAttempt& attempt = attempts.at(aId);
    attempt.callInProgress = false;
    if (!aReply) {
      return RetryOrRefuse(aId);
    }
    UpdateTableClock(aReply->nowMs);
    if (aReply->row.version != 0) {
      return EvaluateRow(aId, aReply->row);
    }
    if (attempt.callback) {
      // Both commits carry the same token, so the claim is won once whichever takes effect.
      return Commit(aId);
    }
    if (!attempt.outcomeUnknown) {
      attempts.erase(aId);
      return;
    }
    // The commit may still take effect, but no caller waits any more, so reads are less frequent.
    attempt.retryAt = init.now() + kResolveRetryDelay * 10;
  }

  void TickAttempts(TimePoint aNow)
  {
    std::vector<uint64_t> ids;
    for (const auto& [id, attempt] : attempts) {
      ids.push_back(id);
    }
    for (const uint64_t id : ids) {
      if (ClaimAttempt* attempt = FindAttempt(id);
          attempt != nullptr && attempt->callback && aNow >= attempt->deadline) {
        ReportResult(id, {});
      }
      ClaimAttempt* attempt = FindAttempt(id);
      if (attempt == nullptr || attempt->callInProgress) {
        continue;
      }
      if (!attempt->callback && aNow >= attempt->deadline + kLateCommitWindow) {
        attempts.erase(id);
      } else if (aNow >= attempt->retryAt) {
        ReadRow(id);
      }
    }
  }

  // --- Outcomes and releases of won claims ---

  void BeginUpdate(const std::string& aRowKey, WonClaimState aState)
  {
    const auto found = wonClaims.find(aRowKey);
    if (found == wonClaims.end()) {
      return;
    }
    found->second.state = aState;
    found->second.updateStartedAt = init.now();
    CommitUpdate(aRowKey, found->second);
  }

  void CommitUpdate(const std::string& aRowKey, WonClaim& aClaim)
  {
    if (aClaim.callInProgress) {
      return;
    }
    aClaim.callInProgress = true;
    CommitRequest request;
    request.conditions = { { aRowKey, aClaim.version } };
    if (aClaim.state == WonClaimState::Completing) {
      request.puts = { { aRowKey, EncodeClaim(aClaim.row) } };
    } else {
      request.deletes = { aRowKey };
    }
    init.platform->Commit(std::move(request),
                          init.callDeadline,
                          detail::Guarded(shared_from_this(),
                                          [aRowKey, token = aClaim.row.token](
                                            Impl& aSelf, const Result<CommitReply>& aReply) {
                                            aSelf.HandleUpdateReply(aRowKey, token, aReply);
                                          }));
  }

  void HandleUpdateReply(const std::string& aRowKey,
                         const std::string& aToken,
                         const Result<CommitReply>& aReply)
  {
    const auto found = wonClaims.find(aRowKey);
    if (found == wonClaims.end() || found->second.row.token != aToken) {
      return; // The claim was abandoned, or released and won again.
    }
    WonClaim& claim = found->second;
    claim.callInProgress = false;
    if (!aReply) {
      // If this commit took effect, the retry gets a conflict response with the current row.
      claim.retryAt = init.now() + init.retryInterval;
      return;
    }
    UpdateTableClock(aReply->nowMs);
    const bool completing = claim.state == WonClaimState::Completing;
    if (aReply->committed) {
      stats.outcomesStored += completing ? 1 : 0;
      wonClaims.erase(aRowKey);
      return;
    }
    HandleUpdateConflict(
      aRowKey, claim, aReply->conflicts.empty() ? TableRow() : aReply->conflicts.front());
  }

  void HandleUpdateConflict(const std::string& aRowKey, WonClaim& aClaim, const TableRow& aRow)
  {
    const bool completing = aClaim.state == WonClaimState::Completing;
    const auto row = DecodeClaim(aRow.value);
    const bool sameClaim = row && row->token == aClaim.row.token;
    if (sameClaim && row->state == ClaimState::Done) {
      stats.outcomesStored += completing ? 1 : 0;
      wonClaims.erase(aRowKey);
    } else if (sameClaim || (aRow.version == 0 && completing)) {
      // The table was restored from an older copy; the update is repeated on its current version.
      aClaim.version = aRow.version;
      CommitUpdate(aRowKey, aClaim);
    } else {
      stats.outcomesDropped += completing ? 1 : 0;
      wonClaims.erase(aRowKey);
    }
  }

  void TickWonClaims(TimePoint aNow)
  {
    for (auto entry = wonClaims.begin(); entry != wonClaims.end();) {
      WonClaim& claim = entry->second;
      if (claim.state == WonClaimState::Idle || claim.callInProgress || aNow < claim.retryAt) {
        ++entry;
      } else if (aNow - claim.updateStartedAt >= init.outcomeTimeout) {
        stats.outcomesDropped += claim.state == WonClaimState::Completing ? 1 : 0;
        entry = wonClaims.erase(entry);
      } else {
        CommitUpdate(entry->first, claim);
        ++entry;
      }
    }
  }

  ClaimStoreInit init;
  ClaimStoreStats stats;
  std::optional<int64_t> tableNowMs;
  TimePoint tableReadAt;
  std::map<uint64_t, ClaimAttempt> attempts;
  std::map<std::string, WonClaim> wonClaims;
  uint64_t nextAttemptId = 1;
  size_t pendingCount = 0;
  std::shared_ptr<detail::ClaimSweeper> sweeper;
};

std::string_view ToString(ClaimStatus aStatus)
{
  static constexpr std::string_view kNames[] = {
    "won", "already_done", "in_progress_or_unknown", "key_reused", "store_unavailable"
  };
  const auto index = static_cast<size_t>(aStatus);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

ClaimStore::ClaimStore(ClaimStoreInit aInit)
  : impl_(std::make_shared<Impl>(std::move(aInit)))
{
}

ClaimStore::~ClaimStore() = default;

void ClaimStore::Tick(TimePoint aNow)
{
  impl_->TickAttempts(aNow);
  impl_->TickWonClaims(aNow);
  impl_->sweeper->Tick(aNow);
}

void ClaimStore::Claim(ClaimRequest aRequest, TimePoint aDeadline, Callback aCallback)
{
  if (impl_->pendingCount >= impl_->init.maxUndecidedClaims) {
    ++impl_->stats.refused;
    return aCallback({});
  }
  const uint64_t id = impl_->nextAttemptId++;
  ClaimAttempt& attempt = impl_->attempts[id];
  attempt.rowKey = ClaimKey(aRequest.service, aRequest.account, aRequest.idempotencyKey);
  attempt.row.token = RandomToken();
  attempt.row.requestDigest = std::move(aRequest.requestDigest);
  attempt.deadline = aDeadline;
  attempt.callback = std::move(aCallback);
  ++impl_->pendingCount;
  // The row stores its creation time on the table's clock, which is unknown before the first read.
  if (impl_->tableNowMs) {
    impl_->Commit(id);
  } else {
    impl_->ReadRow(id);
  }
}

void ClaimStore::Complete(const std::string& aRowKey, ClaimOutcome aOutcome)
{
  if (const auto found = impl_->wonClaims.find(aRowKey); found != impl_->wonClaims.end()) {
    found->second.row.state = ClaimState::Done;
    found->second.row.outcome = std::move(aOutcome);
    impl_->BeginUpdate(aRowKey, WonClaimState::Completing);
  }
}

void ClaimStore::Release(const std::string& aRowKey)
{
  impl_->BeginUpdate(aRowKey, WonClaimState::Releasing);
}

void ClaimStore::Abandon(const std::string& aRowKey)
{
  impl_->wonClaims.erase(aRowKey);
}

const ClaimStoreStats& ClaimStore::Stats() const
{
  return impl_->stats;
}

} // namespace bg
