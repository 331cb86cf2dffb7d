#include <algorithm>

#include "coordination_p.h"
#include "permit_rules_p.h"

namespace bg {

using detail::OwnPermit;
using detail::PermitSnapshot;
using detail::PermitState;

namespace {

/// Conflicts are answered with the current row, so that the next attempt needs no read. More of
/// them in a row mean contention; then the next tick tries again.
constexpr int kMaxAttempts = 4;
constexpr Milliseconds kRetryInterval{ 500 };

struct ServiceState
{
  PermitSnapshot snapshot;
  detail::OwnPermits own;
  detail::LostEntries lost;
  bool busy = false; ///< A commit or the read after it is in progress.
  TimePoint retryAt;
};

struct Event
{
  PermitEvent event;
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

  // Events are delivered last, because a hook may call Acquire() or Release().
  void Deliver(const std::vector<Event>& aEvents)
  {
    for (const Event& event : aEvents) {
      stats.granted += event.event == PermitEvent::Granted ? 1 : 0;
      stats.lost += event.event == PermitEvent::LeaseLost ? 1 : 0;
      detail::Notify(init.onEvent, event.event, event.service, event.upstream);
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
          aSelf.UseScan(*aReply, aNow);
        }
      }));
  }

  void UseScan(const ScanReply& aReply, TimePoint aSentAt)
  {
    std::map<std::string_view, const TableRow*> rows;
    for (const TableRow& row : aReply.rows) {
      rows[row.key] = &row;
    }
    for (const std::string& service : init.services()) {
      const auto row = rows.find(EjectionsKey(service));
      UseRow(service, row == rows.end() ? TableRow() : *row->second, aReply.nowMs, aSentAt);
    }
  }

  /// Responses may arrive in another order than the table answered. A lower version counts only
  /// when it was asked for after the higher one had arrived: then the table was restored.
  static bool IsOutdated(const PermitSnapshot& aCurrent, uint64_t aVersion, TimePoint aSentAt)
  {
    if (!aCurrent.valid || aVersion > aCurrent.version) {
      return false;
    }
    return aVersion == aCurrent.version ? aSentAt < aCurrent.sentAt
                                        : aSentAt <= aCurrent.receivedAt;
  }

  void UseRow(const std::string& aService, const TableRow& aRow, int64_t aNowMs, TimePoint aSentAt)
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
    RememberLost(state, snapshot);
    state.snapshot = std::move(snapshot);
    Deliver(Reconcile(aService, state));
  }

  void RememberLost(ServiceState& aState, const PermitSnapshot& aNext) const
  {
    const TimePoint now = init.now();
    std::erase_if(aState.lost, [now](const auto& aLost) { return aLost.second <= now; });
    for (const EjectionEntry& entry : aState.snapshot.row.entries) {
      const TimePoint deadline = Deadline(entry, aState.snapshot);
      const auto& next = aNext.row.entries;
      const bool kept = std::any_of(next.begin(), next.end(), [&](const EjectionEntry& aOther) {
        return aOther.upstream == entry.upstream;
      });
      if (deadline > now && !kept) {
        aState.lost[entry.upstream] = deadline + init.removeAfterExpiry;
      }
    }
  }

  const EjectionEntry* FindOwn(const ServiceState& aState, const std::string& aUpstream) const
  {
    for (const EjectionEntry& entry : aState.snapshot.row.entries) {
      if (entry.upstream == aUpstream && entry.holder == init.host &&
          entry.incarnation == init.incarnation && !entry.released) {
        return &entry;
      }
    }
    return nullptr;
  }

  /// Compares the own permits with the row: this is how every outcome of a commit is learned,
  /// also that of a commit whose response was lost.
  std::vector<Event> Reconcile(const std::string& aService, ServiceState& aState)
  {
    std::vector<Event> events;
    const TimePoint now = init.now();
    for (auto own = aState.own.begin(); own != aState.own.end();) {
      OwnPermit& permit = own->second;
      const EjectionEntry* entry = FindOwn(aState, own->first);
      const auto event = ReconcileOne(permit, entry, aState.snapshot, now);
      if (event) {
        events.push_back({ *event, aService, own->first });
      }
      own = event && *event != PermitEvent::Granted ? aState.own.erase(own) : std::next(own);
    }
    return events;
  }

  std::optional<PermitEvent> ReconcileOne(OwnPermit& aPermit,
                                          const EjectionEntry* aEntry,
                                          const PermitSnapshot& aSnapshot,
                                          TimePoint aNow) const
  {
    switch (aPermit.state) {
      case PermitState::Wanted:
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
      case PermitState::FloorReleasing:
        return aEntry == nullptr ? std::optional(PermitEvent::ReleasedByFloor) : std::nullopt;
      case PermitState::Count:
        break;
    }
    return std::nullopt;
  }

  /// Ends leases that were not renewed in time, and requests that the table did not answer.
  std::vector<Event> Expire(const std::string& aService, ServiceState& aState, TimePoint aNow) const
  {
    std::vector<Event> events;
    std::erase_if(aState.own, [&](const auto& aOwn) {
      const OwnPermit& permit = aOwn.second;
      if (permit.state == PermitState::Wanted && aNow - permit.since >= init.acquireLimit) {
        events.push_back({ PermitEvent::Unavailable, aService, aOwn.first });
        return true;
      }
      if (permit.state == PermitState::Held && permit.deadline <= aNow && !init.testIgnoreLease) {
        events.push_back({ PermitEvent::LeaseLost, aService, aOwn.first });
        return true;
      }
      return false;
    });
    return events;
  }

  void Work(const std::string& aService, int aAttempt)
  {
    const TimePoint now = init.now();
    ServiceState& state = services[aService];
    // A decision on an old row would be refused or denied for a reason that may be gone.
    if (state.busy || !state.snapshot.readable || now < state.retryAt ||
        now - state.snapshot.sentAt >= init.acquireLimit) {
      return;
    }
    // Most services have no ejection; asking for the health of each at every tick is not needed.
    if (state.own.empty() && state.snapshot.row.entries.empty()) {
      return;
    }
    const ServiceHealth health = init.health(aService);
    auto plan =
      detail::PlanPermits({ &init, &state.snapshot, &state.own, &state.lost, &health, now });
    std::vector<Event> events;
    for (const auto& [upstream, reason] : plan.denials) {
      state.own.erase(upstream);
      events.push_back({ reason, aService, upstream });
    }
    for (const std::string& upstream : plan.floorReleases) {
      state.own[upstream].state = PermitState::FloorReleasing;
    }
    if (plan.write) {
      Write(aService, state, EncodeEjections(plan.row), aAttempt);
    }
    Deliver(events);
  }

  void Write(const std::string& aService, ServiceState& aState, std::string aValue, int aAttempt)
  {
    aState.busy = true;
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
                                            aSelf.FinishWrite(
                                              aService, value, sentAt, aAttempt, aReply);
                                          }));
  }

  void FinishWrite(const std::string& aService,
                   const std::string& aValue,
                   TimePoint aSentAt,
                   int aAttempt,
                   const Result<CommitReply>& aReply)
  {
    ServiceState& state = services[aService];
    state.busy = false;
    if (!aReply) {
      state.retryAt = init.now() + kRetryInterval;
      if (aReply.Failure().code == Errc::OutcomeUnknown) {
        ++stats.unknown;
        ReadAfterLoss(aService, state);
      }
      return;
    }
    if (aReply->committed) {
      UseRow(aService, { EjectionsKey(aService), aReply->version, aValue }, aReply->nowMs, aSentAt);
      return;
    }
    ++stats.conflicts;
    if (!aReply->conflicts.empty()) {
      UseRow(aService, aReply->conflicts.front(), aReply->nowMs, aSentAt);
    }
    if (aAttempt < kMaxAttempts) {
      Work(aService, aAttempt + 1);
    }
  }

  void ReadAfterLoss(const std::string& aService, ServiceState& aState)
  {
    aState.busy = true;
    const TimePoint sentAt = init.now();
    init.platform->ReadRow(
      EjectionsKey(aService),
      init.callDeadline,
      detail::Guarded(shared_from_this(),
                      [aService, sentAt](Impl& aSelf, const Result<RowReply>& aReply) {
                        aSelf.services[aService].busy = false;
                        if (aReply) {
                          aSelf.UseRow(aService, aReply->row, aReply->nowMs, sentAt);
                        }
                      }));
  }

  void AppendEjected(const std::string& aService,
                     const ServiceState& aState,
                     TimePoint aNow,
                     std::vector<Ejection>& aEjected) const
  {
    std::vector<EjectionEntry> active;
    for (const EjectionEntry& entry : aState.snapshot.row.entries) {
      const bool holds = init.testIgnoreLease || Deadline(entry, aState.snapshot) > aNow;
      if (holds && !entry.released) {
        active.push_back(entry);
      }
    }
    if (active.empty()) {
      return;
    }
    if (!init.testIgnoreFloor) {
      active = detail::WithinFloor(std::move(active), init.health(aService));
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
    const auto expired = impl_->Expire(service, state, aNow);
    events.insert(events.end(), expired.begin(), expired.end());
    names.push_back(service);
  }
  impl_->Deliver(events);
  for (const std::string& service : names) {
    impl_->Work(service, 1);
  }
}

