// Standard headers come before Asio, which otherwise misses aligned_alloc and then frees memory of
// other files with the wrong function.
#include <unordered_map>

#include <restinio/http_server.hpp>
#include <sys/socket.h>

#include "httpd_p.h"

namespace bg {

namespace {

using namespace detail;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// State that replies and connections may outlive the server with.
struct Shared
{
  HttpServerInit init;
  HttpServerStats stats;
  bool stopping = false;
  bool closed = false;
  /// Replies that wait for their handler, by connection.
  std::unordered_multimap<uint64_t, std::weak_ptr<class RestinioReply>> pending;
};

void ConnectionClosed(Shared& aShared, uint64_t aConnection);

class Listener
{
public:
  explicit Listener(std::weak_ptr<Shared> aShared)
    : shared_(std::move(aShared))
  {
  }

  void state_changed(const restinio::connection_state::notice_t& aNotice) noexcept // NOLINT
  {
    const auto shared = shared_.lock();
    if (!shared) {
      return;
    }
    if (std::holds_alternative<restinio::connection_state::accepted_t>(aNotice.cause())) {
      ++shared->stats.connections;
    } else if (std::holds_alternative<restinio::connection_state::closed_t>(aNotice.cause())) {
      --shared->stats.connections;
      ConnectionClosed(*shared, aNotice.connection_id());
    }
  }

private:
  std::weak_ptr<Shared> shared_;
};

struct Traits : restinio::default_single_thread_traits_t
{
  using connection_state_listener_t = Listener; // NOLINT
};

class RestinioReply : public HttpReply
{
public:
  RestinioReply(std::shared_ptr<Shared> aShared, restinio::request_handle_t aRequest)
    : shared_(std::move(aShared))
    , request_(std::move(aRequest))
  {
    ++shared_->stats.inFlight;
  }

  ~RestinioReply() override
  {
    // Without this a handler that forgets to answer would hold the caller until its timeout.
    RestinioReply::Abort();
  }

  RestinioReply(const RestinioReply&) = delete;
  RestinioReply& operator=(const RestinioReply&) = delete;

  void Send(HttpResponse aResponse) override
  {
    if (done_) {
      return;
    }
    Finish();
    const bool head = request_->header().method() == restinio::http_method_head();
    auto response =
      request_->create_response<restinio::user_controlled_output_t>(restinio::http_status_line_t{
        restinio::http_status_code_t{ static_cast<uint16_t>(aResponse.status) },
        std::string(ReasonPhrase(aResponse.status)) });
    for (const HttpHeader& header : aResponse.headers) {
      if (!IsServerField(header.name) && !CheckField(header.name, header.value)) {
        response.append_header(header.name, header.value);
      }
    }
    if (shared_->stopping || !request_->header().should_keep_alive()) {
      response.connection_close();
    }
    response.set_content_length(aResponse.body.size());
    if (!head) {
      response.set_body(std::move(aResponse.body));
    }
    response.done();
  }

  void Abort() override
  {
    if (done_) {
      return;
    }
    Finish();
    // RESTinio has no call that closes a connection without a response.
    request_->create_response(restinio::status_internal_server_error()).connection_close().done();
  }

  void OnCallerGone(std::function<void()> aCallback) override { onGone_ = std::move(aCallback); }

  void CallerGone()
  {
    if (done_) {
      return;
    }
    Finish();
    if (const auto callback = std::exchange(onGone_, nullptr)) {
      callback();
    }
  }

private:
  void Finish()
  {
    done_ = true;
    --shared_->stats.inFlight;
  }

