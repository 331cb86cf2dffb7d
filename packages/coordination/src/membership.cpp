#include <algorithm>
#include <array>
#include <map>

#include "coordination_p.h"

namespace bg {

namespace {

/// Messages of a lower incarnation are accepted after this time without a message of the higher
/// one. Otherwise a host whose clock was set back during a restart would be ignored forever.
constexpr Milliseconds kIncarnationTimeout{ 30000 };

/// Virtual nodes of one proxy on the hash ring that assigns health endpoints. With 64 the shares of
/// the proxies differ by about 12 % at most.
constexpr uint64_t kRingNodesPerProxy = 64;
constexpr Milliseconds kRingCheckInterval{ 1000 };

struct Peer
{
  PeerInfo info;
  bool hasSentMessage = false;
  bool isListed = false;            ///< Present in the last host list that was read.
  bool isListedLeaving = false;     ///< The host list shows the peer as leaving.
  bool hasAnnouncedAddress = false; ///< The address comes from a heartbeat of the peer.
  /// Highest sequence number received for each message type.
  std::array<uint64_t, std::variant_size_v<PeerBody>> lastSequences{};
};

} // namespace

struct Membership::Impl : std::enable_shared_from_this<Membership::Impl>
{
  explicit Impl(MembershipInit aInit)
    : init(std::move(aInit))
  {
  }

  bool IsLive(const Peer& aPeer, TimePoint aNow) const
  {
    return aPeer.hasSentMessage && aNow - aPeer.info.lastReceivedAt < init.peerTimeout;
  }

  /// Excludes peers that do not receive from this proxy, because evidence sent to them would be
  /// lost.
  bool IsUsable(const Peer& aPeer, TimePoint aNow) const
  {
    return IsLive(aPeer, aNow) && aPeer.info.port != 0 && aPeer.info.receivesFromUs &&
           !aPeer.isListedLeaving && aPeer.info.state == ProxyState::Ready;
  }

  /// Includes the address of this proxy only for peers that do not receive from it yet, which keeps
  /// the steady traffic within its budget.
  void SendHeartbeats(TimePoint aNow)
  {
    Heartbeat heartbeat = init.heartbeat();
    const bool hasNoLivePeer = std::none_of(
      peers.begin(), peers.end(), [&](const auto& aEntry) { return IsLive(aEntry.second, aNow); });
    if (hasNoLivePeer) {
      SendToSeeds(heartbeat);
    }
    Heartbeat withAddress = heartbeat;
    heartbeat.address.clear();
    heartbeat.port = 0;
    for (const auto& [host, peer] : peers) {
      if (peer.info.port != 0 && !peer.info.receivesFromUs) {
        withAddress.heardIncarnation = IsLive(peer, aNow) ? peer.info.incarnation : 0;
        init.sender->Send(host, withAddress);
      } else if (peer.info.port != 0) {
        heartbeat.heardIncarnation = IsLive(peer, aNow) ? peer.info.incarnation : 0;
        init.sender->Send(host, heartbeat);
      }
    }
  }

  void ReadHosts()
  {
    readingHosts = true;
    init.platform->ListHosts(
      init.hostsInterval,
      detail::Guarded(shared_from_this(), [](Impl& aSelf, Result<std::vector<HostEntry>> aHosts) {
        aSelf.readingHosts = false;
        // A failed read keeps all peers: the list is always delayed, and heartbeats decide which
        // peers are used.
        if (aHosts) {
          aSelf.ApplyHostList(*aHosts);
        }
      }));
  }

  void ApplyHostList(const std::vector<HostEntry>& aHosts)
  {
    for (auto& [host, peer] : peers) {
      peer.isListed = false;
    }
    for (const HostEntry& entry : aHosts) {
      if (entry.role == HostRole::Proxy && entry.host != init.sender->Host()) {
        ApplyHostEntry(entry);
      }
    }
    detail::Notify(init.onHosts, aHosts);
  }

