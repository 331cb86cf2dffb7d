#include <algorithm>

#include "control_p.h"

namespace bg::fleet::detail {

namespace {

/// Longest wait for an answer of the store; a slow store answers after several 100 ms.
constexpr Duration kStoreDeadline = Milliseconds(1500);
/// A configuration of 1,000 routes has 300 KB, which a host with a narrow link needs over 2 s for.
constexpr Duration kDocumentDeadline = std::chrono::seconds(4);
/// Pause between attempts to register this host or to read the members, plus a random part against
/// synchronised retries. Hosts that are up are found through the seeds meanwhile.
constexpr Duration kRegisterPause = Milliseconds(1500);
/// How long the store holds back the answer to a watch. The watching host may be turned away or its
/// open connection may go silent, and a change is to be in force within 2 s all the same.
constexpr Duration kWatchWait = Milliseconds(700);
/// Time for the answer to a watch beyond the wait; without an answer the table is read.
constexpr Duration kWatchGrace = Milliseconds(500);
/// Hosts that missed a new peer's greeting find it in the store.
constexpr Duration kMembersInterval = std::chrono::seconds(60);
/// A host that starts waits so long for the answers of peers, and a step for each host before it.
constexpr Duration kStartWait = Milliseconds(250);
constexpr Duration kStartStep = Milliseconds(60);
constexpr size_t kMaxStartRank = 20;
/// More changes at once, as at the start, are one line with their number.
constexpr size_t kMaxLoggedUpstreams = 32;
/// Table in which the hosts of the fleet register.
constexpr std::string_view kMembersTable = "members";

std::string MemberRow(const Member& aMember)
{
  std::string row;
  ToWire(aMember).SerializeToString(&row);
  return row;
}

/// Whether two runs of a host are reached and ranked in the same way.
bool IsSamePlace(const Member& aLeft, const Member& aRight)
{
  return aLeft.host == aRight.host && aLeft.address == aRight.address &&
         aLeft.port == aRight.port && aLeft.failureDomain == aRight.failureDomain &&
         aLeft.capacity == aRight.capacity;
}

} // namespace

/// Reads what is due, when no other host has told it.
void FleetControl::ReadStore(TimePoint aNow)
{
  if (aNow >= nextMembersRead_) {
    init_.isFirstStart && !isRegistered_ ? Register() : ReadMembers();
  }
  if (!registry_.IsKnown() || revision_ == 0) {
    return ReadAtStart(aNow);
  }
  const size_t rank = members_->Rank(aNow);
  const size_t domainRank = members_->DomainRank();
  const Duration delay = schedule_.Delay(rank, domainRank);
  if (aNow >= schedule_.Next(delay, registry_.LastFresh(), lastReadFailure_, readFailures_)) {
    ReadUpstreams();
  }
  if (readFailures_ > 0) {
    return; // The registry is read until the store is back, and then the configuration.
  }
  if (rank == 0 && domainRank == 0) {
    WatchConfiguration();
  } else if (aNow - configurationFresh_ > kConfigurationStale + delay) {
    ReadConfiguration();
  }
}

/// Peers are asked first; when all hosts start together, a few read the store for the others.
void FleetControl::ReadAtStart(TimePoint aNow)
{
  const auto rank = static_cast<int64_t>(std::min(members_->KnownRank(), kMaxStartRank));
  // Callers wait for a host that starts again; only the first start has time.
  const Duration wait = init_.isFirstStart ? kStartWait + kStartStep * rank : Duration(0);
  const TimePoint due = startedAt_ + wait;
  const TimePoint next =
    readFailures_ == 0 ? due : schedule_.Next(Duration(0), due, lastReadFailure_, readFailures_);
  if (aNow < next || (init_.isFirstStart && !isRegistered_)) {
    return;
  }
  if (revision_ == 0) {
    ReadConfiguration();
  }
  // While the store fails, one call at a time finds out when it is back.
  if (!registry_.IsKnown() && (readFailures_ == 0 || revision_ != 0)) {
    ReadUpstreams();
  }
}

void FleetControl::NoteStoreResult(bool aIsUp, const Error* aError)
{
  readFailures_ = aIsUp ? 0 : readFailures_ + 1;
  lastReadFailure_ = Now();
  if (aIsUp == isStoreUp_) {
    return;
  }
  isStoreUp_ = aIsUp;
  Log(aIsUp ? LogLevel::Info : LogLevel::Warning,
      aIsUp ? "store_regained" : "store_lost",
      { { "step", aError == nullptr ? "" : aError->step },
        { "peer", aError == nullptr ? "" : aError->peer },
        { "error", aError == nullptr ? "" : aError->code.message() },
        { "detail", aError == nullptr ? "" : aError->detail },
        { "registry_version", registry_.Version() },
        { "revision", revision_ } });
}

/// Writes this host's row and then reads those of the others.
void FleetControl::Register()
{
  nextMembersRead_ = TimePoint::max();
  const Member& self = members_->Self();
  platform_.store->Put(kMembersTable,
                       self.host,
                       MemberRow(self),
                       kStoreDeadline,
                       [this](const Result<uint64_t>& aResult) {
                         if (!aResult) {
                           return OnMembersFailure(aResult.Failure());
                         }
                         isRegistered_ = true;
                         ReadMembers();
                       });
}

/// Hosts that are up already know the others.
void FleetControl::OnMembersFailure(const Error& aError)
{
  NoteStoreResult(false, &aError);
  nextMembersRead_ = Now() + kRegisterPause + Jitter(kRegisterPause);
  if (isRegistered_) {
    return;
  }
  for (const std::string& seed : init_.seeds) {
    if (seed != init_.address) {
      transport_->SetPeer("seed " + seed, seed, init_.peerPort);
      SendHello("seed " + seed, true);
    }
  }
}

void FleetControl::ReadMembers()
{
  nextMembersRead_ = TimePoint::max();
  platform_.store->Read(kMembersTable, kStoreDeadline, [this](const Result<StoreRows>& aRows) {
    if (!aRows) {
      return OnMembersFailure(aRows.Failure());
    }
    nextMembersRead_ = Now() + kMembersInterval + Jitter(kMembersInterval);
    nextAsk_ = Now();
    for (const StoreRow& row : aRows->rows) {
      wire::Member member;
      if (!member.ParseFromString(row.value) || member.host() != row.key) {
        Log(LogLevel::Warning, "member_unreadable", { { "key", row.key } });
        continue;
      }
      // The row of an earlier run of this host is as good as a new one.
      isRegistered_ = isRegistered_ || IsSamePlace(FromWire(member), members_->Self());
      AddMember(FromWire(member));
    }
    if (!isRegistered_) {
      Register();
    }
  });
}

void FleetControl::ReadUpstreams()
{
  if (isReadingUpstreams_) {
    return;
  }
  isReadingUpstreams_ = true;
  const bool isMerge = registry_.CanMerge(Now());
  auto callback = [this, isMerge, askedAt = Now()](const Result<StoreRows>& aRows) {
    isReadingUpstreams_ = false;
    if (askedAt < resumedAt_) {
      return ReadUpstreams(); // The answer may be as old as the stall was long.
    }
    if (isMerge && !aRows && aRows.Failure().code == make_error_code(Errc::NotFound)) {
      registry_.RequireFullRead(); // The store has dropped the history.
      return ReadUpstreams();
    }
    NoteStoreResult(static_cast<bool>(aRows), aRows ? nullptr : &aRows.Failure());
    if (aRows) {
      OnUpstreamRows(*aRows, isMerge);
    }
  };
  if (isMerge) {
    platform_.store->Watch(platform_.upstreamTable,
                           registry_.Version(),
                           Duration(0),
                           kStoreDeadline,
                           std::move(callback));
  } else {
    platform_.store->Read(platform_.upstreamTable, kStoreDeadline, std::move(callback));
  }
}

void FleetControl::OnUpstreamRows(const StoreRows& aRows, bool aIsMerge)
{
  std::vector<EntryChange> entries;
  for (const StoreRow& row : aRows.rows) {
    EntryChange& entry = entries.emplace_back(EntryChange{ row.key, std::nullopt });
    if (row.isDeleted) {
      continue;
    }
    auto upstream = platform_.parseUpstream(row.key, row.value);
    if (upstream) {
      entry.upstream = std::move(*upstream);
    } else if (registry_.Find(row.key) != nullptr || !registry_.IsKnown()) {
      Log(LogLevel::Warning,
          "upstream_unreadable",
          { { "upstream", row.key }, { "detail", upstream.Failure().detail } });
    }
  }
  const RegistryChange change = aIsMerge ? registry_.Merge(entries, aRows.version, Now())
                                         : registry_.Replace(entries, aRows.version, Now());
  OnRegistryChange(change, "store");
  ShareView(change, false);
}

void FleetControl::LogUpstreams(const RegistryChange& aChange, std::string_view aSource) const
{
  for (const RegisteredUpstream& upstream : aChange.changed) {
    Log(LogLevel::Info,
        "upstream_changed",
        { { "upstream", upstream.id },
          { "service", upstream.service },
          { "draining", upstream.isDraining },
          { "version", registry_.Version() },
          { "source", aSource } });
  }
  for (const std::string& id : aChange.removed) {
    Log(LogLevel::Info,
        "upstream_removed",
        { { "upstream", id }, { "version", registry_.Version() }, { "source", aSource } });
  }
}

void FleetControl::OnRegistryChange(const RegistryChange& aChange, std::string_view aSource)
{
  if (aChange.Empty()) {
    return;
  }
  if (aChange.changed.size() + aChange.removed.size() > kMaxLoggedUpstreams) {
    Log(LogLevel::Info,
        "upstreams_changed",
        { { "changed", aChange.changed.size() },
          { "removed", aChange.removed.size() },
          { "upstreams", registry_.Upstreams().size() },
          { "version", registry_.Version() },
          { "source", aSource } });
  } else {
    LogUpstreams(aChange, aSource);
  }
  slots_->Update(Now());
  nextHeartbeat_ = {}; // The allocators may have changed.
}

void FleetControl::ReadConfiguration()
{
  if (isReadingConfiguration_) {
    return;
  }
  isReadingConfiguration_ = true;
  platform_.store->Read(platform_.configurationTable,
                        kDocumentDeadline,
                        [this, askedAt = Now()](const Result<StoreRows>& aRows) {
                          isReadingConfiguration_ = false;
                          if (askedAt < resumedAt_) {
                            return ReadConfiguration();
                          }
                          NoteStoreResult(static_cast<bool>(aRows),
                                          aRows ? nullptr : &aRows.Failure());
                          if (!aRows && !newerConfigurationAt_.empty()) {
                            SendHello(newerConfigurationAt_, true);
                          }
                          newerConfigurationAt_.clear();
                          OnConfigurationRows(aRows);
                        });
}

void FleetControl::WatchConfiguration()
{
  if (isWatching_ || isReadingConfiguration_) {
    return;
  }
  isWatching_ = true;
  platform_.store->Watch(platform_.configurationTable,
                         configurationVersion_,
                         kWatchWait,
                         kWatchGrace,
                         [this, askedAt = Now()](const Result<StoreRows>& aRows) {
                           isWatching_ = false;
                           if (!aRows || askedAt < resumedAt_) {
                             // The change that the answer would have told may be in the table.
                             ReadConfiguration();
                             return;
                           }
                           OnConfigurationRows(aRows);
                         });
}

void FleetControl::OnConfigurationRows(const Result<StoreRows>& aRows)
{
  if (!aRows) {
    return;
  }
  configurationFresh_ = Now();
  const StoreRow* newest = nullptr;
  for (const StoreRow& row : aRows->rows) {
    const bool isCurrent = row.key == platform_.configurationKey && !row.isDeleted;
    if (isCurrent && (newest == nullptr || row.version > newest->version)) {
      newest = &row;
    }
  }
  const bool isNew =
    newest != nullptr && AdoptConfiguration(newest->version, newest->value, "store");
  ShareView({}, isNew);
}

bool FleetControl::AdoptConfiguration(uint64_t aVersion,
                                      std::string_view aDocument,
                                      std::string_view aSource)
{
  if (aVersion <= configurationVersion_) {
    return false;
  }
  auto configuration = platform_.parseConfiguration(aDocument);
  if (!configuration) {
    Log(LogLevel::Error,
        "configuration_rejected",
        { { "store_version", aVersion },
          { "source", aSource },
          { "detail", configuration.Failure().detail },
          { "revision_in_force", revision_ } });
    return false;
  }
  if (configuration->revision <= revision_) {
    return false;
  }
  configurationVersion_ = aVersion;
  revision_ = configuration->revision;
  document_ = aDocument;
  shared_.routes.store(std::make_shared<const HostRoutes>(
    std::make_shared<const FleetConfiguration>(std::move(*configuration))));
  Log(LogLevel::Info,
      "configuration_adopted",
      { { "revision", revision_ },
        { "store_version", aVersion },
        { "source", aSource },
        { "routes", shared_.routes.load()->Configuration().routes.size() } });
  if (shared_.onRoutes) {
    shared_.onRoutes();
  }
  return true;
}

} // namespace bg::fleet::detail
