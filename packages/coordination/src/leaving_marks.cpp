#include <algorithm>
#include <deque>
#include <map>

#include "coordination_p.h"

namespace bg {

namespace {

/// Late signals can come from a few restarts ago, not from many.
constexpr size_t kFormerBoots = 4;

struct UpstreamState
{
  std::optional<LeavingMark> mark;
  std::string currentBoot;             ///< Last known boot id; empty when none is known.
  std::deque<std::string> formerBoots; ///< Boot ids whose signals come too late.
  TimePoint lastNotice;                ///< Sent or received.

  bool IsFormer(std::string_view aBootId) const
  {
    return std::find(formerBoots.begin(), formerBoots.end(), aBootId) != formerBoots.end();
  }

  /// Boot ids have no order: the one that is seen last and was not replaced before is current.
  void SetBoot(std::string_view aBootId)
  {
    if (aBootId.empty() || aBootId == currentBoot) {
      return;
    }
    if (!currentBoot.empty()) {
      formerBoots.push_back(currentBoot);
    }
    if (formerBoots.size() > kFormerBoots) {
      formerBoots.pop_front();
    }
    currentBoot = aBootId;
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

  void End(UpstreamState& aState)
  {
    const LeavingMark ended = std::move(*aState.mark);
    aState.mark.reset();
    detail::Notify(init.onChange, ended, false);
  }

  /// Returns false for a signal of an earlier boot of an upstream that runs again.
  bool Mark(UpstreamState& aState, LeavingMark aMark)
  {
    if (aState.IsFormer(aMark.bootId)) {
      return false;
    }
    aState.SetBoot(aMark.bootId);
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

  void Announce(const LeavingMark& aMark)
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
      impl_->End(state);
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
  const bool first = !state.mark;
  const LeavingMark mark{
    std::string(aService), std::string(aUpstream), std::string(aBootId), std::string(aSource), aNow
  };
  if (!impl_->Mark(state, mark)) {
    return;
  }
  if (first || aNow - state.lastNotice >= impl_->init.noticeInterval) {
    state.lastNotice = aNow;
    impl_->Announce(mark);
  }
}

void LeavingMarks::ObserveBoot(std::string_view aService,
                               std::string_view aUpstream,
                               std::string_view aBootId)
{
  UpstreamState& state = impl_->upstreams[{ std::string(aService), std::string(aUpstream) }];
  if (aBootId.empty() || state.IsFormer(aBootId)) {
    return;
  }
  state.SetBoot(aBootId);
  if (state.mark && !state.mark->bootId.empty() && state.mark->bootId != aBootId) {
    impl_->End(state);
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
  if (impl_->Mark(state, mark)) {
    state.lastNotice = aNow;
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
