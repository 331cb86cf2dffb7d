#pragma once

#include <string>

#include "boragegauge/placement.h"

namespace bg::fleet::detail {

/// What has left a failure domain by the grants of this host, as it was last exported.
struct DomainCrossings
{
  std::string domain;
  placement::CrossingReason reason = placement::CrossingReason::None;
  uint64_t requests = 0;
};

} // namespace bg::fleet::detail
