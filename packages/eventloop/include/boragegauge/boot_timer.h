#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "boragegauge/base.h"

namespace bg {

/// The clock of Now() for Asio timers.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = TimePoint;
  static constexpr bool is_steady = true;
  static time_point now() { return Now(); }
};

/// Timer whose expiry includes the time for which the machine was suspended.
using BootTimer = asio::basic_waitable_timer<BootClock>;

} // namespace bg
