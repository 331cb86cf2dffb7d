#include <algorithm>
#include <map>
#include <set>

#include "coordination_p.h"

namespace bg {

namespace {

/// Heartbeats arrive every second. The revision of a peer without a heartbeat for this time is not
/// requested from it.
constexpr Milliseconds kPeerTimeout{ 5000 };
/// A peer is removed after this time without a heartbeat, provided that the store is reachable. A
/// proxy without peers is not considered isolated when it later loses the store.
constexpr Milliseconds kPeerRemovalTimeout{ 60000 };
constexpr Milliseconds kRequestTimeout{ 1000 };
/// After this many unanswered requests to peers for a revision, the revision is skipped for
/// kRevisionSkipTime, so that a lower one can be activated.
constexpr int kMaxRequests = 3;
constexpr Milliseconds kRevisionSkipTime{ 5000 };
/// Minimum time between two bodies sent to the same peer. A body may have 16 MB.
constexpr Milliseconds kMinReplyInterval{ 500 };
/// The repair of the store waits for a second read of the head. A jitter derived from the host name
/// keeps most proxies from writing at the same time.
constexpr Milliseconds kRepairDelay{ 1000 };
constexpr uint64_t kRepairJitterMs = 1000;

/// Last heartbeat of a peer.
struct PeerRevision
{
  uint64_t revision = 0;
  uint64_t digestPrefix = 0;
  TimePoint receivedAt;
};

/// A revision that could be activated.
struct Candidate
{
  uint64_t revision = 0;
  uint64_t digestPrefix = 0;
  bool fromStore = false;
};

/// The last request for a body that was sent to a peer.
struct BodyRequest
{
  std::string host;
  uint64_t revision = 0;
  uint64_t digestPrefix = 0;
  TimePoint sentAt;
  int count = 0; ///< Unanswered requests for this revision, including this one.
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
        aSelf.lastPollSentAt = aNow;
        if (aReply) {
          aSelf.HandlePollReply(*aReply, aNow);
        } else {
          aSelf.HandlePollFailure(aNow);
        }
      }));
  }

  void HandlePollFailure(TimePoint aSentAt)
  {
    ++stats.pollFailures;
    storeAvailable = false;
    backoff = std::min(std::max(backoff * 2, init.pollInterval), init.maxBackoff);
    nextPoll = aSentAt + backoff;
  }

  void HandlePollReply(const RowReply& aReply, TimePoint aSentAt)
  {
    storeAvailable = true;
    backoff = Milliseconds(0);
    nextPoll = aSentAt + init.pollInterval;
    // Contact is dated by the request, because a response read after a pause of this process is
    // stale.
    lastStoreContact = std::max(lastStoreContact, aSentAt);
    if (aReply.row.version == 0) {
      head = ConfigurationHead();
    } else if (auto decoded = DecodeHead(aReply.row.value)) {
      head = std::move(*decoded);
    } else {
      Log(LogLevel::Error, "config_head_refused", { { "reason", ToString(decoded.Failure()) } });
      return;
    }
    headRead = true;
    if (head.revision == revision && revision != 0 && head.digest != digest) {
      ReportFork("store", DigestPrefix(head.digest));
    } else if (head.revision < revision) {
      HandleRegression(aReply);
    } else {
      regressedVersion.reset();
    }
    FetchBestCandidate(init.now());
  }

  void ReportFork(const std::string& aSource, uint64_t aDigestPrefix)
  {
    if (!reportedForks.insert({ revision, aDigestPrefix }).second) {
      return;
    }
    ++stats.forks;
    Log(LogLevel::Error,
        "config_fork",
        { { "revision", revision }, { "digest", digest }, { "source", aSource } });
  }

  // --- Repair of a store that was restored from an older copy ---

  void HandleRegression(const RowReply& aReply)
  {
    const TimePoint now = init.now();
    if (regressedVersion != aReply.row.version) {
      regressedVersion = aReply.row.version;
      repairAt = now + kRepairDelay + Milliseconds(Hash64(init.sender->Host()) % kRepairJitterMs);
      ++stats.regressions;
      Log(LogLevel::Warning,
          "config_store_regressed",
          { { "store_revision", head.revision }, { "revision", revision } });
      Record(DecisionKind::ConfigurationStoreRegressed, "never_lower", "", double(head.revision));
    } else if (now >= repairAt && !repairing) {
      RepairStore(aReply.row.version, aReply.nowMs);
    }
  }

  void RepairStore(uint64_t aHeadVersion, int64_t aTableNowMs)
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
                          aSelf.CommitHead(commit);
                        } else {
                          aSelf.repairing = false;
                        }
                      }));
  }

  /// A lost response needs no handling, because the next poll reads the head.
  void CommitHead(const CommitRequest& aRequest)
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

  // --- Selection and fetch of bodies ---

  bool CanActivate(uint64_t aRevision, uint64_t aDigestPrefix) const
  {
    if (aRevision == 0 || rejectedPrefixes.contains(aDigestPrefix)) {
      return false;
    }
    return aRevision > revision || (init.testAllowLower && aRevision < revision) ||
           (init.testAllowFork && aRevision == revision && aDigestPrefix != DigestPrefix(digest));
  }

  /// The highest revision above the active one that the store or a live peer has announced. At the
  /// same revision the store is preferred.
  std::optional<Candidate> BestCandidate(TimePoint aNow) const
  {
    std::optional<Candidate> best;
    const auto consider = [&](uint64_t aRevision, uint64_t aDigestPrefix, bool aFromStore) {
      const auto skipped = skippedRevisions.find(aRevision);
      const bool skip = !aFromStore && skipped != skippedRevisions.end() && skipped->second > aNow;
      if (CanActivate(aRevision, aDigestPrefix) && !skip && (!best || aRevision > best->revision)) {
        best = { aRevision, aDigestPrefix, aFromStore };
      }
    };
    consider(head.revision, DigestPrefix(head.digest), true);
    for (const auto& [host, peer] : peers) {
      if (aNow - peer.receivedAt < kPeerTimeout) {
        consider(peer.revision, peer.digestPrefix, false);
      }
    }
    return best;
  }

  void FetchBestCandidate(TimePoint aNow)
  {
    const auto candidate = BestCandidate(aNow);
    if (!candidate || fetching || (request && aNow - request->sentAt < kRequestTimeout)) {
      return;
    }
    if (candidate->fromStore && aNow >= objectRetryAt) {
      return FetchFromStore(head);
    }
    // A body is requested from a peer only if the store cannot supply it: its object could not be
    // read, the store is unavailable, or a poll sent after the peer announced the revision did not
    // return it.
    if (candidate->fromStore || !storeAvailable || lastPollSentAt >= announcedAt) {
      RequestFromPeer(*candidate, aNow);
    }
  }

  void FetchFromStore(const ConfigurationHead& aHead)
  {
    fetching = true;
    init.platform->GetObject(
      ConfigurationObjectName(aHead.digest),
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aHead](Impl& aSelf, const Result<std::string>& aBody) {
        aSelf.fetching = false;
        if (aBody && Sha256Hex(*aBody) == aHead.digest) {
          aSelf.ValidateAndActivate(aHead, *aBody);
          return;
        }
        Log(LogLevel::Warning,
            "config_body_unavailable",
            { { "revision", aHead.revision },
              { "reason", aBody ? "digest mismatch" : ToString(aBody.Failure()) } });
        aSelf.objectRetryAt = aSelf.init.now() + kRequestTimeout;
        aSelf.FetchBestCandidate(aSelf.init.now());
      }));
  }

  void RequestFromPeer(const Candidate& aCandidate, TimePoint aNow)
  {
    std::vector<std::string> sources;
    for (const auto& [host, peer] : peers) {
      if (peer.revision == aCandidate.revision && peer.digestPrefix == aCandidate.digestPrefix &&
          aNow - peer.receivedAt < kPeerTimeout) {
        sources.push_back(host);
      }
    }
    if (sources.empty()) {
      return;
    }
    const bool isRetry = request && request->revision == aCandidate.revision;
    const int count = isRetry ? request->count + 1 : 1;
    if (count > kMaxRequests) {
      skippedRevisions[aCandidate.revision] = aNow + kRevisionSkipTime;
      request.reset();
      return;
    }
    // The first peer depends on the name of this host, so that requests are spread over the peers.
    const size_t start = Hash64(init.sender->Host()) % sources.size();
    const std::string& host = sources[(start + static_cast<size_t>(count)) % sources.size()];
    request = BodyRequest{ host, aCandidate.revision, aCandidate.digestPrefix, aNow, count };
    init.sender->Send(host, ConfigurationRequest{ aCandidate.revision });
  }

  void HandleReply(const std::string& aSender, const ConfigurationReply& aReply)
  {
    if (!request || request->host != aSender || aReply.revision < request->revision) {
      return;
    }
    const bool digestExpected =
      aReply.revision == request->revision
        ? DigestPrefix(aReply.digest) == request->digestPrefix
        : aReply.revision != head.revision || aReply.digest == head.digest;
    request.reset();
    if (!digestExpected || Sha256Hex(aReply.body) != aReply.digest) {
      Log(LogLevel::Warning, "config_reply_refused", { { "peer", aSender } });
      return;
    }
    ValidateAndActivate({ aReply.revision, aReply.digest, aReply.changeId }, aReply.body);
  }

  /// Validates a body whose digest matches and activates it if its revision is higher.
  void ValidateAndActivate(const ConfigurationHead& aHead, const std::string& aBody)
  {
    const uint64_t digestPrefix = DigestPrefix(aHead.digest);
    if (!CanActivate(aHead.revision, digestPrefix)) {
      return;
    }
    const std::string problem = init.validate ? init.validate(aBody) : "";
    if (!problem.empty()) {
      rejectedPrefixes.insert(digestPrefix);
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
    skippedRevisions.clear();
    ++stats.activated;
    Log(LogLevel::Info, "config_in_force", { { "revision", revision }, { "digest", digest } });
    detail::Notify(init.onActivated, revision, digest, body);
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

  void HandleHeartbeat(const std::string& aSender, const Heartbeat& aHeartbeat)
  {
    const TimePoint now = init.now();
    lastPeerContact = now;
    if (aHeartbeat.state == ProxyState::Leaving) {
      peers.erase(aSender);
      return;
    }
    peers[aSender] = { aHeartbeat.revision, aHeartbeat.digestPrefix, now };
    if (aHeartbeat.revision == revision && revision != 0 &&
        aHeartbeat.digestPrefix != DigestPrefix(digest)) {
      ReportFork(aSender, aHeartbeat.digestPrefix);
    }
    if (aHeartbeat.revision > std::max({ revision, head.revision, announcedRevision })) {
      announcedRevision = aHeartbeat.revision;
      announcedAt = now;
      // Polls at once for the new revision, unless the store is unavailable and the backoff
      // applies.
      nextPoll = storeAvailable ? now : nextPoll;
    }
  }

  void HandleRequest(const std::string& aSender, const ConfigurationRequest& aRequest)
  {
    const TimePoint now = init.now();
    const auto last = lastReplies.find(aSender);
    const bool tooSoon = last != lastReplies.end() && now - last->second < kMinReplyInterval;
    if (revision == 0 || revision < aRequest.revision || tooSoon) {
      return;
    }
    lastReplies[aSender] = now;
    init.sender->Send(aSender, ConfigurationReply{ revision, digest, changeId, body });
  }

  void RemoveExpiredPeers(TimePoint aNow)
  {
    if (aNow - lastStoreContact < init.isolationTimeout) {
      std::erase_if(peers, [&](const auto& aPeer) {
        return aNow - aPeer.second.receivedAt >= kPeerRemovalTimeout;
      });
    }
  }

  /// A new proxy is initialized once startupWait has passed, the store or a peer has responded, and
  /// no higher revision is available.
  void UpdateInitialized(TimePoint aNow)
  {
    if (!startedAt) {
      startedAt = aNow;
    }
    const bool hasResponse = headRead || !peers.empty();
    initialized = initialized || (revision != 0 && hasResponse &&
                                  aNow - *startedAt >= init.startupWait && !BestCandidate(aNow));
  }

  ConfigurationSyncInit init;
  ConfigurationSyncStats stats;
  uint64_t revision = 0;
  std::string digest;
  std::string changeId;
  std::string body;

  ConfigurationHead head; ///< Last head that was read.
  bool headRead = false;
  bool storeAvailable = true;
  bool polling = false;
  Milliseconds backoff{ 0 };
  TimePoint nextPoll;
  TimePoint lastPollSentAt;
  TimePoint lastStoreContact;               ///< Send time of the last poll that the store answered.
  std::optional<uint64_t> regressedVersion; ///< Row version of a head below the active revision.
  TimePoint repairAt;
  bool repairing = false;

  bool fetching = false;
  TimePoint objectRetryAt;
  std::optional<BodyRequest> request;
  std::map<uint64_t, TimePoint> skippedRevisions; ///< Time until which each is not requested.
  std::set<uint64_t> rejectedPrefixes;            ///< Digest prefixes of invalid bodies.
  /// Revision and digest prefix of each fork that was reported.
  std::set<std::pair<uint64_t, uint64_t>> reportedForks;

  std::map<std::string, PeerRevision> peers;
  std::map<std::string, TimePoint> lastReplies; ///< Send time of the last body to each peer.
  uint64_t announcedRevision = 0;               ///< Highest new revision in a heartbeat.
  TimePoint announcedAt;
  TimePoint lastPeerContact;
  std::optional<TimePoint> startedAt;
  bool initialized = false;
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
  impl_->RemoveExpiredPeers(aNow);
  impl_->FetchBestCandidate(aNow);
  impl_->UpdateInitialized(aNow);
}

void ConfigurationSync::Handle(const PeerMessage& aMessage)
{
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage.body)) {
    impl_->HandleHeartbeat(aMessage.sender, *heartbeat);
  } else if (const auto* request = std::get_if<ConfigurationRequest>(&aMessage.body)) {
    impl_->HandleRequest(aMessage.sender, *request);
  } else if (const auto* reply = std::get_if<ConfigurationReply>(&aMessage.body)) {
    impl_->HandleReply(aMessage.sender, *reply);
  }
}

bool ConfigurationSync::Ready(TimePoint aNow) const
{
  const TimePoint lastContact = std::max(impl_->lastStoreContact, impl_->lastPeerContact);
  const bool isolated = !impl_->peers.empty() && aNow - lastContact >= impl_->init.isolationTimeout;
  return impl_->initialized && !isolated;
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
