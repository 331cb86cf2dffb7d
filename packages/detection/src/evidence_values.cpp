#include <algorithm>
#include <cmath>
#include <limits>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

/// Calls aVisit with the stored name and the field, for each field. Both directions of the
/// conversion use it. The names are stored in decision records and must not change.
template<typename Visitor, typename Evidence>
void VisitFields(Evidence& aEvidence, Visitor&& aVisit)
{
  aVisit("p0", aEvidence.rates.normal);
  aVisit("p1", aEvidence.rates.unhealthy);
  aVisit("threshold", aEvidence.threshold);
  aVisit("score_before", aEvidence.scoreBefore);
  aVisit("pooled", aEvidence.pooled);
  aVisit("suspects", aEvidence.suspects);
  aVisit("members", aEvidence.members);
  aVisit("max_bad_fraction", aEvidence.maxBadFraction);
  aVisit("guard_held", aEvidence.guardActive);
}

/// Like VisitFields(), for the fields of one failure domain; aPrefix makes their names unique.
template<typename Visitor, typename Evidence>
void VisitDomain(Evidence& aDomain, const std::string& aPrefix, Visitor&& aVisit)
{
  aVisit(aPrefix + "score_before", aDomain.scoreBefore);
  aVisit(aPrefix + "good", aDomain.counts.good);
  aVisit(aPrefix + "failed", aDomain.counts.failed);
  aVisit(aPrefix + "slow", aDomain.counts.slow);
  aVisit(aPrefix + "assumed_good", aDomain.assumedGood);
  aVisit(aPrefix + "total_good", aDomain.total.good);
  aVisit(aPrefix + "total_failed", aDomain.total.failed);
  aVisit(aPrefix + "total_slow", aDomain.total.slow);
  aVisit(aPrefix + "observers", aDomain.observers);
  aVisit(aPrefix + "enough_observers", aDomain.enoughObservers);
  aVisit(aPrefix + "avoided", aDomain.avoided);
}

std::string DomainPrefix(size_t aDomain)
{
  return "domain_" + std::to_string(aDomain) + "_";
}

/// Visitor that reads the fields from named values and remembers the first one it cannot read.
class FieldReader
{
public:
  explicit FieldReader(std::span<const EvidenceValue> aValues)
    : values_(aValues)
  {
  }

  template<typename T>
  void operator()(const std::string& aName, T& aField)
  {
    const auto it = std::ranges::find(values_, aName, &EvidenceValue::name);
    if (it != values_.end() && IsRepresentable<T>(it->value)) {
      aField = static_cast<T>(it->value);
    } else if (firstInvalid_.empty()) {
      firstInvalid_ = aName;
    }
  }

  bool Has(const std::string& aName) const
  {
    return std::ranges::find(values_, aName, &EvidenceValue::name) != values_.end();
  }
  /// Name of the first value that is missing or out of range; empty when all fields were read.
  const std::string& FirstInvalid() const { return firstInvalid_; }

private:
  /// Records come from other processes and may be damaged. Converting a number that is out of range
  /// is undefined behaviour.
  template<typename T>
  static bool IsRepresentable(double aValue)
  {
    if constexpr (std::is_integral_v<T>) {
      return aValue >= 0 && aValue <= static_cast<double>(std::numeric_limits<T>::max());
    } else {
      return std::isfinite(aValue);
    }
  }

  std::span<const EvidenceValue> values_;
  std::string firstInvalid_;
};

} // namespace

std::vector<EvidenceValue> ToEvidenceValues(const VerdictEvidence& aEvidence)
{
  std::vector<EvidenceValue> values;
  const auto write = [&values](const std::string& aName, const auto& aField) {
    values.push_back({ aName, static_cast<double>(aField) });
  };
  VisitFields(aEvidence, write);
  for (const DomainEvidence& domain : aEvidence.domains) {
    VisitDomain(domain, DomainPrefix(domain.domain.idx), write);
  }
  return values;
}

Result<VerdictEvidence> ParseEvidenceValues(std::span<const EvidenceValue> aValues)
{
  VerdictEvidence evidence;
  FieldReader reader(aValues);
  VisitFields(evidence, reader);
  // The evidence of a Local verdict has a single entry without a failure domain. Its index is
  // UINT16_MAX, so it is read after those of all domains.
  for (size_t i = 0; i <= UINT16_MAX; i = i == kMaxFailureDomains ? UINT16_MAX : i + 1) {
    const std::string prefix = DomainPrefix(i);
    if (reader.Has(prefix + "score_before")) {
      DomainEvidence& domain = evidence.domains.emplace_back();
      domain.domain.idx = static_cast<uint16_t>(i);
      VisitDomain(domain, prefix, reader);
    }
    if (i == UINT16_MAX) {
      break;
    }
  }
  if (!reader.FirstInvalid().empty()) {
    return Error{
      Errc::NotFound, "detection.parse_evidence", "", "no valid value " + reader.FirstInvalid()
    };
  }
  return evidence;
}

} // namespace bg::detection
