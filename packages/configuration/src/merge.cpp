#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "configuration_p.h"

namespace bg {

namespace {

using namespace detail;

/// RFC 7396, keeping the file of each value. An object keeps the file that created it.
void MergePatch(JsonValue& aTarget, JsonValue&& aPatch)
{
  if (aPatch.type != JsonType::Object) {
    aTarget = std::move(aPatch);
    return;
  }
  if (aTarget.type != JsonType::Object) {
    aTarget = JsonValue();
    aTarget.type = JsonType::Object;
    aTarget.file = aPatch.file;
  }
  for (auto& [key, member] : aPatch.members) {
    if (member.type == JsonType::Null)
      aTarget.members.erase(key);
    else
      MergePatch(aTarget.members[key], std::move(member));
  }
}

void Validate(const JsonValue& aRoot,
              const std::vector<std::string>& aFiles,
              ConfigurationReport& aReport)
{
  aReport.body = DumpJson(aRoot);
  const ProblemSink sink(aFiles, aReport.problems);
  if (aReport.body.size() > kMaxConfigurationBytes)
    sink.Add(aRoot,
             "",
             "merged body of " + std::to_string(aReport.body.size()) + " bytes",
             "at most " + std::to_string(kMaxConfigurationBytes) + " bytes");
  ModelSources sources;
  auto model = std::make_shared<Configuration>(ReadModel(aRoot, sink, sources));
  CheckModel(*model, sources, sink);
  model->digest = Sha256Hex(aReport.body);
  if (aReport.problems.empty())
    aReport.configuration = std::move(model);
}

ConfigurationReport FolderProblem(const std::filesystem::path& aFolder, std::string aFound)
{
  ConfigurationReport report;
  report.problems.push_back(
    { aFolder.string(), "", std::move(aFound), "a readable folder with *.json files" });
  return report;
}

bool IsConfigurationFile(const std::filesystem::directory_entry& aEntry)
{
  std::error_code error;
  const auto name = aEntry.path().filename().string();
  return name.ends_with(".json") && !name.starts_with('.') && aEntry.is_regular_file(error);
}

} // namespace

ConfigurationReport MergeConfiguration(std::span<const ConfigurationFile> aFiles)
{
  ConfigurationReport report;
  std::vector<std::string> names;
  JsonValue root;
  root.type = JsonType::Object;
  bool parsed = true;
  for (const auto& file : aFiles) {
    const auto index = static_cast<uint32_t>(names.size());
    names.push_back(file.name);
    auto patch = ParseJson(file, index, report.problems);
    parsed = parsed && patch;
    if (patch && patch->type != JsonType::Object)
      report.problems.push_back({ file.name, "", DescribeValue(*patch), "an object" });
    else if (patch)
      MergePatch(root, std::move(*patch));
  }
  // A file that does not parse hides its keys, so checks of the rest would report missing parts.
  if (parsed)
    Validate(root, names, report);
  return report;
}

ConfigurationReport LoadConfigurationFolder(const std::filesystem::path& aFolder)
{
  std::error_code error;
  std::vector<std::filesystem::path> paths;
  std::filesystem::directory_iterator it(aFolder, error);
  for (; !error && it != std::filesystem::directory_iterator(); it.increment(error)) {
    if (IsConfigurationFile(*it))
      paths.push_back(it->path());
  }
  if (error)
    return FolderProblem(aFolder, error.message());
  if (paths.empty())
    return FolderProblem(aFolder, "no *.json file");
  std::ranges::sort(paths, {}, [](const auto& aPath) { return aPath.filename().string(); });

  std::vector<ConfigurationFile> files;
  for (const auto& path : paths) {
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf() || stream.eof()))
      return FolderProblem(path, std::strerror(errno));
    files.push_back({ path.filename().string(), std::move(text).str() });
  }
  return MergeConfiguration(files);
}

ConfigurationReport ParseConfiguration(std::string_view aBody)
{
  ConfigurationReport report;
  const ConfigurationFile file{ "", std::string(aBody) };
  if (const auto root = ParseJson(file, 0, report.problems))
    Validate(*root, { file.name }, report);
  return report;
}

std::string ToString(const ConfigurationProblem& aProblem)
{
  const std::string pointer = aProblem.pointer.empty() ? "(root)" : aProblem.pointer;
  return (aProblem.file.empty() ? pointer : aProblem.file + ":" + pointer) + ": found " +
         aProblem.found + "; allowed " + aProblem.allowed;
}

} // namespace bg
