#include "messages_p.h"

#include <algorithm>

#include <zlib.h>

#include "boragegauge/config.h"

namespace bg::fleet::detail {

namespace {

/// Smaller views are sent as they are.
constexpr size_t kMinCompressedViewBytes = 4UL << 10;

/// Converts an age to ms; a period of more than a day is clamped.
uint32_t ToAgeMs(Duration aAge)
{
  return static_cast<uint32_t>(
    std::clamp<int64_t>(aAge / Milliseconds(1), 0, Milliseconds(std::chrono::hours(24)).count()));
}

bool DecompressView(wire::Envelope& aMessage)
{
  const wire::CompressedView& compressed = aMessage.compressed_view();
  if (compressed.size() > kMaxPeerMessageBytes) {
    return false;
  }
  const auto bytes = DecompressBytes(compressed.data(), compressed.size());
  return bytes && aMessage.mutable_view()->ParseFromString(*bytes);
}

} // namespace

wire::Member ToWire(const Member& aMember)
{
  wire::Member member;
  member.set_host(aMember.host);
  member.set_address(aMember.address);
  member.set_port(aMember.port);
  member.set_failure_domain(aMember.failureDomain);
  member.set_incarnation(aMember.incarnation);
  member.set_capacity(aMember.capacity);
  member.set_relay_port(aMember.relayPort);
  return member;
}

Member FromWire(const wire::Member& aMember)
{
  return { aMember.host(),
           aMember.address(),
           static_cast<uint16_t>(aMember.port()),
           aMember.failure_domain(),
           aMember.incarnation(),
           aMember.capacity(),
           static_cast<uint16_t>(aMember.relay_port()) };
}

wire::StorePosition ToWire(const StorePosition& aPosition)
{
  wire::StorePosition position;
  position.set_epoch(aPosition.epoch);
  position.set_version(aPosition.version);
  return position;
}

StorePosition FromWire(const wire::StorePosition& aPosition)
{
  return { aPosition.epoch(), aPosition.version() };
}

wire::ConfigurationId ToWire(const ConfigurationId& aId)
{
  wire::ConfigurationId id;
  id.set_revision(aId.revision);
  *id.mutable_position() = ToWire(aId.position);
  id.set_digest(aId.digest);
  return id;
}

ConfigurationId FromWire(const wire::ConfigurationId& aId)
{
  return { aId.revision(), FromWire(aId.position()), aId.digest() };
}

wire::Upstream ToWire(const RegisteredUpstream& aUpstream)
{
  wire::Upstream upstream;
  upstream.set_id(aUpstream.id);
  upstream.set_service(aUpstream.service);
  upstream.set_address(aUpstream.address);
  upstream.set_port(aUpstream.port);
  upstream.set_failure_domain(aUpstream.failureDomain);
  upstream.set_slots(aUpstream.slots);
  upstream.set_draining(aUpstream.isDraining);
  upstream.set_warmup_left_ms(ToWireMs(aUpstream.warmupLeft));
  upstream.set_started_at_ms(aUpstream.startedAtMs);
  upstream.set_sequence(aUpstream.sequence);
  return upstream;
}

RegisteredUpstream FromWire(const wire::Upstream& aUpstream)
{
  RegisteredUpstream upstream;
  upstream.id = aUpstream.id();
  upstream.service = aUpstream.service();
  upstream.address = aUpstream.address();
  upstream.port = static_cast<uint16_t>(aUpstream.port());
  upstream.failureDomain = aUpstream.failure_domain();
  upstream.slots = aUpstream.slots();
  upstream.isDraining = aUpstream.draining();
  upstream.warmupLeft = Milliseconds(aUpstream.warmup_left_ms());
  upstream.startedAtMs = aUpstream.started_at_ms();
  upstream.sequence = aUpstream.sequence();
  return upstream;
}

wire::LeavingUpstream ToWire(const LeavingUpstream& aUpstream, TimePoint aNow)
{
  wire::LeavingUpstream upstream;
  upstream.set_id(aUpstream.id);
  upstream.set_started_at_ms(aUpstream.startedAtMs);
  upstream.set_age_ms(ToWireMs(aNow - aUpstream.since));
  upstream.set_source(aUpstream.source);
  return upstream;
}

LeavingUpstream FromWire(const wire::LeavingUpstream& aUpstream, TimePoint aNow)
{
  return { aUpstream.id(),
           aUpstream.started_at_ms(),
           aNow - Milliseconds(aUpstream.age_ms()),
           aUpstream.source() };
}

wire::SuspectRequest ToWire(const quarantine::SuspectRequest& aRequest, TimePoint aNow)
{
  wire::SuspectRequest request;
  request.set_fingerprint(aRequest.fingerprint);
  for (const quarantine::Crash& crash : aRequest.crashes) {
    wire::UpstreamCrash& added = *request.add_crashes();
    added.set_upstream(crash.upstream);
    added.set_started_at_ms(crash.startedAtMs);
    added.set_age_ms(ToAgeMs(aNow - crash.endedAt));
    added.set_run_ms(ToWireMs(crash.endedAt - crash.sentAt));
    added.set_source(crash.source);
  }
  if (aRequest.survivedAt) {
    request.set_survived_age_ms(ToAgeMs(aNow - *aRequest.survivedAt));
  }
  return request;
}

quarantine::SuspectRequest FromWire(const wire::SuspectRequest& aRequest, TimePoint aNow)
{
  quarantine::SuspectRequest request;
  request.fingerprint = aRequest.fingerprint();
  for (const wire::UpstreamCrash& crash : aRequest.crashes()) {
    const TimePoint endedAt = aNow - Milliseconds(crash.age_ms());
    request.crashes.push_back({ crash.upstream(),
                                crash.started_at_ms(),
                                endedAt - Milliseconds(crash.run_ms()),
                                endedAt,
                                crash.source() });
  }
  if (aRequest.has_survived_age_ms()) {
    request.survivedAt = aNow - Milliseconds(aRequest.survived_age_ms());
  }
  return request;
}

uint32_t ToWireMs(Duration aPeriod)
{
  const int64_t ms = std::chrono::duration_cast<Milliseconds>(aPeriod).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, kMaxPeriodMs));
}

