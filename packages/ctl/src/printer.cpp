#include <algorithm>
#include <array>
#include <ostream>

#include <nlohmann/json.hpp>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

using Json = nlohmann::json;

/// Values may hold bytes of callers; invalid UTF-8 is replaced instead of throwing.
std::string Dump(const Json& aJson)
{
  return aJson.dump(2, ' ', false, Json::error_handler_t::replace);
}

std::string_view KindName(ChangeKind aKind)
{
  constexpr std::array<std::string_view, static_cast<size_t>(ChangeKind::Count)> kNames{
    "added", "removed", "changed"
  };
  return kNames[static_cast<size_t>(aKind)];
}

Json ToJson(const std::vector<ConfigurationProblem>& aProblems)
{
  auto array = Json::array();
  for (const auto& problem : aProblems)
    array.push_back({ { "file", problem.file },
                      { "pointer", problem.pointer },
                      { "found", problem.found },
                      { "allowed", problem.allowed } });
  return array;
}

Json ToJson(const std::vector<ConfigurationChange>& aChanges)
{
  auto array = Json::array();
  for (const auto& change : aChanges) {
    Json item{ { "kind", KindName(change.kind) }, { "pointer", change.pointer } };
    if (change.kind != ChangeKind::Added)
      item["before"] = Json::parse(change.before, nullptr, false);
    if (change.kind != ChangeKind::Removed)
      item["after"] = Json::parse(change.after, nullptr, false);
    array.push_back(std::move(item));
  }
  return array;
}

Json ToJson(const ProxyStatus& aStatus)
{
  Json json{ { "host", aStatus.proxy.host }, { "failure_domain", aStatus.proxy.failureDomain } };
  if (aStatus.error) {
    json["error"] = ToString(*aStatus.error);
    return json;
  }
  json["revision"] = aStatus.revision;
  json["digest"] = aStatus.digest;
  json["format_max"] = aStatus.formatMax;
  json["ready"] = aStatus.ready ? Json(*aStatus.ready) : Json();
  json["live_peers"] = aStatus.livePeers ? Json(*aStatus.livePeers) : Json();
  return json;
}

Json EjectionsJson(const FleetStatus& aStatus)
{
  auto array = Json::array();
  for (const auto& [service, row] : aStatus.ejections) {
    for (const auto& entry : row.entries)
      array.push_back({ { "service", service },
                        { "upstream", entry.upstream },
                        { "holder", entry.holder },
                        { "granted_ms", entry.grantedMs },
                        { "expires_ms", entry.expiresMs },
                        { "expired", entry.expiresMs <= aStatus.nowMs },
                        { "released", entry.released },
                        { "record_id", entry.recordId } });
  }
  return array;
}

void PrintProblems(std::ostream& aOut, const std::vector<ConfigurationProblem>& aProblems)
{
  for (const auto& problem : aProblems)
    aOut << ToString(problem) << '\n';
}

/// A whole added service would fill the terminal; --json has the complete values.
std::string Shorten(const std::string& aValue)
{
  constexpr size_t kMaxBytes = 160;
  return aValue.size() <= kMaxBytes
           ? aValue
           : aValue.substr(0, kMaxBytes) + "... (" + std::to_string(aValue.size()) + " bytes)";
}

void PrintChanges(std::ostream& aOut, const std::vector<ConfigurationChange>& aChanges)
{
  for (const auto& change : aChanges) {
    if (change.kind == ChangeKind::Added)
      aOut << "+ " << change.pointer << ": " << Shorten(change.after) << '\n';
    else if (change.kind == ChangeKind::Removed)
      aOut << "- " << change.pointer << ": " << Shorten(change.before) << '\n';
    else
      aOut << "~ " << change.pointer << ": " << Shorten(change.before) << " -> "
           << Shorten(change.after) << '\n';
  }
}

