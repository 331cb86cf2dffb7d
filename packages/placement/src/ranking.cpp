#include <algorithm>

#include "boragegauge/placement.h"

namespace bg::placement {

std::vector<std::string> RankHosts(std::string_view aKey, std::span<const std::string> aHosts)
{
  const uint64_t seed = Hash64(aKey);
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(aHosts.size());
  for (const std::string& host : aHosts) {
    weighted.emplace_back(Hash64(host, seed), host);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, host] : weighted) {
    ranked.push_back(std::move(host));
  }
  return ranked;
}

size_t ShardCount(size_t aUpstreams)
{
  return std::max<size_t>(1, (aUpstreams + kUpstreamsPerShard - 1) / kUpstreamsPerShard);
}

size_t ShardOf(std::string_view aUpstream, size_t aShardCount)
{
  // Jump consistent hash (Lamping and Veach, 2014).
  uint64_t key = Hash64(aUpstream);
  int64_t bucket = -1;
  int64_t next = 0;
  while (next < static_cast<int64_t>(std::max<size_t>(1, aShardCount))) {
    bucket = next;
    key = key * 2862933555777941757ULL + 1;
    next =
      static_cast<int64_t>(static_cast<double>(bucket + 1) *
                           (static_cast<double>(1LL << 31) / static_cast<double>((key >> 33) + 1)));
  }
  return static_cast<size_t>(bucket);
}

} // namespace bg::placement
