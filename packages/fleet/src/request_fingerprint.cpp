#include "request_fingerprint_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "boragegauge/http_util.h"

namespace bg::fleet::detail {

uint64_t RequestFingerprint(const HttpRequest& aRequest, const CallerMetadata& aCaller)
{
  const std::string* host = FindHeader(aRequest.headers, "Host");
  // Chained seeds keep the parts apart: "a" + "bc" differs from "ab" + "c".
  uint64_t hash = Hash64(aRequest.method);
  hash = Hash64(host == nullptr ? std::string_view() : std::string_view(*host), hash);
  hash = Hash64(aRequest.target, hash);
  hash = Hash64(aCaller.account, hash);
  hash = Hash64(aRequest.body ? std::string_view(*aRequest.body) : std::string_view(), hash);
  return std::max<uint64_t>(hash, 1);
}

std::string FormatFingerprint(uint64_t aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint);
}

} // namespace bg::fleet::detail
