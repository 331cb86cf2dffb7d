#include "boragegauge/eventloop.h"

#include "boragegauge/boot_timer.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

namespace bg {

struct EventLoop::Impl
{
  asio::io_context context{ 1 };
  /// Keeps Run() from returning while no callback is pending.
  asio::executor_work_guard<asio::io_context::executor_type> workGuard{ context.get_executor() };
};

namespace {

/// A pending wait shares ownership, so that the state outlives the handle of the caller. Destroying
/// the handle cancels the timer; the callback does not run afterwards.
class TimerState : public std::enable_shared_from_this<TimerState>
{
public:
  TimerState(asio::io_context& aContext, Duration aInterval, std::function<void()> aCallback)
    : timer_(aContext)
    , interval_(aInterval)
    , callback_(std::move(aCallback))
  {
  }

  void Start(bool aIsRepeating)
  {
    timer_.expires_after(interval_);
    timer_.async_wait([self = shared_from_this(), aIsRepeating](const std::error_code& aError) {
      self->OnExpiry(aError, aIsRepeating);
    });
  }

  void Cancel()
  {
    isCancelled_ = true;
    timer_.cancel();
  }

private:
  void OnExpiry(const std::error_code& aError, bool aIsRepeating)
  {
    if (aError || isCancelled_) {
      return;
    }
    callback_();
    if (aIsRepeating && !isCancelled_) {
      Start(true);
    }
  }

  BootTimer timer_;
  Duration interval_;
  std::function<void()> callback_;
  bool isCancelled_ = false;
};

/// Handle of the caller; cancels the timer when destroyed.
class TimerHandle : public EventLoop::Timer
{
public:
  explicit TimerHandle(std::shared_ptr<TimerState> aState)
    : state_(std::move(aState))
  {
  }
  ~TimerHandle() override { state_->Cancel(); }
  TimerHandle(const TimerHandle&) = delete;
  TimerHandle& operator=(const TimerHandle&) = delete;

private:
  std::shared_ptr<TimerState> state_;
};

std::unique_ptr<EventLoop::Timer> StartTimer(asio::io_context& aContext,
                                             Duration aInterval,
                                             std::function<void()> aCallback,
                                             bool aIsRepeating)
{
  auto state = std::make_shared<TimerState>(aContext, aInterval, std::move(aCallback));
  state->Start(aIsRepeating);
  return std::make_unique<TimerHandle>(std::move(state));
}

} // namespace

EventLoop::EventLoop()
  : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::Run()
{
  impl_->context.run();
}

void EventLoop::Stop()
{
  impl_->context.stop();
}

void EventLoop::Post(std::function<void()> aCallback)
{
  asio::post(impl_->context, std::move(aCallback));
}

void EventLoop::CheckTimers()
{
  // The system timer that wakes Asio does not count suspended time. Adding a timer that is earlier
  // than all others makes Asio check its timer queue.
  Post([this] {
    auto timer = std::make_shared<BootTimer>(impl_->context, Duration(0));
    timer->async_wait([timer](const std::error_code&) {});
  });
}

std::unique_ptr<EventLoop::Timer> EventLoop::RunAfter(Duration aDelay,
                                                      std::function<void()> aCallback)
{
  return StartTimer(impl_->context, aDelay, std::move(aCallback), false);
}

std::unique_ptr<EventLoop::Timer> EventLoop::RunEvery(Duration aInterval,
                                                      std::function<void()> aCallback)
{
  return StartTimer(impl_->context, aInterval, std::move(aCallback), true);
}

asio::io_context& EventLoop::Context()
{
  return impl_->context;
}

} // namespace bg
