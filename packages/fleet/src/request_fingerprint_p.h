#pragma once

#include <string>

#include "boragegauge/fleet.h"
#include "boragegauge/httpd.h"

namespace bg::fleet::detail {

/// Identifies what a request asks for: equal for a request that its caller sends again, at
/// whichever host. Covers the method, host name, target, client account and body; other header
/// fields change each time. 0 is not a fingerprint.
uint64_t RequestFingerprint(const HttpRequest& aRequest, const CallerMetadata& aCaller);

/// The fingerprint as 16 hexadecimal digits, for logs.
std::string FormatFingerprint(uint64_t aFingerprint);

} // namespace bg::fleet::detail