void EjectionPermits::Acquire(std::string_view aService,
                              std::string_view aUpstream,
                              std::string aRecordId)
{
  const std::string service(aService);
  const std::string upstream(aUpstream);
  OwnPermit& permit = impl_->services[service].own[upstream];
  if (permit.state == PermitState::Held) {
    impl_->Deliver({ { PermitEvent::Granted, service, upstream } });
    return;
  }
  permit = { PermitState::Wanted, std::move(aRecordId), impl_->init.now(), {} };
  impl_->Work(service, 1);
}

void EjectionPermits::Release(std::string_view aService, std::string_view aUpstream)
{
  const std::string service(aService);
  auto& own = impl_->services[service].own;
  if (const auto found = own.find(aUpstream); found != own.end()) {
    found->second.state = PermitState::Releasing;
    impl_->Work(service, 1);
  }
}

std::vector<Ejection> EjectionPermits::Ejected(TimePoint aNow) const
{
  std::vector<Ejection> ejected;
  for (const auto& [service, state] : impl_->services) {
    impl_->AppendEjected(service, state, aNow, ejected);
  }
  return ejected;
}

std::vector<Ejection> EjectionPermits::Ejected(std::string_view aService, TimePoint aNow) const
{
  std::vector<Ejection> ejected;
  if (const auto found = impl_->services.find(aService); found != impl_->services.end()) {
    impl_->AppendEjected(found->first, found->second, aNow, ejected);
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
  const auto own = service->second.own.find(aUpstream);
  return own != service->second.own.end() && own->second.state == PermitState::Held &&
         own->second.deadline > aNow;
}

const EjectionPermitsStats& EjectionPermits::Stats() const
{
  return impl_->stats;
}

} // namespace bg
