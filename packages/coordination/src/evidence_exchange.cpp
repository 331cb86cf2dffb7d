#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <unordered_map>

#include "coordination_p.h"

namespace bg {

namespace {

/// Upper bound of the encoded size of one EvidenceCounts: a key of 8 bytes and four 32-bit varints,
/// with their tags.
constexpr double kMaxCountsBytes = 35;
/// Upper bound of the encoded size of a message without its counts, host name and failure domain.
constexpr double kMaxEnvelopeBytes = 36;

uint32_t AddSaturating(uint32_t aLeft, uint32_t aRight)
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

  void RefillTokens(TimePoint aNow)
  {
    if (lastRefill != TimePoint()) {
      const double seconds = std::chrono::duration<double>(aNow - lastRefill).count();
      tokens = std::min(init.burstBytes, tokens + seconds * init.bytesPerSecond);
    }
    lastRefill = aNow;
  }

  /// Upper bound of the bytes that the counts of one upstream add to the reports.
  double EstimateBytes(const std::vector<std::string>& aHosts,
                       const std::map<std::string, EvidenceReport>& aReports) const
  {
    const auto nameBytes =
      static_cast<double>(init.sender->Host().size() + init.failureDomain.size());
    double cost = 0;
    for (const std::string& host : aHosts) {
      if (host != init.sender->Host()) {
        cost += kMaxCountsBytes + (aReports.contains(host) ? 0 : kMaxEnvelopeBytes + nameBytes);
      }
    }
    return cost;
  }

  /// Removes pending counts of upstreams with a failed or slow outcome, oldest first, as far as the
  /// token bucket allows, and returns one report for each aggregator.
  std::map<std::string, EvidenceReport> TakeReports()
  {
    std::map<std::string, EvidenceReport> reports;
    double plannedBytes = 0;
    while (!reportQueue.empty()) {
      const uint64_t key = reportQueue.front();
      const std::vector<std::string> hosts = init.aggregators(key);
      const double cost = EstimateBytes(hosts, reports);
      if (hosts.empty() || plannedBytes + cost > tokens) {
        stats.postponed += reportQueue.size();
        break;
      }
      plannedBytes += cost;
      const auto counts = pendingCounts.extract(key).mapped();
      for (const std::string& host : hosts) {
        reports[host].failureDomain = init.failureDomain;
        reports[host].counts.push_back(counts);
      }
      reportQueue.pop_front();
    }
    return reports;
  }

  EvidenceExchangeInit init;
  EvidenceExchangeStats stats;
  double tokens; ///< Bytes that may be sent now; Publish() may make it negative.
  TimePoint lastRefill;
  TimePoint nextReport;
  std::unordered_map<uint64_t, EvidenceCounts> pendingCounts; ///< By upstream key.
  /// Keys in pendingCounts that have a failed or slow outcome, oldest first.
  std::deque<uint64_t> reportQueue;
};

EvidenceExchange::EvidenceExchange(EvidenceExchangeInit aInit)
  : impl_(std::make_unique<Impl>(std::move(aInit)))
{
}

EvidenceExchange::~EvidenceExchange() = default;

void EvidenceExchange::Tick(TimePoint aNow)
{
  impl_->RefillTokens(aNow);
  if (aNow < impl_->nextReport || impl_->reportQueue.empty()) {
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
  EvidenceCounts& counts = impl_->pendingCounts[aCounts.upstream];
  const bool wasQueued = counts.failed + counts.slow > 0;
  counts.upstream = aCounts.upstream;
  counts.good = AddSaturating(counts.good, aCounts.good);
  counts.failed = AddSaturating(counts.failed, aCounts.failed);
  counts.slow = AddSaturating(counts.slow, aCounts.slow);
  counts.intervalMs = AddSaturating(counts.intervalMs, aCounts.intervalMs);
  if (!wasQueued && counts.failed + counts.slow > 0) {
    impl_->reportQueue.push_back(aCounts.upstream);
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
