#include <map>

#include "claim_sweeper_p.h"
#include "coordination_p.h"

namespace bg {

namespace {

/// Pause between attempts to learn the outcome of a commit whose response was lost.
constexpr Milliseconds kResolveInterval{ 100 };
/// A commit may take effect late. A claim that was given up is looked for, and deleted, for so
/// long; it was never sent, so that deleting it lets the caller use the key again.
constexpr Milliseconds kAbandonedTime{ 60000 };

/// A claim whose outcome is not known yet, or that was given up before it was known.
struct Attempt
{
  std::string rowKey;
  std::string service;
  ClaimRow row;
  TimePoint deadline;
  TimePoint retryAt;
  ClaimStore::Callback callback; ///< Empty once called.
  bool busy = false;
  bool unresolved = false; ///< A commit may have taken effect, or may still do so.
};

enum class HeldState
{
  Idle,
  Completing,
  Withdrawing,

  Count
};

/// A claim that this proxy won.
struct Held
{
  ClaimRow row;
  uint64_t version = 0;
  HeldState state = HeldState::Idle;
  TimePoint since; ///< When it began to be completed or withdrawn.
  TimePoint retryAt;
  bool busy = false;
};

} // namespace

struct ClaimStore::Impl : std::enable_shared_from_this<ClaimStore::Impl>
{
  explicit Impl(ClaimStoreInit aInit)
    : init(std::move(aInit))
    , sweeper(std::make_shared<detail::ClaimSweeper>(init, stats))
  {
  }

  // --- Claiming ---

  void SetClock(int64_t aNowMs)
  {
    tableNowMs = aNowMs;
    tableReadAt = init.now();
  }

  int64_t TableNowMs() const
  {
    return *tableNowMs + detail::ToMilliseconds(init.now() - tableReadAt);
  }

  Attempt* Find(uint64_t aId)
  {
    const auto found = attempts.find(aId);
    return found == attempts.end() ? nullptr : &found->second;
  }

  /// Calls back once; the attempt stays when a commit may still take effect.
  void Answer(uint64_t aId, ClaimResult aResult)
  {
    Attempt& attempt = attempts.at(aId);
    const Callback callback = std::exchange(attempt.callback, nullptr);
    const bool keep =
      aResult.status == ClaimStatus::StoreUnavailable && (attempt.unresolved || attempt.busy);
    if (!keep) {
      attempts.erase(aId);
    }
    if (callback) {
      --waiting;
      stats.won += aResult.status == ClaimStatus::Won ? 1 : 0;
      stats.refused += aResult.status == ClaimStatus::StoreUnavailable ? 1 : 0;
      callback(std::move(aResult));
    }
  }

  /// The commit of this attempt created the row.
  void Win(uint64_t aId, uint64_t aVersion)
  {
    Attempt& attempt = attempts.at(aId);
    const std::string rowKey = attempt.rowKey;
    Held& entry = held[rowKey];
    entry = Held();
    entry.row = attempt.row;
    entry.version = aVersion;
    if (attempt.callback) {
      return Answer(aId, { ClaimStatus::Won, rowKey, {} });
    }
    attempts.erase(aId);
    Begin(rowKey, HeldState::Withdrawing);
  }

  void Judge(uint64_t aId, const TableRow& aRow)
  {
    Attempt& attempt = attempts.at(aId);
    const auto row = DecodeClaim(aRow.value);
    if (row && row->token == attempt.row.token) {
      return Win(aId, aRow.version);
    }
    attempt.unresolved = false;
    // A row of another format is a claim by a later release, of unknown state.
    ClaimResult result{ ClaimStatus::InProgressOrUnknown, "", {} };
    if (row && row->requestDigest != attempt.row.requestDigest) {
      result.status = ClaimStatus::KeyReused;
    } else if (row && row->state == ClaimState::Done) {
      result.status = ClaimStatus::AlreadyDone;
      result.outcome = row->outcome;
    }
    Answer(aId, std::move(result));
  }

