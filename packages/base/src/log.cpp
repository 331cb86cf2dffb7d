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

spdlog::logger& Logger()
{
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto created =
      std::make_shared<spdlog::logger>("bg", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
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
