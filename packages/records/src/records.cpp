#include "boragegauge/records.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace bg {

namespace {

/// Separates the fields of an aggregation key. Identifiers in a configuration cannot contain it.
constexpr char kKeySeparator = '\x1f';

/// Refusals with equal keys are aggregated.
std::string AggregationKey(const DecisionRecord& aRecord)
{
  return aRecord.service + kKeySeparator + aRecord.subject + kKeySeparator + aRecord.rule;
}

/// Parses the sequence number at the end of the id "PROXY-INCARNATION-SEQUENCE". Returns 0 if the
/// id has none.
uint64_t ParseSequence(const DecisionRecord& aRecord)
{
  const size_t dash = aRecord.id.rfind('-');
  uint64_t sequence = 0;
  if (dash != std::string::npos) {
    std::from_chars(aRecord.id.data() + dash + 1, aRecord.id.data() + aRecord.id.size(), sequence);
  }
  return sequence;
}

/// Binary search; the records must be in sequence order. Returns end() if there is no match.
auto FindBySequence(std::deque<DecisionRecord>& aRecords, uint64_t aSequence)
{
  auto found = std::lower_bound(
    aRecords.begin(), aRecords.end(), aSequence, [](const DecisionRecord& aLeft, uint64_t aRight) {
      return ParseSequence(aLeft) < aRight;
    });
  return found != aRecords.end() && ParseSequence(*found) == aSequence ? found : aRecords.end();
}

} // namespace

RecordRing::RecordRing(RecordRingInit aInit)
  : init_(std::move(aInit))
{
}

bool RecordRing::IsAggregating(const DecisionRecord& aRecord, int64_t aNowMs) const
{
  // The interval also ends when the wall clock is set back. Otherwise a refusal could wait for
  // hours until the clock reaches the end of its interval.
  return aRecord.kind == DecisionKind::Refusal && aNowMs >= aRecord.timeMs &&
         aNowMs - aRecord.timeMs < init_.repeatInterval.count();
}

bool RecordRing::AggregateRefusal(const DecisionRecord& aRecord, int64_t aNowMs)
{
  const auto entry = openRefusals_.find(AggregationKey(aRecord));
  if (entry == openRefusals_.end()) {
    return false;
  }
  const auto queuedRecord = FindBySequence(pendingUpload_, entry->second);
  if (queuedRecord == pendingUpload_.end() || !IsAggregating(*queuedRecord, aNowMs)) {
    openRefusals_.erase(entry);
    return false;
  }
  queuedRecord->count += aRecord.count;
  if (const auto ringRecord = FindBySequence(records_, entry->second);
      ringRecord != records_.end()) {
    ringRecord->count += aRecord.count;
  }
  stats_.repeats += aRecord.count;
  return true;
}

std::string RecordRing::Add(DecisionRecord aRecord, int64_t aNowMs)
{
  const bool isRefusal = aRecord.kind == DecisionKind::Refusal;
  if (isRefusal && AggregateRefusal(aRecord, aNowMs)) {
    return {};
  }
  ++lastSequence_;
  aRecord.id = fmt::format("{}-{}-{}", init_.proxy, init_.incarnation, lastSequence_);
  aRecord.proxy = init_.proxy;
  aRecord.failureDomain = init_.failureDomain;
  aRecord.timeMs = aNowMs;
  if (isRefusal) {
    // Bounds the map. Later refusals with a removed key start a new record.
    if (openRefusals_.size() >= init_.capacity) {
      openRefusals_.clear();
    }
    openRefusals_[AggregationKey(aRecord)] = lastSequence_;
  }
  records_.push_back(aRecord);
  pendingUpload_.push_back(std::move(aRecord));
  ++stats_.added;
  if (records_.size() > init_.capacity) {
    records_.pop_front();
  }
  TrimPendingUpload();
  return records_.back().id;
}

void RecordRing::TrimPendingUpload()
{
  while (pendingUpload_.size() > init_.capacity) {
    pendingUpload_.pop_front();
    ++stats_.dropped;
  }
}

std::vector<DecisionRecord> RecordRing::TakeBatch(size_t aLimit, int64_t aNowMs)
{
  std::vector<DecisionRecord> batch;
  std::deque<DecisionRecord> remaining;
  for (DecisionRecord& record : pendingUpload_) {
    if (batch.size() < aLimit && !IsAggregating(record, aNowMs)) {
      batch.push_back(std::move(record));
    } else {
      remaining.push_back(std::move(record));
    }
  }
  pendingUpload_ = std::move(remaining);
  return batch;
}

void RecordRing::ReturnBatch(std::vector<DecisionRecord> aBatch)
{
  std::deque<DecisionRecord> merged;
  std::merge(std::make_move_iterator(aBatch.begin()),
             std::make_move_iterator(aBatch.end()),
             std::make_move_iterator(pendingUpload_.begin()),
             std::make_move_iterator(pendingUpload_.end()),
             std::back_inserter(merged),
             [](const DecisionRecord& aLeft, const DecisionRecord& aRight) {
               return ParseSequence(aLeft) < ParseSequence(aRight);
             });
  pendingUpload_ = std::move(merged);
  TrimPendingUpload();
}

std::vector<DecisionRecord> RecordRing::Snapshot() const
{
  return { records_.begin(), records_.end() };
}

} // namespace bg
