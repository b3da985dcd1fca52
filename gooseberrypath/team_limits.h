// Limits of teams, shared over the daemons without a message per request: each daemon
// admits its share, which is the limit divided by the number of serving daemons that it
// knows from gossip.
//
//   Result<void> admitted = AdmitTeam(world, "drivers");

#ifndef GOOSEBERRYPATH_TEAM_LIMITS_H_
#define GOOSEBERRYPATH_TEAM_LIMITS_H_

#include <string>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Returns the number of daemons that serve callers, this one included.
size_t CountServingDaemons(const World& aWorld);

/// Takes one request from the team's share of its rate and of its concurrent requests.
/// Fails with RateLimited and takes nothing. A team without a resource has no limits.
Result<void> AdmitTeam(World& aWorld, const std::string& aTeam);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TEAM_LIMITS_H_
