#include "load_model.h"

#include <fstream>
#include <stdexcept>

#include "content.h"

namespace bg::support {

using Json = nlohmann::json;

namespace {

std::string Replace(std::string aText, const std::string& aMark, const std::string& aValue)
{
  for (size_t at = aText.find(aMark); at != std::string::npos;
       at = aText.find(aMark, at + aValue.size())) {
    aText.replace(at, aMark.size(), aValue);
  }
  return aText;
}

CallKind ParseKind(const Json& aJson)
{
  CallKind kind;
  const auto set = [&aJson](const char* aName, auto& aField) {
    aField = aJson.value(aName, aField);
  };
  kind.name = aJson.at("name");
  set("weight", kind.weight);
  set("method", kind.method);
  set("target", kind.target);
  set("account", kind.account);
  set("accounts", kind.accounts);
  set("body_size", kind.bodySize);
  set("key", kind.key);
  set("retries", kind.retries);
  set("retry_not_run", kind.retryNotRun);
  set("deadline_ms", kind.deadlineMs);
  set("timeout_ms", kind.timeoutMs);
  set("cancel_ms", kind.cancelMs);
  return kind;
}

std::string HeaderOf(const ClientResult& aResult, const char* aName)
{
  const auto found = aResult.headers.find(aName);
  return found == aResult.headers.end() ? std::string() : found->second;
}

size_t BlobSize(const std::string& aTarget)
{
  const size_t at = aTarget.find("size=");
  return at == std::string::npos ? 0 : std::strtoull(aTarget.c_str() + at + 5, nullptr, 10);
}

/// The echo names the call that was executed; an answer stored with a key keeps the call's id.
Verification VerifyEcho(const Call& aCall, const ClientResult& aResult)
{
  const Json echo = Json::parse(aResult.body, nullptr, false);
  if (!echo.is_object() || !echo.contains("call_id")) {
    return { "invalid", "yes", "", "body is not an echo" };
  }
  Verification result{ "ok", "yes", echo.value("upstream", ""), "" };
  if (echo["call_id"] != aCall.id || echo.value("account", "") != aCall.account ||
      echo.value("key", "") != aCall.key || echo.value("target", "") != aCall.target) {
    result.check = "foreign";
    result.detail = "answer to call " + echo["call_id"].dump();
  } else if (echo.value("size", size_t{ 0 }) != aCall.body.size() ||
             echo.value("sha256", "") != aCall.bodyDigest) {
    result.check = "mismatch";
    result.detail = "upstream received another body";
  }
  return result;
}

Verification VerifyBlob(const Call& aCall, const ClientResult& aResult)
{
  Verification result{ "ok", "yes", HeaderOf(aResult, "X-Upstream-Id"), "" };
  const size_t size = BlobSize(aCall.target);
  if (aResult.body == BlobBytes(aCall.id, size)) {
    return result;
  }
  result.check = aResult.body.size() < size ? "mismatch" : "foreign";
  result.detail = "got " + std::to_string(aResult.body.size()) + " of " + std::to_string(size) +
                  " bytes, or other bytes";
  return result;
}

} // namespace

std::vector<CallKind> LoadMix(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    throw std::runtime_error("cannot read " + aFile);
  }
  std::vector<CallKind> kinds;
  const Json mix = Json::parse(file);
  for (const Json& entry : mix.at("calls")) {
    kinds.push_back(ParseKind(entry));
  }
  if (kinds.empty()) {
    throw std::runtime_error(aFile + " has no calls");
  }
  return kinds;
}

Call MakeCall(const CallKind& aKind, std::string aId, std::mt19937_64& aRandom)
{
  Call call;
  call.kind = &aKind;
  call.account = Replace(
    aKind.account, "{n}", std::to_string(aRandom() % std::max<uint32_t>(aKind.accounts, 1)));
  call.target = Replace(aKind.target, "{id}", aId);
  call.key = aKind.key ? "key-" + aId : "";
  call.body = BlobBytes(aId, aKind.bodySize);
  call.bodyDigest = Sha256Hex(call.body);
  call.id = std::move(aId);
  return call;
}

std::string RequestBytes(const Call& aCall, const std::string& aAttemptId)
{
  std::string bytes = aCall.kind->method + ' ' + aCall.target +
                      " HTTP/1.1\r\nHost: boragegauge.test\r\nX-Request-Id: " + aAttemptId +
                      "\r\nX-Attempt-Id: " + aAttemptId + "\r\nX-Call-Id: " + aCall.id +
                      "\r\nX-Account: " + aCall.account + "\r\n";
  if (!aCall.key.empty()) {
    bytes += "Idempotency-Key: " + aCall.key + "\r\n";
  }
  if (aCall.kind->deadlineMs > 0) {
    bytes += "X-Request-Deadline-Ms: " + std::to_string(aCall.kind->deadlineMs) + "\r\n";
  }
  if (!aCall.body.empty() || aCall.kind->method == "POST" || aCall.kind->method == "PUT") {
    bytes += "Content-Type: application/octet-stream\r\nContent-Length: " +
             std::to_string(aCall.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + aCall.body;
}

Verification Verify(const Call& aCall, const ClientResult& aResult)
{
  if (aResult.outcome != ClientOutcome::Complete) {
    const bool sent = aResult.outcome != ClientOutcome::ConnectFailed;
    return { aResult.outcome == ClientOutcome::Invalid ? "invalid" : "none",
             sent ? "unknown" : "no",
             "",
             "" };
  }
  const std::string callId = HeaderOf(aResult, "X-Call-Id");
  if (!callId.empty() && callId != aCall.id) {
    return { "foreign", "yes", HeaderOf(aResult, "X-Upstream-Id"), "answer to call " + callId };
  }
  if (!HeaderOf(aResult, "X-Not-Run").empty()) {
    return { "none", "no", HeaderOf(aResult, "X-Upstream-Id"), HeaderOf(aResult, "X-Not-Run") };
  }
  if (HeaderOf(aResult, "Content-Type").starts_with("application/problem+json")) {
    const Json problem = Json::parse(aResult.body, nullptr, false);
    if (!problem.is_object()) {
      return { "invalid", "unknown", "", "problem details are not JSON" };
    }
    return { "none",
             problem.value("executed", "unknown"),
             "",
             problem.value("title", "") + ": " + problem.value("detail", "") };
  }
  const std::string digest = HeaderOf(aResult, "X-Body-Sha256");
  if (aCall.kind->method == "HEAD") {
    return { digest.empty() ? "invalid" : "ok", "yes", HeaderOf(aResult, "X-Upstream-Id"), "" };
  }
  if (!digest.empty() && digest != Sha256Hex(aResult.body)) {
    return { "mismatch", "yes", HeaderOf(aResult, "X-Upstream-Id"), "digest of the body differs" };
  }
  return aCall.target.find("/blob?") != std::string::npos ? VerifyBlob(aCall, aResult)
                                                          : VerifyEcho(aCall, aResult);
}

bool OutcomeUnknown(const ClientResult& aResult, const Verification& aVerification)
{
  return aVerification.executed == "unknown" || aResult.outcome == ClientOutcome::Invalid;
}

} // namespace bg::support
