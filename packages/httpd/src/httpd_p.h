#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "boragegauge/httpd.h"

namespace bg::detail {

/// Why a request is refused before its handler sees it.
struct Refusal
{
  int status = 400;
  std::string_view reason;
};

/// The parts of a request before its body, as far as the checks need them.
struct RequestHead
{
  std::string_view method;
  std::string_view target;
  std::span<const HttpHeader> headers;
};

/// Checks one header line against the limits and the syntax of RFC 9110.
std::optional<Refusal> CheckField(std::string_view aName, std::string_view aValue);

/// Checks target, Host, framing fields and limits. A request passes only when no two programs can
/// read its target, host or length differently.
std::optional<Refusal> CheckHead(const RequestHead& aHead);

/// Problem details (RFC 9457) for a request that was not run.
HttpResponse MakeRefusal(const Refusal& aRefusal, std::span<const HttpHeader> aHeaders);

void LogRefusal(const Refusal& aRefusal, std::string_view aPeer);

/// Fields that the server sets itself.
bool IsServerField(std::string_view aName);

/// Status text, for example "Not Found"; "Unknown" for codes without one.
std::string_view ReasonPhrase(int aStatus);

Result<std::unique_ptr<HttpServer>> CreateRestinioServer(HttpServerInit aInit);

} // namespace bg::detail
