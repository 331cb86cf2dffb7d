#include <ostream>

#include <CLI/CLI.hpp>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

constexpr auto kExitCodes = "Exit codes: 0 ok, 1 problems found, 2 wrong usage, "
                            "3 conflict or stale folder (nothing changed),\n"
                            "4 platform or a proxy unreachable, 5 outcome unknown (the change may "
                            "be in force).";

/// Values of all options; each command reads its own.
struct Options
{
  std::string folder;
  std::string platform;
  std::string against = "in-force";
  std::vector<std::string> admin;
  bool json = false;
  bool skipUnreachable = false;
  std::optional<uint64_t> base;
  size_t limit = 20;
  std::string since = "1h";
  std::string until;
  std::string replay;
  std::vector<std::string> logs;
  uint64_t revision = 0;
  ExplainQuery query;
};

/// One command line after parsing.
class Command
{
public:
  Command(const CtlInit& aInit, const Options& aOptions)
    : init_(aInit)
    , options_(aOptions)
    , printer_(*aInit.out, *aInit.err, aOptions.json)
  {
  }

  ExitCode Validate()
  {
    const auto report = LoadConfigurationFolder(options_.folder);
    printer_.Validation(report);
    return report.configuration ? ExitCode::Ok : ExitCode::Problems;
  }

  ExitCode Diff()
  {
    const auto report = LoadConfigurationFolder(options_.folder);
    if (!report.configuration) {
      printer_.Validation(report);
      return ExitCode::Problems;
    }
    std::string before;
    const auto code = options_.against == "in-force" ? LoadInForce(before) : LoadOther(before);
    if (code == ExitCode::Ok)
      printer_.Diff(DiffConfiguration(before, report.body));
    return code;
  }

  ExitCode Apply()
  {
    if (!Open())
      return ExitCode::Usage;
    auto base = ReadFolderBase(options_.folder);
    if (options_.base)
      base = std::optional(FolderBase{ *options_.base, "" });
    if (!base)
      return Fail(ExitCode::Problems, ToString(base.Failure()));
    ApplyInit init;
    init.platform = &*platform_;
    init.queryProxies = session_.queryProxies;
    init.pause = init_.pause;
    init.skipUnreachable = options_.skipUnreachable;
    auto result = Applier(std::move(init)).Apply(LoadConfigurationFolder(options_.folder), *base);
    if (result.code == ExitCode::Ok) {
      const auto written = WriteFolderBase(options_.folder, { result.revision, result.digest });
      if (!written)
        result.messages.push_back("the folder's base could not be recorded, the next apply needs "
                                  "--base " +
                                  std::to_string(result.revision) + ": " +
                                  ToString(written.Failure()));
    }
    printer_.Apply(result);
    return result.code;
  }

  ExitCode History()
  {
    if (!Open())
      return ExitCode::Usage;
    const auto entries = ReadHistory(*platform_, options_.limit);
    if (!entries)
      return Fail(ExitCode::Unreachable, ToString(entries.Failure()));
    printer_.History(*entries);
    // A missing row is shown but is no failure: proxies that restore a head write no rows for the
    // revisions before it.
    const auto failed = [](const HistoryEntry& aEntry) {
      return aEntry.error && aEntry.error->code != Errc::NotFound;
    };
    return std::ranges::any_of(*entries, failed) ? ExitCode::Unreachable : ExitCode::Ok;
  }

  ExitCode Status()
  {
    if (!Open())
      return ExitCode::Usage;
    const auto status = ReadFleetStatus(*platform_, session_.queryProxies, extraProxies_);
    printer_.Status(status);
    return status.unreachable.empty() ? ExitCode::Ok : ExitCode::Unreachable;
  }

  ExitCode ExplainLogs()
  {
    const TimelineQuery query{ options_.query.requestId,
                               options_.query.upstream,
                               options_.revision };
    if (query.requestId.empty() && query.upstream.empty() && query.revision == 0) {
      return Fail(ExitCode::Usage, "--logs needs --request, --upstream or --revision");
    }
    const auto lines = ReadLogs(options_.logs, *init_.in);
    if (!lines) {
      return Fail(ExitCode::Problems, ToString(lines.Failure()));
    }
    const auto timeline = MakeTimeline(*lines, query);
    printer_.Show(timeline);
    return timeline.lines.empty() ? ExitCode::Problems : ExitCode::Ok;
  }

  ExitCode Explain()
  {
    if (!options_.logs.empty())
      return ExplainLogs();
    if (!Open())
      return ExitCode::Usage;
    auto query = options_.query;
    if (!ReadTimes(query))
      return ExitCode::Usage;
    Explainer explainer({ &*platform_, session_.queryProxies, extraProxies_ });
    if (!options_.replay.empty())
      return Replay(explainer);
    const auto result = explainer.Collect(query);
    printer_.Explain(result);
    return result.unreachable.empty() ? ExitCode::Ok : ExitCode::Unreachable;
  }

private:
  ExitCode Fail(ExitCode aCode, const std::string& aMessage)
  {
    printer_.Failure(aMessage);
    return aCode;
  }

