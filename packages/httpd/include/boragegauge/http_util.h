#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/httpd.h"

namespace bg {

/// Whether a request that the proxy answers itself may have run at an upstream.
enum class Executed
{
  No,      ///< Certainly not run.
  Unknown, ///< May have run; a non-idempotent request must not simply be repeated.

  Count
};

/// Content of an RFC 9457 problem response.
struct Problem
{
  int status = 500;
  std::string_view type; ///< Last part of the problem type, for example "queue-full".
  std::string detail;    ///< For people.
  Executed executed = Executed::No;
  double retryAfterSeconds = 0;  ///< 0: no Retry-After.
  std::string_view proxyError{}; ///< RFC 9209 error type; empty for none.
};

HttpResponse MakeProblemResponse(const Problem& aProblem, std::string_view aRequestId);

/// Removes connection-specific headers (RFC 9110 section 7.6.1), also those that Connection names.
std::vector<HttpHeader> EndToEndHeaders(const std::vector<HttpHeader>& aHeaders);

/// Caller's X-Request-Id when it is 1 to 128 characters of [A-Za-z0-9._-], else a new one.
std::string RequestIdFrom(const std::vector<HttpHeader>& aHeaders);

/// Parses a decimal number; nullopt when the text is anything else or over nine digits.
std::optional<uint32_t> ParseNumber(std::string_view aText);

/// "busy/slots" of an X-Load header.
struct ReportedLoad
{
  uint32_t busy = 0;
  uint32_t slots = 0;
};
std::optional<ReportedLoad> ParseLoadHeader(std::string_view aText);

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

} // namespace bg