  void ApplyHostEntry(const HostEntry& aEntry)
  {
    if (!peers.contains(aEntry.host) && peers.size() >= kMaxPeers) {
      return;
    }
    Peer& peer = peers[aEntry.host];
    peer.isListed = true;
    peer.isListedLeaving = aEntry.state == HostState::Leaving;
    if (peer.info.failureDomain.empty()) {
      peer.info.failureDomain = aEntry.failureDomain;
    }
    peer.info.host = aEntry.host;
    // An address in the heartbeat of a live peer is newer than the one in the delayed host list.
    if (!peer.hasAnnouncedAddress || !IsLive(peer, init.now())) {
      peer.hasAnnouncedAddress = false;
      UpdateAddress(peer.info, aEntry.address, aEntry.peerPort);
    }
  }

  void UpdateAddress(PeerInfo& aPeer, const std::string& aAddress, uint16_t aPort)
  {
    if (aPeer.address != aAddress || aPeer.port != aPort) {
      aPeer.address = aAddress;
      aPeer.port = aPort;
      detail::Notify(init.onPeer, aPeer);
    }
  }

  void SendToSeeds(Heartbeat aHeartbeat)
  {
    aHeartbeat.heardIncarnation = 0;
    for (const SeedAddress& seed : init.seeds) {
      PeerInfo peer;
      peer.host = "seed:" + seed.address + ":" + std::to_string(seed.port);
      peer.address = seed.address;
      peer.port = seed.port;
      detail::Notify(init.onPeer, peer);
      init.sender->Send(peer.host, aHeartbeat);
    }
  }

  void RemoveUnlistedPeers(TimePoint aNow)
  {
    for (auto peer = peers.begin(); peer != peers.end();) {
      if (peer->second.isListed || IsLive(peer->second, aNow)) {
        ++peer;
        continue;
      }
      const std::string host = peer->first;
      peer = peers.erase(peer);
      detail::Notify(init.onPeerRemoved, host);
    }
  }

  /// Updates the sender's state. Returns false for a message that must be dropped.
  bool AcceptMessage(const PeerMessage& aMessage, TimePoint aNow)
  {
    if (aMessage.sender == init.sender->Host() ||
        (!peers.contains(aMessage.sender) && peers.size() >= kMaxPeers)) {
      return false;
    }
    Peer& peer = peers[aMessage.sender];
    const bool incarnationCurrent =
      peer.hasSentMessage && aNow - peer.info.lastReceivedAt < kIncarnationTimeout;
    if (aMessage.incarnation < peer.info.incarnation && incarnationCurrent) {
      return false;
    }
    if (aMessage.incarnation != peer.info.incarnation) {
      peer.lastSequences.fill(0);
      peer.info.receivesFromUs = false;
    }
    uint64_t& lastSequence = peer.lastSequences[aMessage.body.index()];
    if (aMessage.sequence <= lastSequence) {
      return false;
    }
    lastSequence = aMessage.sequence;
    peer.info.host = aMessage.sender;
    peer.info.incarnation = aMessage.incarnation;
    peer.info.lastReceivedAt = aNow;
    peer.hasSentMessage = true;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage.body)) {
      ApplyHeartbeat(peer, *heartbeat);
    }
    return true;
  }

  void ApplyHeartbeat(Peer& aPeer, const Heartbeat& aHeartbeat)
  {
    PeerInfo& info = aPeer.info;
    info.failureDomain = aHeartbeat.failureDomain;
    info.state = aHeartbeat.state;
    info.receivesFromUs = aHeartbeat.heardIncarnation == init.sender->Incarnation();
    info.revision = aHeartbeat.revision;
    if (!aHeartbeat.address.empty() && aHeartbeat.port != 0) {
      aPeer.hasAnnouncedAddress = true;
      UpdateAddress(info, aHeartbeat.address, aHeartbeat.port);
    }
  }

  /// Rebuilds the ring if the set of usable peers has changed.
  void UpdateRing(TimePoint aNow)
  {
    if (!ring.empty() && aNow < nextRingCheck) {
      return;
    }
    nextRingCheck = aNow + kRingCheckInterval;
    std::vector<std::string_view> hosts{ init.sender->Host() };
    for (const auto& [host, peer] : peers) {
      if (IsUsable(peer, aNow)) {
        hosts.push_back(host);
      }
    }
    // The sum does not depend on the order and identifies the set of hosts.
    uint64_t membersHash = 0;
    for (const std::string_view host : hosts) {
      membersHash += Hash64(host);
    }
    if (!ring.empty() && membersHash == ringMembersHash) {
      return;
    }
    ringMembersHash = membersHash;
    ring.clear();
    for (const std::string_view host : hosts) {
      for (uint64_t point = 0; point < kRingNodesPerProxy; ++point) {
        ring.emplace_back(Hash64(host, point), host);
      }
    }
    std::sort(ring.begin(), ring.end());
  }

  MembershipInit init;
  MembershipStats stats;
  std::vector<std::pair<uint64_t, std::string>> ring; ///< Hash and host, sorted.
  uint64_t ringMembersHash = 0;
  TimePoint nextRingCheck;
  std::map<std::string, Peer, std::less<>> peers;
  TimePoint nextHeartbeat;
  TimePoint nextHosts;
  bool readingHosts = false;
};

