#pragma once

#include <memory>

#include "boragegauge/coordination.h"

namespace bg::detail {

/// Deletes expired claims of the services that this proxy sweeps. A service may have hundreds of
/// thousands of claims, so each interval reads only one partition: the keys of one service whose
/// hash starts with the same byte.
class ClaimSweeper : public std::enable_shared_from_this<ClaimSweeper>
{
public:
  ClaimSweeper(const ClaimStoreInit& aInit, ClaimStoreStats& aStats);
  void Tick(TimePoint aNow);

private:
  void DeleteExpired(const ScanReply& aReply);

  const ClaimStoreInit& init_;
  ClaimStoreStats& stats_;
  TimePoint nextSweep_;
  size_t partition_ = 0; ///< Index over all services and the 256 partitions of each.
  bool callInProgress_ = false;
};

} // namespace bg::detail
