#include <cstdlib>

#include "platform_p.h"

using namespace bg;
using namespace bg::detail;

namespace {

template<typename T>
void CheckError(const Result<T>& aResult)
{
  if (!aResult && aResult.Failure().code != Errc::ProtocolViolation) {
    std::abort();
  }
}

} // namespace

/// Replies decode or fail with ProtocolViolation; nothing throws.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string_view json(reinterpret_cast<const char*>(aData), aSize);
  CheckError(DecodeCommit(json));
  CheckError(DecodeRow(json));
  CheckError(DecodeScan(json));
  CheckError(DecodeNames(json));
  CheckError(DecodeHosts(json));
  return 0;
}
