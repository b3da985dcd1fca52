// The wire form of the messages between daemons (peer.capnp).

#ifndef GOOSEBERRYPATH_PEER_WIRE_H_
#define GOOSEBERRYPATH_PEER_WIRE_H_

#include "gooseberrypath/messages.h"
#include "gooseberrypath/peer.capnp.h"

namespace gooseberrypath {

/// Values of a newer version that this one does not know become the most cautious known
/// value.
GossipMessage FromWire(wire::GossipMessage::Reader aMessage);
ClaimWord FromWire(wire::ClaimWord aWord);
StreamState FromWire(wire::StreamState::Reader aState);
StreamPart FromWire(wire::StreamPart::Reader aPart);

/// Fills in an empty message.
void ToWire(const GossipMessage& aMessage, wire::GossipMessage::Builder aInto);
void ToWire(const StreamState& aState, wire::StreamState::Builder aInto);
void ToWire(const StreamPart& aPart, wire::StreamPart::Builder aInto);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PEER_WIRE_H_
