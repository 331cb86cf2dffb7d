#include <doctest/doctest.h>

#include "members_p.h"

using namespace bg;
using namespace bg::fleet::detail;

namespace {

Member MakeMember(const std::string& aHost,
                  const std::string& aDomain = "a",
                  uint64_t aIncarnation = 1)
{
  return { aHost, "10.0.0.1", 7000, aDomain, aIncarnation };
}

const TimePoint kStart{ std::chrono::hours(1) };

} // namespace

TEST_CASE("members of the fleet")
{
  Members members({ .self = MakeMember("self") });
  members.Add(MakeMember("near"));
  members.Add(MakeMember("far", "b"));
  SUBCASE("include this host in the count")
  {
    CHECK(members.Count() == 3);
    CHECK(members.DomainPeers() == std::vector<std::string>{ "near" });
  }
  SUBCASE("an older incarnation does not replace a newer one")
  {
    CHECK_FALSE(members.Add(MakeMember("near", "a", 0)));
    CHECK(members.Find("near")->incarnation == 1);
  }
  SUBCASE("only domain peers with a recent message count for the rank")
  {
    CHECK(members.LiveRank(kStart) == 0);
    members.RecordMessage("near", kStart);
    const size_t rank = members.LiveRank(kStart);
    CHECK(rank == (Hash64("near") < Hash64("self") ? 1 : 0));
    CHECK(members.LiveRank(kStart + std::chrono::seconds(10)) == 0);
  }
  SUBCASE("a suspect is not an allocator for a while")
  {
    std::string first;
    std::string shard;
    // Finds a shard whose first allocator is another host.
    for (int i = 0; first.empty() || first == "self"; ++i) {
      shard = "shard" + std::to_string(i);
      first = members.Allocators(shard, 1, kStart).front();
    }
    members.RecordTimeout(first, kStart);
    CHECK(members.Allocators(shard, 1, kStart).front() != first);
    CHECK(members.Allocators(shard, 1, kStart + std::chrono::seconds(2)).front() == first);
    SUBCASE("and twice as long after another timeout")
    {
      members.RecordTimeout(first, kStart + std::chrono::seconds(2));
      CHECK(members.Allocators(shard, 1, kStart + Milliseconds(3500)).front() != first);
      CHECK(members.Allocators(shard, 1, kStart + Milliseconds(4500)).front() == first);
    }
  }
  SUBCASE("the host with the largest capacity is the allocator")
  {
    // Allocators on hosts with a tenth of a core respond too late.
    Member strong = MakeMember("strong");
    strong.capacity = 50;
    members.Add(strong);
    CHECK(members.Allocators("any", 1, kStart) == std::vector<std::string>{ "strong" });
  }
  SUBCASE("the cross-domain peers are a few hosts of each other domain")
  {
    members.Add(MakeMember("far2", "b"));
    members.Add(MakeMember("far3", "b"));
    members.Add(MakeMember("farther", "c"));
    CHECK(members.CrossDomainPeers().size() == 3);
  }
  SUBCASE("this host is an allocator if all others are suspects")
  {
    members.RecordTimeout("near", kStart);
    members.RecordTimeout("far", kStart);
    CHECK(members.Allocators("any", 2, kStart) == std::vector<std::string>{ "self" });
  }
}
