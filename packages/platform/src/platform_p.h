#pragma once

#include "boragegauge/platform.h"

namespace bg::detail {

/// JSON of a commit.
std::string EncodeCommit(const CommitRequest& aRequest);

// Decoders fail with ProtocolViolation; step and peer are filled in by the caller.
Result<CommitReply> DecodeCommit(std::string_view aJson);
Result<RowReply> DecodeRow(std::string_view aJson);
Result<ScanReply> DecodeScan(std::string_view aJson);
Result<std::vector<std::string>> DecodeNames(std::string_view aJson);
Result<std::vector<HostEntry>> DecodeHosts(std::string_view aJson);

/// Percent-encodes everything but unreserved characters (RFC 3986).
std::string UrlEncode(std::string_view aText);

} // namespace bg::detail
