#include <cstdlib>
#include <string_view>

#include "boragegauge/configuration.h"

namespace {

/// Files of one input are separated by a 0x1e byte, which JSON text never contains.
std::vector<bg::ConfigurationFile> Split(std::string_view aInput)
{
  std::vector<bg::ConfigurationFile> files;
  for (;;) {
    const auto end = aInput.find('\x1e');
    files.push_back({ std::to_string(files.size()), std::string(aInput.substr(0, end)) });
    if (end == std::string_view::npos)
      return files;
    aInput.remove_prefix(end + 1);
  }
}

void Require(bool aCondition)
{
  if (!aCondition)
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const auto report =
    bg::MergeConfiguration(Split({ reinterpret_cast<const char*>(aData), aSize }));
  Require((report.configuration != nullptr) == report.problems.empty());
  for (const auto& problem : report.problems)
    Require(!bg::ToString(problem).empty());
  if (!report.configuration)
    return 0;
  // An accepted body parses to itself, under the same digest, and differs from itself in nothing.
  const auto again = bg::ParseConfiguration(report.body);
  Require(again.configuration && again.body == report.body);
  Require(again.configuration->digest == report.configuration->digest);
  Require(bg::DiffConfiguration(report.body, again.body).empty());
  return 0;
}
