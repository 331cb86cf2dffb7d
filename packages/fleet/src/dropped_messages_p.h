#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include "metrics_p.h"

namespace bg::fleet::detail {

/// Counts messages to hosts that were not sent, because there was no connection or a queue was
/// full.
class DroppedMessages
{
public:
  void Record(const std::string& aHost, DomainBytesKind aKind)
  {
    ++hosts_[aHost];
    ++kinds_[static_cast<size_t>(aKind)];
  }

  bool Empty() const { return hosts_.empty(); }
  uint64_t Count() const { return Count(DomainBytesKind::Slot) + Count(DomainBytesKind::State); }
  uint64_t Count(DomainBytesKind aKind) const { return kinds_[static_cast<size_t>(aKind)]; }
  size_t Hosts() const { return hosts_.size(); }

  /// The host to which most of them were, and how many.
  std::pair<std::string, uint64_t> Most() const
  {
    const auto most =
      std::max_element(hosts_.begin(), hosts_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    if (most == hosts_.end()) {
      return {};
    }
    return { most->first, most->second };
  }

private:
  std::map<std::string, uint64_t> hosts_;
  std::array<uint64_t, static_cast<size_t>(DomainBytesKind::Count)> kinds_{};
};

} // namespace bg::fleet::detail
