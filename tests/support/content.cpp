#include "content.h"

#include <fcntl.h>
#include <unistd.h>

#include <ctime>
#include <system_error>

#include "boragegauge/base.h"

namespace bg::support {

std::string BlobBytes(std::string_view aId, size_t aSize)
{
  std::string bytes;
  bytes.reserve(aSize + 8);
  uint64_t state = Hash64(aId);
  while (bytes.size() < aSize) {
    // SplitMix64: cheap, and each word depends on the seed.
    state += 0x9e3779b97f4a7c15ULL;
    uint64_t word = state;
    word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
    word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
    word ^= word >> 31;
    bytes.append(reinterpret_cast<const char*>(&word), sizeof(word));
  }
  bytes.resize(aSize);
  return bytes;
}

int64_t MonotonicNs()
{
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return int64_t{ time.tv_sec } * 1000000000 + time.tv_nsec;
}

HistoryFile::HistoryFile(const std::string& aPath)
{
  if (aPath.empty()) {
    return;
  }
  file_ = open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file_ < 0) {
    throw std::system_error(errno, std::generic_category(), aPath);
  }
}

HistoryFile::~HistoryFile()
{
  if (file_ >= 0) {
    close(file_);
  }
}

void HistoryFile::Append(std::string aLine)
{
  if (file_ < 0) {
    return;
  }
  aLine.push_back('\n');
  if (write(file_, aLine.data(), aLine.size()) != static_cast<ssize_t>(aLine.size())) {
    throw std::system_error(errno, std::generic_category(), "history");
  }
}

} // namespace bg::support
