#include "boragegauge/routing.h"

#include <algorithm>

namespace bg {

namespace {

constexpr double kDecreaseFactor = 0.9;
/// One decrease per interval, since one overload sheds many requests at once.
constexpr Duration kDecreaseInterval = Milliseconds(100);
constexpr double kServiceTimeWeight = 0.05;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

RetryBudget::RetryBudget(double aRatio, double aReserve)
  : ratio_(aRatio)
  , reserve_(aReserve)
  , tokens_(aReserve)
{
}

void RetryBudget::OnRequest()
{
  // Capped at the reserve plus the retries of 100 requests, so that quiet hours do not save up a
  // retry storm.
  tokens_ = std::min(tokens_ + ratio_, reserve_ + 100 * ratio_);
}

bool RetryBudget::TryTake()
{
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

RateLimiter::RateLimiter(uint32_t aPerSecond)
  : perSecond_(aPerSecond)
  , tokens_(aPerSecond)
{
}

bool RateLimiter::TryTake(TimePoint aNow)
{
  if (perSecond_ <= 0) {
    return true;
  }
  if (last_ != TimePoint{} && aNow > last_) {
    tokens_ = std::min(perSecond_, tokens_ + Seconds(aNow - last_) * perSecond_);
  }
  last_ = aNow;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

ServiceAdmission::ServiceAdmission(const Init& aInit)
  : maxConcurrency_(aInit.maxConcurrency)
  , queueLimit_(aInit.queueLimit)
  , limit_(aInit.maxConcurrency)
{
  for (const CallerConfig& caller : aInit.callers) {
    queues_.push_back({ std::max(1U, caller.weight), 0, {} });
  }
  if (queues_.empty()) {
    queues_.emplace_back();
  }
}

bool ServiceAdmission::HasCapacity() const
{
  return inFlight_ < std::max(1.0, limit_);
}

Duration ServiceAdmission::ExpectedWait() const
{
  const double perSlot = serviceTimeNs_ / std::max(1.0, limit_);
  return Duration(static_cast<int64_t>(perSlot * static_cast<double>(positions_.size())));
}

AdmissionDecision ServiceAdmission::Admit(Ticket aTicket,
                                          CallerHandle aCaller,
                                          TimePoint aDeadline,
                                          TimePoint aNow)
{
  if (positions_.empty() && HasCapacity()) {
    ++inFlight_;
    return { AdmissionResult::Start, std::nullopt };
  }
  if (aNow + ExpectedWait() >= aDeadline) {
    return { AdmissionResult::DeadlineShort, std::nullopt };
  }
  const size_t queue = std::min<size_t>(aCaller.idx, queues_.size() - 1);
  AdmissionDecision decision{ AdmissionResult::Queued, std::nullopt };
  if (positions_.size() >= queueLimit_) {
    decision.evicted = EvictFor(queue);
    if (!decision.evicted) {
      return { AdmissionResult::QueueFull, std::nullopt };
    }
  }
  Enqueue(queue, { aDeadline, aTicket });
  return decision;
}

std::optional<Ticket> ServiceAdmission::EvictFor(size_t aQueue)
{
  // The class that holds the most per weight gives up its latest deadline, unless the new request
  // would belong to the class that holds the most.
  size_t largest = aQueue;
  double largestShare =
    static_cast<double>(queues_[aQueue].waiting.size() + 1) / queues_[aQueue].weight;
  for (size_t i = 0; i < queues_.size(); ++i) {
    const double share = static_cast<double>(queues_[i].waiting.size()) / queues_[i].weight;
    if (i != aQueue && share > largestShare) {
      largest = i;
      largestShare = share;
    }
  }
  if (largest == aQueue) {
    return std::nullopt;
  }
  const Waiting evicted = *queues_[largest].waiting.rbegin();
  Remove(largest, evicted);
  return evicted.ticket;
}

void ServiceAdmission::Enqueue(size_t aQueue, const Waiting& aWaiting)
{
  ClassQueue& queue = queues_[aQueue];
  if (queue.waiting.empty()) {
    // A class that was idle does not get credit for the time without requests.
    queue.pass = std::max(queue.pass, passNow_);
  }
  queue.waiting.insert(aWaiting);
  positions_[aWaiting.ticket] = { aQueue, aWaiting.deadline };
}

void ServiceAdmission::Remove(size_t aQueue, const Waiting& aWaiting)
{
  queues_[aQueue].waiting.erase(aWaiting);
  positions_.erase(aWaiting.ticket);
}

void ServiceAdmission::Finish(Duration aServiceTime)
{
  inFlight_ = inFlight_ > 0 ? inFlight_ - 1 : 0;
  limit_ = std::min<double>(maxConcurrency_, limit_ + 1 / std::max(1.0, limit_));
  const auto sample = static_cast<double>(aServiceTime.count());
  serviceTimeNs_ =
    serviceTimeNs_ == 0 ? sample : serviceTimeNs_ + kServiceTimeWeight * (sample - serviceTimeNs_);
}

void ServiceAdmission::OnShed(TimePoint aNow)
{
  if (lastDecrease_ == TimePoint{} || aNow - lastDecrease_ >= kDecreaseInterval) {
    // The limit counts from what is really in flight, so that it takes effect at once.
    limit_ = std::max(1.0, std::min<double>(limit_, inFlight_) * kDecreaseFactor);
    lastDecrease_ = aNow;
  }
}

void ServiceAdmission::Cancel(Ticket aTicket)
{
  const auto found = positions_.find(aTicket);
  if (found != positions_.end()) {
    Remove(found->second.queue, { found->second.deadline, aTicket });
  }
}

ServiceAdmission::ClassQueue* ServiceAdmission::NextQueue()
{
  ClassQueue* next = nullptr;
  for (ClassQueue& queue : queues_) {
    if (!queue.waiting.empty() && (next == nullptr || queue.pass < next->pass)) {
      next = &queue;
    }
  }
  return next;
}

std::vector<Ticket> ServiceAdmission::TakeReady(TimePoint aNow)
{
  std::vector<Ticket> ready;
  while (HasCapacity()) {
    ClassQueue* queue = NextQueue();
    if (queue == nullptr || queue->waiting.begin()->deadline <= aNow) {
      break;
    }
    const Waiting first = *queue->waiting.begin();
    passNow_ = queue->pass;
    queue->pass += 1.0 / queue->weight;
    Remove(static_cast<size_t>(queue - queues_.data()), first);
    ++inFlight_;
    ready.push_back(first.ticket);
  }
  return ready;
}

std::vector<Ticket> ServiceAdmission::TakeExpired(TimePoint aNow)
{
  std::vector<Ticket> expired;
  for (size_t i = 0; i < queues_.size(); ++i) {
    while (!queues_[i].waiting.empty() && queues_[i].waiting.begin()->deadline <= aNow) {
      const Waiting first = *queues_[i].waiting.begin();
      Remove(i, first);
      expired.push_back(first.ticket);
    }
  }
  return expired;
}

AdmissionStats ServiceAdmission::Stats() const
{
  return { limit_, inFlight_, static_cast<uint32_t>(positions_.size()), serviceTimeNs_ / 1e6 };
}

} // namespace bg
