// The part of FleetSession that reads what upstreams tell about themselves in responses.
#include "session_p.h"

namespace bg::fleet::detail {

void FleetSession::ReadLimit(const ResponseMetadata& aMetadata)
{
  const bool isOther = !aMetadata.requestId.empty() && aMetadata.requestId != caller_.requestId;
  if (aMetadata.isMisdirected || isOther) {
    return;
  }
  answeredAt_ = Now();
  namedLimit_ = aMetadata.requestLimit;
  if (!aMetadata.invalidLimit.empty()) {
    Log(LogLevel::Warning,
        "upstream_limit_invalid",
        { { "request_id", caller_.requestId },
          { "upstream", upstream_.id },
          { "service", service_ },
          { "detail", aMetadata.invalidLimit } });
  } else if (!namedLimit_ && aMetadata.isSigned) {
    namedLimit_ = placement::RequestLimit::kUnlimited;
  }
}

void FleetSession::ReadNotices(const ResponseMetadata& aMetadata)
{
  const bool isOther = !aMetadata.requestId.empty() && aMetadata.requestId != caller_.requestId;
  if (aMetadata.isMisdirected || isOther) {
    return;
  }
  if (!aMetadata.invalidNotice.empty() && traffic_.MayLogInvalidNotice(Now())) {
    Log(LogLevel::Warning,
        "upstream_notice_invalid",
        { { "request_id", caller_.requestId },
          { "upstream", upstream_.id },
          { "service", service_ },
          { "detail", aMetadata.invalidNotice } });
  }
  answeredAt_ = Now();
  isLeaving_ = aMetadata.isLeaving;
  pause_ = aMetadata.pause;
  if (pause_ && relay_.empty()) {
    traffic_.RecordPause(upstream_, *pause_, answeredAt_);
  }
}

} // namespace bg::fleet::detail
