#include <algorithm>

#include <nlohmann/json.hpp>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

using Json = nlohmann::json;

Error Invalid(const ProxyAddress& aProxy, const char* aStep, std::string aDetail)
{
  return Error{ Errc::ProtocolViolation, aStep, aProxy.host, std::move(aDetail) };
}

/// Peers that the proxy does not list as dead; unset when it lists none at all.
std::optional<uint64_t> CountLivePeers(const Json& aState)
{
  const auto peers = aState.find("peers");
  if (peers == aState.end() || !peers->is_array())
    return std::nullopt;
  const auto isLive = [](const Json& aPeer) {
    return !aPeer.is_object() || aPeer.value("live", true);
  };
  return static_cast<uint64_t>(std::ranges::count_if(*peers, isLive));
}

ProxyStatus ParseStatus(const ProxyAddress& aProxy, const std::string& aBody)
{
  ProxyStatus status;
  status.proxy = aProxy;
  const auto json = Json::parse(aBody, nullptr, false);
  try {
    status.revision = json.at("revision").get<uint64_t>();
    status.digest = json.at("digest").get<std::string>();
    status.formatMax = json.at("format_max").get<uint32_t>();
    status.livePeers = CountLivePeers(json);
    if (const auto ready = json.find("ready"); ready != json.end() && ready->is_boolean())
      status.ready = ready->get<bool>();
  } catch (const Json::exception& error) {
    status.error = Invalid(aProxy, "proxy.state", error.what());
  }
  return status;
}

} // namespace

Result<std::vector<ProxyAddress>> LiveProxies(BlockingPlatform& aPlatform)
{
  const auto hosts = aPlatform.ListHosts();
  if (!hosts)
    return hosts.Failure();
  std::vector<ProxyAddress> proxies;
  for (const auto& host : *hosts) {
    if (host.role == HostRole::Proxy && host.state == HostState::Live)
      proxies.push_back({ host.host, host.address, host.adminPort, host.failureDomain });
  }
  return proxies;
}

std::vector<ProxyStatus> ReadProxyStatus(std::span<const ProxyAddress> aProxies,
                                         const ProxyQuery& aQuery)
{
  const auto bodies = aQuery(aProxies, "/state");
  std::vector<ProxyStatus> result;
  for (size_t i = 0; i < aProxies.size(); ++i) {
    if (bodies[i]) {
      result.push_back(ParseStatus(aProxies[i], *bodies[i]));
      continue;
    }
    result.emplace_back().proxy = aProxies[i];
    result.back().error = bodies[i].Failure();
  }
  return result;
}

Result<std::vector<DecisionRecord>> ParseDecisions(const ProxyAddress& aProxy,
                                                   const std::string& aBody)
{
  const auto json = Json::parse(aBody, nullptr, false);
  if (!json.is_array())
    return Invalid(aProxy, "proxy.decisions", "not a JSON array");
  std::vector<DecisionRecord> records;
  for (const auto& item : json) {
    auto record = DecodeRecord(item.dump());
    if (!record)
      return record.Failure();
    records.push_back(std::move(*record));
  }
  return records;
}

} // namespace bg::ctl
