#include "upstream_notices_p.h"

namespace bg::fleet::detail {

namespace {

/// A notice about an upstream without an entry in the store, or whose runs cannot be distinguished,
/// is kept for this long. Upstreams serve for some seconds after their entries are gone.
constexpr Duration kUnregisteredPeriod = std::chrono::seconds(60);

/// Whether a notice about one run of an upstream holds for another one.
bool HoldsFor(int64_t aNoticeRun, int64_t aRun)
{
  return aNoticeRun == 0 || aRun <= aNoticeRun;
}

} // namespace

bool UpstreamNotices::RecordLeaving(LeavingUpstream aUpstream)
{
  const auto known = leaving_.find(aUpstream.id);
  if (known != leaving_.end() && HoldsFor(known->second.startedAtMs, aUpstream.startedAtMs)) {
    return false;
  }
  const std::string id = aUpstream.id;
  leaving_.insert_or_assign(id, std::move(aUpstream));
  return true;
}

bool UpstreamNotices::IsLeaving(const RegisteredUpstream& aUpstream) const
{
  const auto found = leaving_.find(aUpstream.id);
  return found != leaving_.end() && HoldsFor(found->second.startedAtMs, aUpstream.startedAtMs);
}

bool UpstreamNotices::RecordPause(std::string_view aUpstream, const UpstreamPause& aPause)
{
  const auto known = pauses_.find(aUpstream);
  if (known == pauses_.end()) {
    pauses_.emplace(aUpstream, aPause);
    return true;
  }
  const bool isNextRun = !HoldsFor(known->second.startedAtMs, aPause.startedAtMs);
  if (!isNextRun && aPause.until <= known->second.until) {
    return false; // A late or shorter one does not end the pause.
  }
  known->second = aPause;
  return true;
}

bool UpstreamNotices::IsPaused(const RegisteredUpstream& aUpstream, TimePoint aNow) const
{
  const auto found = pauses_.find(aUpstream.id);
  return found != pauses_.end() && aNow < found->second.until &&
         HoldsFor(found->second.startedAtMs, aUpstream.startedAtMs);
}

void UpstreamNotices::Expire(
  const std::function<const RegisteredUpstream*(std::string_view)>& aFind,
  TimePoint aNow)
{
  std::erase_if(leaving_, [&](const auto& aEntry) {
    const LeavingUpstream& leaving = aEntry.second;
    const RegisteredUpstream* upstream = aFind(leaving.id);
    if (upstream == nullptr || leaving.startedAtMs == 0) {
      return aNow - leaving.since > kUnregisteredPeriod;
    }
    return !HoldsFor(leaving.startedAtMs, upstream->startedAtMs);
  });
  std::erase_if(pauses_, [&](const auto& aEntry) { return aEntry.second.until <= aNow; });
}

} // namespace bg::fleet::detail
