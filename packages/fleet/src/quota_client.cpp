#include "quota_client_p.h"

#include <algorithm>

namespace bg::fleet::detail {

namespace {

/// Requests for tokens that arrive within this time share a message. Short against the time between
/// failure domains and back, 1.8 ms.
constexpr Duration kSendDelay = Milliseconds(1);
/// Between checks for owners that do not answer.
constexpr Duration kTimeoutInterval = Milliseconds(10);
/// Candidates for the owner of a partition that are looked at: its owner, and successors for all
/// strong hosts of a failure domain and more.
constexpr size_t kMaxCandidates = 8;
/// Hosts of about the same capacity may be owners, in percent of a core; see Members.
constexpr uint32_t kCapacityClassWidth = 10;
/// A charge is dropped this long after the deadline of its request, if it was not settled.
constexpr Duration kChargeMargin = std::chrono::seconds(10);
/// Assumed number of hosts while this host has not read the members, so that it does not take the
/// limits of all hosts for its own.
constexpr size_t kUnknownFleetSize = 100;
/// Between log lines about the quotas. One line of each kind, whatever the load.
constexpr Duration kLogInterval = std::chrono::seconds(5);
/// Accounts that one log line names.
constexpr size_t kMaxLoggedAccounts = 3;

uint32_t CapacityClass(uint32_t aCapacity)
{
  return aCapacity / kCapacityClassWidth;
}

std::string ToWire(const quota::Partitions& aPartitions)
{
  if (aPartitions.none()) {
    return "";
  }
  std::string bytes(quota::kPartitions / 8, '\0');
  for (size_t i = 0; i < quota::kPartitions; ++i) {
    if (aPartitions.test(i)) {
      bytes[i / 8] = static_cast<char>(static_cast<unsigned char>(bytes[i / 8]) | (1U << (i % 8)));
    }
  }
  return bytes;
}

quota::Partitions FromWire(std::string_view aBytes)
{
  quota::Partitions partitions;
  for (size_t i = 0; i < std::min(quota::kPartitions, aBytes.size() * 8); ++i) {
    partitions.set(i, (static_cast<unsigned char>(aBytes[i / 8]) >> (i % 8) & 1U) != 0);
  }
  return partitions;
}

wire::QuotaRequest ToWire(const quota::OwnerRequest& aRequest)
{
  wire::QuotaRequest request;
  request.set_used(ToWire(aRequest.used));
  request.set_unannounced(ToWire(aRequest.used & ~aRequest.handedOver));
  for (const quota::TokenRequest& item : aRequest.items) {
    wire::TokenRequest& token = *request.add_items();
    token.set_account(item.account);
    token.set_id(item.id);
    token.set_wanted(item.wanted);
    token.set_ahead(item.ahead);
    token.set_returned(item.returned);
  }
  return request;
}

quota::OwnerRequest FromWire(const wire::QuotaRequest& aRequest)
{
  quota::OwnerRequest request;
  request.used = FromWire(aRequest.used());
  request.handedOver = request.used & ~FromWire(aRequest.unannounced());
  for (const wire::TokenRequest& token : aRequest.items()) {
    request.items.push_back(
      { token.account(), token.id(), token.wanted(), token.ahead(), token.returned() });
  }
  return request;
}

wire::QuotaAnswer ToWire(const quota::OwnerAnswer& aAnswer)
{
  wire::QuotaAnswer answer;
  for (const quota::TokenAnswer& item : aAnswer.items) {
    wire::TokenAnswer& token = *answer.add_items();
    token.set_account(item.account);
    token.set_id(item.id);
    token.set_granted(item.granted);
    token.set_unknown(!item.isKnown);
    token.set_retry_after_us(static_cast<uint32_t>(item.retryAfter / std::chrono::microseconds(1)));
  }
  return answer;
}

quota::OwnerAnswer FromWire(const wire::QuotaAnswer& aAnswer)
{
  quota::OwnerAnswer answer;
  for (const wire::TokenAnswer& token : aAnswer.items()) {
    answer.items.push_back({ token.account(),
                             token.id(),
                             token.granted(),
                             !token.unknown(),
                             std::chrono::microseconds(token.retry_after_us()) });
  }
  return answer;
}

} // namespace

QuotaClient::QuotaClient(QuotaClientInit aInit)
  : init_(std::move(aInit))
{
  for (size_t i = 0; i < quota::kPartitions; ++i) {
    partitionKeys_.push_back("quota/" + std::to_string(i));
  }
  quota::QuotaOwnerInit owner;
  owner.bounds = init_.bounds;
  owner.limits = [this](std::string_view aAccount) { return LimitsOf(aAccount); };
  owner.self = Self();
  owner.startedAt = init_.now();
  owner.isFirstStart = init_.isFirstStart;
  owner_ = std::make_unique<quota::QuotaOwner>(std::move(owner));
  quota::QuotaHostInit host;
  host.self = Self();
  host.candidates = [this](size_t aPartition, TimePoint aNow) {
    return Candidates(aPartition, aNow);
  };
  host.onDecision = [this](uint64_t aSequence, bool aIsGranted, Duration aRetryAfter) {
    OnDecision(aSequence, aIsGranted, aRetryAfter);
  };
  host_ = std::make_unique<quota::QuotaHost>(std::move(host));
}

std::optional<quota::Limits> QuotaClient::LimitsOf(std::string_view aAccount) const
{
  const auto account = init_.findAccount(aAccount);
  if (!account) {
    return std::nullopt;
  }
  return quota::Limits{ account->requestsPerSecond, account->burst };
}

/// Only hosts with the largest capacity are owners: a small host may be too slow for a busy
/// account.
std::vector<std::string> QuotaClient::Candidates(size_t aPartition, TimePoint aNow) const
{
  std::vector<std::string> hosts =
    init_.members->Allocators(partitionKeys_[aPartition], kMaxCandidates, aNow);
  std::erase_if(hosts, [&](const std::string& aHost) {
    return CapacityClass(init_.members->Find(aHost)->capacity) != topCapacity_;
  });
  return hosts;
}

void QuotaClient::UpdateFleet()
{
  const bool knowsMembers = init_.knowsMembers();
  if (init_.members->Digest() == membersDigest_ && knowsMembers == knowsMembers_) {
    return;
  }
  membersDigest_ = init_.members->Digest();
  knowsMembers_ = knowsMembers;
  const std::vector<Member> members = init_.members->All();
  topCapacity_ = 0;
  for (const Member& member : members) {
    topCapacity_ = std::max(topCapacity_, CapacityClass(member.capacity));
  }
  const auto owners = std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
    return CapacityClass(aMember.capacity) == topCapacity_;
  });
  owner_->SetFleet(knowsMembers ? members.size() : std::max(members.size(), kUnknownFleetSize),
                   static_cast<size_t>(owners),
                   CapacityClass(init_.members->Self().capacity) == topCapacity_);
  host_->SelectOwners(init_.now());
}

