#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "boragegauge/base.h"

namespace bg {

/// A row of the platform's table. Version 0 means that the row does not exist.
struct TableRow
{
  std::string key;
  uint64_t version = 0;
  std::string value;
};

/// Precondition of a commit: the row has exactly this version; 0 means that it must not exist.
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

/// An atomic commit: if all conditions hold, all puts and deletes are applied; otherwise nothing
/// changes.
struct CommitRequest
{
  std::vector<TableCondition> conditions;
  std::vector<TablePut> puts;
  std::vector<std::string> deletes; ///< Keys of the rows to delete.
};

struct CommitReply
{
  bool committed = false;          ///< False if a condition failed.
  uint64_t version = 0;            ///< New version of the rows that were put.
  std::vector<TableRow> conflicts; ///< Current rows whose condition failed.
  int64_t nowMs = 0;               ///< Time of the table's clock in ms.
};

struct RowReply
{
  TableRow row;
  int64_t nowMs = 0; ///< Time of the table's clock in ms.
};

struct ScanReply
{
  std::vector<TableRow> rows;
  int64_t nowMs = 0; ///< Time of the table's clock in ms.
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

/// An entry of the platform's host list, which may be out of date.
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
  std::string bootId; ///< Identifies one run of the host's process; may be empty.
};

/// Client for the platform's table, object store and host list. All calls are asynchronous; their
/// callbacks run through HttpPlatformInit::post. Deadlines are relative to the call. Errors:
///  - Timeout: no complete response before the deadline.
///  - Unavailable: no connection, an incomplete response or an unexpected status outside 4xx.
///  - NotFound: status 404.
///  - Refused: any other 4xx status, except 409.
///  - TooLarge, ProtocolViolation: the response exceeds the size limit or is malformed.
///  - OutcomeUnknown: Commit() failed after request bytes may have been sent.
class Platform
{
public:
  template<typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~Platform() = default;

  /// A failed condition is not an error, see CommitReply::committed. Fails with InvalidArgument if
  /// a key or value is not UTF-8. Never sent twice.
  virtual void Commit(CommitRequest aRequest,
                      Duration aDeadline,
                      Callback<CommitReply> aCallback) = 0;
  /// Returns version 0 if the row does not exist.
  virtual void ReadRow(std::string_view aKey, Duration aDeadline, Callback<RowReply> aCallback) = 0;
  /// Returns all rows whose key begins with the prefix.
  virtual void Scan(std::string_view aPrefix,
                    Duration aDeadline,
                    Callback<ScanReply> aCallback) = 0;
  virtual void PutObject(std::string_view aName,
                         std::string aBytes,
                         Duration aDeadline,
                         Callback<bool> aCallback) = 0;
  /// Fails with NotFound if the object does not exist.
  virtual void GetObject(std::string_view aName,
                         Duration aDeadline,
                         Callback<std::string> aCallback) = 0;
  /// Returns the names of all objects that begin with the prefix.
  virtual void ListObjects(std::string_view aPrefix,
                           Duration aDeadline,
                           Callback<std::vector<std::string>> aCallback) = 0;
  virtual void ListHosts(Duration aDeadline, Callback<std::vector<HostEntry>> aCallback) = 0;
};

/// Settings of the HTTP client, which runs libcurl on one background thread.
struct HttpPlatformInit
{
  std::string address; ///< IP address of the platform.
  uint16_t port = 0;
  /// Called on the background thread; must run the function on the thread that owns the client, for
  /// example with EventLoop::Post.
  std::function<void(std::function<void()>)> post;
};

/// Destroying the client drops its unfinished calls; their callbacks never run.
std::unique_ptr<Platform> CreateHttpPlatform(HttpPlatformInit aInit);

} // namespace bg
