#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <unordered_map>

#include "coordination_p.h"

namespace bg {

namespace {

/// Upper bounds of the encoded sizes: 8 bytes of key and four 32-bit varints with their tags;
/// an envelope without its names.
constexpr double kEntryBytes = 35;
constexpr double kEnvelopeBytes = 36;

uint32_t AddSaturated(uint32_t aLeft, uint32_t aRight)
{
  return aRight > std::numeric_limits<uint32_t>::max() - aLeft
           ? std::numeric_limits<uint32_t>::max()
           : aLeft + aRight;
}

} // namespace

struct EvidenceExchange::Impl
{
  explicit Impl(EvidenceExchangeInit aInit)
    : init(std::move(aInit))
    , tokens(init.burstBytes)
  {
  }

  void Refill(TimePoint aNow)
  {
    if (lastRefill != TimePoint()) {
      const double seconds = std::chrono::duration<double>(aNow - lastRefill).count();
      tokens = std::min(init.burstBytes, tokens + seconds * init.bytesPerSecond);
    }
    lastRefill = aNow;
  }

  double Cost(const std::vector<std::string>& aHosts,
              const std::map<std::string, EvidenceReport>& aReports) const
  {
    const auto names = static_cast<double>(init.sender->Host().size() + init.failureDomain.size());
    double cost = 0;
    for (const std::string& host : aHosts) {
      if (host != init.sender->Host()) {
        cost += kEntryBytes + (aReports.contains(host) ? 0 : kEnvelopeBytes + names);
      }
    }
    return cost;
  }

  /// Takes counts of upstreams with a bad outcome, oldest first, as far as the tokens reach.
  std::map<std::string, EvidenceReport> TakeReports()
  {
    std::map<std::string, EvidenceReport> reports;
    double planned = 0;
    while (!bad.empty()) {
      const uint64_t key = bad.front();
      const std::vector<std::string> hosts = init.aggregators(key);
      const double cost = Cost(hosts, reports);
      if (hosts.empty() || planned + cost > tokens) {
        stats.postponed += bad.size();
        break;
      }
      planned += cost;
      const auto counts = pending.extract(key).mapped();
      for (const std::string& host : hosts) {
        reports[host].failureDomain = init.failureDomain;
        reports[host].counts.push_back(counts);
      }
      bad.pop_front();
    }
    return reports;
  }

  EvidenceExchangeInit init;
  EvidenceExchangeStats stats;
  double tokens;
  TimePoint lastRefill;
  TimePoint nextReport;
  std::unordered_map<uint64_t, EvidenceCounts> pending;
  std::deque<uint64_t> bad; ///< Keys in pending with a failed or slow outcome, oldest first.
};

EvidenceExchange::EvidenceExchange(EvidenceExchangeInit aInit)
  : impl_(std::make_unique<Impl>(std::move(aInit)))
{
}

EvidenceExchange::~EvidenceExchange() = default;

void EvidenceExchange::Tick(TimePoint aNow)
{
  impl_->Refill(aNow);
  if (aNow < impl_->nextReport || impl_->bad.empty()) {
    return;
  }
  impl_->nextReport = aNow + impl_->init.reportInterval;
  for (const auto& [host, report] : impl_->TakeReports()) {
    if (host == impl_->init.sender->Host()) {
      detail::Notify(impl_->init.onReport, host, report);
      continue;
    }
    const size_t bytes = impl_->init.sender->Send(host, report);
    impl_->tokens -= static_cast<double>(bytes);
    ++impl_->stats.reports;
    impl_->stats.reportBytes += bytes;
  }
}

void EvidenceExchange::Add(const EvidenceCounts& aCounts)
{
  EvidenceCounts& counts = impl_->pending[aCounts.upstream];
  const bool wasBad = counts.failed + counts.slow > 0;
  counts.upstream = aCounts.upstream;
  counts.good = AddSaturated(counts.good, aCounts.good);
  counts.failed = AddSaturated(counts.failed, aCounts.failed);
  counts.slow = AddSaturated(counts.slow, aCounts.slow);
  counts.intervalMs = AddSaturated(counts.intervalMs, aCounts.intervalMs);
  if (!wasBad && counts.failed + counts.slow > 0) {
    impl_->bad.push_back(aCounts.upstream);
  }
}

void EvidenceExchange::Publish(const Verdict& aVerdict)
{
  for (const std::string& host : impl_->init.peers()) {
    impl_->tokens -= static_cast<double>(impl_->init.sender->Send(host, aVerdict));
  }
}

void EvidenceExchange::Handle(const PeerMessage& aMessage)
{
  if (const auto* report = std::get_if<EvidenceReport>(&aMessage.body)) {
    detail::Notify(impl_->init.onReport, aMessage.sender, *report);
  } else if (const auto* verdict = std::get_if<Verdict>(&aMessage.body)) {
    detail::Notify(impl_->init.onVerdict, aMessage.sender, *verdict);
  }
}

const EvidenceExchangeStats& EvidenceExchange::Stats() const
{
  return impl_->stats;
}

} // namespace bg
