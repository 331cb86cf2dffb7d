#include <algorithm>
#include <map>
#include <set>

#include "coordination_p.h"

namespace bg {

namespace {

/// Heartbeats come every second; a peer silent for longer is not asked for a body.
constexpr Milliseconds kPeerLifetime{ 5000 };
/// A peer that vanished while the store was reachable is not a sign of being cut off.
constexpr Milliseconds kForgetPeer{ 60000 };
constexpr Milliseconds kRequestTimeout{ 1000 };
/// When no peer answers a request for a revision so often, a lower one is taken for a while.
constexpr int kMaxRequests = 3;
constexpr Milliseconds kUnreachableTime{ 5000 };
/// Bodies may have 16 MB; a peer that asks again and again gets one per interval.
constexpr Milliseconds kReplyInterval{ 500 };
/// The repair waits for a second read, and differs between proxies so that few write at once.
constexpr Milliseconds kRepairDelay{ 1000 };
constexpr uint64_t kRepairSpreadMs = 1000;

struct PeerRevision
{
  uint64_t revision = 0;
  uint64_t prefix = 0;
  TimePoint heard;
};

struct Candidate
{
  uint64_t revision = 0;
  uint64_t prefix = 0;
  bool fromStore = false;
};

struct Request
{
  std::string host;
  uint64_t revision = 0;
  uint64_t prefix = 0;
  TimePoint sentAt;
  int count = 0; ///< Requests for this revision without reply.
};

} // namespace

struct ConfigurationSync::Impl : std::enable_shared_from_this<ConfigurationSync::Impl>
{
  explicit Impl(ConfigurationSyncInit aInit)
    : init(std::move(aInit))
  {
  }

  // --- Head row ---

