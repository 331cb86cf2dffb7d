#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "boragegauge/framing.h"
#include "platform_p.h"

namespace bg {

namespace {

using namespace detail;

/// Maximum response body in bytes; fits the largest configuration with its JSON escapes.
constexpr size_t kMaxReplyBytes = 4 * kMaxConfigurationBytes;

/// Maximum concurrent calls. Further calls wait for a connection; the wait counts towards their
/// deadline.
constexpr long kMaxConnections = 32;

/// Result of one HTTP exchange.
struct Reply
{
  CURLcode code = CURLE_OK;
  bool maybeSent = false;  ///< Request bytes may have reached the platform.
  bool isComplete = false; ///< See ResponseReader::IsComplete().
  bool hasLength = false;  ///< See ResponseReader::HasKnownLength().
  ResponseReader::Problem problem = ResponseReader::Problem::None;
  long status = 0;
  std::string body;
  std::string detail; ///< Error text of libcurl.
};

struct Call
{
  std::string step; ///< Reported as Error::step.
  std::string method;
  std::string pathAndQuery;
  std::string body;
  TimePoint deadline;
  bool allowResend = true; ///< libcurl may send the request again if a reused connection is dead.
  std::function<void(Reply)> finish;
  Reply reply;
  ResponseReader response;
  CURL* easy = nullptr;
  std::array<char, CURL_ERROR_SIZE> errorText{};
};

size_t OnHeader(char* aData, size_t aSize, size_t aCount, void* aCall)
{
  const size_t bytes = aSize * aCount;
  return static_cast<Call*>(aCall)->response.AddHeaderLine({ aData, bytes }) ? bytes : 0;
}

size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aCall)
{
  const size_t bytes = aSize * aCount;
  return static_cast<Call*>(aCall)->response.AddBody({ aData, bytes }) ? bytes : 0;
}

long MillisecondsLeft(TimePoint aDeadline)
{
  return std::max<long>(1, std::chrono::ceil<Milliseconds>(aDeadline - Now()).count());
}

/// Returns the error of a failed exchange or of an error status. Status 409 is not an error: a
/// condition of the commit failed.
std::optional<Error> GetError(const Reply& aReply)
{
  const auto makeError = [&](Errc aCode, std::string aDetail) {
    return Error{ aCode, {}, {}, std::move(aDetail) };
  };
  if (aReply.problem == ResponseReader::Problem::TooLarge) {
    return makeError(Errc::TooLarge, "response is too large");
  }
  if (aReply.problem == ResponseReader::Problem::Malformed) {
    return makeError(Errc::Unavailable, "response is malformed");
  }
  if (aReply.code != CURLE_OK) {
    const bool isTimeout = aReply.code == CURLE_OPERATION_TIMEDOUT;
    return makeError(isTimeout ? Errc::Timeout : Errc::Unavailable, aReply.detail);
  }
  if (!aReply.hasLength || !aReply.isComplete) {
    return makeError(Errc::Unavailable, "response may be incomplete");
  }
  const std::string detail = "status " + std::to_string(aReply.status);
  switch (aReply.status) {
    case 200:
    case 204:
    case 409:
      return std::nullopt;
    case 404:
      return makeError(Errc::NotFound, detail);
    default:
      return makeError(
        aReply.status >= 400 && aReply.status < 500 ? Errc::Refused : Errc::Unavailable, detail);
  }
}

/// Runs HTTP calls on a background thread.
class CallThread
{
public:
  explicit CallThread(std::string aOrigin)
    : origin_(std::move(aOrigin))
    , multi_(curl_multi_init())
  {
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, kMaxConnections);
    thread_ = std::thread([this] { Run(); });
  }

