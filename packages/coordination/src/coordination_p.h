#pragma once

#include <memory>
#include <utility>

#include "boragegauge/coordination.h"

namespace bg::detail {

/// Wraps the callback of a platform call so that it does nothing after its owner was destroyed.
template<typename Owner, typename Function>
auto Guarded(const std::shared_ptr<Owner>& aOwner, Function aFunction)
{
  return [weak = std::weak_ptr<Owner>(aOwner), function = std::move(aFunction)](auto aResult) {
    if (const auto owner = weak.lock()) {
      function(*owner, std::move(aResult));
    }
  };
}

/// Calls a hook if it is set.
template<typename Hook, typename... Args>
void Notify(const Hook& aHook, Args&&... aArgs)
{
  if (aHook) {
    aHook(std::forward<Args>(aArgs)...);
  }
}

inline int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

} // namespace bg::detail
