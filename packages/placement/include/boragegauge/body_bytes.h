#pragma once

#include <cstddef>

namespace bg::placement {

/// Bytes of the request bodies that run at one upstream, and whether it may take another one.
///
/// An upstream crashes when the requests that it holds exceed its memory, and with it all of them
/// fail. Its slots limit their number, not their size. Answers the load of a few large uploads at a
/// time beside many usual requests: uploads spread over the upstreams, and wait for one when all
/// hold a large body.
class BodyBytesInFlight
{
public:
  /// False if the upstream counts as full for a body of this size.
  bool MayTake(size_t aBytes) const;
  /// Cost of the upstream for a body of this size, in the unit of SlotAllocator::Cost(). Large
  /// bodies avoid upstreams that hold some; others are placed without regard to bodies.
  double SpreadCost(size_t aBytes) const;
  void Add(size_t aBytes);
  void Remove(size_t aBytes);
  size_t Bytes() const { return bytes_; }

private:
  size_t bytes_ = 0;
};

} // namespace bg::placement
