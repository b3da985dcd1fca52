// The wire form (peer.capnp) of gossip messages.
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

/// Reads a message from its wire form.
GossipMessage FromWire(wire::GossipMessage::Reader aMessage);

/// Writes a message in its wire form. Heartbeats and distances between applied offsets
/// above 2^32 - 1 in compact rows are written as that number.
void ToWire(const GossipMessage& aMessage, wire::GossipMessage::Builder aInto);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PEER_WIRE_H_
