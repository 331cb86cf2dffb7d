#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "boragegauge/base.h"

namespace bg {

/// The clock of Now() for Asio timers; its names are those of the standard's clocks.
// NOLINTBEGIN(readability-identifier-naming)
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = TimePoint;
  static constexpr bool is_steady = true;
  static time_point now() { return Now(); }
};
// NOLINTEND(readability-identifier-naming)

/// Timer whose expiry includes the time for which the machine was suspended.
using BootTimer = asio::basic_waitable_timer<BootClock>;

} // namespace bg
