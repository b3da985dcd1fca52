// Selects the limits of backends that a digest passes on to the other daemons.
//
//   digest.limits = LimitsToGossip(world, sequence);

#ifndef ENTRY_LIMIT_GOSSIP_H_
#define ENTRY_LIMIT_GOSSIP_H_

#include <cstdint>
#include <vector>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns the limits that changed lately, also those that ended, and a part of the
/// others. Consecutive digests go through all of them, so that a daemon that missed a
/// change learns of it.
std::vector<GossipedLimit> LimitsToGossip(const World& aWorld, uint64_t aSequence);

} // namespace gooseberrypath::entry

#endif // ENTRY_LIMIT_GOSSIP_H_
