#include <algorithm>

#include "coordination_p.h"
#include "permit_rules_p.h"

namespace bg {

using detail::LocalPermit;
using detail::PermitSnapshot;
using detail::PermitState;

namespace {

/// A conflict response carries the current row, so the next attempt starts at once without a read.
/// After this many consecutive conflicts the row is contended, and the next Tick() retries.
constexpr int kMaxCommitAttempts = 4;
constexpr Milliseconds kCommitRetryDelay{ 500 };

struct ServiceState
{
  PermitSnapshot snapshot;
  detail::LocalPermits localPermits;
  detail::MissingEntries missingEntries;
  bool callInProgress = false; ///< A commit, or the read that resolves its outcome, is in progress.
  TimePoint retryAt;
};

struct Event
{
  PermitEvent type;
  std::string service;
  std::string upstream;
};

} // namespace

struct EjectionPermits::Impl : std::enable_shared_from_this<EjectionPermits::Impl>
{
  explicit Impl(EjectionPermitsInit aInit)
    : init(std::move(aInit))
  {
  }

  /// The hook may call Acquire() or Release(), so the caller must hold no reference into
  /// `services`.
  void DeliverEvents(const std::vector<Event>& aEvents)
  {
    for (const Event& event : aEvents) {
      stats.granted += event.type == PermitEvent::Granted ? 1 : 0;
      stats.leasesLost += event.type == PermitEvent::LeaseLost ? 1 : 0;
      detail::Notify(init.onEvent, event.type, event.service, event.upstream);
    }
  }

  TimePoint Deadline(const EjectionEntry& aEntry, const PermitSnapshot& aSnapshot) const
  {
    return detail::EntryDeadline(aEntry, aSnapshot, init.lease);
  }

  void Poll(TimePoint aNow)
  {
    polling = true;
    nextPoll = aNow + init.pollInterval;
    init.platform->Scan(
      kEjectionsPrefix,
      init.callDeadline,
      detail::Guarded(shared_from_this(), [aNow](Impl& aSelf, const Result<ScanReply>& aReply) {
        aSelf.polling = false;
        if (aReply) {
          aSelf.ApplyScan(*aReply, aNow);
        }
      }));
  }

  void ApplyScan(const ScanReply& aReply, TimePoint aSentAt)
  {
    std::map<std::string_view, const TableRow*> rows;
    for (const TableRow& row : aReply.rows) {
      rows[row.key] = &row;
    }
    for (const std::string& service : init.services()) {
      const auto row = rows.find(EjectionsKey(service));
      ApplyRow(service, row == rows.end() ? TableRow() : *row->second, aReply.nowMs, aSentAt);
    }
  }

  /// Responses may arrive out of order. A lower version is accepted only when it was requested
  /// after the higher one had arrived, because then the table was restored from an older copy.
  static bool IsOutdated(const PermitSnapshot& aCurrent, uint64_t aVersion, TimePoint aSentAt)
  {
    if (!aCurrent.valid || aVersion > aCurrent.version) {
      return false;
    }
    return aVersion == aCurrent.version ? aSentAt < aCurrent.sentAt
                                        : aSentAt <= aCurrent.receivedAt;
  }

  void ApplyRow(const std::string& aService,
                const TableRow& aRow,
                int64_t aNowMs,
                TimePoint aSentAt)
  {
    ServiceState& state = services[aService];
    if (IsOutdated(state.snapshot, aRow.version, aSentAt)) {
      return;
    }
    PermitSnapshot snapshot;
    snapshot.valid = true;
    snapshot.version = aRow.version;
    snapshot.nowMs = aNowMs;
    snapshot.sentAt = aSentAt;
    snapshot.receivedAt = init.now();
    auto row =
      aRow.version == 0 ? Result<EjectionsRow>(EjectionsRow{}) : DecodeEjections(aRow.value);
    snapshot.readable = bool(row);
    if (row) {
      snapshot.row = std::move(*row);
    } else if (state.snapshot.version != aRow.version) {
      Log(LogLevel::Error,
          "ejections_row_refused",
          { { "service", aService }, { "reason", ToString(row.Failure()) } });
    }
    RecordMissingEntries(state, snapshot);
    state.snapshot = std::move(snapshot);
    DeliverEvents(Reconcile(aService, state));
  }

