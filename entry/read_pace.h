// How often a daemon reads the entries of backends. Each daemon reads rarely, and at once
// when another one tells of a change; the more daemons there are, the longer changes are
// gathered.
//
//   Duration pause = FleetPause(readers);
//   Duration gather = FleetGather(readers); // after a peer's word

#ifndef ENTRY_READ_PACE_H_
#define ENTRY_READ_PACE_H_

#include <cstddef>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Returns the time between two readings when no peer tells of a change.
Duration FleetPause(size_t aReaders);

/// Returns the time from a peer's word to the reading. That a backend leaves is in the
/// peer's word itself, so only new backends wait for the reading.
Duration FleetGather(size_t aReaders);

} // namespace gooseberrypath::entry

#endif // ENTRY_READ_PACE_H_
