#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"
#include "metrics_p.h"

namespace bg::fleet::detail {

/// A connection that is not ready within this time belongs to a host that is gone, or that accepts
/// no connections. Later messages to it are not kept.
constexpr Duration kMaxConnectTime = std::chrono::seconds(1);

/// A message to another host.
struct PeerMessage
{
  std::string host;
  DomainBytesKind kind = DomainBytesKind::State;
  std::string bytes;
  TimePoint createdAt{};
  Duration maxWait{ 0 }; ///< For a connection. The message is of no use later.
};

/// Messages that wait until new connections to their hosts are ready, in order.
class PendingMessages
{
public:
  /// @return False if too many messages wait already.
  bool Add(PeerMessage aMessage);
  bool Empty() const { return messages_.empty(); }
  /// Whether a message waits that a further one to the host must not overtake.
  bool Contains(std::string_view aHost) const;

  /// Takes the messages out that can be sent.
  std::vector<PeerMessage> TakeReady(const std::function<bool(const std::string&)>& aIsReady);
  /// Takes the messages out that have waited for too long.
  std::vector<PeerMessage> TakeExpired(TimePoint aNow);

private:
  std::vector<PeerMessage> messages_;
  size_t bytes_ = 0;
};

} // namespace bg::fleet::detail
