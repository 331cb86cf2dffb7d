// Checks over the shared state: accepted configuration and ejection permits.
#include <algorithm>
#include <set>

#include "history_checks.h"

namespace bg::support {

using Json = nlohmann::json;

namespace {

constexpr int64_t kNsPerMs = 1000000;

/// What one proxy process showed last.
struct ProxyView
{
  std::string incarnation;
  uint64_t revision = 0;
  Json event;
  int64_t freshSinceNs = 0; ///< Started, or resumed after a pause.
};

/// Compares each observation with the previous ones and with the accepted revisions.
class ConfigCheck
{
public:
  explicit ConfigCheck(int64_t aLimitNs)
    : limitNs_(aLimitNs)
  {
  }

  void Take(const Json& aEvent)
  {
    const std::string kind = aEvent.value("event", "");
    if (kind == "accepted") {
      accepted_.push_back(aEvent);
    } else if (kind == "put" && aEvent.value("key", "") == "configuration/head") {
      // The commit of the head is the moment of acceptance, also when its response is lost.
      const Json head = Json::parse(aEvent.at("value").get<std::string>());
      accepted_.push_back({ { "event", "accepted" },
                            { "revision", head.at("revision") },
                            { "digest", head.at("digest") },
                            { "time_ns", aEvent.at("time_ns") } });
      CheckDigest(head.at("revision"), accepted_.back());
    } else if (kind == "control" && aEvent.contains("change")) {
      ChangePlatform(aEvent);
    } else if (kind == "started" || kind == "resumed") {
      proxies_[aEvent.at("proxy")].freshSinceNs = aEvent.at("time_ns");
    } else if (kind == "observed") {
      Observe(aEvent);
    }
  }

  CheckResult TakeResult() { return std::move(result_); }

private:
  struct Outage
  {
    int64_t startNs = 0;
    int64_t endNs = INT64_MAX;
  };

  /// A platform that answers late is not excused; one that doesn't answer is.
  void ChangePlatform(const Json& aEvent)
  {
    const std::string mode = aEvent.at("change").value("mode", "");
    const bool open = !outages_.empty() && outages_.back().endNs == INT64_MAX;
    if ((mode == "down" || mode == "hang") && !open) {
      outages_.push_back({ aEvent.at("time_ns"), INT64_MAX });
    } else if ((mode == "up" || mode == "slow") && open) {
      outages_.back().endNs = aEvent.at("time_ns");
    }
  }

  /// When a revision must be in force; an outage before that time starts the limit again.
  int64_t DueNs(int64_t aAcceptedNs) const
  {
    int64_t dueNs = aAcceptedNs + limitNs_;
    for (const Outage& outage : outages_) {
      if (outage.startNs < dueNs && outage.endNs > aAcceptedNs) {
        dueNs = outage.endNs == INT64_MAX ? INT64_MAX : outage.endNs + limitNs_;
      }
    }
    return dueNs;
  }

  void Observe(const Json& aEvent)
  {
    ProxyView& view = proxies_[aEvent.at("proxy")];
    const uint64_t revision = aEvent.at("revision");
    const std::string incarnation = aEvent.value("incarnation", "");
    if (view.incarnation == incarnation && revision < view.revision) {
      Add("a proxy went back to an older configuration", { view.event, aEvent });
    }
    CheckDigest(revision, aEvent);
    CheckLate(view, revision, aEvent);
    view.incarnation = incarnation;
    view.revision = revision;
    view.event = aEvent;
  }

  void CheckDigest(uint64_t aRevision, const Json& aEvent)
  {
    if (aRevision == 0) {
      return;
    }
    const auto [known, added] = digests_.try_emplace(aRevision, aEvent);
    if (!added && known->second.value("digest", "") != aEvent.value("digest", "")) {
      Add("one revision with two digests", { known->second, aEvent });
    }
  }

  void CheckLate(const ProxyView& aView, uint64_t aRevision, const Json& aEvent)
  {
    // A proxy that is not ready gets no callers, so its revision harms nobody.
    const int64_t timeNs = aEvent.at("time_ns");
    if (!aEvent.value("ready", true) || timeNs < aView.freshSinceNs + limitNs_) {
      return;
    }
    for (const Json& accepted : accepted_) {
      if (DueNs(accepted.at("time_ns")) > timeNs) {
        continue;
      }
      ++result_.evidence;
      if (aRevision < accepted.at("revision").get<uint64_t>()) {
        Add("an accepted configuration is not in force in time", { accepted, aEvent });
        return;
      }
    }
  }

  void Add(const char* aReason, std::vector<Json> aExcerpt)
  {
    result_.violations.push_back({ aReason, std::move(aExcerpt) });
  }

  int64_t limitNs_;
  CheckResult result_;
  std::vector<Json> accepted_;
  std::vector<Outage> outages_;
  std::map<std::string, ProxyView> proxies_;
  std::map<uint64_t, Json> digests_;
};

struct Permit
{
  std::string upstream;
  int64_t grantedMs = 0;
  int64_t expiresMs = 0;
  bool released = false;
};

std::vector<Permit> ReadPermits(const std::string& aRow)
{
  std::vector<Permit> permits;
  const Json row = Json::parse(aRow);
  for (const Json& entry : row.at("entries")) {
    permits.push_back({ entry.at("upstream"),
                        entry.at("granted_ms"),
                        entry.at("expires_ms"),
                        entry.value("released", false) });
  }
  return permits;
}

/// Follows live upstreams and permits of all services through the platform's history.
class FloorCheck
{
public:
  explicit FloorCheck(const CheckOptions& aOptions)
    : options_(aOptions)
  {
  }

