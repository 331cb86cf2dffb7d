// Latency that the two transports of a proxy add to a request: measure_transports [SECONDS].
// A relay (HTTP server and upstream client on one loop) stands between a load and an upstream. Each
// load thread sends every request twice, directly and through the relay, in random order, so that
// both see the same state of the machine. Prints one JSON line.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

#include <sys/resource.h>

#include "boragegauge/httpd.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr int kLoadThreads = 16;
constexpr size_t kResponseBytes = 512;

double Microseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::micro>(aDuration).count();
}

double ThreadCpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Forwards each request and counts the processor time of its thread.
class Relay
{
public:
  explicit Relay(uint16_t aUpstreamPort)
    : upstreamPort_(aUpstreamPort)
  {
    loop_.Call([this] {
      client_ = CreateCurlUpstreamClient({ .loop = &loop_.Loop() });
      server_ = std::move(
        *CreateHttpServer({ .loop = &loop_.Loop(), .handler = [this](auto aRequest, auto aReply) {
                             Forward(std::move(aRequest), std::move(aReply));
                           } }));
      port_ = server_->Port();
    });
  }
  ~Relay()
  {
    loop_.Call([this] {
      server_.reset();
      client_.reset();
    });
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  uint16_t Port() const { return port_; }
  double CpuSeconds()
  {
    double seconds = 0;
    loop_.Call([&] { seconds = ThreadCpuSeconds(); });
    return seconds;
  }

private:
  void Forward(HttpRequest aRequest, std::shared_ptr<HttpReply> aReply)
  {
    UpstreamRequest request;
    request.address = "127.0.0.1";
    request.port = upstreamPort_;
    request.method = std::move(aRequest.method);
    request.target = std::move(aRequest.target);
    request.headers = std::move(aRequest.headers);
    request.body = std::move(aRequest.body);
    client_->Send(std::move(request), [reply = std::move(aReply)](UpstreamResult aResult) {
      reply->Send({ aResult.status, std::move(aResult.headers), std::move(aResult.body) });
    });
  }

  LoopThread loop_;
  uint16_t upstreamPort_;
  uint16_t port_ = 0;
  std::unique_ptr<UpstreamClient> client_;
  std::unique_ptr<HttpServer> server_;
};

class Upstream
{
public:
  Upstream()
  {
    loop_.Call([this] {
      const std::string body(kResponseBytes, 'x');
      server_ = std::move(*CreateHttpServer(
        { .loop = &loop_.Loop(), .handler = [body](const auto&, const auto& aReply) {
           aReply->Send({ .status = 200, .headers = { { "X-Load", "1/3" } }, .body = body });
         } }));
    });
  }
  ~Upstream()
  {
    loop_.Call([this] { server_.reset(); });
  }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  uint16_t Port() const { return server_->Port(); }

private:
  LoopThread loop_;
  std::unique_ptr<HttpServer> server_;
};

/// Sends one request and waits for its response.
double Exchange(RawConnection& aConnection)
{
  const TimePoint start = Now();
  aConnection.Write("GET /catalog/notebooks?page=3 HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Account: shop-17\r\nX-Request-Deadline-Ms: 2000\r\n"
                    "traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\r\n"
                    "Accept: application/json\r\n\r\n");
  if (aConnection.ReadMessage().size() < kResponseBytes) {
    std::fputs("incomplete response\n", stderr);
    std::exit(1);
  }
  return Microseconds(Now() - start);
}

struct Samples
{
  std::vector<double> direct;
  std::vector<double> relayed;
};

/// @param aRate Pairs of requests per second of this thread; 0: as fast as possible, relay only.
Samples RunLoad(uint16_t aDirect, uint16_t aRelay, double aRate, TimePoint aEnd, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  const auto direct = RawConnection::Connect(aDirect);
  const auto relayed = RawConnection::Connect(aRelay);
  Samples samples;
  TimePoint next = Now();
  while (Now() < aEnd) {
    if (aRate > 0) {
      const double gap = std::exponential_distribution<>(aRate)(random);
      next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
      std::this_thread::sleep_until(next);
      if ((random() & 1U) != 0) {
        samples.direct.push_back(Exchange(*direct));
        samples.relayed.push_back(Exchange(*relayed));
        continue;
      }
    }
    samples.relayed.push_back(Exchange(*relayed));
    if (aRate > 0) {
      samples.direct.push_back(Exchange(*direct));
    }
  }
  return samples;
}

Samples RunAll(uint16_t aDirect, uint16_t aRelay, double aRate, Duration aTime)
{
  std::vector<std::future<Samples>> threads;
  const TimePoint end = Now() + aTime;
  for (unsigned i = 0; i < kLoadThreads; ++i) {
    threads.push_back(
      std::async(std::launch::async, RunLoad, aDirect, aRelay, aRate / kLoadThreads, end, i + 1));
  }
  Samples all;
  for (auto& thread : threads) {
    const Samples samples = thread.get();
    all.direct.insert(all.direct.end(), samples.direct.begin(), samples.direct.end());
    all.relayed.insert(all.relayed.end(), samples.relayed.begin(), samples.relayed.end());
  }
  std::sort(all.direct.begin(), all.direct.end());
  std::sort(all.relayed.begin(), all.relayed.end());
  return all;
}

double Quantile(const std::vector<double>& aSorted, double aShare)
{
  return aSorted[static_cast<size_t>(aShare * static_cast<double>(aSorted.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
  const double seconds = argc > 1 ? std::strtod(argv[1], nullptr) : 5;
  const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  const Upstream upstream;
  Relay relay(upstream.Port());
  const double cpuBefore = relay.CpuSeconds();
  const Samples full = RunAll(upstream.Port(), relay.Port(), 0, time);
  const double cpuFull = relay.CpuSeconds();
  const double capacity = static_cast<double>(full.relayed.size()) / seconds;
  const Samples half = RunAll(upstream.Port(), relay.Port(), capacity / 2, time);
  const double cpuHalf = relay.CpuSeconds() - cpuFull;
  std::printf("{\"capacity_per_s\":%.0f,\"cpu_us_per_request_full\":%.1f,",
              capacity,
              (cpuFull - cpuBefore) * 1e6 / static_cast<double>(full.relayed.size()));
  std::printf("\"rate_per_s\":%.0f,\"cpu_us_per_request_half\":%.1f,",
              static_cast<double>(half.relayed.size()) / seconds,
              cpuHalf * 1e6 / static_cast<double>(half.relayed.size()));
  for (const auto& [name, share] : { std::pair("p50", 0.5), { "p99", 0.99 }, { "p999", 0.999 } }) {
    std::printf("\"direct_%s_us\":%.0f,\"added_%s_us\":%.0f,",
                name,
                Quantile(half.direct, share),
                name,
                Quantile(half.relayed, share) - Quantile(half.direct, share));
  }
  std::printf("\"samples\":%zu}\n", half.relayed.size());
  return 0;
}
