#include "upstream_model.h"

#include <cmath>

namespace bg::support {

using Json = nlohmann::json;

namespace {

/// Body digests and long bodies are echoed as numbers, so that responses stay small.
Json RequestIdentity(const HttpRequest& aRequest)
{
  return { { "request_id", aRequest.Header("X-Request-Id") },
           { "call_id", aRequest.Header("X-Call-Id") },
           { "attempt_id", aRequest.Header("X-Attempt-Id") },
           { "account", aRequest.Header("X-Account") },
           { "key", aRequest.Header("Idempotency-Key") },
           { "method", aRequest.method },
           { "target", aRequest.target } };
}

} // namespace

Upstream::Upstream(EventLoop& aLoop,
                   UpstreamSettings aSettings,
                   HistoryFile& aHistory,
                   ControlHandler aControl)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , history_(aHistory)
  , control_(std::move(aControl))
  , random_(settings_.seed)
{
  Listen();
  Boot();
  // Twenty samples a second keep the lag exact to 50 ms.
  adminTimer_ = loop_.RunEvery(Milliseconds(50), [this] { UpdateAdminView(); });
}

void Upstream::Listen()
{
  server_ = CreateHttpServer(
    { &loop_, settings_.port, [this](const ExchangePtr& aExchange) { Handle(aExchange); } });
  settings_.port = server_->Port();
}

void Upstream::Boot()
{
  bootId_ = RandomToken().substr(0, 16);
  bootedAt_ = Now();
  draining_ = false;
  stopped_ = false;
  views_.clear();
  UpdateAdminView();
  Record("boot", nullptr);
}

void Upstream::Restart(Duration aDownTime)
{
  // Deferred, because the server must not be destroyed inside its handler.
  restartTimer_ = loop_.RunAfter(Milliseconds(1), [this, aDownTime] {
    if (server_) {
      waiting_.clear();
      server_->Abort();
    }
    Stop("restart");
    restartTimer_ = loop_.RunAfter(aDownTime, [this] {
      Listen();
      Boot();
    });
  });
}

void Upstream::Stop(const char* aReason)
{
  if (!std::exchange(stopped_, true)) {
    Record("stopped", nullptr, aReason);
  }
  drainTimer_.reset();
  server_.reset();
}

void Upstream::Handle(const ExchangePtr& aExchange)
{
  if (aExchange->Request().path == "/control") {
    HandleControl(aExchange);
    return;
  }
  if (faults_.silentConnectionAgeMs > 0 &&
      aExchange->ConnectionAge() > Milliseconds(faults_.silentConnectionAgeMs)) {
    Record("ignored", &aExchange->Request());
    return;
  }
  if (!HandleAdmin(aExchange)) {
    HandleWork(aExchange);
  }
}

void Upstream::HandleControl(const ExchangePtr& aExchange)
{
  try {
    const Json body = Json::parse(aExchange->Request().body);
    const size_t matched = control_(body.value("upstream", Id()), body);
    aExchange->Respond({ matched > 0 ? 200 : 404, {}, Json({ { "matched", matched } }).dump() });
  } catch (const Json::exception& error) {
    aExchange->Respond({ 400, {}, Json({ { "error", error.what() } }).dump() });
  }
}

bool Upstream::HandleAdmin(const ExchangePtr& aExchange)
{
  const std::string& path = aExchange->Request().path;
  const AdminView& view = views_.front();
  if (path == "/healthz") {
    const Json body = { { "status", view.status }, { "boot_id", bootId_ } };
    aExchange->Respond({ faults_.unhealthy ? 500 : 200, {}, body.dump() });
  } else if (path == "/loadz") {
    const Json body = { { "busy", view.busy }, { "slots", settings_.slots } };
    aExchange->Respond({ 200, {}, body.dump() });
  } else {
    return false;
  }
  return true;
}

const char* Upstream::RefusalReason(const HttpRequest& aRequest) const
{
  const std::string deadline = aRequest.Header("X-Request-Deadline-Ms");
  if (draining_) {
    return "draining";
  }
  if (!deadline.empty() && std::atoll(deadline.c_str()) <= 0) {
    return "deadline";
  }
  if (IsCold() && settings_.coldFactor <= 0) {
    return "cold";
  }
  if (working_.size() >= settings_.slots && waiting_.size() >= settings_.queueLimit) {
    return "shed";
  }
  return nullptr;
}

void Upstream::HandleWork(const ExchangePtr& aExchange)
{
  if (const char* reason = RefusalReason(aExchange->Request())) {
    Refuse(aExchange, reason);
  } else if (working_.size() >= settings_.slots) {
    Enqueue(aExchange);
  } else {
    Begin(aExchange);
  }
}

void Upstream::Refuse(const ExchangePtr& aExchange, const std::string& aReason)
{
  Record("refused", &aExchange->Request(), aReason);
  HttpResponse response{ 503, { { "X-Not-Run", aReason } }, {} };
  AddStandardHeaders(response);
  aExchange->Respond(std::move(response));
}

void Upstream::Enqueue(const ExchangePtr& aExchange)
{
  const std::string deadline = aExchange->Request().Header("X-Request-Deadline-Ms");
  const auto limit = deadline.empty() ? std::chrono::hours(1) : Milliseconds(std::stoll(deadline));
  waiting_.push_back({ aExchange, Now() + limit });
  aExchange->OnClosed([this, weak = std::weak_ptr(aExchange)] {
    std::erase_if(waiting_,
                  [&weak](const Waiting& aEntry) { return aEntry.exchange == weak.lock(); });
  });
}

void Upstream::Begin(const ExchangePtr& aExchange)
{
  Record("begin", &aExchange->Request());
  auto work = std::make_shared<Work>();
  work->exchange = aExchange;
  work->faulty = Selected(aExchange->Request());
  working_.insert(work);
  aExchange->OnClosed([this, weak = std::weak_ptr(work)] {
    if (const WorkPtr closed = weak.lock()) {
      Record("cancelled", &closed->exchange->Request());
      Release(closed);
    }
  });
  if (work->faulty && faults_.stall) {
    return;
  }
  work->timer = loop_.RunAfter(ServiceTime(work->faulty), [this, weak = std::weak_ptr(work)] {
    if (const WorkPtr ended = weak.lock()) {
      End(ended);
    }
  });
}

void Upstream::End(const WorkPtr& aWork)
{
  Record("end", &aWork->exchange->Request());
  // The slot is free before the response, so that X-Load shows the work that remains.
  working_.erase(aWork);
  Answer(aWork);
  Release(aWork);
}

void Upstream::Answer(const WorkPtr& aWork)
{
  HttpExchange& exchange = *aWork->exchange;
  HttpResponse response = EchoResponse(exchange.Request());
  AddStandardHeaders(response);
  if (aWork->faulty && faults_.fail) {
    response.status = 500;
    exchange.Respond(std::move(response));
  } else if (aWork->faulty && !faults_.truncate.empty()) {
    AnswerTruncated(exchange, std::move(response));
  } else if (aWork->faulty && faults_.resetAfterAnswer) {
    exchange.RespondAndReset(std::move(response));
  } else {
    exchange.Respond(std::move(response));
  }
}

void Upstream::AnswerTruncated(HttpExchange& aExchange, HttpResponse aResponse)
{
  std::string bytes;
  if (faults_.truncate == "chunked") {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", aResponse.body.size());
    aResponse.headers["Transfer-Encoding"] = "chunked";
    bytes = Serialize(aResponse, true) + size + aResponse.body + "\r\n";
  } else {
    bytes = Serialize(aResponse, false);
    bytes.resize(bytes.size() - (aResponse.body.size() + 1) / 2);
  }
  aExchange.SendRawAndClose(std::move(bytes));
}

void Upstream::Release(const WorkPtr& aWork)
{
  working_.erase(aWork);
  while (!waiting_.empty() && working_.size() < settings_.slots) {
    const Waiting next = waiting_.front();
    waiting_.pop_front();
    if (next.exchange->Ended()) {
      continue;
    }
    if (Now() > next.deadline) {
      Refuse(next.exchange, "deadline");
    } else {
      Begin(next.exchange);
    }
  }
}

void Upstream::Drain(std::function<void()> aDone)
{
  drained_ = std::move(aDone);
  if (!draining_) {
    draining_ = true;
    drainedAt_ = Now();
    Record("leaving", nullptr);
  }
  drainTimer_ = loop_.RunEvery(Milliseconds(20), [this] { CheckDrained(); });
}

void Upstream::CheckDrained()
{
  const bool busy =
    !working_.empty() || !waiting_.empty() || (server_ && server_->PendingWrites() > 0);
  if (busy || Now() - drainedAt_ < Milliseconds(settings_.drainLingerMs)) {
    return;
  }
  Stop("drained");
  if (auto done = std::exchange(drained_, nullptr)) {
    done();
  }
}

bool Upstream::IsCold() const
{
  return Now() - bootedAt_ < Milliseconds(settings_.coldMs);
}

bool Upstream::FaultsOn() const
{
  if (faults_.flapPeriodMs <= 0) {
    return true;
  }
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(Now() - faultsSince_).count();
  return elapsed / faults_.flapPeriodMs % 2 == 0;
}

bool Upstream::Selected(const HttpRequest& aRequest)
{
  if (!FaultsOn()) {
    return false;
  }
  if (!faults_.matchHeader.empty() &&
      aRequest.Header(faults_.matchHeader).find(faults_.matchPrefix) == std::string::npos) {
    return false;
  }
  return std::uniform_real_distribution<>(0, 1)(random_) < faults_.fraction;
}

Duration Upstream::ServiceTime(bool aFaulty)
{
  // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
  const double sigma = settings_.sigma;
  const double mu = std::log(std::max(settings_.serviceMs, 0.001)) - sigma * sigma / 2;
  double ms = std::lognormal_distribution<>(mu, sigma)(random_);
  ms *= aFaulty ? faults_.slowFactor : 1;
  ms *= IsCold() ? settings_.coldFactor : 1;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

HttpResponse Upstream::EchoResponse(const HttpRequest& aRequest) const
{
  HttpResponse response;
  if (aRequest.path.ends_with("/blob")) {
    const size_t size = std::strtoull(aRequest.Query("size", "0").c_str(), nullptr, 10);
    response.body = BlobBytes(aRequest.Query("id"), size);
    response.headers["Content-Type"] = "application/octet-stream";
  } else {
    Json body = RequestIdentity(aRequest);
    body["upstream"] = Id();
    body["size"] = aRequest.body.size();
    body["sha256"] = Sha256Hex(aRequest.body);
    response.body = body.dump();
    response.headers["Content-Type"] = "application/json";
  }
  response.headers["X-Body-Sha256"] = Sha256Hex(response.body);
  for (const char* name : { "X-Call-Id", "X-Request-Id" }) {
    if (const std::string value = aRequest.Header(name); !value.empty()) {
      response.headers[name] = value;
    }
  }
  return response;
}

void Upstream::AddStandardHeaders(HttpResponse& aResponse) const
{
  aResponse.headers["X-Load"] =
    std::to_string(working_.size()) + '/' + std::to_string(settings_.slots);
  aResponse.headers["X-Boot-Id"] = bootId_;
  aResponse.headers["X-Upstream-Id"] = Id();
  if (draining_) {
    aResponse.headers["X-Draining"] = "1";
  }
}

std::string Upstream::Status() const
{
  return draining_ ? "draining" : IsCold() ? "cold" : "ok";
}

void Upstream::UpdateAdminView()
{
  const TimePoint now = Now();
  views_.push_back({ now, Status(), working_.size() });
  while (views_.size() > 1 && views_[1].at <= now - Milliseconds(settings_.adminLagMs)) {
    views_.pop_front();
  }
}

void Upstream::Record(const char* aEvent, const HttpRequest* aRequest, const std::string& aReason)
{
  Json line = aRequest == nullptr ? Json::object() : RequestIdentity(*aRequest);
  if (aRequest != nullptr) {
    line["size"] = aRequest->body.size();
    line["via"] = aRequest->Header("Via");
  }
  // The digest is written once per execution, since it costs the most for uploads.
  if (std::string_view(aEvent) == "begin") {
    line["sha256"] = Sha256Hex(aRequest->body);
  }
  if (!aReason.empty()) {
    line["reason"] = aReason;
  }
  line["time_ns"] = MonotonicNs();
  line["event"] = aEvent;
  line["upstream"] = Id();
  line["boot_id"] = bootId_;
  history_.Append(line.dump());
}

void Upstream::Control(const Json& aBody)
{
  if (aBody.value("clear", false)) {
    faults_ = UpstreamFaults{};
  }
  const auto set = [&aBody](const char* aName, auto& aField) {
    aField = aBody.value(aName, aField);
  };
  set("match_header", faults_.matchHeader);
  set("match_prefix", faults_.matchPrefix);
  set("fraction", faults_.fraction);
  set("fail", faults_.fail);
  set("slow_factor", faults_.slowFactor);
  set("flap_period_ms", faults_.flapPeriodMs);
  set("truncate", faults_.truncate);
  set("reset_after_answer", faults_.resetAfterAnswer);
  set("stall", faults_.stall);
  set("unhealthy", faults_.unhealthy);
  set("silent_connection_age_ms", faults_.silentConnectionAgeMs);
  set("service_ms", settings_.serviceMs);
  set("slots", settings_.slots);
  set("queue", settings_.queueLimit);
  set("cold_ms", settings_.coldMs);
  set("drain_linger_ms", settings_.drainLingerMs);
  faultsSince_ = Now();
  Record("control", nullptr, aBody.dump());
  if (aBody.value("drain", false)) {
    Drain(nullptr);
  }
  if (aBody.contains("restart_ms")) {
    Restart(Milliseconds(aBody["restart_ms"].get<int64_t>()));
  }
}

} // namespace bg::support
