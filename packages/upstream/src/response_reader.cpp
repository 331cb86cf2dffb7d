#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>

#include "upstream_p.h"

namespace bg {

const std::string* FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (detail::EqualsIgnoreCase(header.name, aName)) {
      return &header.value;
    }
  }
  return nullptr;
}

} // namespace bg

namespace bg::detail {

namespace {

char ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + ('a' - 'A')) : aChar;
}

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t\r\n";
  const size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlank) - first + 1);
}

/// True if the comma-separated list contains the token; ignores case and whitespace.
bool ListContains(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    const size_t comma = aList.find(',');
    if (EqualsIgnoreCase(Trim(aList.substr(0, comma)), aToken)) {
      return true;
    }
    aList = comma == std::string_view::npos ? std::string_view() : aList.substr(comma + 1);
  }
  return false;
}

bool IsDigits(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar >= '0' && aChar <= '9';
  });
}

bool HasControlCharacter(std::string_view aText, bool aAllowTab)
{
  return std::any_of(aText.begin(), aText.end(), [&](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return byte == 0x7f || (byte < 0x20 && !(aAllowTab && aChar == '\t'));
  });
}

bool IsIpAddress(const std::string& aAddress)
{
  std::array<unsigned char, 16> bytes{};
  return inet_pton(AF_INET, aAddress.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, aAddress.c_str(), bytes.data()) == 1;
}

} // namespace

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return ToLower(aOne) == ToLower(aOther);
    });
}

bool IsToken(std::string_view aText)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [&](char aChar) {
    const char lower = ToLower(aChar);
    return (lower >= 'a' && lower <= 'z') || (aChar >= '0' && aChar <= '9') ||
           kSymbols.find(aChar) != std::string_view::npos;
  });
}

std::optional<uint64_t> ParseContentLength(std::string_view aText)
{
  uint64_t length = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), length);
  return IsDigits(aText) && result.ec == std::errc() ? std::optional(length) : std::nullopt;
}

bool IsHopByHop(std::string_view aName, std::span<const HttpHeader> aHeaders)
{
  static constexpr std::array<std::string_view, 9> kNames = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-connection", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade"
  };
  if (std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aFixed) {
        return EqualsIgnoreCase(aName, aFixed);
      })) {
    return true;
  }
  return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aHeader) {
    return EqualsIgnoreCase(aHeader.name, "connection") && ListContains(aHeader.value, aName);
  });
}

std::string CheckRequest(const UpstreamRequest& aRequest)
{
  if (!IsIpAddress(aRequest.address) || aRequest.port == 0) {
    return "address is not an IP address and port";
  }
  if (!IsToken(aRequest.method)) {
    return "method is not a token";
  }
  if (aRequest.target.empty() || (aRequest.target.front() != '/' && aRequest.target != "*") ||
      HasControlCharacter(aRequest.target, false) ||
      aRequest.target.find(' ') != std::string::npos) {
    return "target is not in origin form";
  }
  for (const HttpHeader& header : aRequest.headers) {
    if (!IsToken(header.name) || HasControlCharacter(header.value, true)) {
      return "header field is malformed";
    }
  }
  return {};
}

void ResponseReader::Start(bool aIsHeadRequest,
                           size_t aMaxBytes,
                           std::shared_ptr<ByteBudget> aBudget,
                           std::function<bool()> aMakeRoom)
{
  *this = ResponseReader();
  isHeadRequest_ = aIsHeadRequest;
  maxBytes_ = aMaxBytes;
  reservation_ = std::make_shared<ByteReservation>(std::move(aBudget));
  makeRoom_ = std::move(aMakeRoom);
}

void ResponseReader::Abandon()
{
  problem_ = Problem::TooLarge;
  std::string().swap(body_);
  reservation_->Release();
  reservedBytes_ = 0;
}

bool ResponseReader::Reserve(size_t aBytes)
{
  const size_t needed = body_.size() + aBytes;
  if (needed <= reservedBytes_) {
    return true;
  }
  const size_t capacity = std::min(maxBytes_, std::max(needed, reservedBytes_ * 3 / 2));
  // Both buffers exist while the bytes are copied.
  while (!reservation_->Reserve(capacity)) {
    if (!makeRoom_ || !makeRoom_() || problem_ != Problem::None) {
      return false; // Without room, or this response was chosen to make some.
    }
  }
  body_.reserve(capacity);
  reservation_->Return(reservedBytes_);
  reservedBytes_ = capacity;
  return true;
}

bool ResponseReader::Fail(Problem aProblem)
{
  problem_ = aProblem;
  return false;
}