void PrintProxy(std::ostream& aOut, const ProxyStatus& aStatus, uint64_t aHeadRevision)
{
  aOut << "  " << aStatus.proxy.host << " (" << aStatus.proxy.failureDomain << "): ";
  if (aStatus.error) {
    aOut << "no answer\n";
    return;
  }
  aOut << "revision " << aStatus.revision;
  if (aStatus.revision != aHeadRevision)
    aOut << " (head: " << aHeadRevision << ")";
  if (aStatus.ready)
    aOut << (*aStatus.ready ? ", ready" : ", NOT READY");
  if (aStatus.livePeers)
    aOut << ", live peers: " << *aStatus.livePeers;
  aOut << '\n';
}

void PrintEjections(std::ostream& aOut, const FleetStatus& aStatus)
{
  size_t count = 0;
  for (const auto& [service, row] : aStatus.ejections) {
    for (const auto& entry : row.entries) {
      // An expired entry stays in the row for a moment; no proxy applies it.
      if (entry.expiresMs <= aStatus.nowMs)
        continue;
      ++count;
      aOut << "  " << service << "/" << entry.upstream << " by " << entry.holder << " since "
           << FormatTime(entry.grantedMs) << ", "
           << (entry.released ? "released, counted against the floor for another "
                              : "lease ends in ")
           << entry.expiresMs - aStatus.nowMs << " ms, record " << entry.recordId << '\n';
    }
  }
  if (count == 0)
    aOut << "  none\n";
}

} // namespace

void Printer::Validation(const ConfigurationReport& aReport)
{
  const bool valid = aReport.configuration != nullptr;
  if (json_) {
    out_ << Dump({ { "valid", valid },
                   { "digest", valid ? Json(aReport.configuration->digest) : Json() },
                   { "problems", ToJson(aReport.problems) } })
         << '\n';
    return;
  }
  PrintProblems(out_, aReport.problems);
  if (valid)
    out_ << "valid: " << aReport.configuration->services.size() << " services, "
         << aReport.configuration->upstreams.size() << " upstreams, "
         << aReport.configuration->routes.size() << " routes, digest "
         << aReport.configuration->digest << '\n';
  else
    out_ << aReport.problems.size() << " problems\n";
}

void Printer::Diff(const std::vector<ConfigurationChange>& aChanges)
{
  if (json_) {
    out_ << Dump({ { "changes", ToJson(aChanges) } }) << '\n';
    return;
  }
  PrintChanges(out_, aChanges);
  if (aChanges.empty())
    out_ << "no differences\n";
}

void Printer::Apply(const ApplyResult& aResult)
{
  if (json_) {
    out_ << Dump({ { "exit_code", static_cast<int>(aResult.code) },
                   { "revision", aResult.revision },
                   { "digest", aResult.digest },
                   { "change_id", aResult.changeId },
                   { "messages", aResult.messages },
                   { "problems", ToJson(aResult.problems) },
                   { "changes", ToJson(aResult.changes) } })
         << '\n';
    return;
  }
  auto& stream = aResult.code == ExitCode::Ok ? out_ : err_;
  PrintProblems(stream, aResult.problems);
  for (const auto& message : aResult.messages)
    stream << message << '\n';
  if (aResult.code == ExitCode::Conflict && !aResult.changes.empty())
    stream << "accepted since this folder's base:\n";
  PrintChanges(stream, aResult.changes);
}

void Printer::History(const std::vector<HistoryEntry>& aEntries)
{
  if (json_) {
    auto array = Json::array();
    for (const auto& [row, error] : aEntries) {
      Json item{ { "revision", row.revision } };
      if (error)
        item["error"] = ToString(*error);
      else
        item.update({ { "digest", row.digest },
                      { "change_id", row.changeId },
                      { "created_ms", row.createdMs } });
      array.push_back(std::move(item));
    }
    out_ << Dump({ { "revisions", array } }) << '\n';
    return;
  }
  for (const auto& [row, error] : aEntries) {
    out_ << "revision " << row.revision << "  ";
    if (error)
      out_ << ToString(*error) << '\n';
    else
      out_ << FormatTime(row.createdMs) << "  change " << row.changeId << "  digest "
           << row.digest.substr(0, 12) << '\n';
  }
  if (aEntries.empty())
    out_ << "no revision was accepted yet\n";
}

