#include <algorithm>

#include "caller_memory_p.h"

namespace bg::detail {

void CallerMemory::Update(CallerConnection* aConnection, size_t aBytes)
{
  if (const auto found = positions_.find(aConnection); found != positions_.end()) {
    bytes_ += aBytes - found->second->bytes;
    found->second->bytes = aBytes;
    held_.splice(held_.end(), held_, found->second);
    return;
  }
  bytes_ += aBytes;
  held_.push_back({ aConnection, aBytes });
  positions_.emplace(aConnection, std::prev(held_.end()));
}

void CallerMemory::Remove(CallerConnection* aConnection)
{
  if (const auto found = positions_.find(aConnection); found != positions_.end()) {
    bytes_ -= found->second->bytes;
    held_.erase(found->second);
    positions_.erase(found);
  }
}

CallerConnection* CallerMemory::Excess() const
{
  if (bytes_ <= limit_ || held_.size() < 2) {
    return nullptr;
  }
  // Those with less than an equal share free nothing. One with more exists beyond the limit.
  const size_t share = limit_ / held_.size();
  return std::find_if(
           held_.begin(), held_.end(), [share](const Held& aHeld) { return aHeld.bytes >= share; })
    ->connection;
}

} // namespace bg::detail