void QuotaClient::Acquire(uint64_t aSequence, const SlotQuery& aQuery, Callback aCallback)
{
  if (!aQuery.account || !aQuery.account->HasQuota()) {
    return aCallback(true, Duration(0));
  }
  const std::string& account = aQuery.account->name;
  const uint64_t charge = aQuery.charge == 0 ? aSequence : aQuery.charge;
  if (const auto found = charges_.find(charge); found != charges_.end()) {
    if (found->second.account == account) {
      return aCallback(true, Duration(0));
    }
    charges_.erase(found);     // The key of the request has moved to another account.
  } else if (aQuery.isRetry) { // Its account had no quota when it was sent.
    return aCallback(true, Duration(0));
  }
  UpdateFleet();
  pendingRequests_.insert_or_assign(
    aSequence, PendingRequest{ account, charge, aQuery.deadline, std::move(aCallback) });
  host_->Acquire(aSequence, account, init_.now());
  ScheduleMessages();
}

void QuotaClient::Cancel(uint64_t aSequence)
{
  if (const auto node = pendingRequests_.extract(aSequence)) {
    host_->Cancel(aSequence, node.mapped().account);
  }
}

void QuotaClient::Settle(uint64_t aCharge, bool aMayHaveRun)
{
  const auto node = charges_.extract(aCharge);
  if (node && !aMayHaveRun) {
    host_->Refund(node.mapped().account, init_.now());
    ScheduleMessages();
  }
}