  void Poll(TimePoint aNow)
  {
    polling = true;
    ++stats.polls;
    init.platform->ReadRow(
      kHeadKey,
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aNow](Impl& aSelf, const Result<RowReply>& aReply) {
        aSelf.polling = false;
        aSelf.lastPollSent = aNow;
        if (aReply) {
          aSelf.FinishPoll(*aReply, aNow);
        } else {
          aSelf.FailPoll(aNow);
        }
      }));
  }

  void FailPoll(TimePoint aSentAt)
  {
    ++stats.pollFailures;
    storeAvailable = false;
    backoff = std::min(std::max(backoff * 2, init.pollInterval), init.maxBackoff);
    nextPoll = aSentAt + backoff;
  }

  void FinishPoll(const RowReply& aReply, TimePoint aSentAt)
  {
    storeAvailable = true;
    backoff = Milliseconds(0);
    nextPoll = aSentAt + init.pollInterval;
    // The time of the request counts: a response held back by a pause is old knowledge.
    lastStore = std::max(lastStore, aSentAt);
    if (aReply.row.version == 0) {
      head = ConfigurationHead();
    } else if (auto decoded = DecodeHead(aReply.row.value)) {
      head = std::move(*decoded);
    } else {
      Log(LogLevel::Error, "config_head_refused", { { "reason", ToString(decoded.Failure()) } });
      return;
    }
    headKnown = true;
    if (head.revision == revision && revision != 0 && head.digest != digest) {
      ReportFork("store", DigestPrefix(head.digest));
    } else if (head.revision < revision) {
      UseRegression(aReply);
    } else {
      regressedVersion.reset();
    }
    Pursue(init.now());
  }

  void ReportFork(const std::string& aSource, uint64_t aPrefix)
  {
    if (!forks.insert({ revision, aPrefix }).second) {
      return;
    }
    ++stats.forks;
    Log(LogLevel::Error,
        "config_fork",
        { { "revision", revision }, { "digest", digest }, { "source", aSource } });
  }

  // --- Restored older store ---

  void UseRegression(const RowReply& aReply)
  {
    const TimePoint now = init.now();
    if (regressedVersion != aReply.row.version) {
      regressedVersion = aReply.row.version;
      repairAt = now + kRepairDelay + Milliseconds(Hash64(init.sender->Host()) % kRepairSpreadMs);
      ++stats.regressions;
      Log(LogLevel::Warning,
          "config_store_regressed",
          { { "store_revision", head.revision }, { "revision", revision } });
      Record(DecisionKind::ConfigurationStoreRegressed, "never_lower", "", double(head.revision));
    } else if (now >= repairAt && !repairing) {
      Repair(aReply.row.version, aReply.nowMs);
    }
  }

  void Repair(uint64_t aHeadVersion, int64_t aTableNowMs)
  {
    repairing = true;
    CommitRequest commit;
    commit.conditions = { { std::string(kHeadKey), aHeadVersion } };
    commit.puts = { { std::string(kHeadKey), EncodeHead({ revision, digest, changeId }) },
                    { RevisionKey(revision),
                      EncodeRevision({ revision, digest, changeId, aTableNowMs }) } };
    init.platform->PutObject(
      ConfigurationObjectName(digest),
      body,
      init.callDeadline,
      detail::Guarded(shared_from_this(),
                      [commit = std::move(commit)](Impl& aSelf, const Result<bool>& aResult) {
                        if (aResult) {
                          aSelf.RepairHead(commit);
                        } else {
                          aSelf.repairing = false;
                        }
                      }));
  }

  /// A lost response needs no handling: the next poll shows the head.
  void RepairHead(const CommitRequest& aRequest)
  {
    init.platform->Commit(
      aRequest,
      init.callDeadline,
      detail::Guarded(shared_from_this(), [](Impl& aSelf, const Result<CommitReply>& aReply) {
        aSelf.repairing = false;
        if (aReply && aReply->committed) {
          ++aSelf.stats.repairs;
          Log(LogLevel::Info, "config_store_repaired", { { "revision", aSelf.revision } });
        }
      }));
  }

  // --- Bodies ---

  bool IsHigher(uint64_t aRevision, uint64_t aPrefix) const
  {
    if (aRevision == 0 || rejected.contains(aPrefix)) {
      return false;
    }
    return aRevision > revision || (init.testAllowLower && aRevision < revision) ||
           (init.testAllowFork && aRevision == revision && aPrefix != DigestPrefix(digest));
  }

  /// The highest revision known and not held; the store's is preferred over a peer's.
  std::optional<Candidate> BestCandidate(TimePoint aNow) const
  {
    std::optional<Candidate> best;
    const auto consider = [&](uint64_t aRevision, uint64_t aPrefix, bool aFromStore) {
      const auto skipped = unreachable.find(aRevision);
      const bool skip = !aFromStore && skipped != unreachable.end() && skipped->second > aNow;
      if (IsHigher(aRevision, aPrefix) && !skip && (!best || aRevision > best->revision)) {
        best = { aRevision, aPrefix, aFromStore };
      }
    };
    consider(head.revision, DigestPrefix(head.digest), true);
    for (const auto& [host, peer] : peers) {
      if (aNow - peer.heard < kPeerLifetime) {
        consider(peer.revision, peer.prefix, false);
      }
    }
    return best;
  }

  void Pursue(TimePoint aNow)
  {
    const auto candidate = BestCandidate(aNow);
    if (!candidate || fetching || (request && aNow - request->sentAt < kRequestTimeout)) {
      return;
    }
    if (candidate->fromStore && aNow >= objectRetryAt) {
      return Fetch(head);
    }
    // A peer is asked when the store was asked since the revision became known and has no body.
    if (candidate->fromStore || !storeAvailable || lastPollSent >= learnedAt) {
      Ask(*candidate, aNow);
    }
  }

  void Fetch(const ConfigurationHead& aHead)
  {
    fetching = true;
    init.platform->GetObject(
      ConfigurationObjectName(aHead.digest),
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aHead](Impl& aSelf, const Result<std::string>& aBody) {
        aSelf.fetching = false;
        if (aBody && Sha256Hex(*aBody) == aHead.digest) {
          aSelf.Offer(aHead, *aBody);
          return;
        }
        Log(LogLevel::Warning,
            "config_body_unavailable",
            { { "revision", aHead.revision },
              { "reason", aBody ? "digest differs" : ToString(aBody.Failure()) } });
        aSelf.objectRetryAt = aSelf.init.now() + kRequestTimeout;
        aSelf.Pursue(aSelf.init.now());
      }));
  }

  void Ask(const Candidate& aCandidate, TimePoint aNow)
  {
    std::vector<std::string> holders;
    for (const auto& [host, peer] : peers) {
      if (peer.revision == aCandidate.revision && peer.prefix == aCandidate.prefix &&
          aNow - peer.heard < kPeerLifetime) {
        holders.push_back(host);
      }
    }
    if (holders.empty()) {
      return;
    }
    const bool again = request && request->revision == aCandidate.revision;
    const int count = again ? request->count + 1 : 1;
    if (count > kMaxRequests) {
      unreachable[aCandidate.revision] = aNow + kUnreachableTime;
      request.reset();
      return;
    }
    // Starts at a place that differs between proxies, so that not all of them ask the same peer.
    const size_t start = Hash64(init.sender->Host()) % holders.size();
    const std::string& host = holders[(start + static_cast<size_t>(count)) % holders.size()];
    request = Request{ host, aCandidate.revision, aCandidate.prefix, aNow, count };
    init.sender->Send(host, ConfigurationRequest{ aCandidate.revision });
  }

  void UseReply(const std::string& aSender, const ConfigurationReply& aReply)
  {
    if (!request || request->host != aSender || aReply.revision < request->revision) {
      return;
    }
    const bool expected = aReply.revision == request->revision
                            ? DigestPrefix(aReply.digest) == request->prefix
                            : aReply.revision != head.revision || aReply.digest == head.digest;
    request.reset();
    if (!expected || Sha256Hex(aReply.body) != aReply.digest) {
      Log(LogLevel::Warning, "config_reply_refused", { { "peer", aSender } });
      return;
    }
    Offer({ aReply.revision, aReply.digest, aReply.changeId }, aReply.body);
  }

  /// Takes a body whose digest is right, if it is valid and its revision is higher.
  void Offer(const ConfigurationHead& aHead, const std::string& aBody)
  {
    const uint64_t prefix = DigestPrefix(aHead.digest);
    if (!IsHigher(aHead.revision, prefix)) {
      return;
    }
    const std::string problem = init.validate ? init.validate(aBody) : "";
    if (!problem.empty()) {
      rejected.insert(prefix);
      ++stats.rejected;
      Log(LogLevel::Error,
          "config_rejected",
          { { "revision", aHead.revision }, { "reason", problem } });
      Record(DecisionKind::ConfigurationRejected, "validation", problem, double(aHead.revision));
      return;
    }
    const uint64_t previous = revision;
    revision = aHead.revision;
    digest = aHead.digest;
    changeId = aHead.changeId;
    body = aBody;
    unreachable.clear();
    ++stats.adopted;
    Log(LogLevel::Info, "config_in_force", { { "revision", revision }, { "digest", digest } });
    detail::Notify(init.onAdopted, revision, digest, body);
    Record(DecisionKind::ConfigurationInForce, "higher_revision", "", double(previous));
  }

  void Record(DecisionKind aKind, const char* aRule, const std::string& aSubject, double aOther)
  {
    DecisionRecord record;
    record.kind = aKind;
    record.rule = aRule;
    record.subject = aSubject;
    record.evidence = { { "other_revision", aOther } };
    record.revision = revision;
    record.digest = digest;
    detail::Notify(init.record, std::move(record));
  }

  // --- Peers ---

  void UseHeartbeat(const std::string& aSender, const Heartbeat& aHeartbeat)
  {
    const TimePoint now = init.now();
    lastPeer = now;
    if (aHeartbeat.state == ProxyState::Leaving) {
      peers.erase(aSender);
      return;
    }
    peers[aSender] = { aHeartbeat.revision, aHeartbeat.digestPrefix, now };
    if (aHeartbeat.revision == revision && revision != 0 &&
        aHeartbeat.digestPrefix != DigestPrefix(digest)) {
      ReportFork(aSender, aHeartbeat.digestPrefix);
    }
    if (aHeartbeat.revision > std::max({ revision, head.revision, learnedRevision })) {
      learnedRevision = aHeartbeat.revision;
      learnedAt = now;
      // The back-off stays when the store does not answer.
      nextPoll = storeAvailable ? now : nextPoll;
    }
  }

  void UseRequest(const std::string& aSender, const ConfigurationRequest& aRequest)
  {
    const TimePoint now = init.now();
    const auto last = replies.find(aSender);
    const bool tooSoon = last != replies.end() && now - last->second < kReplyInterval;
    if (revision == 0 || revision < aRequest.revision || tooSoon) {
      return;
    }
    replies[aSender] = now;
    init.sender->Send(aSender, ConfigurationReply{ revision, digest, changeId, body });
  }

  void ForgetPeers(TimePoint aNow)
  {
    if (aNow - lastStore < init.isolationLimit) {
      std::erase_if(peers,
                    [&](const auto& aPeer) { return aNow - aPeer.second.heard >= kForgetPeer; });
    }
  }

  /// A new proxy settles when it has the highest revision that the store and the peers know.
  void Settle(TimePoint aNow)
  {
    if (!startedAt) {
      startedAt = aNow;
    }
    const bool asked = headKnown || !peers.empty();
    settled = settled || (revision != 0 && asked && aNow - *startedAt >= init.startupWait &&
                          !BestCandidate(aNow));
  }

  ConfigurationSyncInit init;
  ConfigurationSyncStats stats;
  uint64_t revision = 0;
  std::string digest;
  std::string changeId;
  std::string body;

  ConfigurationHead head; ///< Last one read.
  bool headKnown = false;
  bool storeAvailable = true;
  bool polling = false;
  Milliseconds backoff{ 0 };
  TimePoint nextPoll;
  TimePoint lastPollSent;
  TimePoint lastStore;
  std::optional<uint64_t> regressedVersion;
  TimePoint repairAt;
  bool repairing = false;

  bool fetching = false;
  TimePoint objectRetryAt;
  std::optional<Request> request;
  std::map<uint64_t, TimePoint> unreachable; ///< Revision and until when it is not asked for.
  std::set<uint64_t> rejected;               ///< Digest prefixes of invalid bodies.
  std::set<std::pair<uint64_t, uint64_t>> forks;

  std::map<std::string, PeerRevision> peers;
  std::map<std::string, TimePoint> replies;
  uint64_t learnedRevision = 0;
  TimePoint learnedAt;
  TimePoint lastPeer;
  std::optional<TimePoint> startedAt;
  bool settled = false;
};

