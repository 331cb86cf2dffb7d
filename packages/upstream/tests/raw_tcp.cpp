#include "raw_tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bg::test {

namespace {

sockaddr_in LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int BindLoopback(uint16_t aPort)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = LoopbackAddress(aPort);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::system_error(errno, std::generic_category(), "bind");
  }
  return listener;
}

uint16_t GetLocalPort(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

} // namespace

RawConnection::RawConnection(int aSocket)
  : socket_(aSocket)
{
  const timeval limit{ .tv_sec = kTestDeadline.count(), .tv_usec = 0 };
  const int on = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

RawConnection::~RawConnection()
{
  Close();
}

std::unique_ptr<RawConnection> RawConnection::Connect(uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(aPort);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<RawConnection>(socket);
}

bool RawConnection::Write(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent = ::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool RawConnection::ReceiveMore()
{
  char chunk[65536];
  const ssize_t received = ::recv(socket_, chunk, sizeof chunk, 0);
  if (received <= 0) {
    return false;
  }
  buffer_.append(chunk, static_cast<size_t>(received));
  return true;
}

std::string RawConnection::ReadUntil(std::string_view aDelimiter)
{
  size_t found = buffer_.find(aDelimiter);
  while (found == std::string::npos && ReceiveMore()) {
    found = buffer_.find(aDelimiter);
  }
  return ReadExactly(found == std::string::npos ? buffer_.size() : found + aDelimiter.size());
}

std::string RawConnection::ReadExactly(size_t aSize)
{
  while (buffer_.size() < aSize && ReceiveMore()) {
  }
  std::string bytes = buffer_.substr(0, aSize);
  buffer_.erase(0, bytes.size());
  return bytes;
}

std::string RawConnection::ReadMessage()
{
  std::string message = ReadUntil("\r\n\r\n");
  constexpr std::string_view kContentLength = "Content-Length: ";
  const size_t found = message.find(kContentLength);
  if (found != std::string::npos) {
    message += ReadExactly(std::stoul(message.substr(found + kContentLength.size())));
  }
  return message;
}

std::string RawConnection::ReadToEnd()
{
  while (ReceiveMore()) {
  }
  return std::exchange(buffer_, {});
}

std::string RawConnection::ReadSome()
{
  if (buffer_.empty()) {
    ReceiveMore();
  }
  return std::exchange(buffer_, {});
}

bool RawConnection::WaitForClose() const
{
  char chunk[65536];
  ssize_t received = 1;
  while (received > 0) {
    received = ::recv(socket_, chunk, sizeof chunk, 0);
  }
  return received == 0 || errno == ECONNRESET;
}

void RawConnection::Close()
{
  if (socket_ >= 0) {
    ::close(std::exchange(socket_, -1));
  }
}

void RawConnection::Reset()
{
  const linger abortive{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
  Close();
}

void RawConnection::Interrupt() const
{
  if (socket_ >= 0) {
    ::shutdown(socket_, SHUT_RDWR);
  }
}

RawServer::RawServer(Script aScript, uint16_t aPort)
  : script_(std::move(aScript))
  , listener_(BindLoopback(aPort))
  , port_(GetLocalPort(listener_))
{
  ::listen(listener_, 64);
  acceptor_ = std::thread([this] { Accept(); });
}

RawServer::~RawServer()
{
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const RawConnection& connection : connectionList_) {
      connection.Interrupt();
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void RawServer::Accept()
{
  while (true) {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    const std::lock_guard lock(mutex_);
    RawConnection& connection = connectionList_.emplace_back(socket);
    threads_.emplace_back([this, &connection, index = connections_++] {
      script_(connection, index);
      const std::lock_guard closing(mutex_);
      connection.Close();
    });
  }
}

LoopThread::LoopThread()
  : thread_([this] { loop_.Run(); })
{
}

LoopThread::~LoopThread()
{
  loop_.Stop();
  thread_.join();
}

void LoopThread::Call(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  loop_.Post([&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

void Signal::Set()
{
  const std::lock_guard lock(mutex_);
  set_ = true;
  changed_.notify_all();
}

bool Signal::Wait(Duration aLimit)
{
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, aLimit, [this] { return set_; });
}

bool Eventually(const std::function<bool()>& aCondition)
{
  const TimePoint limit = Now() + kTestDeadline;
  while (!aCondition()) {
    if (Now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(1));
  }
  return true;
}

ClosedPort::ClosedPort()
  : socket_(BindLoopback(0))
  , port_(GetLocalPort(socket_))
{
}

ClosedPort::~ClosedPort()
{
  ::close(socket_);
}

FullPort::FullPort()
  : listener_(BindLoopback(0))
  , port_(GetLocalPort(listener_))
{
  ::listen(listener_, 0);
  const sockaddr_in address = LoopbackAddress(port_);
  // With a backlog of 0 the accept queue holds one connection; the others remain in the handshake.
  for (int i = 0; i < 4; ++i) {
    const int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // A nonblocking connect() only reports that the handshake is in progress.
    (void)::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    clients_.push_back(client);
  }
}

FullPort::~FullPort()
{
  for (const int client : clients_) {
    ::close(client);
  }
  ::close(listener_);
}

std::string TestBody(size_t aSize)
{
  std::string body(aSize, '\0');
  uint64_t state = aSize + 1;
  for (char& byte : body) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    byte = static_cast<char>(state >> 56);
  }
  return body;
}

} // namespace bg::test
