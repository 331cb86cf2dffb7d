#pragma once

#include <memory>
#include <string>
#include <vector>

#include "boragegauge/coordination.h"
#include "fake_platform.h"

namespace bg::test {

/// Several simulated proxies whose ConfigurationSync objects share one store and one network. Each
/// proxy sends a heartbeat to all others every second.
class ConfigurationFleet
{
public:
  struct Proxy
  {
    std::string host;
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<PeerSender> sender;
    std::unique_ptr<ConfigurationSync> sync;
    /// Revision and digest of each activation since the last restart.
    std::vector<std::pair<uint64_t, std::string>> activations;
    std::vector<DecisionRecord> records;
    uint64_t incarnation = 0;
    bool running = true; ///< False while the process is stopped or paused.
  };

  explicit ConfigurationFleet(size_t aProxies, ConfigurationSyncInit aOptions = {})
    : network(simulation)
    , options_(std::move(aOptions))
  {
    proxies.resize(aProxies);
    for (size_t i = 0; i < aProxies; ++i) {
      proxies[i].host = "p" + std::to_string(i);
      proxies[i].platform = std::make_unique<FakePlatform>(simulation, store);
      Restart(i);
    }
    simulation.Every(Milliseconds(100), [this] {
      for (Proxy& proxy : proxies) {
        if (proxy.running) {
          proxy.sync->Tick(simulation.Now());
        }
      }
    });
    simulation.Every(Milliseconds(1000), [this] { SendHeartbeats(); });
  }

  void Restart(size_t aIndex)
  {
    Proxy& proxy = proxies[aIndex];
    proxy.activations.clear();
    proxy.sender = std::make_unique<PeerSender>(
      PeerSenderInit{ proxy.host,
                      ++proxy.incarnation,
                      [this, &proxy](std::string_view aTo, std::string_view aBytes) {
                        network.Send(proxy.host, aTo, aBytes);
                      } });
    ConfigurationSyncInit init = options_;
    init.sender = proxy.sender.get();
    init.platform = proxy.platform.get();
    init.now = [this] { return simulation.Now(); };
    init.validate = [](std::string_view aBody) {
      return std::string(aBody.find("invalid") != std::string_view::npos ? "not valid" : "");
    };
    init.onActivated =
      [&proxy](uint64_t aRevision, const std::string& aDigest, const std::string&) {
        proxy.activations.emplace_back(aRevision, aDigest);
      };
    init.record = [&proxy](DecisionRecord aRecord) { proxy.records.push_back(std::move(aRecord)); };
    proxy.sync = std::make_unique<ConfigurationSync>(std::move(init));
    network.Attach(proxy.host, [&proxy](std::string_view aBytes) {
      if (proxy.running) {
        proxy.sync->Handle(*DecodeMessage(aBytes));
      }
    });
  }

  void SetRunning(size_t aIndex, bool aRunning)
  {
    proxies[aIndex].running = aRunning;
    proxies[aIndex].platform->SetPaused(!aRunning);
  }

  void SetPlatformDown(bool aDown)
  {
    for (Proxy& proxy : proxies) {
      proxy.platform->down = aDown;
    }
  }

  /// Commits a configuration like the command `apply`. The new revision is that of the head plus
  /// one.
  uint64_t Apply(const std::string& aBody)
  {
    const std::string digest = Sha256Hex(aBody);
    const auto head = DecodeHead(store.Row(std::string(kHeadKey)).value);
    const uint64_t revision = (head ? head->revision : 0) + 1;
    store.objects[ConfigurationObjectName(digest)] = aBody;
    store.Put(std::string(kHeadKey), EncodeHead({ revision, digest, "change-" + digest }));
    return revision;
  }

  bool Ready(size_t aIndex) const { return proxies[aIndex].sync->Ready(simulation.Now()); }
  uint64_t Revision(size_t aIndex) const { return proxies[aIndex].sync->Revision(); }

  Simulation simulation;
  FakeStore store;
  FakeNetwork network;
  std::vector<Proxy> proxies;

private:
  void SendHeartbeats()
  {
    for (Proxy& proxy : proxies) {
      if (!proxy.running) {
        continue;
      }
      Heartbeat heartbeat;
      heartbeat.revision = proxy.sync->Revision();
      heartbeat.digestPrefix = DigestPrefix(proxy.sync->Digest());
      heartbeat.state = ProxyState::Ready;
      for (const Proxy& other : proxies) {
        if (other.host != proxy.host) {
          proxy.sender->Send(other.host, heartbeat);
        }
      }
    }
  }

  ConfigurationSyncInit options_;
};

} // namespace bg::test
