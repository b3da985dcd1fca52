// How often a daemon reads the entries of backends. The daemons that hear each other
// share the reading: the one that reads a change first tells the others what it read. A
// daemon that missed this reads itself after a while in which changes are gathered.
//
//   Duration pause = FleetPollInterval(readers);
//   Duration gather = FleetBatchDelay(readers); // after a peer's word of changes it
//   lacks

#ifndef ENTRY_STORE_POLLING_H_
#define ENTRY_STORE_POLLING_H_

#include <cstddef>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// The number of readers that a daemon assumes until it hears others.
inline constexpr size_t kInitialReaderCount = 8;

/// Returns the time between two readings of a daemon that shares them with others, itself
/// included in the count.
Duration FleetPollInterval(size_t aReaders);

/// Returns the time from a peer's word to the reading. That a backend leaves is in the
/// peer's word itself, so only new backends wait for the reading.
Duration FleetBatchDelay(size_t aReaders);

/// Returns the time after which a failed call to the store is repeated.
Duration StoreRetryDelay(size_t aReaders);

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_POLLING_H_
