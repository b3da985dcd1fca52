// Which leaving and removed backends a digest lists. News that this daemon has not told
// yet come first; the rest is a random sample, because the other daemons list them too
// and a long list would make digests rare.
//
//   digest.leaving = LeavingToGossip(world, LeavingList::Urgent);

#ifndef ENTRY_LEAVING_GOSSIP_H_
#define ENTRY_LEAVING_GOSSIP_H_

#include <cstddef>
#include <vector>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Largest number of backends that an ordinary digest lists as leaving.
inline constexpr size_t kMaxListedLeaving = 12;

enum class LeavingList : uint8_t
{
  Ordinary,
  Urgent, // a digest that is sent at once for the sake of the list
};

/// Returns the backends to list and marks them as told.
std::vector<LeavingBackend> LeavingToGossip(World& aWorld, LeavingList aList);

/// Tells whether this daemon knows of a leaving or removed backend that it has not told.
bool HasUntoldLeaving(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_LEAVING_GOSSIP_H_
