// The part of SlotClient that encodes messages about slots in use.
#include "slot_client_p.h"

#include <algorithm>

namespace bg::fleet::detail {

void SlotClient::SendHolding(const std::string& aHost, uint64_t aSequence, HeldSlot& aSlot)
{
  if (std::find(aSlot.allocators.begin(), aSlot.allocators.end(), aHost) ==
      aSlot.allocators.end()) {
    aSlot.allocators.push_back(aHost);
  }
  wire::Envelope envelope;
  wire::SlotHolding& holding = *envelope.mutable_slot_holding();
  holding.set_sequence(aSequence);
  holding.set_shard(aSlot.shard);
  holding.set_upstream(aSlot.upstream);
  holding.set_idempotent(aSlot.idempotent);
  holding.set_left_ms(ToWireMs(aSlot.deadline - init_.now()));
  init_.send(aHost, std::move(envelope));
}

void SlotClient::SendRelease(std::string_view aHost,
                             uint64_t aSequence,
                             std::string_view aShard,
                             const HeldSlot* aSlot,
                             const SlotReport& aReport)
{
  wire::Envelope envelope;
  wire::SlotRelease& release = *envelope.mutable_slot_release();
  release.set_sequence(aSequence);
  release.set_shard(std::string(aShard));
  release.set_outcome(static_cast<uint32_t>(aReport.outcome));
  release.set_latency_ms(ToWireMs(aReport.latency));
  if (aSlot != nullptr) {
    release.set_upstream(aSlot->upstream);
    release.set_started_at_ms(aSlot->startedAtMs);
  }
  if (aReport.requestLimit) {
    release.set_request_limit(*aReport.requestLimit);
  }
  if (aReport.requestLimit || aReport.isLeaving) {
    release.set_answer_age_ms(ToWireMs(init_.now() - aReport.answeredAt));
  }
  release.set_leaving(aReport.isLeaving);
  init_.send(aHost, std::move(envelope));
}

} // namespace bg::fleet::detail
