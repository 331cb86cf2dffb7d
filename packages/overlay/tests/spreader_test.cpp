#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "boragegauge/overlay.h"

using namespace bg;
using namespace bg::overlay;

namespace {

/// A fleet of spreaders whose state is a version number. One live host at a time reads the versions
/// from the store. Hosts may be down, frozen or cut off; messages may be lost.
class Fleet
{
public:
  struct Faults
  {
    double lossShare = 0;
    bool isRepairOff = false;
  };

  Fleet(size_t aHosts, size_t aDomains, uint64_t aSeed, Faults aFaults)
    : faults_(aFaults)
    , random_(aSeed)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      names_.push_back("host" + std::to_string(i));
    }
    for (size_t i = 0; i < aHosts; ++i) {
      const std::string domain = "domain" + std::to_string(i % aDomains);
      hosts_.emplace(names_[i], Host{ Spreader({ .tree = { names_[i], domain } }), domain });
    }
    for (auto& [name, host] : hosts_) {
      for (const auto& [other, data] : hosts_) {
        host.spreader.Tree().Add(other, data.domain);
      }
    }
  }

  void SetDown(double aShare)
  {
    for (auto& [name, host] : hosts_) {
      host.isDown = Uniform() < aShare;
    }
  }
  void SetDomainCut(const std::string& aDomain, bool aIsCut) { cutDomain_ = aIsCut ? aDomain : ""; }

  void Advance(Duration aTime)
  {
    for (const TimePoint end = now_ + aTime; now_ < end;) {
      now_ += kStep;
      if (now_ >= nextRead_) {
        nextRead_ = now_ + Milliseconds(500);
        ReadStore();
      }
      Deliver();
      for (auto& [name, host] : hosts_) {
        Ask(name, host);
      }
    }
  }

  void Publish() { ++version_; }

  /// Hosts that are up but do not have the current version.
  size_t Outdated() const
  {
    return static_cast<size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [this](const auto& aHost) {
        return !aHost.second.isDown && aHost.second.version != version_;
      }));
  }

  /// Most messages that a host has sent per second since the last call.
  double MaxMessageRate()
  {
    double most = 0;
    for (auto& [name, host] : hosts_) {
      most = std::max(most, double(std::exchange(host.sent, 0)));
    }
    const double seconds = std::chrono::duration<double>(now_ - rateSince_).count();
    rateSince_ = now_;
    return most / seconds;
  }

  bool hasGoneBack = false; ///< A host replaced its version by an older one.

private:
  static constexpr Milliseconds kStep{ 10 };

  struct Host
  {
    Spreader spreader;
    std::string domain;
    uint64_t version = 0;
    TimePoint confirmedAt{};
    bool isDown = false;
    uint32_t sent = 0;
  };
  struct Message
  {
    std::string from;
    std::string to;
    uint64_t version;
    TimePoint confirmedAt;
    bool isRequest;
  };

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void Send(const std::string& aFrom, const std::string& aTo, bool aIsRequest)
  {
    Host& host = hosts_.at(aFrom);
    ++host.sent;
    const bool isCut = (host.domain == cutDomain_) != (hosts_.at(aTo).domain == cutDomain_);
    if (!isCut && Uniform() >= faults_.lossShare) {
      next_.push_back({ aFrom, aTo, host.version, host.confirmedAt, aIsRequest });
    }
  }

  void ReadStore()
  {
    Host* reader = nullptr;
    for (auto& [name, host] : hosts_) {
      const bool isFirst =
        reader == nullptr || host.spreader.Tree().Order() < reader->spreader.Tree().Order();
      if (!host.isDown && host.domain != cutDomain_ && isFirst) {
        reader = &host;
        readerName_ = name;
      }
    }
    if (reader != nullptr) {
      reader->version = version_;
      reader->confirmedAt = now_;
      for (const std::string& target : reader->spreader.SourceTargets(now_)) {
        Send(readerName_, target, false);
      }
    }
  }

  void Ask(const std::string& aName, Host& aHost)
  {
    if (aHost.isDown || faults_.isRepairOff || aName == readerName_) {
      return;
    }
    const bool isOutdated = now_ - aHost.confirmedAt > Milliseconds(1500);
    const std::string peer = aHost.spreader.PeerToAsk(isOutdated, random_(), now_);
    if (!peer.empty()) {
      Send(aName, peer, true);
    }
  }

  void Deliver()
  {
    for (const Message& message : std::exchange(next_, {})) {
      Host& host = hosts_.at(message.to);
      if (host.isDown) {
        continue;
      }
      if (message.isRequest) {
        host.spreader.AddFollower(message.from, now_);
        Send(message.to, message.from, false);
        continue;
      }
      const bool isNews =
        message.version > host.version || message.confirmedAt > host.confirmedAt + Milliseconds(50);
      const uint64_t previous = host.version;
      host.version = std::max(host.version, message.version);
      hasGoneBack = hasGoneBack || host.version < previous;
      host.confirmedAt = std::max(host.confirmedAt, message.confirmedAt);
      for (const std::string& target :
           host.spreader.OnReceived(message.from, hosts_.at(message.from).domain, isNews, now_)) {
        Send(message.to, target, false);
      }
    }
  }

  Faults faults_;
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::map<std::string, Host> hosts_;
  std::vector<Message> next_;
  std::string readerName_;
  std::string cutDomain_;
  uint64_t version_ = 0;
  TimePoint now_{ std::chrono::hours(1) };
  TimePoint nextRead_ = now_;
  TimePoint rateSince_ = now_;
};

