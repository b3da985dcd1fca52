// The expected cost of sending a call to a backend, in milliseconds until the first
// event. The dispatcher takes the backend with the lowest cost.
//
//   double cost = ExpectedCost({ .slots = 24, .inFlight = 3, ... });

#ifndef ENTRY_BACKEND_COST_H_
#define ENTRY_BACKEND_COST_H_

#include <cstdint>

namespace gooseberrypath::entry {

/// What is known about a backend when a call is to be sent.
struct BackendLoad
{
  uint32_t slots = 1;            // calls at once
  uint32_t inFlight = 0;         // of all daemons
  uint64_t waitingTokens = 0;    // prompt tokens of calls without a first event
  uint64_t kvTokens = 0;         // memory that the calls in flight need
  uint64_t kvCapacityTokens = 0; // 0: no such limit
  uint32_t uncachedTokens = 0;   // of this call, that the engine must read
  uint32_t neededKvTokens = 0;   // of this call
  double tokensPerMs = 100;      // prompt tokens that an engine reads
  double baseMs = 50;          // to the first event of an empty prompt on an idle backend
  double slotTimeMs = 1000;    // mean time that a call keeps its slot
  double slowness = 1;         // observed against expected time, 1 is normal
  double failureRate = 0;      // of recent calls, 0 to 1
  double failureCostMs = 1000; // what a failed call costs
  bool isRemote = false;       // in another data centre
};

/// Returns the expected time to the first event in milliseconds, without penalties.
double ExpectedFirstEventMs(const BackendLoad& aLoad);

/// Returns the expected time plus the penalties for failures, distance, crowding and
/// prompt parts that are read again.
double ExpectedCost(const BackendLoad& aLoad);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_COST_H_
