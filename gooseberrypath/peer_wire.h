// The wire form (peer.capnp) of the messages between daemons.
//
//   ToWire(message, request.initMessage());
//   GossipMessage message = FromWire(params.getMessage());

#ifndef GOOSEBERRYPATH_PEER_WIRE_H_
#define GOOSEBERRYPATH_PEER_WIRE_H_

#include <string>

#include "gooseberrypath/messages.h"
#include "gooseberrypath/peer.capnp.h"

namespace gooseberrypath {

/// Copies a text field.
std::string ToText(capnp::Text::Reader aText);

/// Read a message from its wire form. Values of a newer version that this one does not
/// know become the most cautious known value.
GossipMessage FromWire(wire::GossipMessage::Reader aMessage);
ClaimWord FromWire(wire::ClaimWord aWord);
StreamState FromWire(wire::StreamState::Reader aState);
StreamPart FromWire(wire::StreamPart::Reader aPart);

/// Fill in an empty message. Heartbeats and distances between applied offsets above
/// 2^32 - 1 in compact rows are written as that number.
void ToWire(const GossipMessage& aMessage, wire::GossipMessage::Builder aInto);
void ToWire(const StreamState& aState, wire::StreamState::Builder aInto);
void ToWire(const StreamPart& aPart, wire::StreamPart::Builder aInto);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PEER_WIRE_H_
