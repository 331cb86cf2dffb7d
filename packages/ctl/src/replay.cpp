#include <algorithm>
#include <sstream>

#include "boragegauge/ctl.h"
#include "boragegauge/detection.h"

namespace bg::ctl {

namespace {

bool IsVerdict(DecisionKind aKind)
{
  return aKind == DecisionKind::Avoidance || aKind == DecisionKind::Ejection ||
         aKind == DecisionKind::Guard;
}

/// A guard record is either the detection's own guard or a verdict that the floor opposed.
bool Agrees(const DecisionRecord& aRecord, const detection::Decision& aDecision)
{
  if (aDecision.scope == detection::VerdictScope::None)
    return false;
  if (aRecord.kind != DecisionKind::Guard)
    return !aDecision.guarded;
  const bool byFloor = std::ranges::find(aRecord.opposing, "floor") != aRecord.opposing.end();
  return aDecision.guarded || byFloor;
}

} // namespace

Result<ReplayResult> ReplayRecord(const DecisionRecord& aRecord)
{
  if (!IsVerdict(aRecord.kind))
    return Error{ Errc::NotFound,
                  "explain.replay",
                  aRecord.id,
                  "a record of kind " + std::string(ToString(aRecord.kind)) +
                    " holds no evidence of a verdict" };
  const auto evidence = detection::ParseEvidenceValues(aRecord.evidence);
  if (!evidence)
    return evidence.Failure();
  const auto decision = detection::Decide(*evidence);
  ReplayResult result;
  result.agrees = Agrees(aRecord, decision);
  std::ostringstream text;
  text << "The recorded evidence gives scope " << detection::ToString(decision.scope)
       << " with score " << decision.score << " against threshold " << evidence->threshold
       << (decision.guarded ? ", held back by the guard for too many suspects" : "") << ". "
       << (result.agrees ? "The record says the same." : "The record says something else.");
  result.text = text.str();
  return result;
}

} // namespace bg::ctl
