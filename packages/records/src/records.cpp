#include "boragegauge/records.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace bg {

namespace {

/// Separates the parts of an aggregation key; cannot occur in identifiers of a configuration.
constexpr char kKeySeparator = '\x1f';

std::string AggregationKey(const DecisionRecord& aRecord)
{
  return aRecord.service + kKeySeparator + aRecord.subject + kKeySeparator + aRecord.rule;
}

/// The sequence at the end of "PROXY-INCARNATION-SEQUENCE"; 0 when there is none.
uint64_t SequenceOf(const DecisionRecord& aRecord)
{
  const size_t dash = aRecord.id.rfind('-');
  uint64_t sequence = 0;
  if (dash != std::string::npos) {
    std::from_chars(aRecord.id.data() + dash + 1, aRecord.id.data() + aRecord.id.size(), sequence);
  }
  return sequence;
}

auto FindSequence(std::deque<DecisionRecord>& aRecords, uint64_t aSequence)
{
  auto found = std::lower_bound(
    aRecords.begin(), aRecords.end(), aSequence, [](const DecisionRecord& aLeft, uint64_t aRight) {
      return SequenceOf(aLeft) < aRight;
    });
  return found != aRecords.end() && SequenceOf(*found) == aSequence ? found : aRecords.end();
}

} // namespace

RecordRing::RecordRing(RecordRingInit aInit)
  : init_(std::move(aInit))
{
}

bool RecordRing::IsOpen(const DecisionRecord& aRecord, int64_t aNowMs) const
{
  // A wall clock that was set back closes the interval, so that a record is not kept for hours.
  return aRecord.kind == DecisionKind::Refusal && aNowMs >= aRecord.timeMs &&
         aNowMs - aRecord.timeMs < init_.repeatInterval.count();
}

bool RecordRing::AddRepeat(const DecisionRecord& aRecord, int64_t aNowMs)
{
  const auto open = open_.find(AggregationKey(aRecord));
  if (open == open_.end()) {
    return false;
  }
  const auto pending = FindSequence(pending_, open->second);
  if (pending == pending_.end() || !IsOpen(*pending, aNowMs)) {
    open_.erase(open);
    return false;
  }
  pending->count += aRecord.count;
  if (const auto kept = FindSequence(records_, open->second); kept != records_.end()) {
    kept->count += aRecord.count;
  }
  stats_.repeats += aRecord.count;
  return true;
}

std::string RecordRing::Add(DecisionRecord aRecord, int64_t aNowMs)
{
  const bool refusal = aRecord.kind == DecisionKind::Refusal;
  if (refusal && AddRepeat(aRecord, aNowMs)) {
    return {};
  }
  ++sequence_;
  aRecord.id = fmt::format("{}-{}-{}", init_.proxy, init_.incarnation, sequence_);
  aRecord.proxy = init_.proxy;
  aRecord.failureDomain = init_.failureDomain;
  aRecord.timeMs = aNowMs;
  if (refusal) {
    if (open_.size() >= init_.capacity) {
      open_.clear();
    }
    open_[AggregationKey(aRecord)] = sequence_;
  }
  records_.push_back(aRecord);
  pending_.push_back(std::move(aRecord));
  ++stats_.added;
  if (records_.size() > init_.capacity) {
    records_.pop_front();
  }
  LimitPending();
  return records_.back().id;
}

void RecordRing::LimitPending()
{
  while (pending_.size() > init_.capacity) {
    pending_.pop_front();
    ++stats_.dropped;
  }
}

std::vector<DecisionRecord> RecordRing::TakeBatch(size_t aLimit, int64_t aNowMs)
{
  std::vector<DecisionRecord> batch;
  std::deque<DecisionRecord> rest;
  for (DecisionRecord& record : pending_) {
    if (batch.size() < aLimit && !IsOpen(record, aNowMs)) {
      batch.push_back(std::move(record));
    } else {
      rest.push_back(std::move(record));
    }
  }
  pending_ = std::move(rest);
  return batch;
}

void RecordRing::ReturnBatch(std::vector<DecisionRecord> aBatch)
{
  std::deque<DecisionRecord> merged;
  std::merge(std::make_move_iterator(aBatch.begin()),
             std::make_move_iterator(aBatch.end()),
             std::make_move_iterator(pending_.begin()),
             std::make_move_iterator(pending_.end()),
             std::back_inserter(merged),
             [](const DecisionRecord& aLeft, const DecisionRecord& aRight) {
               return SequenceOf(aLeft) < SequenceOf(aRight);
             });
  pending_ = std::move(merged);
  LimitPending();
}

std::vector<DecisionRecord> RecordRing::Snapshot() const
{
  return { records_.begin(), records_.end() };
}

} // namespace bg
