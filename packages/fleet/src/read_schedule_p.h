#pragma once

#include <cstddef>
#include <cstdint>

#include "boragegauge/base.h"

namespace bg::fleet::detail {

/// Schedule of the store reads of a host. One host of the fleet reads regularly and shares what it
/// has read; the others read only if they do not receive its state in time.
///
/// Load: all hosts of the fleet may lose each other at once, each of them with upstreams that it
/// sends work to. Whatever its order, a host that hears nobody has read the store before its state
/// is older than maxAge; its reads are spread over time by the order, and paced by the size of the
/// fleet after that.
struct ReadSchedule
{
  /// Hosts of a lower order read in steps while nobody is heard, the others after them.
  static constexpr uint32_t kSteppedReaders = 31;

  Duration interval = Milliseconds(500);  ///< Between reads of the host that reads regularly.
  Duration orderStep = Milliseconds(120); ///< Added for each host that comes first.
  /// Age of the state at which a host that hears nobody reads at the latest. Together with the time
  /// of a read it is shorter than the shortest time after which upstreams that leave must get no
  /// more requests, two seconds.
  Duration maxAge = Milliseconds(1600);
  /// Time in which the hosts behind those that read in steps follow, per host, if maxAge allows it:
  /// the store performs some 2,000 reads per second for all hosts.
  Duration spreadPerHost = std::chrono::microseconds(625);
  /// Interval of an isolated host that reads by itself, per host of the fleet, so that all of them
  /// together make some 400 reads per second, up to maxIsolatedInterval.
  Duration isolatedIntervalPerHost = std::chrono::microseconds(2500);
  Duration maxIsolatedInterval = Milliseconds(1200);
  Duration minRetryDelay = Milliseconds(400); ///< After a failure; doubles with each further one.
  Duration maxRetryDelay = Milliseconds(1600);
  /// How long a failed call of another host counts. Longer than maxRetryDelay and the deadline of a
  /// call, so that the hosts that come first go on trying for all while the store is away.
  Duration failurePeriod = Milliseconds(3500);

  /// What a host has received from its peers.
  enum class Contact
  {
    Recent,   ///< New state, since the host that reads should have read again.
    Failing,  ///< No new state, but that the store has failed for hosts that come first.
    Silent,   ///< No new state: the hosts that come first have probably stopped.
    Isolated, ///< Nothing for so long that this host may be cut off from the others.

    Count
  };

  /// Place of a host in the fleet.
  struct Position
  {
    size_t order = 0; ///< Among all hosts.
    size_t hosts = 1;
    bool isReader = false; ///< It was the last one to read the store.
  };

  /// Whether a host is one of the first, which go on calling a store that fails. The others leave
  /// the calls to these.
  static bool IsFirst(size_t aOrder) { return aOrder < kSteppedReaders; }
  /// Time that a host waits for the state of others, beyond the interval. While nobody is heard,
  /// the number of hosts that may read doubles with each step, so that the loss of many of the
  /// first hosts delays a change by a few steps only; the hosts behind them follow within maxAge.
  Duration ReadDelay(const Position& aPosition, Contact aContact) const;
  /// Time without state after which a host counts as Contact::Silent.
  Duration SilenceLimit() const { return interval + orderStep; }
  /// Time of the next read.
  /// @param aLastFresh When the state was last confirmed.
  /// @param aFailures Failures since the last successful read.
  TimePoint NextRead(Duration aDelay,
                     TimePoint aLastFresh,
                     TimePoint aLastFailure,
                     uint32_t aFailures) const;
};

} // namespace bg::fleet::detail
