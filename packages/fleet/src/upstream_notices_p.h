#pragma once

#include <map>
#include <string>
#include <string_view>

#include "boragegauge/fleet.h"

namespace bg::fleet::detail {

/// An upstream that has said in a response that it is shutting down.
struct LeavingUpstream
{
  std::string id;
  int64_t startedAtMs = 0; ///< Of the run that said so, see RegisteredUpstream.
  TimePoint since{};       ///< First response known to this host.
  std::string source;      ///< Host that received it.
};

/// A pause that an upstream has asked this host for.
struct UpstreamPause
{
  int64_t startedAtMs = 0; ///< Of the run that asked for it, see RegisteredUpstream.
  TimePoint since{};
  TimePoint until{};
};

/// What responses of upstreams have said about themselves. It outweighs the store and the grants of
/// other hosts, which may be older. Decision code without I/O and clocks.
///
/// That an upstream leaves holds until its next run under the same id, whatever its entry in the
/// store says. A pause holds for this host only; of several, the one that ends last counts.
class UpstreamNotices
{
public:
  /// @return True if it was not known.
  bool RecordLeaving(LeavingUpstream aUpstream);
  bool IsLeaving(const RegisteredUpstream& aUpstream) const;
  const std::map<std::string, LeavingUpstream, std::less<>>& Leaving() const { return leaving_; }

  /// @return True if the upstream is paused for longer than before.
  bool RecordPause(std::string_view aUpstream, const UpstreamPause& aPause);
  bool IsPaused(const RegisteredUpstream& aUpstream, TimePoint aNow) const;
  const std::map<std::string, UpstreamPause, std::less<>>& Pauses() const { return pauses_; }

  /// Forgets what has no effect any more.
  /// @param aFind Finds the entry of an upstream; null: it has none.
  void Expire(const std::function<const RegisteredUpstream*(std::string_view)>& aFind,
              TimePoint aNow);

private:
  std::map<std::string, LeavingUpstream, std::less<>> leaving_; ///< By upstream.
  std::map<std::string, UpstreamPause, std::less<>> pauses_;    ///< By upstream.
};

} // namespace bg::fleet::detail
