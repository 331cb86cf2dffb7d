#include "fake_platform.h"

namespace bg::ctl {

namespace {

Error Down(const char* aStep)
{
  return Error{ Errc::Unavailable, aStep, "fake", "down" };
}

void RunOnce(std::function<void()>& aHook)
{
  const auto hook = std::exchange(aHook, nullptr);
  if (hook)
    hook();
}

} // namespace

CommitReply FakePlatform::Execute(const CommitRequest& aRequest)
{
  CommitReply reply;
  for (const auto& condition : aRequest.conditions) {
    const auto row = rows.find(condition.key);
    if ((row == rows.end() ? 0 : row->second.version) != condition.version)
      reply.conflicts.push_back(row == rows.end() ? TableRow{ condition.key, 0, "" } : row->second);
  }
  if (!reply.conflicts.empty())
    return reply;
  reply.committed = true;
  reply.version = ++version_;
  for (const auto& put : aRequest.puts)
    rows[put.key] = { put.key, version_, put.value };
  return reply;
}

void FakePlatform::Commit(CommitRequest aRequest, Duration, Callback<CommitReply> aCallback)
{
  RunOnce(beforeCommit);
  auto fault = CommitFault::None;
  if (!faults.empty()) {
    fault = faults.front();
    faults.erase(faults.begin());
  }
  if (tableDown || fault == CommitFault::Refuse)
    return aCallback(Down("table.commit"));
  CommitReply reply;
  if (fault == CommitFault::Delay)
    delayed_.push_back(aRequest);
  else if (fault != CommitFault::Drop)
    reply = Execute(aRequest);
  RunOnce(afterCommit);
  if (fault != CommitFault::None)
    return aCallback(Error{ Errc::OutcomeUnknown, "table.commit", "fake", "response lost" });
  aCallback(reply);
}

void FakePlatform::ReadRow(std::string_view aKey, Duration, Callback<RowReply> aCallback)
{
  if (tableDown)
    return aCallback(Down("table.read"));
  const auto row = rows.find(aKey);
  aCallback(RowReply{ row == rows.end() ? TableRow{ std::string(aKey), 0, "" } : row->second, 0 });
}

void FakePlatform::Scan(std::string_view aPrefix, Duration, Callback<ScanReply> aCallback)
{
  if (tableDown)
    return aCallback(Down("table.scan"));
  ScanReply reply;
  for (const auto& [key, row] : rows) {
    if (key.starts_with(aPrefix))
      reply.rows.push_back(row);
  }
  aCallback(reply);
}

void FakePlatform::PutObject(std::string_view aName,
                             std::string aBytes,
                             Duration,
                             Callback<bool> aCallback)
{
  if (objectsDown)
    return aCallback(Down("object.put"));
  objects[std::string(aName)] = std::move(aBytes);
  aCallback(true);
}

void FakePlatform::GetObject(std::string_view aName, Duration, Callback<std::string> aCallback)
{
  if (objectsDown)
    return aCallback(Down("object.get"));
  const auto object = objects.find(aName);
  if (object == objects.end())
    return aCallback(Error{ Errc::NotFound, "object.get", "fake", std::string(aName) });
  aCallback(object->second);
}

void FakePlatform::ListObjects(std::string_view aPrefix,
                               Duration,
                               Callback<std::vector<std::string>> aCallback)
{
  if (objectsDown)
    return aCallback(Down("object.list"));
  std::vector<std::string> names;
  for (const auto& [name, bytes] : objects) {
    if (name.starts_with(aPrefix))
      names.push_back(name);
  }
  aCallback(names);
}

void FakePlatform::ListHosts(Duration, Callback<std::vector<HostEntry>> aCallback)
{
  if (hostsDown)
    return aCallback(Down("hosts.list"));
  aCallback(hosts);
}

void FakePlatform::DeliverDelayed()
{
  for (const auto& request : std::exchange(delayed_, {}))
    Execute(request);
}

void FakePlatform::AddProxy(const std::string& aHost, HostState aState)
{
  HostEntry host;
  host.host = aHost;
  host.role = HostRole::Proxy;
  host.address = "127.0.0.1";
  host.adminPort = 1;
  host.state = aState;
  hosts.push_back(host);
}

std::optional<ConfigurationHead> FakePlatform::Head() const
{
  const auto row = rows.find(kHeadKey);
  if (row == rows.end())
    return std::nullopt;
  const auto head = DecodeHead(row->second.value);
  return head ? std::optional(*head) : std::nullopt;
}

} // namespace bg::ctl