  void Commit(uint64_t aId)
  {
    Attempt& attempt = attempts.at(aId);
    attempt.busy = true;
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
        aSelf.FinishCommit(aId, aReply);
      }));
  }

  void FinishCommit(uint64_t aId, const Result<CommitReply>& aReply)
  {
    Attempt& attempt = attempts.at(aId);
    attempt.busy = false;
    if (!aReply) {
      if (aReply.Failure().code != Errc::OutcomeUnknown) {
        return FailAttempt(aId);
      }
      ++stats.unknown;
      attempt.unresolved = true;
      return init.testTrustLostResponse ? Win(aId, 0) : Read(aId);
    }
    SetClock(aReply->nowMs);
    if (aReply->committed) {
      return Win(aId, aReply->version);
    }
    Judge(aId, aReply->conflicts.empty() ? TableRow() : aReply->conflicts.front());
  }

  void FailAttempt(uint64_t aId)
  {
    Attempt& attempt = attempts.at(aId);
    if (attempt.unresolved) {
      attempt.retryAt = init.now() + kResolveInterval;
      return;
    }
    Answer(aId, {});
  }

  void Read(uint64_t aId)
  {
    Attempt& attempt = attempts.at(aId);
    attempt.busy = true;
    init.platform->ReadRow(
      attempt.rowKey,
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aId](Impl& aSelf, const Result<RowReply>& aReply) {
        aSelf.FinishRead(aId, aReply);
      }));
  }

  void FinishRead(uint64_t aId, const Result<RowReply>& aReply)
  {
    Attempt& attempt = attempts.at(aId);
    attempt.busy = false;
    if (!aReply) {
      return FailAttempt(aId);
    }
    SetClock(aReply->nowMs);
    if (aReply->row.version != 0) {
      return Judge(aId, aReply->row);
    }
    if (attempt.callback) {
      // The same token again: whichever commit takes effect, the claim is won once.
      return Commit(aId);
    }
    if (!attempt.unresolved) {
      attempts.erase(aId);
      return;
    }
    attempt.retryAt = init.now() + kResolveInterval * 10;
  }

  void TickAttempts(TimePoint aNow)
  {
    std::vector<uint64_t> ids;
    for (const auto& [id, attempt] : attempts) {
      ids.push_back(id);
    }
    for (const uint64_t id : ids) {
      if (Attempt* attempt = Find(id);
          attempt != nullptr && attempt->callback && aNow >= attempt->deadline) {
        Answer(id, {});
      }
      Attempt* attempt = Find(id);
      if (attempt == nullptr || attempt->busy) {
        continue;
      }
      if (!attempt->callback && aNow >= attempt->deadline + kAbandonedTime) {
        attempts.erase(id);
      } else if (aNow >= attempt->retryAt) {
        Read(id);
      }
    }
  }

  // --- Outcomes and withdrawals ---

  void Begin(const std::string& aRowKey, HeldState aState)
  {
    const auto found = held.find(aRowKey);
    if (found == held.end()) {
      return;
    }
    found->second.state = aState;
    found->second.since = init.now();
    Push(aRowKey, found->second);
  }

  void Push(const std::string& aRowKey, Held& aHeld)
  {
    if (aHeld.busy) {
      return;
    }
    aHeld.busy = true;
    CommitRequest request;
    request.conditions = { { aRowKey, aHeld.version } };
    if (aHeld.state == HeldState::Completing) {
      request.puts = { { aRowKey, EncodeClaim(aHeld.row) } };
    } else {
      request.deletes = { aRowKey };
    }
    init.platform->Commit(std::move(request),
                          init.callDeadline,
                          detail::Guarded(shared_from_this(),
                                          [aRowKey, token = aHeld.row.token](
                                            Impl& aSelf, const Result<CommitReply>& aReply) {
                                            aSelf.FinishPush(aRowKey, token, aReply);
                                          }));
  }

  void FinishPush(const std::string& aRowKey,
                  const std::string& aToken,
                  const Result<CommitReply>& aReply)
  {
    const auto found = held.find(aRowKey);
    if (found == held.end() || found->second.row.token != aToken) {
      return; // Forgotten, or the key was withdrawn and claimed again.
    }
    Held& entry = found->second;
    entry.busy = false;
    if (!aReply) {
      // After a lost response the repeated commit meets a conflict that shows the row.
      entry.retryAt = init.now() + init.retryInterval;
      return;
    }
    SetClock(aReply->nowMs);
    const bool completing = entry.state == HeldState::Completing;
    if (aReply->committed) {
      stats.outcomesStored += completing ? 1 : 0;
      held.erase(aRowKey);
      return;
    }
    UseConflict(aRowKey, entry, aReply->conflicts.empty() ? TableRow() : aReply->conflicts.front());
  }

  void UseConflict(const std::string& aRowKey, Held& aHeld, const TableRow& aRow)
  {
    const bool completing = aHeld.state == HeldState::Completing;
    const auto row = DecodeClaim(aRow.value);
    const bool own = row && row->token == aHeld.row.token;
    if (own && row->state == ClaimState::Done) {
      stats.outcomesStored += completing ? 1 : 0;
      held.erase(aRowKey);
    } else if (own || (aRow.version == 0 && completing)) {
      // The table was restored from an older copy: the outcome is stored over it.
      aHeld.version = aRow.version;
      Push(aRowKey, aHeld);
    } else {
      stats.outcomesGivenUp += completing ? 1 : 0;
      held.erase(aRowKey);
    }
  }

  void TickHeld(TimePoint aNow)
  {
    for (auto entry = held.begin(); entry != held.end();) {
      Held& claim = entry->second;
      if (claim.state == HeldState::Idle || claim.busy || aNow < claim.retryAt) {
        ++entry;
      } else if (aNow - claim.since >= init.outcomeLimit) {
        stats.outcomesGivenUp += claim.state == HeldState::Completing ? 1 : 0;
        entry = held.erase(entry);
      } else {
        Push(entry->first, claim);
        ++entry;
      }
    }
  }

  ClaimStoreInit init;
  ClaimStoreStats stats;
  std::optional<int64_t> tableNowMs;
  TimePoint tableReadAt;
  std::map<uint64_t, Attempt> attempts;
  std::map<std::string, Held> held; ///< By row key.
  uint64_t nextId = 1;
  size_t waiting = 0;
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
  impl_->TickHeld(aNow);
  impl_->sweeper->Tick(aNow);
}

