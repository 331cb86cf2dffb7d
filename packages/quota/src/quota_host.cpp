#include "boragegauge/quota_host.h"

#include <algorithm>
#include <cmath>

#include "boragegauge/host_reach.h"

namespace bg::quota {

namespace {

/// Over which the demand of an account is smoothed. Short against the window of a quota, so that
/// little is leased to a host whose callers have gone elsewhere.
constexpr double kDemandSeconds = 1.0;
/// Owners of one partition that this host keeps in touch with: its owner and the successor of that.
constexpr size_t kStandbyOwners = 2;
/// Longest Retry-After of a host that decides by its own share: an owner is probably back by then.
constexpr Duration kMaxOwnRetryAfter = std::chrono::seconds(1);

double ToSeconds(Duration aPeriod)
{
  return std::chrono::duration<double>(aPeriod).count();
}

} // namespace

QuotaHost::QuotaHost(QuotaHostInit aInit)
  : init_(std::move(aInit))
  , nextId_(init_.firstId)
{
  ownerOf_.fill(init_.self);
}

const std::string& QuotaHost::OwnerOf(std::string_view aAccount) const
{
  return ownerOf_[PartitionOf(aAccount)];
}

void QuotaHost::SelectOwners(TimePoint aNow)
{
  nextSelection_ = aNow + HostReach::kHeartbeatInterval;
  const auto previous = std::exchange(used_, {});
  standby_.clear();
  for (size_t i = 0; i < kPartitions; ++i) {
    const std::vector<std::string> candidates = init_.candidates(i, aNow);
    const auto usable = std::find_if(candidates.begin(), candidates.end(), [&](const auto& aHost) {
      return aHost == init_.self || !avoided_.contains(aHost);
    });
    const std::string& owner = usable == candidates.end() ? init_.self : *usable;
    if (owner != ownerOf_[i]) {
      handedOver_.set(i, ownerOf_[i] == init_.self || !avoided_.contains(ownerOf_[i]));
      ownerOf_[i] = owner;
    }
    used_[owner].set(i);
    standby_.insert(candidates.begin(),
                    candidates.begin() +
                      static_cast<std::ptrdiff_t>(std::min(candidates.size(), kStandbyOwners)));
  }
  const auto Find = [](const auto& aUsed, const std::string& aOwner) {
    const auto found = aUsed.find(aOwner);
    return found == aUsed.end() ? Partitions() : found->second;
  };
  std::set<std::string> owners;
  for (const auto& [owner, used] : previous) {
    owners.insert(owner);
  }
  for (const auto& [owner, used] : used_) {
    owners.insert(owner);
  }
  for (const std::string& owner : owners) {
    if (Find(previous, owner) != Find(used_, owner) && !avoided_.contains(owner)) {
      changed_.insert(owner);
    }
  }
}

void QuotaHost::RecordDemand(Account& aAccount, TimePoint aNow) const
{
  const double elapsed = ToSeconds(aNow - aAccount.lastRequestAt);
  aAccount.demand = aAccount.demand * std::exp(-elapsed / kDemandSeconds) + 1 / kDemandSeconds;
  aAccount.lastRequestAt = aNow;
}

void QuotaHost::Acquire(uint64_t aRequest, const std::string& aAccount, TimePoint aNow)
{
  Account& account = accounts_[aAccount];
  RecordDemand(account, aNow);
  if (account.leased > 0 && account.leaseUntil < aNow) {
    Return(aAccount, account.leaseOwner, std::exchange(account.leased, 0));
  }
  if (account.leased == 0 && account.askId == 0 && aNow < account.emptyUntil) {
    ++stats_.rejected;
    return init_.onDecision(aRequest, false, account.retryAt - aNow);
  }
  account.waiting.push_back(aRequest);
  ServeWaiting(aAccount, account, aNow);
}

bool QuotaHost::Cancel(uint64_t aRequest, const std::string& aAccount)
{
  const auto found = accounts_.find(aAccount);
  return found != accounts_.end() && std::erase(found->second.waiting, aRequest) > 0;
}

void QuotaHost::Refund(const std::string& aAccount, TimePoint aNow)
{
  ++stats_.refunded;
  Account& account = accounts_[aAccount];
  account.emptyUntil = {};
  Lease(aAccount, account, 1, OwnerOf(aAccount), aNow);
  ServeWaiting(aAccount, account, aNow);
}

void QuotaHost::Lease(const std::string& aName,
                      Account& aAccount,
                      uint32_t aTokens,
                      std::string_view aOwner,
                      TimePoint aNow)
{
  if (aAccount.leased > 0 && (aAccount.leaseUntil < aNow || aAccount.leaseOwner != aOwner)) {
    Return(aName, aAccount.leaseOwner, std::exchange(aAccount.leased, 0));
  }
  if (aAccount.leased == 0) {
    aAccount.leaseUntil = aNow + kLeasePeriod;
    aAccount.leaseOwner = aOwner;
  }
  aAccount.leased += aTokens;
  leased_.insert(aName);
}

void QuotaHost::Return(const std::string& aName, std::string_view aOwner, uint32_t aTokens)
{
  if (aTokens > 0) {
    outbox_[std::string(aOwner)].push_back({ .account = aName, .returned = aTokens });
  }
}

void QuotaHost::ServeWaiting(const std::string& aName, Account& aAccount, TimePoint aNow)
{
  while (aAccount.leased > 0 && !aAccount.waiting.empty()) {
    const uint64_t request = aAccount.waiting.front();
    aAccount.waiting.pop_front();
    --aAccount.leased;
    ++stats_.granted;
    init_.onDecision(request, true, Duration(0));
  }
  if (!aAccount.waiting.empty() && aAccount.askId == 0) {
    Ask(aName, aAccount, aNow);
  }
}

void QuotaHost::Ask(const std::string& aName, Account& aAccount, TimePoint aNow)
{
  aAccount.askId = nextId_++;
  aAccount.asked = static_cast<uint32_t>(aAccount.waiting.size());
  aAccount.askedOwner = aAccount.isForcedOwn ? init_.self : OwnerOf(aName);
  aAccount.askedAt = aNow;
  aAccount.isRepeated = false;
  asking_.insert(aName);
  if (aAccount.askedOwner == init_.self) {
    ++stats_.ownRequests;
  }
  PostAsk(aName, aAccount, aNow);
}

void QuotaHost::PostAsk(const std::string& aName, const Account& aAccount, TimePoint aNow)
{
  const double elapsed = ToSeconds(aNow - aAccount.lastRequestAt);
  const double expected =
    aAccount.demand * std::exp(-elapsed / kDemandSeconds) * ToSeconds(kLeasePeriod);
  const auto ahead = static_cast<uint32_t>(std::min<double>(expected, kMaxAhead));
  outbox_[aAccount.askedOwner].push_back(
    { .account = aName, .id = aAccount.askId, .wanted = aAccount.asked, .ahead = ahead });
}

std::vector<QuotaHost::Message> QuotaHost::TakeMessages(TimePoint aNow)
{
  if (aNow >= nextSelection_) {
    SelectOwners(aNow);
  }
  std::set<std::string> due = standby_;
  for (const auto& [owner, used] : used_) {
    due.insert(owner);
  }
  std::erase_if(due, [&](const std::string& aOwner) { return !IsMessageDue(aOwner, aNow); });
  due.merge(std::exchange(changed_, {}));
  for (const std::string& owner : due) {
    outbox_.try_emplace(owner);
  }
  std::vector<Message> messages;
  for (auto& [owner, items] : std::exchange(outbox_, {})) {
    const auto used = used_.find(owner);
    const Partitions partitions = used == used_.end() ? Partitions() : used->second;
    messages.push_back({ owner, { partitions, partitions & handedOver_, std::move(items) } });
    IncludeWaiting(messages.back().request);
    Owner& state = owners_[owner];
    state.lastMessageAt = aNow;
    if (owner != init_.self) {
      ++stats_.messages;
      state.unansweredSince = state.unansweredSince == TimePoint() ? aNow : state.unansweredSince;
    }
  }
  return messages;
}

/// Requests that have arrived since a request for tokens was posted go along with it.
void QuotaHost::IncludeWaiting(OwnerRequest& aRequest)
{
  for (TokenRequest& item : aRequest.items) {
    const auto found = accounts_.find(item.account);
    if (item.id != 0 && found != accounts_.end() && found->second.askId == item.id &&
        !found->second.isRepeated) {
      found->second.asked = static_cast<uint32_t>(found->second.waiting.size());
      item.wanted = found->second.asked;
    }
  }
}

bool QuotaHost::IsMessageDue(const std::string& aOwner, TimePoint aNow) const
{
  const auto found = owners_.find(aOwner);
  if (found == owners_.end()) {
    return true;
  }
  const bool isRepeat = found->second.unansweredSince != TimePoint() && !avoided_.contains(aOwner);
  return aNow - found->second.lastMessageAt >=
         (isRepeat ? kHeartbeatRepeat : HostReach::kHeartbeatInterval);
}

void QuotaHost::HandleAnswer(std::string_view aOwner, const OwnerAnswer& aAnswer, TimePoint aNow)
{
  if (const auto owner = owners_.find(aOwner); owner != owners_.end()) {
    owner->second.unansweredSince = {};
  }
  const auto avoided = avoided_.find(aOwner);
  if (avoided != avoided_.end() && aNow - avoided->second >= kAvoidPeriod) {
    avoided_.erase(avoided);
    SelectOwners(aNow);
  }
  for (const TokenAnswer& item : aAnswer.items) {
    HandleItem(aOwner, item, aNow);
  }
}

void QuotaHost::HandleItem(std::string_view aOwner, const TokenAnswer& aAnswer, TimePoint aNow)
{
  const auto found = accounts_.find(aAnswer.account);
  if (found == accounts_.end() || found->second.askId != aAnswer.id) {
    // It comes late or is the second answer to a repeated request.
    return Return(aAnswer.account, aOwner, aAnswer.granted);
  }
  const std::string& name = found->first;
  Account& account = found->second;
  account.askId = 0;
  asking_.erase(name);
  if (!aAnswer.isKnown) {
    if (aOwner != init_.self) { // Its configuration is older or newer than that of this host.
      account.isForcedOwn = true;
      return ServeWaiting(name, account, aNow);
    }
    // Without a quota in the configuration in force there is nothing to keep to.
    Lease(name, account, static_cast<uint32_t>(account.waiting.size()), aOwner, aNow);
    return ServeWaiting(name, account, aNow);
  }
  account.timeouts = 0;
  account.isForcedOwn = false;
  if (aAnswer.granted > 0) {
    Lease(name, account, aAnswer.granted, aOwner, aNow);
  }
  const auto asked = static_cast<uint32_t>(std::min<size_t>(account.asked, account.waiting.size()));
  if (asked > account.leased) {
    const Duration retryAfter =
      aOwner == init_.self ? std::min(aAnswer.retryAfter, kMaxOwnRetryAfter) : aAnswer.retryAfter;
    account.retryAt = aNow + retryAfter;
    account.emptyUntil = aNow + std::min(retryAfter, kMaxKnownEmptyPeriod);
    // The newest ones: those before them have waited longer.
    const uint32_t rejected = asked - account.leased;
    std::rotate(account.waiting.begin(),
                account.waiting.begin() + account.leased,
                account.waiting.begin() + asked);
    Reject(account, rejected, retryAfter);
  }
  ServeWaiting(name, account, aNow);
}

void QuotaHost::Reject(Account& aAccount, uint32_t aCount, Duration aRetryAfter)
{
  for (uint32_t i = 0; i < aCount; ++i) {
    const uint64_t request = aAccount.waiting.front();
    aAccount.waiting.pop_front();
    ++stats_.rejected;
    init_.onDecision(request, false, aRetryAfter);
  }
}

void QuotaHost::OnTimeout(const std::string& aName, Account& aAccount, TimePoint aNow)
{
  ++stats_.timeouts;
  AvoidOwner(aAccount.askedOwner, aNow);
  aAccount.askId = 0;
  asking_.erase(aName);
  aAccount.isForcedOwn = ++aAccount.timeouts >= kMaxOwners;
  if (!aAccount.waiting.empty()) {
    Ask(aName, aAccount, aNow);
  }
}

void QuotaHost::AvoidOwner(const std::string& aOwner, TimePoint aNow)
{
  if (avoided_.insert_or_assign(aOwner, aNow).second) {
    ++stats_.ownersAvoided;
    SelectOwners(aNow);
  }
}

void QuotaHost::CheckOwners(TimePoint aNow)
{
  std::erase_if(
    owners_, [&](const auto& aEntry) { return aNow - aEntry.second.lastMessageAt > kIdlePeriod; });
  for (const auto& [name, owner] : owners_) {
    if (name != init_.self && owner.unansweredSince != TimePoint() &&
        aNow - owner.unansweredSince > kHeartbeatTimeout && !avoided_.contains(name)) {
      AvoidOwner(name, aNow);
    }
  }
}

void QuotaHost::RestartTimeouts(TimePoint aNow)
{
  for (const std::string& name : asking_) {
    accounts_.at(name).askedAt = aNow;
  }
  for (auto& [name, owner] : owners_) {
    if (owner.unansweredSince != TimePoint()) {
      owner.unansweredSince = aNow;
    }
  }
}

void QuotaHost::Update(TimePoint aNow)
{
  if (aNow - std::exchange(updatedAt_, aNow) > kMaxUpdateGap) {
    RestartTimeouts(aNow);
  }
  const std::set<std::string> asking = asking_;
  for (const std::string& name : asking) {
    Account& account = accounts_.at(name);
    if (account.askId == 0 || account.askedOwner == init_.self) {
      continue;
    }
    if (aNow - account.askedAt >= kAnswerTimeout) {
      OnTimeout(name, account, aNow);
    } else if (aNow - account.askedAt >= kRepeatTimeout && !account.isRepeated) {
      account.isRepeated = true;
      PostAsk(name, account, aNow);
    }
  }
  std::erase_if(leased_, [&](const std::string& aName) {
    Account& account = accounts_.at(aName);
    if (account.leased > 0 && account.leaseUntil < aNow) {
      Return(aName, account.leaseOwner, std::exchange(account.leased, 0));
    }
    return account.leased == 0;
  });
  CheckOwners(aNow);
  if (aNow >= nextRemoval_) {
    nextRemoval_ = aNow + kIdlePeriod / 10;
    std::erase_if(accounts_, [&](const auto& aEntry) {
      const Account& account = aEntry.second;
      return account.waiting.empty() && account.askId == 0 && account.leased == 0 &&
             !leased_.contains(aEntry.first) && aNow - account.lastRequestAt > kIdlePeriod;
    });
  }
}

} // namespace bg::quota
