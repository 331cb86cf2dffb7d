#include <http_parser.h>

#include <charconv>

#include "asio_server_p.h"

namespace bg::detail {

namespace {

/// Longest request line besides its target: method, version and blanks.
constexpr size_t kRequestLineExtraBytes = 64;

/// Receives the parser's callbacks. Pieces of one string may come in several calls.
struct Collector
{
  ParsedHead& head;
  bool lastWasValue = true;
};

int OnUrl(http_parser* aParser, const char* aData, size_t aSize)
{
  static_cast<Collector*>(aParser->data)->head.target.append(aData, aSize);
  return 0;
}

int OnField(http_parser* aParser, const char* aData, size_t aSize)
{
  auto* collector = static_cast<Collector*>(aParser->data);
  if (collector->lastWasValue) {
    collector->head.headers.emplace_back();
    collector->lastWasValue = false;
  }
  collector->head.headers.back().name.append(aData, aSize);
  return 0;
}

int OnValue(http_parser* aParser, const char* aData, size_t aSize)
{
  auto* collector = static_cast<Collector*>(aParser->data);
  collector->head.headers.back().value.append(aData, aSize);
  collector->lastWasValue = true;
  return 0;
}

int OnHeadersComplete(http_parser* aParser)
{
  ParsedHead& head = static_cast<Collector*>(aParser->data)->head;
  head.method = http_method_str(static_cast<http_method>(aParser->method));
  head.keepAlive = http_should_keep_alive(aParser) != 0;
  // A request to upgrade is answered as one without it.
  aParser->upgrade = 0;
  return 0;
}

const http_parser_settings& Settings()
{
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = OnUrl;
    settings.on_header_field = OnField;
    settings.on_header_value = OnValue;
    settings.on_headers_complete = OnHeadersComplete;
    return settings;
  }();
  return kSettings;
}

void TrimRight(std::string& aValue)
{
  const size_t last = aValue.find_last_not_of(" \t");
  aValue.resize(last == std::string::npos ? 0 : last + 1);
}

Refusal RefusalOf(http_errno aError)
{
  switch (aError) {
    case HPE_INVALID_METHOD:
      return { 501, "unknown method" };
    case HPE_INVALID_VERSION:
      return { 505, "unsupported HTTP version" };
    case HPE_HEADER_OVERFLOW:
      return { 431, "header section is too long" };
    case HPE_UNEXPECTED_CONTENT_LENGTH:
      return { 400, "the body's length is stated more than once" };
    default:
      return { 400, "malformed request" };
  }
}

void ReadFraming(ParsedHead& aHead)
{
  if (const std::string* coding = FindHeader(aHead.headers, "transfer-encoding")) {
    aHead.chunked = !coding->empty();
  }
  if (const std::string* length = FindHeader(aHead.headers, "content-length")) {
    aHead.contentLength = ParseContentLength(*length).value_or(0); // See CheckHead().
  }
  aHead.expectsContinue = FindHeader(aHead.headers, "expect") != nullptr;
}

} // namespace

std::optional<Refusal> ScanHead(std::string_view aBytes,
                                size_t& aScanned,
                                size_t& aEnd,
                                size_t aMaxHeaderBytes)
{
  aEnd = 0;
  const size_t sectionStart = aBytes.find('\n') + 1; // 0 while the request line is incomplete.
  // Starts again at the line that was incomplete, which the line limit keeps short.
  size_t lineStart = aScanned;
  while (true) {
    const bool first = lineStart == 0;
    const size_t limit = first ? kMaxTargetBytes + kRequestLineExtraBytes : kMaxHeaderLineBytes;
    const size_t end = aBytes.find('\n', lineStart);
    const std::string_view line = aBytes.substr(
      lineStart, end == std::string_view::npos ? std::string_view::npos : end - lineStart + 1);
    if (line.size() > limit + 2) {
      return first ? Refusal{ 414, "request target is too long" }
                   : Refusal{ 431, "header line is too long" };
    }
    if (!first && lineStart + line.size() - sectionStart > aMaxHeaderBytes) {
      return Refusal{ 431, "header section is too long" };
    }
    if (!first && !line.empty() && (line.front() == ' ' || line.front() == '\t')) {
      return Refusal{ 400, "folded header line" };
    }
    if (end == std::string_view::npos) {
      aScanned = lineStart;
      return std::nullopt;
    }
    if (line.size() < 2 || line.find('\r') != line.size() - 2 ||
        line.find('\0') != std::string_view::npos) {
      return Refusal{ 400, "malformed line" };
    }
    lineStart = end + 1;
    if (line.size() == 2) {
      aEnd = lineStart;
      return std::nullopt;
    }
  }
}

std::optional<Refusal> ParseHead(std::string_view aBytes, ParsedHead& aHead)
{
  Collector collector{ aHead };
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &collector;
  http_parser_execute(&parser, &Settings(), aBytes.data(), aBytes.size());
  for (HttpHeader& header : aHead.headers) {
    TrimRight(header.value);
  }
  if (const auto error = HTTP_PARSER_ERRNO(&parser); error != HPE_OK) {
    return RefusalOf(error);
  }
  if (aHead.method.empty()) {
    return Refusal{ 400, "malformed request" };
  }
  if (parser.http_major != 1 || parser.http_minor > 1) {
    return Refusal{ 505, "unsupported HTTP version" };
  }
  const auto refusal = CheckHead({ aHead.method, aHead.target, aHead.headers });
  if (!refusal) {
    ReadFraming(aHead);
  }
  return refusal;
}

bool HasBody(int aStatus)
{
  return aStatus >= 200 && aStatus != 204 && aStatus != 304;
}

std::string FormatHead(const HttpResponse& aResponse, bool aHeadRequest, bool aClose)
{
  std::string head;
  head.reserve(512);
  head += "HTTP/1.1 " + std::to_string(aResponse.status) + " ";
  head += ReasonPhrase(aResponse.status);
  head += "\r\n";
  for (const HttpHeader& header : aResponse.headers) {
    if (!IsServerField(header.name) && !CheckField(header.name, header.value)) {
      head += header.name + ": " + header.value + "\r\n";
    }
  }
  const std::string* stated = FindHeader(aResponse.headers, "content-length");
  if ((aHeadRequest || aResponse.status == 304) && aResponse.body.empty()) {
    // The length is that of the response to GET, which only the handler knows.
    if (stated != nullptr && !CheckField("content-length", *stated)) {
      head += "Content-Length: " + *stated + "\r\n";
    }
  } else if (HasBody(aResponse.status)) {
    head += "Content-Length: " + std::to_string(aResponse.body.size()) + "\r\n";
  }
  head += aClose ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
  return head;
}

} // namespace bg::detail
