#pragma once

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "http_client.h"

namespace bg::support {

/// One kind of call of the mix file. "{id}" in the target becomes the id of the call.
struct CallKind
{
  std::string name;
  double weight = 1;
  std::string method = "GET";
  std::string target = "/";
  std::string account = "account"; ///< "{n}" becomes a number below `accounts`.
  uint32_t accounts = 100;
  size_t bodySize = 0;
  bool key = false;         ///< Sends an Idempotency-Key.
  uint32_t retries = 0;     ///< Repeats after an unknown outcome, with the same key.
  bool retryNotRun = false; ///< Also repeats when the answer says that nothing was run.
  int64_t deadlineMs = 0;   ///< X-Request-Deadline-Ms; 0: not sent.
  int64_t timeoutMs = 10000;
  int64_t cancelMs = 0; ///< The caller closes after this time; 0: never.
};

/// Reads {"calls":[...]}; throws nlohmann::json::exception or std::runtime_error.
std::vector<CallKind> LoadMix(const std::string& aFile);

/// One logical call; its attempts have the same id, key, target and body.
struct Call
{
  const CallKind* kind = nullptr;
  std::string id;
  std::string key;
  std::string account;
  std::string target;
  std::string body;
  std::string bodyDigest;
  uint32_t attempt = 0;
  int64_t intendedNs = 0;
};

Call MakeCall(const CallKind& aKind, std::string aId, std::mt19937_64& aRandom);

/// Bytes of the request of one attempt.
std::string RequestBytes(const Call& aCall, const std::string& aAttemptId);

/// What the caller can conclude from one answer.
struct Verification
{
  std::string check = "none"; ///< "ok", "mismatch", "foreign", "invalid"; "none": nothing to check.
  std::string executed;       ///< "no" and "unknown" as stated; "yes" after an upstream's answer.
  std::string upstream;
  std::string detail;
};

Verification Verify(const Call& aCall, const ClientResult& aResult);

/// The caller doesn't know whether the request was run.
bool OutcomeUnknown(const ClientResult& aResult, const Verification& aVerification);

} // namespace bg::support