ConfigurationSync::ConfigurationSync(ConfigurationSyncInit aInit)
  : impl_(std::make_shared<Impl>(std::move(aInit)))
{
}

ConfigurationSync::~ConfigurationSync() = default;

void ConfigurationSync::Tick(TimePoint aNow)
{
  if (aNow >= impl_->nextPoll && !impl_->polling) {
    impl_->Poll(aNow);
  }
  impl_->ForgetPeers(aNow);
  impl_->Pursue(aNow);
  impl_->Settle(aNow);
}

void ConfigurationSync::Handle(const PeerMessage& aMessage)
{
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage.body)) {
    impl_->UseHeartbeat(aMessage.sender, *heartbeat);
  } else if (const auto* request = std::get_if<ConfigurationRequest>(&aMessage.body)) {
    impl_->UseRequest(aMessage.sender, *request);
  } else if (const auto* reply = std::get_if<ConfigurationReply>(&aMessage.body)) {
    impl_->UseReply(aMessage.sender, *reply);
  }
}

bool ConfigurationSync::Ready(TimePoint aNow) const
{
  const TimePoint contact = std::max(impl_->lastStore, impl_->lastPeer);
  const bool cutOff = !impl_->peers.empty() && aNow - contact >= impl_->init.isolationLimit;
  return impl_->settled && !cutOff;
}

uint64_t ConfigurationSync::Revision() const
{
  return impl_->revision;
}

const std::string& ConfigurationSync::Digest() const
{
  return impl_->digest;
}

const std::string& ConfigurationSync::Body() const
{
  return impl_->body;
}

const ConfigurationSyncStats& ConfigurationSync::Stats() const
{
  return impl_->stats;
}

} // namespace bg
