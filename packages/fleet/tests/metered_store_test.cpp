#include <doctest/doctest.h>

#include "metered_store_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

/// Answers each call at once with the same result.
class FixedStore : public RowStore
{
public:
  explicit FixedStore(const Result<StoreRows>& aResult)
    : result_(aResult)
  {
  }

  void Read(std::string_view /*aTable*/,
            Duration /*aDeadline*/,
            Callback<StoreRows> aCallback) override
  {
    aCallback(result_);
  }
  void ReadRow(std::string_view /*aTable*/,
               std::string_view /*aKey*/,
               Duration /*aDeadline*/,
               Callback<StoreRows> aCallback) override
  {
    aCallback(result_);
  }
  void Watch(std::string_view /*aTable*/,
             StorePosition /*aAfter*/,
             Duration /*aWait*/,
             Duration /*aDeadline*/,
             Callback<StoreRows> aCallback) override
  {
    aCallback(result_);
  }
  void Put(std::string_view /*aTable*/,
           std::string_view /*aKey*/,
           std::string_view /*aValue*/,
           Duration /*aDeadline*/,
           Callback<StorePosition> aCallback) override
  {
    result_ ? aCallback(result_->position) : aCallback(result_.Failure());
  }

private:
  Result<StoreRows> result_;
};

} // namespace

TEST_CASE("calls to the store are counted by operation and result")
{
  std::vector<uint64_t> epochs;
  const auto callWith = [&](const Result<StoreRows>& aResult, StoreOperation aOperation) {
    MeteredStore store(std::make_unique<FixedStore>(aResult),
                       [&epochs](uint64_t aEpoch) { epochs.push_back(aEpoch); });
    int callbacks = 0;
    switch (aOperation) {
      case StoreOperation::Read:
        store.Read("table", Duration(0), [&](const auto&) { ++callbacks; });
        break;
      case StoreOperation::Watch:
        store.Watch("table", {}, Duration(0), Duration(0), [&](const auto&) { ++callbacks; });
        break;
      default:
        store.Put("table", "key", "value", Duration(0), [&](const auto&) { ++callbacks; });
    }
    CHECK(callbacks == 1);
    return store.Calls()[static_cast<size_t>(aOperation)];
  };
  for (const auto operation :
       { StoreOperation::Read, StoreOperation::Watch, StoreOperation::Put }) {
    CAPTURE(ToString(operation));
    CHECK(callWith(StoreRows{ {}, { 3, 7 } }, operation).succeeded == 1);
    CHECK(callWith(Error{ Errc::Unavailable, "", "", "" }, operation).refused == 1);
    CHECK(callWith(Error{ Errc::OutcomeUnknown, "", "", "" }, operation).unanswered == 1);
    CHECK(callWith(Error{ Errc::NotFound, "", "", "" }, operation).historyGone == 1);
  }
  CHECK(epochs == std::vector<uint64_t>{ 3, 3, 3 });
}
