#include <http_parser.h>

#include <algorithm>

#include "boragegauge/framing.h"
#include "httpd_p.h"

namespace bg::detail {

namespace {

char ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + ('a' - 'A')) : aChar;
}

bool Equals(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return ToLower(aOne) == ToLower(aOther);
    });
}

bool IsTokenChar(char aChar)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const char lower = ToLower(aChar);
  return (lower >= 'a' && lower <= 'z') || (aChar >= '0' && aChar <= '9') ||
         kSymbols.find(aChar) != std::string_view::npos;
}

bool IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

bool IsControl(char aChar)
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte == 0x7f || byte < 0x20;
}

/// Whether a path segment is "." or "..", plain or percent-encoded. Upstreams resolve these, so
/// that a request would be routed by another path than the one that is served.
bool IsDotSegment(std::string_view aSegment)
{
  size_t dots = 0;
  while (!aSegment.empty()) {
    const size_t size = aSegment.front() == '.'                                        ? 1
                        : aSegment.size() >= 3 && Equals(aSegment.substr(0, 3), "%2e") ? 3
                                                                                       : 0;
    if (size == 0 || ++dots > 2) {
      return false;
    }
    aSegment.remove_prefix(size);
  }
  return dots > 0;
}

bool HasDotSegment(std::string_view aTarget)
{
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  while (!path.empty()) {
    const size_t end = path.find('/');
    if (IsDotSegment(path.substr(0, end))) {
      return true;
    }
    path.remove_prefix(end == std::string_view::npos ? path.size() : end + 1);
  }
  return false;
}

std::optional<Refusal> CheckTarget(std::string_view aMethod, std::string_view aTarget)
{
  if (aTarget.size() > kMaxTargetBytes) {
    return Refusal{ 414, "request target is too long" };
  }
  if (aTarget == "*" && aMethod == "OPTIONS") {
    return std::nullopt;
  }
  if (!aTarget.starts_with('/')) {
    return Refusal{ 400, "request target is not in origin form" };
  }
  const bool valid = std::all_of(aTarget.begin(), aTarget.end(), [](char aChar) {
    return aChar > ' ' && aChar < 0x7f && aChar != '#' && aChar != '"' && aChar != '<' &&
           aChar != '>' && aChar != '\\';
  });
  if (!valid) {
    return Refusal{ 400, "request target has invalid characters" };
  }
  return HasDotSegment(aTarget) ? std::optional<Refusal>({ 400, "request target has dot segments" })
                                : std::nullopt;
}

bool IsHost(std::string_view aValue)
{
  constexpr std::string_view kSymbols = ".-_~:[]%";
  return !aValue.empty() && std::all_of(aValue.begin(), aValue.end(), [&](char aChar) {
    const char lower = ToLower(aChar);
    return (lower >= 'a' && lower <= 'z') || (aChar >= '0' && aChar <= '9') ||
           kSymbols.find(aChar) != std::string_view::npos;
  });
}

/// Counts of the fields that decide host and length.
struct FramingFields
{
  int hosts = 0;
  int lengths = 0;
  int codings = 0;
};

std::optional<Refusal> CheckFramingField(const HttpHeader& aHeader, FramingFields& aCounts)
{
  if (Equals(aHeader.name, "host")) {
    ++aCounts.hosts;
    return IsHost(aHeader.value) ? std::nullopt
                                 : std::optional<Refusal>({ 400, "invalid Host header" });
  }
  if (Equals(aHeader.name, "content-length")) {
    ++aCounts.lengths;
    return ParseContentLength(aHeader.value)
             ? std::nullopt
             : std::optional<Refusal>({ 400, "invalid Content-Length header" });
  }
  if (Equals(aHeader.name, "transfer-encoding")) {
    ++aCounts.codings;
    return Equals(aHeader.value, "chunked")
             ? std::nullopt
             : std::optional<Refusal>({ 400, "unsupported transfer coding" });
  }
  if (Equals(aHeader.name, "expect") && !Equals(aHeader.value, "100-continue")) {
    return Refusal{ 417, "unsupported expectation" };
  }
  return std::nullopt;
}

