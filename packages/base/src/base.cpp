#include "boragegauge/base.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cmath>
#include <ctime>

namespace bg {

namespace {

class Category : public std::error_category
{
public:
  const char* name() const noexcept override { return "boragegauge"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<Errc>(aValue)) {
      case Errc::InvalidArgument:
        return "invalid argument";
      case Errc::NotFound:
        return "not found";
      case Errc::Conflict:
        return "conflict";
      case Errc::Timeout:
        return "timeout";
      case Errc::Unavailable:
        return "unavailable";
      case Errc::OutcomeUnknown:
        return "outcome unknown";
      case Errc::Cancelled:
        return "cancelled";
      case Errc::TooLarge:
        return "too large";
      case Errc::ProtocolViolation:
        return "protocol violation";
      case Errc::Truncated:
        return "truncated";
      case Errc::Refused:
        return "refused";
      case Errc::Count:
        break;
    }
    return "unknown error";
  }
};

std::string HexEncode(const unsigned char* aBytes, size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(aSize * 2);
  for (size_t i = 0; i < aSize; ++i) {
    hex.push_back(kDigits[aBytes[i] >> 4]);
    hex.push_back(kDigits[aBytes[i] & 0xf]);
  }
  return hex;
}

} // namespace

const std::error_category& ErrorCategory()
{
  static const Category category;
  return category;
}

std::error_code make_error_code(Errc aErrc)
{
  return { static_cast<int>(aErrc), ErrorCategory() };
}

std::string ToString(const Error& aError)
{
  std::string text = "step=" + aError.step;
  if (!aError.peer.empty()) {
    text += " peer=" + aError.peer;
  }
  text += " error=\"" + aError.code.message() + "\"";
  if (!aError.detail.empty()) {
    text += " detail=\"" + aError.detail + "\"";
  }
  return text;
}

std::string Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, 32> digest{};
  unsigned int size = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return HexEncode(digest.data(), digest.size());
}

uint64_t Hash64(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string RandomToken()
{
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::system_error(make_error_code(Errc::Unavailable), "random generator");
  }
  return HexEncode(bytes.data(), bytes.size());
}

int64_t WallClockMs()
{
  using std::chrono::system_clock;
  return std::chrono::duration_cast<Milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::optional<Milliseconds> ParsePeriod(std::string_view aText)
{
  constexpr double kMaxPeriodMs = 24.0 * 3600 * 1000;
  double number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc{} || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  const std::string_view unit(end, static_cast<size_t>(aText.data() + aText.size() - end));
  const double factor = unit == "ms" ? 1 : unit == "s" ? 1000 : 0;
  if (factor == 0 || number * factor > kMaxPeriodMs) {
    return std::nullopt;
  }
  return Milliseconds(std::llround(number * factor));
}

TimePoint Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec));
}

} // namespace bg
