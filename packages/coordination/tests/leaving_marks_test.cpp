#include <doctest/doctest.h>

#include "boragegauge/coordination.h"
#include "simulation.h"

using namespace bg;

TEST_CASE("leaving marks")
{
  test::Simulation simulation;
  std::vector<PeerMessage> sent;
  PeerSender sender({ "p1", 1, [&](std::string_view, std::string_view aBytes) {
                       sent.push_back(*DecodeMessage(aBytes));
                     } });
  int changes = 0;
  LeavingMarks marks({ .sender = &sender,
                       .peers =
                         [] {
                           return std::vector<std::string>{ "p2", "p3" };
                         },
                       .onChange = [&](const LeavingMark&, bool) { ++changes; } });
  const auto signal = [&](std::string_view aBootId) {
    marks.Signal("desk", "d1", aBootId, "x_draining", simulation.Now());
  };
  const auto leaving = [&] { return marks.IsLeaving("desk", "d1", simulation.Now()); };
  const auto advance = [&](Milliseconds aTime) {
    simulation.RunFor(aTime);
    marks.Tick(simulation.Now());
  };

  SUBCASE("notices go to all peers at the first signal and then at most every 20 s")
  {
    for (int i = 0; i < 210; ++i) {
      signal("boot-1");
      advance(Milliseconds(100));
    }
    CHECK(leaving());
    CHECK(changes == 1);
    REQUIRE(sent.size() == 4);
    const auto& notice = std::get<LeavingNotice>(sent[0].body);
    CHECK(notice.upstream == "d1");
    CHECK(notice.bootId == "boot-1");
    CHECK(notice.source == "x_draining");
  }

  SUBCASE("a mark ends 60 s after the last signal")
  {
    signal("boot-1");
    advance(Milliseconds(59000));
    signal("boot-1");
    advance(Milliseconds(59999));
    CHECK(leaving());
    advance(Milliseconds(1));
    CHECK_FALSE(leaving());
    CHECK(changes == 2);
    CHECK(marks.Marks(simulation.Now()).empty());
  }

  SUBCASE("a mark ends when the boot id changes, and late signals of the old boot id are ignored")
  {
    // Guards against a delayed host list that keeps a restarted upstream marked as leaving.
    signal("boot-1");
    marks.ObserveBoot("desk", "d1", "boot-2");
    CHECK_FALSE(leaving());
    signal("boot-1");
    marks.Handle({ "p2", 1, 1, LeavingNotice{ "desk", "d1", "boot-1", "health" } },
                 simulation.Now());
    marks.ObserveBoot("desk", "d1", "boot-1");
    CHECK_FALSE(leaving());
    signal("boot-3");
    CHECK(leaving());
    CHECK(marks.Marks(simulation.Now())[0].bootId == "boot-3");
  }

  SUBCASE("a notice of a peer marks the upstream at once and is not forwarded")
  {
    marks.Handle({ "p2", 1, 1, LeavingNotice{ "desk", "d1", "boot-1", "health" } },
                 simulation.Now());
    CHECK(leaving());
    signal("boot-1");
    CHECK(sent.empty());
  }

  SUBCASE("a signal without boot id marks the upstream, and a later signal adds the boot id")
  {
    signal("");
    signal("boot-1");
    CHECK(leaving());
    marks.ObserveBoot("desk", "d1", "boot-2");
    CHECK_FALSE(leaving());
  }
}
