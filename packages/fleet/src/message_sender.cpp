#include "message_sender_p.h"

#include "messages_p.h"

namespace bg::fleet::detail {

bool IsSlotMessage(const wire::Envelope& aMessage)
{
  switch (aMessage.body_case()) {
    case wire::Envelope::kSlotRequest:
    case wire::Envelope::kSlotAnswer:
    case wire::Envelope::kSlotRelease:
    case wire::Envelope::kSlotHolding:
      return true;
    default:
      return false;
  }
}

void SetSender(wire::Envelope& aMessage, std::string_view aReceiver, const Members& aMembers)
{
  const Member& self = aMembers.Self();
  if (IsSlotMessage(aMessage) && aMembers.IsKnownBy(aReceiver)) {
    aMessage.set_sender_key(ProcessKey(self.host, self.incarnation));
  } else {
    *aMessage.mutable_sender() = ToWire(self);
  }
}

bool ResolveSender(wire::Envelope& aMessage, const Members& aMembers)
{
  if (aMessage.has_sender()) {
    return true;
  }
  const Member* member = aMembers.FindProcess(aMessage.sender_key());
  if (member != nullptr) {
    *aMessage.mutable_sender() = ToWire(*member);
  }
  return member != nullptr;
}

void RecordKnowledge(const wire::Envelope& aMessage, Members& aMembers)
{
  const wire::SlotRequest& request = aMessage.slot_request();
  const wire::SlotAnswer& answer = aMessage.slot_answer();
  const uint64_t known = request.knows_receiver()  ? request.counted_by_incarnation()
                         : answer.knows_receiver() ? answer.receiver_incarnation()
                                                   : 0;
  if (known != 0 && known == aMembers.Self().incarnation) {
    aMembers.RecordKnownBy(aMessage.sender().host(), aMessage.sender().incarnation());
  }
}

} // namespace bg::fleet::detail