  void RecordMissingEntries(ServiceState& aState, const PermitSnapshot& aNext) const
  {
    const TimePoint now = init.now();
    std::erase_if(aState.missingEntries,
                  [now](const auto& aMissing) { return aMissing.second <= now; });
    for (const EjectionEntry& entry : aState.snapshot.row.entries) {
      const TimePoint deadline = Deadline(entry, aState.snapshot);
      const auto& next = aNext.row.entries;
      const bool present = std::any_of(next.begin(), next.end(), [&](const EjectionEntry& aOther) {
        return aOther.upstream == entry.upstream;
      });
      if (deadline > now && !present) {
        aState.missingEntries[entry.upstream] = deadline + init.removeAfterExpiry;
      }
    }
  }

  const EjectionEntry* FindLocalEntry(const ServiceState& aState,
                                      const std::string& aUpstream) const
  {
    for (const EjectionEntry& entry : aState.snapshot.row.entries) {
      if (entry.upstream == aUpstream && entry.holder == init.host &&
          entry.incarnation == init.incarnation && !entry.released) {
        return &entry;
      }
    }
    return nullptr;
  }

  /// Compares the local permits with the row. The outcome of every commit is determined here, also
  /// that of a commit whose response was lost.
  std::vector<Event> Reconcile(const std::string& aService, ServiceState& aState)
  {
    std::vector<Event> events;
    const TimePoint now = init.now();
    for (auto local = aState.localPermits.begin(); local != aState.localPermits.end();) {
      LocalPermit& permit = local->second;
      const EjectionEntry* entry = FindLocalEntry(aState, local->first);
      const auto event = ReconcilePermit(permit, entry, aState.snapshot, now);
      if (event) {
        events.push_back({ *event, aService, local->first });
      }
      local = event && *event != PermitEvent::Granted ? aState.localPermits.erase(local)
                                                      : std::next(local);
    }
    return events;
  }

  std::optional<PermitEvent> ReconcilePermit(LocalPermit& aPermit,
                                             const EjectionEntry* aEntry,
                                             const PermitSnapshot& aSnapshot,
                                             TimePoint aNow) const
  {
    switch (aPermit.state) {
      case PermitState::Requested:
        if (aEntry == nullptr || Deadline(*aEntry, aSnapshot) <= aNow) {
          return std::nullopt;
        }
        aPermit.state = PermitState::Held;
        aPermit.deadline = Deadline(*aEntry, aSnapshot);
        return PermitEvent::Granted;
      case PermitState::Held:
        if (aEntry == nullptr) {
          return PermitEvent::LeaseLost;
        }
        aPermit.deadline = std::max(aPermit.deadline, Deadline(*aEntry, aSnapshot));
        return std::nullopt;
      case PermitState::Releasing:
        return aEntry == nullptr ? std::optional(PermitEvent::Released) : std::nullopt;
      case PermitState::ReleasingForFloor:
        return aEntry == nullptr ? std::optional(PermitEvent::ReleasedByFloor) : std::nullopt;
      case PermitState::Count:
        break;
    }
    return std::nullopt;
  }

  /// Drops permits whose lease was not renewed in time and requests that were not granted or denied
  /// within acquireTimeout.
  std::vector<Event> ExpirePermits(const std::string& aService,
                                   ServiceState& aState,
                                   TimePoint aNow) const
  {
    std::vector<Event> events;
    std::erase_if(aState.localPermits, [&](const auto& aEntry) {
      const LocalPermit& permit = aEntry.second;
      if (permit.state == PermitState::Requested &&
          aNow - permit.requestedAt >= init.acquireTimeout) {
        events.push_back({ PermitEvent::Unavailable, aService, aEntry.first });
        return true;
      }
      if (permit.state == PermitState::Held && permit.deadline <= aNow && !init.testIgnoreLease) {
        events.push_back({ PermitEvent::LeaseLost, aService, aEntry.first });
        return true;
      }
      return false;
    });
    return events;
  }

