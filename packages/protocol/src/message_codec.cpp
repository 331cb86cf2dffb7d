#include <arpa/inet.h>

#include <algorithm>

#include "boragegauge/protocol.h"
#include "peer.pb.h"

namespace bg {

namespace {

/// Longest host name, identifier or record id in a message.
constexpr size_t kMaxNameBytes = 512;
constexpr int kMaxEvidenceValues = 64;
constexpr size_t kDigestBytes = 32;

Error Failed(Errc aErrc, const std::string& aSender, std::string aDetail)
{
  return Error{ aErrc, "peer.decode", aSender, std::move(aDetail) };
}

struct InvalidField
{
  Errc errc;
  std::string detail;
};

std::string Name(const std::string& aText, const char* aField)
{
  if (aText.size() > kMaxNameBytes) {
    throw InvalidField{ Errc::TooLarge, std::string(aField) + " is too long" };
  }
  return aText;
}

std::string RequiredName(const std::string& aText, const char* aField)
{
  if (aText.empty()) {
    throw InvalidField{ Errc::ProtocolViolation, std::string(aField) + " is empty" };
  }
  return Name(aText, aField);
}

template<typename Enum>
Enum EnumValue(uint32_t aValue, const char* aField)
{
  if (aValue >= static_cast<uint32_t>(Enum::Count)) {
    throw InvalidField{ Errc::ProtocolViolation,
                        std::string(aField) + " has the unknown value " + std::to_string(aValue) };
  }
  return static_cast<Enum>(aValue);
}

std::string BytesFromHex(std::string_view aHex)
{
  const auto digit = [](char aChar) { return aChar <= '9' ? aChar - '0' : aChar - 'a' + 10; };
  std::string bytes;
  for (size_t i = 0; i + 1 < aHex.size(); i += 2) {
    bytes.push_back(static_cast<char>(digit(aHex[i]) * 16 + digit(aHex[i + 1])));
  }
  return bytes;
}

std::string HexFromBytes(std::string_view aBytes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char c : aBytes) {
    hex.push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
    hex.push_back(kDigits[static_cast<unsigned char>(c) & 0xf]);
  }
  return hex;
}

void Fill(wire::Envelope& aEnvelope, const Heartbeat& aBody)
{
  wire::Heartbeat& out = *aEnvelope.mutable_heartbeat();
  out.set_revision(aBody.revision);
  out.set_digest_prefix(aBody.digestPrefix);
  out.set_failure_domain(aBody.failureDomain);
  out.set_state(static_cast<uint32_t>(aBody.state));
  out.set_heard_incarnation(aBody.heardIncarnation);
  out.set_address(aBody.address);
  out.set_port(aBody.port);
}

void Fill(wire::Envelope& aEnvelope, const EvidenceReport& aBody)
{
  wire::EvidenceReport& out = *aEnvelope.mutable_evidence_report();
  out.set_failure_domain(aBody.failureDomain);
  for (const EvidenceCounts& counts : aBody.counts) {
    wire::EvidenceCounts& entry = *out.add_counts();
    entry.set_upstream(counts.upstream);
    entry.set_good(counts.good);
    entry.set_failed(counts.failed);
    entry.set_slow(counts.slow);
    entry.set_interval_ms(counts.intervalMs);
  }
}

void Fill(wire::Envelope& aEnvelope, const Verdict& aBody)
{
  wire::Verdict& out = *aEnvelope.mutable_verdict();
  out.set_service(aBody.service);
  out.set_upstream(aBody.upstream);
  out.set_scope(static_cast<uint32_t>(aBody.scope));
  out.set_action(static_cast<uint32_t>(aBody.action));
  out.set_failure_domain(aBody.failureDomain);
  out.set_record_id(aBody.recordId);
  for (const EvidenceValue& value : aBody.evidence) {
    wire::EvidenceValue& entry = *out.add_evidence();
    entry.set_name(value.name);
    entry.set_value(value.value);
  }
}

void Fill(wire::Envelope& aEnvelope, const LeavingNotice& aBody)
{
  wire::LeavingNotice& out = *aEnvelope.mutable_leaving_notice();
  out.set_service(aBody.service);
  out.set_upstream(aBody.upstream);
  out.set_boot_id(aBody.bootId);
  out.set_source(aBody.source);
}

void Fill(wire::Envelope& aEnvelope, const ConfigurationRequest& aBody)
{
  aEnvelope.mutable_configuration_request()->set_revision(aBody.revision);
}

void Fill(wire::Envelope& aEnvelope, const ConfigurationReply& aBody)
{
  wire::ConfigurationReply& out = *aEnvelope.mutable_configuration_reply();
  out.set_revision(aBody.revision);
  out.set_digest(BytesFromHex(aBody.digest));
  out.set_change_id(aBody.changeId);
  out.set_body(aBody.body);
}

std::string Address(const std::string& aText)
{
  unsigned char buffer[sizeof(in6_addr)];
  if (!aText.empty() && inet_pton(AF_INET, aText.c_str(), buffer) != 1 &&
      inet_pton(AF_INET6, aText.c_str(), buffer) != 1) {
    throw InvalidField{ Errc::ProtocolViolation, "address is not an IP address" };
  }
  return aText;
}

uint16_t Port(uint32_t aPort)
{
  if (aPort > UINT16_MAX) {
    throw InvalidField{ Errc::ProtocolViolation, "port is out of range" };
  }
  return static_cast<uint16_t>(aPort);
}

PeerBody Read(const wire::Heartbeat& aIn)
{
  return Heartbeat{ aIn.revision(),
                    aIn.digest_prefix(),
                    Name(aIn.failure_domain(), "failure_domain"),
                    EnumValue<ProxyState>(aIn.state(), "state"),
                    aIn.heard_incarnation(),
                    Address(aIn.address()),
                    Port(aIn.port()) };
}

PeerBody Read(const wire::EvidenceReport& aIn)
{
  if (static_cast<size_t>(aIn.counts_size()) > kMaxUpstreams) {
    throw InvalidField{ Errc::TooLarge, "counts has too many entries" };
  }
  EvidenceReport body{ Name(aIn.failure_domain(), "failure_domain"), {} };
  for (const wire::EvidenceCounts& entry : aIn.counts()) {
    body.counts.push_back(
      { entry.upstream(), entry.good(), entry.failed(), entry.slow(), entry.interval_ms() });
  }
  return body;
}

PeerBody Read(const wire::Verdict& aIn)
{
  if (aIn.evidence_size() > kMaxEvidenceValues) {
    throw InvalidField{ Errc::TooLarge, "evidence has too many entries" };
  }
  Verdict body;
  body.service = RequiredName(aIn.service(), "service");
  body.upstream = RequiredName(aIn.upstream(), "upstream");
  body.scope = EnumValue<VerdictScope>(aIn.scope(), "scope");
  body.action = EnumValue<VerdictAction>(aIn.action(), "action");
  body.failureDomain = Name(aIn.failure_domain(), "failure_domain");
  body.recordId = Name(aIn.record_id(), "record_id");
  for (const wire::EvidenceValue& entry : aIn.evidence()) {
    body.evidence.push_back({ Name(entry.name(), "evidence.name"), entry.value() });
  }
  return body;
}

PeerBody Read(const wire::LeavingNotice& aIn)
{
  return LeavingNotice{ RequiredName(aIn.service(), "service"),
                        RequiredName(aIn.upstream(), "upstream"),
                        Name(aIn.boot_id(), "boot_id"),
                        Name(aIn.source(), "source") };
}

PeerBody Read(const wire::ConfigurationRequest& aIn)
{
  return ConfigurationRequest{ aIn.revision() };
}

PeerBody Read(const wire::ConfigurationReply& aIn)
{
  if (aIn.digest().size() != kDigestBytes) {
    throw InvalidField{ Errc::ProtocolViolation, "digest does not have 32 bytes" };
  }
  if (aIn.body().size() > kMaxConfigurationBytes) {
    throw InvalidField{ Errc::TooLarge, "body is too large" };
  }
  return ConfigurationReply{
    aIn.revision(), HexFromBytes(aIn.digest()), Name(aIn.change_id(), "change_id"), aIn.body()
  };
}

PeerBody ReadBody(const wire::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kHeartbeat:
      return Read(aEnvelope.heartbeat());
    case wire::Envelope::kEvidenceReport:
      return Read(aEnvelope.evidence_report());
    case wire::Envelope::kVerdict:
      return Read(aEnvelope.verdict());
    case wire::Envelope::kLeavingNotice:
      return Read(aEnvelope.leaving_notice());
    case wire::Envelope::kConfigurationRequest:
      return Read(aEnvelope.configuration_request());
    case wire::Envelope::kConfigurationReply:
      return Read(aEnvelope.configuration_reply());
    case wire::Envelope::BODY_NOT_SET:
      break;
  }
  throw InvalidField{ Errc::ProtocolViolation, "unknown message type" };
}

} // namespace

