// Standard headers come before Asio, which otherwise misses aligned_alloc and then frees memory of
// other files with the wrong function.
#include <array>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include "asio_server_p.h"
#include "boragegauge/boot_timer.h"

namespace bg {

namespace {

using namespace detail;
using asio::ip::tcp;

/// Reads after which other connections get their turn.
constexpr int kReadsPerEvent = 4;

/// Bytes of following requests that are kept while one is handled. The budget does not count them:
/// 500 callers that pipeline have 8 MB.
constexpr size_t kMaxPipelinedBytes = 16UL << 10;

/// Bytes of a response that the system keeps and cannot send yet. What the caller does not read
/// beyond it stays with the connection, where it is counted. Bytes on their way are not limited, so
/// that a long round trip does not slow down a response.
constexpr int kMaxUnsentBytes = 16 << 10;
using NotSentLowat = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

/// After the last response the connection is read for this long, so that the close does not
/// discard a response that the caller has not read yet.
constexpr auto kLingerTime = std::chrono::seconds(2);
constexpr size_t kMaxLingerBytes = kMaxBodyBytesLimit;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

class Connection;

class AsioReply : public HttpReply
{
public:
  explicit AsioReply(std::shared_ptr<Connection> aConnection)
    : connection_(std::move(aConnection))
  {
  }
  /// Without this a handler that forgets to answer would hold the caller for ever.
  ~AsioReply() override { AsioReply::Abort(); }
  AsioReply(const AsioReply&) = delete;
  AsioReply& operator=(const AsioReply&) = delete;

  void Send(HttpResponse aResponse) override;
  void Abort() override;
  void OnCallerGone(std::function<void()> aCallback) override { onGone_ = std::move(aCallback); }

  void CallerGone(bool aNotify)
  {
    connection_.reset();
    const auto callback = std::exchange(onGone_, nullptr);
    if (callback && aNotify) {
      callback();
    }
  }

private:
  std::shared_ptr<Connection> connection_; ///< Null when answered or gone.
  std::function<void()> onGone_;
};

/// One caller's connection; handles one request at a time.
class Connection
  : public CallerConnection
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<ConnectionContext> aState, tcp::socket aSocket)
    : state_(std::move(aState))
    , socket_(std::move(aSocket))
    , timer_(socket_.get_executor())
    , reader_(state_->init.maxBodyBytes, state_->init.budget)
  {
  }

  void Start(Duration aIdleTimeout)
  {
    std::error_code error;
    socket_.non_blocking(true, error);
    socket_.set_option(tcp::no_delay(true), error);
    socket_.set_option(NotSentLowat(kMaxUnsentBytes), error);
    remoteAddress_ = socket_.remote_endpoint(error).address().to_string();
    state_->connections.emplace(this, weak_from_this());
    ++state_->stats.connections;
    SetDeadline(aIdleTimeout);
    WaitRead();
  }

  void Respond(HttpResponse aResponse);

  void StopIfIdle() override
  {
    std::error_code error;
    if (phase_ != Phase::Reading || reader_.Pending() || socket_.available(error) != 0) {
      return;
    }
    if (HasUnacknowledgedBytes()) {
      Linger();
    } else {
      Close(true);
    }
  }

  bool IsUnfinished() override
  {
    switch (phase_) {
      case Phase::Reading:
        return reader_.Pending() || HasUnacknowledgedBytes();
      case Phase::Handling:
      case Phase::Writing:
        return true;
      case Phase::Lingering:
        return HasUnacknowledgedBytes();
      default:
        return false;
    }
  }

  void RefuseIncomplete() override
  {
    if (phase_ == Phase::Reading && reader_.Pending()) {
      Refuse({ 503, "this host is stopping before the request has arrived" });
    }
  }

  void End() override;

  void Close(bool aNotify) override;
  void GiveUp() override;

private:
  enum class Phase
  {
    Reading,
    Handling,
    Writing,
    Lingering,
    Closed,

    Count
  };

  void SetDeadline(Duration aTime)
  {
    deadline_ = Now() + aTime;
    ArmTimer();
  }

  void ArmTimer();
  /// Closes the connection in the middle of a response, so that no caller takes it for complete.
  void CutOff(std::string_view aReason);
  void DeadlinePassed();
  void WaitRead();
  void ReadInput();
  void Received(std::string_view aBytes);
  void PeerClosed(bool aReset);
  void Advance(RequestReader::Status aStatus);
  void Dispatch();
  void Refuse(const Refusal& aRefusal);
  void Write(HttpResponse aResponse, bool aClose);
  /// @param aBytes Bytes of the response that the system has taken so far.
  void RecordWritten(size_t aBytes);
  void Written(const std::error_code& aError);
  void Linger();
  /// Whether the system still holds bytes that the system of the caller has not confirmed.
  bool HasUnacknowledgedBytes();

  bool InputFull() const { return IsHandling() && reader_.HeldBytes() >= kMaxPipelinedBytes; }
  bool IsHandling() const { return phase_ == Phase::Handling || phase_ == Phase::Writing; }

