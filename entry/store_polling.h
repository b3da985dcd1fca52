// How often a daemon polls the store for the records of backends. Daemons that exchange
// gossip share the polling: the first one to read a change sends it to the others. A
// daemon that missed the change reads it from the store after a batch delay, so that one
// read covers several changes.
//
//   Duration interval = FleetPollInterval(readers);
//   Duration delay = FleetBatchDelay(readers); // after gossip shows missing changes

#ifndef ENTRY_STORE_POLLING_H_
#define ENTRY_STORE_POLLING_H_

#include <cstddef>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// The number of readers that a daemon assumes before it receives gossip from others.
inline constexpr size_t kInitialReaderCount = 8;

/// Returns the time between two polls by one daemon when this many daemons, itself
/// included, share the polling.
Duration FleetPollInterval(size_t aReaders);

/// Returns the wait until the next poll. `aUniform` is random, from 0 to below 1. Waits
/// of daemons that share the polling are exponential: an early read or a common start
/// does not line up the polls that follow.
Duration FleetPollWait(size_t aReaders, double aUniform);

/// Returns the delay between gossip about a change that this daemon lacks and the read of
/// the store. The gossip itself names leaving backends, so only new backends are delayed.
Duration FleetBatchDelay(size_t aReaders);

/// Returns the delay before a failed call to the store is retried.
Duration StoreRetryDelay(size_t aReaders);

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_POLLING_H_