  void Take(const Json& aEvent)
  {
    static const std::string kPrefix = "ejections/";
    const std::string kind = aEvent.value("event", "");
    const std::string key = aEvent.value("key", "");
    if (kind == "host") {
      ChangeHost(aEvent);
    } else if (kind == "put" && key.starts_with(kPrefix)) {
      ChangePermits(key.substr(kPrefix.size()), aEvent);
    } else if (kind == "delete" && key.starts_with(kPrefix)) {
      services_[key.substr(kPrefix.size())].permits.clear();
    }
  }

  CheckResult TakeResult() { return std::move(result_); }

private:
  struct Service
  {
    std::set<std::string> live;
    std::vector<Permit> permits;
    Json permitEvent;
    /// Live counts with the time in ms at which they ended.
    std::vector<std::pair<int64_t, size_t>> earlier;
    int64_t shrunkMs = 0;
    Json shrinkEvent;
  };

  void ChangeHost(const Json& aEvent)
  {
    const Json& entry = aEvent.at("entry");
    if (entry.value("role", "") != "upstream") {
      return;
    }
    const int64_t nowMs = aEvent.at("now_ms");
    Service& service = services_[entry.at("service")];
    const size_t before = service.live.size();
    const std::string host = entry.at("host");
    const bool live = entry.value("state", "live") == "live" && !entry.value("removed", false);
    CheckState(service, entry.at("service"), nowMs, aEvent);
    if (live) {
      service.live.insert(host);
    } else if (service.live.erase(host) > 0) {
      service.earlier.emplace_back(nowMs, before);
      service.shrunkMs = nowMs;
      service.shrinkEvent = aEvent;
    }
  }

  void ChangePermits(const std::string& aService, const Json& aEvent)
  {
    const int64_t nowMs = aEvent.at("now_ms");
    Service& service = services_[aService];
    CheckState(service, aService, nowMs, aEvent);
    const std::vector<Permit> before =
      std::exchange(service.permits, ReadPermits(aEvent.at("value").get<std::string>()));
    const Json previous = std::exchange(service.permitEvent, aEvent);
    const bool granted =
      std::any_of(service.permits.begin(), service.permits.end(), [&before](const Permit& aPermit) {
        return std::none_of(before.begin(), before.end(), [&aPermit](const Permit& aKnown) {
          return aKnown.upstream == aPermit.upstream && aKnown.grantedMs == aPermit.grantedMs;
        });
      });
    if (!granted) {
      return;
    }
    ++result_.evidence;
    // The grantor's knowledge may be as old as the grace; the highest count since then applies.
    size_t healthy = service.live.size();
    for (const auto& [untilMs, count] : service.earlier) {
      healthy = untilMs + options_.graceMs >= nowMs ? std::max(healthy, count) : healthy;
    }
    const size_t ejected = Count(service, nowMs, true);
    if (healthy < ejected + Floor(aService)) {
      result_.violations.push_back(
        { "an ejection was granted below the floor: " + std::to_string(healthy) + " healthy, " +
            std::to_string(ejected) + " ejected",
          { aEvent } });
    }
  }

  /// Checks the state that lasted until now: ejections must end after capacity has shrunk.
  void CheckState(const Service& aService,
                  const std::string& aName,
                  int64_t aNowMs,
                  const Json& aEvent)
  {
    const size_t ejected = Count(aService, aNowMs, false);
    if (aService.shrunkMs == 0 || ejected == 0 || aNowMs < aService.shrunkMs + options_.graceMs) {
      return;
    }
    if (aService.live.size() < ejected + Floor(aName)) {
      result_.violations.push_back({ "ejections were kept after capacity fell to the floor",
                                     { aService.shrinkEvent, aService.permitEvent, aEvent } });
    }
  }

  size_t Floor(const std::string& aService) const
  {
    const auto found = options_.floors.find(aService);
    return found == options_.floors.end() ? 0 : found->second;
  }

  /// Live upstreams under a permit that has not expired; a released permit still counts against a
  /// new grant, because a reader may apply its last copy.
  static size_t Count(const Service& aService, int64_t aNowMs, bool aWithReleased)
  {
    std::set<std::string> ejected;
    for (const Permit& permit : aService.permits) {
      if (permit.expiresMs > aNowMs && (aWithReleased || !permit.released) &&
          aService.live.count(permit.upstream) > 0) {
        ejected.insert(permit.upstream);
      }
    }
    return ejected.size();
  }

  const CheckOptions& options_;
  CheckResult result_;
  std::map<std::string, Service> services_;
};

std::vector<Json> SortedByTime(std::vector<Json> aEvents)
{
  std::stable_sort(aEvents.begin(), aEvents.end(), [](const Json& aLeft, const Json& aRight) {
    return aLeft.value("time_ns", int64_t{ 0 }) < aRight.value("time_ns", int64_t{ 0 });
  });
  return aEvents;
}

} // namespace

namespace detail {

CheckResult CheckConfig(const Histories& aHistories, const CheckOptions& aOptions)
{
  ConfigCheck check(aOptions.configLimitMs * kNsPerMs);
  for (const Json& event : SortedByTime(aHistories.decisions)) {
    check.Take(event);
  }
  return check.TakeResult();
}

CheckResult CheckFloor(const Histories& aHistories, const CheckOptions& aOptions)
{
  FloorCheck check(aOptions);
  for (const Json& event : SortedByTime(aHistories.decisions)) {
    check.Take(event);
  }
  return check.TakeResult();
}

} // namespace detail

} // namespace bg::support
