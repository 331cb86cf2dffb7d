#pragma once

#include <array>
#include <functional>
#include <memory>

#include "boragegauge/fleet.h"

namespace bg::fleet::detail {

enum class StoreOperation
{
  Read,
  Watch,
  Put,

  Count
};

std::string_view ToString(StoreOperation aOperation);

/// Calls to the store by their result.
struct StoreCalls
{
  uint64_t succeeded = 0;
  uint64_t refused = 0;     ///< Not executed.
  uint64_t unanswered = 0;  ///< No response, or one that cannot be read.
  uint64_t historyGone = 0; ///< The changes since a position are not available.
};

/// Counts the calls to a store and reports the epoch of its responses.
class MeteredStore : public RowStore
{
public:
  using Counts = std::array<StoreCalls, static_cast<size_t>(StoreOperation::Count)>;

  /// @param aOnEpoch Called before the callback of each successful call.
  MeteredStore(std::unique_ptr<RowStore> aStore, std::function<void(uint64_t)> aOnEpoch);

  void Read(std::string_view aTable, Duration aDeadline, Callback<StoreRows> aCallback) override;
  void ReadRow(std::string_view aTable,
               std::string_view aKey,
               Duration aDeadline,
               Callback<StoreRows> aCallback) override;
  void Watch(std::string_view aTable,
             StorePosition aAfter,
             Duration aWait,
             Duration aDeadline,
             Callback<StoreRows> aCallback) override;
  void Put(std::string_view aTable,
           std::string_view aKey,
           std::string_view aValue,
           Duration aDeadline,
           Callback<StorePosition> aCallback) override;

  /// Finished calls by operation.
  const Counts& Calls() const { return *calls_; }

private:
  /// Counts the result of a call before its callback.
  Callback<StoreRows> Metered(StoreOperation aOperation, Callback<StoreRows> aCallback);

  std::unique_ptr<RowStore> store_;
  std::function<void(uint64_t)> onEpoch_;
  std::shared_ptr<Counts> calls_ = std::make_shared<Counts>();
};

} // namespace bg::fleet::detail
