// Standard headers come before Asio, which otherwise misses aligned_alloc and then frees memory of
// other files with the wrong function.
#include <algorithm>
#include <array>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "boragegauge/boot_timer.h"
#include "upstream_p.h"

namespace bg {

namespace {

using namespace detail;

/// Maximum idle connections to all upstreams; UpstreamClientInit limits the connections per
/// upstream.
constexpr long kMaxIdleConnections = 4096;

/// Maximum idle easy handles kept for reuse.
constexpr size_t kMaxIdleHandles = 256;

/// Interval between log lines on responses that are given up for lack of memory.
constexpr Duration kGiveUpLogInterval = std::chrono::seconds(1);

class CurlClient;

struct Transfer
{
  CurlClient* client = nullptr;
  uint64_t id = 0;
  CURL* easy = nullptr;
  curl_slist* headerList = nullptr;
  UpstreamRequest request;
  UpstreamClient::Callback callback;
  ResponseReader response;
  TimePoint started;
  size_t receivedBytes = 0;             ///< In this attempt, with all framing.
  bool rejectedStaleConnection = false; ///< The reused connection had unread input or was closed.
  std::array<char, CURL_ERROR_SIZE> errorText{};
};

class CurlClient : public std::enable_shared_from_this<CurlClient>
{
public:
  explicit CurlClient(const UpstreamClientInit& aInit)
    : init_(aInit)
    , context_(aInit.loop->Context())
    , timer_(context_)
    , multi_(curl_multi_init())
  {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(
      multi_, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(aInit.maxConnectionsPerUpstream));
  }

  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  /// Ends all transfers without running their callbacks.
  ~CurlClient()
  {
    for (auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, transfer->easy);
      curl_easy_cleanup(transfer->easy);
      curl_slist_free_all(transfer->headerList);
    }
    for (CURL* easy : idleHandles_) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
  }

  uint64_t Send(UpstreamRequest aRequest, UpstreamClient::Callback aCallback);
  void Cancel(uint64_t aTransferId);
  UpstreamClientStats Stats() const;
  void Stop() { isStopped_ = true; }
  void SocketAction(curl_socket_t aSocket, int aEvent);

private:
  static int OnSocket(CURL*, curl_socket_t aSocket, int aWhat, void* aClient, void*);
  static int OnTimer(CURLM*, long aTimeoutMs, void* aClient);
  static curl_socket_t OnOpenSocket(void* aClient, curlsocktype, curl_sockaddr* aAddress);
  static int OnCloseSocket(void* aClient, curl_socket_t aSocket);
  /// Ends the watch of a socket, if there is one.
  void RemoveWatch(curl_socket_t aSocket);
  static int OnDebug(CURL*, curl_infotype aType, char*, size_t aBytes, void* aTransfer);
  static int OnBeforeRequest(void* aTransfer, char* aPeer, char*, int aPeerPort, int aLocalPort);

  void SetTimer(long aTimeoutMs);
  void ArmTimer();
  void TimerExpired();
  void StartAttempt(Transfer& aTransfer);
  void GiveUp(Transfer& aTransfer);
  bool GiveUpLargest();
  void FinishGivenUp();
  void ReadMessages();
  void Finish(Transfer& aTransfer, CURLcode aCode);
  bool RetryOnFreshConnection(Transfer& aTransfer, CURLcode aCode);
  void Recycle(Transfer& aTransfer);
  UpstreamResult MakeResult(Transfer& aTransfer, CURLcode aCode);
  std::unique_ptr<Transfer> ExtractTransfer(uint64_t aTransferId);
  void PostResult(UpstreamClient::Callback aCallback, UpstreamResult aResult);

