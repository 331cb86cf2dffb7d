#include <algorithm>

#include "upstream_p.h"

namespace bg::detail {

namespace {

/// Longest chunk-size line with extensions, and longest trailer section, in bytes.
constexpr size_t kMaxChunkLineBytes = 1024;
constexpr size_t kMaxTrailerBytes = 8192;

int HexDigit(char aChar)
{
  if (aChar >= '0' && aChar <= '9') {
    return aChar - '0';
  }
  const char lower = static_cast<char>(aChar | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsField(std::string_view aLine)
{
  const size_t colon = aLine.find(':');
  return colon != std::string_view::npos && IsToken(aLine.substr(0, colon));
}

} // namespace

std::string_view ChunkDecoder::Feed(std::string_view& aInput)
{
  while (!aInput.empty() && state_ != State::Done && state_ != State::Invalid) {
    if (state_ == State::Data) {
      const size_t size = std::min<uint64_t>(left_, aInput.size());
      const std::string_view data = aInput.substr(0, size);
      aInput.remove_prefix(size);
      left_ -= size;
      if (left_ == 0) {
        state_ = State::DataEnd;
        line_.clear();
      }
      return data;
    }
    const char next = aInput.front();
    aInput.remove_prefix(1);
    line_.push_back(next);
    const size_t limit = state_ == State::Trailer ? kMaxTrailerBytes : kMaxChunkLineBytes;
    if (line_.size() > limit) {
      state_ = State::Invalid;
    } else if (next == '\n') {
      EndLine();
    }
  }
  return {};
}

void ChunkDecoder::EndLine()
{
  std::string_view line = line_;
  if (!line.ends_with("\r\n") || line.find('\r') != line.size() - 2) {
    state_ = State::Invalid;
    return;
  }
  line.remove_suffix(2);
  switch (state_) {
    case State::Size:
      state_ = ParseSize(line) ? (left_ == 0 ? State::Trailer : State::Data) : State::Invalid;
      break;
    case State::DataEnd:
      state_ = line.empty() ? State::Size : State::Invalid;
      break;
    default:
      // Data behind a size that was damaged to 0 is no trailer field.
      state_ = line.empty() ? State::Done : IsField(line) ? State::Trailer : State::Invalid;
      break;
  }
  line_.clear();
}

bool ChunkDecoder::ParseSize(std::string_view aLine)
{
  size_t digits = 0;
  left_ = 0;
  while (digits < aLine.size() && HexDigit(aLine[digits]) >= 0) {
    left_ = left_ * 16 + static_cast<uint64_t>(HexDigit(aLine[digits]));
    ++digits;
  }
  // 15 digits cannot overflow; after the size only an extension may follow.
  return digits > 0 && digits <= 15 && (digits == aLine.size() || aLine[digits] == ';');
}

} // namespace bg::detail
