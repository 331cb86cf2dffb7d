#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "boragegauge/protocol.h"

using namespace bg;

namespace {

struct Sample
{
  std::string name;
  std::string bytes;
};

std::vector<Sample> ReadCorpus(const std::string& aFolder)
{
  std::vector<Sample> files;
  for (const auto& entry : std::filesystem::directory_iterator(BG_CORPUS "/" + aFolder)) {
    std::ostringstream text;
    text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
    files.push_back({ entry.path().filename().string(), text.str() });
  }
  return files;
}

bool IsValid(const std::string& aName)
{
  return aName.starts_with("valid-");
}

} // namespace

TEST_CASE("messages and rows stored by the first release are still read")
{
  // Guards against a change of a codec that makes rows in the table, or messages of proxies that
  // are not updated yet, unreadable.
  const auto messages = ReadCorpus("peer_message");
  CHECK(messages.size() >= 7);
  for (const Sample& sample : messages) {
    CAPTURE(sample.name);
    CHECK(bool(DecodeMessage(sample.bytes)) == IsValid(sample.name));
  }
  const auto rows = ReadCorpus("table_rows");
  CHECK(rows.size() >= 7);
  for (const Sample& sample : rows) {
    CAPTURE(sample.name);
    const std::string& text = sample.bytes;
    const int readable = int(bool(DecodeHead(text))) + int(bool(DecodeEjections(text))) +
                         int(bool(DecodeClaim(text))) + int(bool(DecodeRecord(text)));
    CHECK(readable == (IsValid(sample.name) ? 1 : 0));
  }
}
