#pragma once

#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/base.h"

namespace bg {

/// What a proxy decided or observed. ToString() gives the names that are stored in JSON.
enum class DecisionKind
{
  Avoidance,      ///< This proxy uses an upstream only when no other has a free slot.
  Clearance,      ///< This proxy uses an avoided upstream normally again.
  Ejection,       ///< A permit was granted: the whole fleet ejects an upstream.
  Readmission,    ///< A permit was released because the upstream works again.
  PermitReleased, ///< A permit was released for another reason, for example the floor.
  LeaseLost,      ///< The lease of an ejection permit was lost.
  Refusal,        ///< Requests were refused. RecordRing aggregates these records.
  Drain,          ///< An upstream started to leave or no longer leaves.
  Guard,          ///< Too many suspects or the healthy floor prevented an action.
  ConfigurationAccepted,
  ConfigurationInForce, ///< A configuration became active.
  ConfigurationRejected,
  ConfigurationStoreRegressed, ///< The store returned an older configuration than before.

  Count ///< Number of kinds; not a kind.
};

/// Name in JSON, for example "permit_released"; "unknown" for a value that is not a kind.
std::string_view ToString(DecisionKind aKind);

/// One measured value behind a decision. The name includes the unit, for example "latency_ms".
struct EvidenceValue
{
  std::string name;
  double value = 0;
};

/// One decision of a proxy with its evidence and the configuration that was active.
struct DecisionRecord
{
  std::string id;     ///< "PROXY-INCARNATION-SEQUENCE".
  int64_t timeMs = 0; ///< Wall clock of the proxy, milliseconds since the Unix epoch.
  std::string proxy;
  std::string failureDomain;
  DecisionKind kind = DecisionKind::Refusal;
  std::string service;
  std::string subject;   ///< Name of the upstream or caller class, or empty.
  std::string requestId; ///< Set when the decision is about one request, else empty.
  std::string rule;      ///< Name of the rule that led to the decision, for example "queue_limit".
  double threshold = 0;  ///< Limit that the rule compares with; 0 when it has none.
  std::vector<EvidenceValue> evidence;
  std::vector<std::string>
    opposing; ///< Constraints against the action: "floor", "lease", "budget", "guard".
  std::vector<std::string> context; ///< Additional "key=value" pairs, for example "source=health".
  uint64_t revision = 0;            ///< Revision of the configuration.
  std::string digest;               ///< Digest of the configuration.
  uint32_t count = 1; ///< Occurrences, including the first, in the interval that starts at timeMs.
};

/// Encodes a record as JSON on one line, without a line break. NaN and infinity become null;
/// invalid UTF-8 is replaced.
std::string EncodeRecord(const DecisionRecord& aRecord);

/// Decodes a record. Fails with ProtocolViolation if the JSON is invalid, a required field is
/// missing or has the wrong type or range, or the kind is unknown.
Result<DecisionRecord> DecodeRecord(std::string_view aJson);

/// Describes a record, with its numbers, in one English sentence for the on-call engineer.
std::string Describe(const DecisionRecord& aRecord);

struct RecordRingInit
{
  std::string proxy;       ///< Id of the proxy; part of each record id.
  std::string incarnation; ///< Identifies one run of the proxy; part of each record id.
  std::string failureDomain;
  size_t capacity = kDecisionRingSize;  ///< Limit of the ring and of the upload queue, in records.
  Milliseconds repeatInterval{ 10000 }; ///< Time for which equal refusals share one record.
};

struct RecordRingStats
{
  uint64_t added = 0;   ///< Records created.
  uint64_t repeats = 0; ///< Refusals added to the count of an earlier record.
  uint64_t dropped = 0; ///< Records discarded from the full upload queue.
};

/// Keeps the latest records of one proxy in memory, with a bounded queue of records that wait for
/// upload. Sets the id, proxy, failure domain and time of each record.
class RecordRing
{
public:
  explicit RecordRing(RecordRingInit aInit);

  /// Adds a record. Within repeatInterval of a refusal, further refusals with the same service,
  /// subject and rule only increase its count, unless that record has left the upload queue.
  /// @param aNowMs Wall clock, milliseconds since the Unix epoch.
  /// @return Id of the new record; empty when only an earlier record's count increased.
  std::string Add(DecisionRecord aRecord, int64_t aNowMs);

  /// Removes and returns at most aLimit records from the upload queue, oldest first. Refusals whose
  /// interval has not ended stay in the queue. Pass a batch that could not be stored to
  /// ReturnBatch().
  std::vector<DecisionRecord> TakeBatch(size_t aLimit, int64_t aNowMs);
  /// Puts the records of a batch back into the upload queue, in their original order.
  void ReturnBatch(std::vector<DecisionRecord> aBatch);

  /// Copies all records in the ring, oldest first.
  std::vector<DecisionRecord> Snapshot() const;
  const RecordRingStats& Stats() const { return stats_; }

private:
  /// True for a refusal whose repeat interval has not ended.
  bool IsAggregating(const DecisionRecord& aRecord, int64_t aNowMs) const;
  /// Adds the refusal to the count of an earlier record; returns false if there is none.
  bool AggregateRefusal(const DecisionRecord& aRecord, int64_t aNowMs);
  /// Discards the oldest records that exceed the capacity of the upload queue.
  void TrimPendingUpload();

  RecordRingInit init_;
  RecordRingStats stats_;
  std::deque<DecisionRecord> records_;       ///< The ring, in sequence order.
  std::deque<DecisionRecord> pendingUpload_; ///< Upload queue, in sequence order.
  /// Sequence number, by aggregation key, of the refusal whose count increases.
  std::unordered_map<std::string, uint64_t> openRefusals_;
  uint64_t lastSequence_ = 0;
};

} // namespace bg
