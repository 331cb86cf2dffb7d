#include <arpa/inet.h>

#include <array>
#include <map>
#include <unordered_map>

#include "configuration_p.h"

namespace bg::detail {

namespace {

/// Binary form of an IP address, so that two spellings of one IPv6 address compare equal.
std::string BinaryAddress(const std::string& aAddress)
{
  std::array<char, sizeof(in6_addr)> bytes{};
  if (inet_pton(AF_INET, aAddress.c_str(), bytes.data()) == 1)
    return { bytes.data(), sizeof(in_addr) };
  if (inet_pton(AF_INET6, aAddress.c_str(), bytes.data()) == 1)
    return { bytes.data(), bytes.size() };
  return {};
}

Source Child(const Source& aSource, std::string_view aKey)
{
  const auto member = aSource.value->members.find(aKey);
  return { member == aSource.value->members.end() ? aSource.value : &member->second,
           ChildPointer(aSource.pointer, aKey) };
}

void CheckUpstreams(const Configuration& aModel,
                    const ModelSources& aSources,
                    const ProblemSink& aSink)
{
  std::unordered_map<std::string, size_t> addresses; // Binary address and port.
  std::unordered_map<std::string_view, size_t> ids;
  for (size_t i = 0; i < aModel.upstreams.size(); ++i) {
    const auto& upstream = aModel.upstreams[i];
    const auto& source = aSources.upstreams[i];
    // Permits, decision records and the host list name an upstream by its id alone.
    if (const auto [it, isNew] = ids.try_emplace(upstream.id, i); !isNew)
      aSink.Add(source,
                "upstream id used by " + aSources.upstreams[it->second].pointer,
                "an id that no other service uses");
    if (upstream.address.empty())
      continue; // Missing or mistyped, already reported.
    const auto address = BinaryAddress(upstream.address);
    if (address.empty()) {
      const auto member = Child(source, "address");
      aSink.Add(member, DescribeValue(*member.value), "IPv4 or IPv6 address");
      continue;
    }
    const auto [it, isNew] = addresses.try_emplace(address + std::to_string(upstream.port), i);
    if (!isNew && upstream.port != 0)
      aSink.Add(Child(source, "port"),
                upstream.address + " port " + std::to_string(upstream.port) + ", used by " +
                  aSources.upstreams[it->second].pointer,
                "an address and port that no other upstream has");
  }
}

void CheckServices(const Configuration& aModel,
                   const ModelSources& aSources,
                   const ProblemSink& aSink)
{
  for (size_t i = 0; i < aModel.services.size(); ++i) {
    const auto& service = aModel.services[i];
    const auto& source = aSources.services[i];
    const auto upstreams = source.value->members.find("upstreams");
    if (upstreams == source.value->members.end() || upstreams->second.type != JsonType::Object)
      continue;
    const size_t count = upstreams->second.members.size();
    if (count == 0)
      aSink.Add(Child(source, "upstreams"), "no upstream", "at least one upstream");
    // With a floor of all upstreams none could ever be ejected.
    else if (service.healthyFloor > count - 1)
      aSink.Add(Child(source, "healthy_floor"),
                "floor " + std::to_string(service.healthyFloor) + " of " + std::to_string(count) +
                  " upstreams",
                "at most " + std::to_string(count - 1) + " (one less than the upstreams)");
  }
}

void CheckCallers(const Configuration& aModel,
                  const ModelSources& aSources,
                  const ProblemSink& aSink)
{
  std::unordered_map<std::string_view, size_t> owners;
  for (size_t i = 0; i < aModel.callers.size(); ++i) {
    for (const auto& prefix : aModel.callers[i].accountPrefixes) {
      const auto [it, isNew] = owners.try_emplace(prefix, i);
      if (!isNew)
        aSink.Add(Child(aSources.callers[i], "account_prefixes"),
                  "prefix \"" + prefix + "\", also of " + aSources.callers[it->second].pointer,
                  "a prefix that no other caller has");
    }
  }
}

/// Reports each pair of routes once, with the first method and caller that they share.
void CheckRoutes(const Configuration& aModel,
                 const ModelSources& aSources,
                 const ProblemSink& aSink)
{
  using Owners = std::map<std::pair<std::string_view, CallerHandle>, size_t>;
  std::unordered_map<std::string_view, Owners> byPrefix;
  for (size_t i = 0; i < aModel.routes.size(); ++i) {
    const auto& route = aModel.routes[i];
    auto& owners = byPrefix[route.pathPrefix];
    std::map<size_t, std::string> overlaps;
    for (const auto& method : route.methods) {
      for (const auto caller : route.callers) {
        const auto [it, isNew] = owners.try_emplace({ method, caller }, i);
        if (!isNew && it->second != i)
          overlaps.try_emplace(it->second, method + " of " + aModel.callers[caller.idx].id);
      }
    }
    for (const auto& [other, what] : overlaps)
      aSink.Add(aSources.routes[i],
                "same path_prefix as " + aSources.routes[other].pointer + " for " + what,
                "each path_prefix, method and caller in one route");
  }
}

} // namespace

void CheckModel(const Configuration& aModel, const ModelSources& aSources, const ProblemSink& aSink)
{
  CheckUpstreams(aModel, aSources, aSink);
  CheckServices(aModel, aSources, aSink);
  CheckCallers(aModel, aSources, aSink);
  CheckRoutes(aModel, aSources, aSink);
}

} // namespace bg::detail
