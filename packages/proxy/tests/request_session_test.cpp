#include <doctest/doctest.h>

#include <deque>
#include <future>
#include <map>
#include <thread>

#include "boragegauge/coordination.h"
#include "traffic_thread.h"

using namespace bg;

namespace {

constexpr auto kResponseTimeout = std::chrono::seconds(10);

/// An HTTP server on its own thread that handles requests with a function of the test.
class TestUpstream
{
public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

  explicit TestUpstream(Handler aHandler)
  {
    HttpServerInit init;
    init.loop = &loop_;
    init.handler = [this, handler = std::move(aHandler)](HttpRequest aRequest,
                                                         std::shared_ptr<HttpReply> aReply) {
      ++requests;
      handler(std::move(aRequest), std::move(aReply));
    };
    auto server = CreateHttpServer(std::move(init));
    REQUIRE(server);
    server_ = std::move(*server);
    port = server_->Port();
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~TestUpstream()
  {
    loop_.Post([this] {
      server_.reset();
      loop_.Stop();
    });
    thread_.join();
  }
  TestUpstream(const TestUpstream&) = delete;
  TestUpstream& operator=(const TestUpstream&) = delete;

  std::atomic<int> requests{ 0 };
  uint16_t port = 0;

private:
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

void SendOk(const HttpRequest& /*aRequest*/, const std::shared_ptr<HttpReply>& aReply)
{
  aReply->Send({ 200, {}, "done" });
}

void RefuseAsShed(const HttpRequest& /*aRequest*/, const std::shared_ptr<HttpReply>& aReply)
{
  aReply->Send({ 503, { { "X-Not-Run", "shed" } }, "" });
}

/// One traffic thread in front of test upstreams, and a client that sends it requests. The hooks of
/// the control thread are replaced by counters.
class TestProxy
{
public:
  explicit TestProxy(const std::vector<uint16_t>& aPorts, uint32_t aMaxConcurrency = 8)
  {
    settings.host = "entry-1";
    settings.failureDomain = "a";
    context.settings = &settings;
    context.bodyBudget = std::make_shared<ByteBudget>(1 << 20);
    context.onRequestDone = [](const RequestMetrics&) {};
    context.hooks.onOutcomes = [this](const std::vector<AttemptOutcome>& aOutcomes) {
      for (const AttemptOutcome& outcome : aOutcomes) {
        ++outcomeCounts[static_cast<size_t>(outcome.kind)];
      }
    };
    context.hooks.onRefusal = [](const RefusalEvent&) {};
    context.hooks.onLeavingSignal =
      [this](const std::string&, const std::string&, const std::string&, const std::string&) {
        ++leavingSignals;
      };
    context.hooks.claim =
      [this](const ClaimRequest&, TimePoint, const std::function<void(ClaimResult)>& aCallback) {
        if (areClaimsAnswered) {
          aCallback({ ClaimStatus::Won, "row", {} });
        }
      };
    context.hooks.completeClaim = [this](const std::string&, const ClaimOutcome&) { ++completed; };
    context.hooks.withdrawClaim = [this](const std::string&) { ++withdrawn; };
    context.hooks.abandonClaim = [this](const std::string&) { ++abandoned; };
    Publish(aPorts, aMaxConcurrency);
    thread = std::make_unique<TrafficThread>(context);
    const auto started = thread->Start(0);
    REQUIRE(started);
    port = *started;
    client = CreateCurlUpstreamClient({ .loop = &loop });
    clientThread = std::thread([this] { loop.Run(); });
  }

  ~TestProxy()
  {
    loop.Post([this] {
      client.reset();
      loop.Stop();
    });
    clientThread.join();
    thread->Stop();
  }
  TestProxy(const TestProxy&) = delete;
  TestProxy& operator=(const TestProxy&) = delete;

  void Publish(const std::vector<uint16_t>& aPorts, uint32_t aMaxConcurrency)
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->failureDomains = { "a" };
    ServiceConfig service;
    service.id = "order-desk";
    service.slotsPerUpstream = 3;
    service.maxConcurrency = aMaxConcurrency;
    service.retryBudget = 1;
    for (const uint16_t upstreamPort : aPorts) {
      service.upstreams.push_back(
        UpstreamHandle{ static_cast<uint16_t>(configuration->upstreams.size()) });
      configuration->upstreams.push_back({ "desk-" + std::to_string(upstreamPort),
                                           ServiceHandle{ 0 },
                                           "127.0.0.1",
                                           upstreamPort,
                                           0,
                                           FailureDomainHandle{ 0 } });
    }
    configuration->services = { service };
    CallerConfig shops;
    shops.id = "shops";
    shops.accountPrefixes = { "shop-" };
    configuration->callers = { shops };
    RouteConfig browse;
    browse.id = "browse";
    browse.pathPrefix = "/catalog";
    browse.methods = { "GET" };
    browse.callers = { CallerHandle{ 0 } };
    browse.service = ServiceHandle{ 0 };
    browse.idempotent = true;
    RouteConfig order = browse;
    order.id = "order";
    order.pathPrefix = "/orders";
    order.methods = { "POST" };
    order.idempotent = false;
    configuration->routes = { browse, order };
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->configuration = configuration;
    snapshot->routes = std::make_shared<RouteTable>(configuration);
    snapshot->load = std::make_shared<LoadTable>(configuration->upstreams.size());
    snapshot->upstreamStatus.resize(configuration->upstreams.size());
    snapshot->slowLimits = { Milliseconds(500) };
    snapshot->localDomain = FailureDomainHandle{ 0 };
    context.Publish(snapshot);
  }

  std::future<UpstreamResult> StartRequest(const std::string& aMethod,
                                           const std::string& aTarget,
                                           std::vector<HttpHeader> aHeaders = {})
  {
    auto promise = std::make_shared<std::promise<UpstreamResult>>();
    UpstreamRequest request;
    request.address = "127.0.0.1";
    request.port = port;
    request.method = aMethod;
    request.target = aTarget;
    request.headers = std::move(aHeaders);
    request.headers.push_back({ "X-Account", "shop-1" });
    loop.Post([this, promise, request] {
      client->Send(request,
                   [promise](UpstreamResult aResult) { promise->set_value(std::move(aResult)); });
    });
    return promise->get_future();
  }

  UpstreamResult SendRequest(const std::string& aMethod,
                             const std::string& aTarget,
                             std::vector<HttpHeader> aHeaders = {})
  {
    auto result = StartRequest(aMethod, aTarget, std::move(aHeaders));
    REQUIRE(result.wait_for(kResponseTimeout) == std::future_status::ready);
    return result.get();
  }

  ProxySettings settings;
  TrafficContext context;
  std::atomic<bool> areClaimsAnswered{ true };
  std::atomic<int> leavingSignals{ 0 };
  std::atomic<int> completed{ 0 };
  std::atomic<int> withdrawn{ 0 };
  std::atomic<int> abandoned{ 0 };
  std::map<size_t, int> outcomeCounts;
  std::unique_ptr<TrafficThread> thread;
  uint16_t port = 0;
  EventLoop loop;
  std::unique_ptr<UpstreamClient> client;
  std::thread clientThread;
};

bool HasExecutedField(const UpstreamResult& aResult, std::string_view aValue)
{
  return aResult.body.find("\"executed\":\"" + std::string(aValue) + "\"") != std::string::npos;
}

const std::vector<HttpHeader> kKeyHeader = { { "Idempotency-Key", "k1" } };

} // namespace

TEST_CASE("requests that wait for a claim occupy no concurrency slot")
{
  // During a platform outage, orders that wait for their claim must not exhaust the concurrency
  // limit; else requests without a key, such as catalog reads, time out in the queue.
  TestUpstream upstream(SendOk);
  TestProxy proxy({ upstream.port }, 2);
  proxy.areClaimsAnswered = false;
  std::vector<std::future<UpstreamResult>> pendingOrders;
  pendingOrders.reserve(5);
  for (int i = 0; i < 5; ++i) {
    pendingOrders.push_back(proxy.StartRequest("POST", "/orders", kKeyHeader));
  }
  CHECK(proxy.SendRequest("GET", "/catalog").status == 200);
  CHECK(upstream.requests == 1);
}

TEST_CASE("a non-idempotent request is retried on another upstream after a documented refusal")
{
  TestUpstream full(RefuseAsShed);
  TestUpstream idle(SendOk);
  TestProxy proxy({ full.port, idle.port });
  for (int i = 0; i < 6; ++i) {
    CHECK(proxy.SendRequest("POST", "/orders").status == 200);
  }
  CHECK(idle.requests == 6);
  CHECK(proxy.outcomeCounts[static_cast<size_t>(OutcomeKind::Failed)] == 0);
}

TEST_CASE("a request that all upstreams refused is reported as not executed")
{
  TestUpstream full(RefuseAsShed);
  TestProxy proxy({ full.port });
  const UpstreamResult refused = proxy.SendRequest("POST", "/orders", kKeyHeader);
  CHECK(refused.status == 503);
  CHECK(HasExecutedField(refused, "no"));
  CHECK(proxy.withdrawn == 1);
}

TEST_CASE("a non-idempotent request that may have been executed is not retried")
{
  // A retry after a broken connection could execute an order twice.
  const auto abort = [](const HttpRequest&, const std::shared_ptr<HttpReply>& aReply) {
    aReply->Abort();
  };
  TestUpstream first(abort);
  TestUpstream second(abort);
  TestProxy proxy({ first.port, second.port });
  const UpstreamResult unknown = proxy.SendRequest("POST", "/orders", kKeyHeader);
  CHECK(unknown.status == 502);
  CHECK(HasExecutedField(unknown, "unknown"));
  CHECK(first.requests + second.requests == 1);
  CHECK(proxy.withdrawn == 0);
  CHECK(proxy.abandoned == 1);
}

TEST_CASE("an idempotent request is retried on another upstream after an error response")
{
  TestUpstream failing([](const HttpRequest&, const std::shared_ptr<HttpReply>& aReply) {
    aReply->Send({ 500, {}, "broken" });
  });
  TestUpstream working(SendOk);
  TestProxy proxy({ failing.port, working.port });
  for (int i = 0; i < 10; ++i) {
    const UpstreamResult result = proxy.SendRequest("GET", "/catalog");
    CHECK(result.status == 200);
    CHECK(result.body == "done");
  }
}

TEST_CASE("a draining upstream is reported at its first response with X-Draining")
{
  TestUpstream draining([](const HttpRequest&, const std::shared_ptr<HttpReply>& aReply) {
    aReply->Send({ 200, { { "X-Draining", "1" } }, "done" });
  });
  TestProxy proxy({ draining.port });
  CHECK(proxy.SendRequest("GET", "/catalog").status == 200);
  CHECK(proxy.leavingSignals == 1);
}

TEST_CASE("a request to an unresponsive upstream fails at the caller's deadline")
{
  std::deque<std::shared_ptr<HttpReply>> pendingReplies;
  TestUpstream unresponsive(
    [&pendingReplies](const HttpRequest&, std::shared_ptr<HttpReply> aReply) {
      pendingReplies.push_back(std::move(aReply));
    });
  TestProxy proxy({ unresponsive.port });
  const TimePoint start = Now();
  const UpstreamResult result =
    proxy.SendRequest("GET", "/catalog", { { "X-Request-Deadline-Ms", "300" } });
  CHECK(result.status == 504);
  CHECK(HasExecutedField(result, "unknown"));
  CHECK(Now() - start < std::chrono::seconds(2));
}
