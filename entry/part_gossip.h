// Selects the evidence about prompt parts that a digest passes on to the other daemons,
// and applies what they tell.
//
//   digest.parts = PartsToGossip(world, sequence);
//   ApplyGossipedParts(world, digest.parts);

#ifndef ENTRY_PART_GOSSIP_H_
#define ENTRY_PART_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "entry/peer_digest.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns the parts that were answered lately, the attempts of this daemon that broke
/// lately, and a part of the other evidence. Consecutive digests go through all of it, so
/// that a daemon that missed some learns of it.
GossipedParts PartsToGossip(World& aWorld, uint64_t aSequence);

/// Returns the evidence that this daemon itself has, for the store, as JSON.
std::string EncodePartEvidence(const World& aWorld);

/// Parses evidence from the store. Fails with BadRequest.
Result<GossipedParts> DecodePartEvidence(const World& aWorld, std::string_view aText);

/// Merges the evidence of a peer.
void ApplyGossipedParts(World& aWorld, const GossipedParts& aParts);

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_GOSSIP_H_
