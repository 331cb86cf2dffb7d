// The part of SlotClient that allocates the slots of the shards of this host.
#include <algorithm>

#include <fmt/format.h>

#include "request_fingerprint_p.h"
#include "slot_client_p.h"

namespace bg::fleet::detail {

namespace {

using placement::Outcome;

/// Suspects received from other allocators expire after this time without an update.
constexpr Duration kSharedSuspectPeriod = std::chrono::seconds(2);
/// A host that was asked for a slot of a shard within this time counts as its allocator: it shares
/// the suspects of the shard, and keeps its own when other hosts share theirs.
constexpr Duration kServingWindow = std::chrono::seconds(1);

/// An older limit is not reported to a new allocator: it may have ended at other hosts.
constexpr Duration kMaxReportedAge = std::chrono::seconds(10);
/// Between two answers to a host that carry the limits of upstreams.
constexpr Duration kLimitsInterval = std::chrono::seconds(1);
/// Hosts send a hello to their allocators every three seconds.
constexpr Duration kClientPeriod = std::chrono::seconds(4);

/// Key of the process that uses the slot of a message.
template<typename T>
uint64_t HolderKey(const T& aMessage, const wire::Envelope& aEnvelope)
{
  const wire::Member& sender = aEnvelope.sender();
  return aMessage.holder_key() != 0 ? aMessage.holder_key()
                                    : ProcessKey(sender.host(), sender.incarnation());
}

} // namespace

bool SlotClient::IsSharedSuspect(std::string_view aUpstream, TimePoint aNow) const
{
  const auto found = sharedSuspects_.find(aUpstream);
  return found != sharedSuspects_.end() && found->second > aNow;
}

void SlotClient::UpdateReach(std::string_view aKey, Shard& aShard, TimePoint aNow)
{
  const auto shards = shardCounts_.find(std::string(aKey.substr(0, aKey.rfind('#'))));
  aShard.allocator->SetReach(
    init_.members->CountClients(kClientPeriod, aNow),
    HostsPerShard(init_.members->Count(), shards == shardCounts_.end() ? 1 : shards->second));
}

void SlotClient::RecordServing(std::string_view aKey, Shard& aShard, TimePoint aNow)
{
  if (aNow - std::exchange(aShard.lastRequestAt, aNow) > kServingWindow) {
    UpdateReach(aKey, aShard, aNow);
  }
}

/// Logs each upstream that has become a suspect or is no longer one since the last call.
void SlotClient::LogSuspects(std::string_view aKey, Shard& aShard)
{
  std::vector<std::string> suspects = aShard.allocator->Suspects();
  const auto log = [&](std::string_view aEvent, const std::string& aUpstream) {
    Log(LogLevel::Info,
        aEvent,
        { { "upstream", aUpstream }, { "shard", aKey }, { "suspects", suspects.size() } });
  };
  for (const std::string& upstream : suspects) {
    if (!std::binary_search(aShard.suspects.begin(), aShard.suspects.end(), upstream)) {
      log("upstream_suspected", upstream);
    }
  }
  for (const std::string& upstream : aShard.suspects) {
    if (!std::binary_search(suspects.begin(), suspects.end(), upstream)) {
      log("upstream_cleared", upstream);
    }
  }
  aShard.suspects = std::move(suspects);
}

/// Sends the suspects of the shards that this host allocates to the hosts that would take over, and
/// to the allocators of the other shards, because upstreams move between shards when the number of
/// shards changes.
void SlotClient::ShareSuspects(TimePoint aNow)
{
  if (aNow < nextSuspectsShare_) {
    return;
  }
  nextSuspectsShare_ = aNow + init_.suspectsShareInterval;
  quarantine_.Expire(aNow);
  notices_.Expire([this](std::string_view aId) { return init_.registry->Find(aId); }, aNow);
  const std::vector<std::string> successors = Allocators(aNow);
  for (auto& [key, shard] : shards_) {
    if (aNow - shard.lastRequestAt > kServingWindow) {
      continue;
    }
    UpdateReach(key, shard, aNow);
    wire::Envelope envelope;
    wire::Suspects& suspects = *envelope.mutable_suspects();
    suspects.set_shard(key);
    LogSuspects(key, shard);
    LogDomains(key, shard, aNow);
    for (const std::string& upstream : shard.suspects) {
      suspects.add_upstreams(upstream);
      sharedSuspects_.insert_or_assign(upstream, aNow + kSharedSuspectPeriod);
    }
    for (const std::string& host : successors) {
      init_.send(host, envelope);
    }
    ShareLimits(key, *shard.allocator, successors);
  }
}

wire::Limits SlotClient::EncodeLimits(std::string_view aShard,
                                      std::span<const placement::LimitedUpstream> aUpstreams,
                                      bool aWithSends) const
{
  wire::Limits limits;
  limits.set_shard(std::string(aShard));
  for (const placement::LimitedUpstream& upstream : aUpstreams) {
    wire::UpstreamLimit& limit = *limits.add_limits();
    limit.set_upstream(upstream.id);
    limit.set_per_second(upstream.limit.PerSecond());
    limit.set_answer_age_ms(ToWireMs(init_.now() - upstream.limit.AnsweredAt()));
    limit.set_sends(aWithSends ? upstream.sends : 0);
    if (const auto known = limits_.find(upstream.id); known != limits_.end()) {
      limit.set_started_at_ms(known->second.startedAtMs);
      limit.set_source(known->second.source);
    }
  }
  return limits;
}

void SlotClient::ShareLimits(std::string_view aShard,
                             placement::SlotAllocator& aAllocator,
                             std::span<const std::string> aHosts)
{
  const std::vector<placement::LimitedUpstream> limited = aAllocator.TakeLimitedUpstreams();
  if (limited.empty()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_limits() = EncodeLimits(aShard, limited, true);
  for (const std::string& host : aHosts) {
    init_.send(host, envelope);
  }
}

void SlotClient::ReportLimits(std::string_view aHost, std::string_view aShard)
{
  auto limited = GetShard(aShard).allocator->LimitedUpstreams();
  std::erase_if(limited, [now = init_.now()](const placement::LimitedUpstream& aUpstream) {
    return now - aUpstream.limit.AnsweredAt() > kMaxReportedAge;
  });
  if (!limited.empty()) {
    wire::Envelope envelope;
    *envelope.mutable_limits() = EncodeLimits(aShard, limited, false);
    init_.send(aHost, std::move(envelope));
  }
}

void SlotClient::AddLimits(std::string_view aShard, uint64_t aHostKey, wire::SlotAnswer& aAnswer)
{
  Shard& shard = GetShard(aShard);
  const auto limited = shard.allocator->LimitedUpstreams();
  if (limited.empty()) {
    shard.limitsSentAt.clear();
    return;
  }
  const TimePoint now = init_.now();
  TimePoint& sentAt = shard.limitsSentAt[aHostKey];
  if (now - sentAt >= kLimitsInterval) {
    sentAt = now;
    *aAnswer.mutable_limits() = EncodeLimits(aShard, limited, false);
  }
}

void SlotClient::HandleLimits(const wire::Limits& aMessage)
{
  const TimePoint now = init_.now();
  for (const wire::UpstreamLimit& limit : aMessage.limits()) {
    const RegisteredUpstream* upstream = init_.registry->Find(limit.upstream());
    if (upstream == nullptr || upstream->startedAtMs != limit.started_at_ms()) {
      continue;
    }
    RecordLimit(aMessage.shard(),
                limit.upstream(),
                limit.per_second(),
                now - Milliseconds(limit.answer_age_ms()),
                limit.source());
    GetShard(aMessage.shard()).allocator->RecordSends(limit.upstream(), limit.sends(), now);
  }
}

void SlotClient::HandleSuspects(const wire::Suspects& aSuspects)
{
  const TimePoint now = init_.now();
  const std::vector<std::string> upstreams(aSuspects.upstreams().begin(),
                                           aSuspects.upstreams().end());
  std::erase_if(sharedSuspects_, [now](const auto& aEntry) { return aEntry.second <= now; });
  for (const std::string& upstream : upstreams) {
    sharedSuspects_.insert_or_assign(upstream, now + kSharedSuspectPeriod);
  }
  const auto shard = shards_.find(aSuspects.shard());
  if (shard != shards_.end() && now - shard->second.lastRequestAt > kServingWindow) {
    shard->second.allocator->SetSuspects(upstreams, now);
  }
}

void SlotClient::RecordLimit(std::string_view aShard,
                             std::string_view aUpstream,
                             double aPerSecond,
                             TimePoint aAnsweredAt,
                             std::string_view aSource)
{
  Shard& shard = GetShard(aShard);
  const RegisteredUpstream* upstream = init_.registry->Find(aUpstream);
  const bool isLimited = aPerSecond != placement::RequestLimit::kUnlimited;
  const auto known = limits_.find(aUpstream);
  const bool isNewer = known == limits_.end() || known->second.answeredAt <= aAnsweredAt;
  if (upstream != nullptr && isNewer && (isLimited || known != limits_.end())) {
    limits_.insert_or_assign(
      std::string(aUpstream),
      KnownLimit{ upstream->startedAtMs, aPerSecond, aAnsweredAt, std::string(aSource) });
  }
  if (!shard.allocator->RecordLimit(aUpstream, aPerSecond, aAnsweredAt)) {
    return;
  }
  if (init_.now() - shard.lastRequestAt > kServingWindow) {
    return; // The allocator of the shard logs it.
  }
  Log(LogLevel::Info,
      isLimited ? "upstream_limited" : "upstream_limit_ended",
      { { "upstream", aUpstream },
        { "shard", aShard },
        { "per_second", isLimited ? aPerSecond : 0 },
        { "peer", aSource } });
}

std::map<std::string, size_t> SlotClient::LimitedUpstreams() const
{
  std::map<std::string, size_t> counts;
  for (const auto& [key, shard] : shards_) {
    counts[key.substr(0, key.rfind('#'))] += shard.allocator->LimitedUpstreams().size();
  }
  return counts;
}

void SlotClient::OnAllocatorGrant(std::string_view aShard, const placement::Grant& aGrant)
{
  if (aGrant.lease.host == selfKey_) {
    return OnGranted(aGrant.lease.sequence, aGrant.upstream);
  }
  wire::Envelope envelope = MakeAnswer(aGrant.lease, wire::SlotAnswer::GRANTED);
  wire::SlotAnswer& answer = *envelope.mutable_slot_answer();
  answer.set_upstream(aGrant.upstream);
  AddLimits(aShard, aGrant.lease.host, answer);
  SendAnswer(aGrant.lease, std::move(envelope));
}

void SlotClient::OnAllocatorRefusal(const placement::Refusal& aRefusal)
{
  if (aRefusal.lease.host == selfKey_) {
    return OnRefused(aRefusal.lease.sequence, std::string(aRefusal.reason), aRefusal.retryAfter);
  }
  wire::Envelope envelope = MakeAnswer(aRefusal.lease, wire::SlotAnswer::REFUSED);
  wire::SlotAnswer& answer = *envelope.mutable_slot_answer();
  answer.set_reason(std::string(aRefusal.reason));
  answer.set_retry_after_ms(ToWireMs(aRefusal.retryAfter));
  SendAnswer(aRefusal.lease, std::move(envelope));
}

wire::Envelope SlotClient::MakeAnswer(const placement::LeaseId& aLease,
                                      wire::SlotAnswer::Kind aKind) const
{
  wire::Envelope envelope;
  wire::SlotAnswer& answer = *envelope.mutable_slot_answer();
  answer.set_sequence(aLease.sequence);
  answer.set_kind(aKind);
  if (const auto process = processes_.find(aLease.host); process != processes_.end()) {
    answer.set_receiver_incarnation(process->second.incarnation);
    answer.set_knows_receiver(true);
  }
  return envelope;
}

void SlotClient::SendAnswer(const placement::LeaseId& aLease, wire::Envelope aAnswer)
{
  if (const auto process = processes_.find(aLease.host); process != processes_.end()) {
    init_.send(process->second.host, std::move(aAnswer));
  }
}

uint64_t SlotClient::RecordProcess(const wire::Member& aMember)
{
  const uint64_t key = HostKey(aMember);
  const auto [known, isNew] = processKeys_.try_emplace(aMember.host(), key);
  if (!isNew && known->second != key) {
    const uint64_t earlier = std::exchange(known->second, key);
    for (auto& [name, shard] : shards_) {
      shard.allocator->DropQueued(earlier);
      shard.limitsSentAt.erase(earlier);
    }
    processes_.erase(earlier);
  }
  processes_.insert_or_assign(key, HostProcess{ aMember.host(), aMember.incarnation() });
  return key;
}

void SlotClient::HandleRequest(const wire::Envelope& aMessage)
{
  const wire::SlotRequest& message = aMessage.slot_request();
  const TimePoint now = init_.now();
  if (!init_.registry->HasState()) {
    return; // A refusal for lack of upstreams would be wrong. The sender asks the next allocator.
  }
  if (HasHandedOver(message.shard())) {
    return SendLeaving(aMessage.sender().host()); // It has missed that this host is stopping.
  }
  placement::SlotRequest request;
  request.lease = { RecordProcess(aMessage.sender()), message.sequence() };
  request.failureDomain = aMessage.sender().failure_domain();
  request.idempotent = message.idempotent();
  request.isRetry = message.repeat();
  request.priority = message.priority();
  request.account = message.account();
  request.bodyBytes = size_t{ message.body_kb() } * 1024;
  request.responseBytes = message.response_bytes();
  request.receivedAt = now - Milliseconds(message.waited_ms());
  if (message.aim_left_ms() > 0) {
    request.targetBy = now + Milliseconds(message.aim_left_ms());
  }
  request.deadline = now + Milliseconds(message.left_ms());
  request.exclude.assign(message.exclude().begin(), message.exclude().end());
  request.avoid.assign(message.avoid().begin(), message.avoid().end());
  request.isIsolated = message.trial_fingerprint() != 0;
  request.isCounted = message.counted();
  Shard& shard = GetShard(message.shard());
  init_.members->RecordClient(aMessage.sender().host(), now);
  RecordServing(message.shard(), shard, now);
  const uint64_t holder = message.counted_by_incarnation();
  if (holder == 0 || holder == init_.members->Self().incarnation) {
    shard.allocator->Retries().SetElsewhere(
      request.lease.host,
      { message.requests_elsewhere(), message.retries_elsewhere() },
      message.knows_elsewhere(),
      now);
  }
  if (request.isIsolated && !trials_.TryAcquire(message.trial_fingerprint(),
                                                { request.lease.host, request.lease.sequence },
                                                request.deadline,
                                                now)) {
    return OnAllocatorRefusal({ request.lease, "request_on_trial", kTrialRetryAfter });
  }
  if (shard.allocator->Request(request, now)) {
    return;
  }
  wire::Envelope envelope = MakeAnswer(request.lease, wire::SlotAnswer::QUEUED);
  envelope.mutable_slot_answer()->set_waiting(shard.allocator->Stats().waiting);
  SendAnswer(request.lease, std::move(envelope));
}

void SlotClient::HandleRelease(const wire::Envelope& aMessage)
{
  const wire::SlotRelease& message = aMessage.slot_release();
  if (message.outcome() >= static_cast<uint32_t>(Outcome::Count)) {
    return;
  }
  const TimePoint now = init_.now();
  if (message.has_request_limit()) {
    RecordLimit(message.shard(),
                message.upstream(),
                message.request_limit(),
                now - Milliseconds(message.answer_age_ms()),
                aMessage.sender().host());
  }
  const bool hasNewLeaving =
    message.leaving() && RecordLeaving({ message.upstream(),
                                         message.started_at_ms(),
                                         now - Milliseconds(message.answer_age_ms()),
                                         aMessage.sender().host() });
  const placement::LeaseId lease{ HolderKey(message, aMessage), message.sequence() };
  trials_.Release({ lease.host, lease.sequence }, now);
  GetShard(message.shard())
    .allocator->Release(
      lease, static_cast<Outcome>(message.outcome()), Milliseconds(message.latency_ms()), now);
  if (HasHandedOver(message.shard())) {
    ForwardRelease(lease.host, aMessage);
  }
  if (hasNewLeaving) {
    UpdateUpstreams(now);
  }
}

void SlotClient::HandleHolding(const wire::Envelope& aMessage)
{
  const wire::SlotHolding& message = aMessage.slot_holding();
  if (HasHandedOver(message.shard())) {
    return;
  }
  if (!init_.registry->HasState()) {
    earlyHoldings_.push_back(aMessage); // This host has just started.
    return;
  }
  const TimePoint now = init_.now();
  placement::SlotRequest request;
  request.lease = { HolderKey(message, aMessage), message.sequence() };
  request.idempotent = message.idempotent();
  request.deadline = now + Milliseconds(message.left_ms());
  GetShard(message.shard()).allocator->AddLease(request, message.upstream(), now);
}

void SlotClient::Tick(TimePoint aNow)
{
  for (auto& [key, shard] : shards_) {
    shard.allocator->Tick(aNow);
  }
  ShareSuspects(aNow);
}

std::string SlotClient::Describe() const
{
  std::string text;
  const TimePoint now = init_.now();
  for (const auto& [id, leaving] : notices_.Leaving()) {
    text += fmt::format("leaving={} since_ms={} peer={} started_at_ms={}\n",
                        id,
                        (now - leaving.since) / Milliseconds(1),
                        leaving.source,
                        leaving.startedAtMs);
  }
  for (const auto& [id, pause] : notices_.Pauses()) {
    if (now < pause.until) {
      text += fmt::format("paused={} since_ms={} left_ms={} host={}\n",
                          id,
                          (now - pause.since) / Milliseconds(1),
                          (pause.until - now) / Milliseconds(1),
                          Self());
    }
  }
  for (const auto& [fingerprint, request] : quarantine_.Requests()) {
    const quarantine::Verdict verdict = quarantine_.Check(fingerprint, now);
    for (const quarantine::Crash& crash : request.crashes) {
      text += fmt::format("suspect_request={} decision={} retry_ms={} upstream={} started_at_ms={} "
                          "since_ms={} peer={}\n",
                          FormatFingerprint(fingerprint),
                          quarantine::ToString(verdict.decision),
                          verdict.retryAfter / Milliseconds(1),
                          crash.upstream,
                          crash.startedAtMs,
                          (now - crash.endedAt) / Milliseconds(1),
                          crash.source);
    }
  }
  for (const auto& [key, shard] : shards_) {
    const placement::SlotAllocatorStats stats = shard.allocator->Stats();
    text +=
      "shard=" + key + " allocator=" + shard.allocatorHost +
      " slots=" + std::to_string(stats.slots) + " in_flight=" + std::to_string(stats.inFlight) +
      " waiting=" + std::to_string(stats.waiting) + " suspects=" + std::to_string(stats.suspects) +
      " service_time_ms=" + std::to_string(stats.serviceTimeMs) + "\n" +
      DescribeDomains(key, shard, now) + DescribeQueue(key, *shard.allocator);
    for (const auto& [id, limit, sends] : shard.allocator->LimitedUpstreams()) {
      const auto known = limits_.find(id);
      const std::string source = known == limits_.end() ? "" : known->second.source;
      text += fmt::format("limited={} shard={} per_second={} since_ms={} named_ms={} peer={}\n",
                          id,
                          key,
                          limit.PerSecond(),
                          (now - limit.Since()) / Milliseconds(1),
                          (now - limit.AnsweredAt()) / Milliseconds(1),
                          source);
    }
  }
  return text;
}

} // namespace bg::fleet::detail