uint64_t UpstreamKey(std::string_view aService, std::string_view aUpstream)
{
  // The service's hash as seed keeps ("ab", "c") and ("a", "bc") apart.
  return Hash64(aUpstream, Hash64(aService));
}

uint64_t DigestPrefix(std::string_view aDigest)
{
  uint64_t prefix = 0;
  for (const char byte : BytesFromHex(aDigest.substr(0, 16))) {
    prefix = prefix << 8 | static_cast<unsigned char>(byte);
  }
  return prefix;
}

std::string_view ToString(ProxyState aState)
{
  static constexpr std::string_view kNames[] = { "starting", "ready", "leaving" };
  const auto index = static_cast<size_t>(aState);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

std::string EncodeMessage(const PeerMessage& aMessage)
{
  wire::Envelope envelope;
  envelope.set_version(kProtocolVersion);
  envelope.set_sender(aMessage.sender);
  envelope.set_incarnation(aMessage.incarnation);
  envelope.set_sequence(aMessage.sequence);
  std::visit([&](const auto& aBody) { Fill(envelope, aBody); }, aMessage.body);
  return envelope.SerializeAsString();
}

Result<PeerMessage> DecodeMessage(std::string_view aBytes)
{
  if (aBytes.size() > kMaxPeerMessageBytes) {
    return Failed(Errc::TooLarge, "", std::to_string(aBytes.size()) + " bytes");
  }
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Failed(Errc::ProtocolViolation, "", "not an envelope");
  }
  if (envelope.version() != kProtocolVersion) {
    return Failed(Errc::ProtocolViolation,
                  envelope.sender().substr(0, kMaxNameBytes),
                  "version " + std::to_string(envelope.version()) + "; supported is " +
                    std::to_string(kProtocolVersion));
  }
  try {
    return PeerMessage{ RequiredName(envelope.sender(), "sender"),
                        envelope.incarnation(),
                        envelope.sequence(),
                        ReadBody(envelope) };
  } catch (const InvalidField& field) {
    return Failed(field.errc, envelope.sender().substr(0, kMaxNameBytes), field.detail);
  }
}

} // namespace bg
