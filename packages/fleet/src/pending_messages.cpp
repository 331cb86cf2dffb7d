#include "pending_messages_p.h"

#include <algorithm>
#include <set>

namespace bg::fleet::detail {

namespace {

constexpr size_t kMaxMessages = 256;
/// A host that never becomes ready leaves room for the others.
constexpr size_t kMaxMessagesPerHost = 8;
constexpr size_t kMaxBytes = 2UL << 20;

/// Moves the messages out for which a condition holds.
template<typename Condition>
std::vector<PeerMessage> Take(std::vector<PeerMessage>& aMessages,
                              size_t& aBytes,
                              const Condition& aCondition)
{
  const auto end =
    std::stable_partition(aMessages.begin(), aMessages.end(), [&](const PeerMessage& aMessage) {
      return !aCondition(aMessage);
    });
  std::vector<PeerMessage> taken(std::make_move_iterator(end),
                                 std::make_move_iterator(aMessages.end()));
  aMessages.erase(end, aMessages.end());
  for (const PeerMessage& message : taken) {
    aBytes -= message.bytes.size();
  }
  return taken;
}

} // namespace

bool PendingMessages::Add(PeerMessage aMessage)
{
  const auto toHost = static_cast<size_t>(
    std::count_if(messages_.begin(), messages_.end(), [&](const PeerMessage& aOther) {
      return aOther.host == aMessage.host;
    }));
  if (messages_.size() >= kMaxMessages || toHost >= kMaxMessagesPerHost ||
      bytes_ + aMessage.bytes.size() > kMaxBytes) {
    return false;
  }
  bytes_ += aMessage.bytes.size();
  messages_.push_back(std::move(aMessage));
  return true;
}

bool PendingMessages::Contains(std::string_view aHost) const
{
  return std::any_of(messages_.begin(), messages_.end(), [aHost](const PeerMessage& aMessage) {
    return aMessage.host == aHost;
  });
}

std::vector<PeerMessage> PendingMessages::TakeReady(
  const std::function<bool(const std::string&)>& aIsReady)
{
  std::set<std::string> ready;
  std::set<std::string> waiting;
  return Take(messages_, bytes_, [&](const PeerMessage& aMessage) {
    if (!ready.contains(aMessage.host) && !waiting.contains(aMessage.host)) {
      (aIsReady(aMessage.host) ? ready : waiting).insert(aMessage.host);
    }
    return ready.contains(aMessage.host);
  });
}

std::vector<PeerMessage> PendingMessages::TakeExpired(TimePoint aNow)
{
  return Take(messages_, bytes_, [aNow](const PeerMessage& aMessage) {
    return aNow - aMessage.createdAt >= aMessage.maxWait;
  });
}

} // namespace bg::fleet::detail
