#pragma once

#include <string_view>

#include "fleet.pb.h"
#include "members_p.h"

namespace bg::fleet::detail {

// A message about a slot is smaller than the data of its sender, and most go to the same few hosts.
// They name their sender by key once the receiver has said that it has these data.

bool IsSlotMessage(const wire::Envelope& aMessage);

/// Sets this host as the sender of a message, by key if the receiver knows it.
void SetSender(wire::Envelope& aMessage, std::string_view aReceiver, const Members& aMembers);

/// Sets the data of a sender that is named by its key. @return False if its process is unknown.
bool ResolveSender(wire::Envelope& aMessage, const Members& aMembers);

/// Records that the sender of a message has the data of this process, if the message says so.
void RecordKnowledge(const wire::Envelope& aMessage, Members& aMembers);

} // namespace bg::fleet::detail
