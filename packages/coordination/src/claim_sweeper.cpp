#include "claim_sweeper_p.h"

#include "coordination_p.h"

namespace bg::detail {

namespace {

/// The keys of a service are partitioned by the first byte of their hash.
constexpr size_t kPartitions = 256;
constexpr int64_t kMsPerHour = 3600000;

std::string PartitionPrefix(const std::string& aService, size_t aPartition)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  return std::string(kClaimsPrefix) + aService + "/" + kDigits[aPartition / 16] +
         kDigits[aPartition % 16];
}

} // namespace

ClaimSweeper::ClaimSweeper(const ClaimStoreInit& aInit, ClaimStoreStats& aStats)
  : init_(aInit)
  , stats_(aStats)
{
}

void ClaimSweeper::Tick(TimePoint aNow)
{
  if (callInProgress_ || aNow < nextSweep_ || !init_.sweptServices) {
    return;
  }
  nextSweep_ = aNow + init_.sweepInterval;
  const std::vector<std::string> services = init_.sweptServices();
  if (services.empty()) {
    return;
  }
  // The number of services may have changed since the last sweep.
  partition_ %= services.size() * kPartitions;
  callInProgress_ = true;
  init_.platform->Scan(
    PartitionPrefix(services[partition_ / kPartitions], partition_ % kPartitions),
    init_.callDeadline,
    Guarded(shared_from_this(), [](ClaimSweeper& aSelf, const Result<ScanReply>& aReply) {
      aSelf.callInProgress_ = false;
      if (aReply) {
        aSelf.DeleteExpired(*aReply);
      }
    }));
}

void ClaimSweeper::DeleteExpired(const ScanReply& aReply)
{
  const int64_t minCreatedMs = aReply.nowMs - int64_t(init_.retentionHours()) * kMsPerHour;
  CommitRequest request;
  for (const TableRow& row : aReply.rows) {
    const auto claim = DecodeClaim(row.value);
    if (claim && claim->createdMs < minCreatedMs && request.deletes.size() < init_.sweepLimit) {
      request.conditions.push_back({ row.key, row.version });
      request.deletes.push_back(row.key);
    }
  }
  // A full batch may leave expired claims behind, so the same partition is read again.
  if (request.deletes.size() < init_.sweepLimit) {
    ++partition_;
  }
  if (request.deletes.empty()) {
    return;
  }
  callInProgress_ = true;
  const size_t count = request.deletes.size();
  init_.platform->Commit(
    std::move(request),
    init_.callDeadline,
    Guarded(shared_from_this(), [count](ClaimSweeper& aSelf, const Result<CommitReply>& aDone) {
      aSelf.callInProgress_ = false;
      // Rows that a failed commit leaves behind are found when their partition is read again.
      aSelf.stats_.swept += aDone && aDone->committed ? count : 0;
    }));
}

} // namespace bg::detail
