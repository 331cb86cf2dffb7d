#include "metered_store_p.h"

namespace bg::fleet::detail {

namespace {

void CountCall(StoreCalls& aCalls, const Error* aError)
{
  if (aError == nullptr) {
    ++aCalls.succeeded;
  } else if (aError->code == make_error_code(Errc::NotFound)) {
    ++aCalls.historyGone;
  } else if (aError->code == make_error_code(Errc::Unavailable)) {
    ++aCalls.refused;
  } else {
    ++aCalls.unanswered;
  }
}

} // namespace

std::string_view ToString(StoreOperation aOperation)
{
  switch (aOperation) {
    case StoreOperation::Read:
      return "read";
    case StoreOperation::Watch:
      return "watch";
    default:
      return "put";
  }
}

MeteredStore::MeteredStore(std::unique_ptr<RowStore> aStore, std::function<void(uint64_t)> aOnEpoch)
  : store_(std::move(aStore))
  , onEpoch_(std::move(aOnEpoch))
{
}

RowStore::Callback<StoreRows> MeteredStore::Metered(StoreOperation aOperation,
                                                    Callback<StoreRows> aCallback)
{
  return [calls = calls_, aOperation, onEpoch = onEpoch_, aCallback = std::move(aCallback)](
           const Result<StoreRows>& aRows) {
    CountCall((*calls)[static_cast<size_t>(aOperation)], aRows ? nullptr : &aRows.Failure());
    if (aRows) {
      onEpoch(aRows->position.epoch);
    }
    aCallback(aRows);
  };
}

void MeteredStore::Read(std::string_view aTable, Duration aDeadline, Callback<StoreRows> aCallback)
{
  store_->Read(aTable, aDeadline, Metered(StoreOperation::Read, std::move(aCallback)));
}

void MeteredStore::ReadRow(std::string_view aTable,
                           std::string_view aKey,
                           Duration aDeadline,
                           Callback<StoreRows> aCallback)
{
  store_->ReadRow(aTable, aKey, aDeadline, Metered(StoreOperation::Read, std::move(aCallback)));
}

void MeteredStore::Watch(std::string_view aTable,
                         StorePosition aAfter,
                         Duration aWait,
                         Duration aDeadline,
                         Callback<StoreRows> aCallback)
{
  store_->Watch(
    aTable, aAfter, aWait, aDeadline, Metered(StoreOperation::Watch, std::move(aCallback)));
}

void MeteredStore::Put(std::string_view aTable,
                       std::string_view aKey,
                       std::string_view aValue,
                       Duration aDeadline,
                       Callback<StorePosition> aCallback)
{
  store_->Put(aTable,
              aKey,
              aValue,
              aDeadline,
              [calls = calls_, onEpoch = onEpoch_, aCallback = std::move(aCallback)](
                const Result<StorePosition>& aPosition) {
                CountCall((*calls)[static_cast<size_t>(StoreOperation::Put)],
                          aPosition ? nullptr : &aPosition.Failure());
                if (aPosition) {
                  onEpoch(aPosition->epoch);
                }
                aCallback(aPosition);
              });
}

} // namespace bg::fleet::detail
