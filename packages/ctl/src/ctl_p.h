#pragma once

#include "boragegauge/ctl.h"

namespace bg::ctl {

/// Records of a proxy's GET /decisions, a JSON array.
Result<std::vector<DecisionRecord>> ParseDecisions(const ProxyAddress& aProxy,
                                                   const std::string& aBody);

/// Everything that `status` shows.
struct FleetStatus
{
  Result<std::optional<ConfigurationHead>> head{ std::nullopt };
  std::vector<ProxyStatus> proxies;
  std::vector<std::pair<std::string, EjectionsRow>> ejections; ///< By service.
  int64_t nowMs = 0;                                           ///< Table's clock.
  std::vector<std::string> unreachable;
};

FleetStatus ReadFleetStatus(BlockingPlatform& aPlatform,
                            const ProxyQuery& aQuery,
                            const std::vector<ProxyAddress>& aExtra);

/// The head row; empty before the first apply.
Result<std::optional<ConfigurationHead>> ReadHeadRow(BlockingPlatform& aPlatform);

/// Time for people, in UTC: 2026-01-31T08:15:00.250Z.
std::string FormatTime(int64_t aMs);

/// Parses an age such as 90s, 15m, 2h or 1d before aNowMs, a UTC time such as
/// 2026-01-31T08:15:00Z or 2026-01-31T08:15:00.250Z, or milliseconds since the epoch.
std::optional<int64_t> ParseTime(std::string_view aText, int64_t aNowMs);

/// Parses IP:PORT and [IPV6]:PORT.
std::optional<std::pair<std::string, uint16_t>> ParseAddress(std::string_view aText);

/// Prints results for people or, with aJson, as one JSON document.
class Printer
{
public:
  Printer(std::ostream& aOut, std::ostream& aErr, bool aJson)
    : out_(aOut)
    , err_(aErr)
    , json_(aJson)
  {
  }

  void Validation(const ConfigurationReport& aReport);
  void Diff(const std::vector<ConfigurationChange>& aChanges);
  void Apply(const ApplyResult& aResult);
  void History(const std::vector<HistoryEntry>& aEntries);
  void Status(const FleetStatus& aStatus);
  void Explain(const ExplainResult& aResult);
  void Show(const Timeline& aTimeline);
  void Replay(const DecisionRecord& aRecord, const ReplayResult& aReplay);
  void Failure(const std::string& aMessage);

private:
  void Unreachable(const std::vector<std::string>& aUnreachable);

  std::ostream& out_;
  std::ostream& err_;
  bool json_;
};

} // namespace bg::ctl
