#include <nlohmann/json.hpp>

#include "platform_p.h"

namespace bg::detail {

namespace {

using nlohmann::json;

/// Parses JSON and runs the decoder on it. Exceptions, for example for missing fields or wrong
/// types, become ProtocolViolation.
template<typename T, typename Decoder>
Result<T> Decode(std::string_view aJson, const Decoder& aDecoder)
{
  try {
    return aDecoder(json::parse(aJson));
  } catch (const std::exception& error) {
    return Error{ Errc::ProtocolViolation, {}, {}, error.what() };
  }
}

/// Reads an integer that fits T; throws otherwise. nlohmann-json itself would convert floats and
/// wrap integers that are out of range.
template<typename T>
T ReadInteger(const json& aObject, const char* aName)
{
  const json& value = aObject.at(aName);
  const bool isInRange =
    value.is_number_unsigned()
      ? value.get<uint64_t>() <= static_cast<uint64_t>(std::numeric_limits<T>::max())
      : value.is_number_integer() && std::is_signed_v<T>;
  if (!isInRange) {
    throw std::out_of_range(std::string(aName) + " is not an integer in range");
  }
  return value.get<T>();
}

std::string ReadString(const json& aObject, const char* aName)
{
  return aObject.at(aName).get<std::string>();
}

TableRow ToRow(const json& aObject)
{
  TableRow row;
  row.key = ReadString(aObject, "key");
  row.version = ReadInteger<uint64_t>(aObject, "version");
  const json& value = aObject.contains("value") ? aObject.at("value") : json();
  // The value may be missing or null only if the row does not exist.
  if (!value.is_null() || row.version != 0) {
    row.value = value.get<std::string>();
  }
  return row;
}

std::vector<TableRow> ToRows(const json& aArray)
{
  if (!aArray.is_array()) {
    throw std::invalid_argument("rows are not an array");
  }
  std::vector<TableRow> rows;
  rows.reserve(aArray.size());
  for (const json& row : aArray) {
    rows.push_back(ToRow(row));
  }
  return rows;
}

/// Converts a name to the enumerator at the same position; throws for other names.
template<typename Enum, size_t Size>
Enum ToEnum(const std::string& aName, const char* const (&aNames)[Size])
{
  static_assert(Size == static_cast<size_t>(Enum::Count));
  for (size_t i = 0; i < Size; ++i) {
    if (aName == aNames[i]) {
      return static_cast<Enum>(i);
    }
  }
  throw std::invalid_argument("unknown value " + aName);
}

HostEntry ToHost(const json& aObject)
{
  HostEntry host;
  host.host = ReadString(aObject, "host");
  host.role = ToEnum<HostRole>(ReadString(aObject, "role"), { "proxy", "upstream" });
  host.service = aObject.value("service", "");
  host.address = ReadString(aObject, "address");
  host.port = ReadInteger<uint16_t>(aObject, "port");
  host.adminPort =
    aObject.contains("admin_port") ? ReadInteger<uint16_t>(aObject, "admin_port") : 0;
  host.peerPort = aObject.contains("peer_port") ? ReadInteger<uint16_t>(aObject, "peer_port") : 0;
  host.failureDomain = ReadString(aObject, "failure_domain");
  host.state = ToEnum<HostState>(ReadString(aObject, "state"), { "live", "leaving" });
  host.bootId = aObject.value("boot_id", "");
  return host;
}

} // namespace

std::string EncodeCommit(const CommitRequest& aRequest)
{
  json body = { { "conditions", json::array() },
                { "puts", json::array() },
                { "deletes", aRequest.deletes } };
  for (const TableCondition& condition : aRequest.conditions) {
    body["conditions"].push_back({ { "key", condition.key }, { "version", condition.version } });
  }
  for (const TablePut& put : aRequest.puts) {
    body["puts"].push_back({ { "key", put.key }, { "value", put.value } });
  }
  return body.dump();
}

Result<CommitReply> DecodeCommit(std::string_view aJson)
{
  return Decode<CommitReply>(aJson, [](const json& aBody) {
    CommitReply reply;
    reply.committed = aBody.at("committed").get<bool>();
    reply.nowMs = ReadInteger<int64_t>(aBody, "now_ms");
    if (reply.committed) {
      reply.version = ReadInteger<uint64_t>(aBody, "version");
    } else {
      reply.conflicts = ToRows(aBody.at("conflicts"));
    }
    return reply;
  });
}

Result<RowReply> DecodeRow(std::string_view aJson)
{
  return Decode<RowReply>(aJson, [](const json& aBody) {
    return RowReply{ .row = ToRow(aBody), .nowMs = ReadInteger<int64_t>(aBody, "now_ms") };
  });
}

Result<ScanReply> DecodeScan(std::string_view aJson)
{
  return Decode<ScanReply>(aJson, [](const json& aBody) {
    return ScanReply{ .rows = ToRows(aBody.at("rows")),
                      .nowMs = ReadInteger<int64_t>(aBody, "now_ms") };
  });
}

Result<std::vector<std::string>> DecodeNames(std::string_view aJson)
{
  return Decode<std::vector<std::string>>(
    aJson, [](const json& aBody) { return aBody.at("names").get<std::vector<std::string>>(); });
}

Result<std::vector<HostEntry>> DecodeHosts(std::string_view aJson)
{
  return Decode<std::vector<HostEntry>>(aJson, [](const json& aBody) {
    std::vector<HostEntry> hosts;
    for (const json& host : aBody.at("hosts").get_ref<const json::array_t&>()) {
      hosts.push_back(ToHost(host));
    }
    return hosts;
  });
}

std::string UrlEncode(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    const bool isUnreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                              (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
                              c == '~';
    if (isUnreserved) {
      encoded.push_back(c);
    } else {
      encoded += { '%', kDigits[byte >> 4], kDigits[byte & 0xf] };
    }
  }
  return encoded;
}

} // namespace bg::detail
