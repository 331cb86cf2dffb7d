#include <algorithm>

#include "ctl_p.h"

namespace bg::ctl {

namespace {

ApplyResult Refuse(ExitCode aCode, std::vector<std::string> aMessages)
{
  ApplyResult result;
  result.code = aCode;
  result.messages = std::move(aMessages);
  return result;
}

std::string Short(const std::string& aDigest)
{
  return aDigest.substr(0, 12);
}

std::string Name(uint64_t aRevision, const std::string& aDigest)
{
  return "revision " + std::to_string(aRevision) + " (digest " + Short(aDigest) + ")";
}

/// True when the commit cannot have reached the table.
bool WasNotSent(const Error& aError)
{
  return aError.code == Errc::Unavailable || aError.code == Errc::Refused ||
         aError.code == Errc::InvalidArgument || aError.code == Errc::TooLarge;
}

std::optional<std::string> ProxyObjection(const ProxyStatus& aProxy,
                                          const ConfigurationHead& aHead,
                                          uint32_t aFormat)
{
  if (aProxy.revision > aHead.revision)
    return aProxy.proxy.host + " has " + Name(aProxy.revision, aProxy.digest) +
           ", which is higher than the head's revision " + std::to_string(aHead.revision) +
           "; the store may have been restored from an older copy, and the proxies write their "
           "revision back";
  if (aProxy.formatMax < aFormat)
    return aProxy.proxy.host + " reads formats up to " + std::to_string(aProxy.formatMax) +
           ", the folder has format " + std::to_string(aFormat);
  return std::nullopt;
}

} // namespace

struct Applier::Head
{
  ConfigurationHead row; ///< Revision 0 before the first apply.
  uint64_t version = 0;
};

enum class Applier::Resolution
{
  Accepted,
  Rejected,
  Absent, ///< No revision row yet.
  Unknown,

