#include <nlohmann/json.hpp>

#include "control.h"

namespace bg {

using Json = nlohmann::json;

namespace {

HttpResponse CreateResponse(int aStatus, std::string_view aType, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Content-Type", std::string(aType) } };
  response.body = std::move(aBody);
  return response;
}

std::string SerializeJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json PeerToJson(const PeerInfo& aPeer, bool aIsLive)
{
  return { { "host", aPeer.host },
           { "address", aPeer.address },
           { "port", aPeer.port },
           { "failure_domain", aPeer.failureDomain },
           { "state", ToString(aPeer.state) },
           { "live", aIsLive },
           { "hears_us", aPeer.receivesFromUs },
           { "revision", aPeer.revision } };
}

} // namespace

void ControlThread::ServeAdmin(const HttpRequest& aRequest, HttpReply& aReply)
{
  const TimePoint now = Now();
  const std::string_view path =
    std::string_view(aRequest.target).substr(0, aRequest.target.find('?'));
  if (aRequest.method != "GET") {
    return aReply.Send(CreateResponse(405, "text/plain", "only GET is served\n"));
  }
  if (path == "/livez") {
    return aReply.Send(CreateResponse(200, "text/plain", "ok\n"));
  }
  if (path == "/readyz") {
    const bool isReady = IsReady(now);
    return aReply.Send(
      CreateResponse(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n"));
  }
  if (path == "/metrics") {
    return aReply.Send(
      CreateResponse(200, "text/plain; version=0.0.4", metrics_.Expose(Gauges(now))));
  }
  if (path == "/state") {
    return aReply.Send(CreateResponse(200, "application/json", StateJson(now)));
  }
  if (path == "/decisions") {
    return aReply.Send(CreateResponse(200, "application/json", DecisionsJson()));
  }
  aReply.Send(
    CreateResponse(404, "text/plain", "paths: /livez /readyz /metrics /state /decisions\n"));
}

std::string ControlThread::DecisionsJson() const
{
  std::string body = "[";
  for (const DecisionRecord& record : recordRing_->Snapshot()) {
    body += (body.size() > 1 ? ",\n" : "") + EncodeRecord(record);
  }
  return body + "]\n";
}

std::string ControlThread::StateJson(TimePoint aNow) const
{
  Json peers = Json::array();
  const auto live = membership_->LivePeers(aNow);
  for (const std::string& host : membership_->Peers()) {
    if (const auto peer = membership_->Find(host)) {
      const bool isLive = std::find(live.begin(), live.end(), host) != live.end();
      peers.push_back(PeerToJson(*peer, isLive));
    }
  }
  Json upstreams = Json::array();
  for (const UpstreamView& view : healthControl_->UpstreamViews(aNow)) {
    upstreams.push_back({ { "service", view.service },
                          { "upstream", view.upstream },
                          { "state", view.state },
                          { "score", view.score },
                          { "in_flight", view.inFlight } });
  }
  Json ejections = Json::array();
  for (const Ejection& ejection : ejectionPermits_->Ejected(aNow)) {
    const auto left = std::chrono::duration_cast<Milliseconds>(ejection.deadline - aNow);
    ejections.push_back({ { "service", ejection.service },
                          { "upstream", ejection.upstream },
                          { "holder", ejection.holder },
                          { "record", ejection.recordId },
                          { "lease_left_ms", left.count() } });
  }
  const Json state = { { "host", settings_.host },
                       { "failure_domain", settings_.failureDomain },
                       { "incarnation", incarnation_ },
                       { "revision", configurationSync_->Revision() },
                       { "digest", configurationSync_->Digest() },
                       { "format_max", kConfigurationFormat },
                       { "ready", IsReady(aNow) },
                       { "shutting_down", isShuttingDown_ },
                       { "peers", std::move(peers) },
                       { "ejections", std::move(ejections) },
                       { "upstreams", std::move(upstreams) } };
  return SerializeJson(state);
}

std::vector<Gauge> ControlThread::Gauges(TimePoint aNow) const
{
  const PeerTransportStats peers = peerTransport_->Stats();
  const ConfigurationSyncStats& sync = configurationSync_->Stats();
  const EjectionPermitsStats& permits = ejectionPermits_->Stats();
  const ClaimStoreStats& claims = claimStore_->Stats();
  const RecordRingStats& records = recordRing_->Stats();
  const auto gauge = [](const char* aName, const char* aHelp, auto aValue) {
    return Gauge{ aName, aHelp, static_cast<double>(aValue) };
  };
  return {
    gauge("boragegauge_ready", "1 when /readyz answers 200.", IsReady(aNow) ? 1 : 0),
    gauge(
      "boragegauge_configuration_revision", "Revision in force.", configurationSync_->Revision()),
    gauge(
      "boragegauge_configuration_poll_failures", "Failed reads of the head.", sync.pollFailures),
    gauge("boragegauge_configuration_rejected", "Bodies that did not validate.", sync.rejected),
    gauge("boragegauge_configuration_regressions",
          "Times the store had a lower revision.",
          sync.regressions),
    gauge("boragegauge_peers_live", "Peers heard within 5 s.", membership_->LivePeers(aNow).size()),
    gauge("boragegauge_peer_bytes_sent", "Bytes sent to peers.", peers.bytesSent),
    gauge("boragegauge_peer_bytes_received", "Bytes received from peers.", peers.bytesReceived),
    gauge("boragegauge_peer_messages_dropped", "Messages dropped at a full queue.", peers.dropped),
    gauge(
      "boragegauge_ejections", "Upstreams ejected now.", ejectionPermits_->Ejected(aNow).size()),
    gauge("boragegauge_permits_granted", "Ejection permits taken by this proxy.", permits.granted),
    gauge("boragegauge_permits_lost", "Permits lost because the lease ended.", permits.leasesLost),
    gauge("boragegauge_claims_won", "Idempotency keys claimed.", claims.won),
    gauge("boragegauge_claims_refused",
          "Claims refused because the table did not answer.",
          claims.refused),
    gauge("boragegauge_records", "Decision records made.", records.added),
    gauge("boragegauge_records_dropped", "Records overwritten before upload.", records.dropped),
    gauge("boragegauge_body_bytes", "Request bodies in memory.", context_.bodyBudget->Used()),
  };
}

} // namespace bg
