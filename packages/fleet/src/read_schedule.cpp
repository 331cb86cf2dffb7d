#include "read_schedule_p.h"

#include <algorithm>
#include <bit>

namespace bg::fleet::detail {

Duration ReadSchedule::ReadDelay(const Position& aPosition, Contact aContact) const
{
  const auto hosts = static_cast<int64_t>(aPosition.hosts);
  if (aPosition.isReader) {
    return aContact == Contact::Isolated ? std::clamp<Duration>(isolatedIntervalPerHost * hosts,
                                                                interval,
                                                                maxIsolatedInterval) -
                                             interval
                                         : Duration(0);
  }
  const auto rank = static_cast<int64_t>(aPosition.order + 1);
  if (aContact == Contact::Recent) {
    return orderStep * rank;
  }
  if (IsFirst(aPosition.order)) {
    return orderStep * std::bit_width(aPosition.order + 1);
  }
  if (aContact == Contact::Failing) {
    return orderStep * rank;
  }
  const Duration end = maxAge - interval;
  const int64_t followers = std::max<int64_t>(hosts, rank) - kSteppedReaders;
  const Duration begin = std::clamp<Duration>(
    end - spreadPerHost * followers, orderStep, orderStep * std::bit_width(kSteppedReaders));
  return begin + (end - begin) * (rank - static_cast<int64_t>(kSteppedReaders)) / followers;
}

TimePoint ReadSchedule::NextRead(Duration aDelay,
                                 TimePoint aLastFresh,
                                 TimePoint aLastFailure,
                                 uint32_t aFailures) const
{
  const TimePoint due = aLastFresh + interval + aDelay;
  if (aFailures == 0) {
    return due;
  }
  const Duration pause =
    std::min(maxRetryDelay, minRetryDelay * (1 << std::min(aFailures - 1, 8U)));
  return std::max(due, aLastFailure + pause);
}

} // namespace bg::fleet::detail
