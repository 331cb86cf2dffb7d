#pragma once

#include <memory>
#include <utility>

#include "boragegauge/coordination.h"

namespace bg::detail {

/// Callback of a platform call that does nothing once its owner is gone.
template<typename Owner, typename Function>
auto Guarded(const std::shared_ptr<Owner>& aOwner, Function aFunction)
{
  return [weak = std::weak_ptr<Owner>(aOwner), function = std::move(aFunction)](auto aResult) {
    if (const auto owner = weak.lock()) {
      function(*owner, std::move(aResult));
    }
  };
}

/// Calls a hook if there is one.
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
