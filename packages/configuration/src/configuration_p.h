#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/configuration.h"

namespace bg::detail {

/// Deepest nesting of a valid body is 6; a bound keeps recursion over parsed input small.
constexpr size_t kMaxJsonDepth = 32;

enum class JsonType
{
  Null,
  Boolean,
  Integer,
  Number,
  String,
  Array,
  Object,

  Count
};

/// Parsed JSON that remembers which file set each value.
struct JsonValue
{
  JsonType type = JsonType::Null;
  uint32_t file = 0; ///< Index into the names of the merged files.
  bool boolean = false;
  int64_t integer = 0;
  double number = 0; ///< Also set for integers.
  std::string text;
  std::vector<JsonValue> items;
  std::map<std::string, JsonValue, std::less<>> members;
};

using Problems = std::vector<ConfigurationProblem>;

/// Parses one file. Syntax errors, duplicate keys and excessive depth are added to the problems;
/// nothing is returned unless the text is valid JSON.
std::optional<JsonValue> ParseJson(const ConfigurationFile& aFile,
                                   uint32_t aFileIndex,
                                   Problems& aProblems);

/// Canonical text: sorted keys, no white space, shortest form of numbers that parses to the same.
std::string DumpJson(const JsonValue& aValue);

/// Pointer of a member or item below a pointer, escaped as in RFC 6901.
std::string ChildPointer(std::string_view aPointer, std::string_view aKey);

/// Type and value for a problem, at most about 80 characters long.
std::string DescribeValue(const JsonValue& aValue);

/// The candidate with the smallest edit distance; empty when none is close.
std::string Nearest(std::string_view aWord, const std::vector<std::string_view>& aCandidates);

/// Splits "deadline_ms" into "deadline" and "ms"; the unit is empty for keys without one.
std::pair<std::string_view, std::string_view> SplitUnit(std::string_view aKey);

/// Where a value of the model came from, for problems found after reading.
struct Source
{
  const JsonValue* value = nullptr;
  std::string pointer;
};

/// Sources of the model's parts, parallel to the vectors of Configuration.
struct ModelSources
{
  std::vector<Source> failureDomains;
  std::vector<Source> services;
  std::vector<Source> upstreams;
  std::vector<Source> callers;
  std::vector<Source> routes;
};

/// Collects problems and names their files.
class ProblemSink
{
public:
  ProblemSink(const std::vector<std::string>& aFiles, Problems& aProblems)
    : files_(aFiles)
    , problems_(aProblems)
  {
  }

  void Add(const JsonValue& aValue,
           std::string aPointer,
           std::string aFound,
           std::string aAllowed) const;
  void Add(const Source& aSource, std::string aFound, std::string aAllowed) const;
  /// Name of the file that set a value.
  const std::string& FileOf(const JsonValue& aValue) const;

private:
  const std::vector<std::string>& files_;
  Problems& problems_;
};

/// Reads the members of one object. Reports each missing, mistyped or out-of-range member, and in
/// Finish() each unknown one; the output then keeps its default.
class ObjectReader
{
public:
  ObjectReader(const JsonValue& aValue, std::string aPointer, const ProblemSink& aSink);

  bool Has(std::string_view aKey) const;
  void Require(std::string_view aKey);
  /// The member, if it has the type; wrong types are reported. Marks the key as known.
  const JsonValue* Member(std::string_view aKey, JsonType aType);
  std::string Pointer(std::string_view aKey) const { return ChildPointer(pointer_, aKey); }

  template<typename T>
  void Integer(std::string_view aKey, int64_t aMin, int64_t aMax, T& aOut)
  {
    if (const auto value = ReadInteger(aKey, aMin, aMax))
      aOut = static_cast<T>(*value);
  }
  void Duration(std::string_view aKey, int64_t aMinMs, int64_t aMaxMs, Milliseconds& aOut);
  void Real(std::string_view aKey, double aMin, double aMax, double& aOut);
  void Boolean(std::string_view aKey, bool& aOut);
  const JsonValue* String(std::string_view aKey, std::string& aOut);
  /// Reads an array of distinct strings; at least one is required. Returns the array.
  const JsonValue* Strings(std::string_view aKey, std::vector<std::string>& aOut);
  void Finish();

private:
  std::optional<int64_t> ReadInteger(std::string_view aKey, int64_t aMin, int64_t aMax);
  void ReportUnknown(std::string_view aKey, const JsonValue& aValue);

  const JsonValue& value_;
  std::string pointer_;
  const ProblemSink& sink_;
  std::vector<std::string_view> known_;
};

/// Reads a merged body into the model. Names of other parts are resolved to handles.
Configuration ReadModel(const JsonValue& aRoot, const ProblemSink& aSink, ModelSources& aSources);

/// Checks that span several parts: overlaps, duplicates and the healthy floor.
void CheckModel(const Configuration& aModel,
                const ModelSources& aSources,
                const ProblemSink& aSink);

} // namespace bg::detail
