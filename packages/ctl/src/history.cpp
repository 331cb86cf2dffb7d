#include "ctl_p.h"

namespace bg::ctl {

Result<std::optional<ConfigurationHead>> ReadHeadRow(BlockingPlatform& aPlatform)
{
  const auto reply = aPlatform.ReadRow(kHeadKey);
  if (!reply)
    return reply.Failure();
  if (reply->row.version == 0)
    return std::optional<ConfigurationHead>();
  auto head = DecodeHead(reply->row.value);
  if (!head)
    return head.Failure();
  return std::optional(std::move(*head));
}

/// Reads single rows from the head backwards: a scan would return the rows of all times.
Result<std::vector<HistoryEntry>> ReadHistory(BlockingPlatform& aPlatform, size_t aLimit)
{
  const auto head = ReadHeadRow(aPlatform);
  if (!head)
    return head.Failure();
  std::vector<HistoryEntry> entries;
  uint64_t revision = *head ? (*head)->revision : 0;
  for (; revision > 0 && entries.size() < aLimit; --revision) {
    auto& entry = entries.emplace_back();
    entry.row.revision = revision;
    const auto reply = aPlatform.ReadRow(RevisionKey(revision));
    if (!reply) {
      entry.error = reply.Failure();
    } else if (reply->row.version == 0) {
      entry.error = Error{ Errc::NotFound, "history.read", "platform", "no row" };
    } else if (const auto row = DecodeRevision(reply->row.value); row) {
      entry.row = *row;
    } else {
      entry.error = row.Failure();
    }
  }
  return entries;
}

FleetStatus ReadFleetStatus(BlockingPlatform& aPlatform,
                            const ProxyQuery& aQuery,
                            const std::vector<ProxyAddress>& aExtra)
{
  FleetStatus status;
  status.head = ReadHeadRow(aPlatform);
  if (!status.head)
    status.unreachable.push_back("head: " + ToString(status.head.Failure()));
  auto proxies = aExtra;
  if (const auto live = LiveProxies(aPlatform); live)
    proxies.insert(proxies.end(), live->begin(), live->end());
  else
    status.unreachable.push_back("host list: " + ToString(live.Failure()));
  status.proxies = ReadProxyStatus(proxies, aQuery);
  for (const auto& proxy : status.proxies) {
    if (proxy.error)
      status.unreachable.push_back("proxy " + proxy.proxy.host + ": " + ToString(*proxy.error));
  }
  const auto scan = aPlatform.Scan(kEjectionsPrefix);
  if (!scan) {
    status.unreachable.push_back("ejections: " + ToString(scan.Failure()));
    return status;
  }
  status.nowMs = scan->nowMs;
  for (const auto& row : scan->rows) {
    const auto entries = DecodeEjections(row.value);
    if (entries)
      status.ejections.emplace_back(row.key.substr(kEjectionsPrefix.size()), *entries);
    else
      status.unreachable.push_back(row.key + ": " + ToString(entries.Failure()));
  }
  return status;
}

} // namespace bg::ctl
