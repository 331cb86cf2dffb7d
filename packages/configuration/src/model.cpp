#include <algorithm>
#include <array>

#include "configuration_p.h"

namespace bg::detail {

namespace {

constexpr int64_t kMaxDurationMs = 3600000;
constexpr size_t kMaxIdBytes = 64;
constexpr size_t kMaxAccountPrefixBytes = 128;

constexpr std::array<std::string_view, 7> kMethods{ "GET",    "HEAD", "OPTIONS", "PUT",
                                                    "DELETE", "POST", "PATCH" };
constexpr size_t kIdempotentMethods = 5; ///< The first ones of kMethods.

/// Ids are parts of table keys, log fields and JSON pointers.
bool IsValidId(std::string_view aId)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !aId.empty() && aId.size() <= kMaxIdBytes &&
         aId.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool IsValidPathPrefix(std::string_view aPath)
{
  if (aPath.empty() || aPath.size() > kMaxTargetBytes || aPath.front() != '/')
    return false;
  if (aPath.size() > 1 && aPath.back() == '/')
    return false;
  const auto isPathByte = [](char aByte) {
    return aByte > ' ' && aByte < '\x7f' && aByte != '?' && aByte != '#';
  };
  return std::ranges::all_of(aPath, isPathByte) && aPath.find("//") == std::string_view::npos;
}

bool IsIdempotentMethod(const std::string& aMethod)
{
  const auto* const end = kMethods.begin() + kIdempotentMethods;
  return std::find(kMethods.begin(), end, aMethod) != end;
}

/// Reads the parts in an order in which each reference can be resolved: failure domains,
/// services with upstreams, callers, routes.
class ModelReader
{
public:
  ModelReader(const ProblemSink& aSink, Configuration& aModel, ModelSources& aSources)
    : sink_(aSink)
    , model_(aModel)
    , sources_(aSources)
  {
  }

  void Read(const JsonValue& aRoot)
  {
    ObjectReader reader(aRoot, "", sink_);
    reader.Require("format");
    reader.Integer("format", 1, kConfigurationFormat, model_.format);
    reader.Integer("claim_retention_h", 1, 8760, model_.claimRetentionHours);
    ReadFailureDomains(reader);
    ReadParts(reader, "services", kMaxServices, &ModelReader::ReadService);
    ReadParts(reader, "callers", kMaxCallers, &ModelReader::ReadCaller);
    ReadParts(reader, "routes", kMaxRoutes, &ModelReader::ReadRoute);
    reader.Finish();
    if (upstreamCount_ > kMaxUpstreams)
      sink_.Add(aRoot,
                "/services",
                std::to_string(upstreamCount_) + " upstreams",
                "at most " + std::to_string(kMaxUpstreams));
  }

private:
  using ReadPart = void (ModelReader::*)(const std::string&, const JsonValue&, std::string);

  /// Reads each member of an object; std::map keeps them in the order of their ids.
  void ReadParts(ObjectReader& aReader, std::string_view aKey, size_t aLimit, ReadPart aRead)
  {
    const auto* const parts = aReader.Member(aKey, JsonType::Object);
    if (!parts)
      return;
    const auto pointer = aReader.Pointer(aKey);
    if (parts->members.size() > aLimit) {
      sink_.Add(*parts,
                pointer,
                std::to_string(parts->members.size()) + " members",
                "at most " + std::to_string(aLimit));
      return;
    }
    for (const auto& [id, value] : parts->members) {
      const auto child = ChildPointer(pointer, id);
      CheckId(id, value, child);
      (this->*aRead)(id, value, child);
    }
  }

  void CheckId(const std::string& aId, const JsonValue& aValue, const std::string& aPointer)
  {
    if (!IsValidId(aId))
      sink_.Add(aValue,
                aPointer,
                "id of " + std::to_string(aId.size()) + " bytes",
                "1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'");
  }

  void ReadFailureDomains(ObjectReader& aReader)
  {
    aReader.Strings("failure_domains", model_.failureDomains);
    std::ranges::sort(model_.failureDomains);
    const auto* const domains =
      aReader.Has("failure_domains") ? aReader.Member("failure_domains", JsonType::Array) : nullptr;
    if (!domains)
      return;
    const auto pointer = aReader.Pointer("failure_domains");
    if (domains->items.size() > kMaxFailureDomains)
      sink_.Add(*domains,
                pointer,
                std::to_string(domains->items.size()) + " failure domains",
                "at most " + std::to_string(kMaxFailureDomains));
    for (size_t i = 0; i < domains->items.size(); ++i) {
      const auto& item = domains->items[i];
      if (item.type == JsonType::String)
        CheckId(item.text, item, ChildPointer(pointer, std::to_string(i)));
    }
  }

