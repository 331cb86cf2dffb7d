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

/// Limit of every wait in the tests; it is reached only when a test fails.
constexpr auto kTestDeadline = std::chrono::seconds(10);

/// One blocking TCP connection. Reads give up after kTestDeadline.
class RawConnection
{
public:
  explicit RawConnection(int aSocket);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Connects to 127.0.0.1.
  static std::unique_ptr<RawConnection> Connect(uint16_t aPort);

  bool Write(std::string_view aBytes) const;
  /// Reads up to and including the delimiter; less when the peer closes first.
  std::string ReadUntil(std::string_view aDelimiter);
  std::string ReadExactly(size_t aSize);
  /// Reads a message head and as many body bytes as its Content-Length states.
  std::string ReadMessage();
  std::string ReadToEnd();
  /// The next bytes, as many as have arrived; empty when the peer has closed.
  std::string ReadSome();
  /// True when the peer closes the connection before the deadline; discards what arrives.
  bool WaitForClose() const;
  /// Sends FIN, and RST when the peer writes again.
  void Close();
  /// Sends RST.
  void Reset();
  /// Unblocks a read on another thread.
  void Interrupt() const;

private:
  bool Fill();

  int socket_;
  std::string buffer_;
};

/// Server on 127.0.0.1 that runs a script for each connection, each on its own thread.
class RawServer
{
public:
  /// The second argument counts connections from 0.
  using Script = std::function<void(RawConnection&, int)>;

  explicit RawServer(Script aScript, uint16_t aPort = 0);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  uint16_t Port() const { return port_; }
  int Connections() const { return connections_; }

private:
  void Accept();

  Script script_;
  int listener_;
  uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::mutex mutex_;
  std::list<RawConnection> open_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

/// An event loop on its own thread.
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

/// A flag that one thread sets and another one awaits.
class Signal
{
public:
  void Set();
  [[nodiscard]] bool Wait(Duration aLimit = kTestDeadline);

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool set_ = false;
};

/// Polls a condition that has no event of its own until it holds or the deadline passes.
[[nodiscard]] bool Eventually(const std::function<bool()>& aCondition);

/// A TCP port of 127.0.0.1 that is bound but refuses connections.
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

/// A TCP port of 127.0.0.1 on which connections are neither accepted nor refused: its queue is
/// full.
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

/// Bytes that include NUL, CR, LF and high bytes, different for each size.
std::string TestBody(size_t aSize);

} // namespace bg::test
