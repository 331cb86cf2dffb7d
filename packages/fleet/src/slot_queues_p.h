#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace bg::fleet::detail {

/// What metrics say of the queues of the allocators of a host.
struct QueueMetrics
{
  struct Queue
  {
    size_t waiting = 0;
    double longestWaitSeconds = 0;
  };
  using Priority = std::pair<std::string, uint32_t>; ///< Service and priority.

  std::map<Priority, Queue> queues;
  /// Requests that allocators have refused since the start, by service, priority and reason.
  std::map<std::tuple<std::string, uint32_t, std::string>, uint64_t> refusals;
};

} // namespace bg::fleet::detail
