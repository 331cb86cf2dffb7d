#include <doctest/doctest.h>

#include "boragegauge/eventloop.h"

using namespace bg;

TEST_CASE("timers of an event loop")
{
  EventLoop loop;
  int fired = 0;

  SUBCASE("a repeating timer stops when its owner is destroyed in its own callback")
  {
    // Guards against use after free in the common "stop after N" pattern.
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

  SUBCASE("those that are due run when the loop is told to look")
  {
    // Guards against deadlines that end late by the time for which the machine was suspended.
    auto due = loop.RunAfter(Milliseconds(1), [&] {
      ++fired;
      loop.Stop();
    });
    loop.CheckTimers();
    loop.Run();
    CHECK(fired == 1);
  }
}
