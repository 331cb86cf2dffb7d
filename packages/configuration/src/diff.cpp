#include <algorithm>

#include "configuration_p.h"

namespace bg {

namespace {

using namespace detail;

using Changes = std::vector<ConfigurationChange>;

void Compare(const JsonValue& aBefore,
             const JsonValue& aAfter,
             const std::string& aPointer,
             Changes& aChanges)
{
  if (aBefore.type != JsonType::Object || aAfter.type != JsonType::Object) {
    auto before = DumpJson(aBefore);
    auto after = DumpJson(aAfter);
    if (before != after)
      aChanges.push_back({ ChangeKind::Changed, aPointer, std::move(before), std::move(after) });
    return;
  }
  for (const auto& [key, before] : aBefore.members) {
    if (!aAfter.members.contains(key))
      aChanges.push_back(
        { ChangeKind::Removed, ChildPointer(aPointer, key), DumpJson(before), "" });
  }
  for (const auto& [key, after] : aAfter.members) {
    const auto before = aBefore.members.find(key);
    if (before == aBefore.members.end())
      aChanges.push_back({ ChangeKind::Added, ChildPointer(aPointer, key), "", DumpJson(after) });
    else
      Compare(before->second, after, ChildPointer(aPointer, key), aChanges);
  }
}

JsonValue ParseOrEmpty(std::string_view aBody)
{
  Problems ignored;
  auto value = ParseJson({ "", std::string(aBody) }, 0, ignored);
  if (value)
    return std::move(*value);
  JsonValue empty;
  empty.type = JsonType::Object;
  return empty;
}

} // namespace

std::vector<ConfigurationChange> DiffConfiguration(std::string_view aBefore,
                                                   std::string_view aAfter)
{
  Changes changes;
  Compare(ParseOrEmpty(aBefore), ParseOrEmpty(aAfter), "", changes);
  std::ranges::sort(changes, {}, &ConfigurationChange::pointer);
  return changes;
}

} // namespace bg