void ClaimStore::Claim(ClaimRequest aRequest, TimePoint aDeadline, Callback aCallback)
{
  if (impl_->waiting >= impl_->init.maxWaiting) {
    ++impl_->stats.refused;
    return aCallback({});
  }
  const uint64_t id = impl_->nextId++;
  Attempt& attempt = impl_->attempts[id];
  attempt.rowKey = ClaimKey(aRequest.service, aRequest.account, aRequest.idempotencyKey);
  attempt.row.token = RandomToken();
  attempt.row.requestDigest = std::move(aRequest.requestDigest);
  attempt.deadline = aDeadline;
  attempt.callback = std::move(aCallback);
  ++impl_->waiting;
  // The age of a claim is counted on the table's clock, which the first read tells.
  if (impl_->tableNowMs) {
    impl_->Commit(id);
  } else {
    impl_->Read(id);
  }
}

void ClaimStore::Complete(const std::string& aRowKey, ClaimOutcome aOutcome)
{
  if (const auto found = impl_->held.find(aRowKey); found != impl_->held.end()) {
    found->second.row.state = ClaimState::Done;
    found->second.row.outcome = std::move(aOutcome);
    impl_->Begin(aRowKey, HeldState::Completing);
  }
}

void ClaimStore::Withdraw(const std::string& aRowKey)
{
  impl_->Begin(aRowKey, HeldState::Withdrawing);
}

void ClaimStore::Forget(const std::string& aRowKey)
{
  impl_->held.erase(aRowKey);
}

const ClaimStoreStats& ClaimStore::Stats() const
{
  return impl_->stats;
}

} // namespace bg