  void PlanAndCommit(const std::string& aService, int aAttempt)
  {
    const TimePoint now = init.now();
    ServiceState& state = services[aService];
    // With a stale row the commit would conflict, or a denial could rest on an obsolete entry.
    if (state.callInProgress || !state.snapshot.readable || now < state.retryAt ||
        now - state.snapshot.sentAt >= init.acquireTimeout) {
      return;
    }
    // Most services have no ejection; this avoids a health query for each of them at every tick.
    if (state.localPermits.empty() && state.snapshot.row.entries.empty()) {
      return;
    }
    const ServiceHealth health = init.health(aService);
    auto plan = detail::PlanPermits(
      { &init, &state.snapshot, &state.localPermits, &state.missingEntries, &health, now });
    std::vector<Event> events;
    for (const auto& [upstream, reason] : plan.denials) {
      state.localPermits.erase(upstream);
      events.push_back({ reason, aService, upstream });
    }
    for (const std::string& upstream : plan.permitsOverFloor) {
      state.localPermits[upstream].state = PermitState::ReleasingForFloor;
    }
    if (plan.commitNeeded) {
      CommitRow(aService, state, EncodeEjections(plan.row), aAttempt);
    }
    DeliverEvents(events);
  }

  void CommitRow(const std::string& aService,
                 ServiceState& aState,
                 std::string aValue,
                 int aAttempt)
  {
    aState.callInProgress = true;
    ++stats.commits;
    const std::string key = EjectionsKey(aService);
    CommitRequest request{ { { key, aState.snapshot.version } }, { { key, aValue } }, {} };
    if (init.testUnconditional) {
      request.conditions.clear();
    }
    const TimePoint sentAt = init.now();
    init.platform->Commit(std::move(request),
                          init.callDeadline,
                          detail::Guarded(shared_from_this(),
                                          [aService, value = std::move(aValue), sentAt, aAttempt](
                                            Impl& aSelf, const Result<CommitReply>& aReply) {
                                            aSelf.HandleCommitReply(
                                              aService, value, sentAt, aAttempt, aReply);
                                          }));
  }

  void HandleCommitReply(const std::string& aService,
                         const std::string& aValue,
                         TimePoint aSentAt,
                         int aAttempt,
                         const Result<CommitReply>& aReply)
  {
    ServiceState& state = services[aService];
    state.callInProgress = false;
    if (!aReply) {
      state.retryAt = init.now() + kCommitRetryDelay;
      if (aReply.Failure().code == Errc::OutcomeUnknown) {
        ++stats.unknownOutcomes;
        ReadAfterUnknownOutcome(aService, state);
      }
      return;
    }
    if (aReply->committed) {
      ApplyRow(
        aService, { EjectionsKey(aService), aReply->version, aValue }, aReply->nowMs, aSentAt);
      return;
    }
    ++stats.conflicts;
    if (!aReply->conflicts.empty()) {
      ApplyRow(aService, aReply->conflicts.front(), aReply->nowMs, aSentAt);
    }
    if (aAttempt < kMaxCommitAttempts) {
      PlanAndCommit(aService, aAttempt + 1);
    }
  }

  void ReadAfterUnknownOutcome(const std::string& aService, ServiceState& aState)
  {
    aState.callInProgress = true;
    const TimePoint sentAt = init.now();
    init.platform->ReadRow(
      EjectionsKey(aService),
      init.callDeadline,
      detail::Guarded(shared_from_this(),
                      [aService, sentAt](Impl& aSelf, const Result<RowReply>& aReply) {
                        aSelf.services[aService].callInProgress = false;
                        if (aReply) {
                          aSelf.ApplyRow(aService, aReply->row, aReply->nowMs, sentAt);
                        }
                      }));
  }

