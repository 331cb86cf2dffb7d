#pragma once

#include <cstddef>
#include <cstdint>

/// Compile-time limits of all packages. Sizes are in bytes unless the name says otherwise.
namespace bg {

/// Upper bound of upstreams in one configuration; handles are 16 bit.
constexpr size_t kMaxUpstreams = 32768;
constexpr size_t kMaxServices = 4096;
constexpr size_t kMaxRoutes = 16384;
constexpr size_t kMaxCallers = 1024;
constexpr size_t kMaxFailureDomains = 64;
constexpr size_t kMaxPeers = 4096;

/// Bounds of one caller's request before its body.
constexpr size_t kMaxHeaderLineBytes = 8192;
constexpr size_t kMaxHeaderBytes = 32768;
constexpr size_t kMaxHeaderCount = 100;
constexpr size_t kMaxTargetBytes = 4096;

/// Largest body limit that a route may state.
constexpr size_t kMaxBodyBytesLimit = 64UL << 20;

/// Largest merged configuration body.
constexpr size_t kMaxConfigurationBytes = 16UL << 20;

/// Largest answer body that is kept with a claim for repeated idempotency keys.
constexpr size_t kMaxClaimBodyBytes = 8192;
constexpr size_t kMaxIdempotencyKeyBytes = 256;

/// Decision records kept in memory by one proxy.
constexpr size_t kDecisionRingSize = 4096;

/// Largest message between proxies.
constexpr size_t kMaxPeerMessageBytes = 20UL << 20;

/// Requests under which upstreams have crashed that one host knows, about 0.5 KB each.
constexpr size_t kMaxSuspectRequests = 1024;

} // namespace bg
