#include <algorithm>

#include "control_p.h"

namespace bg::fleet::detail {

namespace {

/// Deadline of a call to the store. A slow store takes several 100 ms to respond.
constexpr Duration kStoreDeadline = Milliseconds(1500);
/// Delay between attempts to register this host or to read the members. Jitter of up to the same
/// length is added, so that hosts do not retry in step. In the meantime, running hosts are found
/// through the seeds.
constexpr Duration kRegisterRetryDelay = Milliseconds(1500);
/// After a restore of the store, hosts read their own rows within this time per host of the fleet.
constexpr Duration kRegistrationCheckStep = Milliseconds(10);
/// Interval at which the host that reads the store looks for new members.
constexpr Duration kMemberChangesInterval = std::chrono::seconds(1);
/// A host that starts waits this long for the state of a peer before it reads the store, plus a
/// step for each host that comes first. The first hosts read at once if they are restarted.
constexpr Duration kStartReadDelay = Milliseconds(250);
constexpr Duration kStartReadStep = Milliseconds(60);
constexpr size_t kMaxStartOrder = 50; ///< Hosts of a higher order wait no longer.
constexpr size_t kFirstReaders = 6;
/// Hosts with this capacity, in percent of a core, read and share the state fastest.
constexpr uint32_t kStrongCapacity = 40;
/// Time for the last registrations of a first start.
constexpr Duration kRegisterMargin = Milliseconds(500);
/// A host that cannot read the members for this long reads the upstreams without them.
constexpr Duration kMaxMembersWait = Milliseconds(300);
/// A larger change, as at the start, is logged as one line with the numbers of upstreams.
constexpr size_t kMaxLoggedUpstreams = 8;
/// Reads of the upstreams that are dropped are logged no more often than this.
constexpr Duration kDroppedReadLogInterval = std::chrono::seconds(1);
/// Table in which the hosts of the fleet register.

std::string SerializeMember(const Member& aMember)
{
  std::string row;
  ToWire(aMember).SerializeToString(&row);
  return row;
}

/// Whether two incarnations of a host have the same address and the same place in rankings.
bool IsSameRegistration(const Member& aLeft, const Member& aRight)
{
  return aLeft.host == aRight.host && aLeft.address == aRight.address &&
         aLeft.port == aRight.port && aLeft.failureDomain == aRight.failureDomain &&
         aLeft.capacity == aRight.capacity && aLeft.relayPort == aRight.relayPort;
}

} // namespace

/// Reads the tables that are due. A table is not due while peers supply its current state.
void FleetControl::ReadStore(TimePoint aNow)
{
  if (aNow >= nextMembersRead_) {
    init_.isFirstStart && !isRegistered_ ? Register() : ReadMembers();
  }
  if (!registry_.HasState() || revision_ == 0) {
    return ReadAtStart(aNow);
  }
  if (aNow >= nextRegistrationCheck_ && storeFailures_ == 0) {
    CheckRegistration();
  }
  const ReadSchedule::Contact contact = PeerContact(aNow);
  const Duration delay = schedule_.ReadDelay(
    { .order = spreader_->Tree().Order(), .hosts = members_->Count(), .isReader = isReader_ },
    contact);
  if (aNow >= schedule_.NextRead(delay, registry_.FreshAt(), lastStoreFailure_, storeFailures_)) {
    ReadUpstreams();
  }
  const bool isRetryDue =
    aNow >= schedule_.NextRead(Duration(0), TimePoint{}, lastStoreFailure_, storeFailures_);
  if (storeFailures_ > 0 && (isReadingUpstreams_ || !isRetryDue)) {
    return; // One call at a time until the store responds again.
  }
  if (isReader_) {
    WatchConfiguration();
    ReadMemberChanges();
  } else if (aNow - configurationFreshAt_ > configurationSchedule_.CheckAge(contact, delay)) {
    CheckConfiguration();
  }
}

ReadSchedule::Contact FleetControl::PeerContact(TimePoint aNow) const
{
  if (aNow - heardFreshAt_ <= schedule_.SilenceLimit()) {
    return ReadSchedule::Contact::Recent;
  }
  if (aNow - peerStoreFailureAt_ <= schedule_.failurePeriod) {
    return ReadSchedule::Contact::Failing;
  }
  if (!spreader_->IsConnected(aNow)) {
    return ReadSchedule::Contact::Isolated;
  }
  return ReadSchedule::Contact::Silent;
}

/// Reads the tables of which this host has no state yet. When all hosts start together, the hosts
/// of the lowest ranks read first and share the state, which spares the others the reads.
void FleetControl::ReadAtStart(TimePoint aNow)
{
  if (init_.isFirstStart && !hasReadMembers_ && aNow - MembersReadStart() < kMaxMembersWait) {
    return;
  }
  const size_t order = std::min(spreader_->Tree().Order(), kMaxStartOrder);
  const bool isFirstReader =
    !init_.isFirstStart && (order < kFirstReaders || members_->Count() <= init_.maxDirectReaders ||
                            init_.capacity >= kStrongCapacity);
  const Duration wait =
    isFirstReader ? Duration(0) : kStartReadDelay + kStartReadStep * static_cast<int64_t>(order);
  const TimePoint firstRead = std::max(startedAt_, membersReadAt_) + wait;
  const TimePoint next =
    storeFailures_ == 0
      ? firstRead
      : schedule_.NextRead(Duration(0), firstRead, lastStoreFailure_, storeFailures_);
  // The order is known once the members are.
  const bool isOrderKnown = hasReadMembers_ || aNow - startedAt_ > kMaxMembersWait;
  if (!isOrderKnown || aNow < next) {
    return;
  }
  if (revision_ == 0) {
    ReadConfiguration();
  }
  // While the store fails, only one call at a time probes whether it has recovered.
  if (!registry_.HasState() && (storeFailures_ == 0 || revision_ != 0)) {
    ReadUpstreams();
  }
}

void FleetControl::RecordStoreResult(bool aIsAvailable, const Error* aError)
{
  storeFailures_ = aIsAvailable ? 0 : storeFailures_ + 1;
  if (!aIsAvailable) {
    registry_.RecordStoreTrouble(Now());
    ownStoreFailureAt_ = Now();
  }
  isReader_ = isReader_ && aIsAvailable;
  lastStoreFailure_ = Now();
  if (aIsAvailable == isStoreAvailable_) {
    return;
  }
  isStoreAvailable_ = aIsAvailable;
  Log(aIsAvailable ? LogLevel::Info : LogLevel::Warning,
      aIsAvailable ? "store_regained" : "store_lost",
      { { "step", aError == nullptr ? "" : aError->step },
        { "peer", aError == nullptr ? "" : aError->peer },
        { "error", aError == nullptr ? "" : aError->code.message() },
        { "detail", aError == nullptr ? "" : aError->detail },
        { "registry_version", registry_.Position().version },
        { "revision", revision_ } });
}

void FleetControl::RecordStoreEpoch(uint64_t aEpoch, std::string_view aSource)
{
  if (storeEpoch_ && aEpoch <= *storeEpoch_) {
    return;
  }
  const std::optional<uint64_t> previous = std::exchange(storeEpoch_, aEpoch);
  if (!previous) {
    return;
  }
  Log(LogLevel::Warning,
      "store_epoch_changed",
      { { "epoch", aEpoch },
        { "previous", *previous },
        { "source", aSource },
        { "registry_version", registry_.Position().version },
        { "registry_epoch", registry_.Position().epoch },
        { "revision", revision_ },
        { "configuration_version", document_.Id().position.version } });
  nextRegistrationCheck_ =
    Now() + Jitter(kRegistrationCheckStep * static_cast<int64_t>(members_->Count()));
}

void FleetControl::CheckRegistration()
{
  nextRegistrationCheck_ = TimePoint::max();
  platform_.store->ReadRow(
    kMembersTable, init_.host, kStoreDeadline, [this](const Result<StoreRows>& aRows) {
      if (!aRows) {
        nextRegistrationCheck_ = Now() + kRegisterRetryDelay + Jitter(kRegisterRetryDelay);
        return;
      }
      wire::Member member;
      const bool isPresent = !aRows->rows.empty() &&
                             member.ParseFromString(aRows->rows.front().value) &&
                             IsSameRegistration(FromWire(member), members_->Self());
      if (!isPresent) {
        Log(LogLevel::Warning, "registration_lost", { { "epoch", aRows->position.epoch } });
        isRegistered_ = false;
        Register();
      }
    });
}

/// Writes the row of this host, then reads the rows of all members.
void FleetControl::Register()
{
  nextMembersRead_ = TimePoint::max();
  const Member& self = members_->Self();
  platform_.store->Put(kMembersTable,
                       self.host,
                       SerializeMember(self),
                       kStoreDeadline,
                       [this](const Result<StorePosition>& aResult) {
                         if (!aResult) {
                           return OnMembersFailure(aResult.Failure());
                         }
                         if (aResult->epoch < StoreEpoch()) {
                           nextRegistrationCheck_ = Now(); // The write may have been lost.
                         }
                         isRegistered_ = true;
                         nextMembersRead_ = std::max(Now(), MembersReadStart());
                       });
}

/// Schedules a retry and, until this host is registered, asks the seeds for their members and
/// state.
void FleetControl::OnMembersFailure(const Error& aError)
{
  RecordStoreResult(false, &aError);
  nextMembersRead_ = Now() + kRegisterRetryDelay + Jitter(kRegisterRetryDelay);
  if (isRegistered_) {
    return;
  }
  for (const std::string& seed : init_.seeds) {
    if (seed != init_.address) {
      const std::string peer = "seed " + seed;
      ConnectSeed(peer, seed);
      AskForState(peer, true);
    }
  }
}

/// When the hosts that start together have registered.
TimePoint FleetControl::MembersReadStart() const
{
  return startedAt_ + (init_.isFirstStart ? kRegisterSpread + kRegisterMargin : Duration(0));
}

void FleetControl::ReadMembers()
{
  nextMembersRead_ = TimePoint::max();
  platform_.store->Read(kMembersTable, kStoreDeadline, [this](const Result<StoreRows>& aRows) {
    if (!aRows) {
      return OnMembersFailure(aRows.Failure());
    }
    hasReadMembers_ = true;
    membersReadAt_ = Now();
    membersPosition_ = aRows->position;
    for (const StoreRow& row : aRows->rows) {
      if (LoadSuspect(row)) {
        continue;
      }
      wire::Member member;
      if (!member.ParseFromString(row.value) || member.host() != row.key) {
        Log(LogLevel::Warning, "member_unreadable", { { "key", row.key } });
        continue;
      }
      // The row of an earlier incarnation of this host is reused if nothing else has changed.
      isRegistered_ = isRegistered_ || IsSameRegistration(FromWire(member), members_->Self());
      AddMember(FromWire(member));
    }
    if (!isRegistered_) {
      Register();
    }
  });
}

/// Reads the members that have registered since the last read and makes them known to all hosts.
void FleetControl::ReadMemberChanges()
{
  const TimePoint now = Now();
  if (now < nextMemberChangesRead_ || !hasReadMembers_) {
    return;
  }
  nextMemberChangesRead_ = now + kMemberChangesInterval;
  platform_.store->Watch(kMembersTable,
                         membersPosition_,
                         Duration(0),
                         kStoreDeadline,
                         [this](const Result<StoreRows>& aRows) {
                           if (!aRows) {
                             // The reads of the upstreams report an unavailable store.
                             const bool isHistoryGone =
                               aRows.Failure().code == make_error_code(Errc::NotFound);
                             nextMembersRead_ = isHistoryGone ? Now() : nextMembersRead_;
                             return;
                           }
                           membersPosition_ = std::max(membersPosition_, aRows->position);
                           std::vector<std::string> joined;
                           for (const StoreRow& row : aRows->rows) {
                             if (row.isDeleted || LoadSuspect(row)) {
                               continue;
                             }
                             wire::Member member;
                             if (member.ParseFromString(row.value) && member.host() == row.key) {
                               AddMember(FromWire(member));
                               joined.push_back(row.key);
                             }
                           }
                           if (!joined.empty()) {
                             ShareView({}, false, joined);
                           }
                         });
}

void FleetControl::ReadUpstreams()
{
  if (isReadingUpstreams_) {
    return;
  }
  isReadingUpstreams_ = true;
  const bool isIncremental = registry_.CanReadChanges(Now());
  auto callback = [this, isIncremental, requestedAt = Now()](const Result<StoreRows>& aRows) {
    if (requestedAt < resumedAt_) {
      return; // RevalidateAfterPause() has started another read.
    }
    isReadingUpstreams_ = false;
    if (isIncremental && !aRows && aRows.Failure().code == make_error_code(Errc::NotFound)) {
      registry_.RequireFullRead(); // The store no longer has the changes since that version.
      return ReadUpstreams();
    }
    RecordStoreResult(static_cast<bool>(aRows), aRows ? nullptr : &aRows.Failure());
    if (aRows) {
      OnUpstreamRows(*aRows, isIncremental);
    } else if (spreader_->Tree().Order() < kStandbyReaders) {
      ShareView({}, false); // Shows the others that they are connected to the fleet.
    }
  };
  if (isIncremental) {
    platform_.store->Watch(platform_.upstreamTable,
                           registry_.Position(),
                           Duration(0),
                           kStoreDeadline,
                           std::move(callback));
  } else {
    platform_.store->Read(platform_.upstreamTable, kStoreDeadline, std::move(callback));
  }
}

void FleetControl::OnUpstreamRows(const StoreRows& aRows, bool aIsIncremental)
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
    } else if (registry_.Find(row.key) != nullptr || !registry_.HasState()) {
      Log(LogLevel::Warning,
          "upstream_unreadable",
          { { "upstream", row.key }, { "detail", upstream.Failure().detail } });
    }
  }
  if (aRows.position < registry_.Position() &&
      Now() - lastDroppedReadLog_ >= kDroppedReadLogInterval) {
    lastDroppedReadLog_ = Now();
    Log(LogLevel::Warning,
        "upstreams_read_dropped",
        { { "version", aRows.position.version },
          { "epoch", aRows.position.epoch },
          { "registry_version", registry_.Position().version },
          { "registry_epoch", registry_.Position().epoch },
          { "upstreams", aRows.rows.size() } });
  }
  const RegistryChange change = aIsIncremental
                                  ? registry_.ApplyChanges(entries, aRows.position, Now())
                                  : registry_.ApplySnapshot(entries, aRows.position, Now());
  isReader_ = true;
  readerOrder_ = static_cast<uint32_t>(spreader_->Tree().Order() + 1);
  ShareView(change, false);
  OnRegistryChange(change, "store");
}

void FleetControl::LogUpstreamChanges(const RegistryChange& aChange, std::string_view aSource) const
{
  for (const RegisteredUpstream& upstream : aChange.changed) {
    Log(LogLevel::Info,
        "upstream_changed",
        { { "upstream", upstream.id },
          { "service", upstream.service },
          { "draining", upstream.isDraining },
          { "version", registry_.Position().version },
          { "source", aSource } });
  }
  for (const std::string& id : aChange.removed) {
    Log(LogLevel::Info,
        "upstream_removed",
        { { "upstream", id }, { "version", registry_.Position().version }, { "source", aSource } });
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
          { "version", registry_.Position().version },
          { "source", aSource } });
  } else {
    LogUpstreamChanges(aChange, aSource);
  }
  slots_->UpdateUpstreams(Now());
  arePeersConnected_ = false; // The shards may have changed.
}

} // namespace bg::fleet::detail
