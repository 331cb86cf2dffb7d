#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "boragegauge/ctl.h"

namespace bg::ctl {

namespace {

using Json = nlohmann::json;

std::filesystem::path BasePath(const std::filesystem::path& aFolder)
{
  return aFolder / ".base.json";
}

Error FileError(Errc aCode, const char* aStep, const std::filesystem::path& aPath, std::string aWhy)
{
  return Error{ aCode, aStep, aPath.string(), std::move(aWhy) };
}

} // namespace

Result<std::optional<FolderBase>> ReadFolderBase(const std::filesystem::path& aFolder)
{
  const auto path = BasePath(aFolder);
  std::error_code error;
  if (!std::filesystem::exists(path, error) && !error)
    return std::optional<FolderBase>();
  std::ifstream stream(path);
  const auto json = Json::parse(stream, nullptr, false);
  try {
    FolderBase base;
    base.revision = json.at("revision").get<uint64_t>();
    base.digest = json.at("digest").get<std::string>();
    return std::optional(base);
  } catch (const Json::exception& exception) {
    return FileError(Errc::ProtocolViolation, "base.read", path, exception.what());
  }
}

Result<bool> WriteFolderBase(const std::filesystem::path& aFolder, const FolderBase& aBase)
{
  const auto path = BasePath(aFolder);
  const auto temporary = aFolder / ".base.json.tmp";
  const Json json{ { "revision", aBase.revision }, { "digest", aBase.digest } };
  std::ofstream stream(temporary);
  stream << json.dump() << '\n';
  stream.close();
  if (!stream)
    return FileError(Errc::Unavailable, "base.write", temporary, "cannot be written");
  std::error_code error;
  std::filesystem::rename(temporary, path, error);
  if (error)
    return FileError(Errc::Unavailable, "base.write", path, error.message());
  return true;
}

} // namespace bg::ctl
