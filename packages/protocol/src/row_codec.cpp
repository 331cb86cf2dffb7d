#include <openssl/evp.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "boragegauge/protocol.h"

namespace bg {

namespace {

using Json = nlohmann::json;

/// More than the upstreams of any service; bounds the work of one damaged row.
constexpr size_t kMaxEjections = 4096;

std::string Dump(const Json& aJson)
{
  // Header values of a response may not be UTF-8; invalid bytes are replaced instead of throwing.
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

template<typename Integer>
Integer ReadInteger(const Json& aJson, const char* aField)
{
  const Json& value = aJson.at(aField);
  if (!value.is_number_integer()) {
    throw std::domain_error(std::string(aField) + " is not an integer");
  }
  const bool negative = !value.is_number_unsigned() && value.get<int64_t>() < 0;
  const auto limit = static_cast<uint64_t>(std::numeric_limits<Integer>::max());
  if ((negative && std::is_unsigned_v<Integer>) || (!negative && value.get<uint64_t>() > limit)) {
    throw std::domain_error(std::string(aField) + " is out of range");
  }
  return value.get<Integer>();
}

std::string ReadString(const Json& aJson, const char* aField)
{
  return aJson.at(aField).get<std::string>();
}

std::string ReadDigest(const Json& aJson, const char* aField)
{
  std::string digest = ReadString(aJson, aField);
  if (digest.size() != 64 || digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
    throw std::domain_error(std::string(aField) + " is not a SHA-256 digest");
  }
  return digest;
}

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(aBytes.data()),
                                   static_cast<int>(aBytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::string DecodeBase64(const std::string& aText)
{
  std::string bytes(aText.size() / 4 * 3 + 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(aText.data()),
                                   static_cast<int>(aText.size()));
  // EVP_DecodeBlock counts the padding as zero bytes and accepts white space around the text.
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  if (size < static_cast<int>(padding)) {
    throw std::domain_error("body is not base64");
  }
  bytes.resize(static_cast<size_t>(size) - padding);
  if (EncodeBase64(bytes) != aText) {
    throw std::domain_error("body is not base64");
  }
  return bytes;
}

/// Parses a row, checks its format and runs the reader.
template<typename Reader>
auto Decode(std::string_view aJson, const char* aStep, Reader aReader)
  -> Result<decltype(aReader(Json()))>
{
  const Json json = Json::parse(aJson, nullptr, false);
  try {
    if (!json.is_object()) {
      throw std::domain_error("not a JSON object");
    }
    if (const auto format = ReadInteger<uint32_t>(json, "format"); format != kRowFormat) {
      throw std::domain_error("format " + std::to_string(format) + "; supported is " +
                              std::to_string(kRowFormat));
    }
    return aReader(json);
  } catch (const std::exception& error) {
    return Error{ Errc::ProtocolViolation, aStep, "", error.what() };
  }
}

EjectionEntry ReadEjection(const Json& aJson)
{
  EjectionEntry entry;
  entry.upstream = ReadString(aJson, "upstream");
  entry.holder = ReadString(aJson, "holder");
  entry.incarnation = ReadInteger<uint64_t>(aJson, "incarnation");
  entry.grantedMs = ReadInteger<int64_t>(aJson, "granted_ms");
  entry.expiresMs = ReadInteger<int64_t>(aJson, "expires_ms");
  entry.recordId = ReadString(aJson, "record_id");
  entry.released = aJson.contains("released") && aJson.at("released").get<bool>();
  if (entry.grantedMs < 0 || entry.expiresMs < 0) {
    throw std::domain_error("negative time");
  }
  return entry;
}

ClaimOutcome ReadOutcome(const Json& aJson)
{
  ClaimOutcome outcome;
  outcome.status = ReadInteger<uint16_t>(aJson, "status");
  if (outcome.status < 100 || outcome.status > 599) {
    throw std::domain_error("status is out of range");
  }
  for (const Json& header : aJson.at("headers")) {
    if (!header.is_array() || header.size() != 2) {
      throw std::domain_error("header is not a pair");
    }
    outcome.headers.emplace_back(header.at(0).get<std::string>(), header.at(1).get<std::string>());
  }
  if (aJson.contains("body")) {
    outcome.body = DecodeBase64(ReadString(aJson, "body"));
  }
  return outcome;
}

ClaimRow ReadClaim(const Json& aJson)
{
  ClaimRow row;
  row.token = ReadString(aJson, "token");
  row.requestDigest = ReadDigest(aJson, "request_digest");
  row.createdMs = ReadInteger<int64_t>(aJson, "created_ms");
  const std::string state = ReadString(aJson, "state");
  if (state == "done") {
    row.state = ClaimState::Done;
    row.outcome = ReadOutcome(aJson);
  } else if (state != "sending") {
    throw std::domain_error("unknown state " + state);
  }
  return row;
}

Json HeadJson(uint64_t aRevision, const std::string& aDigest, const std::string& aChangeId)
{
  return { { "format", kRowFormat },
           { "revision", aRevision },
           { "digest", aDigest },
           { "change_id", aChangeId } };
}

} // namespace

std::string RevisionKey(uint64_t aRevision)
{
  return "configuration/revisions/" + std::to_string(aRevision);
}

std::string ConfigurationObjectName(std::string_view aDigest)
{
  return "configurations/" + std::string(aDigest);
}

std::string EjectionsKey(std::string_view aService)
{
  return std::string(kEjectionsPrefix) + std::string(aService);
}

std::string ClaimKey(std::string_view aService, std::string_view aAccount, std::string_view aKey)
{
  // The length in front keeps ("ab", "c") and ("a", "bc") apart.
  const std::string joined =
    std::to_string(aAccount.size()) + ":" + std::string(aAccount) + std::string(aKey);
  return std::string(kClaimsPrefix) + std::string(aService) + "/" + Sha256Hex(joined);
}

std::string EncodeHead(const ConfigurationHead& aHead)
{
  return Dump(HeadJson(aHead.revision, aHead.digest, aHead.changeId));
}

std::string EncodeRevision(const RevisionRow& aRow)
{
  Json json = HeadJson(aRow.revision, aRow.digest, aRow.changeId);
  json["created_ms"] = aRow.createdMs;
  return Dump(json);
}

std::string EncodeEjections(const EjectionsRow& aRow)
{
  Json entries = Json::array();
  for (const EjectionEntry& entry : aRow.entries) {
    Json json = { { "upstream", entry.upstream },       { "holder", entry.holder },
                  { "incarnation", entry.incarnation }, { "granted_ms", entry.grantedMs },
                  { "expires_ms", entry.expiresMs },    { "record_id", entry.recordId } };
    if (entry.released) {
      json["released"] = true;
    }
    entries.push_back(std::move(json));
  }
  return Dump({ { "format", kRowFormat }, { "entries", std::move(entries) } });
}

std::string EncodeClaim(const ClaimRow& aRow)
{
  const bool done = aRow.state == ClaimState::Done;
  Json json = { { "format", kRowFormat },
                { "token", aRow.token },
                { "request_digest", aRow.requestDigest },
                { "state", done ? "done" : "sending" },
                { "created_ms", aRow.createdMs } };
  if (done) {
    json["status"] = aRow.outcome.status;
    Json headers = Json::array();
    for (const auto& [name, value] : aRow.outcome.headers) {
      headers.push_back(Json::array({ name, value }));
    }
    json["headers"] = std::move(headers);
    if (aRow.outcome.body && aRow.outcome.body->size() <= kMaxClaimBodyBytes) {
      json["body"] = EncodeBase64(*aRow.outcome.body);
    }
  }
  return Dump(json);
}

Result<ConfigurationHead> DecodeHead(std::string_view aJson)
{
  return Decode(aJson, "configuration.head.decode", [](const Json& aRow) {
    return ConfigurationHead{ ReadInteger<uint64_t>(aRow, "revision"),
                              ReadDigest(aRow, "digest"),
                              ReadString(aRow, "change_id") };
  });
}

Result<RevisionRow> DecodeRevision(std::string_view aJson)
{
  return Decode(aJson, "configuration.revision.decode", [](const Json& aRow) {
    return RevisionRow{ ReadInteger<uint64_t>(aRow, "revision"),
                        ReadDigest(aRow, "digest"),
                        ReadString(aRow, "change_id"),
                        ReadInteger<int64_t>(aRow, "created_ms") };
  });
}

Result<EjectionsRow> DecodeEjections(std::string_view aJson)
{
  return Decode(aJson, "ejections.decode", [](const Json& aRow) {
    EjectionsRow row;
    const Json& entries = aRow.at("entries");
    if (!entries.is_array() || entries.size() > kMaxEjections) {
      throw std::domain_error("entries is not a list of bounded size");
    }
    for (const Json& entry : entries) {
      row.entries.push_back(ReadEjection(entry));
    }
    return row;
  });
}

Result<ClaimRow> DecodeClaim(std::string_view aJson)
{
  return Decode(aJson, "claim.decode", ReadClaim);
}

} // namespace bg
