#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

namespace bg::detail {

class CallerConnection;

/// Bytes that a server holds for callers: responses that they have not read and incomplete bodies
/// of their requests. Decides whose connection is given up when there are too many.
///
/// Answers the load of hundreds of callers that read or send slowly or not at all, beside ordinary
/// ones. Ordinary callers take a response within milliseconds, so that the connection whose last
/// progress is the oldest belongs to a slow one.
class CallerMemory
{
public:
  explicit CallerMemory(size_t aLimit)
    : limit_(aLimit)
  {
  }

  /// Sets the bytes that are held for a connection whose caller has just made progress.
  void Update(CallerConnection* aConnection, size_t aBytes);
  void Remove(CallerConnection* aConnection);

  /// The connection to be given up, or null if the bytes are within the limit: of those that hold
  /// at least an equal share, the one whose last progress is the oldest. One that is alone is
  /// bounded by the size of a message.
  CallerConnection* Excess() const;
  size_t Bytes() const { return bytes_; }

private:
  struct Held
  {
    CallerConnection* connection;
    size_t bytes;
  };

  size_t limit_;
  size_t bytes_ = 0;
  std::list<Held> held_; ///< In the order of the last progress, the oldest first.
  std::unordered_map<CallerConnection*, std::list<Held>::iterator> positions_;
};

} // namespace bg::detail
