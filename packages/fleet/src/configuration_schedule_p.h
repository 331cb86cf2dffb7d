#pragma once

#include "read_schedule_p.h"

namespace bg::fleet::detail {

/// When a host whose configuration nobody confirms looks for a newer one by itself. On each way,
/// the time until it looks and the time until it has the answer are together shorter than the
/// shortest time in which operators expect a change to be in force, two seconds.
struct ConfigurationSchedule
{
  /// From this age of the confirmation on, the first host by order checks the store.
  Duration checkAge = Milliseconds(1000);
  /// Longest wait of a host that hears none of its peers for those that come first.
  Duration maxUnheardDelay = Milliseconds(700);
  /// From this age on, a host asks peers. The host that reads the store confirms the configuration
  /// some 0.7 s after the last time, and each change within that time.
  Duration askAge = Milliseconds(1200);

  /// Age of the confirmation from which a host checks the store.
  /// @param aDelay See ReadSchedule::ReadDelay().
  Duration CheckAge(ReadSchedule::Contact aContact, Duration aDelay) const
  {
    const bool hearsNobody =
      aContact == ReadSchedule::Contact::Silent || aContact == ReadSchedule::Contact::Isolated;
    return checkAge + (hearsNobody ? std::min(aDelay, maxUnheardDelay) : aDelay);
  }
};

} // namespace bg::fleet::detail
