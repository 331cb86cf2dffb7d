#include <algorithm>
#include <cstdlib>
#include <vector>

#include "asio_server_p.h"

using namespace bg;
using namespace bg::detail;

namespace {

/// What a connection makes of its bytes: the requests in order, then the refusal if there is one.
struct Outcome
{
  std::vector<HttpRequest> requests;
  int refusal = 0;
};

void Check(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/// A request that was let through can be forwarded without a second reading of it.
void CheckRequest(const HttpRequest& aRequest)
{
  Check(aRequest.target.starts_with('/') || aRequest.target == "*");
  Check(aRequest.target.size() <= kMaxTargetBytes);
  Check(aRequest.headers.size() <= kMaxHeaderCount);
  Check(std::count_if(aRequest.headers.begin(), aRequest.headers.end(), [](const auto& aHeader) {
          return FindHeader({ aHeader }, "host") != nullptr;
        }) == 1);
  for (const HttpHeader& header : aRequest.headers) {
    Check(header.value.find_first_of(std::string("\r\n\0", 3)) == std::string::npos);
    Check(header.name.size() + header.value.size() <= kMaxHeaderLineBytes);
  }
  Check(aRequest.body->size() <= 4096);
}

/// Feeds the bytes in pieces of the given size.
Outcome Read(std::string_view aBytes, size_t aPiece)
{
  Outcome outcome;
  const auto budget = std::make_shared<ByteBudget>(8192);
  RequestReader reader(4096, budget);
  while (!aBytes.empty() && outcome.refusal == 0) {
    auto status = reader.Feed(aBytes.substr(0, aPiece));
    aBytes.remove_prefix(std::min(aPiece, aBytes.size()));
    while (status == RequestReader::Status::Complete) {
      outcome.requests.push_back(reader.TakeRequest());
      // The handler is done with the body, as the budget covers only bodies in use.
      outcome.requests.back().body =
        std::make_shared<const std::string>(*outcome.requests.back().body);
      reader.StartNext();
      status = reader.Feed({});
    }
    if (status == RequestReader::Status::Refused) {
      outcome.refusal = reader.Problem().status;
    }
  }
  return outcome;
}

} // namespace

/// Accepted requests keep the promises of the head checks, and the reading does not depend on how
/// the bytes are split.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const Outcome whole = Read(bytes, std::max<size_t>(1, bytes.size()));
  for (const HttpRequest& request : whole.requests) {
    CheckRequest(request);
  }
  const Outcome pieces = Read(bytes, 7);
  Check(whole.refusal == pieces.refusal && whole.requests.size() == pieces.requests.size());
  for (size_t i = 0; i < whole.requests.size(); ++i) {
    Check(whole.requests[i].target == pieces.requests[i].target);
    Check(*whole.requests[i].body == *pieces.requests[i].body);
  }
  return 0;
}
