#pragma once

#include <span>
#include <string_view>

#include "boragegauge/upstream.h"

struct curl_slist;
struct sockaddr;

namespace bg::detail {

/// Collects the response of one attempt, line by line, and checks that its length is unambiguous.
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

  void Start(bool aHeadRequest, size_t aMaxBytes);

  /// Takes one header line with its line end; false stops the transfer.
  bool AddHeaderLine(std::string_view aLine);

  /// Takes decoded body bytes; false stops the transfer.
  bool AddBody(std::string_view aBytes);

  /// The final (not 1xx) header section is complete.
  bool HeadComplete() const { return headComplete_ && !Informational(); }

  /// The end of the body can be told from a lost connection: it has a length, is chunked or is
  /// absent by definition.
  bool LengthKnown() const;

  Problem Failure() const { return problem_; }
  int Status() const { return status_; }

  /// Header fields without those that are valid for one connection only.
  std::vector<HttpHeader> TakeHeaders();
  std::string TakeBody() { return std::move(body_); }

private:
  bool Fail(Problem aProblem);
  bool StartHead(std::string_view aLine);
  bool AddField(std::string_view aLine);
  bool EndHead();
  bool Informational() const { return status_ >= 100 && status_ < 200; }

  bool headRequest_ = false;
  bool headComplete_ = false;
  bool chunked_ = false;
  bool hasLength_ = false;
  int status_ = 0;
  size_t maxBytes_ = 0;
  size_t headBytes_ = 0;
  Problem problem_ = Problem::None;
  std::vector<HttpHeader> headers_;
  std::string body_;
};

/// ASCII case-insensitive equality.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Header fields that are valid for one connection only: the fixed ones of RFC 9110 section 7.6.1
/// and those named by Connection.
bool IsHopByHop(std::string_view aName, std::span<const HttpHeader> aHeaders);

/// Empty when the request can be sent, otherwise the reason why it cannot. Refuses everything that
/// could end the request line or a header line early.
std::string CheckRequest(const UpstreamRequest& aRequest);

/// Watches one socket of curl for as long as it is open. The Asio descriptor is released before the
/// socket is closed, so that Asio never watches a descriptor number that was given out again.
class SocketWatch
{
public:
  virtual ~SocketWatch() = default;
  /// @param aWhat One of curl's CURL_POLL values.
  virtual void SetInterest(int aWhat) = 0;
  /// See ConnectionName(); empty until the system has chosen the local port.
  virtual const std::string& Name() = 0;
  /// Bytes or a close have arrived although no response is due.
  virtual bool HasUnreadInput() = 0;
  virtual void Close() = 0;
};

/// "PEER_IP PEER_PORT LOCAL_PORT".
std::string ConnectionName(std::string_view aIp, int aPort, int aLocalPort);

/// Takes ownership of the socket. The hook gets the socket and curl's CURL_CSELECT value.
std::shared_ptr<SocketWatch> WatchSocket(asio::io_context& aContext,
                                         int aSocket,
                                         const sockaddr* aPeer,
                                         std::function<void(int, int)> aReady);

/// Sets the options of a curl easy handle that are the same for all transfers.
void SetFixedOptions(void* aEasy);

/// Maps curl's result of an incomplete transfer.
/// @param aCode A CURLcode.
UpstreamFailure ClassifyFailure(int aCode,
                                const ResponseReader& aResponse,
                                std::string_view aErrorText,
                                bool aMaybeSent,
                                bool aDeadlinePassed);

/// Sets time limits and the use of existing connections for one attempt.
/// @param aLeft Time until the request's deadline.
/// @param aFresh Opens a new connection also when the request allows an older one.
void SetLimits(void* aEasy,
               const UpstreamRequest& aRequest,
               Duration aLeft,
               Duration aMaxConnectionAge,
               bool aFresh);

/// Sets the options that describe one request. The request, the response and the returned list
/// must live as long as the transfer.
curl_slist* SetRequest(void* aEasy, const UpstreamRequest& aRequest, ResponseReader& aResponse);

} // namespace bg::detail
