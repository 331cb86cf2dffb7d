#include "settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bg {

using Json = nlohmann::json;

const std::vector<std::string_view> kDisableableMechanisms = {
  "config_monotonic", "detection", "drain", "floor",       "lease",
  "leaving",          "notrun",    "once",  "retry_guard", "truncation",
};

namespace {

constexpr bool kRequired = true;
constexpr bool kOptional = false;

/// Reads values of a settings file and collects all problems, so that one start reports every
/// mistake. A value that is absent or invalid leaves its target unchanged.
class SettingsReader
{
public:
  explicit SettingsReader(const Json& aRoot)
    : root_(aRoot)
  {
  }

  void ReadString(const char* aKey, std::string& aTarget, bool aIsRequired)
  {
    const Json* value = FindValue(aKey, aIsRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
      return AddProblem(aKey, value, "a non-empty string");
    }
    aTarget = value->get<std::string>();
  }

  void ReadAddress(const char* aKey, std::string& aTarget, bool aIsRequired)
  {
    const Json* value = FindValue(aKey, aIsRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || !IsAddress(value->get<std::string>())) {
      return AddProblem(aKey, value, "an IPv4 or IPv6 address");
    }
    aTarget = value->get<std::string>();
  }

  template<typename Integer>
  void ReadInteger(const char* aKey,
                   uint64_t aMin,
                   uint64_t aMax,
                   Integer& aTarget,
                   bool aIsRequired)
  {
    const Json* value = FindValue(aKey, aIsRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number_unsigned() || value->get<uint64_t>() < aMin ||
        value->get<uint64_t>() > aMax) {
      return AddProblem(
        aKey, value, "an integer from " + std::to_string(aMin) + " to " + std::to_string(aMax));
    }
    aTarget = static_cast<Integer>(value->get<uint64_t>());
  }

  void ReadReal(const char* aKey, double aMin, double aMax, double& aTarget)
  {
    const Json* value = FindValue(aKey, kOptional);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number() || value->get<double>() < aMin || value->get<double>() > aMax) {
      return AddProblem(
        aKey, value, "a number from " + Json(aMin).dump() + " to " + Json(aMax).dump());
    }
    aTarget = value->get<double>();
  }

  void ReadDuration(const char* aKey, Milliseconds& aTarget)
  {
    const Json* value = FindValue(aKey, kOptional);
    if (value == nullptr) {
      return;
    }
    const auto duration =
      value->is_string() ? ParsePeriod(value->get_ref<const std::string&>()) : std::nullopt;
    if (!duration) {
      return AddProblem(aKey, value, "a period such as \"1500ms\" or \"2.5s\"");
    }
    aTarget = *duration;
  }

  void ReadBool(const char* aKey, bool& aTarget)
  {
    const Json* value = FindValue(aKey, kOptional);
    if (value == nullptr) {
      return;
    }
    if (!value->is_boolean()) {
      return AddProblem(aKey, value, "true or false");
    }
    aTarget = value->get<bool>();
  }

  /// Reads a list of strings. aIsValid is called for each item and may store it.
  void ReadStringList(const char* aKey,
                      const char* aAllowed,
                      const std::function<bool(const std::string&)>& aIsValid)
  {
    const Json* value = FindValue(aKey, kOptional);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      return AddProblem(aKey, value, aAllowed);
    }
    for (const Json& item : *value) {
      if (!item.is_string() || !aIsValid(item.get<std::string>())) {
        AddProblem(aKey, &item, aAllowed);
      }
    }
  }

  void AddProblem(const char* aKey, const Json* aFound, const std::string& aAllowed)
  {
    problems_.push_back("/" + std::string(aKey) + ": found " +
                        (aFound == nullptr ? "nothing" : aFound->dump()) + "; allowed " + aAllowed);
  }

  /// Adds a problem for each key that no Read function has asked for.
  void RejectUnknownKeys()
  {
    for (const auto& [key, value] : root_.items()) {
      if (!recognizedKeys_.contains(key)) {
        problems_.push_back("/" + key + ": unknown key");
      }
    }
  }

  static bool IsAddress(const std::string& aText)
  {
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, aText.c_str(), buffer) == 1 ||
           inet_pton(AF_INET6, aText.c_str(), buffer) == 1;
  }

  const std::vector<std::string>& Problems() const { return problems_; }

