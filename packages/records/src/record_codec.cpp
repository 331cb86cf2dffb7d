#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <limits>

#include "boragegauge/records.h"

namespace bg {

namespace {

using Json = nlohmann::json;

struct KindText
{
  std::string_view name;     ///< Value of "kind" in JSON.
  std::string_view sentence; ///< Format string for Describe(); "{}" is the subject.
};

/// Indexed by DecisionKind.
constexpr std::array<KindText, static_cast<size_t>(DecisionKind::Count)> kKindTexts = { {
  { "avoidance", "started to use {} only when no other upstream has a free slot" },
  { "clearance", "uses {} normally again" },
  { "ejection", "ejected {} from the whole fleet" },
  { "readmission", "readmitted {}" },
  { "permit_released", "released the ejection permit of {}" },
  { "lease_lost", "lost the lease of the ejection permit of {}" },
  { "refusal", "refused requests of {}" },
  { "drain", "stopped new work to {}, which is leaving" },
  { "guard", "did not act on the evidence against {}" },
  { "configuration_accepted", "accepted the configuration {}" },
  { "configuration_in_force", "put the configuration {} in force" },
  { "configuration_rejected", "rejected the configuration {}" },
  { "configuration_store_regressed", "found the store at an older configuration than {}" },
} };

Error DecodeError(std::string aDetail)
{
  return Error{ Errc::ProtocolViolation, "record.decode", "", std::move(aDetail) };
}

Json EncodeEvidence(const std::vector<EvidenceValue>& aEvidence)
{
  Json values = Json::array();
  for (const EvidenceValue& value : aEvidence) {
    values.push_back({ { "name", value.name }, { "value", value.value } });
  }
  return values;
}

/// JSON has neither NaN nor infinity. The encoder writes both as null, which reads as NaN.
double ReadDouble(const Json& aValue)
{
  return aValue.is_null() ? std::numeric_limits<double>::quiet_NaN() : aValue.get<double>();
}

/// Throws std::domain_error if the value is not an integer or does not fit the type.
template<typename Integer>
Integer ReadInteger(const Json& aValue)
{
  if (!aValue.is_number_integer()) {
    throw std::domain_error("not an integer");
  }
  const bool isNegative = !aValue.is_number_unsigned() && aValue.get<int64_t>() < 0;
  if (std::is_unsigned_v<Integer> && isNegative) {
    throw std::domain_error("negative number");
  }
  if (!isNegative && aValue.get<uint64_t>() > uint64_t(std::numeric_limits<Integer>::max())) {
    throw std::domain_error("number out of range");
  }
  return aValue.get<Integer>();
}

DecisionKind ReadKind(const Json& aValue)
{
  const auto& name = aValue.get_ref<const std::string&>();
  for (size_t i = 0; i < kKindTexts.size(); ++i) {
    if (kKindTexts[i].name == name) {
      return static_cast<DecisionKind>(i);
    }
  }
  throw std::domain_error("unknown kind " + name);
}

/// Throws a std::exception if a field is missing or invalid.
DecisionRecord ReadRecord(const Json& aJson)
{
  DecisionRecord record;
  record.id = aJson.at("id").get<std::string>();
  record.timeMs = ReadInteger<int64_t>(aJson.at("time_ms"));
  record.proxy = aJson.at("proxy").get<std::string>();
  record.failureDomain = aJson.at("failure_domain").get<std::string>();
  record.kind = ReadKind(aJson.at("kind"));
  record.service = aJson.at("service").get<std::string>();
  record.subject = aJson.at("subject").get<std::string>();
  record.requestId = aJson.at("request_id").get<std::string>();
  record.rule = aJson.at("rule").get<std::string>();
  record.threshold = ReadDouble(aJson.at("threshold"));
  for (const Json& value : aJson.at("evidence")) {
    record.evidence.push_back(
      { value.at("name").get<std::string>(), ReadDouble(value.at("value")) });
  }
  record.opposing = aJson.at("opposing").get<std::vector<std::string>>();
  // Records that the first release wrote have no "context" field.
  record.context = aJson.value("context", std::vector<std::string>());
  record.revision = ReadInteger<uint64_t>(aJson.at("revision"));
  record.digest = aJson.at("digest").get<std::string>();
  record.count = ReadInteger<uint32_t>(aJson.at("count"));
  return record;
}

std::string FormatSubject(const DecisionRecord& aRecord)
{
  switch (aRecord.kind) {
    case DecisionKind::ConfigurationAccepted:
    case DecisionKind::ConfigurationInForce:
    case DecisionKind::ConfigurationRejected:
    case DecisionKind::ConfigurationStoreRegressed:
      return aRecord.subject.empty() ? fmt::format("revision {}", aRecord.revision)
                                     : aRecord.subject;
    case DecisionKind::Refusal:
      return fmt::format("caller class {}", aRecord.subject.empty() ? "any" : aRecord.subject);
    default:
      return fmt::format("upstream {}", aRecord.subject.empty() ? "(none)" : aRecord.subject);
  }
}

std::string FormatUtc(int64_t aTimeMs)
{
  // The record may come from any writer, so its time is clamped to the years 1970 to 9999, which
  // the calendar functions can format.
  const int64_t timeMs = std::clamp<int64_t>(aTimeMs, 0, 253402300799999);
  const auto seconds = static_cast<std::time_t>(timeMs / 1000);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), timeMs % 1000);
}

