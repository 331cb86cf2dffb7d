#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "ctl_p.h"
#include "fake_platform.h"

using namespace bg;
using namespace bg::ctl;

namespace {

/// A folder, a platform and the output of the last command.
struct Console
{
  Console()
  {
    std::filesystem::create_directory(folder);
    Write(24);
    platform->AddProxy("p1");
  }
  ~Console() { std::filesystem::remove_all(folder); }
  Console(const Console&) = delete;
  Console& operator=(const Console&) = delete;

  void Write(int aRetention) const
  {
    std::ofstream(folder / "10.json") << R"({"format":1,"claim_retention_h":)" << aRetention << "}";
  }

  int Run(const std::vector<std::string>& aArguments)
  {
    out.str("");
    err.str("");
    std::vector<const char*> argv{ "boragegauge" };
    for (const auto& argument : aArguments)
      argv.push_back(argument.c_str());
    CtlInit init;
    init.out = &out;
    init.err = &err;
    init.pause = [](Milliseconds) {};
    init.connect = [this](const std::string&, uint16_t) {
      return Session{ platform,
                      [this](std::span<const ProxyAddress> aProxies, std::string_view aTarget) {
                        return std::vector<Result<std::string>>(aProxies.size(),
                                                                bodies.at(std::string(aTarget)));
                      } };
    };
    return RunCtl(init, argv);
  }

  std::filesystem::path folder =
    std::filesystem::temp_directory_path() / ("bg-ctl-" + RandomToken());
  std::shared_ptr<FakePlatform> platform = std::make_shared<FakePlatform>();
  std::map<std::string, std::string> bodies{
    { "/state",
      R"({"revision":0,"digest":"","format_max":1,"ready":true,
          "peers":[{"host":"a","live":true},{"host":"b","live":false},{"host":"c","live":true}]})" },
    { "/decisions", "[]" }
  };
  std::ostringstream out;
  std::ostringstream err;
};

const std::string kPlatform = "--platform=127.0.0.1:1";

} // namespace

TEST_CASE("an operator validates, applies, changes, compares and applies again")
{
  Console console;
  const auto folder = console.folder.string();
  CHECK(console.Run({ "validate", folder }) == 0);
  CHECK(console.Run({ "apply", folder, kPlatform }) == 0);
  CHECK(ReadFolderBase(console.folder).operator*()->revision == 1);
  console.Write(48);
  CHECK(console.Run({ "diff", folder, kPlatform }) == 0);
  CHECK(console.out.str() == "~ /claim_retention_h: 24 -> 48\n");
  CHECK(console.Run({ "apply", folder, kPlatform }) == 0);
  CHECK(console.Run({ "history", kPlatform }) == 0);
  CHECK(console.out.str().find("revision 2") < console.out.str().find("revision 1"));
  CHECK(console.Run({ "status", kPlatform }) == 0);
  CHECK(console.out.str().find("revision 0 (head: 2), ready, live peers: 2") != std::string::npos);
  // The folder of before against the changed one, without a platform.
  const auto copy = folder + "-copy";
  std::filesystem::copy(folder, copy);
  console.Write(12);
  CHECK(console.Run({ "diff", folder, "--against", copy, "--json" }) == 0);
  CHECK(console.out.str().find(R"("after": 12)") != std::string::npos);
  std::filesystem::remove_all(copy);
}

TEST_CASE("an engineer asks what was decided and decides it again")
{
  Console console;
  DecisionRecord record;
  // Guards against a host name with hyphens that is taken apart wrongly.
  record.id = "entry-host-1-17-4";
  record.proxy = "entry-host-1";
  record.timeMs = WallClockMs();
  record.kind = DecisionKind::Avoidance;
  record.service = "desk";
  record.subject = "u7";
  console.platform->AddProxy("entry-host-1");
  console.bodies["/decisions"] = "[" + EncodeRecord(record) + "]";
  CHECK(console.Run({ "explain", kPlatform, "--upstream=u7", "--since=5m" }) == 0);
  CHECK(console.out.str().find(Describe(record)) != std::string::npos);
  CHECK(console.Run({ "explain", kPlatform, "--upstream=u8" }) == 0);
  CHECK(console.out.str() == "no matching decision\n");
  // Found, but its evidence is not that of a verdict.
  CHECK(console.Run({ "explain", kPlatform, "--replay", record.id }) == 1);
  CHECK(console.err.str().find("detection.parse_evidence") != std::string::npos);
  console.platform->objectsDown = true;
  CHECK(console.Run({ "explain", kPlatform, "--json" }) == 4);
  CHECK(console.out.str().find("stored records") != std::string::npos);
}

TEST_CASE("exit codes tell programs what happened")
{
  Console console;
  const auto folder = console.folder.string();
  CHECK(console.Run({ "--help" }) == 0);
  CHECK(console.out.str().find("5 outcome unknown") != std::string::npos);
  CHECK(console.Run({ "apply", "--help" }) == 0);
  CHECK(console.out.str().find("Examples:") != std::string::npos);

  console.Write(0);
  CHECK(console.Run({ "validate", folder, "--json" }) == 1);
  CHECK(console.out.str().find("/claim_retention_h") != std::string::npos);
  CHECK(console.Run({ "apply", folder, kPlatform }) == 1);
  console.Write(24);

  CHECK(console.Run({}) == 2);
  CHECK(console.Run({ "apply" }) == 2);
  CHECK(console.Run({ "status", "--platform=nowhere" }) == 2);
  CHECK(console.Run({ "explain", kPlatform, "--since=yesterday" }) == 2);

  CHECK(console.Run({ "apply", folder, kPlatform }) == 0);
  console.Write(48);
  CHECK(console.Run({ "apply", folder, kPlatform, "--base=7" }) == 3);
  console.platform->tableDown = true;
  CHECK(console.Run({ "apply", folder, kPlatform }) == 4);
  CHECK(console.Run({ "status", kPlatform }) == 4);
  console.platform->tableDown = false;
  console.platform->faults = { CommitFault::LoseResponse };
  console.platform->afterCommit = [&] { console.platform->tableDown = true; };
  CHECK(console.Run({ "apply", folder, kPlatform }) == 5);
  // Guards against recording a base that is not known to be accepted.
  CHECK(ReadFolderBase(console.folder).operator*()->revision == 1);
}

TEST_CASE("a damaged .base.json is refused, not taken as a first apply")
{
  Console console;
  std::ofstream(console.folder / ".base.json") << "{";
  CHECK(console.Run({ "apply", console.folder.string(), kPlatform }) == 1);
  CHECK_FALSE(console.platform->Head());
}

TEST_CASE("times and addresses are read strictly")
{
  CHECK(ParseTime("15m", 1000000) == 100000);
  CHECK(ParseTime("1970-01-01T00:01:00Z", 0) == 60000);
  CHECK(ParseTime("12345", 0) == 12345);
  CHECK_FALSE(ParseTime("15x", 0));
  CHECK_FALSE(ParseTime("-5m", 0));
  CHECK(FormatTime(60007) == "1970-01-01T00:01:00.007Z");
  CHECK(ParseAddress("[::1]:80")->first == "::1");
  CHECK_FALSE(ParseAddress("127.0.0.1"));
  CHECK_FALSE(ParseAddress("127.0.0.1:65536"));
}
