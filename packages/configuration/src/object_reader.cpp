#include <algorithm>
#include <array>
#include <numeric>
#include <set>

#include "configuration_p.h"

namespace bg::detail {

namespace {

std::string_view TypeName(JsonType aType)
{
  static constexpr std::array kNames{ "null",   "boolean", "integer", "number",
                                      "string", "array",   "object" };
  static_assert(kNames.size() == static_cast<size_t>(JsonType::Count));
  return kNames[static_cast<size_t>(aType)];
}

struct Unit
{
  std::string_view suffix;
  std::string_view name;
};

constexpr std::array kUnits{ Unit{ "ms", "milliseconds" }, Unit{ "us", "microseconds" },
                             Unit{ "s", "seconds" },       Unit{ "min", "minutes" },
                             Unit{ "h", "hours" },         Unit{ "d", "days" },
                             Unit{ "bytes", "bytes" },     Unit{ "kb", "kilobytes" },
                             Unit{ "kib", "kibibytes" },   Unit{ "mb", "megabytes" },
                             Unit{ "mib", "mebibytes" },   Unit{ "sec", "seconds" },
                             Unit{ "seconds", "seconds" }, Unit{ "hours", "hours" } };

std::string_view UnitName(std::string_view aKey)
{
  const auto suffix = SplitUnit(aKey).second;
  const auto* const unit = std::ranges::find(kUnits, suffix, &Unit::suffix);
  return unit == kUnits.end() ? std::string_view() : unit->name;
}

/// "integer from 1 to 9, in milliseconds"
std::string AllowedRange(std::string_view aKey,
                         std::string_view aType,
                         const std::string& aMin,
                         const std::string& aMax)
{
  std::string text = std::string(aType) + " from " + aMin + " to " + aMax;
  // A rate such as max_requests_per_s is not a duration.
  if (const auto unit = UnitName(aKey); !unit.empty() && !aKey.ends_with("_per_s"))
    text += ", in " + std::string(unit);
  return text;
}

std::string FormatReal(double aValue)
{
  JsonValue value;
  value.type = JsonType::Number;
  value.number = aValue;
  return DumpJson(value);
}

size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), size_t{ 0 });
  for (size_t i = 1; i <= aLeft.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= aRight.size(); ++j) {
      const size_t replaced = diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ replaced, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row.back();
}

std::string Join(const std::vector<std::string_view>& aWords)
{
  std::string text;
  for (const auto word : aWords)
    text += (text.empty() ? "" : ", ") + std::string(word);
  return text;
}

} // namespace

std::string ChildPointer(std::string_view aPointer, std::string_view aKey)
{
  std::string pointer(aPointer);
  pointer += '/';
  for (const char c : aKey) {
    if (c == '~')
      pointer += "~0";
    else if (c == '/')
      pointer += "~1";
    else
      pointer += c;
  }
  return pointer;
}

std::string DescribeValue(const JsonValue& aValue)
{
  constexpr size_t kMaxText = 64;
  std::string text = DumpJson(aValue);
  if (text.size() > kMaxText) {
    size_t end = kMaxText;
    // Cuts before a UTF-8 sequence, not inside it.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
      --end;
    text = text.substr(0, end) + "...";
  }
  return std::string(TypeName(aValue.type)) + " " + text;
}

