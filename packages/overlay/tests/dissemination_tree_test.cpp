#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "boragegauge/overlay.h"

using namespace bg;
using namespace bg::overlay;

namespace {

struct HostName
{
  std::string host;
  std::string domain;
};

std::vector<HostName> MakeHosts(size_t aCount, size_t aDomains)
{
  std::vector<HostName> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    hosts.push_back({ "host" + std::to_string(i), "domain" + std::to_string(i % aDomains) });
  }
  return hosts;
}

DisseminationTree MakeTree(const HostName& aSelf, const std::vector<HostName>& aHosts)
{
  DisseminationTree tree({ aSelf.host, aSelf.domain });
  for (const HostName& host : aHosts) {
    tree.Add(host.host, host.domain);
  }
  return tree;
}

} // namespace

TEST_CASE("the trees of a fleet")
{
  for (const size_t count : { 1UL, 5UL, 40UL, 443UL, 2500UL }) {
    CAPTURE(count);
    const std::vector<HostName> hosts = MakeHosts(count, 6);
    std::map<std::string, DisseminationTree> trees;
    for (const HostName& host : hosts) {
      trees.emplace(host.host, MakeTree(host, hosts));
    }
    // Children and parents match, each host below the heads has two parents, and no host has more
    // connections than the bound, whatever the size of the fleet.
    std::map<std::string, std::set<std::string>> parents;
    std::set<size_t> orders;
    for (const auto& [host, tree] : trees) {
      CHECK(tree.Children().size() <= 16);
      CHECK(tree.Heads().size() <= 16);
      CHECK(tree.Contacts(1).size() <= 10);
      CHECK(tree.Depth() <= 2);
      orders.insert(tree.Order());
      for (const std::string& child : tree.Children()) {
        parents[child].insert(host);
      }
    }
    for (const auto& [host, tree] : trees) {
      const std::set<std::string> expected(tree.Parents().begin(), tree.Parents().end());
      CHECK(parents[host] == expected);
      CHECK(expected.size() == (tree.Depth() == 0 ? 0 : 2));
    }
    CHECK(orders.size() == count);
    CHECK(*orders.rbegin() == count - 1);
  }
}

TEST_CASE("a tree does not depend on the order in which hosts become known")
{
  std::vector<HostName> hosts = MakeHosts(100, 2);
  const DisseminationTree tree = MakeTree(hosts[7], hosts);
  std::reverse(hosts.begin(), hosts.end());
  const DisseminationTree reversed = MakeTree(hosts[92], hosts);
  CHECK(tree.Children() == reversed.Children());
  CHECK(tree.Parents() == reversed.Parents());
  CHECK(tree.Order() == reversed.Order());
}

TEST_CASE("hosts with more capacity come first on the way of state")
{
  std::vector<HostName> hosts = MakeHosts(120, 4);
  const auto isStrong = [](size_t aIndex) { return aIndex % 30 < 4; }; // Four of each domain.
  const auto makeTree = [&](size_t aSelf) {
    DisseminationTree tree({ .host = hosts[aSelf].host,
                             .failureDomain = hosts[aSelf].domain,
                             .capacity = isStrong(aSelf) ? 50U : 10U });
    for (size_t i = hosts.size(); i-- > 0;) {
      tree.Add(hosts[i].host, hosts[i].domain, isStrong(i) ? 50 : 10);
    }
    return tree;
  };
  std::map<std::string, size_t> indexes;
  for (size_t i = 0; i < hosts.size(); ++i) {
    indexes[hosts[i].host] = i;
  }
  SUBCASE("they are heads and first contacts, without being the first to read the store")
  {
    for (size_t i = 0; i < hosts.size(); ++i) {
      const DisseminationTree tree = makeTree(i);
      CHECK(tree.Order() == MakeTree(hosts[i], hosts).Order());
      CHECK((tree.Depth() == 0 || !isStrong(i)));
      const std::vector<std::string> contacts = tree.Contacts(0);
      CHECK(std::count_if(contacts.begin(), contacts.end(), [&](const std::string& aHost) {
              return isStrong(indexes[aHost]);
            }) >= 3); // The first contact of each other domain.
    }
  }
  SUBCASE("also if their capacity was not known at first, or changes")
  {
    DisseminationTree tree({ .host = "self", .failureDomain = "a", .capacity = 10 });
    CHECK(tree.Add("other", "a", 5));
    CHECK(tree.RandomHead(0, true) == "other");
    CHECK_FALSE(tree.Add("other", "a", 20));
    CHECK_FALSE(tree.Add("self", "a", 90)); // What others think of this host.
    CHECK(tree.Size() == 2);
  }
}
