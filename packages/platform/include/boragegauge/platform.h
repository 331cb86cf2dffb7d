#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "boragegauge/base.h"

namespace bg {

/// A row of the platform's table. Version 0 means that the row is absent.
struct TableRow
{
  std::string key;
  uint64_t version = 0;
  std::string value;
};

/// Condition of a commit: the row has exactly this version (0: absent).
struct TableCondition
{
  std::string key;
  uint64_t version = 0;
};

struct TablePut
{
  std::string key;
  std::string value;
};

/// All conditions hold and all writes apply, or nothing is changed.
struct CommitRequest
{
  std::vector<TableCondition> conditions;
  std::vector<TablePut> puts;
  std::vector<std::string> deletes;
};

struct CommitReply
{
  bool committed = false;
  uint64_t version = 0;            ///< Version given to the rows that were put.
  std::vector<TableRow> conflicts; ///< Rows whose condition failed.
  int64_t nowMs = 0;               ///< The table's clock.
};

struct RowReply
{
  TableRow row;
  int64_t nowMs = 0; ///< The table's clock.
};

struct ScanReply
{
  std::vector<TableRow> rows;
  int64_t nowMs = 0; ///< The table's clock.
};

enum class HostRole
{
  Proxy,
  Upstream,

  Count
};

enum class HostState
{
  Live,
  Leaving,

  Count
};

/// One entry of the platform's lagging host list.
struct HostEntry
{
  std::string host;
  HostRole role = HostRole::Upstream;
  std::string service; ///< Empty for proxies.
  std::string address;
  uint16_t port = 0;
  uint16_t adminPort = 0;
  uint16_t peerPort = 0; ///< Proxies only.
  std::string failureDomain;
  HostState state = HostState::Live;
  std::string bootId;
};

/// The platform's services. All calls are asynchronous; callbacks run through Init::post.
/// Errors: Timeout and Unavailable; a commit whose bytes were sent fails with OutcomeUnknown.
class Platform
{
public:
  template<typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~Platform() = default;

  virtual void Commit(CommitRequest aRequest,
                      Duration aDeadline,
                      Callback<CommitReply> aCallback) = 0;
  virtual void ReadRow(std::string_view aKey, Duration aDeadline, Callback<RowReply> aCallback) = 0;
  virtual void Scan(std::string_view aPrefix,
                    Duration aDeadline,
                    Callback<ScanReply> aCallback) = 0;
  virtual void PutObject(std::string_view aName,
                         std::string aBytes,
                         Duration aDeadline,
                         Callback<bool> aCallback) = 0;
  /// Fails with NotFound when there is no such object.
  virtual void GetObject(std::string_view aName,
                         Duration aDeadline,
                         Callback<std::string> aCallback) = 0;
  virtual void ListObjects(std::string_view aPrefix,
                           Duration aDeadline,
                           Callback<std::vector<std::string>> aCallback) = 0;
  virtual void ListHosts(Duration aDeadline, Callback<std::vector<HostEntry>> aCallback) = 0;
};

/// HTTP and JSON back end (libcurl, one background thread).
struct HttpPlatformInit
{
  std::string address; ///< IP address of the platform.
  uint16_t port = 0;
  /// Runs callbacks on the caller's thread, for example EventLoop::Post.
  std::function<void(std::function<void()>)> post;
};

std::unique_ptr<Platform> CreateHttpPlatform(HttpPlatformInit aInit);

} // namespace bg
