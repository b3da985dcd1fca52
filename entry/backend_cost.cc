#include "entry/backend_cost.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Bytes between data centres are paid for; a small cost keeps a call near when all else
// is equal.
constexpr double kRemotePenaltyMs = 5;

// Each running call slows the tokens of all others, so a fuller backend costs more than
// its time to the first event says.
constexpr double kOccupancyPenaltyMs = 120;

// Reading tokens again costs engine time that others could use.
constexpr double kRecomputePenaltyWeight = 0.5;

} // namespace

double ExpectedFirstEventMs(const BackendLoad& aLoad)
{
  const double slots = std::max<uint32_t>(aLoad.slots, 1);
  const double prefillMs =
    static_cast<double>(aLoad.waitingTokens + aLoad.uncachedTokens) / aLoad.tokensPerMs;
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
         kRecomputePenaltyWeight * aLoad.uncachedTokens / aLoad.tokensPerMs;
}

} // namespace gooseberrypath::entry
