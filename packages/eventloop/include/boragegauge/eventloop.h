#pragma once

#include <functional>
#include <memory>

#include "boragegauge/base.h"

namespace asio {
class io_context;
}

namespace bg {

/// Single-threaded event loop based on Asio. One thread calls Run(), the loop thread, which runs
/// all callbacks. Post(), Stop() and CheckTimers() may be called from any thread.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs callbacks until Stop() is called.
  void Run();

  /// Makes Run() return after the callback in progress. Callable from any thread.
  void Stop();

  /// Queues a callback to run on the loop thread. Callable from any thread.
  void Post(std::function<void()> aCallback);

  /// Makes the loop run all timers that are due. Without this call, a suspension of the machine
  /// delays timers by its duration. Callable from any thread.
  void CheckTimers();

  /// Handle of a timer; destroying it cancels the timer.
  class Timer
  {
  public:
    virtual ~Timer() = default;
  };

  /// Runs the callback once after the delay unless the handle is destroyed first. Call on
  /// the loop thread only.
  [[nodiscard]] std::unique_ptr<Timer> RunAfter(Duration aDelay, std::function<void()> aCallback);

  /// Runs the callback repeatedly until the handle is destroyed. The interval starts anew after
  /// each callback. Call on the loop thread only.
  [[nodiscard]] std::unique_ptr<Timer> RunEvery(Duration aInterval,
                                                std::function<void()> aCallback);

  /// Returns the Asio context; only transports may use it.
  asio::io_context& Context();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace bg