private:
  const Json* FindValue(const char* aKey, bool aIsRequired)
  {
    recognizedKeys_.insert(aKey);
    const auto found = root_.find(aKey);
    if (found != root_.end()) {
      return &*found;
    }
    if (aIsRequired) {
      AddProblem(aKey, nullptr, "a value; this key is required");
    }
    return nullptr;
  }

  const Json& root_;
  std::set<std::string> recognizedKeys_;
  std::vector<std::string> problems_;
};

/// Parses "IP:PORT".
std::optional<Endpoint> ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !SettingsReader::IsAddress(aText.substr(0, colon))) {
    return std::nullopt;
  }
  const std::string port = aText.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const int number = std::stoi(port);
  if (number < 1 || number > 65535) {
    return std::nullopt;
  }
  return Endpoint{ aText.substr(0, colon), static_cast<uint16_t>(number) };
}

void ReadAddresses(SettingsReader& aReader, ProxySettings& aSettings)
{
  aReader.ReadString("host", aSettings.host, kRequired);
  aReader.ReadString("failure_domain", aSettings.failureDomain, kRequired);
  aReader.ReadAddress("listen_address", aSettings.listenAddress, kOptional);
  aReader.ReadInteger("port", 0, 65535, aSettings.port, kOptional);
  aReader.ReadInteger("admin_port", 0, 65535, aSettings.adminPort, kOptional);
  aReader.ReadInteger("peer_port", 0, 65535, aSettings.peerPort, kOptional);
  aReader.ReadInteger("relay_port", 0, 65535, aSettings.relayPort, kOptional);
  const bool usesPlatform = aSettings.discovery == Discovery::Configuration;
  aReader.ReadAddress("platform_address", aSettings.platformAddress, usesPlatform);
  aReader.ReadInteger("platform_port", 1, 65535, aSettings.platformPort, usesPlatform);
  aReader.ReadStringList("seeds", "a list of \"IP:PORT\"", [&](const std::string& aText) {
    const auto seed = ParseEndpoint(aText);
    if (seed) {
      aSettings.seeds.push_back({ seed->address, seed->port });
    }
    return seed.has_value();
  });
}

void ReadDiscovery(SettingsReader& aReader, ProxySettings& aSettings)
{
  std::string name = "configuration";
  aReader.ReadString("discovery", name, kOptional);
  if (name == "store") {
    aSettings.discovery = Discovery::Store;
  } else if (name != "configuration") {
    const Json found = name;
    aReader.AddProblem("discovery", &found, "configuration or store");
  }
}

void ReadEndpoint(SettingsReader& aReader, const char* aKey, Endpoint& aTarget)
{
  std::string text;
  aReader.ReadString(aKey, text, kRequired);
  const auto endpoint = ParseEndpoint(text);
  if (endpoint) {
    aTarget = *endpoint;
  } else if (!text.empty()) {
    const Json found = text;
    aReader.AddProblem(aKey, &found, "\"IP:PORT\"");
  }
}

void ReadStoreSettings(SettingsReader& aReader, StoreSettings& aStore)
{
  ReadEndpoint(aReader, "store_endpoint", aStore.store);
  ReadEndpoint(aReader, "caller_endpoint", aStore.callers);
  ReadEndpoint(aReader, "readiness_endpoint", aStore.readiness);
  ReadEndpoint(aReader, "admin_endpoint", aStore.admin);
  aReader.ReadString("readiness_path", aStore.readinessPath, kOptional);
  aReader.ReadBool("first_start", aStore.isFirstStart);
  aReader.ReadReal("cpu_share", 0, 1024, aStore.cpuShare);
  aReader.ReadReal("bandwidth_mbps", 0, 1e6, aStore.bandwidthMbps);
  aReader.ReadReal("memory_mb", 0, 1e6, aStore.memoryMb);
  aReader.ReadInteger(
    "max_response_bytes", 1UL << 10, 1UL << 30, aStore.maxResponseBytes, kOptional);
  aReader.ReadReal("retry_ratio", 0, 10, aStore.retryRatio);
  aReader.ReadReal("retry_slack", 0, 1e6, aStore.retrySlack);
  aReader.ReadBool("prefer_own_failure_domain", aStore.preferOwnDomain);
  aReader.ReadDuration("retry_window", aStore.retryWindow);
  aReader.ReadDuration("quota_window", aStore.quotaWindow);
  aReader.ReadReal("quota_overshoot", 0, 10, aStore.quotaOvershoot);
  aReader.ReadReal("quota_slack", 0, 1e6, aStore.quotaSlack);
  aReader.ReadDuration("stop_limit", aStore.stopLimit);
}

