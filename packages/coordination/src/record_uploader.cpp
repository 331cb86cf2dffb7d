#include "coordination_p.h"

namespace bg {

struct RecordUploader::Impl : std::enable_shared_from_this<RecordUploader::Impl>
{
  explicit Impl(RecordUploaderInit aInit)
    : init(std::move(aInit))
  {
  }

  /// A failed upload uses its name again, so that one that took effect is only overwritten.
  std::string ObjectName() const
  {
    std::string number = std::to_string(sequence);
    number.insert(0, number.size() < 8 ? 8 - number.size() : 0, '0');
    return "decisions/" + init.host + "/" + std::to_string(init.incarnation) + "-" + number;
  }

  void Upload()
  {
    auto batch = init.ring->TakeBatch(init.batchLimit, init.wallClockMs());
    if (batch.empty()) {
      return;
    }
    busy = true;
    std::string text;
    for (const DecisionRecord& record : batch) {
      text += EncodeRecord(record) + "\n";
    }
    init.platform->PutObject(
      ObjectName(),
      std::move(text),
      init.callDeadline,
      detail::Guarded(shared_from_this(),
                      [records = std::move(batch)](Impl& aSelf, const Result<bool>& aResult) {
                        aSelf.Finish(records, aResult);
                      }));
  }

  void Finish(const std::vector<DecisionRecord>& aBatch, const Result<bool>& aResult)
  {
    busy = false;
    if (!aResult) {
      ++stats.failures;
      Log(LogLevel::Warning, "record_upload_failed", { { "reason", ToString(aResult.Failure()) } });
      init.ring->ReturnBatch(aBatch);
      return;
    }
    ++sequence;
    ++stats.batches;
    stats.records += aBatch.size();
  }

  RecordUploaderInit init;
  RecordUploaderStats stats;
  uint64_t sequence = 1;
  TimePoint next;
  bool busy = false;
};

RecordUploader::RecordUploader(RecordUploaderInit aInit)
  : impl_(std::make_shared<Impl>(std::move(aInit)))
{
}

RecordUploader::~RecordUploader() = default;

void RecordUploader::Tick(TimePoint aNow)
{
  if (aNow >= impl_->next && !impl_->busy) {
    impl_->next = aNow + impl_->init.interval;
    impl_->Upload();
  }
}

void RecordUploader::Flush()
{
  if (!impl_->busy) {
    impl_->Upload();
  }
}

bool RecordUploader::Busy() const
{
  return impl_->busy;
}

const RecordUploaderStats& RecordUploader::Stats() const
{
  return impl_->stats;
}

} // namespace bg
