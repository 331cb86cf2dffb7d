#pragma once

#include <array>
#include <unordered_map>

#include "boragegauge/framing.h"
#include "caller_memory_p.h"
#include "httpd_p.h"

namespace bg::detail {

/// A parsed request head.
struct ParsedHead
{
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  bool keepAlive = false;
  bool chunked = false;
  bool expectsContinue = false;
  uint64_t contentLength = 0;
};

/// Looks for the end of a request head.
/// @param aScanned Bytes that earlier calls have checked; updated.
/// @param aEnd Set to the size of the head including the empty line, 0 while it is incomplete.
/// @param aMaxHeaderBytes Limit of the header section.
/// @returns A refusal as soon as the bytes cannot become an acceptable head: bare CR or LF, folded
/// lines, NUL, lines or sections over the limits.
std::optional<Refusal> ScanHead(std::string_view aBytes,
                                size_t& aScanned,
                                size_t& aEnd,
                                size_t aMaxHeaderBytes);

/// Parses a complete head and checks it with CheckHead(). The head is filled as far as it was
/// parsed, so that a refusal can carry the caller's request id.
std::optional<Refusal> ParseHead(std::string_view aBytes, ParsedHead& aHead);

/// A request body that returns its bytes to the budget when its last user is gone.
struct BudgetedBody
{
  explicit BudgetedBody(std::shared_ptr<ByteBudget> aBudget)
    : reservation(std::move(aBudget))
  {
  }

  ByteReservation reservation;
  size_t reservedBytes = 0; ///< For bytes.
  std::string bytes;
};

/// Turns the bytes of one connection into requests, one at a time. It has no socket and no clock.
class RequestReader
{
public:
  enum class Status
  {
    Incomplete,
    Complete,
    Refused, ///< The connection cannot be used for further requests.

    Count
  };

  RequestReader(size_t aMaxBodyBytes, std::shared_ptr<ByteBudget> aBudget);

  /// Holds from the next request on; not while one is pending.
  void SetLimits(size_t aMaxHeaderBytes, size_t aMaxBodyBytes)
  {
    maxHeaderBytes_ = aMaxHeaderBytes;
    maxBodyBytes_ = aMaxBodyBytes;
  }

  /// Takes bytes of the current request; call again with no bytes after StartNext().
  Status Feed(std::string_view aBytes);

  /// Keeps bytes of later requests.
  void Hold(std::string_view aBytes) { input_.append(aBytes); }

  /// True once when the caller waits for "100 Continue".
  bool TakeContinue() { return std::exchange(wantsContinue_, false); }

  /// Valid after Complete: everything but the remote address.
  HttpRequest TakeRequest();

  /// Prepares for the request after the one that was taken.
  void StartNext();

  bool InBody() const { return body_ != nullptr; }
  /// Size of the part of the body that has arrived.
  size_t BodyBytes() const { return body_ ? body_->bytes.size() : 0; }
  /// Bytes of an incomplete or a later request have arrived.
  bool Pending() const { return InBody() || !input_.empty(); }
  size_t HeldBytes() const { return input_.size(); }
  const ParsedHead& Head() const { return head_; }
  const Refusal& Problem() const { return problem_; }

private:
  Status Refuse(const Refusal& aRefusal);
  Status ReadHead();
  Status StartBody();
  Status ReadBody(std::string_view aBytes);
  Status ReadChunks(std::string_view& aBytes);
  /// Makes room in the body for more bytes, within the budget.
  bool Reserve(size_t aBytes);

  size_t maxHeaderBytes_ = kMaxHeaderBytes;
  size_t maxBodyBytes_;
  std::shared_ptr<ByteBudget> budget_;
  std::string input_;  ///< Received bytes that no request has taken yet.
  size_t scanned_ = 0; ///< See ScanHead().
  bool skippedEmptyLine_ = false;
  bool wantsContinue_ = false;
  Refusal problem_;
  ParsedHead head_;
  ChunkDecoder chunks_;
  std::shared_ptr<BudgetedBody> body_; ///< Set from the end of the head on.
};

/// Status line and header section of a response.
/// @param aHeadRequest The response has no body; a Content-Length of the handler is kept.
std::string FormatHead(const HttpResponse& aResponse, bool aHeadRequest, bool aClose);

/// True when a response with this status has a body.
bool HasBody(int aStatus);

class CallerConnection
{
public:
  virtual ~CallerConnection() = default;
  /// Closes a connection without a request; one whose next request has arrived is served.
  virtual void StopIfIdle() = 0;
  /// See HttpServer::Unfinished().
  virtual bool IsUnfinished() = 0;
  /// See HttpServer::RefuseIncomplete().
  virtual void RefuseIncomplete() = 0;
  /// Closes the connection for the end of the server, without a reset that would take back what the
  /// caller has not received yet.
  virtual void End() = 0;
  /// @param aNotify Tells the handler of a request in flight that its caller has gone.
  virtual void Close(bool aNotify) = 0;
  /// Gives up the message that is being written or read, see CallerMemory.
  virtual void GiveUp() = 0;
};

/// Read buffer of a server, shared by its connections, in bytes. One read may bring as many bytes
/// of later requests, which the connection keeps.
constexpr size_t kReadBufferBytes = 16UL << 10;

/// What a server and its connections share; connections keep it alive.
struct ConnectionContext
{
  explicit ConnectionContext(HttpServerInit aInit);

  /// Gives up messages until the memory for callers is within its limit.
  void TrimCallerMemory();
  /// Counts and logs a connection that is closed because its caller did not read.
  void RecordCutOff(std::string_view aReason,
                    std::string_view aPeer,
                    size_t aUnreadBytes,
                    Duration aStalled);

  HttpServerInit init;
  HttpServerStats stats;
  bool stopping = false;
  bool closing = false; ///< Responses close their connections.
  bool isTrimming = false;
  CallerMemory callerMemory;
  TimePoint nextCutOffLog{};
  std::array<char, kReadBufferBytes> readBuffer{};
  std::unordered_map<CallerConnection*, std::weak_ptr<CallerConnection>> connections;
};

/// Takes ownership of an accepted, non-blocking socket. The connection keeps itself alive.
void OpenConnection(std::shared_ptr<ConnectionContext> aContext,
                    int aSocket,
                    bool aIsV6,
                    Duration aIdleTimeout);

Result<std::unique_ptr<HttpServer>> CreateAsioServer(HttpServerInit aInit);

} // namespace bg::detail