/// Seed of the histories; BG_TEST_SEED overrides it.
uint64_t FirstSeed()
{
  const char* text = std::getenv("BG_TEST_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

/// Messages that a host may send in a second: as a source, to heads, children and contacts twice a
/// second, the same again as a head that others ask, and requests of its own.
constexpr double kMaxMessagesPerSecond = 4 * (16 + 16 + 10 + 32);

} // namespace

TEST_CASE("a change reaches all hosts of a fleet")
{
  for (const size_t count : { 40UL, 443UL, 2500UL }) {
    CAPTURE(count);
    Fleet fleet(count, 6, 1, {});
    fleet.Advance(std::chrono::seconds(5)); // Until the hosts that asked at the start are served.
    fleet.MaxMessageRate();
    for (int i = 0; i < 3; ++i) {
      fleet.Publish();
      // The reader looks every 500 ms; the rest are the hops of the tree.
      fleet.Advance(Milliseconds(600));
      CHECK(fleet.Outdated() == 0);
    }
    CHECK(fleet.MaxMessageRate() < 3 * (16 + 16 + 10));
  }
}

TEST_CASE("a change reaches all hosts that are up in three seconds")
{
  // Random histories of lost hosts, lost messages and a domain that is cut off and returns.
  const uint64_t first = FirstSeed();
  for (uint64_t seed = first; seed < first + 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const size_t count = seed % 20 == 0 ? 443 : 40 + random() % 100;
    Fleet fleet(count, 3 + random() % 4, seed, { .lossShare = 0.02 * double(random() % 3) });
    fleet.Advance(std::chrono::seconds(2));
    fleet.SetDown(0.1 * double(random() % 6));
    const bool isCut = random() % 3 == 0;
    fleet.SetDomainCut("domain1", isCut);
    fleet.Advance(Milliseconds(random() % 2000));
    fleet.SetDomainCut("domain1", false);
    fleet.SetDown(0.1 * double(random() % 6));
    fleet.Advance(Milliseconds(random() % 300));
    fleet.MaxMessageRate();
    fleet.Publish();
    fleet.Advance(std::chrono::seconds(3));
    CHECK(fleet.Outdated() == 0);
    CHECK(fleet.MaxMessageRate() < kMaxMessagesPerSecond);
    CHECK_FALSE(fleet.hasGoneBack);
  }
}

TEST_CASE("hosts whose parents are down are found to be outdated if no host asks for state")
{
  // Shows that the check of the histories fails without the repair.
  Fleet fleet(443, 6, 3, { .isRepairOff = true });
  fleet.Advance(std::chrono::seconds(2));
  fleet.SetDown(0.5);
  fleet.Publish();
  fleet.Advance(std::chrono::seconds(3));
  CHECK(fleet.Outdated() > 0);
}

TEST_CASE("state that a host has got is passed on to the heads of its domain only from another one")
{
  const TimePoint now{ std::chrono::hours(1) };
  Spreader spreader({ .tree = { "host0", "a", 4, 2 } });
  for (int i = 1; i < 30; ++i) {
    spreader.Tree().Add("host" + std::to_string(i), "a");
  }
  const size_t children = spreader.Tree().Children().size();
  CHECK(spreader.ForwardTargets("a", now).size() == children);
  CHECK(spreader.ForwardTargets("b", now).size() >= spreader.Tree().Heads().size());
}

// With two contacts, a domain misses a change until the next read when both were killed.
TEST_CASE("urgent state goes to more hosts of each other domain")
{
  const TimePoint now{ std::chrono::hours(1) };
  Spreader spreader({ .tree = { "host0", "domain0" } });
  std::map<std::string, std::string> domainOf;
  for (int i = 1; i < 60; ++i) {
    const std::string host = "host" + std::to_string(i);
    domainOf[host] = "domain" + std::to_string(i % 3);
    spreader.Tree().Add(host, domainOf[host]);
  }
  const auto count = [&](const std::vector<std::string>& aHosts, const std::string& aDomain) {
    return std::count_if(aHosts.begin(), aHosts.end(), [&](const std::string& aHost) {
      return domainOf[aHost] == aDomain;
    });
  };
  const auto usual = spreader.SourceTargets(now);
  const auto urgent = spreader.SourceTargets(now, true);
  for (const char* domain : { "domain1", "domain2" }) {
    CHECK(count(usual, domain) == 2);
    CHECK(count(urgent, domain) == 5);
  }
  CHECK(count(usual, "domain0") == count(urgent, "domain0"));
}
