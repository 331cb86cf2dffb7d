// The part of FleetSession that authenticates callers.
#include "request_fingerprint_p.h"
#include "session_p.h"

namespace bg::fleet::detail {

namespace {

constexpr std::string_view kMissingKey = "missing_key";
constexpr std::string_view kUnknownKey = "unknown_key";
/// The key was valid when the request arrived.
constexpr std::string_view kRevokedKey = "revoked_key";

} // namespace

std::shared_ptr<const ClientAccount> FleetSession::AccountBy(const RouteTable& aRoutes,
                                                             const FleetRoute& aRoute,
                                                             std::string_view& aReason) const
{
  aReason = {};
  if (!aRoutes.HasAccounts() || aRoute.isPublic) {
    return nullptr;
  }
  auto account = aRoutes.Authenticate(caller_.key);
  if (!account) {
    aReason = caller_.key.empty() ? kMissingKey : kUnknownKey;
  }
  return account;
}

bool FleetSession::Authenticate()
{
  std::string_view reason;
  accountRoutes_ = routes_;
  SetAccount(AccountBy(*routes_, *route_, reason));
  if (reason.empty()) {
    return true;
  }
  traffic_.Metrics().RecordUnauthenticated(reason);
  Fail(401,
       reason,
       reason == kMissingKey ? "the request has no key of a client account"
                             : "no client account has the key of the request",
       Duration(0));
  return false;
}

bool FleetSession::ConfirmAccount()
{
  auto routes = traffic_.Shared().routes.load();
  if (!routes || routes == accountRoutes_) {
    return true;
  }
  const std::string* host = FindHeader(request_.headers, "Host");
  const FleetRoute* route = host == nullptr ? nullptr : routes->Match(*host, request_.target);
  std::string_view reason;
  // A request keeps a route that is no longer configured, as it keeps its service.
  auto account = AccountBy(*routes, route == nullptr ? *route_ : *route, reason);
  accountRoutes_ = std::move(routes);
  if (reason.empty()) {
    SetAccount(std::move(account));
    return true;
  }
  reason = account_ ? kRevokedKey : reason;
  traffic_.Metrics().RecordUnauthenticated(reason);
  FailUnsent(401,
             reason,
             "the configuration has changed: no client account has the key of the request",
             Duration(0));
  return false;
}

void FleetSession::OnConfigurationChange()
{
  const auto previous = account_;
  if (hasResponded_ || !ConfirmAccount()) {
    return;
  }
  const std::string_view from = previous ? std::string_view(previous->name) : "";
  const std::string_view to = account_ ? std::string_view(account_->name) : "";
  if (from == to) {
    return;
  }
  // Queue order and quotas depend on the account.
  Log(LogLevel::Info,
      "request_account_changed",
      { { "request_id", caller_.requestId }, { "previous", from }, { "account", to } });
  traffic_.Control().Release(std::exchange(slotSequence_, 0), {});
  AcquireSlot();
}

void FleetSession::SetAccount(std::shared_ptr<const ClientAccount> aAccount)
{
  account_ = std::move(aAccount);
  if (account_ && caller_.account != account_->name) {
    caller_.account = account_->name;
    isFingerprintCurrent_ = false;
  }
}

void FleetSession::UpdateFingerprint()
{
  if (!std::exchange(isFingerprintCurrent_, true)) {
    fingerprint_ = RequestFingerprint(request_, caller_);
  }
}

uint32_t FleetSession::Priority() const
{
  return account_ && account_->priority ? *account_->priority : route_->priority;
}

void FleetSession::FailUnsent(int aStatus,
                              std::string_view aRule,
                              std::string aDetail,
                              Duration aRetryAfter)
{
  if (slotSequence_ != 0) {
    traffic_.Control().Release(std::exchange(slotSequence_, 0), {});
  }
  if (lastErrorResponse_) {
    Log(LogLevel::Info,
        "repeat_refused",
        { { "request_id", caller_.requestId },
          { "service", service_ },
          { "reason", aRule },
          { "delivered_status", lastErrorResponse_->status } });
    return Deliver(*std::exchange(lastErrorResponse_, std::nullopt));
  }
  Fail(mayHaveExecuted_ ? 502 : aStatus, aRule, std::move(aDetail), aRetryAfter);
}

} // namespace bg::fleet::detail
