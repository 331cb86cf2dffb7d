// The part of SlotClient that keeps requests that crash upstreams from further upstreams.
#include <fmt/format.h>

#include "request_fingerprint_p.h"
#include "slot_client_p.h"

namespace bg::fleet::detail {

using quarantine::Crash;
using quarantine::Decision;

std::string SlotClient::TrialShard(const std::string& aService, uint64_t aFingerprint) const
{
  const auto count = shardCounts_.find(aService);
  const size_t shards = count == shardCounts_.end() ? 1 : count->second;
  return ShardKey(aService, aFingerprint % shards);
}

bool SlotClient::CheckQuarantine(uint64_t aSequence)
{
  PendingRequest& pending = pendingRequests_.at(aSequence);
  const quarantine::Verdict verdict = quarantine_.Check(pending.query.fingerprint, init_.now());
  if (verdict.decision == Decision::Allow) {
    return true;
  }
  if (verdict.decision == Decision::Reject) {
    OnRefused(aSequence, "request_quarantined", verdict.retryAfter);
    return false;
  }
  if (pending.query.isRetry) {
    // Another attempt has just crashed an upstream.
    OnRefused(aSequence, "request_suspected", kTrialRetryAfter);
    return false;
  }
  pending.isSuspectTrial = true;
  pending.shard = TrialShard(pending.query.service, pending.query.fingerprint);
  return true;
}

bool SlotClient::StartTrial(uint64_t aSequence, TimePoint aNow)
{
  const SlotQuery& query = pendingRequests_.at(aSequence).query;
  if (trials_.TryAcquire(query.fingerprint, { selfKey_, aSequence }, query.deadline, aNow)) {
    return true;
  }
  OnRefused(aSequence, "request_on_trial", kTrialRetryAfter);
  return false;
}

void SlotClient::LogCrash(uint64_t aFingerprint,
                          const Crash& aCrash,
                          std::string_view aRequestId,
                          std::string_view aTarget) const
{
  const TimePoint now = init_.now();
  const quarantine::SuspectRequest& request = *quarantine_.Find(aFingerprint);
  const quarantine::Verdict verdict = quarantine_.Check(aFingerprint, now);
  Log(verdict.decision == Decision::Allow ? LogLevel::Info : LogLevel::Warning,
      "request_crash",
      { { "request_id", aRequestId },
        { "fingerprint", FormatFingerprint(aFingerprint) },
        { "target", aTarget.substr(0, aTarget.find('?')) },
        { "upstream", aCrash.upstream },
        { "started_at_ms", aCrash.startedAtMs },
        { "peer", aCrash.source },
        { "age_ms", (now - aCrash.endedAt) / Milliseconds(1) },
        { "crashes", request.CountSequentialCrashes() },
        { "decision", quarantine::ToString(verdict.decision) },
        { "retry_ms", verdict.retryAfter / Milliseconds(1) } });
}

void SlotClient::ReportCrash(uint64_t aFingerprint,
                             Crash aCrash,
                             std::string_view aRequestId,
                             std::string_view aTarget)
{
  aCrash.source = Self();
  const TimePoint now = init_.now();
  if (!quarantine_.RecordCrash(aFingerprint, aCrash, now)) {
    return;
  }
  LogCrash(aFingerprint, aCrash, aRequestId, aTarget);
  if (quarantine_.Check(aFingerprint, now).decision == Decision::Reject) {
    unsavedSuspects_.insert(aFingerprint);
  }
  NotifyNews();
}

void SlotClient::RecordSurvival(uint64_t aFingerprint, TimePoint aNow)
{
  const quarantine::SuspectRequest* request = quarantine_.Find(aFingerprint);
  const size_t crashes = request == nullptr ? 0 : request->CountSequentialCrashes();
  if (!quarantine_.RecordSurvival(aFingerprint, aNow)) {
    return;
  }
  Log(LogLevel::Info,
      "request_cleared",
      { { "fingerprint", FormatFingerprint(aFingerprint) }, { "peer", Self() } });
  if (crashes >= quarantine::RequestQuarantine::kQuarantineCrashes) {
    unsavedSuspects_.insert(aFingerprint);
  }
  NotifyNews();
}

bool SlotClient::HandleSuspectRequests(std::span<const quarantine::SuspectRequest> aRequests,
                                       std::string_view aPeer)
{
  const TimePoint now = init_.now();
  bool isNews = false;
  for (const quarantine::SuspectRequest& request : aRequests) {
    const Decision before = quarantine_.Check(request.fingerprint, now).decision;
    if (!quarantine_.Merge(request, now)) {
      continue;
    }
    isNews = true;
    const quarantine::SuspectRequest* known = quarantine_.Find(request.fingerprint);
    if (known == nullptr || known->crashes.empty()) {
      Log(LogLevel::Info,
          "request_cleared",
          { { "fingerprint", FormatFingerprint(request.fingerprint) }, { "peer", aPeer } });
    } else if (quarantine_.Check(request.fingerprint, now).decision != before) {
      LogCrash(request.fingerprint, known->crashes.back(), "", "");
    }
  }
  return isNews;
}

} // namespace bg::fleet::detail
