#include <algorithm>
#include <cctype>
#include <iterator>
#include <map>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

constexpr std::string_view kDecisionsPrefix = "decisions/";

/// Batches of one proxy are in the order of their records, but a record's time is that of the
/// first of its repeats, and a batch may wait for the store.
constexpr int64_t kBatchSlackMs = 120000;

/// "decisions/HOST/INCARNATION-SEQUENCE" without the part after the last slash.
std::string HostOf(const std::string& aName)
{
  const auto slash = aName.rfind('/');
  return slash <= kDecisionsPrefix.size()
           ? std::string()
           : aName.substr(kDecisionsPrefix.size(), slash - kDecisionsPrefix.size());
}

/// Numbers of "INCARNATION-SEQUENCE", which sort by value and not by digits.
std::vector<uint64_t> OrderOf(const std::string& aName)
{
  std::vector<uint64_t> numbers;
  bool inNumber = false;
  for (const char c : aName.substr(aName.rfind('/') + 1)) {
    const bool digit = std::isdigit(static_cast<unsigned char>(c)) != 0;
    if (digit && !inNumber)
      numbers.push_back(0);
    if (digit)
      numbers.back() = numbers.back() * 10 + static_cast<uint64_t>(c - '0');
    inNumber = digit;
  }
  return numbers;
}

void AddRecord(const ExplainQuery& aQuery, DecisionRecord aRecord, ExplainResult& aResult)
{
  if (Matches(aQuery, aRecord))
    aResult.records.push_back(std::move(aRecord));
}

/// Adds the records of one batch and returns the newest time in it.
int64_t AddBatch(const std::string& aName,
                 std::string_view aText,
                 const ExplainQuery& aQuery,
                 ExplainResult& aResult)
{
  int64_t newest = 0;
  while (!aText.empty()) {
    const auto line = aText.substr(0, aText.find('\n'));
    aText.remove_prefix(std::min(line.size() + 1, aText.size()));
    if (line.empty())
      continue;
    if (auto record = DecodeRecord(line)) {
      newest = std::max(newest, record->timeMs);
      AddRecord(aQuery, std::move(*record), aResult);
    } else {
      aResult.unreachable.push_back("a record of " + aName + ": " + ToString(record.Failure()));
    }
  }
  return newest;
}

/// Orders by time and keeps each id once. The copy with the higher count is the later one.
void Merge(std::vector<DecisionRecord>& aRecords)
{
  std::ranges::sort(aRecords, [](const DecisionRecord& aLeft, const DecisionRecord& aRight) {
    return std::tie(aLeft.id, aRight.count) < std::tie(aRight.id, aLeft.count);
  });
  const auto sameId = [](const DecisionRecord& aLeft, const DecisionRecord& aRight) {
    return aLeft.id == aRight.id;
  };
  aRecords.erase(std::unique(aRecords.begin(), aRecords.end(), sameId), aRecords.end());
  std::ranges::stable_sort(aRecords, {}, &DecisionRecord::timeMs);
}

} // namespace

bool Matches(const ExplainQuery& aQuery, const DecisionRecord& aRecord)
{
  const auto fits = [](const std::string& aWanted, const std::string& aActual) {
    return aWanted.empty() || aWanted == aActual;
  };
  return fits(aQuery.service, aRecord.service) && fits(aQuery.upstream, aRecord.subject) &&
         fits(aQuery.proxy, aRecord.proxy) && fits(aQuery.requestId, aRecord.requestId) &&
         fits(aQuery.recordId, aRecord.id) && aRecord.timeMs >= aQuery.sinceMs &&
         aRecord.timeMs <= aQuery.untilMs;
}

Explainer::Explainer(ExplainInit aInit)
  : init_(std::move(aInit))
{
}

ExplainResult Explainer::Collect(const ExplainQuery& aQuery)
{
  ExplainResult result;
  ReadProxies(aQuery, result);
  ReadStore(aQuery, result);
  Merge(result.records);
  return result;
}

void Explainer::ReadProxies(const ExplainQuery& aQuery, ExplainResult& aResult)
{
  // An address stated by the operator has no host name to select by.
  auto proxies = init_.proxies;
  if (const auto live = LiveProxies(*init_.platform); live)
    std::ranges::copy_if(*live, std::back_inserter(proxies), [&](const ProxyAddress& aProxy) {
      return aQuery.proxy.empty() || aQuery.proxy == aProxy.host;
    });
  else
    aResult.unreachable.push_back("host list: " + ToString(live.Failure()));

  const auto bodies = init_.queryProxies(proxies, "/decisions");
  for (size_t i = 0; i < proxies.size(); ++i) {
    const auto records = bodies[i] ? ParseDecisions(proxies[i], *bodies[i]) : bodies[i].Failure();
    if (!records) {
      aResult.unreachable.push_back("proxy " + proxies[i].host + ": " +
                                    ToString(records.Failure()));
      continue;
    }
    for (const auto& record : *records)
      AddRecord(aQuery, record, aResult);
  }
}

void Explainer::ReadStore(const ExplainQuery& aQuery, ExplainResult& aResult)
{
  std::string prefix(kDecisionsPrefix);
  if (!aQuery.proxy.empty())
    prefix += aQuery.proxy + "/";
  const auto names = init_.platform->ListObjects(prefix);
  if (!names) {
    aResult.unreachable.push_back("stored records: " + ToString(names.Failure()));
    return;
  }
  std::map<std::string, std::vector<std::string>> byHost;
  for (const auto& name : *names)
    byHost[HostOf(name)].push_back(name);
  for (auto& [host, batches] : byHost) {
    std::ranges::sort(batches, std::greater(), OrderOf);
    if (batches.size() > init_.maxObjectsPerProxy) {
      const auto older = batches.size() - init_.maxObjectsPerProxy;
      batches.resize(init_.maxObjectsPerProxy);
      ReadBatches(batches, aQuery, aResult);
      aResult.unreachable.push_back(std::to_string(older) + " oldest batches of proxy " + host +
                                    ": over the limit, narrow with --proxy and --since");
    } else {
      ReadBatches(batches, aQuery, aResult);
    }
  }
}

/// Reads newest first and stops at the first batch that ends before the wanted time.
void Explainer::ReadBatches(const std::vector<std::string>& aNames,
                            const ExplainQuery& aQuery,
                            ExplainResult& aResult)
{
  for (const auto& name : aNames) {
    const auto text = init_.platform->GetObject(name);
    if (!text) {
      aResult.unreachable.push_back(name + ": " + ToString(text.Failure()));
      // An outage concerns the batches that follow as well; one line says so.
      if (text.Failure().code != Errc::NotFound)
        return;
      continue;
    }
    if (AddBatch(name, *text, aQuery, aResult) < aQuery.sinceMs - kBatchSlackMs)
      return;
  }
}

} // namespace bg::ctl
