#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "boragegauge/platform.h"
#include "simulation.h"

namespace bg::test {

/// Contents of the platform, shared by the FakePlatform of each simulated proxy. Copying it and
/// assigning the copy later simulates a restored older copy.
struct FakeStore
{
  std::map<std::string, TableRow> rows;
  std::map<std::string, std::string> objects;
  std::vector<HostEntry> hosts;
  uint64_t version = 0;

  uint64_t VersionOf(const std::string& aKey) const
  {
    const auto found = rows.find(aKey);
    return found == rows.end() ? 0 : found->second.version;
  }

  TableRow Row(const std::string& aKey) const
  {
    const auto found = rows.find(aKey);
    return found == rows.end() ? TableRow{ aKey, 0, "" } : found->second;
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    rows[aKey] = { aKey, ++version, aValue };
  }

  CommitReply Commit(const CommitRequest& aRequest, int64_t aNowMs)
  {
    CommitReply reply;
    reply.nowMs = aNowMs;
    for (const TableCondition& condition : aRequest.conditions) {
      if (VersionOf(condition.key) != condition.version) {
        reply.conflicts.push_back(Row(condition.key));
      }
    }
    if (!reply.conflicts.empty()) {
      return reply;
    }
    reply.committed = true;
    reply.version = ++version;
    for (const TablePut& put : aRequest.puts) {
      rows[put.key] = { put.key, version, put.value };
    }
    for (const std::string& key : aRequest.deletes) {
      rows.erase(key);
    }
    return reply;
  }
};

/// What happens to one call.
enum class Fault
{
  None,
  Refused, ///< Unavailable, without effect.
  Lost,    ///< Takes effect, but the response is lost.
  Dropped, ///< Takes no effect, and the response is lost.
  Late,    ///< The response is lost; a commit takes effect after lateDelay.

  Count
};

/// One proxy's view of the platform, with injected faults, under simulated time.
class FakePlatform : public Platform
{
public:
  FakePlatform(Simulation& aSimulation, FakeStore& aStore)
    : simulation_(aSimulation)
    , store_(aStore)
  {
  }

  bool down = false;
  Duration delay = Milliseconds(2); ///< From call to response; half of it passes before the effect.
  Duration lateDelay = Milliseconds(3000);
  std::function<Fault(bool aCommit)> fault; ///< Chooses a fault for each call.
  uint64_t commits = 0;
  uint64_t reads = 0;

  /// Holds back callbacks, as a stopped process does.
  void SetPaused(bool aPaused)
  {
    paused_ = aPaused;
    while (!paused_ && !held_.empty()) {
      auto callback = std::move(held_.front());
      held_.pop_front();
      callback();
    }
  }

  int64_t TableNowMs() const { return 1000000000 + simulation_.ElapsedMs(); }

  void Commit(CommitRequest aRequest, Duration aDeadline, Callback<CommitReply> aCallback) override
  {
    ++commits;
    Call<CommitReply>(true, aDeadline, std::move(aCallback), [this, request = std::move(aRequest)] {
      return Result<CommitReply>(store_.Commit(request, TableNowMs()));
    });
  }

  void ReadRow(std::string_view aKey, Duration aDeadline, Callback<RowReply> aCallback) override
  {
    ++reads;
    Call<RowReply>(false, aDeadline, std::move(aCallback), [this, key = std::string(aKey)] {
      return Result<RowReply>(RowReply{ store_.Row(key), TableNowMs() });
    });
  }

  void Scan(std::string_view aPrefix, Duration aDeadline, Callback<ScanReply> aCallback) override
  {
    ++reads;
    Call<ScanReply>(false, aDeadline, std::move(aCallback), [this, prefix = std::string(aPrefix)] {
      ScanReply reply{ {}, TableNowMs() };
      for (auto row = store_.rows.lower_bound(prefix);
           row != store_.rows.end() && row->first.starts_with(prefix);
           ++row) {
        reply.rows.push_back(row->second);
      }
      return Result<ScanReply>(std::move(reply));
    });
  }

  void PutObject(std::string_view aName,
                 std::string aBytes,
                 Duration aDeadline,
                 Callback<bool> aCallback) override
  {
    Call<bool>(true,
               aDeadline,
               std::move(aCallback),
               [this, name = std::string(aName), bytes = std::move(aBytes)] {
                 store_.objects[name] = bytes;
                 return Result<bool>(true);
               });
  }

  void GetObject(std::string_view aName,
                 Duration aDeadline,
                 Callback<std::string> aCallback) override
  {
    Call<std::string>(false, aDeadline, std::move(aCallback), [this, name = std::string(aName)] {
      const auto found = store_.objects.find(name);
      return found == store_.objects.end()
               ? Result<std::string>(Error{ Errc::NotFound, "object.get", "fake", name })
               : Result<std::string>(found->second);
    });
  }

  void ListObjects(std::string_view aPrefix,
                   Duration aDeadline,
                   Callback<std::vector<std::string>> aCallback) override
  {
    using Names = std::vector<std::string>;
    Call<Names>(false, aDeadline, std::move(aCallback), [this, prefix = std::string(aPrefix)] {
      Names names;
      for (const auto& [name, bytes] : store_.objects) {
        if (name.starts_with(prefix)) {
          names.push_back(name);
        }
      }
      return Result<Names>(std::move(names));
    });
  }

  void ListHosts(Duration aDeadline, Callback<std::vector<HostEntry>> aCallback) override
  {
    Call<std::vector<HostEntry>>(false, aDeadline, std::move(aCallback), [this] {
      return Result<std::vector<HostEntry>>(store_.hosts);
    });
  }

private:
  template<typename T>
  void Call(bool aWrite,
            Duration aDeadline,
            Callback<T> aCallback,
            std::function<Result<T>()> aEffect)
  {
    const Fault chosen = down ? Fault::Refused : fault ? fault(aWrite) : Fault::None;
    if (chosen == Fault::Refused) {
      return Respond<T>(
        delay, std::move(aCallback), Error{ Errc::Unavailable, "call", "fake", "" });
    }
    const Error lost{
      aWrite ? Errc::OutcomeUnknown : Errc::Timeout, "call", "fake", "no response in time"
    };
    if (chosen != Fault::None || delay > aDeadline) {
      if (chosen != Fault::Dropped && aWrite) {
        simulation_.After(chosen == Fault::Late ? lateDelay : delay / 2, [aEffect] { aEffect(); });
      }
      return Respond<T>(aDeadline, std::move(aCallback), lost);
    }
    simulation_.After(delay / 2, [this, aEffect, callback = std::move(aCallback)]() mutable {
      Respond<T>(delay / 2, std::move(callback), aEffect());
    });
  }

  template<typename T>
  void Respond(Duration aDelay, Callback<T> aCallback, Result<T> aResult)
  {
    simulation_.After(aDelay, [this, callback = std::move(aCallback), result = std::move(aResult)] {
      if (paused_) {
        held_.push_back([callback, result] { callback(result); });
      } else {
        callback(result);
      }
    });
  }

  Simulation& simulation_;
  FakeStore& store_;
  bool paused_ = false;
  std::deque<std::function<void()>> held_;
};

} // namespace bg::test
