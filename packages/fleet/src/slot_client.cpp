#include "slot_client_p.h"

#include <algorithm>
#include <set>

namespace bg::fleet::detail {

namespace {

using placement::Outcome;

/// Number of allocators that may fail to respond before this host selects an upstream itself.
constexpr uint32_t kMaxAllocatorTimeouts = 2;

/// Shards of a service that one host sends requests to, so that the number of its allocators does
/// not grow with the service. The requests of the other hosts even out the load of the shards.
constexpr size_t kShardsPerHost = 8;

/// Grants of paused upstreams after which a host selects the upstream of a request itself. An
/// allocator grants one only if it was asked before the pause.
constexpr uint32_t kMaxPausedGrants = 2;

/// A pause holds for one host only, so that callers may come back to another one soon.
constexpr Duration kMaxPauseRetryAfter = std::chrono::seconds(1);

// Holders of counts for the retry budget that have no key in leases.
constexpr uint64_t kPlacedLocally = 0;
constexpr uint64_t kNoProcess = 1;

/// Avoids a division by zero.
constexpr double kMinRetryRatio = 0.001;

/// The limit of an upstream whose entry has expired is kept for this long.
constexpr Duration kKnownLimitPeriod = std::chrono::seconds(60);

} // namespace

std::string ShardKey(std::string_view aService, size_t aShard)
{
  return std::string(aService) + '#' + std::to_string(aShard);
}

size_t HostsPerShard(size_t aHosts, size_t aShards)
{
  return aShards <= kShardsPerHost ? aHosts
                                   : std::max<size_t>(1, aHosts * kShardsPerHost / aShards);
}

SlotClient::SlotClient(SlotClientInit aInit)
  : init_(std::move(aInit))
  , startedAt_(init_.now())
{
  selfKey_ = HostKey(ToWire(init_.members->Self()));
}

uint64_t SlotClient::HostKey(const wire::Member& aMember)
{
  return ProcessKey(aMember.host(), aMember.incarnation());
}

SlotClient::Shard& SlotClient::GetShard(std::string_view aKey)
{
  const auto found = shards_.find(aKey);
  if (found != shards_.end()) {
    return found->second;
  }
  placement::SlotAllocatorInit init;
  const std::string key(aKey);
  init.onGrant = [this, key](const placement::Grant& aGrant) { OnAllocatorGrant(key, aGrant); };
  init.onRefusal = [this](const placement::Refusal& aRefusal) { OnAllocatorRefusal(aRefusal); };
  init.retries = init_.retries;
  init.alwaysPrefersOwnDomain = init_.alwaysPrefersOwnDomain;
  init.seed = Hash64(aKey, selfKey_);
  Shard& shard = shards_[key];
  shard.allocator = std::make_unique<placement::SlotAllocator>(std::move(init));
  if (!init_.isFirstStart) {
    shard.allocator->Retries().SetStart(startedAt_);
  }
  FillShards({ &key, 1 }, init_.now());
  return shard;
}

placement::RetryBudget& SlotClient::LocalRetryBudget(const std::string& aService)
{
  const TimePoint now = init_.now();
  placement::RetryBudget::Init init = init_.retries;
  init.slack = 0;
  placement::RetryBudget& budget = localRetryBudgets_.try_emplace(aService, init).first->second;
  if (!init_.isFirstStart) {
    budget.SetStart(startedAt_);
  }
  placement::RetryCounts elsewhere;
  for (const auto& [key, shard] : shards_) {
    if (key.substr(0, key.rfind('#')) == aService) {
      const placement::RetryCounts counts = CountedElsewhere(shard, kPlacedLocally);
      elsewhere.requests += counts.requests;
      elsewhere.retries += counts.retries;
    }
  }
  // What an allocator has left belongs to all hosts.
  const double spent = elsewhere.retries / std::max(init_.retries.ratio, kMinRetryRatio);
  elsewhere.requests = static_cast<uint32_t>(std::min<double>(elsewhere.requests, spent));
  budget.SetElsewhere(selfKey_, elsewhere, KnowsRetryWindow(), now);
  return budget;
}

void SlotClient::RecordCounted(PendingRequest& aPending, uint64_t aHolder)
{
  if (std::exchange(aPending.isCounted, true)) {
    return;
  }
  const bool isRetry = aPending.query.isRetry;
  GetShard(aPending.shard)
    .counted.try_emplace(aHolder, init_.retries.window)
    .first->second.Add({ isRetry ? 0U : 1U, isRetry ? 1U : 0U }, init_.now());
}

placement::RetryCounts SlotClient::CountedElsewhere(const Shard& aShard, uint64_t aHolder) const
{
  placement::RetryCounts total;
  for (const auto& [holder, usage] : aShard.counted) {
    const placement::RetryCounts counts = usage.At(init_.now());
    total.requests += holder == aHolder ? 0 : counts.requests;
    total.retries += holder == aHolder ? 0 : counts.retries;
  }
  return total;
}

bool SlotClient::KnowsRetryWindow() const
{
  return init_.isFirstStart || init_.now() - startedAt_ >= init_.retries.window;
}

void SlotClient::UpdateUpstreams(TimePoint aNow)
{
  std::unordered_map<std::string, size_t> counts;
  std::vector<const RegisteredUpstream*> accepting;
  for (const auto& [id, upstream] : init_.registry->Upstreams()) {
    if (IsAccepting(upstream)) {
      ++counts[upstream.service];
      accepting.push_back(&upstream);
    }
  }
  if (init_.onUpstreams) {
    init_.onUpstreams(accepting);
  }
  std::unordered_map<std::string, size_t> shardCounts;
  for (const auto& [service, count] : counts) {
    if (count > 0) {
      shardCounts.emplace(service, placement::ShardCount(count));
    }
  }
  if (shardCounts != shardCounts_) {
    shardCounts_ = std::move(shardCounts);
    SelectUsedShards();
  }
  std::erase_if(limits_, [&](const auto& aEntry) {
    return aNow - aEntry.second.answeredAt > kKnownLimitPeriod &&
           init_.registry->Find(aEntry.first) == nullptr;
  });
  std::vector<std::string> keys;
  for (const auto& [key, shard] : shards_) {
    keys.push_back(key);
  }
  FillShards(keys, aNow);
  for (const auto& [service, used] : usedShards_) {
    for (const std::string& key : used) {
      GetShard(key);
    }
  }
  if (init_.registry->HasState()) {
    for (const wire::Envelope& message : std::exchange(earlyHoldings_, {})) {
      HandleHolding(message);
    }
  }
}

void SlotClient::SelectUsedShards()
{
  usedShards_.clear();
  for (const auto& [service, count] : shardCounts_) {
    std::vector<std::string> shards;
    for (size_t i = 0; i < count; ++i) {
      shards.push_back(ShardKey(service, i));
    }
    if (count > kShardsPerHost) {
      shards = placement::RankHosts(Self(), shards);
      shards.resize(kShardsPerHost);
    }
    usedShards_.emplace(service, std::move(shards));
  }
}

void SlotClient::FillShards(std::span<const std::string> aKeys, TimePoint aNow)
{
  std::unordered_map<std::string_view, std::vector<placement::UpstreamSlots>> slots;
  std::set<std::string_view> services;
  for (const std::string& key : aKeys) {
    slots.try_emplace(key);
    services.insert(std::string_view(key).substr(0, key.rfind('#')));
  }
  for (const auto& [id, upstream] : init_.registry->Upstreams()) {
    const auto count = shardCounts_.find(upstream.service);
    if (!IsAccepting(upstream) || count == shardCounts_.end() ||
        !services.contains(upstream.service)) {
      continue;
    }
    const auto shard =
      slots.find(ShardKey(upstream.service, placement::ShardOf(id, count->second)));
    if (shard != slots.end()) {
      shard->second.push_back({ id,
                                upstream.failureDomain,
                                upstream.slots,
                                init_.registry->WarmupEnd(id),
                                upstream.startedAtMs,
                                IsSharedSuspect(id, aNow) });
    }
  }
  for (const auto& [key, upstreams] : slots) {
    const auto count = shardCounts_.find(std::string(key.substr(0, key.rfind('#'))));
    placement::SlotAllocator& allocator = *shards_.find(key)->second.allocator;
    allocator.SetUpstreams(upstreams, aNow, count == shardCounts_.end() ? 1 : count->second);
    for (const placement::UpstreamSlots& upstream : upstreams) {
      const auto limit = limits_.find(upstream.id);
      if (limit != limits_.end() && limit->second.startedAtMs == upstream.incarnation) {
        allocator.RecordLimit(upstream.id, limit->second.perSecond, limit->second.answeredAt);
      }
    }
  }
}

bool SlotClient::IsAccepting(const RegisteredUpstream& aUpstream) const
{
  return !aUpstream.isDraining && !notices_.IsLeaving(aUpstream);
}

bool SlotClient::RecordLeaving(const LeavingUpstream& aUpstream)
{
  if (!notices_.RecordLeaving(aUpstream)) {
    return false;
  }
  const RegisteredUpstream* upstream = init_.registry->Find(aUpstream.id);
  Log(LogLevel::Info,
      "upstream_leaving",
      { { "upstream", aUpstream.id },
        { "service", upstream == nullptr ? "" : upstream->service },
        { "started_at_ms", aUpstream.startedAtMs },
        { "peer", aUpstream.source },
        { "age_ms", (init_.now() - aUpstream.since) / Milliseconds(1) },
        { "draining", upstream == nullptr || upstream->isDraining } });
  return true;
}

bool SlotClient::HandleLeaving(std::span<const LeavingUpstream> aUpstreams)
{
  bool isNews = false;
  for (const LeavingUpstream& upstream : aUpstreams) {
    isNews = RecordLeaving(upstream) || isNews;
  }
  if (isNews) {
    UpdateUpstreams(init_.now());
  }
  return isNews;
}

std::vector<LeavingUpstream> SlotClient::UnregisteredLeaving() const
{
  std::vector<LeavingUpstream> upstreams;
  for (const auto& [id, leaving] : notices_.Leaving()) {
    const RegisteredUpstream* upstream = init_.registry->Find(id);
    if (upstream != nullptr && !upstream->isDraining && notices_.IsLeaving(*upstream)) {
      upstreams.push_back(leaving);
    }
  }
  return upstreams;
}

void SlotClient::RecordPause(const HeldSlot& aSlot, Milliseconds aPause, TimePoint aAnsweredAt)
{
  const UpstreamPause pause{ aSlot.startedAtMs, aAnsweredAt, aAnsweredAt + aPause };
  if (aPause == Milliseconds(0) || !notices_.RecordPause(aSlot.upstream, pause)) {
    return;
  }
  Log(LogLevel::Info,
      "upstream_paused",
      { { "upstream", aSlot.upstream },
        { "shard", aSlot.shard },
        { "pause_ms", aPause.count() },
        { "peer", Self() } });
}

void SlotClient::ReportPause(const std::string& aUpstream,
                             int64_t aStartedAtMs,
                             Milliseconds aPause,
                             TimePoint aAnsweredAt)
{
  HeldSlot slot;
  slot.upstream = aUpstream;
  slot.startedAtMs = aStartedAtMs;
  RecordPause(slot, aPause, aAnsweredAt);
}

std::vector<std::string> SlotClient::PausedUpstreams(std::string_view aService,
                                                     TimePoint aNow) const
{
  std::vector<std::string> upstreams;
  for (const auto& [id, pause] : notices_.Pauses()) {
    const RegisteredUpstream* upstream = init_.registry->Find(id);
    if (upstream != nullptr && upstream->service == aService &&
        notices_.IsPaused(*upstream, aNow)) {
      upstreams.push_back(id);
    }
  }
  return upstreams;
}

std::map<std::string, size_t> SlotClient::PausedUpstreams() const
{
  std::map<std::string, size_t> counts;
  for (const auto& [service, count] : shardCounts_) {
    counts[service] = PausedUpstreams(service, init_.now()).size();
  }
  return counts;
}

void SlotClient::CancelAtAllocator(uint64_t aSequence, const PendingRequest& aPending)
{
  if (aPending.allocatorHost == Self()) {
    GetShard(aPending.shard)
      .allocator->Release({ selfKey_, aSequence }, Outcome::Cancelled, Duration(0), init_.now());
  } else if (!aPending.allocatorHost.empty()) {
    SendRelease(aPending.allocatorHost, aSequence, aPending.shard, nullptr, {});
  }
}

bool SlotClient::FindUnpausedShard(uint64_t aSequence, TimePoint aNow)
{
  if (notices_.Pauses().empty()) {
    return true;
  }
  PendingRequest& pending = pendingRequests_.at(aSequence);
  const placement::SlotRequest request = MakeRequest(aSequence, pending.query);
  const auto hasCandidate = [&](const std::string& aShard) {
    return GetShard(aShard).allocator->HasCandidate(request);
  };
  if (request.avoid.empty() || hasCandidate(pending.shard)) {
    return true;
  }
  CancelAtAllocator(aSequence, pending);
  pending.allocatorHost.clear();
  if (const auto used = usedShards_.find(pending.query.service); used != usedShards_.end()) {
    for (const std::string& shard : used->second) {
      if (hasCandidate(shard)) {
        pending.shard = shard;
        return true;
      }
    }
  }
  Duration retryAfter = kMaxPauseRetryAfter;
  for (const std::string& upstream : request.avoid) {
    retryAfter = std::min(retryAfter, notices_.Pauses().at(upstream).until - aNow);
  }
  OnRefused(aSequence, "upstreams_paused", retryAfter);
  return false;
}

std::map<std::string, size_t> SlotClient::LeavingUpstreams() const
{
  std::map<std::string, size_t> counts;
  for (const auto& [service, count] : shardCounts_) {
    counts[service] = 0;
  }
  for (const auto& [id, leaving] : notices_.Leaving()) {
    if (const RegisteredUpstream* upstream = init_.registry->Find(id)) {
      ++counts[upstream->service];
    }
  }
  return counts;
}

std::vector<std::string> SlotClient::Allocators(TimePoint aNow) const
{
  std::vector<std::string> hosts;
  for (const auto& [key, shard] : shards_) {
    for (std::string& host : init_.members->Allocators(key, kMaxAllocatorTimeouts, aNow)) {
      if (host != Self() && std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        hosts.push_back(std::move(host));
      }
    }
  }
  return hosts;
}

/// Compares the next shard in round-robin order with a random one and returns the one with the
/// shorter queue.
std::string SlotClient::SelectShard(const std::string& aService)
{
  const auto found = usedShards_.find(aService);
  if (found == usedShards_.end()) {
    return ShardKey(aService, 0);
  }
  const std::vector<std::string>& shards = found->second;
  const std::string& first = shards[++roundRobin_ % shards.size()];
  const std::string& second = shards[Hash64(aService, roundRobin_) % shards.size()];
  return GetShard(second).queueLength < GetShard(first).queueLength ? second : first;
}

placement::SlotRequest SlotClient::MakeRequest(uint64_t aSequence, const SlotQuery& aQuery) const
{
  placement::SlotRequest request;
  request.lease = { selfKey_, aSequence };
  request.failureDomain = init_.members->Self().failureDomain;
  request.idempotent = aQuery.idempotent;
  request.isRetry = aQuery.isRetry;
  request.priority = aQuery.priority;
  request.account = aQuery.account ? Hash64(aQuery.account->name) : 0;
  request.bodyBytes = aQuery.bodyBytes;
  request.responseBytes = responseSizes_.Expected(aQuery.service);
  request.receivedAt = aQuery.receivedAt;
  request.targetBy = aQuery.targetBy;
  request.deadline = aQuery.deadline;
  request.exclude = aQuery.exclude;
  request.avoid = PausedUpstreams(aQuery.service, init_.now());
  if (const auto pending = pendingRequests_.find(aSequence); pending != pendingRequests_.end()) {
    request.isIsolated = pending->second.isSuspectTrial;
    request.isCounted = pending->second.isCounted;
  }
  return request;
}

void SlotClient::Acquire(uint64_t aSequence, SlotQuery aQuery, SlotCallback aCallback)
{
  PendingRequest pending;
  pending.shard = SelectShard(aQuery.service);
  pending.query = std::move(aQuery);
  pending.callback = std::move(aCallback);
  pendingRequests_.insert_or_assign(aSequence, std::move(pending));
  if (CheckQuarantine(aSequence)) {
    RequestSlot(aSequence);
  }
}

void SlotClient::RequestSlot(uint64_t aSequence)
{
  const TimePoint now = init_.now();
  if (!FindUnpausedShard(aSequence, now)) {
    return;
  }
  PendingRequest& pending = pendingRequests_.at(aSequence);
  Shard& shard = GetShard(pending.shard);
  const std::string host = init_.members->Allocators(pending.shard, 1, now).front();
  UseAllocator(pending.shard, shard, host);
  pending.allocatorHost = host;
  if (host == Self()) {
    pending.timer.reset();
    if (pending.isSuspectTrial && !StartTrial(aSequence, now)) {
      return;
    }
    RecordServing(pending.shard, shard, now);
    shard.allocator->Retries().SetElsewhere(
      selfKey_, CountedElsewhere(shard, selfKey_), KnowsRetryWindow(), now);
    if (!shard.allocator->Request(MakeRequest(aSequence, pending.query), now)) {
      RecordCounted(pending, selfKey_);
    }
    return;
  }
  wire::Envelope envelope;
  wire::SlotRequest& request = *envelope.mutable_slot_request();
  request.set_sequence(aSequence);
  request.set_shard(pending.shard);
  request.set_idempotent(pending.query.idempotent);
  request.set_repeat(pending.query.isRetry);
  if (pending.query.targetBy != TimePoint{}) {
    request.set_aim_left_ms(std::max(1U, ToWireMs(pending.query.targetBy - now)));
  }
  request.set_priority(pending.query.priority);
  request.set_account(pending.query.account ? Hash64(pending.query.account->name) : 0);
  request.set_body_kb(static_cast<uint32_t>(pending.query.bodyBytes / 1024));
  request.set_response_bytes(static_cast<uint32_t>(responseSizes_.Expected(pending.query.service)));
  request.set_waited_ms(ToWireMs(now - pending.query.receivedAt));
  request.set_left_ms(ToWireMs(pending.query.deadline - now));
  request.set_trial_fingerprint(pending.isSuspectTrial ? pending.query.fingerprint : 0);
  request.set_counted(pending.isCounted);
  const auto process = processKeys_.find(host);
  const uint64_t holder = process == processKeys_.end() ? kNoProcess : process->second;
  const placement::RetryCounts elsewhere = CountedElsewhere(shard, holder);
  request.set_counted_by_incarnation(holder == kNoProcess ? 0 : processes_.at(holder).incarnation);
  request.set_knows_receiver(holder != kNoProcess);
  request.set_requests_elsewhere(elsewhere.requests);
  request.set_retries_elsewhere(elsewhere.retries);
  request.set_knows_elsewhere(KnowsRetryWindow());
  for (const std::string& upstream : pending.query.exclude) {
    request.add_exclude(upstream);
  }
  for (const std::string& upstream : PausedUpstreams(pending.query.service, now)) {
    request.add_avoid(upstream);
  }
  pending.timer =
    init_.runAfter(init_.responseTimeout, [this, aSequence] { OnResponseTimer(aSequence); });
  init_.send(host, std::move(envelope));
}

void SlotClient::OnResponseTimer(uint64_t aSequence)
{
  const auto found = pendingRequests_.find(aSequence);
  if (found == pendingRequests_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  if (pending.isQueued) {
    // Repeats the request from time to time, in case the allocator has stopped.
    pending.isQueued = false;
    const TimePoint now = init_.now();
    const std::string host = init_.members->Allocators(pending.shard, 1, now).front();
    if (host != pending.allocatorHost && !init_.members->IsLeaving(pending.allocatorHost, now)) {
      CancelAtAllocator(aSequence, pending); // It would keep a slot for the request.
    }
    return RequestSlot(aSequence);
  }
  ++stats_.timeouts;
  init_.members->RecordTimeout(pending.allocatorHost, init_.now());
  Log(LogLevel::Warning,
      "allocator_silent",
      { { "request_id", pending.query.requestId },
        { "shard", pending.shard },
        { "peer", pending.allocatorHost },
        { "timeout_ms", init_.responseTimeout / Milliseconds(1) } });
  SendRelease(pending.allocatorHost, aSequence, pending.shard, nullptr, {});
  if (++pending.timeouts < kMaxAllocatorTimeouts) {
    return RequestSlot(aSequence);
  }
  PlaceLocally(aSequence);
}

void SlotClient::PlaceLocally(uint64_t aSequence)
{
  PendingRequest& pending = pendingRequests_.at(aSequence);
  const TimePoint now = init_.now();
  if (pending.isSuspectTrial) {
    // Without the allocator nobody knows whether another host sends the request as well.
    return OnRefused(aSequence, "request_on_trial", kTrialRetryAfter);
  }
  if (!pending.isCounted && !pending.query.isRetry) {
    LocalRetryBudget(pending.query.service).OnRequest(now);
  } else if (!pending.isCounted && !LocalRetryBudget(pending.query.service).TryTake({}, now)) {
    return OnRefused(aSequence, "retry_budget", Duration(0));
  }
  RecordCounted(pending, kPlacedLocally);
  ++stats_.localFallbacks;
  pending.allocatorHost.clear();
  const std::string upstream =
    GetShard(pending.shard)
      .allocator->PickUpstream(MakeRequest(aSequence, pending.query), init_.members->Count(), now);
  if (upstream.empty()) {
    return OnRefused(aSequence, "no_upstream", std::chrono::seconds(1));
  }
  OnGranted(aSequence, upstream);
}

void SlotClient::RejectGrant(uint64_t aSequence, const std::string& aUpstream, bool aIsPaused)
{
  PendingRequest& pending = pendingRequests_.at(aSequence);
  const bool mayAskAgain = aIsPaused && ++pending.pausedGrants <= kMaxPausedGrants;
  if (!mayAskAgain) {
    pending.query.exclude.push_back(aUpstream);
  }
  AfterGrant(aSequence, [this, aSequence, mayAskAgain] { PlaceElsewhere(aSequence, mayAskAgain); });
}

void SlotClient::AfterGrant(uint64_t aSequence, std::function<void()> aFunction)
{
  PendingRequest& pending = pendingRequests_.at(aSequence);
  if (pending.allocatorHost != Self()) {
    return aFunction();
  }
  pending.timer = init_.runAfter(Duration(0), [this, aSequence, aFunction = std::move(aFunction)] {
    if (pendingRequests_.contains(aSequence)) {
      const auto function = aFunction; // The call may destroy the timer and its callback.
      function();
    }
  });
}

void SlotClient::PlaceElsewhere(uint64_t aSequence, bool aAskAgain)
{
  CancelAtAllocator(aSequence, pendingRequests_.at(aSequence));
  if (aAskAgain) {
    RequestSlot(aSequence);
  } else {
    PlaceLocally(aSequence);
  }
}

void SlotClient::OnGranted(uint64_t aSequence, const std::string& aUpstream)
{
  const auto found = pendingRequests_.find(aSequence);
  if (found == pendingRequests_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  const TimePoint now = init_.now();
  const RegisteredUpstream* upstream = init_.registry->Find(aUpstream);
  Shard& shard = GetShard(pending.shard);
  if (pending.allocatorHost == Self()) {
    RecordCounted(pending, selfKey_);
  }
  if (upstream == nullptr || !IsAccepting(*upstream)) {
    // The allocator knows less than this host, or the other way round.
    return RejectGrant(aSequence, aUpstream, false);
  }
  if (upstream->service != pending.query.service) {
    // The upstream would run the request, because it is the one that the request names.
    Log(LogLevel::Warning,
        "grant_of_other_service",
        { { "request_id", pending.query.requestId },
          { "upstream", aUpstream },
          { "service", upstream->service },
          { "expected", pending.query.service },
          { "peer", pending.allocatorHost } });
    return RejectGrant(aSequence, aUpstream, false);
  }
  if (notices_.IsPaused(*upstream, now)) {
    return RejectGrant(aSequence, aUpstream, true);
  }
  const quarantine::Decision decision = quarantine_.Check(pending.query.fingerprint, now).decision;
  if (decision != quarantine::Decision::Allow && !pending.isSuspectTrial) {
    // Upstreams have crashed under it while it waited.
    return AfterGrant(aSequence, [this, aSequence] {
      CancelAtAllocator(aSequence, pendingRequests_.at(aSequence));
      pendingRequests_.at(aSequence).allocatorHost.clear();
      if (CheckQuarantine(aSequence)) {
        RequestSlot(aSequence);
      }
    });
  }
  HeldSlot slot;
  slot.shard = pending.shard;
  slot.upstream = aUpstream;
  slot.startedAtMs = upstream->startedAtMs;
  slot.idempotent = pending.query.idempotent;
  slot.deadline = pending.query.deadline;
  if (pending.allocatorHost != Self()) {
    shard.allocator->AddLease(MakeRequest(aSequence, pending.query), aUpstream, now);
    if (pending.allocatorHost.empty()) {
      const std::string host = init_.members->Allocators(pending.shard, 1, now).front();
      if (host != Self()) {
        SendHolding(host, aSequence, slot);
      }
    } else {
      slot.allocators.push_back(pending.allocatorHost);
    }
  }
  ++stats_.granted;
  SlotResult result;
  result.isGranted = true;
  result.isSuspectTrial = pending.isSuspectTrial;
  result.upstream = *upstream;
  const SlotCallback callback = std::move(pending.callback);
  pendingRequests_.erase(found);
  heldSlots_.insert_or_assign(aSequence, std::move(slot));
  callback(std::move(result));
}

void SlotClient::OnRefused(uint64_t aSequence, std::string aReason, Duration aRetryAfter)
{
  auto node = pendingRequests_.extract(aSequence);
  if (node.empty()) {
    return;
  }
  ++stats_.refused;
  SlotResult result;
  result.reason = std::move(aReason);
  result.retryAfter = aRetryAfter;
  node.mapped().callback(std::move(result));
}

void SlotClient::Release(uint64_t aSequence, const SlotReport& aReport)
{
  const TimePoint now = init_.now();
  trials_.Release({ selfKey_, aSequence }, now);
  if (aReport.survivor != 0) {
    RecordSurvival(aReport.survivor, now);
  }
  if (auto node = pendingRequests_.extract(aSequence)) {
    const PendingRequest& pending = node.mapped();
    if (pending.allocatorHost == Self()) {
      GetShard(pending.shard)
        .allocator->Release({ selfKey_, aSequence }, aReport.outcome, aReport.latency, now);
    } else {
      SendRelease(pending.allocatorHost, aSequence, pending.shard, nullptr, aReport);
    }
    return;
  }
  auto node = heldSlots_.extract(aSequence);
  if (node.empty()) {
    return;
  }
  const HeldSlot& slot = node.mapped();
  if (aReport.responseBytes > 0) {
    responseSizes_.Record(slot.shard.substr(0, slot.shard.rfind('#')), aReport.responseBytes);
  }
  // The release of the slot grants it to a queued request, which must not go to this upstream.
  if (aReport.pause) {
    RecordPause(slot, *aReport.pause, aReport.answeredAt);
  }
  const bool hasNewLeaving =
    aReport.isLeaving &&
    RecordLeaving({ slot.upstream, slot.startedAtMs, aReport.answeredAt, Self() });
  if (aReport.requestLimit) {
    RecordLimit(slot.shard, slot.upstream, *aReport.requestLimit, aReport.answeredAt, Self());
  }
  GetShard(slot.shard)
    .allocator->Release({ selfKey_, aSequence }, aReport.outcome, aReport.latency, now);
  const std::string current = GetShard(slot.shard).allocatorHost;
  std::set<std::string> hosts(slot.allocators.begin(), slot.allocators.end());
  // Those that are stopping have forgotten the slot.
  std::erase_if(hosts, [&](const auto& aHost) { return init_.members->IsLeaving(aHost, now); });
  hosts.insert(current);
  for (const std::string& host : hosts) {
    if (host != Self() && !host.empty()) {
      SendRelease(host, aSequence, slot.shard, &slot, aReport);
    }
  }
  if (hasNewLeaving) {
    UpdateUpstreams(now);
    NotifyNews();
  }
}

void SlotClient::NotifyNews()
{
  if (init_.onNews) {
    init_.onNews();
  }
}

void SlotClient::HandleMessage(const wire::Envelope& aMessage)
{
  switch (aMessage.body_case()) {
    case wire::Envelope::kSlotRequest:
      return HandleRequest(aMessage);
    case wire::Envelope::kSlotAnswer:
      return HandleAnswer(aMessage);
    case wire::Envelope::kSlotRelease:
      return HandleRelease(aMessage);
    case wire::Envelope::kSlotHolding:
      return HandleHolding(aMessage);
    case wire::Envelope::kSuspects:
      return HandleSuspects(aMessage.suspects());
    case wire::Envelope::kLimits:
      return HandleLimits(aMessage.limits());
    default:
      return;
  }
}

void SlotClient::HandleAnswer(const wire::Envelope& aMessage)
{
  const wire::SlotAnswer& answer = aMessage.slot_answer();
  const uint64_t allocator = RecordProcess(aMessage.sender());
  HandleLimits(answer.limits());
  const uint64_t sequence = answer.sequence();
  const uint64_t receiver = answer.receiver_incarnation();
  if (receiver != 0 && receiver != init_.members->Self().incarnation) {
    Log(LogLevel::Info,
        "answer_to_earlier_process",
        { { "peer", aMessage.sender().host() },
          { "upstream", answer.upstream() },
          { "incarnation", receiver } });
    return;
  }
  const auto found = pendingRequests_.find(sequence);
  if (found == pendingRequests_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  GetShard(pending.shard).queueLength = answer.waiting();
  if (answer.kind() != wire::SlotAnswer::REFUSED || !pending.query.isRetry) {
    RecordCounted(pending, allocator);
  }
  switch (answer.kind()) {
    case wire::SlotAnswer::GRANTED:
      return OnGranted(sequence, answer.upstream());
    case wire::SlotAnswer::REFUSED:
      return OnRefused(sequence, answer.reason(), Milliseconds(answer.retry_after_ms()));
    default:
      pending.isQueued = true;
      pending.timer =
        init_.runAfter(init_.queueCheckInterval, [this, sequence] { OnResponseTimer(sequence); });
  }
}

} // namespace bg::fleet::detail
