#pragma once

#include "boragegauge/fleet.h"
#include "boragegauge/quarantine.h"
#include "fleet.pb.h"
#include "members_p.h"
#include "registry_p.h"
#include "shared_document_p.h"
#include "upstream_notices_p.h"

namespace bg::fleet::detail {

wire::Member ToWire(const Member& aMember);
Member FromWire(const wire::Member& aMember);
wire::StorePosition ToWire(const StorePosition& aPosition);
StorePosition FromWire(const wire::StorePosition& aPosition);
wire::ConfigurationId ToWire(const ConfigurationId& aId);
ConfigurationId FromWire(const wire::ConfigurationId& aId);
wire::Upstream ToWire(const RegisteredUpstream& aUpstream);
RegisteredUpstream FromWire(const wire::Upstream& aUpstream);

/// Periods are relative to aNow.
wire::LeavingUpstream ToWire(const LeavingUpstream& aUpstream, TimePoint aNow);
LeavingUpstream FromWire(const wire::LeavingUpstream& aUpstream, TimePoint aNow);

/// Periods are relative to aNow.
wire::SuspectRequest ToWire(const quarantine::SuspectRequest& aRequest, TimePoint aNow);
quarantine::SuspectRequest FromWire(const wire::SuspectRequest& aRequest, TimePoint aNow);

/// Upper limit of a period in a message, in ms. Longer periods are clamped.
constexpr int64_t kMaxPeriodMs = 3'600'000;

/// Converts a period to ms, clamped to [0, kMaxPeriodMs].
uint32_t ToWireMs(Duration aPeriod);

/// Compresses bytes with zlib. @return Empty if that fails for lack of memory.
std::string CompressBytes(std::string_view aBytes);
/// @param aSize Size of the result. @return Nothing if the bytes are not the compressed form of as
/// many bytes.
std::optional<std::string> DecompressBytes(std::string_view aBytes, size_t aSize);

/// Replaces the view of a message by its compressed form if it is large.
void CompressView(wire::Envelope& aMessage);

/// Encodes how long a message has waited for a connection, to be appended to the message, in ms.
std::string EncodeHeldTime(Duration aTime);

/// Parses a message; a compressed view is decompressed. Fails with ProtocolViolation if it is
/// malformed or the sender has no host name, address or valid port. A sender that is named by key
/// is left to ResolveSender().
Result<wire::Envelope> ParseEnvelope(std::string_view aBytes);

} // namespace bg::fleet::detail
