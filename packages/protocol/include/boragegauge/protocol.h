#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "boragegauge/base.h"
#include "boragegauge/records.h"

namespace bg {

/// Version of the messages between proxies. Other versions are refused when decoding.
constexpr uint32_t kProtocolVersion = 1;

/// Format number in each table row. Other formats are refused when decoding.
constexpr uint32_t kRowFormat = 1;

/// Names an upstream in messages: handles are valid only within one configuration revision.
uint64_t UpstreamKey(std::string_view aService, std::string_view aUpstream);

/// First 64 bits of a SHA-256 digest in hexadecimal digits; 0 for an empty digest.
uint64_t DigestPrefix(std::string_view aDigest);

enum class ProxyState
{
  Starting, ///< Has no configuration in force yet.
  Ready,
  Leaving,

  Count
};

std::string_view ToString(ProxyState aState);

/// Sent to each peer every second. Differs by recipient in heardIncarnation.
struct Heartbeat
{
  uint64_t revision = 0;     ///< In force; 0: none.
  uint64_t digestPrefix = 0; ///< DigestPrefix() of the body in force.
  std::string failureDomain;
  ProxyState state = ProxyState::Starting;
  uint64_t heardIncarnation = 0; ///< Of the recipient, as heard by the sender; 0: not heard.
  std::string address;           ///< Where the sender receives messages; empty: not stated.
  uint16_t port = 0;
};

/// Outcomes of one upstream since the sender's last report.
struct EvidenceCounts
{
  uint64_t upstream = 0; ///< UpstreamKey().
  uint32_t good = 0;
  uint32_t failed = 0;
  uint32_t slow = 0;
  uint32_t intervalMs = 0; ///< Time that the counts cover.
};

struct EvidenceReport
{
  std::string failureDomain; ///< Of the sender.
  std::vector<EvidenceCounts> counts;
};

enum class VerdictScope
{
  Upstream, ///< All proxies.
  Path,     ///< Only the proxies of Verdict::failureDomain.

  Count
};

enum class VerdictAction
{
  Avoid,
  Clear,

  Count
};

struct Verdict
{
  std::string service;
  std::string upstream;
  VerdictScope scope = VerdictScope::Upstream;
  VerdictAction action = VerdictAction::Avoid;
  std::string failureDomain; ///< Of the proxies concerned, when the scope is Path.
  std::string recordId;      ///< Decision record of the sender.
  std::vector<EvidenceValue> evidence;
};

struct LeavingNotice
{
  std::string service;
  std::string upstream;
  std::string bootId;
  std::string source; ///< Signal that the sender saw, for example "host_list".
};

struct ConfigurationRequest
{
  uint64_t revision = 0;
};

struct ConfigurationReply
{
  uint64_t revision = 0;
  std::string digest; ///< SHA-256 of the body.
  std::string changeId;
  std::string body;
};

using PeerBody = std::variant<Heartbeat,
                              EvidenceReport,
                              Verdict,
                              LeavingNotice,
                              ConfigurationRequest,
                              ConfigurationReply>;

/// Envelope of each message between proxies.
struct PeerMessage
{
  std::string sender;       ///< Host name of the sending proxy.
  uint64_t incarnation = 0; ///< Of the sender; higher after each restart.
  uint64_t sequence = 0;    ///< Higher for each message of one incarnation.
  PeerBody body;
};

std::string EncodeMessage(const PeerMessage& aMessage);

/// Fails with TooLarge, or with ProtocolViolation for malformed input, an unknown version or an
/// unknown message type.
Result<PeerMessage> DecodeMessage(std::string_view aBytes);

/// Keys of table rows and names of objects.
constexpr std::string_view kHeadKey = "configuration/head";
constexpr std::string_view kEjectionsPrefix = "ejections/";
constexpr std::string_view kClaimsPrefix = "claims/";
std::string RevisionKey(uint64_t aRevision);
std::string ConfigurationObjectName(std::string_view aDigest);
std::string EjectionsKey(std::string_view aService);
/// The account and the idempotency key enter as one SHA-256 digest.
std::string ClaimKey(std::string_view aService, std::string_view aAccount, std::string_view aKey);

/// Row configuration/head.
struct ConfigurationHead
{
  uint64_t revision = 0;
  std::string digest;
  std::string changeId; ///< Random, resolves a lost commit response.
};

/// Row configuration/revisions/N.
struct RevisionRow
{
  uint64_t revision = 0;
  std::string digest;
  std::string changeId;
  int64_t createdMs = 0;
};

/// One permit in the row ejections/SERVICE.
struct EjectionEntry
{
  std::string upstream;
  std::string holder; ///< Host of the proxy that took the permit.
  uint64_t incarnation = 0;
  int64_t grantedMs = 0; ///< Table's clock.
  int64_t expiresMs = 0; ///< Table's clock.
  std::string recordId;
  /// Readers no longer apply a released entry; it still counts against the floor until it expires,
  /// because a reader that cannot reach the table applies its last copy until then.
  bool released = false;

  friend bool operator==(const EjectionEntry&, const EjectionEntry&) = default;
};

struct EjectionsRow
{
  std::vector<EjectionEntry> entries;
};

enum class ClaimState
{
  Sending, ///< The request may have been sent.
  Done,    ///< The outcome is known.

  Count
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Response to a claimed request.
struct ClaimOutcome
{
  uint16_t status = 0;
  HeaderList headers;
  /// Absent when it was larger than kMaxClaimBodyBytes.
  std::optional<std::string> body;
};

/// Row claims/SERVICE/HASH.
struct ClaimRow
{
  std::string token;         ///< Random, names the holder of the claim.
  std::string requestDigest; ///< SHA-256 of method, target and body.
  ClaimState state = ClaimState::Sending;
  ClaimOutcome outcome; ///< When the state is Done.
  int64_t createdMs = 0;
};

std::string EncodeHead(const ConfigurationHead& aHead);
std::string EncodeRevision(const RevisionRow& aRow);
std::string EncodeEjections(const EjectionsRow& aRow);
/// Omits a body larger than kMaxClaimBodyBytes.
std::string EncodeClaim(const ClaimRow& aRow);

/// All fail with ProtocolViolation for malformed input or an unknown format.
Result<ConfigurationHead> DecodeHead(std::string_view aJson);
Result<RevisionRow> DecodeRevision(std::string_view aJson);
Result<EjectionsRow> DecodeEjections(std::string_view aJson);
Result<ClaimRow> DecodeClaim(std::string_view aJson);

} // namespace bg
