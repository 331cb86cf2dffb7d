#include <doctest/doctest.h>

#include "boragegauge/base.h"

using namespace bg;

TEST_CASE("digests are the published ones")
{
  // Guards against a change of algorithm, which would make stored digests unverifiable.
  CHECK(Sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(Hash64("abc") == Hash64("abc"));
  CHECK(Hash64("abc") != Hash64("abc", 1));
}

TEST_CASE("an error names step and peer")
{
  const Error error{ Errc::Timeout, "table.commit", "127.0.0.1:1", "no answer in 200 ms" };
  CHECK(ToString(error) ==
        "step=table.commit peer=127.0.0.1:1 error=\"timeout\" detail=\"no answer in 200 ms\"");
  const Result<int> failed(error);
  CHECK_FALSE(failed);
  CHECK(failed.Failure().code == Errc::Timeout);
}

TEST_CASE("a log value cannot forge another field")
{
  // Guards against a caller's header value that contains spaces, quotes or line breaks.
  CHECK(LogField("path", "/a b=c").value == "\"/a b=c\"");
  CHECK(LogField("path", "x\ny").value == "\"x\\x0ay\"");
  CHECK(LogField("path", "say \"hi\"").value == "\"say \\\"hi\\\"\"");
  CHECK(LogField("n", 7).value == "7");
}
