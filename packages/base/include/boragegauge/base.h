#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

#include "boragegauge/config.h"

/// Declares a small typed index into a flat array.
#define BG_HANDLE(aName)                                                                           \
  struct aName                                                                                     \
  {                                                                                                \
    uint16_t idx = UINT16_MAX;                                                                     \
    friend bool operator==(aName, aName) = default;                                                \
    friend auto operator<=>(aName, aName) = default;                                               \
  };                                                                                               \
  inline bool IsValid(aName aHandle)                                                               \
  {                                                                                                \
    return aHandle.idx != UINT16_MAX;                                                              \
  }

namespace bg {

BG_HANDLE(UpstreamHandle)
BG_HANDLE(ServiceHandle)
BG_HANDLE(RouteHandle)
BG_HANDLE(CallerHandle)
BG_HANDLE(FailureDomainHandle)

/// Monotonic time. Decision code receives it as an argument and never reads a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

/// Error conditions shared by all packages.
enum class Errc
{
  InvalidArgument = 1,
  NotFound,
  Conflict,
  Timeout,
  Unavailable,
  OutcomeUnknown, ///< The request may have taken effect; the answer was lost.
  Cancelled,
  TooLarge,
  ProtocolViolation,
  Truncated,
  Refused,

  Count
};

const std::error_category& ErrorCategory();
std::error_code make_error_code(Errc aErrc);

/// An error with the step and the peer at which it arose.
struct Error
{
  std::error_code code;
  std::string step;   ///< Operation that failed, for example "table.commit".
  std::string peer;   ///< Address, host or file involved; empty when there is none.
  std::string detail; ///< Human-readable cause.
};

/// Formats an error as "step=... peer=... error=... detail=...".
std::string ToString(const Error& aError);

/// Either a value or an Error.
template<typename T>
class Result
{
public:
  Result(T aValue)
    : state_(std::move(aValue))
  {
  }
  Result(Error aError)
    : state_(std::move(aError))
  {
  }

  explicit operator bool() const { return state_.index() == 0; }
  T& operator*() { return std::get<0>(state_); }
  const T& operator*() const { return std::get<0>(state_); }
  T* operator->() { return &std::get<0>(state_); }
  const T* operator->() const { return &std::get<0>(state_); }
  const Error& Failure() const { return std::get<1>(state_); }

private:
  std::variant<T, Error> state_;
};

/// SHA-256 of the bytes, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

/// 64-bit non-cryptographic hash (XXH3), stable across processes and releases.
uint64_t Hash64(std::string_view aBytes, uint64_t aSeed = 0);

/// Random token of 32 hexadecimal digits from the operating system's generator.
std::string RandomToken();

/// Milliseconds since the Unix epoch, for records and logs only.
int64_t WallClockMs();

/// Parses a period with the unit "ms" or "s", for example "1500ms" or "2.5s"; up to a day.
std::optional<Milliseconds> ParsePeriod(std::string_view aText);

/// Current monotonic time, including the time during which the machine was suspended, so that
/// leases and deadlines run out meanwhile; only programs and I/O code call it.
TimePoint Now();

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,

  Count
};

/// One key=value pair of a log line. Values with spaces or quotes are quoted.
struct LogField
{
  LogField(std::string_view aKey, std::string_view aValue);
  LogField(std::string_view aKey, const char* aValue);
  LogField(std::string_view aKey, double aValue);
  LogField(std::string_view aKey, bool aValue);

  template<typename Integer>
  requires std::is_integral_v<Integer> LogField(std::string_view aKey, Integer aValue)
    : LogField(aKey, std::string_view(std::to_string(aValue)))
  {
  }

  std::string_view key;
  std::string value;
};

/// Sets the lowest level that is written. Lines go to standard error.
void SetLogLevel(LogLevel aLevel);

struct LogLimits
{
  int descriptor = 1;            ///< File descriptor that lines go to.
  uint32_t linesPerSecond = 200; ///< Further lines below a warning are dropped, and counted.
};

/// Sends lines to a descriptor without ever waiting for its reader. Lines that find no room are
/// dropped; the next line that finds some is preceded by their number.
void SetLogLimits(const LogLimits& aLimits);

/// Parses "debug", "info", "warning" or "error".
std::optional<LogLevel> ParseLogLevel(std::string_view aName);

/// Writes one line "time level event=... key=value ..." for one event.
void Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

} // namespace bg

template<>
struct std::is_error_code_enum<bg::Errc> : std::true_type
{
};