std::string Nearest(std::string_view aWord, const std::vector<std::string_view>& aCandidates)
{
  // Longer words than any key are never close, and the distance is quadratic.
  constexpr size_t kMaxWord = 64;
  if (aWord.size() > kMaxWord)
    return {};
  size_t best = std::max<size_t>(2, aWord.size() / 3) + 1;
  std::string nearest;
  for (const auto candidate : aCandidates) {
    const size_t distance = EditDistance(aWord, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::pair<std::string_view, std::string_view> SplitUnit(std::string_view aKey)
{
  const auto underscore = aKey.rfind('_');
  if (underscore != std::string_view::npos) {
    const auto suffix = aKey.substr(underscore + 1);
    if (std::ranges::find(kUnits, suffix, &Unit::suffix) != kUnits.end())
      return { aKey.substr(0, underscore), suffix };
  }
  return { aKey, {} };
}

void ProblemSink::Add(const JsonValue& aValue,
                      std::string aPointer,
                      std::string aFound,
                      std::string aAllowed) const
{
  problems_.push_back(
    { FileOf(aValue), std::move(aPointer), std::move(aFound), std::move(aAllowed) });
}

void ProblemSink::Add(const Source& aSource, std::string aFound, std::string aAllowed) const
{
  Add(*aSource.value, aSource.pointer, std::move(aFound), std::move(aAllowed));
}

const std::string& ProblemSink::FileOf(const JsonValue& aValue) const
{
  static const std::string kUnknown;
  return aValue.file < files_.size() ? files_[aValue.file] : kUnknown;
}

ObjectReader::ObjectReader(const JsonValue& aValue, std::string aPointer, const ProblemSink& aSink)
  : value_(aValue)
  , pointer_(std::move(aPointer))
  , sink_(aSink)
{
  if (aValue.type != JsonType::Object)
    sink_.Add(aValue, pointer_, DescribeValue(aValue), "an object");
}

bool ObjectReader::Has(std::string_view aKey) const
{
  return value_.members.contains(aKey);
}

void ObjectReader::Require(std::string_view aKey)
{
  if (value_.type != JsonType::Object || Has(aKey))
    return;
  // A key with the wrong unit is reported once, as that.
  const auto stem = SplitUnit(aKey).first;
  if (std::ranges::any_of(value_.members,
                          [&](const auto& aItem) { return SplitUnit(aItem.first).first == stem; }))
    return;
  sink_.Add(value_, pointer_, "no key \"" + std::string(aKey) + "\"", "this key is required");
}

const JsonValue* ObjectReader::Member(std::string_view aKey, JsonType aType)
{
  known_.push_back(aKey);
  const auto it = value_.members.find(aKey);
  if (it == value_.members.end())
    return nullptr;
  const auto& member = it->second;
  if (member.type == aType || (aType == JsonType::Number && member.type == JsonType::Integer))
    return &member;
  std::string allowed(TypeName(aType));
  if (const auto unit = UnitName(aKey); !unit.empty() && aType == JsonType::Integer)
    allowed += aKey.ends_with("_per_s") ? " (per second)" : ", in " + std::string(unit);
  sink_.Add(member, Pointer(aKey), DescribeValue(member), allowed);
  return nullptr;
}

std::optional<int64_t> ObjectReader::ReadInteger(std::string_view aKey, int64_t aMin, int64_t aMax)
{
  const auto* const member = Member(aKey, JsonType::Integer);
  if (!member)
    return std::nullopt;
  if (member->integer >= aMin && member->integer <= aMax)
    return member->integer;
  sink_.Add(*member,
            Pointer(aKey),
            std::to_string(member->integer),
            AllowedRange(aKey, "integer", std::to_string(aMin), std::to_string(aMax)));
  return std::nullopt;
}

void ObjectReader::Duration(std::string_view aKey,
                            int64_t aMinMs,
                            int64_t aMaxMs,
                            Milliseconds& aOut)
{
  if (const auto value = ReadInteger(aKey, aMinMs, aMaxMs))
    aOut = Milliseconds(*value);
}

void ObjectReader::Real(std::string_view aKey, double aMin, double aMax, double& aOut)
{
  const auto* const member = Member(aKey, JsonType::Number);
  if (!member)
    return;
  if (member->number >= aMin && member->number <= aMax)
    aOut = member->number;
  else
    sink_.Add(*member,
              Pointer(aKey),
              DumpJson(*member),
              AllowedRange(aKey, "number", FormatReal(aMin), FormatReal(aMax)));
}

void ObjectReader::Boolean(std::string_view aKey, bool& aOut)
{
  if (const auto* const member = Member(aKey, JsonType::Boolean))
    aOut = member->boolean;
}

const JsonValue* ObjectReader::String(std::string_view aKey, std::string& aOut)
{
  const auto* const member = Member(aKey, JsonType::String);
  if (member)
    aOut = member->text;
  return member;
}

const JsonValue* ObjectReader::Strings(std::string_view aKey, std::vector<std::string>& aOut)
{
  const auto* const member = Member(aKey, JsonType::Array);
  if (!member)
    return nullptr;
  if (member->items.empty())
    sink_.Add(*member, Pointer(aKey), "an empty array", "at least one string");
  std::set<std::string_view> seen;
  for (size_t i = 0; i < member->items.size(); ++i) {
    const auto& item = member->items[i];
    const auto pointer = ChildPointer(Pointer(aKey), std::to_string(i));
    if (item.type != JsonType::String)
      sink_.Add(item, pointer, DescribeValue(item), "string");
    else if (!seen.insert(item.text).second)
      sink_.Add(item, pointer, DescribeValue(item) + " a second time", "each value once");
    else
      aOut.push_back(item.text);
  }
  return member;
}

void ObjectReader::Finish()
{
  for (const auto& [key, member] : value_.members) {
    if (std::ranges::find(known_, key) == known_.end())
      ReportUnknown(key, member);
  }
}

void ObjectReader::ReportUnknown(std::string_view aKey, const JsonValue& aValue)
{
  const auto [stem, unit] = SplitUnit(aKey);
  std::string allowed;
  for (const auto known : known_) {
    const auto [knownStem, knownUnit] = SplitUnit(known);
    if (knownStem == stem && knownUnit != unit)
      allowed = "\"" + std::string(known) + "\", in " + std::string(UnitName(known));
  }
  const bool wrongUnit = !allowed.empty();
  if (!wrongUnit) {
    const auto nearest = Nearest(aKey, known_);
    allowed = nearest.empty() ? "one of " + Join(known_) : "\"" + nearest + "\" (nearest key)";
  }
  sink_.Add(aValue,
            Pointer(aKey),
            (wrongUnit ? "key with another unit \"" : "unknown key \"") + std::string(aKey) + "\"",
            allowed);
}

} // namespace bg::detail
