#include "boragegauge/routing.h"

#include <algorithm>

namespace bg {

namespace {

constexpr double kLimitDecreaseFactor = 0.9;
/// Shortest time between two decreases of the limit. A single overload sheds many requests at once,
/// which must lower the limit only once.
constexpr Duration kMinDecreaseInterval = Milliseconds(100);
/// Weight of a new sample in the moving average of the service time.
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
  // The bucket holds at most the reserve plus the retries of 100 requests. Without this cap, tokens
  // saved up in quiet hours would allow a retry storm.
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
  if (lastRefillAt_ != TimePoint{} && aNow > lastRefillAt_) {
    tokens_ = std::min(perSecond_, tokens_ + Seconds(aNow - lastRefillAt_) * perSecond_);
  }
  lastRefillAt_ = aNow;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

ServiceAdmission::ServiceAdmission(const Init& aInit)
  : maxConcurrency_(aInit.maxConcurrency)
  , queueLimit_(aInit.queueLimit)
  , concurrencyLimit_(aInit.maxConcurrency)
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
  return inFlight_ < std::max(1.0, concurrencyLimit_);
}

Duration ServiceAdmission::ExpectedWait() const
{
  const double nsPerQueuedRequest = averageServiceTimeNs_ / std::max(1.0, concurrencyLimit_);
  return Duration(
    static_cast<int64_t>(nsPerQueuedRequest * static_cast<double>(queueKeys_.size())));
}

AdmissionDecision ServiceAdmission::Admit(Ticket aTicket,
                                          CallerHandle aCaller,
                                          TimePoint aDeadline,
                                          TimePoint aNow)
{
  if (queueKeys_.empty() && HasCapacity()) {
    ++inFlight_;
    return { AdmissionResult::Start, std::nullopt };
  }
  if (aNow + ExpectedWait() >= aDeadline) {
    return { AdmissionResult::DeadlineShort, std::nullopt };
  }
  const size_t queue = std::min<size_t>(aCaller.idx, queues_.size() - 1);
  AdmissionDecision decision{ AdmissionResult::Queued, std::nullopt };
  if (queueKeys_.size() >= queueLimit_) {
    decision.evicted = EvictEntryFor(queue);
    if (!decision.evicted) {
      return { AdmissionResult::QueueFull, std::nullopt };
    }
  }
  Enqueue(queue, { aDeadline, aTicket });
  return decision;
}

std::optional<Ticket> ServiceAdmission::EvictEntryFor(size_t aQueue)
{
  // Evicts the entry with the latest deadline from the class with the most entries per weight. When
  // this is the class of the new request, with that request included, nothing is evicted.
  size_t largest = aQueue;
  double largestShare =
    static_cast<double>(queues_[aQueue].entries.size() + 1) / queues_[aQueue].weight;
  for (size_t i = 0; i < queues_.size(); ++i) {
    const double share = static_cast<double>(queues_[i].entries.size()) / queues_[i].weight;
    if (i != aQueue && share > largestShare) {
      largest = i;
      largestShare = share;
    }
  }
  if (largest == aQueue) {
    return std::nullopt;
  }
  const QueueEntry evicted = *queues_[largest].entries.rbegin();
  Remove(largest, evicted);
  return evicted.ticket;
}

void ServiceAdmission::Enqueue(size_t aQueue, const QueueEntry& aEntry)
{
  ClassQueue& queue = queues_[aQueue];
  if (queue.entries.empty()) {
    // The pass does not advance while the class is idle. If it were not raised here, the class
    // would be served first until it has caught up with the others.
    queue.pass = std::max(queue.pass, globalPass_);
  }
  queue.entries.insert(aEntry);
  queueKeys_[aEntry.ticket] = { aQueue, aEntry.deadline };
}

void ServiceAdmission::Remove(size_t aQueue, const QueueEntry& aEntry)
{
  queues_[aQueue].entries.erase(aEntry);
  queueKeys_.erase(aEntry.ticket);
}

void ServiceAdmission::Finish(Duration aServiceTime)
{
  inFlight_ = inFlight_ > 0 ? inFlight_ - 1 : 0;
  concurrencyLimit_ =
    std::min<double>(maxConcurrency_, concurrencyLimit_ + 1 / std::max(1.0, concurrencyLimit_));
  const auto sample = static_cast<double>(aServiceTime.count());
  averageServiceTimeNs_ =
    averageServiceTimeNs_ == 0
      ? sample
      : averageServiceTimeNs_ + kServiceTimeWeight * (sample - averageServiceTimeNs_);
}

void ServiceAdmission::OnShed(TimePoint aNow)
{
  if (lastDecreaseAt_ == TimePoint{} || aNow - lastDecreaseAt_ >= kMinDecreaseInterval) {
    // A limit above the number of requests in flight would have no effect at first.
    concurrencyLimit_ =
      std::max(1.0, std::min<double>(concurrencyLimit_, inFlight_) * kLimitDecreaseFactor);
    lastDecreaseAt_ = aNow;
  }
}

void ServiceAdmission::Cancel(Ticket aTicket)
{
  const auto queueKey = queueKeys_.find(aTicket);
  if (queueKey != queueKeys_.end()) {
    Remove(queueKey->second.queue, { queueKey->second.deadline, aTicket });
  }
}

ServiceAdmission::ClassQueue* ServiceAdmission::NextQueue()
{
  ClassQueue* next = nullptr;
  for (ClassQueue& queue : queues_) {
    if (!queue.entries.empty() && (next == nullptr || queue.pass < next->pass)) {
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
    if (queue == nullptr || queue->entries.begin()->deadline <= aNow) {
      break;
    }
    const QueueEntry first = *queue->entries.begin();
    globalPass_ = queue->pass;
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
    while (!queues_[i].entries.empty() && queues_[i].entries.begin()->deadline <= aNow) {
      const QueueEntry first = *queues_[i].entries.begin();
      Remove(i, first);
      expired.push_back(first.ticket);
    }
  }
  return expired;
}

AdmissionStats ServiceAdmission::Stats() const
{
  return { concurrencyLimit_,
           inFlight_,
           static_cast<uint32_t>(queueKeys_.size()),
           averageServiceTimeNs_ / 1e6 };
}

} // namespace bg
