#include "http_server.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/signal_set.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <set>

namespace bg::support {

using asio::ip::tcp;

bool HeaderLess::operator()(const std::string& aLeft, const std::string& aRight) const
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
}

std::string HttpRequest::Header(const std::string& aName) const
{
  const auto found = headers.find(aName);
  return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::Query(const std::string& aName, const std::string& aDefault) const
{
  const auto found = query.find(aName);
  return found == query.end() ? aDefault : found->second;
}

namespace {

std::string PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded.push_back(
        static_cast<char>(std::strtol(std::string(aText.substr(i + 1, 2)).c_str(), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return decoded;
}

void SplitTarget(HttpRequest& aRequest)
{
  const std::string_view target = aRequest.target;
  const size_t mark = target.find('?');
  aRequest.path = target.substr(0, mark);
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    aRequest.query[PercentDecode(pair.substr(0, equals))] =
      equals == std::string_view::npos ? "" : PercentDecode(pair.substr(equals + 1));
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
}

const char* Reason(int aStatus)
{
  switch (aStatus) {
#define BG_STATUS(aNumber, aName, aText)                                                           \
  case aNumber:                                                                                    \
    return #aText;
    HTTP_STATUS_MAP(BG_STATUS)
#undef BG_STATUS
  }
  return "Unknown";
}

class Server;
class Exchange;

/// One accepted connection. It reads on while a request is handled, so that it notices a caller
/// that closes.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, Server& aServer)
    : socket_(std::move(aSocket))
    , server_(&aServer)
  {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    std::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void Read();
  void Write(std::string aBytes, bool aKeepAlive, bool aReset);
  void Shutdown(bool aReset);
  TimePoint AcceptedAt() const { return acceptedAt_; }
  bool Writing() const { return writing_; }

private:
  static const http_parser_settings& Settings();
  static Connection& From(http_parser* aParser) { return *static_cast<Connection*>(aParser->data); }
  void Consume();
  void Dispatch();

  tcp::socket socket_;
  Server* server_;
  http_parser parser_{};
  TimePoint acceptedAt_ = Now();
  std::array<char, 16384> buffer_{};
  std::string unparsed_;
  HttpRequest request_;
  std::string field_;
  bool complete_ = false;
  bool fieldEnded_ = false;
  bool closed_ = false;
  bool writing_ = false;
  std::shared_ptr<Exchange> exchange_;
};

class Exchange : public HttpExchange
{
public:
  Exchange(std::shared_ptr<Connection> aConnection, HttpRequest aRequest, bool aKeepAlive)
    : connection_(std::move(aConnection))
    , request_(std::move(aRequest))
    , keepAlive_(aKeepAlive)
  {
  }

  const HttpRequest& Request() const override { return request_; }
  Duration ConnectionAge() const override
  {
    return connection_ ? Now() - connection_->AcceptedAt() : Duration(0);
  }
  bool Ended() const override { return !connection_; }

  void Respond(HttpResponse aResponse) override
  {
    const bool keepAlive = keepAlive_ && !aResponse.close;
    aResponse.close = !keepAlive;
    Finish(Serialize(aResponse, request_.method == "HEAD"), keepAlive, false);
  }
  void SendRawAndClose(std::string aBytes) override { Finish(std::move(aBytes), false, false); }
  void RespondAndReset(HttpResponse aResponse) override
  {
    Finish(Serialize(aResponse, request_.method == "HEAD"), false, true);
  }
  void Close() override { End(false); }
  void Reset() override { End(true); }
  void OnClosed(std::function<void()> aCallback) override { onClosed_ = std::move(aCallback); }

  void Closed()
  {
    connection_.reset();
    if (auto callback = std::exchange(onClosed_, nullptr)) {
      callback();
    }
  }

private:
  void Finish(std::string aBytes, bool aKeepAlive, bool aReset)
  {
    onClosed_ = nullptr;
    if (auto connection = std::exchange(connection_, nullptr)) {
      connection->Write(std::move(aBytes), aKeepAlive, aReset);
    }
  }
  void End(bool aReset)
  {
    onClosed_ = nullptr;
    if (auto connection = std::exchange(connection_, nullptr)) {
      connection->Shutdown(aReset);
    }
  }

  std::shared_ptr<Connection> connection_;
  HttpRequest request_;
  bool keepAlive_;
  std::function<void()> onClosed_;
};

class Server : public HttpServer
{
public:
  explicit Server(HttpServerInit aInit)
    : init_(std::move(aInit))
    , acceptor_(init_.loop->Context(), tcp::endpoint(asio::ip::address_v4::loopback(), init_.port))
  {
    Accept();
  }
  ~Server() override { CloseAll(false); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t Port() const override { return acceptor_.local_endpoint().port(); }
  void StopAccepting() override { acceptor_.close(); }
  size_t Connections() const override { return connections_.size(); }
  size_t PendingWrites() const override
  {
    return std::count_if(connections_.begin(), connections_.end(), [](const auto& aConnection) {
      return aConnection->Writing();
    });
  }
  void Abort() override
  {
    acceptor_.close();
    CloseAll(true);
  }

  void Handle(std::shared_ptr<HttpExchange> aExchange) { init_.handler(std::move(aExchange)); }
  void Remove(const std::shared_ptr<Connection>& aConnection) { connections_.erase(aConnection); }

private:
  void CloseAll(bool aReset)
  {
    const auto connections = connections_;
    for (const auto& connection : connections) {
      connection->Shutdown(aReset);
    }
  }

  void Accept()
  {
    acceptor_.async_accept(
      [this, alive = std::weak_ptr(alive_)](const std::error_code& aError, tcp::socket aSocket) {
        // A completed accept may still be queued when the server is destroyed.
        if (alive.expired() || aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          auto connection = std::make_shared<Connection>(std::move(aSocket), *this);
          connections_.insert(connection);
          connection->Read();
        }
        if (acceptor_.is_open()) {
          Accept();
        }
      });
  }

  HttpServerInit init_;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

const http_parser_settings& Connection::Settings()
{
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      From(aParser).request_.target.append(aBytes, aSize);
      return 0;
    };
    s.on_header_field = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      Connection& self = From(aParser);
      if (std::exchange(self.fieldEnded_, false)) {
        self.field_.clear();
      }
      self.field_.append(aBytes, aSize);
      return 0;
    };
    s.on_header_value = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      Connection& self = From(aParser);
      self.fieldEnded_ = true;
      self.request_.headers[self.field_].append(aBytes, aSize);
      return 0;
    };
    s.on_body = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      From(aParser).request_.body.append(aBytes, aSize);
      return 0;
    };
    s.on_message_complete = [](http_parser* aParser) {
      From(aParser).complete_ = true;
      http_parser_pause(aParser, 1);
      return 0;
    };
    return s;
  }();
  return settings;
}

void Connection::Read()
{
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](const std::error_code& aError, size_t aSize) {
                            if (self->closed_) {
                              return;
                            }
                            if (aError) {
                              self->Shutdown(false);
                              return;
                            }
                            self->unparsed_.append(self->buffer_.data(), aSize);
                            self->Consume();
                            if (!self->closed_) {
                              self->Read();
                            }
                          });
}