  UpstreamClientInit init_;
  asio::io_context& context_;
  BootTimer timer_;
  CURLM* multi_;
  bool isStopped_ = false;
  bool isReadingMessages_ = false;
  bool isActionPosted_ = false;
  TimePoint curlTimeoutAt_ = TimePoint::max();  ///< When curl expects its next timeout action.
  TimePoint timerExpiresAt_ = TimePoint::max(); ///< When timer_ expires; may be earlier.
  uint64_t nextId_ = 1;
  UpstreamClientStats stats_;
  std::unordered_map<uint64_t, std::unique_ptr<Transfer>> transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> sockets_;
  /// Sockets by ConnectionName().
  std::unordered_map<std::string, curl_socket_t> connections_;
  std::vector<CURL*> idleHandles_;
  uint64_t givenUpCount_ = 0; ///< Responses given up for lack of memory.
  TimePoint nextGiveUpLog_{};
  std::vector<uint64_t> givenUp_; ///< Transfers to be stopped after the current call of curl.
};

int CurlClient::OnSocket(CURL*, curl_socket_t aSocket, int aWhat, void* aClient, void*)
{
  auto* client = static_cast<CurlClient*>(aClient);
  const auto found = client->sockets_.find(aSocket);
  if (found != client->sockets_.end()) {
    if (aWhat == CURL_POLL_REMOVE && found->second->IsGivenUp()) {
      client->RemoveWatch(aSocket);
      return 0;
    }
    found->second->SetInterest(aWhat);
    if (const std::string& name = found->second->Name(); !name.empty()) {
      client->connections_.insert_or_assign(name, aSocket);
    }
  }
  return 0;
}

/// Rejects a reused connection that received bytes or was closed since its last response. curl 7.88
/// checks only for a close and would read such bytes as the response to this request.
int CurlClient::OnBeforeRequest(void* aTransfer,
                                char* aPeer,
                                char* /*aLocal*/,
                                int aPeerPort,
                                int aLocalPort)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  CurlClient& client = *transfer->client;
  long connects = 0;
  curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
  if (connects > 0) {
    return CURL_PREREQFUNC_OK;
  }
  const auto named = client.connections_.find(ConnectionName(aPeer, aPeerPort, aLocalPort));
  if (named != client.connections_.end() && !client.sockets_.at(named->second)->HasUnreadInput()) {
    return CURL_PREREQFUNC_OK;
  }
  transfer->rejectedStaleConnection = true;
  return CURL_PREREQFUNC_ABORT;
}

/// Counts the received bytes. curl reports chunk extensions nowhere else, and reads them without a
/// limit.
int CurlClient::OnDebug(CURL*, curl_infotype aType, char*, size_t aBytes, void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  if (transfer != nullptr && (aType == CURLINFO_DATA_IN || aType == CURLINFO_HEADER_IN)) {
    transfer->receivedBytes += aBytes;
    if (transfer->receivedBytes > MaxReceivedBytes(transfer->request.maxResponseBytes)) {
      transfer->client->GiveUp(*transfer);
    }
  }
  return 0;
}

/// Frees the response of a transfer and stops it after the current call of curl.
void CurlClient::GiveUp(Transfer& aTransfer)
{
  aTransfer.response.Abandon();
  givenUp_.push_back(aTransfer.id);
}

/// Makes room in the budget. @return False if no transfer has a body.
bool CurlClient::GiveUpLargest()
{
  const auto largest = std::max_element(
    transfers_.begin(), transfers_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second->response.BodyBytes() < aRight.second->response.BodyBytes();
    });
  if (largest == transfers_.end() || largest->second->response.BodyBytes() == 0) {
    return false;
  }
  ++givenUpCount_;
  if (Now() >= nextGiveUpLog_) {
    nextGiveUpLog_ = Now() + kGiveUpLogInterval;
    Log(
      LogLevel::Warning,
      "responses_given_up",
      { { "reason", "responses in memory exceed the budget" },
        { "peer",
          largest->second->request.address + ":" + std::to_string(largest->second->request.port) },
        { "bytes", largest->second->response.BodyBytes() },
        { "transfers", transfers_.size() },
        { "total", givenUpCount_ } });
  }
  GiveUp(*largest->second);
  return true;
}

void CurlClient::FinishGivenUp()
{
  for (const uint64_t id : std::exchange(givenUp_, {})) {
    if (const auto found = transfers_.find(id); found != transfers_.end()) {
      Finish(*found->second, CURLE_WRITE_ERROR);
    }
  }
}

curl_socket_t CurlClient::OnOpenSocket(void* aClient, curlsocktype, curl_sockaddr* aAddress)
{
  auto* client = static_cast<CurlClient*>(aClient);
  const curl_socket_t socket = ::socket(
    aAddress->family, aAddress->socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, aAddress->protocol);
  if (socket < 0) {
    return CURL_SOCKET_BAD;
  }
  client->RemoveWatch(socket); // curl may have closed a socket of this number without notice.
  auto watch = WatchSocket(client->context_,
                           socket,
                           &aAddress->addr,
                           [weak = client->weak_from_this()](int aSocket, int aEvent) {
                             if (auto self = weak.lock()) {
                               self->SocketAction(aSocket, aEvent);
                             }
                           });
  if (!watch) {
    ::close(socket);
    return CURL_SOCKET_BAD;
  }
  client->sockets_.emplace(socket, std::move(watch));
  return socket;
}