bool ResponseReader::AddHeaderLine(std::string_view aLine)
{
  headBytes_ += aLine.size();
  if (headBytes_ > kMaxHeaderBytes) {
    return Fail(Problem::TooLarge);
  }
  if (isHeadComplete_ && !IsInformational()) {
    return true; // Trailer fields are dropped: they end with this connection and have no use.
  }
  if (status_ == 0 || isHeadComplete_) {
    return StartHead(aLine);
  }
  if (Trim(aLine).empty()) {
    return EndHead();
  }
  return AddField(aLine);
}

bool ResponseReader::StartHead(std::string_view aLine)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kCodeStart = kVersion.size() + 2; // Minor version and space.
  constexpr size_t kCodeSize = 3;
  const std::string_view line = aLine.substr(0, aLine.find_last_not_of(" \r\n") + 1);
  const bool hasCode = line.starts_with(kVersion) && line.size() >= kCodeStart + kCodeSize &&
                       IsDigits(line.substr(kVersion.size(), 1)) && line[kCodeStart - 1] == ' ' &&
                       IsDigits(line.substr(kCodeStart, kCodeSize));
  const std::string_view reason = hasCode ? line.substr(kCodeStart + kCodeSize) : "";
  if (!hasCode || (!reason.empty() && reason.front() != ' ')) {
    return Fail(Problem::Malformed);
  }
  headers_.clear();
  isHeadComplete_ = false;
  const char* code = line.data() + kCodeStart;
  std::from_chars(code, code + kCodeSize, status_);
  return status_ >= 100 && status_ <= 599 ? true : Fail(Problem::Malformed);
}

bool ResponseReader::AddField(std::string_view aLine)
{
  if (aLine.front() == ' ' || aLine.front() == '\t') {
    if (headers_.empty()) {
      return Fail(Problem::Malformed);
    }
    headers_.back().value += ' ';
    headers_.back().value += Trim(aLine);
    return true;
  }
  const size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon)) ||
      HasControlCharacter(Trim(aLine.substr(colon + 1)), true) ||
      headers_.size() == kMaxHeaderCount) {
    return Fail(Problem::Malformed);
  }
  headers_.push_back(
    { std::string(aLine.substr(0, colon)), std::string(Trim(aLine.substr(colon + 1))) });
  return true;
}

bool ResponseReader::EndHead()
{
  isHeadComplete_ = true;
  for (const HttpHeader& header : headers_) {
    if (EqualsIgnoreCase(header.name, "transfer-encoding")) {
      // The body would be passed on still encoded, but without the field that names the coding.
      if (isChunked_ || !EqualsIgnoreCase(header.value, "chunked")) {
        return Fail(Problem::Malformed);
      }
      isChunked_ = true;
    } else if (EqualsIgnoreCase(header.name, "content-length")) {
      const auto length = ParseContentLength(header.value);
      if (!length || (length_ && *length_ != *length)) {
        return Fail(Problem::Malformed);
      }
      length_ = length;
    }
  }
  // With both fields the end of the response is ambiguous (RFC 9112, section 6.3). curl applies
  // those of an informational response to the final one.
  const bool isAmbiguous =
    IsInformational() ? isChunked_ || length_.has_value() : isChunked_ && length_.has_value();
  return isAmbiguous ? Fail(Problem::Malformed) : true;
}

bool ResponseReader::HasKnownLength() const
{
  return length_ || isChunked_ || IsBodiless();
}

bool ResponseReader::IsComplete() const
{
  if (problem_ != Problem::None || !IsHeadComplete()) {
    return false;
  }
  if (IsBodiless()) {
    return true;
  }
  return isChunked_ ? chunks_.Done() : !length_ || *length_ == body_.size();
}

bool ResponseReader::AddBody(std::string_view aBytes)
{
  if (problem_ != Problem::None) {
    return false;
  }
  if (!IsHeadComplete()) {
    return Fail(Problem::Malformed);
  }
  if (!isChunked_) {
    return AddDecodedBody(aBytes);
  }
  while (!aBytes.empty() && !chunks_.Done()) {
    const std::string_view data = chunks_.Feed(aBytes);
    if (chunks_.Invalid()) {
      return Fail(Problem::Malformed);
    }
    if (!AddDecodedBody(data)) {
      return false;
    }
  }
  return true;
}

bool ResponseReader::AddDecodedBody(std::string_view aBytes)
{
  if (body_.size() + aBytes.size() > maxBytes_ || !Reserve(aBytes.size())) {
    return Fail(Problem::TooLarge);
  }
  body_.append(aBytes);
  return true;
}

std::vector<HttpHeader> ResponseReader::TakeHeaders()
{
  std::vector<HttpHeader> endToEnd;
  endToEnd.reserve(headers_.size());
  for (const HttpHeader& header : headers_) {
    if (!IsHopByHop(header.name, headers_)) {
      endToEnd.push_back(header);
    }
  }
  return endToEnd;
}

} // namespace bg::detail
