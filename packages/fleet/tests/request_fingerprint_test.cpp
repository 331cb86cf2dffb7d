#include <doctest/doctest.h>

#include "request_fingerprint_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

TEST_CASE("requests are the same if their method, host, target, account and body are")
{
  HttpRequest request;
  request.method = "POST";
  request.target = "/orders/7?page=2";
  request.headers = { { "Host", "desk.example" }, { "Request-Id", "a1" } };
  request.body = std::make_shared<const std::string>("two reams");
  const CallerMetadata caller{ .requestId = "a1", .account = "shop-3" };
  const uint64_t fingerprint = RequestFingerprint(request, caller);

  SUBCASE("a caller that comes back has another request id and deadline")
  {
    request.headers = { { "Request-Id", "b2" }, { "host", "desk.example" } };
    const CallerMetadata again{ .requestId = "b2",
                                .deadline = Milliseconds(700),
                                .account = "shop-3" };
    CHECK(RequestFingerprint(request, again) == fingerprint);
  }

  SUBCASE("another account, target, method, host or body makes another request")
  {
    CHECK(RequestFingerprint(request, { .account = "shop-4" }) != fingerprint);
    HttpRequest other = request;
    other.target = "/orders/7?page=3";
    CHECK(RequestFingerprint(other, caller) != fingerprint);
    other = request;
    other.method = "PUT";
    CHECK(RequestFingerprint(other, caller) != fingerprint);
    other = request;
    other.headers[0].value = "proof.example";
    CHECK(RequestFingerprint(other, caller) != fingerprint);
    other = request;
    other.body = std::make_shared<const std::string>("three reams");
    CHECK(RequestFingerprint(other, caller) != fingerprint);
  }

  SUBCASE("no body and an empty one are the same, and the parts are kept apart")
  {
    HttpRequest empty = request;
    empty.body = nullptr;
    HttpRequest null = request;
    null.body = std::make_shared<const std::string>();
    CHECK(RequestFingerprint(empty, caller) == RequestFingerprint(null, caller));
    HttpRequest shifted = empty;
    shifted.target = empty.target + caller.account;
    CHECK(RequestFingerprint(shifted, {}) != RequestFingerprint(empty, caller));
  }
}
