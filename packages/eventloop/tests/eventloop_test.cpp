#include <doctest/doctest.h>

#include "boragegauge/eventloop.h"

using namespace bg;

TEST_CASE("timers of an event loop")
{
  EventLoop loop;
  int fired = 0;

  SUBCASE("a repeating timer stops when its handle is destroyed in its own callback")
  {
    // A callback that cancels its own timer after N runs must not cause a use after free.
    std::unique_ptr<EventLoop::Timer> timer;
    timer = loop.RunEvery(Milliseconds(1), [&] {
      if (++fired == 3) {
        timer.reset();
        loop.Post([&] { loop.Stop(); });
      }
    });
    loop.Run();
    CHECK(fired == 3);
  }

  SUBCASE("a cancelled timer does not fire")
  {
    auto cancelled = loop.RunAfter(Milliseconds(1), [&] { ++fired; });
    cancelled.reset();
    auto stop = loop.RunAfter(Milliseconds(5), [&] { loop.Stop(); });
    loop.Run();
    CHECK(fired == 0);
  }

  SUBCASE("CheckTimers() runs the timers that are due")
  {
    // Without CheckTimers(), deadlines expire late by the time for which the machine was suspended.
    auto due = loop.RunAfter(Milliseconds(1), [&] {
      ++fired;
      loop.Stop();
    });
    loop.CheckTimers();
    loop.Run();
    CHECK(fired == 1);
  }
}