void Connection::Consume()
{
  if (exchange_ || closed_ || writing_ || unparsed_.empty()) {
    return;
  }
  const size_t used =
    http_parser_execute(&parser_, &Settings(), unparsed_.data(), unparsed_.size());
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  unparsed_.erase(0, used);
  if (error != HPE_OK && error != HPE_PAUSED) {
    Write(Serialize(HttpResponse{ .status = 400, .headers = {}, .body = {}, .close = true }, false),
          false,
          false);
    return;
  }
  if (complete_) {
    Dispatch();
  }
}

void Connection::Dispatch()
{
  const bool keepAlive = http_should_keep_alive(&parser_) != 0;
  http_parser_pause(&parser_, 0);
  complete_ = false;
  fieldEnded_ = false;
  field_.clear();
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  SplitTarget(request_);
  exchange_ =
    std::make_shared<Exchange>(shared_from_this(), std::exchange(request_, {}), keepAlive);
  server_->Handle(exchange_);
}

void Connection::Write(std::string aBytes, bool aKeepAlive, bool aReset)
{
  auto bytes = std::make_shared<std::string>(std::move(aBytes));
  writing_ = true;
  asio::async_write(
    socket_,
    asio::buffer(*bytes),
    [self = shared_from_this(), bytes, aKeepAlive, aReset](const std::error_code& aError, size_t) {
      if (self->closed_) {
        return;
      }
      self->writing_ = false;
      self->exchange_.reset();
      if (aError || !aKeepAlive) {
        self->Shutdown(aReset);
        return;
      }
      self->Consume();
    });
}

void Connection::Shutdown(bool aReset)
{
  if (std::exchange(closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  std::error_code ignored;
  if (aReset) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  } else {
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  socket_.close(ignored);
  server_->Remove(self);
  if (auto exchange = std::exchange(exchange_, nullptr)) {
    exchange->Closed();
  }
}

} // namespace

std::string Serialize(const HttpResponse& aResponse, bool aHead)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aResponse.status) + ' ' + Reason(aResponse.status) + "\r\n";
  for (const auto& [name, value] : aResponse.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (aResponse.headers.count("Content-Length") == 0 &&
      aResponse.headers.count("Transfer-Encoding") == 0) {
    text += "Content-Length: " + std::to_string(aResponse.body.size()) + "\r\n";
  }
  if (aResponse.close) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return aHead ? text : text + aResponse.body;
}

std::unique_ptr<HttpServer> CreateHttpServer(HttpServerInit aInit)
{
  return std::make_unique<Server>(std::move(aInit));
}

void OnTerminate(EventLoop& aLoop, std::function<void()> aCallback)
{
  auto signals = std::make_shared<asio::signal_set>(aLoop.Context(), SIGTERM, SIGINT);
  signals->async_wait(
    [signals, callback = std::move(aCallback)](const std::error_code& aError, int) {
      if (!aError) {
        callback();
      }
    });
}

void PrintListening(uint16_t aPort)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::printf("listening port=%u\n", aPort);
  std::fflush(stdout);
}

} // namespace bg::support
