#include <cstdlib>
#include <new>

#include <doctest/doctest.h>

#include "support.h"

namespace {

size_t gAllocationCount = 0;

} // namespace

// Not inlined: otherwise the compiler sees free() next to a call of operator new and warns about a
// mismatched deallocation.
[[gnu::noinline]] void* operator new(size_t aSize)
{
  ++gAllocationCount;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void operator delete(void* aMemory, size_t) noexcept
{
  std::free(aMemory);
}

using namespace bg;
using namespace bg::detection;
using namespace bg::detection::test;

TEST_CASE("outcomes and evaluations without a verdict allocate no memory")
{
  // Outcomes and reports arrive on the control thread at up to 540,000 requests/s; an allocation
  // for each of them would overload it.
  LocalDetector local;
  local.Configure(MakeConfiguration(30, 16));
  PooledDetector pooled;
  pooled.Configure(MakeConfiguration(30, 16));
  const auto outcomeOf = [](int64_t aIndex) {
    return aIndex % 200 == 0 ? OutcomeClass::Failed : OutcomeClass::Good;
  };
  const auto run = [&](int64_t aFrom, int64_t aTo) {
    for (int64_t i = aFrom; i < aTo; ++i) {
      const UpstreamHandle upstream{ static_cast<uint16_t>(i % 29) };
      local.Observe(upstream, outcomeOf(i), Milliseconds(25), At(50 * i));
      if (i % 20 == 0) {
        const UpstreamHandle reported{ static_cast<uint16_t>(i / 20 % 29) };
        const EvidenceReport report{ reported, { .good = 100, .failed = 1 }, Milliseconds(60000) };
        pooled.Add("proxy", FailureDomainHandle{ 0 }, report, At(50 * i));
      }
      if (!pooled.Evaluate(At(50 * i)).empty()) {
        FAIL("a rare failure gave a verdict");
      }
    }
  };
  run(0, 3000);
  const size_t allocationsBefore = gAllocationCount;
  run(3000, 6000);
  CHECK(gAllocationCount == allocationsBefore);
}
