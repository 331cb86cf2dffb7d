#include <algorithm>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Requests per second that an upstream with a lower limit gets.
constexpr double kMinSendRate = 0.25;
constexpr double kBurstSeconds = 0.5;
/// Requests beyond the limit delay the next ones by no more than this.
constexpr double kMaxOverdraftSeconds = 2;

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

bool RequestLimit::Record(double aPerSecond, TimePoint aAnsweredAt)
{
  if (aAnsweredAt < answeredAt_) {
    return false;
  }
  answeredAt_ = aAnsweredAt;
  if (aPerSecond == perSecond_) {
    return false;
  }
  if (!IsInForce()) {
    since_ = aAnsweredAt;
    tokens_ = 0;
    countedAt_ = aAnsweredAt;
  }
  perSecond_ = aPerSecond;
  return true;
}

double RequestLimit::SendRate() const
{
  return std::max(perSecond_, kMinSendRate);
}

double RequestLimit::BurstSize() const
{
  return std::max(1.0, SendRate() * kBurstSeconds);
}

double RequestLimit::TokensAt(TimePoint aNow) const
{
  return std::min(BurstSize(), tokens_ + std::max(0.0, ToSeconds(aNow - countedAt_)) * SendRate());
}

bool RequestLimit::MaySend(TimePoint aNow) const
{
  return !IsInForce() || TokensAt(aNow) >= 1;
}

void RequestLimit::RecordSends(uint32_t aCount, TimePoint aNow)
{
  if (!IsInForce() || aCount == 0) {
    return;
  }
  const double lowest = -1 - kMaxOverdraftSeconds * SendRate();
  tokens_ = std::max(lowest, TokensAt(aNow) - aCount);
  countedAt_ = aNow;
  lastTurn_ = TurnAt(aNow);
}

int64_t RequestLimit::TurnAt(TimePoint aNow) const
{
  return static_cast<int64_t>(ToSeconds(aNow.time_since_epoch()) * SendRate());
}

bool RequestLimit::HasTurn(size_t aHosts, size_t aGroup, uint64_t aNumber, TimePoint aNow) const
{
  if (!IsInForce()) {
    return true;
  }
  const int64_t turn = TurnAt(aNow);
  const uint64_t hosts = std::max<size_t>(1, aHosts);
  return turn != lastTurn_ && (static_cast<uint64_t>(turn) + aNumber) % hosts < aGroup;
}

} // namespace bg::placement