  std::shared_ptr<ConnectionContext> state_;
  tcp::socket socket_;
  BootTimer timer_;
  TimePoint deadline_ = TimePoint::max();
  TimePoint timerExpiry_ = TimePoint::max();
  std::string remoteAddress_;
  Phase phase_ = Phase::Reading;
  bool headStarted_ = false;
  bool waiting_ = false;
  bool peerFinished_ = false;
  bool closeAfterWrite_ = false;
  size_t lingered_ = 0;
  RequestReader reader_;
  std::weak_ptr<AsioReply> reply_;
  std::string responseHead_;
  std::string responseBody_;
  size_t unreadBytes_ = 0; ///< Of the response, that the system has not taken.
  TimePoint progressAt_{};
  std::shared_ptr<ByteReservation> responseReservation_; ///< Of responseBody_.
};

void AsioReply::Send(HttpResponse aResponse)
{
  if (const auto connection = std::exchange(connection_, nullptr)) {
    onGone_ = nullptr;
    connection->Respond(std::move(aResponse));
  }
}

void AsioReply::Abort()
{
  if (const auto connection = std::exchange(connection_, nullptr)) {
    onGone_ = nullptr;
    connection->Close(false);
  }
}

/// Only an earlier deadline moves the timer; a later one is looked at when the timer expires.
void Connection::ArmTimer()
{
  if (deadline_ >= timerExpiry_) {
    return;
  }
  timerExpiry_ = deadline_;
  timer_.expires_at(deadline_);
  timer_.async_wait([self = shared_from_this()](const std::error_code& aError) {
    if (aError || self->phase_ == Phase::Closed) {
      return;
    }
    self->timerExpiry_ = TimePoint::max();
    if (Now() >= self->deadline_) {
      self->DeadlinePassed();
    } else {
      self->ArmTimer();
    }
  });
}

void Connection::DeadlinePassed()
{
  if (phase_ == Phase::Reading && reader_.Pending()) {
    Refuse({ 408, "request did not arrive in time" });
  } else if (phase_ == Phase::Writing) {
    CutOff("stalled");
  } else {
    Close(true);
  }
}

void Connection::WaitRead()
{
  if (waiting_ || peerFinished_ || phase_ == Phase::Closed || InputFull()) {
    return;
  }
  waiting_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const std::error_code& aError) {
                       self->waiting_ = false;
                       if (!aError && self->phase_ != Phase::Closed) {
                         self->ReadInput();
                       }
                     });
}

void Connection::ReadInput()
{
  auto& buffer = state_->readBuffer;
  for (int i = 0; i < kReadsPerEvent && !InputFull(); ++i) {
    std::error_code error;
    const size_t limit = IsHandling() ? kMaxPipelinedBytes - reader_.HeldBytes() : buffer.size();
    const size_t size = socket_.read_some(asio::buffer(buffer, limit), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      PeerClosed(error != asio::error::eof);
      return;
    }
    Received({ buffer.data(), size });
    if (phase_ == Phase::Closed) {
      return;
    }
    if (size < limit) {
      break;
    }
  }
  WaitRead();
}

void Connection::PeerClosed(bool aReset)
{
  // A caller that only ends its own direction still gets a response that has been started.
  if (phase_ == Phase::Writing && !aReset) {
    peerFinished_ = true;
    return;
  }
  Close(true);
}

void Connection::Received(std::string_view aBytes)
{
  if (phase_ == Phase::Lingering) {
    lingered_ += aBytes.size();
    if (lingered_ > kMaxLingerBytes) {
      Close(true);
    }
    return;
  }
  if (phase_ == Phase::Reading) {
    if (!reader_.Pending()) {
      reader_.SetLimits(state_->init.maxHeaderBytes, state_->init.maxBodyBytes);
    }
    Advance(reader_.Feed(aBytes));
  } else {
    reader_.Hold(aBytes);
  }
}

/// Acts on what the reader found in the bytes received so far.
void Connection::Advance(RequestReader::Status aStatus)
{
  switch (aStatus) {
    case RequestReader::Status::Complete:
      Dispatch();
      return;
    case RequestReader::Status::Refused:
      Refuse(reader_.Problem());
      return;
    default:
      break;
  }
  if (reader_.TakeContinue()) {
    // The send buffer is empty here. Should the write fail, the next read reports it.
    std::error_code ignored;
    socket_.write_some(asio::const_buffer(kContinue.data(), kContinue.size()), ignored);
  }
  if (reader_.InBody()) {
    SetDeadline(state_->init.bodyTimeout);
    state_->callerMemory.Update(this, reader_.BodyBytes());
    state_->TrimCallerMemory();
  } else if (reader_.Pending() && !headStarted_) {
    headStarted_ = true;
    SetDeadline(state_->init.headTimeout);
  }
}

void Connection::Dispatch()
{
  state_->callerMemory.Remove(this);
  phase_ = Phase::Handling;
  deadline_ = TimePoint::max();
  ++state_->stats.requests;
  ++state_->stats.inFlight;
  auto reply = std::make_shared<AsioReply>(shared_from_this());
  reply_ = reply;
  HttpRequest request = reader_.TakeRequest();
  request.remoteAddress = remoteAddress_;
  state_->init.handler(std::move(request), std::move(reply));
}

