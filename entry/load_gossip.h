// Selects the load reports that a digest passes on to the other daemons, and applies what
// they pass on.
//
//   digest.loads = LoadsToGossip(world, lastSent);
//   ApplyGossipedLoads(world, digest.loads);

#ifndef ENTRY_LOAD_GOSSIP_H_
#define ENTRY_LOAD_GOSSIP_H_

#include <vector>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns the newest reports that backends sent to this daemon after the time. Where
/// they are not used, because there are few daemons, there are none.
std::vector<GossipedLoad> LoadsToGossip(const World& aWorld, TimePoint aSince);

/// Applies the reports of a peer. Invalid and old ones are dropped.
void ApplyGossipedLoads(World& aWorld, const std::vector<GossipedLoad>& aLoads);

} // namespace gooseberrypath::entry

#endif // ENTRY_LOAD_GOSSIP_H_
