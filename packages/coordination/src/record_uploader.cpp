#include "coordination_p.h"

namespace bg {

struct RecordUploader::Impl : std::enable_shared_from_this<RecordUploader::Impl>
{
  explicit Impl(RecordUploaderInit aInit)
    : init(std::move(aInit))
  {
  }

  /// The name changes only after a successful upload. If a failed upload did take effect, the retry
  /// overwrites its object instead of storing the records twice.
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
    uploadInProgress = true;
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
                        aSelf.HandleUploadResult(records, aResult);
                      }));
  }

  void HandleUploadResult(const std::vector<DecisionRecord>& aBatch, const Result<bool>& aResult)
  {
    uploadInProgress = false;
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
  TimePoint nextUpload;
  bool uploadInProgress = false;
};

RecordUploader::RecordUploader(RecordUploaderInit aInit)
  : impl_(std::make_shared<Impl>(std::move(aInit)))
{
}

RecordUploader::~RecordUploader() = default;

void RecordUploader::Tick(TimePoint aNow)
{
  if (aNow >= impl_->nextUpload && !impl_->uploadInProgress) {
    impl_->nextUpload = aNow + impl_->init.interval;
    impl_->Upload();
  }
}

void RecordUploader::Flush()
{
  if (!impl_->uploadInProgress) {
    impl_->Upload();
  }
}

bool RecordUploader::Busy() const
{
  return impl_->uploadInProgress;
}

const RecordUploaderStats& RecordUploader::Stats() const
{
  return impl_->stats;
}

} // namespace bg
