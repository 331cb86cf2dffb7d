#pragma once

#include <memory>

#include "boragegauge/coordination.h"

namespace bg::detail {

/// Deletes claims whose retention has ended, of the services that this proxy is responsible for.
/// Each interval reads the keys of one service that start with one byte of the hash, because a
/// service may have hundreds of thousands of claims.
class ClaimSweeper : public std::enable_shared_from_this<ClaimSweeper>
{
public:
  ClaimSweeper(const ClaimStoreInit& aInit, ClaimStoreStats& aStats);
  void Tick(TimePoint aNow);

private:
  void Delete(const ScanReply& aReply);

  const ClaimStoreInit& init_;
  ClaimStoreStats& stats_;
  TimePoint next_;
  size_t position_ = 0; ///< Counts through the services and, for each, 256 prefixes.
  bool busy_ = false;
};

} // namespace bg::detail
