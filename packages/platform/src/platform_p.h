#pragma once

#include "boragegauge/platform.h"

namespace bg::detail {

/// Encodes a commit as JSON. Throws if a key or value is not UTF-8.
std::string EncodeCommit(const CommitRequest& aRequest);

// Decoders of response bodies. They fail with ProtocolViolation; the caller sets the step and the
// peer of the error.
Result<CommitReply> DecodeCommit(std::string_view aJson);
Result<RowReply> DecodeRow(std::string_view aJson);
Result<ScanReply> DecodeScan(std::string_view aJson);
Result<std::vector<std::string>> DecodeNames(std::string_view aJson);
Result<std::vector<HostEntry>> DecodeHosts(std::string_view aJson);

/// Percent-encodes all bytes except the unreserved characters of RFC 3986.
std::string UrlEncode(std::string_view aText);

} // namespace bg::detail
