#include "claim_sweeper_p.h"

#include "coordination_p.h"

namespace bg::detail {

namespace {

constexpr size_t kParts = 256;
constexpr int64_t kMsPerHour = 3600000;

std::string Prefix(const std::string& aService, size_t aPart)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  return std::string(kClaimsPrefix) + aService + "/" + kDigits[aPart / 16] + kDigits[aPart % 16];
}

} // namespace

ClaimSweeper::ClaimSweeper(const ClaimStoreInit& aInit, ClaimStoreStats& aStats)
  : init_(aInit)
  , stats_(aStats)
{
}

void ClaimSweeper::Tick(TimePoint aNow)
{
  if (busy_ || aNow < next_ || !init_.sweptServices) {
    return;
  }
  next_ = aNow + init_.sweepInterval;
  const std::vector<std::string> services = init_.sweptServices();
  if (services.empty()) {
    return;
  }
  position_ %= services.size() * kParts;
  busy_ = true;
  init_.platform->Scan(
    Prefix(services[position_ / kParts], position_ % kParts),
    init_.callDeadline,
    Guarded(shared_from_this(), [](ClaimSweeper& aSelf, const Result<ScanReply>& aReply) {
      aSelf.busy_ = false;
      if (aReply) {
        aSelf.Delete(*aReply);
      }
    }));
}

void ClaimSweeper::Delete(const ScanReply& aReply)
{
  const int64_t oldest = aReply.nowMs - int64_t(init_.retentionHours()) * kMsPerHour;
  CommitRequest request;
  for (const TableRow& row : aReply.rows) {
    const auto claim = DecodeClaim(row.value);
    if (claim && claim->createdMs < oldest && request.deletes.size() < init_.sweepLimit) {
      request.conditions.push_back({ row.key, row.version });
      request.deletes.push_back(row.key);
    }
  }
  if (request.deletes.size() < init_.sweepLimit) {
    ++position_;
  }
  if (request.deletes.empty()) {
    return;
  }
  busy_ = true;
  const size_t count = request.deletes.size();
  init_.platform->Commit(
    std::move(request),
    init_.callDeadline,
    Guarded(shared_from_this(), [count](ClaimSweeper& aSelf, const Result<CommitReply>& aDone) {
      aSelf.busy_ = false;
      // Rows that are left are found again when their prefix is read the next time.
      aSelf.stats_.swept += aDone && aDone->committed ? count : 0;
    }));
}

} // namespace bg::detail