void ReadTrafficSettings(SettingsReader& aReader, ProxySettings& aSettings)
{
  aReader.ReadInteger("traffic_threads", 1, 64, aSettings.trafficThreads, kOptional);
  uint64_t noticeMs = static_cast<uint64_t>(aSettings.balancerNotice.count());
  aReader.ReadInteger("balancer_notice_ms", 0, 600000, noticeMs, kOptional);
  aSettings.balancerNotice = Milliseconds(noticeMs);
  aReader.ReadInteger(
    "body_budget_bytes", 1UL << 20, 1UL << 36, aSettings.bodyBudgetBytes, kOptional);
  std::string level = "info";
  aReader.ReadString("log_level", level, kOptional);
  if (const auto parsed = ParseLogLevel(level)) {
    aSettings.logLevel = *parsed;
  } else {
    const Json found = level;
    aReader.AddProblem("log_level", &found, "debug, info, warning or error");
  }
}

void ReadTestSettings(SettingsReader& aReader, ProxySettings& aSettings)
{
  aReader.ReadBool("test_mode", aSettings.testMode);
  std::string names;
  for (const std::string_view name : kDisableableMechanisms) {
    names += (names.empty() ? "" : ", ") + std::string(name);
  }
  aReader.ReadStringList(
    "test_disable", ("a list of " + names).c_str(), [&](const std::string& aName) {
      aSettings.testDisable.insert(aName);
      return std::find(kDisableableMechanisms.begin(), kDisableableMechanisms.end(), aName) !=
             kDisableableMechanisms.end();
    });
  std::string policy = "power_of_two";
  aReader.ReadString("test_balance_policy", policy, kOptional);
  const Json foundPolicy = policy;
  if (const auto parsed = ParseBalancePolicy(policy)) {
    aSettings.balancePolicy = *parsed;
  } else {
    aReader.AddProblem(
      "test_balance_policy", &foundPolicy, "power_of_two, round_robin or least_loaded");
  }
  const bool usesTestKeys =
    !aSettings.testDisable.empty() || aSettings.balancePolicy != BalancePolicy::PowerOfTwo;
  if (usesTestKeys && !aSettings.testMode) {
    const Json found = false;
    aReader.AddProblem("test_mode", &found, "true when test_* keys are used");
  }
}

Error SettingsError(std::string_view aFile, std::string aDetail)
{
  return { Errc::InvalidArgument, "settings.parse", std::string(aFile), std::move(aDetail) };
}

} // namespace

Result<ProxySettings> ParseProxySettings(std::string_view aJson, std::string_view aFile)
{
  const Json root = Json::parse(aJson, nullptr, false);
  if (!root.is_object()) {
    return SettingsError(aFile, "not a JSON object");
  }
  ProxySettings settings;
  SettingsReader reader(root);
  ReadDiscovery(reader, settings);
  ReadAddresses(reader, settings);
  if (settings.discovery == Discovery::Store) {
    ReadStoreSettings(reader, settings.store);
  }
  ReadTrafficSettings(reader, settings);
  ReadTestSettings(reader, settings);
  reader.RejectUnknownKeys();
  if (!reader.Problems().empty()) {
    std::string detail;
    for (const std::string& problem : reader.Problems()) {
      detail += (detail.empty() ? "" : " | ") + problem;
    }
    return SettingsError(aFile, detail);
  }
  return settings;
}

Result<ProxySettings> LoadProxySettings(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return Error{ Errc::NotFound, "settings.read", aFile, "cannot open file" };
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseProxySettings(text.str(), aFile);
}

} // namespace bg
