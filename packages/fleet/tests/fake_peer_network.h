#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "boragegauge/eventloop.h"
#include "boragegauge/peering.h"

namespace bg::fleet::test {

/// Carries messages between the hosts of a test. Links can be slow to connect, or lose all messages
/// without a sign to the sender; a connection that is opened or used meanwhile carries none later.
/// Thread-safe; outlives the transports.
class FakePeerNetwork
{
public:
  /// Time until a new connection carries messages; earlier ones are dropped.
  Duration connectTime = Milliseconds(1);
  /// Whether messages from one address to another are lost. Null: none are.
  std::function<bool(const std::string& aFrom, const std::string& aTo)> isLost;

  std::unique_ptr<PeerTransport> Create(PeerTransportInit aInit)
  {
    return std::make_unique<Transport>(*this, std::move(aInit));
  }

  /// Changes connectTime or isLost while hosts run.
  void Change(const std::function<void(FakePeerNetwork&)>& aChange)
  {
    const std::lock_guard lock(mutex_);
    aChange(*this);
  }

private:
  class Transport : public PeerTransport
  {
  public:
    Transport(FakePeerNetwork& aNetwork, PeerTransportInit aInit)
      : network_(aNetwork)
      , init_(std::move(aInit))
    {
      const std::lock_guard lock(network_.mutex_);
      network_.receivers_[init_.address] = this;
    }
    ~Transport() override
    {
      const std::lock_guard lock(network_.mutex_);
      network_.receivers_.erase(init_.address);
    }
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;

    void SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t) override
    {
      const std::string address(aAddress);
      const auto known = peers_.find(std::string(aHost));
      if (known != peers_.end() && known->second.address == address) {
        return;
      }
      const bool isStuck = network_.IsLost(init_.address, address);
      peers_.insert_or_assign(std::string(aHost), Peer{ address, Now(), isStuck });
    }

    void RemovePeer(std::string_view aHost) override { peers_.erase(std::string(aHost)); }

    bool Send(std::string_view aHost, std::string_view aBytes) override
    {
      const bool isReady = IsReady(aHost);
      if (isReady) {
        Peer& peer = peers_.find(std::string(aHost))->second;
        peer.isStuck = network_.IsLost(init_.address, peer.address);
        if (!peer.isStuck) {
          network_.Deliver(peer.address, aBytes);
        }
      }
      stats_.messagesSent += isReady ? 1 : 0;
      stats_.dropped += isReady ? 0 : 1;
      return isReady;
    }

    bool IsReady(std::string_view aHost) const override
    {
      const auto peer = peers_.find(std::string(aHost));
      return peer != peers_.end() && !peer->second.isStuck &&
             Now() >= peer->second.openedAt + network_.ConnectTime();
    }

    uint16_t Port() const override { return init_.port; }
    PeerTransportStats Stats() const override { return stats_; }

    /// Called with the lock of the network.
    void Receive(std::string aBytes)
    {
      init_.loop->Post([this, weak = std::weak_ptr(isAlive_), bytes = std::move(aBytes)] {
        if (weak.lock()) {
          init_.onMessage(bytes);
        }
      });
    }

  private:
    struct Peer
    {
      std::string address;
      TimePoint openedAt{};
      bool isStuck = false; ///< It does not get ready.
    };

    FakePeerNetwork& network_;
    PeerTransportInit init_;
    std::map<std::string, Peer> peers_;
    PeerTransportStats stats_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
  };

  Duration ConnectTime()
  {
    const std::lock_guard lock(mutex_);
    return connectTime;
  }

  bool IsLost(const std::string& aFrom, const std::string& aTo)
  {
    const std::lock_guard lock(mutex_);
    return isLost && isLost(aFrom, aTo);
  }

  void Deliver(const std::string& aTo, std::string_view aBytes)
  {
    const std::lock_guard lock(mutex_);
    const auto receiver = receivers_.find(aTo);
    if (receiver != receivers_.end()) {
      receiver->second->Receive(std::string(aBytes));
    }
  }

  std::mutex mutex_;
  TimePoint brokenBefore_{};                    ///< See BreakConnections().
  std::map<std::string, Transport*> receivers_; ///< By address.
};

} // namespace bg::fleet::test
