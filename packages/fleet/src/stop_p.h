#pragma once

#include <functional>

#include "session_p.h"
#include "stop_schedule_p.h"

namespace bg::fleet::detail {

/// Fails the readiness check and hands over what other hosts ask this one for, then closes the
/// listening socket, then waits until all requests have their responses.
/// @param aWait Waits for at most the given time.
void StopServing(const StopSchedule& aSchedule,
                 FleetControl& aControl,
                 FleetTraffic& aTraffic,
                 const std::function<void(Duration)>& aWait);

} // namespace bg::fleet::detail
