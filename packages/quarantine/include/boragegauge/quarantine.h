#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/base.h"

/// Finds requests that crash the upstreams that run them, and keeps them from further upstreams.
/// Decision code without I/O and clocks.
namespace bg::quarantine {

/// The crash of one run of an upstream under a request: the connection ended without a complete
/// response, and the upstream then accepted no connections.
struct Crash
{
  std::string upstream;
  int64_t startedAtMs = 0; ///< Of the run of the upstream, Unix time; 0: unknown.
  TimePoint sentAt{};      ///< When the request was sent.
  TimePoint endedAt{};
  std::string source; ///< Host that sent the request.
};

/// What is known of a request that was running when an upstream crashed.
struct SuspectRequest
{
  uint64_t fingerprint = 0;
  std::vector<Crash> crashes;          ///< Since it last survived, by endedAt.
  std::optional<TimePoint> survivedAt; ///< When an upstream last answered it.
  TimePoint changedAt{};               ///< When this host last learned something new.

  /// Number of crashes of which each began with a request that was sent after the one before it. A
  /// single event, such as a lost network path, can end several attempts of a popular request at
  /// once and counts as one.
  size_t CountSequentialCrashes() const;
};

enum class Decision
{
  Allow, ///< Like any other request.
  Trial, ///< May be sent by itself, once, while no other host does so.
  Reject,

  Count
};

std::string_view ToString(Decision aDecision);

struct Verdict
{
  Decision decision = Decision::Allow;
  Duration retryAfter{ 0 }; ///< With Reject: time until the next trial.
};

/// Requests that were running when upstreams crashed, by fingerprint.
///
/// Up to a whole concurrency limit of requests is running when an upstream crashes, and all but one
/// of them are innocent. A request is told apart by a sequence of crashes without a response in
/// between: after kTrialCrashes it runs by itself, after kQuarantineCrashes it is rejected but for
/// rare trials. Any response of an upstream clears it.
class RequestQuarantine
{
public:
  static constexpr size_t kTrialCrashes = 2;
  static constexpr size_t kQuarantineCrashes = 3;

  Verdict Check(uint64_t aFingerprint, TimePoint aNow) const;

  /// Records a crash. @return True if it was not known.
  bool RecordCrash(uint64_t aFingerprint, Crash aCrash, TimePoint aNow);
  /// Records that an upstream has answered the request. @return True if it was suspected.
  bool RecordSurvival(uint64_t aFingerprint, TimePoint aNow);
  /// Adds what another host knows. @return True if any of it was not known.
  bool Merge(const SuspectRequest& aRequest, TimePoint aNow);

  /// Forgets what is too old to count.
  void Expire(TimePoint aNow);

  /// Digest of all crashes that count, independent of their order.
  uint64_t Digest() const;
  /// The requests to tell a host that knows none: those with the most crashes first, then those
  /// with the newest.
  std::vector<const SuspectRequest*> MostSuspected(size_t aMaxCount) const;

  const SuspectRequest* Find(uint64_t aFingerprint) const;
  const std::unordered_map<uint64_t, SuspectRequest>& Requests() const { return requests_; }
  /// Number of requests that are rejected now.
  size_t CountQuarantined(TimePoint aNow) const;

private:
  SuspectRequest& GetRequest(uint64_t aFingerprint);
  void Evict();

  std::unordered_map<uint64_t, SuspectRequest> requests_;
};

/// Which requests are on trial, so that only one host of the fleet sends such a request at a time.
/// Kept by the allocator that grants the slots for them.
class TrialLocks
{
public:
  /// Identifies the attempt of a host that holds a lock.
  struct Owner
  {
    uint64_t host = 0;
    uint64_t sequence = 0;
    friend bool operator==(const Owner&, const Owner&) = default;
  };

  /// @param aUntil The lock expires then.
  /// @return False if another attempt holds the lock.
  bool TryAcquire(uint64_t aFingerprint, Owner aOwner, TimePoint aUntil, TimePoint aNow);
  /// Ends the trial of an attempt. The lock is kept for a while, until all hosts know the result.
  void Release(Owner aOwner, TimePoint aNow);

private:
  struct Lock
  {
    Owner owner;
    TimePoint until{};
  };
  std::unordered_map<uint64_t, Lock> locks_; ///< By fingerprint.
};

} // namespace bg::quarantine
