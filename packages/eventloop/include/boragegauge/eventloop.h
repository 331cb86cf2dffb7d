#pragma once

#include <functional>
#include <memory>

#include "boragegauge/base.h"

namespace asio {
class io_context;
}

namespace bg {

/// Single-threaded event loop on Asio. One thread calls Run(); Post() may be called from any
/// thread.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs callbacks until Stop().
  void Run();

  /// Makes Run() return soon. Callable from any thread.
  void Stop();

  /// Queues a callback for the loop's thread. Callable from any thread.
  void Post(std::function<void()> aCallback);

  /// Runs the timers that are due. After a suspension of the machine they would otherwise run as
  /// late as it lasted. Callable from any thread.
  void CheckTimers();

  /// Cancels its timer when destroyed.
  class Timer
  {
  public:
    virtual ~Timer() = default;
  };

  /// Runs the callback once after the delay, unless the timer is destroyed before. Loop thread
  /// only.
  [[nodiscard]] std::unique_ptr<Timer> RunAfter(Duration aDelay, std::function<void()> aCallback);

  /// Runs the callback at each interval until the timer is destroyed. Loop thread only.
  [[nodiscard]] std::unique_ptr<Timer> RunEvery(Duration aInterval,
                                                std::function<void()> aCallback);

  /// The Asio context, for transports only.
  asio::io_context& Context();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace bg
