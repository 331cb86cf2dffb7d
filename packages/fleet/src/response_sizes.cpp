#include "response_sizes_p.h"

namespace bg::fleet::detail {

namespace {

/// Weight of the newest response. A host sends a service some requests per second, so that the
/// average follows a change of the sizes within seconds.
constexpr double kNewestWeight = 0.05;

} // namespace

void ResponseSizes::Record(std::string_view aService, size_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  const auto found = averages_.find(aService);
  if (found == averages_.end()) {
    averages_.emplace(aService, bytes);
    return;
  }
  found->second += kNewestWeight * (bytes - found->second);
}

size_t ResponseSizes::Expected(std::string_view aService) const
{
  const auto found = averages_.find(aService);
  return found == averages_.end() ? 0 : static_cast<size_t>(found->second);
}

} // namespace bg::fleet::detail