  std::shared_ptr<Shared> shared_;
  restinio::request_handle_t request_;
  std::function<void()> onGone_;
  bool done_ = false;
};

void ConnectionClosed(Shared& aShared, uint64_t aConnection)
{
  std::vector<std::shared_ptr<RestinioReply>> replies;
  const auto [first, last] = aShared.pending.equal_range(aConnection);
  for (auto it = first; it != last; ++it) {
    if (auto reply = it->second.lock()) {
      replies.push_back(std::move(reply));
    }
  }
  aShared.pending.erase(first, last);
  for (const auto& reply : replies) {
    reply->CallerGone();
  }
}

/// Drops entries of replies that were sent.
void RemoveFinished(Shared& aShared, uint64_t aConnection)
{
  const auto [first, last] = aShared.pending.equal_range(aConnection);
  for (auto it = first; it != last;) {
    it = it->second.expired() ? aShared.pending.erase(it) : std::next(it);
  }
}

HttpRequest ToRequest(const restinio::request_t& aRequest)
{
  HttpRequest request;
  request.method = aRequest.header().method().c_str();
  request.target = aRequest.header().request_target();
  aRequest.header().for_each_field([&](const auto& aField) {
    request.headers.push_back({ aField.name(), aField.value() });
  });
  request.body = std::make_shared<const std::string>(aRequest.body());
  request.remoteAddress = aRequest.remote_endpoint().address().to_string();
  return request;
}

restinio::request_handling_status_t Handle(const std::shared_ptr<Shared>& aShared,
                                           const restinio::request_handle_t& aRequest)
{
  if (aShared->closed) {
    return restinio::request_rejected();
  }
  HttpRequest request = ToRequest(*aRequest);
  auto reply = std::make_shared<RestinioReply>(aShared, aRequest);
  if (const auto refusal = CheckHead({ request.method, request.target, request.headers })) {
    ++aShared->stats.rejected;
    LogRefusal(*refusal, request.remoteAddress);
    reply->Send(MakeRefusal(*refusal, request.headers));
    return restinio::request_accepted();
  }
  ++aShared->stats.requests;
  RemoveFinished(*aShared, aRequest->connection_id());
  aShared->pending.emplace(aRequest->connection_id(), reply);
  aShared->init.handler(std::move(request), std::move(reply));
  return restinio::request_accepted();
}

class RestinioServer : public HttpServer
{
public:
  explicit RestinioServer(HttpServerInit aInit)
    : shared_(std::make_shared<Shared>())
    , server_(restinio::external_io_context(aInit.loop->Context()), MakeSettings(aInit))
  {
    shared_->init = std::move(aInit);
    server_.open_sync();
  }

  ~RestinioServer() override
  {
    shared_->stopping = true;
    shared_->closed = true;
    shared_->init.handler = nullptr;
  }

  RestinioServer(const RestinioServer&) = delete;
  RestinioServer& operator=(const RestinioServer&) = delete;

  uint16_t Port() const override { return port_; }

  void StopAccepting() override
  {
    shared_->stopping = true;
    server_.close_sync();
  }

  HttpServerStats Stats() const override { return shared_->stats; }

  size_t Unfinished() const override { return shared_->stats.inFlight; }

  void RefuseIncomplete() override {} // It has no access to them.

  void CloseAfterResponses() override { shared_->stopping = true; }

  void SetLimits(const HttpLimits&) override
  {
    Log(LogLevel::Warning, "limits_ignored", { { "reason", "fixed for the life of the server" } });
  }

private:
  restinio::server_settings_t<Traits> MakeSettings(const HttpServerInit& aInit)
  {
    restinio::server_settings_t<Traits> settings;
    settings.address(aInit.address)
      .port(aInit.port)
      .connection_state_listener(std::make_shared<Listener>(shared_))
      .acceptor_options_setter([reuse = aInit.reusePort](restinio::acceptor_options_t& aOptions) {
        aOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        if (reuse) {
          aOptions.set_option(ReusePort(true));
        }
      })
      .acceptor_post_bind_hook(
        [this](asio::ip::tcp::acceptor& aAcceptor) { port_ = aAcceptor.local_endpoint().port(); })
      .socket_options_setter([](restinio::socket_options_t& aOptions) {
        aOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      // A second read must be possible while a request is handled, otherwise a caller that goes
      // away is not noticed.
      .max_pipelined_requests(2)
      .read_next_http_message_timelimit(aInit.idleTimeout)
      .handle_request_timeout(std::chrono::hours(1))
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}.max_body_size(aInit.maxBodyBytes))
      .request_handler([shared = shared_](const restinio::request_handle_t& aRequest) {
        return Handle(shared, aRequest);
      });
    return settings;
  }

  uint16_t port_ = 0;
  std::shared_ptr<Shared> shared_;
  restinio::http_server_t<Traits> server_;
};

} // namespace

namespace detail {

Result<std::unique_ptr<HttpServer>> CreateRestinioServer(HttpServerInit aInit)
{
  const std::string peer = aInit.address + ":" + std::to_string(aInit.port);
  try {
    return std::unique_ptr<HttpServer>(std::make_unique<RestinioServer>(std::move(aInit)));
  } catch (const std::exception& error) {
    return Error{ Errc::Unavailable, "http.bind", peer, error.what() };
  }
}

} // namespace detail

} // namespace bg
