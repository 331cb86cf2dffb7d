#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace bg {

/// Bounds the bytes of messages in memory; shared by the servers and clients of a process.
/// Thread-safe.
class ByteBudget
{
public:
  explicit ByteBudget(size_t aLimit)
    : limit_(aLimit)
  {
  }

  /// False, and nothing is added, when the limit would be exceeded.
  bool TryAdd(size_t aBytes)
  {
    if (used_.fetch_add(aBytes) + aBytes <= limit_) {
      return true;
    }
    used_ -= aBytes;
    return false;
  }
  void Remove(size_t aBytes) { used_ -= aBytes; }
  size_t Used() const { return used_; }
  size_t Limit() const { return limit_; }

private:
  const size_t limit_;
  std::atomic<size_t> used_ = 0;
};

/// Bytes of one message, returned to the budget at the end of their lifetime.
class ByteReservation
{
public:
  /// @param aBudget Null: no limit.
  explicit ByteReservation(std::shared_ptr<ByteBudget> aBudget)
    : budget_(std::move(aBudget))
  {
  }
  ~ByteReservation() { Release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// False, and nothing is reserved, when the budget would be exceeded.
  [[nodiscard]] bool Reserve(size_t aBytes)
  {
    if (budget_ && !budget_->TryAdd(aBytes)) {
      return false;
    }
    reserved_ += aBytes;
    return true;
  }
  void Return(size_t aBytes)
  {
    reserved_ -= aBytes;
    if (budget_) {
      budget_->Remove(aBytes);
    }
  }
  void Release() { Return(reserved_); }

private:
  std::shared_ptr<ByteBudget> budget_;
  size_t reserved_ = 0;
};

} // namespace bg
