// The order in which daemons read a topic of the store that nobody has confirmed lately,
// so that one of them reads and tells the others.
//
//   const size_t before = DaemonsBefore(world); // so many have their turn first

#ifndef ENTRY_READ_TURNS_H_
#define ENTRY_READ_TURNS_H_

#include <cstddef>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns the number of live daemons, including this one.
size_t LiveDaemons(const World& aWorld);

/// Returns how many live daemons that reach the store have their turn before this one.
size_t DaemonsBefore(const World& aWorld);

/// Returns how long this daemon leaves the read to others. `aLate` is the additional time
/// of a daemon that many others precede.
Duration ReadTurnDelay(const World& aWorld, Duration aLate);

/// Returns a random duration up to this one.
Duration RandomUpTo(World& aWorld, Duration aMost);

} // namespace gooseberrypath::entry

#endif // ENTRY_READ_TURNS_H_
