#include "session_p.h"

namespace bg::fleet::detail {

void FleetSession::SettleCharge()
{
  if (charge_ != 0) {
    traffic_.Control().SettleCharge(charge_, mayHaveExecuted_);
  }
}

} // namespace bg::fleet::detail
