#include "boragegauge/http_util.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace bg {

namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
  "connection",        "keep-alive", "proxy-connection", "te",   "trailer",
  "transfer-encoding", "upgrade",    "content-length",   "host",
};

std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

/// Names listed in all Connection headers.
std::vector<std::string_view> ConnectionOptions(const std::vector<HttpHeader>& aHeaders)
{
  std::vector<std::string_view> names;
  for (const HttpHeader& header : aHeaders) {
    if (!EqualsIgnoreCase(header.name, "connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      names.push_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
  }
  return names;
}

bool IsRequestIdCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

std::string_view ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

} // namespace

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aTwo) {
                      return std::tolower(aOne) == std::tolower(aTwo);
                    });
}

HttpResponse MakeProblemResponse(const Problem& aProblem, std::string_view aRequestId)
{
  const nlohmann::json body = {
    { "type", "urn:boragegauge:problem:" + std::string(aProblem.type) },
    { "title", ReasonPhrase(aProblem.status) },
    { "status", aProblem.status },
    { "detail", aProblem.detail },
    { "executed", aProblem.executed == Executed::No ? "no" : "unknown" },
    { "request_id", aRequestId },
  };
  HttpResponse response;
  response.status = aProblem.status;
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.headers = { { "Content-Type", "application/problem+json" },
                       { "X-Request-Id", std::string(aRequestId) } };
  if (!aProblem.proxyError.empty()) {
    response.headers.push_back(
      { "Proxy-Status", "boragegauge; error=" + std::string(aProblem.proxyError) });
  }
  if (aProblem.retryAfterSeconds > 0) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3g", aProblem.retryAfterSeconds);
    response.headers.push_back({ "Retry-After", text.data() });
  }
  return response;
}

std::vector<HttpHeader> EndToEndHeaders(const std::vector<HttpHeader>& aHeaders)
{
  const auto options = ConnectionOptions(aHeaders);
  std::vector<HttpHeader> kept;
  kept.reserve(aHeaders.size() + 4);
  for (const HttpHeader& header : aHeaders) {
    const auto isName = [&](std::string_view aName) {
      return EqualsIgnoreCase(aName, header.name);
    };
    if (std::none_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), isName) &&
        std::none_of(options.begin(), options.end(), isName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::string RequestIdFrom(const std::vector<HttpHeader>& aHeaders)
{
  const std::string* given = FindHeader(aHeaders, "X-Request-Id");
  const bool isValid = given != nullptr && !given->empty() && given->size() <= 128 &&
                       std::all_of(given->begin(), given->end(), IsRequestIdCharacter);
  return isValid ? *given : RandomToken();
}

std::optional<uint32_t> ParseNumber(std::string_view aText)
{
  if (aText.empty() || aText.size() > 9) {
    return std::nullopt;
  }
  uint32_t number = 0;
  for (const char c : aText) {
    if (c < '0' || c > '9') {
      return std::nullopt;
    }
    number = number * 10 + static_cast<uint32_t>(c - '0');
  }
  return number;
}

std::optional<ReportedLoad> ParseLoadHeader(std::string_view aText)
{
  const size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto busy = ParseNumber(aText.substr(0, slash));
  const auto slots = ParseNumber(aText.substr(slash + 1));
  if (!busy || !slots) {
    return std::nullopt;
  }
  return ReportedLoad{ *busy, *slots };
}

} // namespace bg