void Printer::Status(const FleetStatus& aStatus)
{
  const bool hasHead = aStatus.head && *aStatus.head;
  const auto head = hasHead ? **aStatus.head : ConfigurationHead();
  if (json_) {
    auto proxies = Json::array();
    for (const auto& proxy : aStatus.proxies)
      proxies.push_back(ToJson(proxy));
    Json headJson;
    if (hasHead)
      headJson = { { "revision", head.revision },
                   { "digest", head.digest },
                   { "change_id", head.changeId } };
    out_ << Dump({ { "head", headJson },
                   { "proxies", proxies },
                   { "ejections", EjectionsJson(aStatus) },
                   { "unreachable", aStatus.unreachable } })
         << '\n';
    return;
  }
  if (hasHead)
    out_ << "head: revision " << head.revision << ", digest " << head.digest.substr(0, 12)
         << ", change " << head.changeId << '\n';
  else
    out_ << (aStatus.head ? "head: none yet\n" : "head: unknown\n");
  out_ << "proxies: " << aStatus.proxies.size() << '\n';
  for (const auto& proxy : aStatus.proxies)
    PrintProxy(out_, proxy, head.revision);
  out_ << "ejections:\n";
  PrintEjections(out_, aStatus);
  Unreachable(aStatus.unreachable);
}

void Printer::Explain(const ExplainResult& aResult)
{
  if (json_) {
    auto records = Json::array();
    for (const auto& record : aResult.records)
      records.push_back(Json::parse(EncodeRecord(record)));
    out_ << Dump({ { "records", records }, { "unreachable", aResult.unreachable } }) << '\n';
    return;
  }
  for (const auto& record : aResult.records)
    out_ << FormatTime(record.timeMs) << "  " << record.id << "\n  " << Describe(record) << '\n';
  if (aResult.records.empty())
    out_ << "no matching decision\n";
  Unreachable(aResult.unreachable);
}

void Printer::Show(const Timeline& aTimeline)
{
  if (json_) {
    auto lines = Json::array();
    for (const LogLine& line : aTimeline.lines) {
      Json fields = Json::object();
      for (const auto& [key, value] : line.fields)
        fields[key] = value;
      lines.push_back({ { "time", FormatTime(line.timeMs) },
                        { "host", line.host },
                        { "event", line.event },
                        { "fields", std::move(fields) } });
    }
    out_ << Dump({ { "summary", aTimeline.summary }, { "lines", std::move(lines) } }) << '\n';
    return;
  }
  if (!aTimeline.summary.empty())
    out_ << aTimeline.summary << '\n';
  if (aTimeline.lines.empty() && aTimeline.summary.empty())
    out_ << "No line mentions it.\n";
  for (const LogLine& line : aTimeline.lines) {
    out_ << FormatTime(line.timeMs) << "  " << line.host << "  " << line.event;
    for (const auto& [key, value] : line.fields)
      out_ << "  " << key << '=' << value;
    out_ << '\n';
  }
}

void Printer::Replay(const DecisionRecord& aRecord, const ReplayResult& aReplay)
{
  if (json_)
    out_ << Dump({ { "record", Json::parse(EncodeRecord(aRecord)) },
                   { "agrees", aReplay.agrees },
                   { "text", aReplay.text } })
         << '\n';
  else
    out_ << Describe(aRecord) << '\n' << aReplay.text << '\n';
}

void Printer::Failure(const std::string& aMessage)
{
  if (json_)
    out_ << Dump({ { "error", aMessage } }) << '\n';
  else
    err_ << aMessage << '\n';
}

void Printer::Unreachable(const std::vector<std::string>& aUnreachable)
{
  for (const auto& item : aUnreachable)
    err_ << "not read: " << item << '\n';
}

} // namespace bg::ctl
