#include "boragegauge/eventloop.h"

#include "boragegauge/boot_timer.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

namespace bg {

struct EventLoop::Impl
{
  asio::io_context context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ context.get_executor() };
};

namespace {

/// Keeps itself alive while a wait is pending; the owner's handle only clears the callback.
class TimerState : public std::enable_shared_from_this<TimerState>
{
public:
  TimerState(asio::io_context& aContext, Duration aInterval, std::function<void()> aCallback)
    : timer_(aContext)
    , interval_(aInterval)
    , callback_(std::move(aCallback))
  {
  }

  void Start(bool aRepeat)
  {
    timer_.expires_after(interval_);
    timer_.async_wait([self = shared_from_this(), aRepeat](const std::error_code& aError) {
      self->Expire(aError, aRepeat);
    });
  }

  void Cancel()
  {
    cancelled_ = true;
    timer_.cancel();
  }

private:
  void Expire(const std::error_code& aError, bool aRepeat)
  {
    if (aError || cancelled_) {
      return;
    }
    callback_();
    if (aRepeat && !cancelled_) {
      Start(true);
    }
  }

  BootTimer timer_;
  Duration interval_;
  std::function<void()> callback_;
  bool cancelled_ = false;
};

class TimerOwner : public EventLoop::Timer
{
public:
  explicit TimerOwner(std::shared_ptr<TimerState> aState)
    : state_(std::move(aState))
  {
  }
  ~TimerOwner() override { state_->Cancel(); }
  TimerOwner(const TimerOwner&) = delete;
  TimerOwner& operator=(const TimerOwner&) = delete;

private:
  std::shared_ptr<TimerState> state_;
};

std::unique_ptr<EventLoop::Timer> StartTimer(asio::io_context& aContext,
                                             Duration aInterval,
                                             std::function<void()> aCallback,
                                             bool aRepeat)
{
  auto state = std::make_shared<TimerState>(aContext, aInterval, std::move(aCallback));
  state->Start(aRepeat);
  return std::make_unique<TimerOwner>(std::move(state));
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
  // The system's timer counts no suspended time; a new earliest expiry makes Asio look at its
  // queue.
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
