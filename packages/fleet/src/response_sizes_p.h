#pragma once

#include <map>
#include <string>
#include <string_view>

namespace bg::fleet::detail {

/// Moving averages of the sizes of responses, by service. An allocator weighs them against the
/// benefit of an upstream in another failure domain.
class ResponseSizes
{
public:
  void Record(std::string_view aService, size_t aBytes);
  /// @return 0 before the first response.
  size_t Expected(std::string_view aService) const;

private:
  std::map<std::string, double, std::less<>> averages_;
};

} // namespace bg::fleet::detail
