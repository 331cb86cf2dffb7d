// Standard headers come before Asio, which otherwise misses aligned_alloc and then frees memory of
// other files with the wrong function.
#include <array>

#include <arpa/inet.h>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <curl/curl.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "upstream_p.h"

namespace bg::detail {

namespace {

/// Returns the IP address as text and the port in host byte order.
std::pair<std::string, uint16_t> ParseAddress(const sockaddr* aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress->sa_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(aAddress);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(v6->sin6_port) };
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(aAddress);
  inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
  return { text.data(), ntohs(v4->sin_port) };
}

uint16_t GetLocalPort(int aSocket)
{
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  return ::getsockname(aSocket, generic, &size) == 0 ? ParseAddress(generic).second : 0;
}

class AsioSocketWatch
  : public SocketWatch
  , public std::enable_shared_from_this<AsioSocketWatch>
{
public:
  /// @param aSocket Number of curl. @param aDescriptor Of the same socket, to be owned.
  AsioSocketWatch(asio::io_context& aContext,
                  int aSocket,
                  int aDescriptor,
                  std::string aIp,
                  uint16_t aPort,
                  std::function<void(int, int)> aReady)
    : descriptor_(aContext, aDescriptor)
    , socket_(aSocket)
    , ip_(std::move(aIp))
    , port_(aPort)
    , onReady_(std::move(aReady))
  {
  }

  const std::string& Name() override
  {
    const uint16_t localPort = name_.empty() ? GetLocalPort(descriptor_.native_handle()) : 0;
    if (localPort != 0) {
      name_ = ConnectionName(ip_, port_, localPort);
    }
    return name_;
  }

  bool HasUnreadInput() override
  {
    char byte = 0;
    return ::recv(descriptor_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Does not cancel a pending wait that curl no longer needs; OnReady() ignores its event.
  void SetInterest(int aWhat) override
  {
    interest_ = aWhat == CURL_POLL_REMOVE ? 0 : aWhat;
    StartWaits();
  }

  bool IsGivenUp() override
  {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    const bool isConnected =
      ::getpeername(descriptor_.native_handle(), reinterpret_cast<sockaddr*>(&address), &size) == 0;
    return !isConnected || ::fcntl(socket_, F_GETFD) < 0;
  }

  void Close() override
  {
    isClosed_ = true;
    std::error_code ignored; // Nothing was written through this descriptor.
    descriptor_.close(ignored);
  }

private:
  using Descriptor = asio::posix::stream_descriptor;

  void StartWaits()
  {
    if (isClosed_) {
      return;
    }
    if ((interest_ & CURL_POLL_IN) != 0 && !isReadPending_) {
      isReadPending_ = true;
      Wait(Descriptor::wait_read, CURL_CSELECT_IN, &AsioSocketWatch::isReadPending_);
    }
    if ((interest_ & CURL_POLL_OUT) != 0 && !isWritePending_) {
      isWritePending_ = true;
      Wait(Descriptor::wait_write, CURL_CSELECT_OUT, &AsioSocketWatch::isWritePending_);
    }
  }

  void Wait(Descriptor::wait_type aType, int aEvent, bool AsioSocketWatch::*aFlag)
  {
    descriptor_.async_wait(
      aType, [self = shared_from_this(), aEvent, aFlag](const std::error_code& aError) {
        (*self).*aFlag = false;
        if (!aError) {
          self->OnReady(aEvent);
        }
      });
  }

  void OnReady(int aEvent)
  {
    const int wanted = aEvent == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
    if (isClosed_ || (interest_ & wanted) == 0) {
      return;
    }
    onReady_(socket_, aEvent);
    StartWaits();
  }

  Descriptor descriptor_;
  int socket_; ///< Number of curl, not to be closed here.
  std::string ip_;
  uint16_t port_;
  std::string name_;
  std::function<void(int, int)> onReady_;
  int interest_ = 0;
  bool isReadPending_ = false;
  bool isWritePending_ = false;
  bool isClosed_ = false;
};

} // namespace

std::string ConnectionName(std::string_view aIp, int aPort, int aLocalPort)
{
  std::string name(aIp);
  name += ' ';
  name += std::to_string(aPort);
  name += ' ';
  name += std::to_string(aLocalPort);
  return name;
}

std::shared_ptr<SocketWatch> WatchSocket(asio::io_context& aContext,
                                         int aSocket,
                                         const sockaddr* aPeer,
                                         std::function<void(int, int)> aReady)
{
  const int descriptor = ::fcntl(aSocket, F_DUPFD_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  auto [ip, port] = ParseAddress(aPeer);
  return std::make_shared<AsioSocketWatch>(
    aContext, aSocket, descriptor, std::move(ip), port, std::move(aReady));
}

} // namespace bg::detail
