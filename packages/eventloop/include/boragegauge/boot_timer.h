#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "boragegauge/base.h"

namespace bg {

/// Clock for Asio timers that reads Now(). Its member names are required by the standard Clock
/// requirements.
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

/// Asio timer whose delay includes time during which the machine is suspended.
using BootTimer = asio::basic_waitable_timer<BootClock>;

} // namespace bg