int CurlClient::OnCloseSocket(void* aClient, curl_socket_t aSocket)
{
  static_cast<CurlClient*>(aClient)->RemoveWatch(aSocket);
  return ::close(aSocket);
}

void CurlClient::RemoveWatch(curl_socket_t aSocket)
{
  const auto found = sockets_.find(aSocket);
  if (found == sockets_.end()) {
    return;
  }
  const auto named = connections_.find(found->second->Name());
  if (named != connections_.end() && named->second == aSocket) {
    connections_.erase(named);
  }
  found->second->Close();
  sockets_.erase(found);
}

int CurlClient::OnTimer(CURLM*, long aTimeoutMs, void* aClient)
{
  static_cast<CurlClient*>(aClient)->SetTimer(aTimeoutMs);
  return 0;
}

void CurlClient::SetTimer(long aTimeoutMs)
{
  if (isStopped_) {
    return;
  }
  if (aTimeoutMs < 0) {
    curlTimeoutAt_ = TimePoint::max();
    return;
  }
  if (aTimeoutMs > 0) {
    curlTimeoutAt_ = Now() + Milliseconds(aTimeoutMs);
    ArmTimer();
    return;
  }
  curlTimeoutAt_ = TimePoint::max();
  if (!isActionPosted_) {
    isActionPosted_ = true;
    asio::post(context_, [weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->isActionPosted_ = false;
        self->SocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }
}

/// Does not postpone the timer, because each change costs a system call and curl moves its timeout
/// several times per transfer. TimerExpired() waits for the remaining time instead.
void CurlClient::ArmTimer()
{
  if (curlTimeoutAt_ >= timerExpiresAt_) {
    return;
  }
  timerExpiresAt_ = curlTimeoutAt_;
  timer_.expires_at(curlTimeoutAt_);
  timer_.async_wait([weak = weak_from_this()](const std::error_code& aError) {
    auto self = weak.lock();
    if (!aError && self) {
      self->TimerExpired();
    }
  });
}

void CurlClient::TimerExpired()
{
  timerExpiresAt_ = TimePoint::max();
  if (Now() < curlTimeoutAt_) {
    ArmTimer();
    return;
  }
  curlTimeoutAt_ = TimePoint::max();
  SocketAction(CURL_SOCKET_TIMEOUT, 0);
}

void CurlClient::SocketAction(curl_socket_t aSocket, int aEvent)
{
  if (isStopped_) {
    return;
  }
  int running = 0;
  curl_multi_socket_action(multi_, aSocket, aEvent, &running);
  ReadMessages();
  FinishGivenUp();
}

uint64_t CurlClient::Send(UpstreamRequest aRequest, UpstreamClient::Callback aCallback)
{
  const uint64_t id = nextId_++;
  ++stats_.transfers;
  std::string problem = CheckRequest(aRequest);
  if (!problem.empty() || aRequest.deadline <= Duration::zero()) {
    UpstreamResult result;
    result.failure = problem.empty() ? UpstreamFailure::Timeout : UpstreamFailure::Protocol;
    result.detail = problem.empty() ? "deadline has passed" : std::move(problem);
    PostResult(std::move(aCallback), std::move(result));
    return id;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->id = id;
  transfer->client = this;
  transfer->request = std::move(aRequest);
  transfer->callback = std::move(aCallback);
  transfer->started = Now();
  if (idleHandles_.empty()) {
    transfer->easy = curl_easy_init();
    SetFixedOptions(transfer->easy);
    curl_easy_setopt(transfer->easy, CURLOPT_OPENSOCKETFUNCTION, OnOpenSocket);
    curl_easy_setopt(transfer->easy, CURLOPT_PREREQFUNCTION, OnBeforeRequest);
    curl_easy_setopt(transfer->easy, CURLOPT_DEBUGFUNCTION, OnDebug);
    curl_easy_setopt(transfer->easy, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(transfer->easy, CURLOPT_CLOSESOCKETFUNCTION, OnCloseSocket);
    curl_easy_setopt(transfer->easy, CURLOPT_CLOSESOCKETDATA, this);
  } else {
    transfer->easy = idleHandles_.back();
    idleHandles_.pop_back();
  }
  transfer->headerList = SetRequest(transfer->easy, transfer->request, transfer->response);
  StartAttempt(*transfer);
  transfers_.emplace(id, std::move(transfer));
  return id;
}

void CurlClient::StartAttempt(Transfer& aTransfer)
{
  CURL* easy = aTransfer.easy;
  const UpstreamRequest& request = aTransfer.request;
  const Duration timeLeft = request.deadline - (Now() - aTransfer.started);
  aTransfer.receivedBytes = 0;
  aTransfer.response.Start(request.method == "HEAD",
                           request.maxResponseBytes,
                           init_.budget,
                           [this] { return GiveUpLargest(); });
  aTransfer.errorText[0] = '\0';
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, aTransfer.errorText.data());
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_DEBUGDATA, &aTransfer);
  SetLimits(easy, request, timeLeft, init_.maxConnectionAge, aTransfer.rejectedStaleConnection);
  curl_multi_add_handle(multi_, easy);
}

void CurlClient::Cancel(uint64_t aTransferId)
{
  std::unique_ptr<Transfer> transfer = ExtractTransfer(aTransferId);
  if (transfer == nullptr) {
    return;
  }
  // Removing an unfinished transfer closes its connection.
  curl_multi_remove_handle(multi_, transfer->easy);
  UpstreamResult result = MakeResult(*transfer, CURLE_ABORTED_BY_CALLBACK);
  Recycle(*transfer);
  result.failure = UpstreamFailure::Cancelled;
  result.detail = "cancelled";
  PostResult(std::move(transfer->callback), std::move(result));
}

UpstreamClientStats CurlClient::Stats() const
{
  UpstreamClientStats stats = stats_;
  stats.active = transfers_.size();
  return stats;
}

void CurlClient::PostResult(UpstreamClient::Callback aCallback, UpstreamResult aResult)
{
  asio::post(context_,
             [weak = weak_from_this(),
              callback = std::move(aCallback),
              result = std::move(aResult)]() mutable {
               auto self = weak.lock();
               if (self && !self->isStopped_) {
                 callback(std::move(result));
               }
             });
}

std::unique_ptr<Transfer> CurlClient::ExtractTransfer(uint64_t aTransferId)
{
  const auto found = transfers_.find(aTransferId);
  if (found == transfers_.end()) {
    return nullptr;
  }
  std::unique_ptr<Transfer> transfer = std::move(found->second);
  transfers_.erase(found);
  return transfer;
}

void CurlClient::ReadMessages()
{
  // Callbacks may call Send() or Cancel(), which must not reenter this loop.
  if (isReadingMessages_) {
    return;
  }
  const auto self = shared_from_this();
  isReadingMessages_ = true;
  int messagesLeft = 0;
  while (CURLMsg* message = isStopped_ ? nullptr : curl_multi_info_read(multi_, &messagesLeft)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    Finish(*transfer, message->data.result);
  }
  isReadingMessages_ = false;
}

void CurlClient::Finish(Transfer& aTransfer, CURLcode aCode)
{
  curl_multi_remove_handle(multi_, aTransfer.easy);
  if (RetryOnFreshConnection(aTransfer, aCode)) {
    return;
  }
  std::unique_ptr<Transfer> transfer = ExtractTransfer(aTransfer.id);
  UpstreamResult result = MakeResult(*transfer, aCode);
  if (result.connectionReused) {
    ++stats_.reusedConnections;
  } else if (result.connectTime > Duration::zero()) {
    ++stats_.newConnections;
  }
  Recycle(*transfer);
  transfer->callback(std::move(result));
}

/// Starts the transfer again on a new connection if OnBeforeRequest() rejected the reused one.
/// Nothing has been sent in this case.
bool CurlClient::RetryOnFreshConnection(Transfer& aTransfer, CURLcode aCode)
{
  if (aCode != CURLE_ABORTED_BY_CALLBACK || !aTransfer.rejectedStaleConnection ||
      Now() - aTransfer.started >= aTransfer.request.deadline) {
    return false;
  }
  StartAttempt(aTransfer);
  return true;
}

UpstreamResult CurlClient::MakeResult(Transfer& aTransfer, CURLcode aCode)
{
  long requestBytes = 0;
  long connects = 0;
  curl_off_t connectMicroseconds = 0;
  curl_easy_getinfo(aTransfer.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
  curl_easy_getinfo(aTransfer.easy, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo(aTransfer.easy, CURLINFO_CONNECT_TIME_T, &connectMicroseconds);
  UpstreamResult result;
  ResponseReader& response = aTransfer.response;
  // CURLINFO_REQUEST_SIZE covers all attempts that curl itself made in this transfer.
  result.maybeSent = requestBytes > 0;
  result.connectionReused = connects == 0 && result.maybeSent;
  result.connectTime = std::chrono::microseconds(connectMicroseconds);
  result.totalTime = Now() - aTransfer.started;
  result.status = response.Status();
  result.headers = response.TakeHeaders();
  // An upstream that ends its connection in the middle of an upload resets it, but the end of the
  // stream may arrive first. Then nothing tells whether the response is whole.
  curl_off_t uploaded = 0;
  curl_easy_getinfo(aTransfer.easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  const size_t bodyBytes = aTransfer.request.body ? aTransfer.request.body->size() : 0;
  const bool isSent = static_cast<size_t>(uploaded) >= bodyBytes;
  const bool hasKnownEnd =
    response.HasKnownLength() || (aTransfer.request.acceptClosedEnd && isSent);
  const bool isComplete = aCode == CURLE_OK && response.IsComplete() && hasKnownEnd;
  result.body = response.TakeBody();
  result.reservation = response.TakeReservation();
  if (!isComplete) {
    result.failure = ClassifyFailure(aCode,
                                     response,
                                     aTransfer.errorText.data(),
                                     result.maybeSent,
                                     result.totalTime >= aTransfer.request.deadline);
    result.detail = aTransfer.errorText[0] != '\0' ? std::string(aTransfer.errorText.data())
                    : aCode == CURLE_OK            ? std::string("response is not complete")
                                                   : std::string(curl_easy_strerror(aCode));
  }
  return result;
}

/// Keeps the easy handle for later transfers, which reuse its buffers and parsed options.
void CurlClient::Recycle(Transfer& aTransfer)
{
  curl_slist_free_all(std::exchange(aTransfer.headerList, nullptr));
  CURL* easy = std::exchange(aTransfer.easy, nullptr);
  if (idleHandles_.size() >= kMaxIdleHandles) {
    curl_easy_cleanup(easy);
    return;
  }
  // The handle must not point into the finished transfer.
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, nullptr);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, nullptr);
  curl_easy_setopt(easy, CURLOPT_DEBUGDATA, nullptr);
  idleHandles_.push_back(easy);
}

/// Owns the client for the user. The client itself may live longer while one of its functions runs.
class ClientOwner : public UpstreamClient
{
public:
  ClientOwner(EventLoop& aLoop, std::shared_ptr<CurlClient> aClient)
    : loop_(aLoop)
    , client_(std::move(aClient))
  {
  }
  ~ClientOwner() override { client_->Stop(); }
  ClientOwner(const ClientOwner&) = delete;
  ClientOwner& operator=(const ClientOwner&) = delete;

  uint64_t Send(UpstreamRequest aRequest, Callback aCallback) override
  {
    return client_->Send(std::move(aRequest), std::move(aCallback));
  }
  void Cancel(uint64_t aTransferId) override { client_->Cancel(aTransferId); }
  void Probe(const std::string& aAddress,
             uint16_t aPort,
             Duration aTimeout,
             std::function<void(ProbeResult)> aCallback) override
  {
    detail::ProbeConnection(loop_, aAddress, aPort, aTimeout, std::move(aCallback));
  }
  UpstreamClientStats Stats() const override { return client_->Stats(); }

private:
  EventLoop& loop_;
  std::shared_ptr<CurlClient> client_;
};

} // namespace

std::unique_ptr<UpstreamClient> CreateCurlUpstreamClient(const UpstreamClientInit& aInit)
{
  static const CURLcode kGlobalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kGlobalInit != CURLE_OK) {
    Log(LogLevel::Error, "curl_init_failed", { { "code", static_cast<int>(kGlobalInit) } });
  }
  return std::make_unique<ClientOwner>(*aInit.loop, std::make_shared<CurlClient>(aInit));
}

} // namespace bg
