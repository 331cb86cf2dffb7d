#pragma once

#include <string_view>
#include <vector>

#include "boragegauge/http_util.h"

namespace bg::fleet::detail {

// Header fields between two hosts. They are removed before a request or response goes on.

constexpr std::string_view kRelayUpstreamHeader = "Relay-Upstream";     ///< Id of the upstream.
constexpr std::string_view kRelayTimeLeftHeader = "Relay-Time-Left-Ms"; ///< To the deadline.
constexpr std::string_view kRelayOutcomeHeader = "Relay-Outcome";       ///< See RelayOutcome.

inline void RemoveRelayHeaders(std::vector<HttpHeader>& aHeaders)
{
  std::erase_if(aHeaders, [](const HttpHeader& aHeader) {
    return EqualsIgnoreCase(aHeader.name, kRelayUpstreamHeader) ||
           EqualsIgnoreCase(aHeader.name, kRelayTimeLeftHeader) ||
           EqualsIgnoreCase(aHeader.name, kRelayOutcomeHeader);
  });
}

} // namespace bg::fleet::detail
