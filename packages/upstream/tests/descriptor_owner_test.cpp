#include <doctest/doctest.h>

#include <array>
#include <vector>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "client_fixture.h"

using namespace bg;
using namespace bg::test;

namespace {

/// A connection of another owner, which takes the lowest free descriptor numbers.
class Bystander
{
public:
  Bystander() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()) == 0); }
  ~Bystander()
  {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  Bystander(const Bystander&) = delete;
  Bystander& operator=(const Bystander&) = delete;

  /// Whether both ends are open, connected to each other, and nobody else has written to them.
  bool IsUntouched() const
  {
    std::array<char, 2> bytes{};
    for (const size_t end : { 0, 1 }) {
      const bool isAlone = ::recv(ends_[end], bytes.data(), 1, MSG_DONTWAIT) < 0 && errno == EAGAIN;
      const bool isConnected = isAlone && ::send(ends_[1 - end], "x", 1, MSG_NOSIGNAL) == 1 &&
                               ::recv(ends_[end], bytes.data(), 2, MSG_DONTWAIT) == 1;
      if (!isConnected) {
        return false;
      }
    }
    return true;
  }

private:
  std::array<int, 2> ends_{};
};

size_t CountDescriptors()
{
  size_t count = 0;
  for (int number = 0; number < 1024; ++number) {
    count += ::fcntl(number, F_GETFD) >= 0 ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("a connection that is given up leaves the descriptors of others alone")
{
  RawServer server([](RawConnection& aConnection, int) {
    aConnection.ReadMessage();
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    aConnection.WaitForClose();
  });
  const FullPort full;
  const ClosedPort closed;
  std::vector<std::unique_ptr<Bystander>> bystanders;
  const size_t descriptorsBefore = CountDescriptors();
  {
    ClientFixture client;
    constexpr int kRounds = 60;
    for (int round = 0; round < kRounds; ++round) {
      UpstreamRequest silent = MakeRequest(full.Port(), "POST");
      silent.connectTimeout = Milliseconds(5);
      CHECK(client.Fetch(silent).failure == UpstreamFailure::Connect);
      bystanders.push_back(std::make_unique<Bystander>());
      CHECK(client.Fetch(MakeRequest(closed.Port(), "POST")).failure == UpstreamFailure::Connect);
      bystanders.push_back(std::make_unique<Bystander>());
      UpstreamRequest request = MakeRequest(server.Port(), "POST");
      request.freshConnection = true;
      CHECK(client.Fetch(request).status == 200);
    }
  }
  size_t touched = 0;
  for (const auto& bystander : bystanders) {
    touched += bystander->IsUntouched() ? 0 : 1;
  }
  CHECK(touched == 0);
  bystanders.clear();
  CHECK(CountDescriptors() <=
        descriptorsBefore + 2); // The server may not have noticed a close yet.
}
