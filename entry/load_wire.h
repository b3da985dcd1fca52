// The encoding of load reports in digests.
//
//   FillLoads(digest.loads, builder);
//   std::vector<GossipedLoad> received = ReadLoads(reader);

#ifndef ENTRY_LOAD_WIRE_H_
#define ENTRY_LOAD_WIRE_H_

#include <vector>

#include "entry/digest.capnp.h"
#include "entry/peer_digest.h"

namespace gooseberrypath::entry {

/// Writes valid reports into a digest. Their ages are rounded up.
void FillLoads(const std::vector<GossipedLoad>& aLoads, wire::Digest::Builder& aBuilder);

/// Reads the reports of a digest. They may be invalid; see IsValid().
std::vector<GossipedLoad> ReadLoads(wire::Digest::Reader aMessage);

} // namespace gooseberrypath::entry

#endif // ENTRY_LOAD_WIRE_H_