  Count
};

Applier::Applier(ApplyInit aInit)
  : init_(std::move(aInit))
{
}

ApplyResult Applier::Apply(const ConfigurationReport& aFolder,
                           const std::optional<FolderBase>& aBase)
{
  if (!aFolder.configuration) {
    auto result = Refuse(ExitCode::Problems, { "the folder has problems; nothing was changed" });
    result.problems = aFolder.problems;
    return result;
  }
  const auto head = ReadHead();
  if (!head)
    return Refuse(ExitCode::Unreachable,
                  { "the head could not be read; nothing was changed", ToString(head.Failure()) });
  const auto& digest = aFolder.configuration->digest;
  const bool sameContent = head->version != 0 && head->row.digest == digest;
  if (!sameContent) {
    if (auto refused = CheckBase(*head, aBase))
      return *refused;
  }
  const auto live = LiveProxies(*init_.platform);
  if (!live)
    return Refuse(
      ExitCode::Unreachable,
      { "the host list could not be read; nothing was changed", ToString(live.Failure()) });
  const auto proxies = ReadProxyStatus(*live, init_.queryProxies);
  if (auto refused = CheckObjections(*head, aFolder.configuration->format, proxies))
    return *refused;
  if (sameContent) {
    if (auto done = CheckInForce(*head, proxies))
      return *done;
  }
  if (auto refused = CheckAnswers(proxies))
    return *refused;
  if (auto refused = StoreBody(digest, aFolder.body))
    return *refused;
  return MoveHead(*head, aFolder);
}

/// The same content needs no new revision, unless a proxy holds the head's revision with another
/// digest: it never adopts this revision, only a higher one.
std::optional<ApplyResult> Applier::CheckInForce(const Head& aHead, Proxies aProxies)
{
  const auto isForked = [&](const ProxyStatus& aProxy) {
    return !aProxy.error && aProxy.revision == aHead.row.revision &&
           aProxy.digest != aHead.row.digest;
  };
  if (std::ranges::any_of(aProxies, isForked))
    return std::nullopt;
  auto result = Refuse(
    ExitCode::Ok, { Name(aHead.row.revision, aHead.row.digest) + " has this content already" });
  result.revision = aHead.row.revision;
  result.digest = aHead.row.digest;
  result.changeId = aHead.row.changeId;
  return result;
}

Result<Applier::Head> Applier::ReadHead()
{
  const auto reply = init_.platform->ReadRow(kHeadKey);
  if (!reply)
    return reply.Failure();
  Head head;
  head.version = reply->row.version;
  if (head.version == 0)
    return head;
  const auto row = DecodeHead(reply->row.value);
  if (!row)
    return row.Failure();
  head.row = *row;
  return head;
}

std::optional<ApplyResult> Applier::CheckBase(const Head& aHead,
                                              const std::optional<FolderBase>& aBase)
{
  if (aHead.version == 0 && !aBase)
    return std::nullopt;
  // --base states a revision without a digest.
  if (aBase && aHead.version != 0 && aBase->revision == aHead.row.revision &&
      (aBase->digest.empty() || aBase->digest == aHead.row.digest))
    return std::nullopt;
  if (!aBase)
    return Refuse(ExitCode::Conflict,
                  { "the folder has no .base.json, so it is not known which revision it was made "
                    "from; nothing was changed",
                    "compare with `diff FOLDER --against in-force`, then state the revision with "
                    "--base " +
                      std::to_string(aHead.row.revision) });
  return ConflictWith(aBase->digest,
                      "the folder was made from " + Name(aBase->revision, aBase->digest) +
                        ", the head is " + Name(aHead.row.revision, aHead.row.digest) +
                        "; nothing was changed");
}

std::optional<ApplyResult> Applier::CheckObjections(const Head& aHead,
                                                    uint32_t aFormat,
                                                    Proxies aProxies)
{
  std::vector<std::string> messages;
  for (const auto& proxy : aProxies) {
    if (proxy.error)
      continue;
    if (auto objection = ProxyObjection(proxy, aHead.row, aFormat))
      messages.push_back(std::move(*objection));
  }
  if (messages.empty())
    return std::nullopt;
  messages.insert(messages.begin(), "a proxy speaks against it; nothing was changed");
  return Refuse(ExitCode::Conflict, std::move(messages));
}

/// A proxy that does not answer may read only an older format or hold a higher revision.
std::optional<ApplyResult> Applier::CheckAnswers(Proxies aProxies) const
{
  std::vector<std::string> messages;
  for (const auto& proxy : aProxies) {
    if (proxy.error)
      messages.push_back(proxy.proxy.host + ": " + ToString(*proxy.error));
  }
  if (messages.empty() || init_.skipUnreachable)
    return std::nullopt;
  messages.insert(messages.begin(),
                  "a live proxy did not answer; nothing was changed (--skip-unreachable applies "
                  "without its answer)");
  return Refuse(ExitCode::Unreachable, std::move(messages));
}

std::optional<ApplyResult> Applier::StoreBody(const std::string& aDigest, const std::string& aBody)
{
  const auto name = ConfigurationObjectName(aDigest);
  const auto stored = init_.platform->PutObject(name, aBody);
  if (stored)
    return std::nullopt;
  // The response may be lost although the object is there.
  if (const auto read = init_.platform->GetObject(name); read && *read == aBody)
    return std::nullopt;
  return Refuse(ExitCode::Unreachable,
                { "the body could not be stored; the head was not moved and nothing is in force",
                  ToString(stored.Failure()) });
}

ApplyResult Applier::MoveHead(const Head& aHead, const ConfigurationReport& aFolder)
{
  ApplyResult result;
  result.revision = aHead.row.revision + 1;
  result.digest = aFolder.configuration->digest;
  result.changeId = init_.newChangeId();
  const RevisionRow row{ result.revision, result.digest, result.changeId, init_.wallClockMs() };
  const auto revisionKey = RevisionKey(result.revision);
  const CommitRequest commit{ { { std::string(kHeadKey), aHead.version }, { revisionKey, 0 } },
                              { { std::string(kHeadKey),
                                  EncodeHead({ result.revision, result.digest, result.changeId }) },
                                { revisionKey, EncodeRevision(row) } },
                              {} };
  const auto resolution = Resolve(commit, result.revision, result.changeId);
  if (resolution == Resolution::Accepted) {
    result.messages = { Name(result.revision, result.digest) + " is accepted (change " +
                        result.changeId + ")" };
    AddChanges(result, aHead.row.digest, aFolder.body);
    return result;
  }
  if (resolution == Resolution::Rejected)
    return ConflictWith(aHead.row.digest,
                        "another change was accepted first; this folder's change is not in force");
  if (resolution == Resolution::Absent)
    return Refuse(ExitCode::Unreachable,
                  { "the table could not be reached; the head was not moved" });
  result.code = ExitCode::OutcomeUnknown;
  result.messages = { "the table did not confirm change " + result.changeId + " as " +
                        Name(result.revision, result.digest) + "; it may be in force",
                      "check with `history`, or run `apply` again: it recognizes its own content" };
  return result;
}

/// Commits and, when the response is lost, finds out what became of the commit. Sending the same
/// commit again is safe: its conditions let at most one of the two take effect.
Applier::Resolution Applier::Resolve(const CommitRequest& aCommit,
                                     uint64_t aRevision,
                                     const std::string& aChange)
{
  bool sent = false;
  for (size_t attempt = 0; attempt < init_.resolveAttempts; ++attempt) {
    if (attempt > 0)
      init_.pause(init_.retryPause);
    const auto reply = init_.platform->Commit(aCommit);
    if (reply && reply->committed)
      return Resolution::Accepted;
    if (!reply && WasNotSent(reply.Failure()) && !sent)
      return Resolution::Absent;
    sent = true;
    const auto outcome = ReadOutcome(aRevision, aChange);
    if (outcome == Resolution::Accepted || outcome == Resolution::Rejected)
      return outcome;
    // The head moved without this revision row, for example because proxies restored a higher
    // head: the conditions can no longer hold.
    if (reply && outcome == Resolution::Absent)
      return Resolution::Rejected;
  }
  return Resolution::Unknown;
}

/// The revision row stays as it is when the head moves on, so it tells who won this revision.
Applier::Resolution Applier::ReadOutcome(uint64_t aRevision, const std::string& aChange)
{
  const auto reply = init_.platform->ReadRow(RevisionKey(aRevision));
  if (!reply)
    return Resolution::Unknown;
  if (reply->row.version == 0)
    return Resolution::Absent;
  const auto row = DecodeRevision(reply->row.value);
  if (!row)
    return Resolution::Unknown;
  return row->changeId == aChange ? Resolution::Accepted : Resolution::Rejected;
}

ApplyResult Applier::ConflictWith(const std::string& aBaseDigest, std::string aMessage)
{
  auto result = Refuse(ExitCode::Conflict, { std::move(aMessage) });
  const auto head = ReadHead();
  if (!head)
    return result;
  result.messages.push_back("take over the changes made since, then state --base " +
                            std::to_string(head->row.revision));
  if (const auto body = Body(head->row.digest))
    AddChanges(result, aBaseDigest, *body);
  return result;
}

void Applier::AddChanges(ApplyResult& aResult,
                         const std::string& aBefore,
                         const std::string& aAfterBody)
{
  if (const auto before = Body(aBefore))
    aResult.changes = DiffConfiguration(*before, aAfterBody);
  else
    aResult.messages.emplace_back(
      "the earlier body could not be read, so no differences are shown");
}

std::optional<std::string> Applier::Body(const std::string& aDigest)
{
  if (aDigest.empty())
    return std::string();
  auto body = init_.platform->GetObject(ConfigurationObjectName(aDigest));
  return body ? std::optional(std::move(*body)) : std::nullopt;
}

} // namespace bg::ctl