std::string JoinEvidence(const std::vector<EvidenceValue>& aEvidence)
{
  std::string text;
  for (const EvidenceValue& value : aEvidence) {
    text += fmt::format("{}{} = {:.6g}", text.empty() ? "" : ", ", value.name, value.value);
  }
  return text;
}

} // namespace

std::string_view ToString(DecisionKind aKind)
{
  const auto index = static_cast<size_t>(aKind);
  return index < kKindTexts.size() ? kKindTexts[index].name : "unknown";
}

std::string EncodeRecord(const DecisionRecord& aRecord)
{
  const Json json = {
    { "id", aRecord.id },
    { "time_ms", aRecord.timeMs },
    { "proxy", aRecord.proxy },
    { "failure_domain", aRecord.failureDomain },
    { "kind", ToString(aRecord.kind) },
    { "service", aRecord.service },
    { "subject", aRecord.subject },
    { "request_id", aRecord.requestId },
    { "rule", aRecord.rule },
    { "threshold", aRecord.threshold },
    { "evidence", EncodeEvidence(aRecord.evidence) },
    { "opposing", aRecord.opposing },
    { "context", aRecord.context },
    { "revision", aRecord.revision },
    { "digest", aRecord.digest },
    { "count", aRecord.count },
  };
  // A subject may come from a caller and contain invalid UTF-8. Replace it, because the default
  // error handler throws.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<DecisionRecord> DecodeRecord(std::string_view aJson)
{
  const Json json = Json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return DecodeError("not a JSON object");
  }
  try {
    return ReadRecord(json);
  } catch (const std::exception& error) {
    return DecodeError(error.what());
  }
}

std::string Describe(const DecisionRecord& aRecord)
{
  const auto kind = static_cast<size_t>(aRecord.kind);
  std::string text = fmt::format(
    "At {} proxy {} ({}) ", FormatUtc(aRecord.timeMs), aRecord.proxy, aRecord.failureDomain);
  text += kind < kKindTexts.size()
            ? fmt::format(fmt::runtime(kKindTexts[kind].sentence), FormatSubject(aRecord))
            : "made an unknown decision";
  if (!aRecord.service.empty()) {
    text += fmt::format(" in service {}", aRecord.service);
  }
  if (aRecord.count > 1) {
    text += fmt::format(", {} times", aRecord.count);
  }
  if (!aRecord.rule.empty()) {
    text += ", by rule " + aRecord.rule;
  }
  if (aRecord.threshold != 0) {
    text += fmt::format(" with threshold {:.6g}", aRecord.threshold);
  }
  if (!aRecord.evidence.empty()) {
    text += "; evidence: " + JoinEvidence(aRecord.evidence);
  }
  if (!aRecord.opposing.empty()) {
    text += fmt::format("; opposed by: {}", fmt::join(aRecord.opposing, ", "));
  }
  if (!aRecord.context.empty()) {
    text += fmt::format("; context: {}", fmt::join(aRecord.context, ", "));
  }
  if (!aRecord.requestId.empty()) {
    text += "; request " + aRecord.requestId;
  }
  text += fmt::format(
    "; configuration revision {} (digest {})", aRecord.revision, aRecord.digest.substr(0, 12));
  return text + ".";
}

} // namespace bg
