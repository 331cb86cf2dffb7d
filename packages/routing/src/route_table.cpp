#include "boragegauge/routing.h"

#include <algorithm>

namespace bg {

namespace {

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find_first_of("?#"));
}

/// Removes the last segment: "/a/b" gives "/a", "/a" gives "/", "/" gives "".
std::string_view ParentOf(std::string_view aPath)
{
  if (aPath.size() <= 1) {
    return {};
  }
  const size_t slash = aPath.rfind('/');
  return slash == 0 ? aPath.substr(0, 1) : aPath.substr(0, slash);
}

std::string_view TrimTrailingSlashes(std::string_view aPath)
{
  while (aPath.size() > 1 && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

bool Contains(const auto& aItems, const auto& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> aConfiguration)
  : configuration_(std::move(aConfiguration))
{
  for (size_t i = 0; i < configuration_->routes.size(); ++i) {
    const std::string prefix(TrimTrailingSlashes(configuration_->routes[i].pathPrefix));
    routesByPrefix_[prefix].push_back(RouteHandle{ static_cast<uint16_t>(i) });
  }
  for (size_t i = 0; i < configuration_->callers.size(); ++i) {
    for (const std::string& prefix : configuration_->callers[i].accountPrefixes) {
      callersByAccountPrefix_[prefix] = CallerHandle{ static_cast<uint16_t>(i) };
      longestAccountPrefix_ = std::max(longestAccountPrefix_, prefix.size());
    }
  }
}

CallerHandle RouteTable::FindCaller(std::string_view aAccount) const
{
  size_t length = std::min(aAccount.size(), longestAccountPrefix_);
  for (;; --length) {
    const auto found = callersByAccountPrefix_.find(aAccount.substr(0, length));
    if (found != callersByAccountPrefix_.end()) {
      return found->second;
    }
    if (length == 0) {
      return {};
    }
  }
}

RouteMatch RouteTable::Match(std::string_view aMethod,
                             std::string_view aTarget,
                             std::string_view aAccount) const
{
  RouteMatch match;
  match.caller = FindCaller(aAccount);
  if (!IsValid(match.caller)) {
    match.error = RouteError::UnknownCaller;
    return match;
  }
  match.error = RouteError::UnknownPath;
  for (auto path = TrimTrailingSlashes(PathOf(aTarget)); !path.empty(); path = ParentOf(path)) {
    const auto found = routesByPrefix_.find(std::string(path));
    if (found == routesByPrefix_.end()) {
      continue;
    }
    for (const RouteHandle handle : found->second) {
      const RouteConfig& route = configuration_->routes[handle.idx];
      if (!Contains(route.methods, aMethod)) {
        match.error = std::max(match.error, RouteError::MethodNotAllowed);
      } else if (!Contains(route.callers, match.caller)) {
        match.error = std::max(match.error, RouteError::CallerNotAllowed);
      } else {
        match.route = handle;
        match.error = RouteError::None;
        return match;
      }
    }
  }
  return match;
}

} // namespace bg