  void ReadService(const std::string& aId, const JsonValue& aValue, std::string aPointer)
  {
    const ServiceHandle handle{ static_cast<uint16_t>(model_.services.size()) };
    model_.services.emplace_back().id = aId;
    sources_.services.push_back({ &aValue, aPointer });
    ObjectReader reader(aValue, std::move(aPointer), sink_);
    ReadServiceLimits(reader, model_.services.back());
    if (const auto* const detection = reader.Member("detection", JsonType::Object))
      ReadDetection(*detection, reader.Pointer("detection"), model_.services.back().detection);
    reader.Require("upstreams");
    if (const auto* const upstreams = reader.Member("upstreams", JsonType::Object))
      ReadUpstreams(handle, *upstreams, reader.Pointer("upstreams"));
    reader.Finish();
  }

  static void ReadServiceLimits(ObjectReader& aReader, ServiceConfig& aService)
  {
    aReader.Integer("slots_per_upstream", 1, 10000, aService.slotsPerUpstream);
    aReader.Integer("max_connections_per_upstream", 1, 65535, aService.maxConnectionsPerUpstream);
    aReader.Integer("healthy_floor", 0, kMaxUpstreams, aService.healthyFloor);
    aReader.Real("retry_budget", 0, 1, aService.retryBudget);
    aReader.Boolean("hedge", aService.hedge);
    aReader.Integer("max_concurrency", 1, 65535, aService.maxConcurrency);
    aReader.Integer("queue_limit", 0, 65535, aService.queueLimit);
    aReader.Duration("slow_start_ms", 0, kMaxDurationMs, aService.slowStart);
    aReader.Duration("connect_timeout_ms", 1, 60000, aService.connectTimeout);
  }

  void ReadDetection(const JsonValue& aValue, std::string aPointer, DetectionConfig& aDetection)
  {
    ObjectReader reader(aValue, aPointer, sink_);
    reader.Real("threshold", 1, 100, aDetection.threshold);
    reader.Real("slow_factor", 1.1, 100, aDetection.slowFactor);
    reader.Real("max_bad_fraction", 0, 1, aDetection.maxBadFraction);
    reader.Duration("min_backoff_ms", 100, kMaxDurationMs, aDetection.minBackoff);
    reader.Duration("max_backoff_ms", 100, kMaxDurationMs, aDetection.maxBackoff);
    reader.Finish();
    if (aDetection.minBackoff > aDetection.maxBackoff)
      sink_.Add(aValue,
                std::move(aPointer),
                "min_backoff_ms " + std::to_string(aDetection.minBackoff.count()) +
                  " over max_backoff_ms " + std::to_string(aDetection.maxBackoff.count()),
                "min_backoff_ms at most max_backoff_ms");
  }

  void ReadUpstreams(ServiceHandle aService, const JsonValue& aValue, const std::string& aPointer)
  {
    upstreamCount_ += aValue.members.size();
    if (upstreamCount_ > kMaxUpstreams)
      return;
    for (const auto& [id, member] : aValue.members) {
      const auto pointer = ChildPointer(aPointer, id);
      CheckId(id, member, pointer);
      ReadUpstream(aService, id, member, pointer);
    }
  }

  void ReadUpstream(ServiceHandle aService,
                    const std::string& aId,
                    const JsonValue& aValue,
                    const std::string& aPointer)
  {
    UpstreamConfig upstream;
    upstream.id = aId;
    upstream.service = aService;
    ObjectReader reader(aValue, aPointer, sink_);
    for (const auto* const key : { "address", "port", "failure_domain" })
      reader.Require(key);
    reader.String("address", upstream.address);
    reader.Integer("port", 1, 65535, upstream.port);
    reader.Integer("admin_port", 0, 65535, upstream.adminPort);
    if (const auto* const domain = reader.Member("failure_domain", JsonType::String))
      upstream.failureDomain.idx = Resolve(model_.failureDomains, *domain, "failure domain", [&] {
        return reader.Pointer("failure_domain");
      });
    reader.Finish();
    const UpstreamHandle handle{ static_cast<uint16_t>(model_.upstreams.size()) };
    model_.services[aService.idx].upstreams.push_back(handle);
    model_.upstreams.push_back(std::move(upstream));
    sources_.upstreams.push_back({ &aValue, aPointer });
  }

  void ReadCaller(const std::string& aId, const JsonValue& aValue, std::string aPointer)
  {
    CallerConfig caller;
    caller.id = aId;
    ObjectReader reader(aValue, aPointer, sink_);
    reader.Require("account_prefixes");
    reader.Strings("account_prefixes", caller.accountPrefixes);
    for (const auto& prefix : caller.accountPrefixes) {
      if (prefix.size() > kMaxAccountPrefixBytes)
        sink_.Add(aValue,
                  reader.Pointer("account_prefixes"),
                  "prefix of " + std::to_string(prefix.size()) + " bytes",
                  "at most " + std::to_string(kMaxAccountPrefixBytes) + " bytes");
    }
    reader.Integer("weight", 1, 1000, caller.weight);
    reader.Integer("max_requests_per_s", 0, 1000000, caller.maxRequestsPerSecond);
    reader.Finish();
    model_.callers.push_back(std::move(caller));
    sources_.callers.push_back({ &aValue, std::move(aPointer) });
  }

