// The part of FleetControl that makes all hosts know of requests that crash upstreams.
#include <fmt/format.h>

#include "control_p.h"

namespace bg::fleet::detail {

namespace {

/// Views carry news of suspect requests for this long, so that a lost view does not matter. A host
/// that receives no views for longer asks for the state, and then gets all of them.
constexpr Duration kSuspectNewsPeriod = std::chrono::seconds(3);
/// Suspect requests in one message; each takes some 60 bytes a crash.
constexpr size_t kMaxSharedSuspects = 64;
/// Limits of the interval between requests for the suspect requests of a peer that knows others.
/// The lower one is longer than news takes to reach all hosts.
constexpr Duration kMinSuspectsRequestInterval = Milliseconds(500);
constexpr Duration kMaxSuspectsRequestInterval = std::chrono::seconds(32);
/// Rows of quarantined requests stand in the table of the members, which each host reads when it
/// starts. There are so many; of requests that share a row, the later one is kept.
constexpr std::string_view kSuspectKeyPrefix = "suspect#";
constexpr uint64_t kSuspectRows = 256;
constexpr Duration kSuspectsDeadline = Milliseconds(1500);
/// Delay after a failed write.
constexpr Duration kSaveRetryDelay = std::chrono::seconds(1);

} // namespace

void FleetControl::AddSuspectRequests(wire::View& aView, bool aAll, TimePoint aNow) const
{
  for (const quarantine::SuspectRequest* request :
       slots_->Quarantine().MostSuspected(kMaxSharedSuspects)) {
    if (aAll || aNow - request->changedAt < kSuspectNewsPeriod) {
      *aView.add_suspects() = ToWire(*request, aNow);
    }
  }
  aView.set_suspects_digest(slots_->Quarantine().Digest());
}

bool FleetControl::HandleSuspects(
  const google::protobuf::RepeatedPtrField<wire::SuspectRequest>& aRequests,
  const std::string& aHost,
  TimePoint aNow)
{
  std::vector<quarantine::SuspectRequest> requests;
  for (const wire::SuspectRequest& request : aRequests) {
    requests.push_back(FromWire(request, aNow));
  }
  return slots_->HandleSuspectRequests(requests, aHost);
}

/// Exchanges the suspect requests with the sender of a view that knows others: a host that has
/// started or was cut off has missed the views with the news, and so have the others its own.
void FleetControl::CheckSuspects(const wire::View& aView, const std::string& aHost, TimePoint aNow)
{
  const bool isFirstView = !std::exchange(hasComparedSuspects_, true);
  if (aView.suspects_digest() == slots_->Quarantine().Digest()) {
    suspectsRequestInterval_ = kMinSuspectsRequestInterval;
    nextSuspectsRequest_ = aNow + kMinSuspectsRequestInterval;
    awaitsSuspects_ = false;
    return;
  }
  if (!isFirstView && aNow < nextSuspectsRequest_) {
    return;
  }
  awaitsSuspects_ = isFirstView;
  nextSuspectsRequest_ = aNow + suspectsRequestInterval_ + Jitter(suspectsRequestInterval_);
  suspectsRequestInterval_ = std::min(suspectsRequestInterval_ * 2, kMaxSuspectsRequestInterval);
  wire::Envelope envelope;
  wire::Hello& hello = *envelope.mutable_hello();
  hello.set_wants_suspects(true);
  for (const quarantine::SuspectRequest* request :
       slots_->Quarantine().MostSuspected(kMaxSharedSuspects)) {
    *hello.add_suspects() = ToWire(*request, aNow);
  }
  Send(aHost, std::move(envelope));
}

bool FleetControl::LoadSuspect(const StoreRow& aRow)
{
  if (!aRow.key.starts_with(kSuspectKeyPrefix)) {
    return false;
  }
  wire::StoredSuspect stored;
  if (!stored.ParseFromString(aRow.value)) {
    Log(LogLevel::Warning, "suspect_unreadable", { { "key", aRow.key } });
    return true;
  }
  const int64_t age = std::max<int64_t>(0, WallClockMs() - stored.saved_at_ms());
  const quarantine::SuspectRequest request = FromWire(stored.request(), Now() - Milliseconds(age));
  hasNews_ = slots_->HandleSuspectRequests({ &request, 1 }, "store") || hasNews_;
  return true;
}

/// Writes the requests that this host has seen quarantined or cleared.
void FleetControl::SaveSuspects(TimePoint aNow)
{
  if (slots_->UnsavedSuspects().empty() || aNow < nextSuspectsSave_) {
    return;
  }
  for (const uint64_t fingerprint : std::exchange(slots_->UnsavedSuspects(), {})) {
    const quarantine::SuspectRequest* request = slots_->Quarantine().Find(fingerprint);
    if (request == nullptr) {
      continue;
    }
    wire::StoredSuspect stored;
    *stored.mutable_request() = ToWire(*request, aNow);
    stored.set_saved_at_ms(WallClockMs());
    platform_.store->Put(
      kMembersTable,
      fmt::format("{}{:03}", kSuspectKeyPrefix, fingerprint % kSuspectRows),
      stored.SerializeAsString(),
      kSuspectsDeadline,
      [this, fingerprint](const Result<StorePosition>& aResult) {
        if (aResult) {
          return;
        }
        Log(LogLevel::Warning,
            "suspect_save_failed",
            { { "step", aResult.Failure().step }, { "error", aResult.Failure().code.message() } });
        slots_->UnsavedSuspects().insert(fingerprint);
        nextSuspectsSave_ = Now() + kSaveRetryDelay;
      });
  }
}

} // namespace bg::fleet::detail