std::string CompressBytes(std::string_view aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::string data(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(data.data()),
                               &size,
                               reinterpret_cast<const Bytef*>(aBytes.data()),
                               aBytes.size(),
                               Z_BEST_SPEED);
  data.resize(result == Z_OK ? size : 0);
  return data;
}

std::optional<std::string> DecompressBytes(std::string_view aBytes, size_t aSize)
{
  std::string bytes(aSize, '\0');
  uLongf size = bytes.size();
  const int result = uncompress(reinterpret_cast<Bytef*>(bytes.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aBytes.data()),
                                aBytes.size());
  if (result != Z_OK || size != bytes.size()) {
    return std::nullopt;
  }
  return bytes;
}

void CompressView(wire::Envelope& aMessage)
{
  // The configuration is compressed already.
  if (aMessage.view().ByteSizeLong() - aMessage.view().configuration().ByteSizeLong() <
      kMinCompressedViewBytes) {
    return;
  }
  const std::string bytes = aMessage.view().SerializeAsString();
  std::string data = CompressBytes(bytes);
  if (!data.empty()) {
    aMessage.mutable_compressed_view()->set_size(static_cast<uint32_t>(bytes.size()));
    aMessage.mutable_compressed_view()->set_data(std::move(data));
  }
}

std::string EncodeHeldTime(Duration aTime)
{
  wire::Envelope envelope;
  envelope.set_held_ms(ToWireMs(aTime));
  return envelope.SerializeAsString();
}

Result<wire::Envelope> ParseEnvelope(std::string_view aBytes)
{
  wire::Envelope envelope;
  bool isParsed = envelope.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (isParsed && envelope.has_compressed_view()) {
    isParsed = DecompressView(envelope);
  }
  const wire::Member& sender = envelope.sender();
  const bool hasKeyOnly = !envelope.has_sender() && envelope.sender_key() != 0;
  const bool hasSender = !sender.host().empty() && !sender.address().empty() &&
                         sender.port() != 0 && sender.port() <= UINT16_MAX;
  if (!isParsed || (!hasSender && !hasKeyOnly)) {
    return Error{ Errc::ProtocolViolation, "peer.decode", sender.host(), "malformed message" };
  }
  return envelope;
}

} // namespace bg::fleet::detail
