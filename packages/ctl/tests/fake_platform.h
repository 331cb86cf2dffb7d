#pragma once

#include <map>

#include "boragegauge/ctl.h"

namespace bg::ctl {

/// What happens to one commit.
enum class CommitFault
{
  None,
  LoseResponse, ///< Takes effect; the caller gets OutcomeUnknown.
  Drop,         ///< Has no effect; the caller gets OutcomeUnknown.
  Delay,        ///< Takes effect at DeliverDelayed(); the caller gets OutcomeUnknown.
  Refuse,       ///< Not sent; the caller gets Unavailable.

  Count
};

/// In-memory platform whose callbacks run inside the call.
class FakePlatform : public Platform
{
public:
  void Commit(CommitRequest aRequest, Duration, Callback<CommitReply> aCallback) override;
  void ReadRow(std::string_view aKey, Duration, Callback<RowReply> aCallback) override;
  void Scan(std::string_view aPrefix, Duration, Callback<ScanReply> aCallback) override;
  void PutObject(std::string_view aName,
                 std::string aBytes,
                 Duration,
                 Callback<bool> aCallback) override;
  void GetObject(std::string_view aName, Duration, Callback<std::string> aCallback) override;
  void ListObjects(std::string_view aPrefix,
                   Duration,
                   Callback<std::vector<std::string>> aCallback) override;
  void ListHosts(Duration, Callback<std::vector<HostEntry>> aCallback) override;

  void DeliverDelayed();
  void AddProxy(const std::string& aHost, HostState aState = HostState::Live);
  std::optional<ConfigurationHead> Head() const;

  std::map<std::string, TableRow, std::less<>> rows;
  std::map<std::string, std::string, std::less<>> objects;
  std::vector<HostEntry> hosts;
  bool tableDown = false;
  bool objectsDown = false;
  bool hostsDown = false;
  std::vector<CommitFault> faults;    ///< Of the next commits, in order.
  std::function<void()> beforeCommit; ///< Runs once, before the next commit.
  std::function<void()> afterCommit;  ///< Runs once, after the next commit, before its response.

private:
  CommitReply Execute(const CommitRequest& aRequest);

  std::vector<CommitRequest> delayed_;
  uint64_t version_ = 0;
};

} // namespace bg::ctl
