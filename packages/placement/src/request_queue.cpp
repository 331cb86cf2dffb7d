#include "boragegauge/request_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>

namespace bg::placement {

namespace {

/// An earlier event does not count.
constexpr Duration kRateMemory = std::chrono::seconds(5);
/// Lower bound of the part of the decay time that events have been observed for. With less, a few
/// requests would look like a high rate.
constexpr double kMinObserved = 0.2;
/// Standard deviations by which the fast count is above its rate at least when it is used.
constexpr double kRiseDeviations = 2;
/// A flow without requests is kept at least while its rate exceeds this many requests per second,
/// so that the arrivals of small accounts are expected.
constexpr double kMinKeptRate = 0.02;

} // namespace

void DecayingRate::Count::Add(Duration aElapsed)
{
  events = events * std::exp(-std::chrono::duration<double>(aElapsed) / decayTime) + 1;
}

double DecayingRate::Count::PerSecond(Duration aElapsed, Duration aAge) const
{
  const double observed = 1 - std::exp(-std::chrono::duration<double>(aAge) / decayTime);
  return events * std::exp(-std::chrono::duration<double>(aElapsed) / decayTime) /
         (decayTime.count() * std::max(observed, kMinObserved));
}

void DecayingRate::Add(TimePoint aNow)
{
  if (aNow - at_ > kRateMemory) {
    // The first event begins the time in which others are counted.
    slow_.events = 0;
    fast_.events = 0;
    since_ = aNow;
  } else {
    slow_.Add(aNow - at_);
    fast_.Add(aNow - at_);
  }
  at_ = aNow;
}

double DecayingRate::PerSecond(TimePoint aNow) const
{
  const double slow = slow_.PerSecond(aNow - at_, aNow - since_);
  const double fast = fast_.PerSecond(aNow - at_, aNow - since_);
  const double deviation = std::sqrt(fast / (2 * fast_.decayTime.count()));
  return std::max(slow, fast - kRiseDeviations * deviation);
}

double DecayingRate::Deviation(double aPerSecond)
{
  return std::sqrt(aPerSecond / (2 * DecayingRate().slow_.decayTime.count()));
}

RequestQueue::Key RequestQueue::MakeKey(const SlotRequest& aRequest, bool aIsLate)
{
  return { aIsLate, aRequest.receivedAt, aRequest.lease };
}

double RequestQueue::StartOf(const Level& aLevel, const Flow& aFlow)
{
  return aFlow.requests.empty() ? std::max(aLevel.virtualTime, aFlow.start) : aFlow.start;
}

void RequestQueue::AdvanceVirtualTime(Level& aLevel)
{
  double first = std::numeric_limits<double>::infinity();
  double last = aLevel.virtualTime;
  for (const auto& [account, flow] : aLevel.flows) {
    first = flow.requests.empty() ? first : std::min(first, flow.start);
    last = std::max(last, flow.start);
  }
  // Once nothing waits, there is no competition, and all flows start anew.
  aLevel.virtualTime = aLevel.size == 0 ? last : std::max(aLevel.virtualTime, first);
}

const SlotRequest* RequestQueue::Find(LeaseId aLease) const
{
  const auto found = stored_.find(aLease);
  return found == stored_.end() ? nullptr : &found->second.request;
}

std::vector<std::pair<uint32_t, size_t>> RequestQueue::SizeByPriority() const
{
  std::vector<std::pair<uint32_t, size_t>> sizes;
  for (const auto& [priority, level] : levels_) {
    if (level.size > 0) {
      sizes.emplace_back(priority, level.size);
    }
  }
  return sizes;
}

bool RequestQueue::IsFirst(const SlotRequest& aRequest, bool aIsLate) const
{
  if (MoreUrgent(aRequest.priority) > 0) {
    return false;
  }
  const auto level = levels_.find(aRequest.priority);
  if (level == levels_.end() || level->second.size == 0) {
    return true;
  }
  const auto own = level->second.flows.find(aRequest.account);
  double start = level->second.virtualTime;
  if (own != level->second.flows.end()) {
    const Flow& flow = own->second;
    if (!flow.requests.empty() && flow.requests.begin()->first < MakeKey(aRequest, aIsLate)) {
      return false;
    }
    start = StartOf(level->second, flow);
  }
  return std::none_of(
    level->second.flows.begin(), level->second.flows.end(), [&](const auto& aEntry) {
      return aEntry.first != aRequest.account && !aEntry.second.requests.empty() &&
             std::pair(aEntry.second.start, aEntry.first) < std::pair(start, aRequest.account);
    });
}

void RequestQueue::RecordArrival(const SlotRequest& aRequest, TimePoint aNow)
{
  Level& level = levels_[aRequest.priority];
  level.arrivals.Add(aNow);
  level.flows[aRequest.account].arrivals.Add(aNow);
}

void RequestQueue::RecordBypass(const SlotRequest& aRequest)
{
  Level& level = levels_[aRequest.priority];
  if (level.size > 0) {
    Flow& flow = level.flows[aRequest.account];
    flow.start = StartOf(level, flow) + 1;
  }
}

void RequestQueue::Add(const SlotRequest& aRequest, bool aIsLate, TimePoint aNow)
{
  const auto [stored, isAdded] = stored_.try_emplace(aRequest.lease, Stored{ aRequest, aIsLate });
  if (!isAdded) {
    return;
  }
  Level& level = levels_[aRequest.priority];
  Flow& flow = level.flows[aRequest.account];
  flow.start = StartOf(level, flow);
  flow.requests.emplace(MakeKey(aRequest, aIsLate), &stored->second.request);
  ++level.size;
  if (aIsLate) {
    CountLate(level, flow, aNow);
  }
}

void RequestQueue::CountLate(Level& aLevel, Flow& aFlow, TimePoint aNow)
{
  ++aFlow.late;
  aLevel.lastLateStart = aLevel.late++ == 0 ? aNow : aLevel.lastLateStart;
}

RequestQueue::Level& RequestQueue::Unlink(const Stored& aStored)
{
  Level& level = levels_.at(aStored.request.priority);
  Flow& flow = level.flows.at(aStored.request.account);
  flow.requests.erase(MakeKey(aStored.request, aStored.isLate));
  flow.late -= aStored.isLate ? 1 : 0;
  level.late -= aStored.isLate ? 1 : 0;
  --level.size;
  return level;
}

bool RequestQueue::Remove(LeaseId aLease)
{
  const auto found = stored_.find(aLease);
  if (found == stored_.end()) {
    return false;
  }
  AdvanceVirtualTime(Unlink(found->second));
  stored_.erase(found);
  return true;
}

void RequestQueue::RemoveHost(uint64_t aHost)
{
  for (auto next = stored_.lower_bound({ aHost, 0 });
       next != stored_.end() && next->first.host == aHost;) {
    AdvanceVirtualTime(Unlink(next->second));
    next = stored_.erase(next);
  }
}

SlotRequest RequestQueue::Take(LeaseId aLease, TimePoint aNow)
{
  const auto found = stored_.find(aLease);
  AdvanceVirtualTime(levels_.at(found->second.request.priority));
  Level& level = Unlink(found->second);
  level.starts.Add(aNow);
  level.lastLateStart = found->second.isLate ? aNow : level.lastLateStart;
  level.flows.at(found->second.request.account).start += 1;
  AdvanceVirtualTime(level);
  SlotRequest request = std::move(found->second.request);
  stored_.erase(found);
  return request;
}

void RequestQueue::DemoteLate(const std::function<bool(const SlotRequest&)>& aIsLate,
                              TimePoint aNow)
{
  for (auto& [lease, stored] : stored_) {
    if (stored.isLate || !aIsLate(stored.request)) {
      continue;
    }
    Level& level = levels_.at(stored.request.priority);
    Flow& flow = level.flows.at(stored.request.account);
    flow.requests.erase(MakeKey(stored.request, false));
    flow.requests.emplace(MakeKey(stored.request, true), &stored.request);
    stored.isLate = true;
    CountLate(level, flow, aNow);
  }
}

bool RequestQueue::ForEachOfLevel(const Level& aLevel,
                                  const std::function<bool(const Entry&)>& aFunction)
{
  struct Next
  {
    double tag;
    uint64_t account;
    std::map<Key, const SlotRequest*>::const_iterator request;
    std::map<Key, const SlotRequest*>::const_iterator end;
    bool operator<(const Next& aOther) const
    {
      return std::pair(tag, account) > std::pair(aOther.tag, aOther.account);
    }
  };
  std::priority_queue<Next> flows;
  for (const auto& [account, flow] : aLevel.flows) {
    if (!flow.requests.empty()) {
      flows.push({ flow.start, account, flow.requests.begin(), flow.requests.end() });
    }
  }
  while (!flows.empty()) {
    Next next = flows.top();
    flows.pop();
    if (!aFunction({ *next.request->second, next.request->first.isLate })) {
      return false;
    }
    next.tag += 1;
    if (++next.request != next.end) {
      flows.push(next);
    }
  }
  return true;
}

void RequestQueue::ForEach(const std::function<bool(const Entry&)>& aFunction) const
{
  for (const auto& [priority, level] : levels_) {
    if (level.size > 0 && !ForEachOfLevel(level, aFunction)) {
      return;
    }
  }
}

size_t RequestQueue::MoreUrgent(uint32_t aPriority) const
{
  size_t count = 0;
  for (auto level = levels_.begin(); level != levels_.end() && level->first < aPriority; ++level) {
    count += level->second.size;
  }
  return count;
}

double RequestQueue::MoreUrgentRate(uint32_t aPriority, TimePoint aNow) const
{
  double rate = 0;
  for (auto level = levels_.begin(); level != levels_.end() && level->first < aPriority; ++level) {
    rate += level->second.arrivals.PerSecond(aNow);
  }
  return rate;
}

double RequestQueue::StartRate(uint32_t aPriority, TimePoint aNow) const
{
  const auto level = levels_.find(aPriority);
  return level == levels_.end() ? 0 : level->second.starts.PerSecond(aNow);
}

TimePoint RequestQueue::LastLateStart(uint32_t aPriority) const
{
  const auto level = levels_.find(aPriority);
  if (level == levels_.end() || level->second.late == 0) {
    return TimePoint::max();
  }
  return level->second.lastLateStart;
}

double RequestQueue::ExpectedAhead(const SlotRequest& aRequest,
                                   bool aIsLate,
                                   Duration aWait,
                                   TimePoint aNow) const
{
  const auto level = levels_.find(aRequest.priority);
  if (level == levels_.end()) {
    return 0;
  }
  const double wait = std::chrono::duration<double>(aWait).count();
  double ahead = 0;
  double start = level->second.virtualTime;
  if (const auto own = level->second.flows.find(aRequest.account);
      own != level->second.flows.end()) {
    const Flow& flow = own->second;
    const auto next = flow.requests.lower_bound(MakeKey(aRequest, aIsLate));
    const auto firstLate = flow.requests.lower_bound({ true, TimePoint::min(), {} });
    // The late requests of the flow count as well: if those in time did not leave them any slots,
    // they would wait until their deadline. Counts from the end, because a new request is one of
    // the last.
    const auto behind = std::distance(next, aIsLate ? flow.requests.end() : firstLate);
    ahead = static_cast<double>(flow.requests.size()) - static_cast<double>(behind);
    const double arrivals = flow.arrivals.PerSecond(aNow);
    ahead += aIsLate ? std::max(0.0, arrivals - DecayingRate::Deviation(arrivals)) * wait : 0;
    start = StartOf(level->second, flow);
  }
  const double tag = start + ahead;
  for (const auto& [account, flow] : level->second.flows) {
    if (account != aRequest.account) {
      const double mayOvertake = std::max(0.0, std::ceil(tag - StartOf(level->second, flow)));
      ahead +=
        std::min(mayOvertake,
                 static_cast<double>(flow.requests.size()) + flow.arrivals.PerSecond(aNow) * wait);
    }
  }
  return ahead;
}

void RequestQueue::ForgetIdleFlows(TimePoint aNow)
{
  for (auto& [priority, level] : levels_) {
    std::erase_if(level.flows, [&, time = level.virtualTime](const auto& aEntry) {
      const Flow& flow = aEntry.second;
      return flow.requests.empty() && flow.start <= time &&
             flow.arrivals.PerSecond(aNow) < kMinKeptRate;
    });
  }
  std::erase_if(levels_, [](const auto& aEntry) { return aEntry.second.flows.empty(); });
}

} // namespace bg::placement