  /// Drops unfinished calls without calling Call::finish.
  ~CallThread()
  {
    stop_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (auto& [easy, call] : active_) {
      curl_multi_remove_handle(multi_, easy);
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
  }

  CallThread(const CallThread&) = delete;
  CallThread& operator=(const CallThread&) = delete;

  void Submit(std::unique_ptr<Call> aCall)
  {
    {
      const std::lock_guard lock(mutex_);
      submitted_.push_back(std::move(aCall));
    }
    curl_multi_wakeup(multi_);
  }

private:
  void Run()
  {
    while (!stop_) {
      StartSubmitted();
      int running = 0;
      curl_multi_perform(multi_, &running);
      ReadMessages();
      // Submit() and the destructor interrupt the wait; curl shortens it to its next timeout.
      curl_multi_poll(multi_, nullptr, 0, 1000, nullptr);
    }
  }

  void StartSubmitted()
  {
    std::vector<std::unique_ptr<Call>> calls;
    {
      const std::lock_guard lock(mutex_);
      calls.swap(submitted_);
    }
    for (auto& call : calls) {
      if (Now() >= call->deadline) {
        call->reply.code = CURLE_OPERATION_TIMEDOUT;
        call->reply.detail = "deadline has passed";
        call->finish(std::move(call->reply));
        continue;
      }
      SetOptions(*call);
      curl_multi_add_handle(multi_, call->easy);
      active_.emplace(call->easy, std::move(call));
    }
  }

  void SetOptions(Call& aCall)
  {
    CURL* easy = aCall.easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, (origin_ + aCall.pathAndQuery).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, MillisecondsLeft(aCall.deadline));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, MillisecondsLeft(aCall.deadline));
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, aCall.errorText.data());
    aCall.response.Start(false, kMaxReplyBytes, nullptr, nullptr);
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L); // ResponseReader decodes.
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aCall);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aCall);
    if (aCall.method != "GET") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, aCall.body.data());
      curl_easy_setopt(
        easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aCall.body.size()));
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, aCall.method.c_str());
      curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headerList_);
    }
    // If a reused connection is dead, libcurl itself sends the request again on a new one.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, aCall.allowResend ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, aCall.allowResend ? 0L : 1L);
  }

  void ReadMessages()
  {
    int messagesLeft = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &messagesLeft)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const auto found = active_.find(message->easy_handle);
      const std::unique_ptr<Call> call = std::move(found->second);
      active_.erase(found);
      Finish(*call, message->data.result);
    }
  }

  void Finish(Call& aCall, CURLcode aCode)
  {
    Reply& reply = aCall.reply;
    long requestBytes = 0;
    curl_easy_getinfo(aCall.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    reply.status = aCall.response.Status();
    reply.isComplete = aCall.response.IsComplete();
    reply.hasLength = aCall.response.HasKnownLength();
    reply.problem = aCall.response.Failure();
    reply.body = aCall.response.TakeBody();
    reply.code = aCode;
    reply.maybeSent = requestBytes > 0;
    reply.detail = aCall.errorText[0] != '\0' ? aCall.errorText.data() : curl_easy_strerror(aCode);
    curl_multi_remove_handle(multi_, aCall.easy);
    curl_easy_cleanup(aCall.easy);
    aCall.finish(std::move(reply));
  }

  /// Removes the Expect field, which would delay the body by up to 1 s.
  static curl_slist* MakeHeaderList()
  {
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    return curl_slist_append(headers, "Content-Type: application/octet-stream");
  }

  struct HeaderListDeleter
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  std::string origin_;
  CURLM* multi_;
  std::unique_ptr<curl_slist, HeaderListDeleter> headerListOwner_{ MakeHeaderList() };
  curl_slist* headerList_ = headerListOwner_.get();
  std::mutex mutex_;
  std::vector<std::unique_ptr<Call>> submitted_;
  std::unordered_map<CURL*, std::unique_ptr<Call>> active_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

class HttpPlatform : public Platform
{
public:
  explicit HttpPlatform(HttpPlatformInit aInit)
    : peer_(aInit.address + ":" + std::to_string(aInit.port))
    , post_(std::move(aInit.post))
    , calls_(MakeOrigin(aInit))
  {
  }

  ~HttpPlatform() override { *isAlive_ = false; }
  HttpPlatform(const HttpPlatform&) = delete;
  HttpPlatform& operator=(const HttpPlatform&) = delete;

  void Commit(CommitRequest aRequest, Duration aDeadline, Callback<CommitReply> aCallback) override;
  void ReadRow(std::string_view aKey, Duration aDeadline, Callback<RowReply> aCallback) override;
  void Scan(std::string_view aPrefix, Duration aDeadline, Callback<ScanReply> aCallback) override;
  void PutObject(std::string_view aName,
                 std::string aBytes,
                 Duration aDeadline,
                 Callback<bool> aCallback) override;
  void GetObject(std::string_view aName,
                 Duration aDeadline,
                 Callback<std::string> aCallback) override;
  void ListObjects(std::string_view aPrefix,
                   Duration aDeadline,
                   Callback<std::vector<std::string>> aCallback) override;
  void ListHosts(Duration aDeadline, Callback<std::vector<HostEntry>> aCallback) override;

private:
  static std::string MakeOrigin(const HttpPlatformInit& aInit)
  {
    const bool isIpv6 = aInit.address.find(':') != std::string::npos;
    return "http://" + (isIpv6 ? "[" + aInit.address + "]" : aInit.address) + ":" +
           std::to_string(aInit.port);
  }

  static std::unique_ptr<Call> MakeCall(std::string aStep,
                                        std::string aMethod,
                                        std::string aPathAndQuery,
                                        Duration aDeadline)
  {
    auto call = std::make_unique<Call>();
    call->step = std::move(aStep);
    call->method = std::move(aMethod);
    call->pathAndQuery = std::move(aPathAndQuery);
    call->deadline = Now() + aDeadline;
    return call;
  }

  /// Posts the callback to the owner's thread; it does not run if this object has been destroyed by
  /// then.
  template<typename T>
  void PostResult(const Callback<T>& aCallback, Result<T> aResult) const
  {
    post_([isAlive = isAlive_, callback = aCallback, result = std::move(aResult)]() mutable {
      if (*isAlive) {
        callback(std::move(result));
      }
    });
  }

  /// Starts the call. The decoder converts its reply to a result on the background thread; step and
  /// peer of an error are set here.
  template<typename T>
  void Submit(std::unique_ptr<Call> aCall,
              Callback<T> aCallback,
              std::function<Result<T>(Reply)> aDecoder)
  {
    aCall->finish = [this,
                     step = aCall->step,
                     callback = std::move(aCallback),
                     decoder = std::move(aDecoder)](Reply aReply) {
      Result<T> result = decoder(std::move(aReply));
      if (!result) {
        Error error = result.Failure();
        error.step = step;
        error.peer = peer_;
        result = std::move(error);
      }
      PostResult<T>(callback, std::move(result));
    };
    calls_.Submit(std::move(aCall));
  }

  /// Starts a read call whose response is JSON.
  template<typename T>
  void SubmitRead(std::unique_ptr<Call> aCall,
                  Callback<T> aCallback,
                  Result<T> (*aDecoder)(std::string_view))
  {
    Submit<T>(std::move(aCall), std::move(aCallback), [aDecoder](const Reply& aReply) {
      const auto error = GetError(aReply);
      return error ? Result<T>(*error) : aDecoder(aReply.body);
    });
  }

  std::string peer_;
  std::function<void(std::function<void()>)> post_;
  std::shared_ptr<std::atomic<bool>> isAlive_ = std::make_shared<std::atomic<bool>>(true);
  CallThread calls_; ///< Destroyed first, because its thread uses the other members.
};

/// Decodes the reply to a commit. Once request bytes may have been sent, every error becomes
/// OutcomeUnknown, except a 4xx status other than 408: the platform then refused the request.
Result<CommitReply> DecodeCommitReply(const Reply& aReply)
{
  std::optional<Error> error = GetError(aReply);
  if (!error) {
    Result<CommitReply> decoded = DecodeCommit(aReply.body);
    if (decoded && decoded->committed == (aReply.status == 200)) {
      return decoded;
    }
    error = decoded ? Error{ Errc::ProtocolViolation,
                             {},
                             {},
                             "HTTP status contradicts the field \"committed\"" }
                    : decoded.Failure();
  }
  const bool isRefused = aReply.code == CURLE_OK && aReply.status >= 400 && aReply.status < 500 &&
                         aReply.status != 409 && aReply.status != 408;
  if (aReply.maybeSent && !isRefused) {
    error->detail = error->code.message() + ": " + error->detail;
    error->code = Errc::OutcomeUnknown;
  }
  return *error;
}

void HttpPlatform::Commit(CommitRequest aRequest,
                          Duration aDeadline,
                          Callback<CommitReply> aCallback)
{
  auto call = MakeCall("table.commit", "POST", "/v1/table/commit", aDeadline);
  call->allowResend = false;
  try {
    call->body = EncodeCommit(aRequest);
  } catch (const std::exception& error) { // A key or value is not UTF-8.
    PostResult<CommitReply>(aCallback,
                            Error{ Errc::InvalidArgument, "table.commit", peer_, error.what() });
    return;
  }
  Submit<CommitReply>(std::move(call), std::move(aCallback), DecodeCommitReply);
}

void HttpPlatform::ReadRow(std::string_view aKey, Duration aDeadline, Callback<RowReply> aCallback)
{
  SubmitRead<RowReply>(
    MakeCall("table.read", "GET", "/v1/table/rows?key=" + UrlEncode(aKey), aDeadline),
    std::move(aCallback),
    DecodeRow);
}

void HttpPlatform::Scan(std::string_view aPrefix, Duration aDeadline, Callback<ScanReply> aCallback)
{
  SubmitRead<ScanReply>(
    MakeCall("table.scan", "GET", "/v1/table/scan?prefix=" + UrlEncode(aPrefix), aDeadline),
    std::move(aCallback),
    DecodeScan);
}

void HttpPlatform::PutObject(std::string_view aName,
                             std::string aBytes,
                             Duration aDeadline,
                             Callback<bool> aCallback)
{
  auto call = MakeCall("object.put", "PUT", "/v1/objects?name=" + UrlEncode(aName), aDeadline);
  call->body = std::move(aBytes);
  Submit<bool>(std::move(call), std::move(aCallback), [](const Reply& aReply) {
    const auto error = GetError(aReply);
    return error ? Result<bool>(*error) : Result<bool>(true);
  });
}

void HttpPlatform::GetObject(std::string_view aName,
                             Duration aDeadline,
                             Callback<std::string> aCallback)
{
  Submit<std::string>(
    MakeCall("object.get", "GET", "/v1/objects?name=" + UrlEncode(aName), aDeadline),
    std::move(aCallback),
    [](Reply aReply) {
      const auto error = GetError(aReply);
      return error ? Result<std::string>(*error) : Result<std::string>(std::move(aReply.body));
    });
}

void HttpPlatform::ListObjects(std::string_view aPrefix,
                               Duration aDeadline,
                               Callback<std::vector<std::string>> aCallback)
{
  SubmitRead<std::vector<std::string>>(
    MakeCall("object.list", "GET", "/v1/objects/list?prefix=" + UrlEncode(aPrefix), aDeadline),
    std::move(aCallback),
    DecodeNames);
}

void HttpPlatform::ListHosts(Duration aDeadline, Callback<std::vector<HostEntry>> aCallback)
{
  SubmitRead<std::vector<HostEntry>>(
    MakeCall("hosts.list", "GET", "/v1/hosts", aDeadline), std::move(aCallback), DecodeHosts);
}

} // namespace

std::unique_ptr<Platform> CreateHttpPlatform(HttpPlatformInit aInit)
{
  static const CURLcode kGlobalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kGlobalInit != CURLE_OK) {
    Log(LogLevel::Error, "curl_init_failed", { { "code", static_cast<int>(kGlobalInit) } });
  }
  return std::make_unique<HttpPlatform>(std::move(aInit));
}

} // namespace bg
