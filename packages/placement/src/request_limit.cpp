#include "boragegauge/placement.h"

namespace bg::placement {

bool RequestLimit::Record(double aPerSecond, TimePoint aAnsweredAt)
{
  if (aAnsweredAt < answeredAt_) {
    return false;
  }
  answeredAt_ = aAnsweredAt;
  if (aPerSecond == perSecond_) {
    return false;
  }
  since_ = IsInForce() ? since_ : aAnsweredAt;
  perSecond_ = aPerSecond;
  return true;
}

} // namespace bg::placement