  void ReadRoute(const std::string& aId, const JsonValue& aValue, std::string aPointer)
  {
    RouteConfig route;
    route.id = aId;
    ObjectReader reader(aValue, aPointer, sink_);
    for (const auto* const key : { "path_prefix", "methods", "callers", "service" })
      reader.Require(key);
    if (const auto* const path = reader.String("path_prefix", route.pathPrefix);
        path && !IsValidPathPrefix(path->text))
      sink_.Add(*path,
                reader.Pointer("path_prefix"),
                DescribeValue(*path),
                "path that starts with '/', without trailing '/', query and empty segments");
    ReadMethods(reader, route);
    ReadRouteCallers(reader, route);
    if (const auto* const service = reader.Member("service", JsonType::String))
      route.service.idx =
        Resolve(model_.services, *service, "service", [&] { return reader.Pointer("service"); });
    route.idempotent = std::ranges::all_of(route.methods, IsIdempotentMethod);
    reader.Boolean("idempotent", route.idempotent);
    reader.Boolean("require_idempotency_key", route.requireIdempotencyKey);
    reader.Duration("deadline_ms", 1, kMaxDurationMs, route.deadline);
    reader.Integer("max_body_bytes", 0, kMaxBodyBytesLimit, route.maxBodyBytes);
    reader.Finish();
    model_.routes.push_back(std::move(route));
    sources_.routes.push_back({ &aValue, std::move(aPointer) });
  }

  void ReadMethods(ObjectReader& aReader, RouteConfig& aRoute)
  {
    const auto* const methods = aReader.Strings("methods", aRoute.methods);
    for (size_t i = 0; methods && i < methods->items.size(); ++i) {
      const auto& item = methods->items[i];
      if (item.type == JsonType::String && std::ranges::find(kMethods, item.text) == kMethods.end())
        sink_.Add(item,
                  ChildPointer(aReader.Pointer("methods"), std::to_string(i)),
                  DescribeValue(item),
                  "one of GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH");
    }
  }

  void ReadRouteCallers(ObjectReader& aReader, RouteConfig& aRoute)
  {
    std::vector<std::string> names;
    const auto* const callers = aReader.Strings("callers", names);
    for (size_t i = 0; callers && i < callers->items.size(); ++i) {
      const auto& item = callers->items[i];
      if (item.type != JsonType::String)
        continue;
      const CallerHandle handle{ Resolve(model_.callers, item, "caller", [&] {
        return ChildPointer(aReader.Pointer("callers"), std::to_string(i));
      }) };
      if (IsValid(handle))
        aRoute.callers.push_back(handle);
    }
  }

  static std::string_view IdOf(const std::string& aId) { return aId; }
  template<typename Part>
  static std::string_view IdOf(const Part& aPart)
  {
    return aPart.id;
  }

  /// Index of the id in the sorted parts; reports an unknown one and returns UINT16_MAX. The
  /// pointer is only made for a report.
  template<typename Part, typename MakePointer>
  uint16_t Resolve(const std::vector<Part>& aParts,
                   const JsonValue& aValue,
                   std::string_view aWhat,
                   MakePointer aPointer)
  {
    const auto id = [](const Part& aPart) { return IdOf(aPart); };
    const auto it = std::ranges::lower_bound(aParts, std::string_view(aValue.text), {}, id);
    if (it != aParts.end() && IdOf(*it) == aValue.text)
      return static_cast<uint16_t>(it - aParts.begin());
    std::vector<std::string_view> ids(aParts.size());
    std::ranges::transform(aParts, ids.begin(), id);
    const auto nearest = Nearest(aValue.text, ids);
    sink_.Add(aValue,
              aPointer(),
              "unknown " + std::string(aWhat) + " " + DumpJson(aValue),
              nearest.empty() ? "the id of a " + std::string(aWhat)
                              : "\"" + nearest + "\" (nearest id)");
    return UINT16_MAX;
  }

  const ProblemSink& sink_;
  Configuration& model_;
  ModelSources& sources_;
  size_t upstreamCount_ = 0;
};

} // namespace

Configuration ReadModel(const JsonValue& aRoot, const ProblemSink& aSink, ModelSources& aSources)
{
  Configuration model;
  if (aRoot.type == JsonType::Object)
    ModelReader(aSink, model, aSources).Read(aRoot);
  else
    aSink.Add(aRoot, "", DescribeValue(aRoot), "an object");
  return model;
}

} // namespace bg::detail
