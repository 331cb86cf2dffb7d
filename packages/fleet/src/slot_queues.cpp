// The part of SlotClient that reports the queues of its allocators.
#include <algorithm>

#include <fmt/format.h>

#include "slot_client_p.h"

namespace bg::fleet::detail {

QueueMetrics SlotClient::Queues() const
{
  QueueMetrics metrics;
  for (const auto& [key, shard] : shards_) {
    const std::string service = key.substr(0, key.rfind('#'));
    for (const placement::PriorityStats& stats : shard.allocator->WaitingByPriority(init_.now())) {
      QueueMetrics::Queue& queue = metrics.queues[{ service, stats.priority }];
      queue.waiting += stats.waiting;
      queue.longestWaitSeconds = std::max(queue.longestWaitSeconds,
                                          std::chrono::duration<double>(stats.longestWait).count());
    }
    for (const auto& [refusal, count] : shard.allocator->Refusals()) {
      metrics.refusals[{ service, refusal.first, refusal.second }] += count;
    }
  }
  return metrics;
}

std::string SlotClient::DescribeQueue(const std::string& aKey,
                                      const placement::SlotAllocator& aAllocator) const
{
  std::string text;
  for (const placement::PriorityStats& stats : aAllocator.WaitingByPriority(init_.now())) {
    text += fmt::format("queue={} priority={} waiting={} longest_wait_ms={}\n",
                        aKey,
                        stats.priority,
                        stats.waiting,
                        stats.longestWait / Milliseconds(1));
  }
  for (const auto& [refusal, count] : aAllocator.Refusals()) {
    text += fmt::format(
      "refused={} priority={} reason={} count={}\n", aKey, refusal.first, refusal.second, count);
  }
  return text;
}

} // namespace bg::fleet::detail