void QuotaClient::OnDecision(uint64_t aSequence, bool aIsGranted, Duration aRetryAfter)
{
  auto node = pendingRequests_.extract(aSequence);
  if (node.empty()) {
    return;
  }
  const PendingRequest& pending = node.mapped();
  if (aIsGranted) {
    charges_.insert_or_assign(pending.charge,
                              Charge{ pending.account, pending.deadline + kChargeMargin });
  } else {
    RecordRejection(pending.account);
  }
  pending.callback(aIsGranted, aRetryAfter);
}

void QuotaClient::RecordRejection(const std::string& aAccount)
{
  const bool isReported = rejected_.contains(aAccount) || rejected_.size() < kMaxReportedAccounts;
  const std::string& name = isReported ? aAccount : std::string();
  ++rejected_[name];
  ++rejectedUnlogged_[name];
}

void QuotaClient::ScheduleMessages()
{
  if (host_->HasMessages() && !sendTimer_) {
    sendTimer_ = init_.runAfter(kSendDelay, [this] {
      const auto timer = std::move(sendTimer_); // Not destroyed while it runs.
      SendMessages();
    });
  }
  ScheduleTimeouts();
}

void QuotaClient::ScheduleTimeouts()
{
  if (host_->IsAsking() && !timeoutTimer_) {
    timeoutTimer_ = init_.runAfter(kTimeoutInterval, [this] {
      const auto timer = std::move(timeoutTimer_);
      host_->Update(init_.now());
      ScheduleMessages();
    });
  }
}

void QuotaClient::SendMessages()
{
  const TimePoint now = init_.now();
  for (quota::QuotaHost::Message& message : host_->TakeMessages(now)) {
    if (message.owner == Self()) {
      host_->HandleAnswer(Self(), owner_->Handle(Self(), message.request, now), now);
      continue;
    }
    wire::Envelope envelope;
    *envelope.mutable_quota_request() = ToWire(message.request);
    init_.send(message.owner, std::move(envelope));
  }
  ScheduleMessages();
}

void QuotaClient::HandleMessage(const wire::Envelope& aMessage)
{
  UpdateFleet();
  if (aMessage.has_quota_request()) {
    HandleRequest(aMessage);
  } else if (aMessage.has_quota_answer()) {
    HandleAnswer(aMessage);
  }
}

void QuotaClient::HandleRequest(const wire::Envelope& aMessage)
{
  if (!init_.hasQuotas()) {
    return; // Without the configuration this host is no owner. The sender asks the next one.
  }
  const std::string& host = aMessage.sender().host();
  wire::Envelope envelope;
  *envelope.mutable_quota_answer() =
    ToWire(owner_->Handle(host, FromWire(aMessage.quota_request()), init_.now()));
  envelope.mutable_quota_answer()->set_receiver_incarnation(aMessage.sender().incarnation());
  init_.send(host, std::move(envelope));
}

void QuotaClient::HandleAnswer(const wire::Envelope& aMessage)
{
  const wire::QuotaAnswer& answer = aMessage.quota_answer();
  if (answer.receiver_incarnation() != init_.members->Self().incarnation) {
    return; // Tokens of an earlier process of this host, which numbered its requests alike.
  }
  host_->HandleAnswer(aMessage.sender().host(), FromWire(answer), init_.now());
  ScheduleMessages();
}

