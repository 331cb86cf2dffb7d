#pragma once

#include <filesystem>
#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/configuration.h"
#include "boragegauge/platform.h"
#include "boragegauge/protocol.h"
#include "boragegauge/records.h"

/// The operators' command line. RunCtl() is the whole program; the classes below it are its steps.
namespace bg::ctl {

enum class ExitCode
{
  Ok = 0,
  Problems = 1,       ///< The folder or a record has problems.
  Usage = 2,          ///< Wrong command line.
  Conflict = 3,       ///< Stale folder, or another change was accepted first. Nothing was changed.
  Unreachable = 4,    ///< The platform or a proxy did not answer. Nothing was changed.
  OutcomeUnknown = 5, ///< The change may be in force.

  Count
};

/// Blocking calls of a Platform whose callbacks run on another thread or inside the call.
class BlockingPlatform
{
public:
  explicit BlockingPlatform(Platform& aPlatform, Milliseconds aDeadline = Milliseconds(3000));

  Result<CommitReply> Commit(CommitRequest aRequest);
  Result<RowReply> ReadRow(std::string_view aKey);
  Result<ScanReply> Scan(std::string_view aPrefix);
  Result<bool> PutObject(std::string_view aName, std::string aBytes);
  Result<std::string> GetObject(std::string_view aName);
  Result<std::vector<std::string>> ListObjects(std::string_view aPrefix);
  Result<std::vector<HostEntry>> ListHosts();

private:
  Platform& platform_;
  Milliseconds deadline_;
};

/// Admin address of one proxy.
struct ProxyAddress
{
  std::string host;
  std::string address;
  uint16_t adminPort = 0;
  std::string failureDomain;
};

/// Sends GET aTarget to each proxy and returns the bodies in the same order.
using ProxyQuery =
  std::function<std::vector<Result<std::string>>(std::span<const ProxyAddress> aProxies,
                                                 std::string_view aTarget)>;

/// Proxies that the host list shows as live.
Result<std::vector<ProxyAddress>> LiveProxies(BlockingPlatform& aPlatform);

/// Answer of one proxy to GET /state.
struct ProxyStatus
{
  ProxyAddress proxy;
  std::optional<Error> error; ///< The other fields are unset then.
  uint64_t revision = 0;
  std::string digest;
  uint32_t formatMax = 0;
  std::optional<bool> ready;
  std::optional<uint64_t> livePeers;
};

std::vector<ProxyStatus> ReadProxyStatus(std::span<const ProxyAddress> aProxies,
                                         const ProxyQuery& aQuery);

/// Content of a folder's .base.json: the revision that the folder was made from.
struct FolderBase
{
  uint64_t revision = 0;
  std::string digest;
};

/// Empty when the folder has no .base.json. Fails with ProtocolViolation on invalid content.
Result<std::optional<FolderBase>> ReadFolderBase(const std::filesystem::path& aFolder);
/// Replaces .base.json by renaming a complete new file.
Result<bool> WriteFolderBase(const std::filesystem::path& aFolder, const FolderBase& aBase);

struct ApplyInit
{
  BlockingPlatform* platform = nullptr;
  ProxyQuery queryProxies;
  std::function<std::string()> newChangeId = RandomToken;
  std::function<void(Milliseconds)> pause; ///< Sleeps between attempts.
  std::function<int64_t()> wallClockMs = WallClockMs;
  size_t resolveAttempts = 6;   ///< Reads after a lost response before the outcome is unknown.
  bool skipUnreachable = false; ///< Goes on although a live proxy does not answer.
  Milliseconds retryPause{ 500 };
};

struct ApplyResult
{
  ExitCode code = ExitCode::Ok;
  uint64_t revision = 0; ///< Of the folder's content, when it is accepted.
  std::string digest;
  std::string changeId;
  std::vector<std::string> messages; ///< Sentences for the operator, the cause first.
  std::vector<ConfigurationProblem> problems;
  /// What was changed; for a conflict, what others changed since the folder's base.
  std::vector<ConfigurationChange> changes;
};

/// Puts a folder's content in force (docs/design.md section 5.7).
class Applier
{
public:
  explicit Applier(ApplyInit aInit);
  ApplyResult Apply(const ConfigurationReport& aFolder, const std::optional<FolderBase>& aBase);

private:
  struct Head;
  enum class Resolution;
  Result<Head> ReadHead();
  std::optional<ApplyResult> CheckBase(const Head& aHead, const std::optional<FolderBase>& aBase);
  using Proxies = std::span<const ProxyStatus>;
  static std::optional<ApplyResult> CheckObjections(const Head& aHead,
                                                    uint32_t aFormat,
                                                    Proxies aProxies);
  std::optional<ApplyResult> CheckAnswers(Proxies aProxies) const;
  static std::optional<ApplyResult> CheckInForce(const Head& aHead, Proxies aProxies);
  std::optional<ApplyResult> StoreBody(const std::string& aDigest, const std::string& aBody);
  ApplyResult MoveHead(const Head& aHead, const ConfigurationReport& aFolder);
  Resolution Resolve(const CommitRequest& aCommit, uint64_t aRevision, const std::string& aChange);
  Resolution ReadOutcome(uint64_t aRevision, const std::string& aChange);
  ApplyResult ConflictWith(const std::string& aBaseDigest, std::string aMessage);
  /// Differences are for information only; a body that cannot be read gives a message.
  void AddChanges(ApplyResult& aResult, const std::string& aBefore, const std::string& aAfterBody);
  std::optional<std::string> Body(const std::string& aDigest);

