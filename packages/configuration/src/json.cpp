#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "configuration_p.h"

namespace bg::detail {

namespace {

/// Builds the tree from the parser's events, because nlohmann's own tree keeps only the last of
/// several equal keys.
class TreeBuilder : public nlohmann::json_sax<nlohmann::json>
{
public:
  TreeBuilder(const ConfigurationFile& aFile, uint32_t aFileIndex, Problems& aProblems)
    : file_(aFile)
    , fileIndex_(aFileIndex)
    , problems_(aProblems)
  {
  }

  bool null() override { return Put(JsonType::Null); }
  bool boolean(bool aValue) override
  {
    return Put(JsonType::Boolean, [&](JsonValue& aNode) { aNode.boolean = aValue; });
  }
  bool number_integer(number_integer_t aValue) override
  {
    return Put(JsonType::Integer, [&](JsonValue& aNode) {
      aNode.integer = aValue;
      aNode.number = static_cast<double>(aValue);
    });
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    if (aValue <= static_cast<number_unsigned_t>(std::numeric_limits<int64_t>::max()))
      return number_integer(static_cast<number_integer_t>(aValue));
    return number_float(static_cast<double>(aValue), {});
  }
  bool number_float(number_float_t aValue, const string_t& /*aText*/) override
  {
    return Put(JsonType::Number, [&](JsonValue& aNode) { aNode.number = aValue; });
  }
  bool string(string_t& aValue) override
  {
    return Put(JsonType::String, [&](JsonValue& aNode) { aNode.text = std::move(aValue); });
  }
  bool binary(binary_t& /*aValue*/) override { return false; }
  bool start_object(size_t /*aSize*/) override { return Open(JsonType::Object); }
  bool start_array(size_t /*aSize*/) override { return Open(JsonType::Array); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& aKey) override
  {
    key_ = std::move(aKey);
    // Canonical bodies arrive in key order, so a key after the last one needs no look-up.
    const auto& members = open_.back()->members;
    if (!members.empty() && members.rbegin()->first >= key_ && members.contains(key_))
      Report(ChildPointer(Pointer(), key_), "key \"" + key_ + "\" twice in one file", "one value");
    return true;
  }

  bool parse_error(size_t aPosition,
                   const std::string& /*aToken*/,
                   const nlohmann::json::exception& aError) override
  {
    // The message starts with "[json.exception.parse_error.101] ".
    std::string message = aError.what();
    if (const auto end = message.find("] "); end != std::string::npos)
      message.erase(0, end + 2);
    Report(Pointer(), message + " (byte " + std::to_string(aPosition) + ")", "JSON in UTF-8");
    return false;
  }

  JsonValue root;

private:
  template<typename Fill>
  bool Put(JsonType aType, Fill aFill)
  {
    JsonValue& node = Place(aType);
    aFill(node);
    return true;
  }
  bool Put(JsonType aType)
  {
    Place(aType);
    return true;
  }

  JsonValue& Place(JsonType aType)
  {
    JsonValue* node = &root;
    if (!open_.empty() && open_.back()->type == JsonType::Array)
      node = &open_.back()->items.emplace_back();
    else if (!open_.empty())
      node = &(PlaceMember() = JsonValue());
    node->type = aType;
    node->file = fileIndex_;
    return *node;
  }

  JsonValue& PlaceMember()
  {
    auto& members = open_.back()->members;
    return members.try_emplace(members.end(), key_)->second;
  }

  bool Open(JsonType aType)
  {
    if (open_.size() >= kMaxJsonDepth) {
      Report(Pointer(),
             "nesting deeper than " + std::to_string(kMaxJsonDepth) + " levels",
             "at most " + std::to_string(kMaxJsonDepth) + " levels");
      return false;
    }
    // Placed before the path grows: the name of the new node belongs to its parent.
    JsonValue& node = Place(aType);
    if (!open_.empty())
      path_.push_back(open_.back()->type == JsonType::Array
                        ? std::to_string(open_.back()->items.size() - 1)
                        : key_);
    open_.push_back(&node);
    return true;
  }

  bool Close()
  {
    open_.pop_back();
    if (!path_.empty())
      path_.pop_back();
    return true;
  }

  std::string Pointer() const
  {
    std::string pointer;
    for (const auto& part : path_)
      pointer = ChildPointer(pointer, part);
    return pointer;
  }

  void Report(std::string aPointer, std::string aFound, std::string aAllowed)
  {
    problems_.push_back(
      { file_.name, std::move(aPointer), std::move(aFound), std::move(aAllowed) });
  }

  const ConfigurationFile& file_;
  uint32_t fileIndex_;
  Problems& problems_;
  std::vector<JsonValue*> open_;
  std::vector<std::string> path_;
  std::string key_;
};

void Dump(const JsonValue& aValue, std::string& aOut);

/// Most strings need no escapes; nlohmann's serializer costs several allocations for each.
void DumpString(const std::string& aText, std::string& aOut)
{
  const auto isPlain = [](char aByte) {
    return aByte >= ' ' && aByte != '"' && aByte != '\\' && aByte != '\x7f';
  };
  if (std::ranges::all_of(aText, isPlain))
    aOut.append(1, '"').append(aText).append(1, '"');
  else
    aOut += nlohmann::json(aText).dump();
}

void DumpObject(const JsonValue& aValue, std::string& aOut)
{
  aOut += '{';
  for (const auto& [key, member] : aValue.members) {
    if (aOut.back() != '{')
      aOut += ',';
    DumpString(key, aOut);
    aOut += ':';
    Dump(member, aOut);
  }
  aOut += '}';
}

void DumpArray(const JsonValue& aValue, std::string& aOut)
{
  aOut += '[';
  for (size_t i = 0; i < aValue.items.size(); ++i) {
    if (i > 0)
      aOut += ',';
    Dump(aValue.items[i], aOut);
  }
  aOut += ']';
}

void Dump(const JsonValue& aValue, std::string& aOut)
{
  switch (aValue.type) {
    case JsonType::Boolean:
      aOut += aValue.boolean ? "true" : "false";
      break;
    case JsonType::Integer:
      aOut += std::to_string(aValue.integer);
      break;
    case JsonType::Number:
      aOut += nlohmann::json(aValue.number).dump();
      break;
    case JsonType::String:
      DumpString(aValue.text, aOut);
      break;
    case JsonType::Array:
      DumpArray(aValue, aOut);
      break;
    case JsonType::Object:
      DumpObject(aValue, aOut);
      break;
    case JsonType::Null:
    case JsonType::Count:
      aOut += "null";
      break;
  }
}

} // namespace

std::optional<JsonValue> ParseJson(const ConfigurationFile& aFile,
                                   uint32_t aFileIndex,
                                   Problems& aProblems)
{
  if (aFile.text.size() > kMaxConfigurationBytes) {
    aProblems.push_back({ aFile.name,
                          "",
                          std::to_string(aFile.text.size()) + " bytes",
                          "at most " + std::to_string(kMaxConfigurationBytes) + " bytes" });
    return std::nullopt;
  }
  TreeBuilder builder(aFile, aFileIndex, aProblems);
  if (!nlohmann::json::sax_parse(aFile.text, &builder))
    return std::nullopt;
  return std::move(builder.root);
}

std::string DumpJson(const JsonValue& aValue)
{
  std::string text;
  Dump(aValue, text);
  return text;
}

} // namespace bg::detail
