#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "boragegauge/configuration.h"

using namespace bg;

namespace {

std::string ReadPage()
{
  std::ifstream stream(BG_CONFIGURATION_PAGE);
  std::ostringstream text;
  text << stream.rdbuf();
  return std::move(text).str();
}

std::string Example(const std::string& aPage)
{
  const std::string fence = "```json\n";
  const auto start = aPage.find(fence) + fence.size();
  return aPage.substr(start, aPage.find("```", start) - start);
}

/// Keys that are allowed beside an unknown one, from the problem "one of a, b, c".
std::vector<std::string> AllowedKeys(const std::string& aBody, const std::string& aPatch)
{
  const std::vector<ConfigurationFile> files{ { "page", aBody }, { "patch", aPatch } };
  const auto report = MergeConfiguration(files);
  REQUIRE(report.problems.size() == 1);
  std::string allowed = report.problems[0].allowed;
  REQUIRE(allowed.starts_with("one of "));
  std::istringstream words(allowed.substr(7));
  std::vector<std::string> keys;
  for (std::string key; std::getline(words >> std::ws, key, ',');)
    keys.push_back(key);
  return keys;
}

} // namespace

// Guards against keys that are added or renamed without the page.
TEST_CASE("docs/configuration.md names every key, and its example loads")
{
  const auto page = ReadPage();
  const auto example = Example(page);
  REQUIRE(ParseConfiguration(example).problems.empty());
  for (const char* const patch : {
         R"({"zzzzzzzzzzzz":1})",
         R"({"services":{"order-desk":{"zzzzzzzzzzzz":1}}})",
         R"({"services":{"order-desk":{"detection":{"zzzzzzzzzzzz":1}}}})",
         R"({"services":{"order-desk":{"upstreams":{"desk-01":{"zzzzzzzzzzzz":1}}}}})",
         R"({"callers":{"stationery-shops":{"zzzzzzzzzzzz":1}}})",
         R"({"routes":{"order":{"zzzzzzzzzzzz":1}}})",
       }) {
    CAPTURE(patch);
    for (const auto& key : AllowedKeys(example, patch)) {
      CAPTURE(key);
      CHECK(page.find("| `" + key + "` |") != std::string::npos);
    }
  }
}
