#include <cstdlib>

#include "boragegauge/protocol.h"

namespace {

/// A row that is accepted must encode to a row that is accepted and encodes to the same text.
template<typename Decoder, typename Encoder>
void Check(std::string_view aText, Decoder aDecoder, Encoder aEncoder)
{
  const auto row = aDecoder(aText);
  if (row) {
    const std::string text = aEncoder(*row);
    const auto again = aDecoder(text);
    if (!again || aEncoder(*again) != text) {
      std::abort();
    }
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  Check(text, bg::DecodeHead, bg::EncodeHead);
  Check(text, bg::DecodeRevision, bg::EncodeRevision);
  Check(text, bg::DecodeEjections, bg::EncodeEjections);
  Check(text, bg::DecodeClaim, bg::EncodeClaim);
  Check(text, bg::DecodeRecord, bg::EncodeRecord);
  return 0;
}
