#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <limits.h>
#include <mutex>

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "boragegauge/base.h"

namespace bg {

namespace {

std::string Quote(std::string_view aValue)
{
  if (!aValue.empty() && aValue.find_first_of(" \"=\n\r\t\\") == std::string_view::npos) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      quoted.push_back('\\');
      quoted.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted.push_back(c);
    }
  }
  quoted.push_back('"');
  return quoted;
}

constexpr const char* kLinePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";

/// Writes whole lines of at most PIPE_BUF bytes when the descriptor has room for them, so that a
/// write never waits; drops them otherwise.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit NonBlockingSink(const LogLimits& aLimits)
    : limits_(aLimits)
    , tokens_(aLimits.linesPerSecond)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    if (!TakeToken(aMessage) || !HasRoom()) {
      ++dropped_;
      return;
    }
    if (const uint64_t dropped = std::exchange(dropped_, 0); dropped > 0) {
      const std::string notice = fmt::format("event=log_lines_dropped count={}", dropped);
      spdlog::details::log_msg line(aMessage);
      line.payload = notice;
      Write(line);
      if (!HasRoom()) {
        ++dropped_;
        return;
      }
    }
    Write(aMessage);
  }

  void flush_() override {}

private:
  /// One second of lines may come at once. Warnings and errors always pass.
  bool TakeToken(const spdlog::details::log_msg& aMessage)
  {
    const std::chrono::duration<double> passed = aMessage.time - last_;
    last_ = aMessage.time;
    // The time of day may jump; a jump back gives no lines.
    tokens_ = std::min<double>(limits_.linesPerSecond,
                               tokens_ + std::max(0.0, passed.count()) * limits_.linesPerSecond);
    if (tokens_ < 1) {
      return aMessage.level >= spdlog::level::warn;
    }
    tokens_ -= 1;
    return true;
  }

  bool HasRoom() const
  {
    pollfd descriptor{ limits_.descriptor, POLLOUT, 0 };
    return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  }

  void Write(const spdlog::details::log_msg& aMessage)
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    if (line.size() > PIPE_BUF) {
      line.resize(PIPE_BUF);
      line[PIPE_BUF - 1] = '\n';
    }
    if (::write(limits_.descriptor, line.data(), line.size()) < 0) {
      ++dropped_;
    }
  }

  LogLimits limits_;
  double tokens_;
  spdlog::log_clock::time_point last_{};
  uint64_t dropped_ = 0;
};

spdlog::logger& Logger()
{
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto created =
      std::make_shared<spdlog::logger>("bg", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    created->set_pattern(kLinePattern, spdlog::pattern_time_type::utc);
    return created;
  }();
  return *logger;
}

spdlog::level::level_enum ToSpdlog(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
    case LogLevel::Count:
      break;
  }
  return spdlog::level::err;
}

} // namespace

LogField::LogField(std::string_view aKey, std::string_view aValue)
  : key(aKey)
  , value(Quote(aValue))
{
}

LogField::LogField(std::string_view aKey, const char* aValue)
  : LogField(aKey, std::string_view(aValue))
{
}

LogField::LogField(std::string_view aKey, double aValue)
  : key(aKey)
  , value(fmt::format("{:.6g}", aValue))
{
}

LogField::LogField(std::string_view aKey, bool aValue)
  : key(aKey)
  , value(aValue ? "true" : "false")
{
}

void SetLogLevel(LogLevel aLevel)
{
  Logger().set_level(ToSpdlog(aLevel));
}

void SetLogLimits(const LogLimits& aLimits)
{
  auto sink = std::make_shared<NonBlockingSink>(aLimits);
  Logger().sinks() = { sink };
  Logger().set_pattern(kLinePattern, spdlog::pattern_time_type::utc);
}

std::optional<LogLevel> ParseLogLevel(std::string_view aName)
{
  static constexpr std::string_view kNames[] = { "debug", "info", "warning", "error" };
  for (size_t i = 0; i < std::size(kNames); ++i) {
    if (kNames[i] == aName) {
      return static_cast<LogLevel>(i);
    }
  }
  return std::nullopt;
}

void Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  spdlog::logger& logger = Logger();
  const auto level = ToSpdlog(aLevel);
  if (!logger.should_log(level)) {
    return;
  }
  std::string line = fmt::format("event={}", aEvent);
  for (const LogField& field : aFields) {
    line += fmt::format(" {}={}", field.key, field.value);
  }
  logger.log(level, line);
}

} // namespace bg
