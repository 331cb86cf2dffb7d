// Measures how memory and CPU time of a proxy's control thread grow with the size of the fleet.
// Runs the production code with prepared messages in place of peers. Prints one JSON line per
// series with its points and their least-squares slope.

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "boragegauge/peering.h"
#include "control.h"

namespace {

using namespace bg;
using Json = nlohmann::json;

/// Never calls back; the measurements use no platform data.
class UnresponsivePlatform : public Platform
{
public:
  void Commit(CommitRequest, Duration, Callback<CommitReply>) override {}
  void ReadRow(std::string_view, Duration, Callback<RowReply>) override {}
  void Scan(std::string_view, Duration, Callback<ScanReply>) override {}
  void PutObject(std::string_view, std::string, Duration, Callback<bool>) override {}
  void GetObject(std::string_view, Duration, Callback<std::string>) override {}
  void ListObjects(std::string_view, Duration, Callback<std::vector<std::string>>) override {}
  void ListHosts(Duration, Callback<std::vector<HostEntry>>) override {}
};

struct FleetSize
{
  size_t proxies = 48;
  size_t services = 2;
  size_t upstreamsPerService = 20;
  size_t routes = 9;
  size_t callers = 4;
};

/// CPU time of this thread in nanoseconds.
double ThreadCpuNs()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

/// Allocated heap memory of the process.
double HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::string GenerateConfiguration(const FleetSize& aSize)
{
  Json body;
  body["format"] = 1;
  const size_t domains = 12;
  for (size_t d = 0; d < domains; ++d) {
    body["failure_domains"].push_back("domain-" + std::to_string(d));
  }
  size_t port = 0;
  for (size_t s = 0; s < aSize.services; ++s) {
    Json& service = body["services"]["service-" + std::to_string(s)];
    service["slots_per_upstream"] = 3;
    service["healthy_floor"] = aSize.upstreamsPerService / 2;
    for (size_t u = 0; u < aSize.upstreamsPerService; ++u) {
      service["upstreams"]["upstream-" + std::to_string(s) + "-" + std::to_string(u)] = {
        { "address", "10.0." + std::to_string(s / 250) + "." + std::to_string(s % 250 + 1) },
        { "port", 1024 + port % 64000 },
        { "failure_domain", "domain-" + std::to_string(u % domains) }
      };
      ++port;
    }
  }
  for (size_t c = 0; c < aSize.callers; ++c) {
    const std::string id = "caller-" + std::to_string(c);
    body["callers"][id] = { { "account_prefixes", { id + "-" } } };
  }
  for (size_t r = 0; r < aSize.routes; ++r) {
    body["routes"]["route-" + std::to_string(r)] = {
      { "path_prefix", "/area-" + std::to_string(r % 97) + "/item-" + std::to_string(r) },
      { "methods", { "GET" } },
      { "callers", { "caller-0" } },
      { "service", "service-" + std::to_string(r % aSize.services) }
    };
  }
  return body.dump();
}

std::shared_ptr<const Configuration> ParseOrExit(const std::string& aBody)
{
  const ConfigurationReport report = ParseConfiguration(aBody);
  if (!report.configuration) {
    for (size_t i = 0; i < std::min<size_t>(3, report.problems.size()); ++i) {
      std::fprintf(stderr, "%s\n", ToString(report.problems[i]).c_str());
    }
    std::exit(1);
  }
  return report.configuration;
}

struct Point
{
  double x;
  double y;
};

double Slope(const std::vector<Point>& aPoints)
{
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (const Point& point : aPoints) {
    sumX += point.x;
    sumY += point.y;
    sumXX += point.x * point.x;
    sumXY += point.x * point.y;
  }
  const auto n = static_cast<double>(aPoints.size());
  return (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
}

void PrintSeries(const char* aName,
                 const char* aVariable,
                 const char* aUnit,
                 const std::vector<Point>& aPoints)
{
  Json points = Json::array();
  for (const Point& point : aPoints) {
    points.push_back({ point.x, point.y });
  }
  const Json line = { { "what", aName },
                      { "per", aVariable },
                      { "unit", aUnit },
                      { "slope", Slope(aPoints) },
                      { "points", points } };
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

/// Mean CPU time of one call in nanoseconds, over enough calls to take at least 50 ms.
double MeasureNsPerCall(const std::function<void()>& aCall)
{
  size_t calls = 0;
  const double start = ThreadCpuNs();
  double now = start;
  while (now - start < 5e7) {
    aCall();
    ++calls;
    now = ThreadCpuNs();
  }
  return (now - start) / static_cast<double>(calls);
}

/// Health control whose peers and platform are stubs; nothing is sent.
struct HealthControlFixture
{
  explicit HealthControlFixture(std::shared_ptr<const Configuration> aConfiguration)
    : configuration(std::move(aConfiguration))
  {
    settings.host = "entry-0";
    settings.failureDomain = "domain-0";
    sender = std::make_unique<PeerSender>(PeerSenderInit{ "entry-0", 1, {} });
    LeavingMarksInit marks;
    marks.sender = sender.get();
    marks.peers = [] { return std::vector<std::string>(); };
    leaving = std::make_unique<LeavingMarks>(std::move(marks));
    EvidenceExchangeInit exchangeInit;
    exchangeInit.sender = sender.get();
    exchangeInit.aggregators = [](uint64_t) { return std::vector<std::string>{ "entry-0" }; };
    exchangeInit.peers = [] { return std::vector<std::string>(); };
    exchange = std::make_unique<EvidenceExchange>(std::move(exchangeInit));
    EjectionPermitsInit permitsInit;
    permitsInit.host = "entry-0";
    permitsInit.now = Now;
    permits = std::make_unique<EjectionPermits>(std::move(permitsInit));
    health = std::make_unique<HealthControl>(HealthControlInit{
      &settings, exchange.get(), permits.get(), leaving.get(), [](const DecisionRecord&) {
        return std::string("id");
      } });
    load = std::make_shared<LoadTable>(configuration->upstreams.size());
    health->Configure(configuration, load);
  }

  std::shared_ptr<const Configuration> configuration;
  ProxySettings settings;
  std::unique_ptr<PeerSender> sender;
  std::unique_ptr<LeavingMarks> leaving;
  std::unique_ptr<EvidenceExchange> exchange;
  std::unique_ptr<EjectionPermits> permits;
  std::unique_ptr<HealthControl> health;
  std::shared_ptr<LoadTable> load;
};

void MeasureUpstreams()
{
  std::vector<Point> bodyBytes;
  std::vector<Point> parseNs;
  std::vector<Point> modelBytes;
  std::vector<Point> controlBytes;
  std::vector<Point> tickNs;
  std::vector<Point> statusNs;
  for (const size_t services : { 100, 300, 600, 1200 }) {
    FleetSize size;
    size.services = services;
    size.routes = services;
    const auto upstreams = static_cast<double>(services * size.upstreamsPerService);
    const std::string body = GenerateConfiguration(size);
    bodyBytes.push_back({ upstreams, static_cast<double>(body.size()) });
    const double before = HeapBytes();
    const double parseStart = ThreadCpuNs();
    const auto configuration = ParseOrExit(body);
    parseNs.push_back({ upstreams, ThreadCpuNs() - parseStart });
    modelBytes.push_back({ upstreams, HeapBytes() - before });
    const double beforeControl = HeapBytes();
    HealthControlFixture fixture(configuration);
    controlBytes.push_back({ upstreams, HeapBytes() - beforeControl });
    TimePoint now = Now();
    const std::map<std::string, uint32_t> proxies = { { "domain-0", 4 } };
    tickNs.push_back({ upstreams, MeasureNsPerCall([&] {
                         now += Milliseconds(50);
                         fixture.health->Tick(now, proxies);
                       }) });
    statusNs.push_back(
      { upstreams, MeasureNsPerCall([&] { fixture.health->UpstreamStatuses(now); }) });
  }
  PrintSeries("configuration body", "upstream", "bytes", bodyBytes);
  PrintSeries("configuration parse and validate", "upstream", "ns", parseNs);
  PrintSeries("configuration model", "upstream", "bytes", modelBytes);
  PrintSeries("health control state", "upstream", "bytes", controlBytes);
  PrintSeries("health control tick, nothing to do", "upstream", "ns", tickNs);
  PrintSeries("routing status", "upstream", "ns", statusNs);
}

void MeasureRoutes()
{
  std::vector<Point> tableBytes;
  std::vector<Point> matchNs;
  for (const size_t routes : { 1000, 4000, 9200 }) {
    FleetSize size;
    size.routes = routes;
    const auto configuration = ParseOrExit(GenerateConfiguration(size));
    const double before = HeapBytes();
    const RouteTable table(configuration);
    tableBytes.push_back({ static_cast<double>(routes), HeapBytes() - before });
    size_t next = 0;
    matchNs.push_back({ static_cast<double>(routes), MeasureNsPerCall([&] {
                          const std::string& path =
                            configuration->routes[next++ % routes].pathPrefix;
                          table.Match("GET", path, "caller-0-account-77");
                        }) });
  }
  PrintSeries("route table", "route", "bytes", tableBytes);
  PrintSeries("route look-up", "route", "ns", matchNs);
}

void MeasureOutcomes()
{
  std::vector<Point> outcomeNs;
  for (const size_t services : { 100, 1200 }) {
    FleetSize size;
    size.services = services;
    HealthControlFixture fixture(ParseOrExit(GenerateConfiguration(size)));
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->configuration = fixture.configuration;
    const size_t upstreams = fixture.configuration->upstreams.size();
    TimePoint now = Now();
    size_t next = 0;
    std::vector<AttemptOutcome> batch(100);
    const double nsPerBatch = MeasureNsPerCall([&] {
      for (AttemptOutcome& outcome : batch) {
        now += Milliseconds(1);
        const UpstreamHandle upstream{ static_cast<uint16_t>((next += 7919) % upstreams) };
        outcome = { snapshot, upstream, OutcomeKind::Good, Milliseconds(25), now, false };
      }
      fixture.health->OnOutcomes(batch);
    });
    outcomeNs.push_back({ static_cast<double>(upstreams), nsPerBatch / 100 });
  }
  PrintSeries("outcome observed", "upstream", "ns", outcomeNs);
}

void MeasurePeers()
{
  std::vector<Point> heartbeatNs;
  std::vector<Point> heartbeatBytes;
  std::vector<Point> receiveNs;
  std::vector<Point> aggregatorNs;
  std::vector<Point> readerNs;
  for (const size_t peers : { 48, 500, 2500 }) {
    size_t bytesSent = 0;
    TimePoint now = Now();
    PeerSender sender({ "entry-0", 1, [&](std::string_view, std::string_view aBytes) {
                         bytesSent += aBytes.size();
                       } });
    std::vector<std::unique_ptr<PeerSender>> senders;
    std::vector<std::string> messages(peers);
    for (size_t i = 0; i < peers; ++i) {
      senders.push_back(std::make_unique<PeerSender>(PeerSenderInit{
        "entry-" + std::to_string(i + 1),
        1700000000000,
        [&messages, i](std::string_view, std::string_view aBytes) { messages[i] = aBytes; } }));
    }
    Heartbeat heartbeat;
    heartbeat.revision = 15000;
    heartbeat.digestPrefix = 0x0123456789abcdefULL;
    heartbeat.failureDomain = "domain-0";
    heartbeat.state = ProxyState::Ready;
    heartbeat.heardIncarnation = 1;
    UnresponsivePlatform platform;
    MembershipInit init;
    init.sender = &sender;
    init.platform = &platform;
    init.now = [&] { return now; };
    init.heartbeat = [&] { return heartbeat; };
    init.hostsInterval = Milliseconds(INT32_MAX);
    Membership membership(std::move(init));
    const auto receiveHeartbeats = [&] {
      for (const auto& peer : senders) {
        Heartbeat peerHeartbeat = heartbeat;
        peerHeartbeat.address = "10.0.0.1";
        peerHeartbeat.port = 7000;
        peer->Send("entry-0", peerHeartbeat);
      }
      for (const std::string& message : messages) {
        membership.Receive(message);
      }
    };
    receiveHeartbeats();
    receiveNs.push_back({ static_cast<double>(peers), MeasureNsPerCall(receiveHeartbeats) });
    uint64_t key = 0;
    aggregatorNs.push_back({ static_cast<double>(peers),
                             MeasureNsPerCall([&] { membership.Aggregators(++key, 2, now); }) });
    membership.HealthReader(0, now); // Builds the hash ring before the measurement.
    readerNs.push_back({ static_cast<double>(peers),
                         MeasureNsPerCall([&] { membership.HealthReader(++key, now); }) });
    bytesSent = 0;
    double rounds = 0;
    heartbeatNs.push_back({ static_cast<double>(peers), MeasureNsPerCall([&] {
                              now += std::chrono::seconds(1);
                              receiveHeartbeats();
                              membership.Tick(now);
                              ++rounds;
                            }) });
    heartbeatBytes.push_back(
      { static_cast<double>(peers), static_cast<double>(bytesSent) / rounds });
  }
  PrintSeries("heartbeats of one second, sent", "peer", "bytes", heartbeatBytes);
  PrintSeries("heartbeats received", "peer", "ns", receiveNs);
  PrintSeries("heartbeats of one second, sent and received", "peer", "ns", heartbeatNs);
  PrintSeries("aggregators of one upstream", "peer", "ns", aggregatorNs);
  PrintSeries("health reader of one upstream", "peer", "ns", readerNs);
}

void MeasureRecords()
{
  std::vector<Point> bytes;
  for (const size_t count : { 1000, 4000 }) {
    const double before = HeapBytes();
    RecordRing ring({ "entry-1", "1700000000000", "domain-0" });
    for (size_t i = 0; i < count; ++i) {
      DecisionRecord record;
      record.kind = DecisionKind::Avoidance;
      record.service = "service-1";
      record.subject = "upstream-" + std::to_string(i);
      record.rule = "pooled_cusum";
      for (int value = 0; value < 20; ++value) {
        record.evidence.push_back({ "evidence_" + std::to_string(value), 1.5 });
      }
      ring.Add(std::move(record), 1700000000000);
    }
    bytes.push_back({ static_cast<double>(count), HeapBytes() - before });
  }
  PrintSeries("decision record in memory", "record", "bytes", bytes);
}

} // namespace

int main()
{
  SetLogLevel(LogLevel::Error);
  MeasureUpstreams();
  MeasureRoutes();
  MeasureOutcomes();
  MeasurePeers();
  MeasureRecords();
  return 0;
}