void Connection::Refuse(const Refusal& aRefusal)
{
  ++state_->stats.rejected;
  LogRefusal(aRefusal, remoteAddress_);
  Write(MakeRefusal(aRefusal, reader_.Head().headers), true);
}

void Connection::Respond(HttpResponse aResponse)
{
  if (phase_ != Phase::Handling) {
    return;
  }
  --state_->stats.inFlight;
  Write(std::move(aResponse), state_->stopping || state_->closing || !reader_.Head().keepAlive);
}

void Connection::Write(HttpResponse aResponse, bool aClose)
{
  const bool head = reader_.Head().method == "HEAD";
  phase_ = Phase::Writing;
  closeAfterWrite_ = aClose;
  responseHead_ = FormatHead(aResponse, head, aClose);
  responseBody_ = head || !HasBody(aResponse.status) ? std::string() : std::move(aResponse.body);
  responseReservation_ = std::move(aResponse.reservation);
  unreadBytes_ = responseHead_.size() + responseBody_.size();
  progressAt_ = Now();
  SetDeadline(state_->init.bodyTimeout);
  state_->callerMemory.Update(this, unreadBytes_);
  const std::array<asio::const_buffer, 2> buffers = { asio::buffer(responseHead_),
                                                      asio::buffer(responseBody_) };
  asio::async_write(
    socket_,
    buffers,
    [self = shared_from_this()](const std::error_code& aError, size_t aSize) {
      self->RecordWritten(aSize);
      return asio::transfer_all()(aError, aSize);
    },
    [self = shared_from_this()](const std::error_code& aError, size_t) {
      if (self->phase_ != Phase::Closed) {
        self->Written(aError);
      }
    });
  state_->TrimCallerMemory();
}

void Connection::RecordWritten(size_t aBytes)
{
  const size_t unread = responseHead_.size() + responseBody_.size() - aBytes;
  if (phase_ != Phase::Writing || unread == unreadBytes_) {
    return;
  }
  unreadBytes_ = unread;
  progressAt_ = Now();
  deadline_ = progressAt_ + state_->init.bodyTimeout;
  state_->callerMemory.Update(this, unread);
}

void Connection::Written(const std::error_code& aError)
{
  responseBody_ = {};
  responseReservation_.reset();
  state_->callerMemory.Remove(this);
  if (aError || peerFinished_) {
    Close(true);
    return;
  }
  if (closeAfterWrite_) {
    Linger();
    return;
  }
  phase_ = Phase::Reading;
  headStarted_ = false;
  reader_.StartNext();
  SetDeadline(state_->init.idleTimeout);
  if (state_->stopping) {
    StopIfIdle();
  }
  if (reader_.Pending()) {
    Advance(reader_.Feed({}));
  }
  WaitRead();
}

void Connection::Linger()
{
  std::error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  phase_ = Phase::Lingering;
  SetDeadline(kLingerTime);
  WaitRead();
}

bool Connection::HasUnacknowledgedBytes()
{
  int bytes = 0;
  return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void Connection::End()
{
  std::error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  // A socket that is closed with unread bytes is reset.
  for (size_t discarded = 0; !error && discarded < kMaxLingerBytes;) {
    discarded += socket_.read_some(asio::buffer(state_->readBuffer), error);
  }
  Close(false);
}

void Connection::Close(bool aNotify)
{
  if (phase_ == Phase::Closed) {
    return;
  }
  const bool handling = phase_ == Phase::Handling;
  phase_ = Phase::Closed;
  responseReservation_.reset();
  state_->callerMemory.Remove(this);
  std::error_code error;
  socket_.close(error);
  timer_.cancel();
  state_->connections.erase(this);
  --state_->stats.connections;
  if (handling) {
    --state_->stats.inFlight;
    if (const auto reply = reply_.lock()) {
      reply->CallerGone(aNotify);
    }
  }
}

void Connection::CutOff(std::string_view aReason)
{
  state_->RecordCutOff(aReason, remoteAddress_, unreadBytes_, Now() - progressAt_);
  // The reset also frees what the system holds; it would keep that for minutes otherwise.
  std::error_code error;
  socket_.set_option(asio::socket_base::linger(true, 0), error);
  Close(true);
}

void Connection::GiveUp()
{
  if (phase_ == Phase::Writing) {
    CutOff("memory");
  } else if (phase_ == Phase::Reading && reader_.InBody()) {
    Refuse({ 503, "incomplete request bodies in memory exceed their share of the budget" });
  }
}

} // namespace

namespace detail {

void OpenConnection(std::shared_ptr<ConnectionContext> aContext,
                    int aSocket,
                    bool aIsV6,
                    Duration aIdleTimeout)
{
  tcp::socket socket(aContext->init.loop->Context(), aIsV6 ? tcp::v6() : tcp::v4(), aSocket);
  std::make_shared<Connection>(std::move(aContext), std::move(socket))->Start(aIdleTimeout);
}

} // namespace detail

} // namespace bg
