#pragma once

#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/base.h"

namespace bg {

enum class DecisionKind
{
  Avoidance,      ///< Local: an upstream is used last.
  Clearance,      ///< Local: an avoided upstream is used normally again.
  Ejection,       ///< Fleet: a permit was granted.
  Readmission,    ///< Fleet: a permit was released because the upstream works again.
  PermitReleased, ///< A permit was released for another reason, for example the floor.
  LeaseLost,
  Refusal, ///< Requests refused; aggregated.
  Drain,
  Guard, ///< Too many suspects or the floor; nothing was done.
  ConfigurationAccepted,
  ConfigurationInForce,
  ConfigurationRejected,
  ConfigurationStoreRegressed,

  Count
};

std::string_view ToString(DecisionKind aKind);

/// A named number of the evidence; units are part of the name, for example "latency_ms".
struct EvidenceValue
{
  std::string name;
  double value = 0;
};

/// What was seen, decided and under which configuration.
struct DecisionRecord
{
  std::string id;     ///< "PROXY-INCARNATION-SEQUENCE".
  int64_t timeMs = 0; ///< Wall clock of the proxy.
  std::string proxy;
  std::string failureDomain;
  DecisionKind kind = DecisionKind::Refusal;
  std::string service;
  std::string subject;   ///< Upstream, caller class or empty.
  std::string requestId; ///< For decisions about one request.
  std::string rule;
  double threshold = 0;
  std::vector<EvidenceValue> evidence;
  std::vector<std::string> opposing; ///< What spoke against: "floor", "lease", "budget", "guard".
  std::vector<std::string> context;  ///< Further facts as "key=value", for example "source=health".
  uint64_t revision = 0;
  std::string digest;
  uint32_t count = 1; ///< Repeats within the interval that starts at timeMs.
};

/// Canonical JSON of one record, one line.
std::string EncodeRecord(const DecisionRecord& aRecord);

/// Fails with ProtocolViolation on invalid JSON, missing fields or unknown kinds.
Result<DecisionRecord> DecodeRecord(std::string_view aJson);

/// Plain sentence for the on-call engineer, with the numbers.
std::string Describe(const DecisionRecord& aRecord);

struct RecordRingInit
{
  std::string proxy;
  std::string incarnation;
  std::string failureDomain;
  size_t capacity = kDecisionRingSize;
  Milliseconds repeatInterval{ 10000 };
};

struct RecordRingStats
{
  uint64_t added = 0;
  uint64_t repeats = 0; ///< Counted into an earlier record.
  uint64_t dropped = 0; ///< Overwritten before they were taken for upload.
};

/// Bounded memory of one proxy's records. Fills id, proxy, failure domain and time.
class RecordRing
{
public:
  explicit RecordRing(RecordRingInit aInit);

  /// Adds a record. Refusals with the same service, subject and rule within repeatInterval only
  /// increase the count of the first one.
  /// @param aNowMs Wall clock, milliseconds since the Unix epoch.
  /// @return Id of the record; empty when it was counted into an earlier one.
  std::string Add(DecisionRecord aRecord, int64_t aNowMs);

  /// Records that were not taken yet and whose interval has ended, oldest first. A batch that
  /// could not be stored is given back with ReturnBatch().
  std::vector<DecisionRecord> TakeBatch(size_t aLimit, int64_t aNowMs);
  void ReturnBatch(std::vector<DecisionRecord> aBatch);

  /// All records in memory, oldest first.
  std::vector<DecisionRecord> Snapshot() const;
  const RecordRingStats& Stats() const { return stats_; }

private:
  bool IsOpen(const DecisionRecord& aRecord, int64_t aNowMs) const;
  bool AddRepeat(const DecisionRecord& aRecord, int64_t aNowMs);
  void LimitPending();

  RecordRingInit init_;
  RecordRingStats stats_;
  std::deque<DecisionRecord> records_;
  std::deque<DecisionRecord> pending_;
  std::unordered_map<std::string, uint64_t> open_; ///< Sequence of the refusal that is counted up.
  uint64_t sequence_ = 0;
};

} // namespace bg
