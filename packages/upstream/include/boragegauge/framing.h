#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "boragegauge/upstream.h"

/// Where the bodies of HTTP/1.1 messages end. Numbers from the peer are read strictly: lenient
/// readers differ on what a malformed one means, and take a body that was broken off for a complete
/// one.
namespace bg::detail {

/// Parses the value of a Content-Length field: decimal digits and nothing else.
std::optional<uint64_t> ParseContentLength(std::string_view aText);

/// Strict decoder of the chunked transfer coding (RFC 9112 section 7.1): line ends are CRLF and
/// nothing but CRLF follows the data of a chunk. Trailer fields are checked and dropped.
class ChunkDecoder
{
public:
  /// Takes bytes from the front of the input and returns the next piece of body; an empty piece
  /// means that all input was taken, or that the body is done or invalid.
  std::string_view Feed(std::string_view& aInput);

  bool Done() const { return state_ == State::Done; }
  bool Invalid() const { return state_ == State::Invalid; }

private:
  enum class State
  {
    Size,
    Data,
    DataEnd,
    Trailer,
    Done,
    Invalid,

    Count
  };

  void EndLine();
  bool ParseSize(std::string_view aLine);

  State state_ = State::Size;
  uint64_t left_ = 0;
  std::string line_;
};

/// Collects a response from its header lines and body bytes, and alone decides whether it is
/// complete: curl, which delivers them, reads the same fields more leniently.
class ResponseReader
{
public:
  enum class Problem
  {
    None,
    TooLarge,
    Malformed,

    Count
  };

  /// Resets the reader for a new attempt.
  /// @param aMaxBytes Maximum size of the body.
  /// @param aBudget Bounds the bodies of all responses; null: no limit.
  /// @param aMakeRoom Called when the budget is used up. Returns false if it cannot free bytes.
  void Start(bool aIsHeadRequest,
             size_t aMaxBytes,
             std::shared_ptr<ByteBudget> aBudget,
             std::function<bool()> aMakeRoom);

  /// Adds one header line including its line end. Returns false on a Problem, which stops the
  /// transfer.
  bool AddHeaderLine(std::string_view aLine);

  /// Adds body bytes, with the chunked coding if there is one. Returns false on a Problem, which
  /// stops the transfer.
  bool AddBody(std::string_view aBytes);

  /// Gives the response up and frees its body; the transfer must be stopped.
  void Abandon();
  size_t BodyBytes() const { return body_.size(); }

  /// True if the header section of the final (not 1xx) response is complete.
  bool IsHeadComplete() const { return isHeadComplete_ && !IsInformational(); }

  /// True if the response has ended where its head says; one without a length ends with its
  /// connection, see HasKnownLength(). Must be called before TakeBody().
  bool IsComplete() const;

  /// True if a complete body can be distinguished from a lost connection: the body has a length, is
  /// chunked, or the response never has one.
  bool HasKnownLength() const;

  Problem Failure() const { return problem_; }
  int Status() const { return status_; }

  /// Returns the header fields except the hop-by-hop ones, see IsHopByHop().
  std::vector<HttpHeader> TakeHeaders();
  std::string TakeBody() { return std::move(body_); }
  std::shared_ptr<ByteReservation> TakeReservation() { return std::move(reservation_); }

private:
  /// Makes room in the body for more bytes, within the budget.
  bool Reserve(size_t aBytes);
  bool Fail(Problem aProblem);
  bool StartHead(std::string_view aLine);
  bool AddField(std::string_view aLine);
  bool EndHead();
  bool AddDecodedBody(std::string_view aBytes);
  bool IsInformational() const { return status_ >= 100 && status_ < 200; }
  /// True if the response has no body, whatever its head says.
  bool IsBodiless() const { return isHeadRequest_ || status_ == 204 || status_ == 304; }

  bool isHeadRequest_ = false;
  bool isHeadComplete_ = false;
  bool isChunked_ = false;
  std::optional<uint64_t> length_; ///< Content-Length.
  ChunkDecoder chunks_;
  int status_ = 0;
  size_t maxBytes_ = 0;
  size_t headBytes_ = 0;
  Problem problem_ = Problem::None;
  std::vector<HttpHeader> headers_;
  std::string body_;
  std::shared_ptr<ByteReservation> reservation_;
  size_t reservedBytes_ = 0; ///< For body_.
  std::function<bool()> makeRoom_;
};

} // namespace bg::detail
