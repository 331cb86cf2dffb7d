#include <doctest/doctest.h>

#include "boragegauge/base.h"
#include "shared_document_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

std::string Route(size_t aNumber, const std::string& aTimeout = "2s")
{
  return "{\"route\":\"" + std::to_string(Hash64("route", aNumber)) + "\",\"timeout\":\"" +
         aTimeout + "\"},";
}

ConfigurationId Id(uint64_t aRevision, const std::string& aText)
{
  return { aRevision, { 1, aRevision }, Hash64(aText) };
}

std::string Routes(size_t aCount)
{
  std::string text;
  for (size_t i = 0; i < aCount; ++i) {
    text += Route(i);
  }
  return text;
}

} // namespace

TEST_CASE("a document that hosts pass on")
{
  constexpr size_t kRoutes = 3000;
  SharedDocument sender;
  SharedDocument receiver;
  const std::string first = "{\"version\":1}" + Routes(kRoutes);
  sender.Replace(Id(1, first), first, nullptr);
  const auto isPassedOn = [&](uint64_t aRevision, const std::string& aText) {
    const wire::Document& document = sender.Encode(receiver.Id().digest);
    const auto text = receiver.Decode(document);
    REQUIRE(text);
    CHECK(*text == aText);
    receiver.Replace(Id(aRevision, *text), *text, &document);
    return document.data().size();
  };

  SUBCASE("reaches a host without an earlier version as a whole")
  {
    CHECK(isPassedOn(1, first) < first.size());

    SUBCASE("and its changes as patches whose size does not grow with the document")
    {
      std::string second = first;
      second.replace(second.find("1}"), 2, "22}");
      second.replace(second.find(Route(1234)), Route(1234).size(), Route(1234, "750ms"));
      second.erase(second.find(Route(7)), Route(7).size());
      second += Route(kRoutes);
      sender.Replace(Id(2, second), second, nullptr);
      CHECK(isPassedOn(2, second) < 400);

      SUBCASE("which the receiver passes on as it got them")
      {
        SharedDocument next;
        next.Replace(Id(1, first), first, nullptr);
        const auto text = next.Decode(receiver.Encode(Hash64(first)));
        REQUIRE(text);
        CHECK(*text == second);
      }
    }
    SUBCASE("and is replaced as a whole at a host that has missed a version")
    {
      sender.Replace(Id(2, first + Route(kRoutes)), first + Route(kRoutes), nullptr);
      sender.Replace(Id(3, first + Route(kRoutes + 1)), first + Route(kRoutes + 1), nullptr);
      CHECK(isPassedOn(3, first + Route(kRoutes + 1)) > 400);
    }
    SUBCASE("and may become empty or another one")
    {
      sender.Replace(Id(2, "x"), "x", nullptr);
      isPassedOn(2, "x");
      sender.Replace(Id(3, first + first), first + first, nullptr);
      isPassedOn(3, first + first);
    }
  }
  SUBCASE("is not taken")
  {
    sender.Replace(Id(2, first + Route(kRoutes)), first + Route(kRoutes), nullptr);
    receiver.Replace(Id(1, first), first, nullptr);
    wire::Document document = sender.Encode(Hash64(first));
    SUBCASE("if it is a patch of another text")
    {
      document.set_base_digest(9);
    }
    SUBCASE("if its text differs from that of the sender")
    {
      document.set_digest(document.digest() + 1);
    }
    SUBCASE("if it is damaged")
    {
      document.mutable_data()->resize(document.data().size() / 2);
    }
    SUBCASE("if it states a size that no document has")
    {
      document.set_size(UINT32_MAX);
    }
    CHECK_FALSE(receiver.Decode(document));
  }
}

TEST_CASE("a patch that copies bytes beyond its text is not applied")
{
  wire::Patch patch;
  wire::PatchStep& step = *patch.add_steps();
  step.set_copy_from(3);
  step.set_copy_bytes(UINT32_MAX);
  CHECK_FALSE(ApplyPatch("text", patch));
  step.set_copy_bytes(1);
  CHECK(ApplyPatch("text", patch) == "t");
}

TEST_CASE("a patch between any two texts yields the new one")
{
  uint64_t state = 0;
  const auto next = [&state](uint64_t aLimit) { return Hash64("random", ++state) % aLimit; };
  const auto makeText = [&](std::string_view aOther) {
    std::string text;
    for (uint64_t pieces = next(40); pieces > 0; --pieces) {
      if (!aOther.empty() && next(2) == 0) {
        text += aOther.substr(next(aOther.size()), next(200));
      } else {
        text += std::string(next(60), "ab}\n{"[next(5)]);
      }
    }
    return text;
  };
  for (int i = 0; i < 500; ++i) {
    const std::string old = makeText("");
    const std::string text = makeText(old);
    const auto patched = ApplyPatch(old, MakePatch(old, text));
    REQUIRE(patched);
    REQUIRE(*patched == text);
  }
}
