#pragma once

#include <filesystem>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"

namespace bg {

/// Highest body format that this release reads.
constexpr uint32_t kConfigurationFormat = 1;

/// One back-end process.
struct UpstreamConfig
{
  std::string id;
  ServiceHandle service;
  std::string address; ///< IP address.
  uint16_t port = 0;
  uint16_t adminPort = 0; ///< Health and load endpoints; 0: same as port.
  FailureDomainHandle failureDomain;
};

/// Sensitivity of gray-failure detection for one service.
struct DetectionConfig
{
  double threshold = 8.0;       ///< Log-likelihood ratio (nats) that gives a verdict.
  double slowFactor = 4.0;      ///< Slow: latency over this multiple of the baseline.
  double maxBadFraction = 0.34; ///< Above this share of suspects no verdict is acted on.
  Milliseconds minBackoff{ 5000 };
  Milliseconds maxBackoff{ 300000 };
};

struct ServiceConfig
{
  std::string id;
  uint32_t slotsPerUpstream = 1;
  uint32_t maxConnectionsPerUpstream = 100;
  uint32_t healthyFloor = 0; ///< Upstreams that must stay healthy.
  DetectionConfig detection;
  double retryBudget = 0.1; ///< Retries and hedges as a share of requests.
  bool hedge = false;
  uint32_t maxConcurrency = 64; ///< Requests in flight per proxy.
  uint32_t queueLimit = 64;     ///< Requests waiting per proxy.
  Milliseconds slowStart{ 10000 };
  Milliseconds connectTimeout{ 250 };
  std::vector<UpstreamHandle> upstreams;
};

/// A class of client accounts.
struct CallerConfig
{
  std::string id;
  std::vector<std::string> accountPrefixes; ///< The longest matching prefix decides.
  uint32_t weight = 1;                      ///< Share of a contended service.
  uint32_t maxRequestsPerSecond = 0;        ///< Per proxy; 0: no limit.
};

struct RouteConfig
{
  std::string id;
  std::string pathPrefix;           ///< Matches whole path segments.
  std::vector<std::string> methods; ///< Upper case.
  std::vector<CallerHandle> callers;
  ServiceHandle service;
  bool idempotent = false;
  bool requireIdempotencyKey = false; ///< Non-idempotent requests without a key are refused.
  Milliseconds deadline{ 5000 };
  size_t maxBodyBytes = 1UL << 20;
};

/// An accepted configuration. Handles index the vectors.
struct Configuration
{
  uint64_t revision = 0; ///< 0 until accepted.
  std::string digest;    ///< SHA-256 of the canonical body.
  uint32_t format = kConfigurationFormat;
  uint32_t claimRetentionHours = 24;
  std::vector<std::string> failureDomains;
  std::vector<ServiceConfig> services;
  std::vector<UpstreamConfig> upstreams;
  std::vector<CallerConfig> callers;
  std::vector<RouteConfig> routes;
};

/// One problem of a folder or a body.
struct ConfigurationProblem
{
  std::string file;    ///< Empty for a merged body without a known source.
  std::string pointer; ///< JSON pointer (RFC 6901) into the merged body.
  std::string found;
  std::string allowed;
};

/// Either a body and its model, or every problem found.
struct ConfigurationReport
{
  std::string body; ///< Canonical JSON: sorted keys, no white space.
  std::shared_ptr<const Configuration> configuration; ///< Null when there are problems.
  std::vector<ConfigurationProblem> problems;
};

/// A named file of the folder.
struct ConfigurationFile
{
  std::string name;
  std::string text;
};

/// Merges files in the order given (JSON merge patch, RFC 7396) and validates the result.
ConfigurationReport MergeConfiguration(std::span<const ConfigurationFile> aFiles);

/// Reads all *.json files of a folder (names starting with '.' excluded) in the order of their
/// names and merges them. A folder that cannot be read gives a problem.
ConfigurationReport LoadConfigurationFolder(const std::filesystem::path& aFolder);

/// Parses and validates a canonical body, for example one fetched by digest.
ConfigurationReport ParseConfiguration(std::string_view aBody);

enum class ChangeKind
{
  Added,
  Removed,
  Changed,

  Count
};

struct ConfigurationChange
{
  ChangeKind kind = ChangeKind::Changed;
  std::string pointer;
  std::string before;
  std::string after;
};

/// Differences between two canonical bodies, ordered by pointer.
std::vector<ConfigurationChange> DiffConfiguration(std::string_view aBefore,
                                                   std::string_view aAfter);

/// "file:pointer: found X; allowed Y".
std::string ToString(const ConfigurationProblem& aProblem);

} // namespace bg
