#include "http_client.h"

#include <http_parser.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace bg::support {

using asio::ip::tcp;

namespace {

class ClientConnection
  : public HttpConnection
  , public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(EventLoop& aLoop, const std::string& aAddress, uint16_t aPort)
    : socket_(aLoop.Context())
    , endpoint_(asio::ip::make_address(aAddress), aPort)
  {
  }

  void Send(std::string aBytes, bool aHead, Callback aCallback) override
  {
    request_ = std::move(aBytes);
    head_ = aHead;
    callback_ = std::move(aCallback);
    result_ = {};
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    complete_ = false;
    fieldEnded_ = false;
    field_.clear();
    if (connected_) {
      Write();
    } else {
      Connect();
    }
  }

  bool Usable() const override { return !closed_ && !callback_; }
  bool Reused() const override { return responses_ > 0; }

  void Close() override
  {
    if (!std::exchange(closed_, true)) {
      std::error_code ignored;
      socket_.close(ignored);
    }
  }

private:
  static ClientConnection& From(http_parser* aParser)
  {
    return *static_cast<ClientConnection*>(aParser->data);
  }
  static const http_parser_settings& Settings();

  void Connect()
  {
    socket_.async_connect(endpoint_, [self = shared_from_this()](const std::error_code& aError) {
      if (aError || self->closed_) {
        self->Finish(ClientOutcome::ConnectFailed);
        return;
      }
      std::error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->Read();
      self->Write();
    });
  }

  void Write()
  {
    asio::async_write(
      socket_, asio::buffer(request_), [self = shared_from_this()](const std::error_code&, size_t) {
        // A failed write also ends the read, which reports the outcome.
      });
  }

  /// Reads also while idle, to notice a connection that the peer closes.
  void Read()
  {
    socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const std::error_code& aError, size_t aSize) {
        self->Consume(aError, aSize);
      });
  }

  void Consume(const std::error_code& aError, size_t aSize)
  {
    if (!callback_) {
      Close();
      return;
    }
    if (aError == asio::error::eof && started_) {
      // Ends a body without a stated length.
      http_parser_execute(&parser_, &Settings(), buffer_.data(), 0);
    } else if (!aError) {
      started_ = true;
      const size_t used = http_parser_execute(&parser_, &Settings(), buffer_.data(), aSize);
      const auto error = HTTP_PARSER_ERRNO(&parser_);
      if (error != HPE_PAUSED && (error != HPE_OK || used != aSize)) {
        Finish(ClientOutcome::Invalid);
        return;
      }
    }
    if (complete_) {
      FinishComplete(!aError);
    } else if (aError) {
      Finish(started_ ? ClientOutcome::Truncated : ClientOutcome::Broken);
    } else {
      Read();
    }
  }

  void FinishComplete(bool aOpen)
  {
    http_parser_pause(&parser_, 0);
    const bool reusable = aOpen && !closed_ && http_should_keep_alive(&parser_) != 0;
    started_ = false;
    if (reusable) {
      ++responses_;
      Read();
    } else {
      Close();
    }
    result_.status = parser_.status_code;
    if (auto callback = std::exchange(callback_, nullptr)) {
      callback(std::move(result_));
    }
  }

  void Finish(ClientOutcome aOutcome)
  {
    Close();
    result_.outcome = aOutcome;
    result_.status = aOutcome == ClientOutcome::Truncated ? parser_.status_code : 0;
    if (auto callback = std::exchange(callback_, nullptr)) {
      callback(std::move(result_));
    }
  }

  tcp::socket socket_;
  tcp::endpoint endpoint_;
  std::array<char, 16384> buffer_{};
  http_parser parser_{};
  std::string request_;
  std::string field_;
  ClientResult result_;
  Callback callback_;
  uint64_t responses_ = 0;
  bool head_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool started_ = false;
  bool complete_ = false;
  bool fieldEnded_ = false;
};

const http_parser_settings& ClientConnection::Settings()
{
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      ClientConnection& self = From(aParser);
      if (std::exchange(self.fieldEnded_, false)) {
        self.field_.clear();
      }
      self.field_.append(aBytes, aSize);
      return 0;
    };
    s.on_header_value = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      ClientConnection& self = From(aParser);
      self.fieldEnded_ = true;
      self.result_.headers[self.field_].append(aBytes, aSize);
      return 0;
    };
    s.on_headers_complete = [](http_parser* aParser) { return From(aParser).head_ ? 1 : 0; };
    s.on_body = [](http_parser* aParser, const char* aBytes, size_t aSize) {
      From(aParser).result_.body.append(aBytes, aSize);
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

} // namespace

std::shared_ptr<HttpConnection> CreateHttpConnection(EventLoop& aLoop,
                                                     const std::string& aAddress,
                                                     uint16_t aPort)
{
  return std::make_shared<ClientConnection>(aLoop, aAddress, aPort);
}

} // namespace bg::support