void QuotaClient::RecordLeaving(std::string_view aHost)
{
  owner_->RemoveHost(aHost, init_.now());
  host_->SelectOwners(init_.now());
  ScheduleMessages();
}

void QuotaClient::Tick(TimePoint aNow)
{
  owner_->Update(aNow);
  if (!init_.hasQuotas()) {
    return;
  }
  UpdateFleet();
  host_->Update(aNow);
  SendMessages();
  if (aNow >= nextChargeRemoval_) {
    nextChargeRemoval_ = aNow + kChargeMargin;
    std::erase_if(charges_, [&](const auto& aEntry) { return aEntry.second.expiresAt < aNow; });
  }
  LogChanges(aNow);
}

void QuotaClient::LogChanges(TimePoint aNow)
{
  if (aNow < nextLog_) {
    return;
  }
  nextLog_ = aNow + kLogInterval;
  const quota::QuotaHostStats stats = host_->Stats();
  const quota::QuotaHostStats last = std::exchange(logged_, stats);
  if (stats.ownersAvoided > last.ownersAvoided) {
    Log(LogLevel::Info,
        "quota_owner_changed",
        { { "changes", stats.ownersAvoided - last.ownersAvoided },
          { "avoided", host_->AvoidedOwners() },
          { "timeouts", stats.timeouts - last.timeouts } });
  }
  if (stats.ownRequests > last.ownRequests && topCapacity_ > 0 &&
      CapacityClass(init_.members->Self().capacity) != topCapacity_) {
    Log(LogLevel::Warning,
        "quota_without_owner",
        { { "requests", stats.ownRequests - last.ownRequests },
          { "avoided", host_->AvoidedOwners() } });
  }
  if (owner_->Pauses() > std::exchange(loggedPauses_, owner_->Pauses())) {
    Log(LogLevel::Info, "quota_owner_restarted", { { "accounts", owner_->Accounts() } });
  }
  if (stats.rejected > last.rejected) {
    std::vector<std::pair<uint64_t, std::string>> accounts;
    for (const auto& [account, count] : rejectedUnlogged_) {
      accounts.emplace_back(count, account.empty() ? "(others)" : account);
    }
    std::sort(accounts.rbegin(), accounts.rend());
    std::string most;
    for (size_t i = 0; i < std::min(accounts.size(), kMaxLoggedAccounts); ++i) {
      most +=
        (most.empty() ? "" : ",") + accounts[i].second + ":" + std::to_string(accounts[i].first);
    }
    Log(LogLevel::Info,
        "quota_rejected",
        { { "requests", stats.rejected - last.rejected },
          { "granted", stats.granted - last.granted },
          { "accounts", accounts.size() },
          { "most", most } });
    rejectedUnlogged_.clear();
  }
}

void QuotaClient::Stop()
{
  sendTimer_.reset();
  timeoutTimer_.reset();
}

QuotaClientStats QuotaClient::Stats() const
{
  return { host_->Stats(),         host_->Accounts(), owner_->Accounts(),
           host_->AvoidedOwners(), owner_->Pauses(),  rejected_ };
}

std::string QuotaClient::Describe() const
{
  if (!init_.hasQuotas()) {
    return "";
  }
  const quota::QuotaHostStats& stats = host_->Stats();
  return "quota accounts=" + std::to_string(host_->Accounts()) +
         " owned=" + std::to_string(owner_->Accounts()) +
         " granted=" + std::to_string(stats.granted) +
         " rejected=" + std::to_string(stats.rejected) +
         " refunded=" + std::to_string(stats.refunded) +
         " messages=" + std::to_string(stats.messages) +
         " timeouts=" + std::to_string(stats.timeouts) +
         " owners_avoided=" + std::to_string(host_->AvoidedOwners()) +
         " without_owner=" + std::to_string(stats.ownRequests) + "\n";
}

} // namespace bg::fleet::detail
