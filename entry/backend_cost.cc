#include "entry/backend_cost.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Traffic between data centres costs money. This small penalty keeps a call in its own
// data centre when all else is equal.
constexpr double kRemotePenaltyMs = 5;

// Every running call slows down token generation for the others on the same backend,
// which the time to the first event does not include. The penalty grows with the square
// of the share of slots in use.
constexpr double kOccupancyPenaltyMs = 120;

// Computing uncached prompt tokens takes engine time that other calls could use.
constexpr double kPrefillPenaltyWeight = 0.5;

} // namespace

double ExpectedFirstEventMs(const BackendLoad& aLoad)
{
  const double slots = std::max<uint32_t>(aLoad.slots, 1);
  const double prefillMs =
    static_cast<double>(aLoad.waitingTokens + aLoad.uncachedTokens) /
    aLoad.prefillTokensPerMs;
  const double queuedCalls = std::max(0.0, aLoad.inFlight + 1 - slots);
  double queueMs = queuedCalls * aLoad.slotTimeMs / slots;
  if (aLoad.kvCapacityTokens > 0) {
    const auto capacity = static_cast<double>(aLoad.kvCapacityTokens);
    const double excess =
      static_cast<double>(aLoad.kvTokens + aLoad.neededKvTokens) / capacity - 1;
    queueMs = std::max(queueMs, excess * aLoad.slotTimeMs);
  }
  return (aLoad.baseMs + prefillMs + queueMs) * aLoad.slowness;
}

double ExpectedCost(const BackendLoad& aLoad)
{
  const double occupancy =
    static_cast<double>(aLoad.inFlight) / std::max<uint32_t>(aLoad.slots, 1);
  return ExpectedFirstEventMs(aLoad) + aLoad.failureRate * aLoad.failureCostMs +
         (aLoad.isRemote ? kRemotePenaltyMs : 0) +
         kOccupancyPenaltyMs * occupancy * occupancy * aLoad.slowness +
         kPrefillPenaltyWeight * aLoad.uncachedTokens / aLoad.prefillTokensPerMs;
}

} // namespace gooseberrypath::entry
