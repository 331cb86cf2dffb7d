#pragma once

#include <atomic>
#include <condition_variable>
#include <future>
#include <list>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "boragegauge/eventloop.h"

namespace bg::test {

/// Time limit of every wait in the tests; reached only if a test fails.
constexpr auto kTestDeadline = std::chrono::seconds(10);

/// A blocking TCP connection. Reads and writes fail after kTestDeadline.
class RawConnection
{
public:
  explicit RawConnection(int aSocket);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Connects to 127.0.0.1; returns null on failure.
  static std::unique_ptr<RawConnection> Connect(uint16_t aPort);

  /// Returns false if the connection fails before all bytes are written.
  bool Write(std::string_view aBytes) const;
  /// Reads up to and including the delimiter; returns fewer bytes if the peer closes first.
  std::string ReadUntil(std::string_view aDelimiter);
  /// Returns fewer bytes if the peer closes first.
  std::string ReadExactly(size_t aSize);
  /// Reads a message head and a body of its Content-Length.
  std::string ReadMessage();
  std::string ReadToEnd();
  /// Returns the bytes that have arrived, waiting for at least one; empty if the peer has closed.
  std::string ReadSome();
  /// Discards incoming bytes until the peer closes the connection; returns false after
  /// kTestDeadline.
  bool WaitForClose() const;
  /// Closes the connection with a FIN; later writes of the peer get an RST.
  void Close();
  /// Closes the connection with an RST.
  void Reset();
  /// Ends a blocking read on another thread.
  void Interrupt() const;

private:
  /// Appends received bytes to the buffer; returns false if the connection has ended.
  bool ReceiveMore();

  int socket_;
  std::string buffer_;
};

/// Server on 127.0.0.1 that runs a script for each connection, each on its own thread.
class RawServer
{
public:
  /// The second argument is the index of the connection, starting at 0.
  using Script = std::function<void(RawConnection&, int)>;

  explicit RawServer(Script aScript, uint16_t aPort = 0);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  uint16_t Port() const { return port_; }
  /// Number of connections accepted so far.
  int Connections() const { return connections_; }

private:
  void Accept();

  Script script_;
  int listener_;
  uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::mutex mutex_;
  std::list<RawConnection> connectionList_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

/// Runs an event loop on its own thread.
class LoopThread
{
public:
  LoopThread();
  ~LoopThread();
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  EventLoop& Loop() { return loop_; }
  /// Runs the function on the loop's thread and waits for it.
  void Call(const std::function<void()>& aFunction);

private:
  EventLoop loop_;
  std::thread thread_;
};

/// A one-time event that one thread sets and another one waits for.
class Signal
{
public:
  void Set();
  /// Returns false if the event was not set within the limit.
  [[nodiscard]] bool Wait(Duration aLimit = kTestDeadline);

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool set_ = false;
};

/// Polls a condition until it is true. Returns false after kTestDeadline.
[[nodiscard]] bool Eventually(const std::function<bool()>& aCondition);

/// A bound TCP port of 127.0.0.1 that refuses connections, because nothing listens on it.
class ClosedPort
{
public:
  ClosedPort();
  ~ClosedPort();
  ClosedPort(const ClosedPort&) = delete;
  ClosedPort& operator=(const ClosedPort&) = delete;
  uint16_t Port() const { return port_; }

private:
  int socket_;
  uint16_t port_ = 0;
};

/// A TCP port of 127.0.0.1 that neither accepts nor refuses connections, because its accept queue
/// is full.
class FullPort
{
public:
  FullPort();
  ~FullPort();
  FullPort(const FullPort&) = delete;
  FullPort& operator=(const FullPort&) = delete;
  uint16_t Port() const { return port_; }

private:
  int listener_;
  uint16_t port_ = 0;
  std::vector<int> clients_;
};

/// Pseudorandom bytes, including NUL, CR, LF and values above 127, that differ for each size.
std::string TestBody(size_t aSize);

} // namespace bg::test
