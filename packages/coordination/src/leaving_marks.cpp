#include <algorithm>
#include <deque>
#include <map>

#include "coordination_p.h"

namespace bg {

namespace {

/// Number of earlier boot ids that are remembered for each upstream. A delayed signal can predate a
/// few restarts, but not many.
constexpr size_t kMaxPreviousBootIds = 4;

struct UpstreamState
{
  std::optional<LeavingMark> mark;
  std::string currentBootId;               ///< Empty until a boot id was received.
  std::deque<std::string> previousBootIds; ///< Boot ids whose signals are ignored as outdated.
  TimePoint lastNoticeAt;                  ///< Time of the last notice that was sent or received.

  bool IsPreviousBootId(std::string_view aBootId) const
  {
    return std::find(previousBootIds.begin(), previousBootIds.end(), aBootId) !=
           previousBootIds.end();
  }

  /// Boot ids have no order. The last one received is current, unless it was replaced before.
  void SetCurrentBootId(std::string_view aBootId)
  {
    if (aBootId.empty() || aBootId == currentBootId) {
      return;
    }
    if (!currentBootId.empty()) {
      previousBootIds.push_back(currentBootId);
    }
    if (previousBootIds.size() > kMaxPreviousBootIds) {
      previousBootIds.pop_front();
    }
    currentBootId = aBootId;
  }
};

} // namespace

struct LeavingMarks::Impl
{
  explicit Impl(LeavingMarksInit aInit)
    : init(std::move(aInit))
  {
  }

  using Key = std::pair<std::string, std::string>;

  void EndMark(UpstreamState& aState)
  {
    const LeavingMark endedMark = std::move(*aState.mark);
    aState.mark.reset();
    detail::Notify(init.onChange, endedMark, false);
  }

  /// Sets or extends the mark. Returns false for an outdated signal from before a restart.
  bool UpdateMark(UpstreamState& aState, LeavingMark aMark)
  {
    if (aState.IsPreviousBootId(aMark.bootId)) {
      return false;
    }
    aState.SetCurrentBootId(aMark.bootId);
    if (aState.mark) {
      if (!aMark.bootId.empty()) {
        aState.mark->bootId = aMark.bootId;
      }
      aState.mark->lastSignal = std::max(aState.mark->lastSignal, aMark.lastSignal);
      return true;
    }
    aState.mark = std::move(aMark);
    detail::Notify(init.onChange, *aState.mark, true);
    return true;
  }

  void SendNotices(const LeavingMark& aMark)
  {
    for (const std::string& host : init.peers()) {
      init.sender->Send(host,
                        LeavingNotice{ aMark.service, aMark.upstream, aMark.bootId, aMark.source });
    }
  }

  LeavingMarksInit init;
  std::map<Key, UpstreamState> upstreams;
};

LeavingMarks::LeavingMarks(LeavingMarksInit aInit)
  : impl_(std::make_unique<Impl>(std::move(aInit)))
{
}

LeavingMarks::~LeavingMarks() = default;

void LeavingMarks::Tick(TimePoint aNow)
{
  for (auto& [key, state] : impl_->upstreams) {
    if (state.mark && aNow - state.mark->lastSignal >= impl_->init.markLifetime) {
      impl_->EndMark(state);
    }
  }
}

void LeavingMarks::Signal(std::string_view aService,
                          std::string_view aUpstream,
                          std::string_view aBootId,
                          std::string_view aSource,
                          TimePoint aNow)
{
  UpstreamState& state = impl_->upstreams[{ std::string(aService), std::string(aUpstream) }];
  const bool isFirstSignal = !state.mark;
  const LeavingMark mark{
    std::string(aService), std::string(aUpstream), std::string(aBootId), std::string(aSource), aNow
  };
  if (!impl_->UpdateMark(state, mark)) {
    return;
  }
  if (isFirstSignal || aNow - state.lastNoticeAt >= impl_->init.noticeInterval) {
    state.lastNoticeAt = aNow;
    impl_->SendNotices(mark);
  }
}

void LeavingMarks::ObserveBoot(std::string_view aService,
                               std::string_view aUpstream,
                               std::string_view aBootId)
{
  UpstreamState& state = impl_->upstreams[{ std::string(aService), std::string(aUpstream) }];
  if (aBootId.empty() || state.IsPreviousBootId(aBootId)) {
    return;
  }
  state.SetCurrentBootId(aBootId);
  if (state.mark && !state.mark->bootId.empty() && state.mark->bootId != aBootId) {
    impl_->EndMark(state);
  }
}

void LeavingMarks::Handle(const PeerMessage& aMessage, TimePoint aNow)
{
  const auto* notice = std::get_if<LeavingNotice>(&aMessage.body);
  if (notice == nullptr) {
    return;
  }
  UpstreamState& state = impl_->upstreams[{ notice->service, notice->upstream }];
  const LeavingMark mark{ notice->service, notice->upstream, notice->bootId, notice->source, aNow };
  if (impl_->UpdateMark(state, mark)) {
    state.lastNoticeAt = aNow;
  }
}

bool LeavingMarks::IsLeaving(std::string_view aService,
                             std::string_view aUpstream,
                             TimePoint aNow) const
{
  const auto found = impl_->upstreams.find({ std::string(aService), std::string(aUpstream) });
  return found != impl_->upstreams.end() && found->second.mark &&
         aNow - found->second.mark->lastSignal < impl_->init.markLifetime;
}

std::vector<LeavingMark> LeavingMarks::Marks(TimePoint aNow) const
{
  std::vector<LeavingMark> marks;
  for (const auto& [key, state] : impl_->upstreams) {
    if (state.mark && aNow - state.mark->lastSignal < impl_->init.markLifetime) {
      marks.push_back(*state.mark);
    }
  }
  return marks;
}

} // namespace bg
