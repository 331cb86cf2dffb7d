#include <algorithm>
#include <map>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "boragegauge/configuration.h"

using namespace bg;

namespace {

using Fields = std::map<std::string, std::string>;

/// Writes an object with its members in a random order and with random white space.
std::string Write(const Fields& aFields, std::mt19937& aRandom)
{
  std::vector<std::pair<std::string, std::string>> members(aFields.begin(), aFields.end());
  std::ranges::shuffle(members, aRandom);
  std::string text = "{";
  for (const auto& [key, value] : members) {
    text += text.size() > 1 ? "," : "";
    text.append(aRandom() % 3, ' ').append("\"").append(key).append("\":").append(value);
  }
  return text + "}";
}

std::string WriteBody(std::span<const uint16_t> aPorts, int aThreshold, std::mt19937& aRandom)
{
  Fields upstreams;
  for (const auto port : aPorts)
    upstreams["u" + std::to_string(port)] = Write({ { "address", "\"10.0.0.1\"" },
                                                    { "port", std::to_string(port) },
                                                    { "failure_domain", "\"a\"" } },
                                                  aRandom);
  const Fields service{
    { "healthy_floor", "0" },
    { "detection", Write({ { "threshold", std::to_string(aThreshold / 7.0) } }, aRandom) },
    { "upstreams", Write(upstreams, aRandom) },
  };
  return Write({ { "format", "1" },
                 { "failure_domains", R"(["a"])" },
                 { "services", Write({ { "desk", Write(service, aRandom) } }, aRandom) } },
               aRandom);
}

std::vector<uint16_t> Ports()
{
  auto ports = *rc::gen::nonEmpty(
    rc::gen::unique<std::vector<uint16_t>>(rc::gen::inRange<uint16_t>(1, 65535)));
  return ports;
}

} // namespace

TEST_CASE("the digest does not depend on key order or white space")
{
  const bool passed = rc::check("digest", [] {
    const auto ports = Ports();
    const auto threshold = *rc::gen::inRange(7, 700);
    std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
    const auto first = ParseConfiguration(WriteBody(ports, threshold, random));
    const auto second = ParseConfiguration(WriteBody(ports, threshold, random));
    RC_ASSERT(first.problems.empty());
    RC_ASSERT(first.body == second.body);
    RC_ASSERT(first.configuration->digest == second.configuration->digest);
    // The stored body must verify against the digest that it is stored under.
    const auto again = ParseConfiguration(first.body);
    RC_ASSERT(again.body == first.body);
    RC_ASSERT(again.configuration->digest == Sha256Hex(first.body));
  });
  CHECK(passed);
}

TEST_CASE("the merge depends on the files' order only where they set the same value")
{
  const bool passed = rc::check("merge", [] {
    const auto ports = Ports();
    std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
    std::vector<ConfigurationFile> files;
    files.reserve(ports.size() + 2);
    for (const auto port : ports)
      files.push_back(
        { std::to_string(port) + ".json", WriteBody(std::vector{ port }, 8, random) });
    const auto whole = ParseConfiguration(WriteBody(ports, 8, random));
    RC_ASSERT(MergeConfiguration(files).body == whole.body);
    std::ranges::shuffle(files, random);
    RC_ASSERT(MergeConfiguration(files).body == whole.body);

    // The last file wins where several set the same value.
    files.push_back({ "z1.json", R"({"claim_retention_h":1})" });
    files.push_back({ "z2.json", R"({"claim_retention_h":2})" });
    RC_ASSERT(MergeConfiguration(files).configuration->claimRetentionHours == 2);
  });
  CHECK(passed);
}

TEST_CASE("any bytes give a model or problems, never neither")
{
  const bool passed = rc::check("bytes", [] {
    const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("{}[]\",:0123456789.eE+-\\u truefalsn\xc3\xa9")));
    const auto report = ParseConfiguration(text);
    RC_ASSERT((report.configuration != nullptr) == report.problems.empty());
  });
  CHECK(passed);
}
