#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "boragegauge/base.h"

/// Spread of state over the hosts of a fleet with a bounded number of messages and connections per
/// host. Pure decision code without I/O and clocks.
namespace bg::overlay {

struct TreeInit
{
  std::string host; ///< This host.
  std::string failureDomain;
  uint32_t capacity = 0;        ///< Of this host, see DisseminationTree::Add().
  size_t headCount = 16;        ///< Hosts of a failure domain that receive state from its sources.
  size_t fanOut = 8;            ///< Hosts of the next level per host; each has two parents.
  size_t contactsPerDomain = 2; ///< Hosts of each other failure domain that a source sends to.
};

/// Deterministic dissemination tree of each failure domain. All hosts that know the same members
/// compute the same tree without messages.
///
/// The hosts of a domain are ordered by their capacity, those of the same capacity by the hash of
/// their names, so that state comes from hosts with processor time and bandwidth to spare. The
/// first ones are the heads, which receive state from the sources: the host that reads the store,
/// and in other domains the hosts that it contacts. Each host below has two parents in the level
/// above it, so that the loss of one of them delays nothing.
class DisseminationTree
{
public:
  explicit DisseminationTree(TreeInit aInit);

  /// Adds a host, or changes its capacity. @return False if it is known already.
  /// @param aCapacity CPU capacity in any unit that is the same for all hosts.
  bool Add(std::string_view aHost, std::string_view aFailureDomain, uint32_t aCapacity = 0);

  /// Hosts to which this host passes state on, at most two times the fan-out.
  const std::vector<std::string>& Children() const;
  /// Hosts from which this host expects state; empty for a head.
  const std::vector<std::string>& Parents() const;
  /// The heads of the failure domain of this host, without this host.
  const std::vector<std::string>& Heads() const;
  /// Hosts of the other failure domains that receive state from a source in this one. The second
  /// and further contacts of a domain change with aRound, so that lost hosts do not cut it off.
  std::vector<std::string> Contacts(uint64_t aRound) const;
  /// A host that probably has current state: a head of this domain, or of another one.
  /// @return Empty if this host knows no other.
  std::string RandomHead(uint64_t aRandom, bool aInThisDomain) const;

  /// Position of this host in the order over all failure domains, 0 first. Neighbors in this order
  /// are in different domains. Does not depend on the capacity: hosts with the largest one have
  /// other tasks, which would be lost together with this one.
  size_t Order() const;
  /// Number of hops from a head of the domain; 0 for a head.
  size_t Depth() const;
  size_t Size() const { return size_; }

private:
  struct Entry
  {
    uint32_t capacity = 0;
    uint64_t hash = 0; ///< Of the name.
    std::string name;

    friend bool operator==(const Entry&, const Entry&) = default;
    /// The order within a domain.
    friend bool operator<(const Entry& aLeft, const Entry& aRight)
    {
      return std::tie(aRight.capacity, aLeft.hash, aLeft.name) <
             std::tie(aLeft.capacity, aRight.hash, aRight.name);
    }
  };
  using Domain = std::vector<Entry>; ///< Sorted.

  void Update() const;
  size_t SelfIndex(const Domain& aDomain) const;

  TreeInit init_;
  std::map<std::string, Domain, std::less<>> domains_;
  size_t size_ = 0;
  mutable bool isCurrent_ = false; ///< The members below reflect domains_.
  mutable std::vector<std::string> children_;
  mutable std::vector<std::string> parents_;
  mutable std::vector<std::string> heads_;
  mutable size_t depth_ = 0;
};

struct SpreaderInit
{
  TreeInit tree;
  /// Without a message for this long, a host asks others for their state.
  Duration silenceLimit = Milliseconds(1100);
  Duration repairInterval = Milliseconds(100); ///< Between two such requests.
  Duration followPeriod = std::chrono::seconds(3);
  size_t maxFollowers = 32;
  /// State without news is passed on at this interval, as a sign that the sender is connected.
  Duration keepAliveInterval = Milliseconds(400);
};

/// Decides to whom a host sends state, and whom it asks when it receives none.
class Spreader
{
public:
  explicit Spreader(SpreaderInit aInit);

  DisseminationTree& Tree() { return tree_; }
  const DisseminationTree& Tree() const { return tree_; }

  /// Receivers of state that this host has read from the store.
  /// @param aIsUrgent More hosts of the other failure domains are among them, some of which may be
  /// lost.
  std::vector<std::string> SourceTargets(TimePoint aNow, bool aIsUrgent = false);
  /// Records state from a peer. @return Hosts to pass it on to.
  /// @param aIsNews The state differs from that of this host, or is fresher.
  std::vector<std::string> OnReceived(std::string_view aSender,
                                      std::string_view aSenderDomain,
                                      bool aIsNews,
                                      TimePoint aNow);
  /// Receivers of state that this host has got from a host of a failure domain.
  std::vector<std::string> ForwardTargets(std::string_view aSenderDomain, TimePoint aNow);
  /// Records that a host asked for the state of this one. It is sent updates for a while.
  void AddFollower(std::string_view aHost, TimePoint aNow);

  /// The peer to ask for state now; empty if there is none or no need to ask.
  /// @param aIsOutdated The state of this host is older than it should be.
  std::string PeerToAsk(bool aIsOutdated, uint64_t aRandom, TimePoint aNow);
  /// Whether peers have sent state recently.
  bool IsConnected(TimePoint aNow) const;

private:
  std::vector<std::string> WithFollowers(std::vector<std::string> aHosts, TimePoint aNow);

  SpreaderInit init_;
  DisseminationTree tree_;
  std::unordered_map<std::string, TimePoint> followers_; ///< Expiry by host.
  TimePoint lastReceivedAt_{};
  TimePoint lastUnaskedAt_{}; ///< Last message from a host other than askedPeer_.
  TimePoint lastForwardedAt_{};
  TimePoint lastAskedAt_{};
  std::string askedPeer_; ///< The last peer that was asked; empty once others send state again.
  uint64_t round_ = 0;
  uint32_t fruitlessAsks_ = 0; ///< Requests for state since the last news.
};

} // namespace bg::overlay
