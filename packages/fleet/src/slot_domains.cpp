// The part of SlotClient that reports what leaves the failure domains.
#include <fmt/format.h>

#include "slot_client_p.h"

namespace bg::fleet::detail {

void SlotClient::LogDomains(std::string_view aKey, Shard& aShard, TimePoint aNow)
{
  const placement::DomainBalance& domains = aShard.allocator->Domains();
  for (size_t i = 0; i < domains.Count(); ++i) {
    const std::string& name = domains.Name(i);
    const placement::DomainBalance::Outflow& outflow = domains.Leaving(i);
    const bool isLeaving = domains.IsLeaving(i, aNow);
    if (isLeaving == aShard.leftDomains.contains(name)) {
      continue;
    }
    if (isLeaving) {
      aShard.leftDomains.insert(name);
    } else {
      aShard.leftDomains.erase(name);
    }
    Log(LogLevel::Info,
        isLeaving ? "domain_overflow" : "domain_overflow_ended",
        { { "failure_domain", name },
          { "shard", aKey },
          { "reason", ToString(outflow.reason) },
          { "since_ms", (aNow - outflow.since) / Milliseconds(1) },
          { "requests", outflow.grants[static_cast<size_t>(outflow.reason)] } });
  }
}

std::string SlotClient::DescribeDomains(std::string_view aKey, const Shard& aShard, TimePoint aNow)
{
  std::string text;
  const placement::DomainBalance& domains = aShard.allocator->Domains();
  for (size_t i = 0; i < domains.Count(); ++i) {
    const placement::DomainBalance::Outflow& outflow = domains.Leaving(i);
    if (domains.IsLeaving(i, aNow)) {
      text += fmt::format("domain={} shard={} reason={} since_ms={}\n",
                          domains.Name(i),
                          aKey,
                          ToString(outflow.reason),
                          (aNow - outflow.since) / Milliseconds(1));
    }
  }
  return text;
}

std::vector<DomainCrossings> SlotClient::Crossings() const
{
  std::map<std::pair<std::string, placement::CrossingReason>, uint64_t> sums;
  for (const auto& [key, shard] : shards_) {
    const placement::DomainBalance& domains = shard.allocator->Domains();
    for (size_t i = 0; i < domains.Count(); ++i) {
      const auto& grants = domains.Leaving(i).grants;
      for (size_t reason = 1; reason < grants.size(); ++reason) {
        sums[{ domains.Name(i), static_cast<placement::CrossingReason>(reason) }] += grants[reason];
      }
    }
  }
  std::vector<DomainCrossings> crossings;
  for (const auto& [label, requests] : sums) {
    crossings.push_back({ label.first, label.second, requests });
  }
  return crossings;
}

} // namespace bg::fleet::detail