  /// Connects to the platform. False when an address is invalid or missing.
  bool Open()
  {
    const auto platform = ParseAddress(options_.platform);
    if (!platform) {
      printer_.Failure("--platform must be IP:PORT, found \"" + options_.platform + "\"");
      return false;
    }
    for (const auto& text : options_.admin) {
      const auto admin = ParseAddress(text);
      if (!admin) {
        printer_.Failure("--admin must be IP:PORT, found \"" + text + "\"");
        return false;
      }
      extraProxies_.push_back({ text, admin->first, admin->second, "" });
    }
    session_ = init_.connect(platform->first, platform->second);
    platform_.emplace(*session_.platform);
    return true;
  }

  ExitCode LoadInForce(std::string& aBody)
  {
    if (!Open())
      return ExitCode::Usage;
    const auto head = ReadHeadRow(*platform_);
    if (!head)
      return Fail(ExitCode::Unreachable, ToString(head.Failure()));
    if (!*head)
      return ExitCode::Ok;
    auto body = platform_->GetObject(ConfigurationObjectName((*head)->digest));
    if (!body)
      return Fail(ExitCode::Unreachable, ToString(body.Failure()));
    aBody = std::move(*body);
    return ExitCode::Ok;
  }

  ExitCode LoadOther(std::string& aBody)
  {
    auto report = LoadConfigurationFolder(options_.against);
    if (!report.configuration) {
      printer_.Validation(report);
      return ExitCode::Problems;
    }
    aBody = std::move(report.body);
    return ExitCode::Ok;
  }

  bool ReadTimes(ExplainQuery& aQuery)
  {
    const auto now = WallClockMs();
    const auto since = ParseTime(options_.since, now);
    const auto until =
      options_.until.empty() ? std::optional(INT64_MAX) : ParseTime(options_.until, now);
    if (!since || !until) {
      printer_.Failure("--since and --until must be an age (90s, 15m, 2h, 1d), a UTC time "
                       "(2026-01-31T08:15:00Z) or milliseconds since the epoch");
      return false;
    }
    aQuery.sinceMs = *since;
    aQuery.untilMs = *until;
    return true;
  }

  ExitCode Replay(Explainer& aExplainer)
  {
    ExplainQuery query;
    query.recordId = options_.replay;
    // The id is PROXY-INCARNATION-SEQUENCE, and a host name may contain hyphens.
    const auto sequence = options_.replay.rfind('-');
    const auto incarnation = sequence == std::string::npos || sequence == 0
                               ? sequence
                               : options_.replay.rfind('-', sequence - 1);
    if (incarnation != std::string::npos)
      query.proxy = options_.replay.substr(0, incarnation);
    const auto found = aExplainer.Collect(query);
    if (found.records.empty()) {
      printer_.Explain(found);
      return found.unreachable.empty() ? ExitCode::Problems : ExitCode::Unreachable;
    }
    const auto replay = ReplayRecord(found.records.front());
    if (!replay)
      return Fail(ExitCode::Problems, ToString(replay.Failure()));
    printer_.Replay(found.records.front(), *replay);
    return replay->agrees ? ExitCode::Ok : ExitCode::Problems;
  }

  const CtlInit& init_;
  const Options& options_;
  Printer printer_;
  Session session_;
  std::optional<BlockingPlatform> platform_;
  std::vector<ProxyAddress> extraProxies_;
};

CLI::App* AddCommand(CLI::App& aApp,
                     Options& aOptions,
                     const std::string& aName,
                     const std::string& aText,
                     const std::string& aExamples)
{
  auto* const command = aApp.add_subcommand(aName, aText);
  command->footer("Examples:\n" + aExamples + "\n" + kExitCodes);
  command->add_flag("--json", aOptions.json, "Print one JSON document");
  return command;
}

void AddPlatform(CLI::App& aCommand, Options& aOptions)
{
  aCommand.add_option("--platform", aOptions.platform, "Address of the platform, IP:PORT")
    ->envname("BORAGEGAUGE_PLATFORM");
}

void AddFolder(CLI::App& aCommand, Options& aOptions)
{
  aCommand.add_option("FOLDER", aOptions.folder, "Folder with *.json files")->required();
}

void AddAdmin(CLI::App& aCommand, Options& aOptions)
{
  aCommand.add_option("--admin",
                      aOptions.admin,
                      "Admin address IP:PORT of a proxy to ask in addition to the host list, for "
                      "example while the platform is down");
}

