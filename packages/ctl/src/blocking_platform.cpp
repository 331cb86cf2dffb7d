#include <future>

#include "boragegauge/ctl.h"

namespace bg::ctl {

namespace {

/// Longer than the platform's own deadline; only reached when a back end drops its callback.
constexpr Milliseconds kGrace{ 2000 };

/// Starts a call and waits for its callback, which may come late and then finds nobody waiting.
template<typename T, typename Start>
Result<T> Await(Milliseconds aDeadline, const char* aStep, Start aStart)
{
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto future = promise->get_future();
  aStart([promise](Result<T> aResult) { promise->set_value(std::move(aResult)); });
  if (future.wait_for(aDeadline + kGrace) != std::future_status::ready)
    return Error{ Errc::OutcomeUnknown, aStep, "platform", "no answer" };
  return future.get();
}

} // namespace

BlockingPlatform::BlockingPlatform(Platform& aPlatform, Milliseconds aDeadline)
  : platform_(aPlatform)
  , deadline_(aDeadline)
{
}

Result<CommitReply> BlockingPlatform::Commit(CommitRequest aRequest)
{
  return Await<CommitReply>(deadline_, "table.commit", [&](auto aCallback) {
    platform_.Commit(std::move(aRequest), deadline_, aCallback);
  });
}

Result<RowReply> BlockingPlatform::ReadRow(std::string_view aKey)
{
  return Await<RowReply>(deadline_, "table.read", [&](auto aCallback) {
    platform_.ReadRow(aKey, deadline_, aCallback);
  });
}

Result<ScanReply> BlockingPlatform::Scan(std::string_view aPrefix)
{
  return Await<ScanReply>(deadline_, "table.scan", [&](auto aCallback) {
    platform_.Scan(aPrefix, deadline_, aCallback);
  });
}

Result<bool> BlockingPlatform::PutObject(std::string_view aName, std::string aBytes)
{
  return Await<bool>(deadline_, "object.put", [&](auto aCallback) {
    platform_.PutObject(aName, std::move(aBytes), deadline_, aCallback);
  });
}

Result<std::string> BlockingPlatform::GetObject(std::string_view aName)
{
  return Await<std::string>(deadline_, "object.get", [&](auto aCallback) {
    platform_.GetObject(aName, deadline_, aCallback);
  });
}

Result<std::vector<std::string>> BlockingPlatform::ListObjects(std::string_view aPrefix)
{
  return Await<std::vector<std::string>>(deadline_, "object.list", [&](auto aCallback) {
    platform_.ListObjects(aPrefix, deadline_, aCallback);
  });
}

Result<std::vector<HostEntry>> BlockingPlatform::ListHosts()
{
  return Await<std::vector<HostEntry>>(
    deadline_, "hosts.list", [&](auto aCallback) { platform_.ListHosts(deadline_, aCallback); });
}

} // namespace bg::ctl
