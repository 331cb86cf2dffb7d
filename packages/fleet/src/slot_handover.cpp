// The part of SlotClient that moves requests and slots from one allocator to the next.
#include <algorithm>

#include "slot_client_p.h"

namespace bg::fleet::detail {

void SlotClient::UseAllocator(const std::string& aKey, Shard& aShard, const std::string& aHost)
{
  if (std::exchange(aShard.allocatorHost, aHost) == aHost || aHost == Self()) {
    return;
  }
  for (auto& [sequence, slot] : heldSlots_) {
    if (slot.shard == aKey) {
      SendHolding(aHost, sequence, slot);
    }
  }
  ReportLimits(aHost, aKey);
}

bool SlotClient::HasHandedOver(std::string_view aShard)
{
  const TimePoint now = init_.now();
  return init_.members->IsLeaving(Self(), now) &&
         init_.members->Allocators(aShard, 1, now).front() != Self();
}

void SlotClient::SendLeaving(const std::string& aHost)
{
  wire::Envelope envelope;
  envelope.mutable_hello()->set_leaving(true);
  init_.send(aHost, std::move(envelope));
}

void SlotClient::HandOver(const std::string& aKey, Shard& aShard, const std::string& aSuccessor)
{
  // The hosts that use the slots report them too, but possibly after the first requests of others.
  for (const placement::HeldLease& lease : aShard.allocator->Leases()) {
    if (lease.lease.host != selfKey_) {
      wire::Envelope envelope;
      wire::SlotHolding& holding = *envelope.mutable_slot_holding();
      holding.set_holder_key(lease.lease.host);
      holding.set_sequence(lease.lease.sequence);
      holding.set_shard(aKey);
      holding.set_upstream(lease.upstream);
      holding.set_idempotent(lease.idempotent);
      holding.set_left_ms(ToWireMs(lease.deadline - init_.now()));
      init_.send(aSuccessor, std::move(envelope));
    }
  }
  for (const auto& [key, process] : processes_) {
    aShard.allocator->DropQueued(key);
  }
  for (const auto& [key, process] : processes_) {
    aShard.allocator->DropLeases(key, init_.now());
  }
}

void SlotClient::ForwardRelease(uint64_t aHolder, const wire::Envelope& aMessage)
{
  wire::Envelope envelope;
  *envelope.mutable_slot_release() = aMessage.slot_release();
  envelope.mutable_slot_release()->set_holder_key(aHolder);
  const std::string& shard = aMessage.slot_release().shard();
  init_.send(init_.members->Allocators(shard, 1, init_.now()).front(), std::move(envelope));
  SendLeaving(aMessage.sender().host());
}

void SlotClient::OnRestarted(const Member& aMember)
{
  RecordProcess(ToWire(aMember));
  for (auto& [key, shard] : shards_) {
    if (!shard.allocatorHost.empty()) {
      UseAllocator(key, shard, init_.members->Allocators(key, 1, init_.now()).front());
    }
  }
}

void SlotClient::LeaveAllocator(std::string_view aHost)
{
  const TimePoint now = init_.now();
  const auto next = [&](std::string_view aKey) {
    return init_.members->Allocators(aKey, 1, now).front();
  };
  std::vector<uint64_t> moved;
  for (const auto& [sequence, pending] : pendingRequests_) {
    if (pending.allocatorHost == aHost && next(pending.shard) != aHost) {
      moved.push_back(sequence);
    }
  }
  std::sort(moved.begin(), moved.end()); // The oldest first.
  if (aHost == Self()) {
    for (const uint64_t sequence : moved) {
      CancelAtAllocator(sequence, pendingRequests_.at(sequence));
    }
  }
  size_t shards = 0;
  for (auto& [key, shard] : shards_) {
    const std::string successor = next(key);
    if (successor == aHost) {
      continue;
    }
    if (aHost == Self()) {
      HandOver(key, shard, successor);
    }
    if (shard.allocatorHost == aHost) {
      ++shards;
      UseAllocator(key, shard, successor);
    }
  }
  if (shards > 0) {
    Log(LogLevel::Info,
        "allocator_left",
        { { "peer", aHost },
          { "shards", shards },
          { "requests", moved.size() },
          { "slots", heldSlots_.size() } });
  }
  for (const uint64_t sequence : moved) {
    const auto pending = pendingRequests_.find(sequence);
    if (pending != pendingRequests_.end()) { // An earlier one may have ended it.
      pending->second.isQueued = false;
      RequestSlot(sequence);
    }
  }
}

} // namespace bg::fleet::detail
