#include <algorithm>

#include "asio_server_p.h"

namespace bg::detail {

namespace {

/// A body of up to this size takes its bytes from the budget at once, a larger one as it arrives,
/// so that callers that announce large bodies and send nothing do not use up the budget. Usual
/// bodies are smaller and are not copied.
constexpr size_t kFirstReservationBytes = 16UL << 10;

} // namespace

RequestReader::RequestReader(size_t aMaxBodyBytes, std::shared_ptr<ByteBudget> aBudget)
  : maxBodyBytes_(aMaxBodyBytes)
  , budget_(std::move(aBudget))
{
}

RequestReader::Status RequestReader::Refuse(const Refusal& aRefusal)
{
  problem_ = aRefusal;
  body_.reset();
  input_.clear();
  return Status::Refused;
}

RequestReader::Status RequestReader::Feed(std::string_view aBytes)
{
  if (body_) {
    return ReadBody(aBytes);
  }
  input_.append(aBytes);
  return ReadHead();
}

RequestReader::Status RequestReader::ReadHead()
{
  // One empty line before a request is skipped (RFC 9112 section 2.2).
  if (!skippedEmptyLine_ && scanned_ == 0 && input_.starts_with("\r\n")) {
    skippedEmptyLine_ = true;
    input_.erase(0, 2);
  }
  if (input_.empty() || input_ == "\r") {
    return Status::Incomplete;
  }
  size_t end = 0;
  if (const auto refusal = ScanHead(input_, scanned_, end, maxHeaderBytes_)) {
    return Refuse(*refusal);
  }
  if (end == 0) {
    return Status::Incomplete;
  }
  if (const auto refusal = ParseHead(std::string_view(input_).substr(0, end), head_)) {
    return Refuse(*refusal);
  }
  input_.erase(0, end);
  return StartBody();
}

RequestReader::Status RequestReader::StartBody()
{
  if (!head_.chunked && head_.contentLength > maxBodyBytes_) {
    return Refuse({ 413, "request body is too large" });
  }
  body_ = std::make_shared<BudgetedBody>(budget_);
  // A body that does not fit as a whole is refused before the caller sends it.
  if (!body_->reservation.Reserve(head_.contentLength)) {
    return Refuse({ 503, "request bodies in memory exceed the budget" });
  }
  body_->reservedBytes = std::min<size_t>(head_.contentLength, kFirstReservationBytes);
  body_->reservation.Return(head_.contentLength - body_->reservedBytes);
  if (!head_.chunked && head_.contentLength == 0) {
    return Status::Complete;
  }
  body_->bytes.reserve(body_->reservedBytes);
  wantsContinue_ = head_.expectsContinue && input_.empty();
  const std::string received = std::exchange(input_, {});
  return ReadBody(received);
}

RequestReader::Status RequestReader::ReadBody(std::string_view aBytes)
{
  Status status = Status::Incomplete;
  if (head_.chunked) {
    status = ReadChunks(aBytes);
  } else {
    const std::string_view piece = aBytes.substr(0, head_.contentLength - body_->bytes.size());
    if (!Reserve(piece.size())) {
      return Refuse({ 503, "request bodies in memory exceed the budget" });
    }
    body_->bytes.append(piece);
    aBytes.remove_prefix(piece.size());
    status = body_->bytes.size() == head_.contentLength ? Status::Complete : Status::Incomplete;
  }
  if (status == Status::Complete) {
    input_.assign(aBytes);
  }
  return status;
}

RequestReader::Status RequestReader::ReadChunks(std::string_view& aBytes)
{
  for (std::string_view piece = chunks_.Feed(aBytes); !piece.empty();
       piece = chunks_.Feed(aBytes)) {
    if (body_->bytes.size() + piece.size() > maxBodyBytes_) {
      return Refuse({ 413, "request body is too large" });
    }
    if (!Reserve(piece.size())) {
      return Refuse({ 503, "request bodies in memory exceed the budget" });
    }
    body_->bytes.append(piece);
  }
  if (chunks_.Invalid()) {
    return Refuse({ 400, "malformed chunked body" });
  }
  return chunks_.Done() ? Status::Complete : Status::Incomplete;
}

bool RequestReader::Reserve(size_t aBytes)
{
  const size_t needed = body_->bytes.size() + aBytes;
  if (needed <= body_->reservedBytes) {
    return true;
  }
  const size_t most = head_.chunked ? maxBodyBytes_ : head_.contentLength;
  const size_t capacity = std::min(most, std::max(needed, body_->reservedBytes * 3 / 2));
  // Both buffers exist while the bytes are copied.
  if (!body_->reservation.Reserve(capacity)) {
    return false;
  }
  body_->bytes.reserve(capacity);
  body_->reservation.Return(body_->reservedBytes);
  body_->reservedBytes = capacity;
  return true;
}

HttpRequest RequestReader::TakeRequest()
{
  HttpRequest request;
  request.method = head_.method;
  request.target = std::move(head_.target);
  request.headers = std::move(head_.headers);
  const std::string* bytes = &body_->bytes;
  request.body = std::shared_ptr<const std::string>(std::exchange(body_, nullptr), bytes);
  return request;
}

void RequestReader::StartNext()
{
  head_ = {};
  chunks_ = {};
  scanned_ = 0;
  skippedEmptyLine_ = false;
  wantsContinue_ = false;
}

} // namespace bg::detail