std::string JsonEscape(std::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      escaped.push_back('\\');
    }
    escaped.push_back(c);
  }
  return escaped;
}

/// The caller's request id when it is usable, otherwise a new one.
std::string RequestIdOf(std::span<const HttpHeader> aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    if (Equals(header.name, "x-request-id") && IsToken(header.value) &&
        header.value.size() <= 128) {
      return header.value;
    }
  }
  return RandomToken();
}

} // namespace

std::optional<Refusal> CheckField(std::string_view aName, std::string_view aValue)
{
  if (aName.size() + aValue.size() + 2 > kMaxHeaderLineBytes) {
    return Refusal{ 431, "header line is too long" };
  }
  if (!IsToken(aName)) {
    return Refusal{ 400, "invalid header name" };
  }
  const bool valid = std::none_of(
    aValue.begin(), aValue.end(), [](char aChar) { return IsControl(aChar) && aChar != '\t'; });
  return valid ? std::nullopt : std::optional<Refusal>({ 400, "invalid header value" });
}

std::optional<Refusal> CheckHead(const RequestHead& aHead)
{
  if (auto refusal = CheckTarget(aHead.method, aHead.target)) {
    return refusal;
  }
  if (aHead.headers.size() > kMaxHeaderCount) {
    return Refusal{ 431, "too many header lines" };
  }
  size_t bytes = 0;
  FramingFields counts;
  for (const HttpHeader& header : aHead.headers) {
    bytes += header.name.size() + header.value.size() + 4;
    if (auto refusal = CheckField(header.name, header.value)) {
      return refusal;
    }
    if (auto refusal = CheckFramingField(header, counts)) {
      return refusal;
    }
  }
  if (bytes > kMaxHeaderBytes) {
    return Refusal{ 431, "header section is too long" };
  }
  if (counts.hosts != 1) {
    return Refusal{ 400, counts.hosts == 0 ? "no Host header" : "several Host headers" };
  }
  if (counts.lengths + counts.codings > 1) {
    return Refusal{ 400, "the body's length is stated more than once" };
  }
  return std::nullopt;
}

HttpResponse MakeRefusal(const Refusal& aRefusal, std::span<const HttpHeader> aHeaders)
{
  HttpResponse response;
  response.status = aRefusal.status;
  response.headers = { { "Content-Type", "application/problem+json" },
                       { "Proxy-Status", "boragegauge; error=http_request_error" },
                       { "X-Request-Id", RequestIdOf(aHeaders) } };
  if (aRefusal.status == 503) {
    response.headers.push_back({ "Retry-After", "1" });
  }
  response.body = "{\"type\":\"about:blank\",\"title\":\"" +
                  std::string(ReasonPhrase(aRefusal.status)) +
                  "\",\"status\":" + std::to_string(aRefusal.status) + ",\"detail\":\"" +
                  JsonEscape(aRefusal.reason) + "\",\"executed\":\"no\"}";
  return response;
}

void LogRefusal(const Refusal& aRefusal, std::string_view aPeer)
{
  Log(LogLevel::Warning,
      "request_refused",
      { { "peer", aPeer }, { "status", aRefusal.status }, { "reason", aRefusal.reason } });
}

bool IsServerField(std::string_view aName)
{
  return Equals(aName, "content-length") || Equals(aName, "connection") ||
         Equals(aName, "transfer-encoding");
}

std::string_view ReasonPhrase(int aStatus)
{
  switch (aStatus) {
#define BG_STATUS(aCode, aName, aText)                                                             \
  case aCode:                                                                                      \
    return #aText;
    HTTP_STATUS_MAP(BG_STATUS)
#undef BG_STATUS
    default:
      return "Unknown";
  }
}

} // namespace bg::detail
