#include "control_p.h"

namespace bg::fleet::detail {

QuotaClientInit FleetControl::MakeQuotaInit()
{
  QuotaClientInit init;
  init.members = members_.get();
  init.send = [this](std::string_view aHost, wire::Envelope aMessage) {
    Send(aHost, std::move(aMessage));
  };
  init.runAfter = [this](Duration aDelay, std::function<void()> aCallback) {
    return std::shared_ptr<void>(
      std::shared_ptr<EventLoop::Timer>(loop_.RunAfter(aDelay, std::move(aCallback))));
  };
  init.now = Now;
  init.findAccount = [this](std::string_view aName) -> std::shared_ptr<const ClientAccount> {
    const auto routes = shared_.routes.load();
    return routes ? routes->FindAccount(aName) : nullptr;
  };
  init.hasQuotas = [this] {
    const auto routes = shared_.routes.load();
    return routes && HasQuotas(routes);
  };
  init.knowsMembers = [this] { return hasReadMembers_; };
  init.bounds = { init_.quotaWindow, init_.quotaOvershoot, init_.quotaSlack };
  init.isFirstStart = init_.isFirstStart;
  return init;
}

bool FleetControl::HasQuotas(const std::shared_ptr<const RouteTable>& aRoutes)
{
  if (aRoutes != quotaRoutes_) {
    quotaRoutes_ = aRoutes;
    const auto& accounts = aRoutes->Configuration().accounts;
    hasQuotas_ = std::any_of(
      accounts.begin(), accounts.end(), [](const auto& aAccount) { return aAccount->HasQuota(); });
  }
  return hasQuotas_;
}

void FleetControl::Acquire(uint64_t aSequence, SlotQuery aQuery, SlotCallback aCallback)
{
  loop_.Post(
    [this, aSequence, aQuery = std::move(aQuery), aCallback = std::move(aCallback)]() mutable {
      if (!aQuery.account || !aQuery.account->HasQuota()) {
        return slots_->Acquire(aSequence, std::move(aQuery), std::move(aCallback));
      }
      const auto query = std::make_shared<SlotQuery>(std::move(aQuery));
      quota_->Acquire(aSequence,
                      *query,
                      [this, aSequence, query, callback = std::move(aCallback)](
                        bool aIsGranted, Duration aRetryAfter) {
                        if (aIsGranted) {
                          return slots_->Acquire(aSequence, std::move(*query), callback);
                        }
                        SlotResult result;
                        result.reason = kQuotaReason;
                        result.retryAfter = aRetryAfter;
                        callback(std::move(result));
                      });
    });
}

void FleetControl::Release(uint64_t aSequence, const SlotReport& aReport)
{
  loop_.Post([=, this] {
    quota_->Cancel(aSequence);
    slots_->Release(aSequence, aReport);
  });
}

void FleetControl::SettleCharge(uint64_t aCharge, bool aMayHaveRun)
{
  loop_.Post([=, this] { quota_->Settle(aCharge, aMayHaveRun); });
}

} // namespace bg::fleet::detail