  void AppendEjections(const std::string& aService,
                       const ServiceState& aState,
                       TimePoint aNow,
                       std::vector<Ejection>& aEjected) const
  {
    std::vector<EjectionEntry> active;
    for (const EjectionEntry& entry : aState.snapshot.row.entries) {
      const bool leaseValid = init.testIgnoreLease || Deadline(entry, aState.snapshot) > aNow;
      if (leaseValid && !entry.released) {
        active.push_back(entry);
      }
    }
    if (active.empty()) {
      return;
    }
    if (!init.testIgnoreFloor) {
      active = detail::SelectWithinFloor(std::move(active), init.health(aService));
    }
    for (EjectionEntry& entry : active) {
      const TimePoint deadline = Deadline(entry, aState.snapshot);
      aEjected.push_back({ aService,
                           std::move(entry.upstream),
                           std::move(entry.holder),
                           std::move(entry.recordId),
                           deadline });
    }
  }

  EjectionPermitsInit init;
  EjectionPermitsStats stats;
  std::map<std::string, ServiceState, std::less<>> services;
  TimePoint nextPoll;
  bool polling = false;
};

std::string_view ToString(PermitEvent aEvent)
{
  static constexpr std::string_view kNames[] = { "granted",           "floor_reached",
                                                 "held_by_other",     "not_healthy",
                                                 "unavailable",       "released",
                                                 "released_by_floor", "lease_lost" };
  const auto index = static_cast<size_t>(aEvent);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

EjectionPermits::EjectionPermits(EjectionPermitsInit aInit)
  : impl_(std::make_shared<Impl>(std::move(aInit)))
{
}

EjectionPermits::~EjectionPermits() = default;

void EjectionPermits::Tick(TimePoint aNow)
{
  if (aNow >= impl_->nextPoll && !impl_->polling) {
    impl_->Poll(aNow);
  }
  std::vector<Event> events;
  std::vector<std::string> names;
  for (auto& [service, state] : impl_->services) {
    const auto expired = impl_->ExpirePermits(service, state, aNow);
    events.insert(events.end(), expired.begin(), expired.end());
    names.push_back(service);
  }
  impl_->DeliverEvents(events);
  for (const std::string& service : names) {
    impl_->PlanAndCommit(service, 1);
  }
}

void EjectionPermits::Acquire(std::string_view aService,
                              std::string_view aUpstream,
                              std::string aRecordId)
{
  const std::string service(aService);
  const std::string upstream(aUpstream);
  LocalPermit& permit = impl_->services[service].localPermits[upstream];
  if (permit.state == PermitState::Held) {
    impl_->DeliverEvents({ { PermitEvent::Granted, service, upstream } });
    return;
  }
  permit = { PermitState::Requested, std::move(aRecordId), impl_->init.now(), {} };
  impl_->PlanAndCommit(service, 1);
}

void EjectionPermits::Release(std::string_view aService, std::string_view aUpstream)
{
  const std::string service(aService);
  auto& permits = impl_->services[service].localPermits;
  if (const auto found = permits.find(aUpstream); found != permits.end()) {
    found->second.state = PermitState::Releasing;
    impl_->PlanAndCommit(service, 1);
  }
}

std::vector<Ejection> EjectionPermits::Ejected(TimePoint aNow) const
{
  std::vector<Ejection> ejected;
  for (const auto& [service, state] : impl_->services) {
    impl_->AppendEjections(service, state, aNow, ejected);
  }
  return ejected;
}

std::vector<Ejection> EjectionPermits::Ejected(std::string_view aService, TimePoint aNow) const
{
  std::vector<Ejection> ejected;
  if (const auto found = impl_->services.find(aService); found != impl_->services.end()) {
    impl_->AppendEjections(found->first, found->second, aNow, ejected);
  }
  return ejected;
}

bool EjectionPermits::Holds(std::string_view aService,
                            std::string_view aUpstream,
                            TimePoint aNow) const
{
  const auto service = impl_->services.find(aService);
  if (service == impl_->services.end()) {
    return false;
  }
  const auto& permits = service->second.localPermits;
  const auto found = permits.find(aUpstream);
  return found != permits.end() && found->second.state == PermitState::Held &&
         found->second.deadline > aNow;
}

const EjectionPermitsStats& EjectionPermits::Stats() const
{
  return impl_->stats;
}

} // namespace bg
