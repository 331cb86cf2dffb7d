#include <array>
#include <charconv>
#include <ctime>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

std::optional<int64_t> ParseInteger(std::string_view aText)
{
  int64_t value = 0;
  const auto* const end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  return error == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

int64_t UnitMs(char aUnit)
{
  switch (aUnit) {
    case 's':
      return 1000;
    case 'm':
      return 60000;
    case 'h':
      return 3600000;
    case 'd':
      return 86400000;
    default:
      return 0;
  }
}

/// Milliseconds of "Z" or a fraction of a second such as ".250Z".
std::optional<int64_t> ParseFraction(std::string_view aText)
{
  if (aText == "Z")
    return 0;
  if (aText.size() != 5 || aText.front() != '.' || aText.back() != 'Z')
    return std::nullopt;
  return ParseInteger(aText.substr(1, 3));
}

} // namespace

std::string FormatTime(int64_t aMs)
{
  const std::time_t seconds = aMs / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 64> text{};
  const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  auto millis = std::to_string(aMs % 1000);
  millis.insert(0, 3 - std::min<size_t>(3, millis.size()), '0');
  return std::string(text.data(), size) + "." + millis + "Z";
}

std::optional<int64_t> ParseTime(std::string_view aText, int64_t aNowMs)
{
  if (aText.empty())
    return std::nullopt;
  if (const auto unit = UnitMs(aText.back())) {
    constexpr int64_t kMaxAge = 1000000000;
    const auto age = ParseInteger(aText.substr(0, aText.size() - 1));
    if (age && *age >= 0 && *age <= kMaxAge)
      return aNowMs - *age * unit;
    return std::nullopt;
  }
  if (const auto ms = ParseInteger(aText))
    return ms;
  std::tm utc{};
  const std::string text(aText);
  const char* const rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  const auto fraction = rest ? ParseFraction(rest) : std::nullopt;
  if (!fraction)
    return std::nullopt;
  return static_cast<int64_t>(timegm(&utc)) * 1000 + *fraction;
}

std::optional<std::pair<std::string, uint16_t>> ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  auto address = aText.substr(0, colon);
  if (address.front() == '[' && address.back() == ']')
    address = address.substr(1, address.size() - 2);
  const auto port = ParseInteger(aText.substr(colon + 1));
  if (address.empty() || !port || *port < 1 || *port > 65535)
    return std::nullopt;
  return std::pair(std::string(address), static_cast<uint16_t>(*port));
}

} // namespace bg::ctl
