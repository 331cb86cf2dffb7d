#pragma once

#include <functional>
#include <span>
#include <string_view>

#include "boragegauge/upstream.h"

struct curl_slist;
struct sockaddr;

namespace bg::detail {

/// Collects the response of one attempt from its header lines and body bytes, and checks that its
/// length is unambiguous.
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

  /// Adds body bytes after removal of the chunked coding. Returns false on a Problem, which stops
  /// the transfer.
  bool AddBody(std::string_view aBytes);

  /// Gives the response up and frees its body; the transfer must be stopped.
  void Abandon();
  size_t BodyBytes() const { return body_.size(); }

  /// True if the header section of the final (not 1xx) response is complete.
  bool IsHeadComplete() const { return isHeadComplete_ && !IsInformational(); }

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
  bool IsInformational() const { return status_ >= 100 && status_ < 200; }

  bool isHeadRequest_ = false;
  bool isHeadComplete_ = false;
  bool isChunked_ = false;
  bool hasLength_ = false;
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

/// ASCII case-insensitive equality.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// True for fields that are valid for one connection only: those of RFC 9110, section 7.6.1, and
/// those listed in the Connection field.
bool IsHopByHop(std::string_view aName, std::span<const HttpHeader> aHeaders);

/// Returns an empty string if the request can be sent, otherwise the reason why it cannot. Rejects
/// all characters that could end the request line or a header line early (header injection).
std::string CheckRequest(const UpstreamRequest& aRequest);

/// Waits for events of one curl socket while it is open. The Asio descriptor is released before the
/// socket is closed, so that Asio never watches a descriptor number that the system has reused.
class SocketWatch
{
public:
  virtual ~SocketWatch() = default;
  /// Sets the events to wait for.
  /// @param aWhat One of curl's CURL_POLL values.
  virtual void SetInterest(int aWhat) = 0;
  /// Returns the ConnectionName(); empty until the system has chosen the local port.
  virtual const std::string& Name() = 0;
  /// True if the socket has unread bytes, was closed by the peer or has failed.
  virtual bool HasUnreadInput() = 0;
  /// Closes the socket; no event is reported afterwards.
  virtual void Close() = 0;
};

/// Identifies a connection as "PEER_IP PEER_PORT LOCAL_PORT".
std::string ConnectionName(std::string_view aIp, int aPort, int aLocalPort);

/// Takes ownership of the socket.
/// @param aReady Called with the socket and the CURL_CSELECT value of an event.
std::shared_ptr<SocketWatch> WatchSocket(asio::io_context& aContext,
                                         int aSocket,
                                         const sockaddr* aPeer,
                                         std::function<void(int, int)> aReady);

/// See UpstreamClient::Probe().
void ProbeConnection(EventLoop& aLoop,
                     const std::string& aAddress,
                     uint16_t aPort,
                     Duration aTimeout,
                     std::function<void(ProbeResult)> aCallback);

/// Largest number of bytes of a response with all its framing: header sections, chunk sizes and
/// extensions, trailers.
size_t MaxReceivedBytes(size_t aMaxBodyBytes);

/// Sets those options of a curl easy handle that are the same for all transfers.
void SetFixedOptions(void* aEasy);

/// Maps curl's result code of an incomplete transfer to a failure.
/// @param aCode A CURLcode.
UpstreamFailure ClassifyFailure(int aCode,
                                const ResponseReader& aResponse,
                                std::string_view aErrorText,
                                bool aMaybeSent,
                                bool aDeadlinePassed);

/// Sets the time limits and the connection reuse of one attempt.
/// @param aTimeLeft Time until the request's deadline.
/// @param aForceFreshConnection Opens a new connection even if the request allows a reused one.
void SetLimits(void* aEasy,
               const UpstreamRequest& aRequest,
               Duration aTimeLeft,
               Duration aMaxConnectionAge,
               bool aForceFreshConnection);

/// Sets the options of one request and returns its header list. The request, the response and the
/// list must live as long as the transfer; the caller frees the list.
curl_slist* SetRequest(void* aEasy, const UpstreamRequest& aRequest, ResponseReader& aResponse);

} // namespace bg::detail