Membership::Membership(MembershipInit aInit)
  : impl_(std::make_shared<Impl>(std::move(aInit)))
{
}

Membership::~Membership() = default;

void Membership::Tick(TimePoint aNow)
{
  if (aNow >= impl_->nextHosts && !impl_->readingHosts) {
    impl_->nextHosts = aNow + impl_->init.hostsInterval;
    impl_->ReadHosts();
  }
  impl_->RemoveUnlistedPeers(aNow);
  if (aNow >= impl_->nextHeartbeat) {
    impl_->nextHeartbeat = aNow + impl_->init.heartbeatInterval;
    impl_->SendHeartbeats(aNow);
  }
}

std::optional<PeerMessage> Membership::Receive(std::string_view aBytes)
{
  ++impl_->stats.received;
  auto message = DecodeMessage(aBytes);
  if (!message) {
    ++impl_->stats.malformed;
    Log(LogLevel::Debug, "peer_message_refused", { { "reason", ToString(message.Failure()) } });
    return std::nullopt;
  }
  if (!impl_->AcceptMessage(*message, impl_->init.now())) {
    ++impl_->stats.outdated;
    return std::nullopt;
  }
  return std::move(*message);
}

std::vector<std::string> Membership::Peers() const
{
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : impl_->peers) {
    if (peer.info.port != 0) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<std::string> Membership::LivePeers(TimePoint aNow) const
{
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : impl_->peers) {
    if (impl_->IsLive(peer, aNow)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::optional<PeerInfo> Membership::Find(std::string_view aHost) const
{
  const auto found = impl_->peers.find(aHost);
  return found == impl_->peers.end() ? std::nullopt : std::optional(found->second.info);
}

std::vector<std::string> Membership::Aggregators(uint64_t aUpstreamKey,
                                                 size_t aCount,
                                                 TimePoint aNow) const
{
  const std::string& self = impl_->init.sender->Host();
  std::vector<std::pair<uint64_t, std::string_view>> scores{ { Hash64(self, aUpstreamKey), self } };
  for (const auto& [host, peer] : impl_->peers) {
    if (impl_->IsUsable(peer, aNow)) {
      scores.emplace_back(Hash64(host, aUpstreamKey), host);
    }
  }
  const size_t count = std::min(aCount, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(count),
                    scores.end(),
                    std::greater<>());
  std::vector<std::string> hosts;
  for (size_t i = 0; i < count; ++i) {
    hosts.emplace_back(scores[i].second);
  }
  return hosts;
}

std::string Membership::HealthReader(uint64_t aUpstreamKey, TimePoint aNow) const
{
  impl_->UpdateRing(aNow);
  const auto& ring = impl_->ring;
  // The key is hashed again, so that keys of any form are spread evenly over the ring.
  const std::string_view bytes(reinterpret_cast<const char*>(&aUpstreamKey), sizeof(aUpstreamKey));
  const auto isBefore = [](const auto& aPoint, uint64_t aHash) { return aPoint.first < aHash; };
  const auto found = std::lower_bound(ring.begin(), ring.end(), Hash64(bytes), isBefore);
  return found == ring.end() ? ring.front().second : found->second;
}

const MembershipStats& Membership::Stats() const
{
  return impl_->stats;
}

} // namespace bg
