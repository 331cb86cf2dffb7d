#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bg::support {

/// Body of GET /blob: bytes that are a function of the id only. A longer body starts with the
/// shorter one.
std::string BlobBytes(std::string_view aId, size_t aSize);

/// CLOCK_MONOTONIC in nanoseconds, comparable between processes of one host.
int64_t MonotonicNs();

/// Appends lines to a file with one write each, so that a killed process loses no line.
class HistoryFile
{
public:
  /// An empty path discards all lines. Throws std::system_error when the file cannot be opened.
  explicit HistoryFile(const std::string& aPath);
  ~HistoryFile();
  HistoryFile(const HistoryFile&) = delete;
  HistoryFile& operator=(const HistoryFile&) = delete;

  void Append(std::string aLine);

private:
  int file_ = -1;
};

} // namespace bg::support
