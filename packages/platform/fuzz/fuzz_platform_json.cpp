#include <cstdlib>

#include "platform_p.h"

using namespace bg;
using namespace bg::detail;

namespace {

template<typename T>
void RequireProtocolViolation(const Result<T>& aResult)
{
  if (!aResult && aResult.Failure().code != Errc::ProtocolViolation) {
    std::abort();
  }
}

} // namespace

/// Checks that any input is decoded or fails with ProtocolViolation, and that no exception escapes.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string_view json(reinterpret_cast<const char*>(aData), aSize);
  RequireProtocolViolation(DecodeCommit(json));
  RequireProtocolViolation(DecodeRow(json));
  RequireProtocolViolation(DecodeScan(json));
  RequireProtocolViolation(DecodeNames(json));
  RequireProtocolViolation(DecodeHosts(json));
  return 0;
}
