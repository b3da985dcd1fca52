// The evidence about prompt parts in the gossip message.

#ifndef ENTRY_PART_WIRE_H_
#define ENTRY_PART_WIRE_H_

#include "entry/digest.capnp.h"
#include "entry/peer_digest.h"

namespace gooseberrypath::entry {

/// Writes the evidence to the message.
void FillParts(const GossipedParts& aParts, wire::Digest::Builder& aBuilder);

/// Returns the evidence in the message.
GossipedParts ReadParts(wire::Digest::Reader aMessage);

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_WIRE_H_
