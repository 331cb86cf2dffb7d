#include <cstdlib>

#include "boragegauge/protocol.h"

/// A message that is accepted must encode to a message that is accepted and encodes to the same
/// bytes; otherwise a proxy could pass on what its peers refuse.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const auto message = bg::DecodeMessage({ reinterpret_cast<const char*>(aData), aSize });
  if (message) {
    const std::string bytes = bg::EncodeMessage(*message);
    const auto again = bg::DecodeMessage(bytes);
    if (!again || bg::EncodeMessage(*again) != bytes) {
      std::abort();
    }
  }
  return 0;
}