  ApplyInit init_;
};

struct HistoryEntry
{
  RevisionRow row;
  std::optional<Error> error; ///< The row could not be read; only its revision is known.
};

/// The newest revisions, newest first.
Result<std::vector<HistoryEntry>> ReadHistory(BlockingPlatform& aPlatform, size_t aLimit);

struct ExplainQuery
{
  std::string service;
  std::string upstream;
  std::string proxy;
  std::string requestId;
  std::string recordId;
  int64_t sinceMs = 0;
  int64_t untilMs = INT64_MAX;
};

bool Matches(const ExplainQuery& aQuery, const DecisionRecord& aRecord);

struct ExplainResult
{
  std::vector<DecisionRecord> records;  ///< Ordered by time, each id once.
  std::vector<std::string> unreachable; ///< What could not be read, with the cause.
};

struct ExplainInit
{
  BlockingPlatform* platform = nullptr;
  ProxyQuery queryProxies;
  std::vector<ProxyAddress> proxies; ///< Asked in addition to the host list's.
  size_t maxObjectsPerProxy = 2000;  ///< Newest ones; more are reported as not read.
};

/// Collects decision records from the proxies and from the store.
class Explainer
{
public:
  explicit Explainer(ExplainInit aInit);
  ExplainResult Collect(const ExplainQuery& aQuery);

private:
  void ReadProxies(const ExplainQuery& aQuery, ExplainResult& aResult);
  void ReadStore(const ExplainQuery& aQuery, ExplainResult& aResult);
  void ReadBatches(const std::vector<std::string>& aNames,
                   const ExplainQuery& aQuery,
                   ExplainResult& aResult);

  ExplainInit init_;
};

struct ReplayResult
{
  bool agrees = false;
  std::string text; ///< What was decided again, and whether the record says the same.
};

/// Feeds the recorded evidence through the detection code. Fails with NotFound when the record
/// holds no complete evidence of a verdict.
Result<ReplayResult> ReplayRecord(const DecisionRecord& aRecord);

/// One line that a host of a fleet has logged (docs/OPERATIONS.md).
struct LogLine
{
  int64_t timeMs = 0; ///< Of the host's clock.
  std::string host;   ///< Word before the line, or the name of its file.
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields; ///< In the order of the line.
};

/// Empty when the text is no log line.
std::optional<LogLine> ParseLogLine(std::string_view aText, const std::string& aSource);

/// Lines of all files, ordered by time. @param aInput Read for the name "-".
Result<std::vector<LogLine>> ReadLogs(std::span<const std::string> aFiles, std::istream& aInput);

/// What to follow; the fields that are set are alternatives.
struct TimelineQuery
{
  std::string requestId;
  std::string upstream;
  uint64_t revision = 0; ///< 0: none.
};

struct Timeline
{
  std::string summary; ///< How the request ended; empty when none was asked for.
  std::vector<LogLine> lines;
};

/// Lines that mention what was asked for. For a request also those that say what its hosts knew
/// and how its upstreams were judged at the time.
Timeline MakeTimeline(std::span<const LogLine> aLines, const TimelineQuery& aQuery);

/// Connection to one platform and its proxies.
struct Session
{
  std::shared_ptr<Platform> platform;
  ProxyQuery queryProxies;
};

/// HTTP connection to a platform.
Session Connect(const std::string& aAddress, uint16_t aPort);

struct CtlInit
{
  std::function<Session(const std::string& aAddress, uint16_t aPort)> connect;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  std::istream* in = nullptr;              ///< For logs from standard input.
  std::function<void(Milliseconds)> pause; ///< Sleeps.
};

/// Runs one command line, the program's name first, and returns its exit code.
int RunCtl(const CtlInit& aInit, std::span<const char* const> aArguments);

} // namespace bg::ctl
