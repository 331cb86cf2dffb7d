#include <algorithm>
#include <array>
#include <map>

#include "coordination_p.h"

namespace bg {

namespace {

/// A lower incarnation is accepted when the higher one has not been heard from for so long: a
/// host whose clock was set back while it restarted must not stay unknown for ever.
constexpr Milliseconds kIncarnationHold{ 30000 };

/// Points of one proxy on the hash ring that assigns health endpoints. 64 keep the shares within
/// about 12 % of each other.
constexpr uint64_t kRingPoints = 64;
constexpr Milliseconds kRingCheckInterval{ 1000 };

struct Peer
{
  PeerInfo info;
  bool heard = false;
  bool listed = false;
  bool listedLeaving = false;
  bool statedAddress = false; ///< The address comes from the peer's own heartbeat.
  std::array<uint64_t, std::variant_size_v<PeerBody>> sequences{}; ///< Last one of each type.
};

} // namespace

struct Membership::Impl : std::enable_shared_from_this<Membership::Impl>
{
  explicit Impl(MembershipInit aInit)
    : init(std::move(aInit))
  {
  }

  bool Live(const Peer& aPeer, TimePoint aNow) const
  {
    return aPeer.heard && aNow - aPeer.info.lastHeard < init.peerTimeout;
  }

  /// Evidence sent to a peer that does not hear this proxy would be lost.
  bool Usable(const Peer& aPeer, TimePoint aNow) const
  {
    return Live(aPeer, aNow) && aPeer.info.port != 0 && aPeer.info.hearsUs &&
           !aPeer.listedLeaving && aPeer.info.state == ProxyState::Ready;
  }

  /// The own address goes only to peers that do not hear this proxy yet, which keeps the steady
  /// traffic within its budget.
  void SendHeartbeats(TimePoint aNow)
  {
    Heartbeat heartbeat = init.heartbeat();
    const bool hearsNobody = std::none_of(
      peers.begin(), peers.end(), [&](const auto& aEntry) { return Live(aEntry.second, aNow); });
    if (hearsNobody) {
      SendToSeeds(heartbeat);
    }
    Heartbeat introduction = heartbeat;
    heartbeat.address.clear();
    heartbeat.port = 0;
    for (const auto& [host, peer] : peers) {
      if (peer.info.port != 0 && !peer.info.hearsUs) {
        introduction.heardIncarnation = Live(peer, aNow) ? peer.info.incarnation : 0;
        init.sender->Send(host, introduction);
      } else if (peer.info.port != 0) {
        heartbeat.heardIncarnation = Live(peer, aNow) ? peer.info.incarnation : 0;
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
        // Without the list the known peers stay: it lags anyway, and heartbeats decide on use.
        if (aHosts) {
          aSelf.UseHosts(*aHosts);
        }
      }));
  }

  void UseHosts(const std::vector<HostEntry>& aHosts)
  {
    for (auto& [host, peer] : peers) {
      peer.listed = false;
    }
    for (const HostEntry& entry : aHosts) {
      if (entry.role == HostRole::Proxy && entry.host != init.sender->Host()) {
        UseEntry(entry);
      }
    }
    detail::Notify(init.onHosts, aHosts);
  }

  void UseEntry(const HostEntry& aEntry)
  {
    if (!peers.contains(aEntry.host) && peers.size() >= kMaxPeers) {
      return;
    }
    Peer& peer = peers[aEntry.host];
    peer.listed = true;
    peer.listedLeaving = aEntry.state == HostState::Leaving;
    if (peer.info.failureDomain.empty()) {
      peer.info.failureDomain = aEntry.failureDomain;
    }
    peer.info.host = aEntry.host;
    // What a live peer says of itself is newer than the list, which lags.
    if (!peer.statedAddress || !Live(peer, init.now())) {
      peer.statedAddress = false;
      UseAddress(peer.info, aEntry.address, aEntry.peerPort);
    }
  }

  void UseAddress(PeerInfo& aPeer, const std::string& aAddress, uint16_t aPort)
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

  void RemovePeers(TimePoint aNow)
  {
    for (auto peer = peers.begin(); peer != peers.end();) {
      if (peer->second.listed || Live(peer->second, aNow)) {
        ++peer;
        continue;
      }
      const std::string host = peer->first;
      peer = peers.erase(peer);
      detail::Notify(init.onPeerRemoved, host);
    }
  }

  bool Accept(const PeerMessage& aMessage, TimePoint aNow)
  {
    if (aMessage.sender == init.sender->Host() ||
        (!peers.contains(aMessage.sender) && peers.size() >= kMaxPeers)) {
      return false;
    }
    Peer& peer = peers[aMessage.sender];
    const bool recent = peer.heard && aNow - peer.info.lastHeard < kIncarnationHold;
    if (aMessage.incarnation < peer.info.incarnation && recent) {
      return false;
    }
    if (aMessage.incarnation != peer.info.incarnation) {
      peer.sequences.fill(0);
      peer.info.hearsUs = false;
    }
    uint64_t& last = peer.sequences[aMessage.body.index()];
    if (aMessage.sequence <= last) {
      return false;
    }
    last = aMessage.sequence;
    peer.info.host = aMessage.sender;
    peer.info.incarnation = aMessage.incarnation;
    peer.info.lastHeard = aNow;
    peer.heard = true;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage.body)) {
      UseHeartbeat(peer, *heartbeat);
    }
    return true;
  }

  void UseHeartbeat(Peer& aPeer, const Heartbeat& aHeartbeat)
  {
    PeerInfo& info = aPeer.info;
    info.failureDomain = aHeartbeat.failureDomain;
    info.state = aHeartbeat.state;
    info.hearsUs = aHeartbeat.heardIncarnation == init.sender->Incarnation();
    info.revision = aHeartbeat.revision;
    if (!aHeartbeat.address.empty() && aHeartbeat.port != 0) {
      aPeer.statedAddress = true;
      UseAddress(info, aHeartbeat.address, aHeartbeat.port);
    }
  }

  /// Rebuilds the ring when the usable peers have changed.
  void RefreshRing(TimePoint aNow)
  {
    if (!ring.empty() && aNow < nextRingCheck) {
      return;
    }
    nextRingCheck = aNow + kRingCheckInterval;
    std::vector<std::string_view> hosts{ init.sender->Host() };
    for (const auto& [host, peer] : peers) {
      if (Usable(peer, aNow)) {
        hosts.push_back(host);
      }
    }
    uint64_t members = 0;
    for (const std::string_view host : hosts) {
      members += Hash64(host);
    }
    if (!ring.empty() && members == ringMembers) {
      return;
    }
    ringMembers = members;
    ring.clear();
    for (const std::string_view host : hosts) {
      for (uint64_t point = 0; point < kRingPoints; ++point) {
        ring.emplace_back(Hash64(host, point), host);
      }
    }
    std::sort(ring.begin(), ring.end());
  }

  MembershipInit init;
  MembershipStats stats;
  std::vector<std::pair<uint64_t, std::string>> ring;
  uint64_t ringMembers = 0;
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
  impl_->RemovePeers(aNow);
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
  if (!impl_->Accept(*message, impl_->init.now())) {
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
    if (impl_->Live(peer, aNow)) {
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
    if (impl_->Usable(peer, aNow)) {
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
  impl_->RefreshRing(aNow);
  const auto& ring = impl_->ring;
  // Hashed once more, so that any key is spread over the ring.
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