void AddFolderCommands(CLI::App& aApp, Options& aOptions)
{
  auto* const validate = AddCommand(aApp,
                                    aOptions,
                                    "validate",
                                    "Report all problems of a folder",
                                    "  boragegauge validate examples/taller");
  AddFolder(*validate, aOptions);

  auto* const diff = AddCommand(aApp,
                                aOptions,
                                "diff",
                                "Show how a folder differs from another or from what is in force",
                                "  boragegauge diff config --platform 10.0.0.1:8000\n"
                                "  boragegauge diff config --against config.before");
  AddFolder(*diff, aOptions);
  AddPlatform(*diff, aOptions);
  diff->add_option("--against", aOptions.against, "A folder, or in-force")->capture_default_str();

  auto* const apply = AddCommand(aApp,
                                 aOptions,
                                 "apply",
                                 "Put a folder in force on all proxies",
                                 "  boragegauge apply config --platform 10.0.0.1:8000\n"
                                 "  boragegauge apply config --platform 10.0.0.1:8000 --base 41");
  AddFolder(*apply, aOptions);
  AddPlatform(*apply, aOptions);
  apply->add_option("--base",
                    aOptions.base,
                    "Revision that the folder was made from, instead of its .base.json; use it "
                    "after taking over a colleague's change");
  apply->add_flag("--skip-unreachable",
                  aOptions.skipUnreachable,
                  "Go on although a proxy that is listed as live does not answer");
}

void AddFleetCommands(CLI::App& aApp, Options& aOptions)
{
  auto* const status = AddCommand(aApp,
                                  aOptions,
                                  "status",
                                  "Show head, proxies and ejections",
                                  "  boragegauge status --platform 10.0.0.1:8000");
  AddPlatform(*status, aOptions);
  AddAdmin(*status, aOptions);

  auto* const history = AddCommand(aApp,
                                   aOptions,
                                   "history",
                                   "Show accepted revisions, newest first",
                                   "  boragegauge history --platform 10.0.0.1:8000 --limit 5");
  AddPlatform(*history, aOptions);
  history->add_option("--limit", aOptions.limit, "Revisions shown")->capture_default_str();

  auto* const explain =
    AddCommand(aApp,
               aOptions,
               "explain",
               "Say what was decided, on which evidence and under which configuration",
               "  boragegauge explain --service order-desk --since 15m\n"
               "  boragegauge explain --upstream desk-07 --since 2026-01-31T08:00:00Z\n"
               "  boragegauge explain --replay entry-3-1769846400000-17\n"
               "  boragegauge explain --request 5b1e --logs host-1.log host-2.log\n"
               "  collect-logs | boragegauge explain --upstream i-86b0 --logs -");
  AddPlatform(*explain, aOptions);
  AddAdmin(*explain, aOptions);
  explain->add_option("--service", aOptions.query.service, "Only this service");
  explain->add_option("--upstream", aOptions.query.upstream, "Only this upstream");
  explain->add_option("--proxy", aOptions.query.proxy, "Only decisions of this proxy");
  explain->add_option("--request", aOptions.query.requestId, "Only this request id");
  explain->add_option("--revision", aOptions.revision, "Only this revision; with --logs");
  explain->add_option("--logs",
                      aOptions.logs,
                      "Read the logs of hosts from these files, - for standard input, and show "
                      "the timeline of a request, an upstream or a revision");
  explain->add_option("--since", aOptions.since, "Age (90s, 15m, 2h, 1d), UTC time or epoch ms")
    ->capture_default_str();
  explain->add_option("--until", aOptions.until, "As --since; default: now");
  explain->add_option(
    "--replay", aOptions.replay, "Feed the evidence of this record through the same code again");
}

ExitCode Dispatch(const CLI::App& aApp, Command& aCommand)
{
  using Step = ExitCode (Command::*)();
  const std::pair<const char*, Step> steps[] = {
    { "validate", &Command::Validate }, { "diff", &Command::Diff },
    { "apply", &Command::Apply },       { "status", &Command::Status },
    { "history", &Command::History },   { "explain", &Command::Explain },
  };
  for (const auto& [name, step] : steps) {
    if (aApp.got_subcommand(name))
      return (aCommand.*step)();
  }
  return ExitCode::Usage;
}

} // namespace

int RunCtl(const CtlInit& aInit, std::span<const char* const> aArguments)
{
  Options options;
  CLI::App app("Operates a fleet of boragegauge proxies.", "boragegauge");
  app.footer(kExitCodes);
  app.require_subcommand(1);
  AddFolderCommands(app, options);
  AddFleetCommands(app, options);
  try {
    app.parse(static_cast<int>(aArguments.size()), aArguments.data());
  } catch (const CLI::ParseError& error) {
    const bool isHelp = app.exit(error, *aInit.out, *aInit.err) == 0;
    return static_cast<int>(isHelp ? ExitCode::Ok : ExitCode::Usage);
  }
  Command command(aInit, options);
  return static_cast<int>(Dispatch(app, command));
}

} // namespace bg::ctl
