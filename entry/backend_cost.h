// Estimates the cost of sending a call to a backend, in milliseconds until the first
// event of the response. ChooseBackend picks the backend with the lowest cost.
//
//   double cost = ExpectedCost({ .slots = 24, .inFlight = 3, ... });

#ifndef ENTRY_BACKEND_COST_H_
#define ENTRY_BACKEND_COST_H_

#include <cstdint>

namespace gooseberrypath::entry {

/// The state of a backend and the demand of the call that may be sent to it.
struct BackendLoad
{
  uint32_t slots = 1;              // calls that it runs concurrently
  uint32_t inFlight = 0;           // calls of all daemons
  uint64_t waitingTokens = 0;      // prompt tokens of calls without a first event
  uint64_t kvTokens = 0;           // KV cache memory of the calls in flight
  uint64_t kvCapacityTokens = 0;   // 0: unlimited
  uint32_t uncachedTokens = 0;     // prompt tokens of this call to be computed
  uint32_t neededKvTokens = 0;     // KV cache memory of this call
  double prefillTokensPerMs = 100; // prefill speed of an engine
  double baseMs = 50;          // until the first event, for an empty prompt and no load
  double slotTimeMs = 1000;    // mean time that a call occupies a slot
  double slowness = 1;         // observed over expected time; 1 is normal
  double failureRate = 0;      // share of recent calls, 0 to 1
  double failureCostMs = 1000; // cost of a failed call
  bool isRemote = false;       // in another data centre
};

/// Returns the expected time to the first event in milliseconds, without penalties.
double ExpectedFirstEventMs(const BackendLoad& aLoad);

/// Returns the expected time to the first event plus the penalties for failures, another
/// data centre, occupied slots and uncached prompt tokens, in milliseconds.
double ExpectedCost(const BackendLoad& aLoad);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_COST_H_
