#include "entry/backend_cost.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Bytes between data centres are paid for; a small cost keeps a call near when all else
// is equal.
constexpr double kRemoteMs = 5;

// Each running call slows the tokens of all others, so a fuller backend costs more than
// its time to the first event says.
constexpr double kCrowdMs = 120;

// Reading tokens again costs engine time that others could use.
constexpr double kReadAgainWeight = 0.5;

} // namespace

double ExpectedFirstEventMs(const BackendLoad& aLoad)
{
  const double slots = std::max<uint32_t>(aLoad.slots, 1);
  const double reading =
    static_cast<double>(aLoad.waitingTokens + aLoad.missingTokens) / aLoad.tokensPerMs;
  const double ahead = std::max(0.0, aLoad.inFlight + 1 - slots);
  double waiting = ahead * aLoad.holdMs / slots;
  if (aLoad.kvCapacityTokens > 0) {
    const auto capacity = static_cast<double>(aLoad.kvCapacityTokens);
    const double excess =
      static_cast<double>(aLoad.kvTokens + aLoad.neededKvTokens) / capacity - 1;
    waiting = std::max(waiting, excess * aLoad.holdMs);
  }
  return (aLoad.baseMs + reading + waiting) * aLoad.slowness;
}

double ExpectedCost(const BackendLoad& aLoad)
{
  const double occupied =
    static_cast<double>(aLoad.inFlight) / std::max<uint32_t>(aLoad.slots, 1);
  return ExpectedFirstEventMs(aLoad) + aLoad.failureShare * aLoad.failureMs +
         (aLoad.isRemote ? kRemoteMs : 0) +
         kCrowdMs * occupied * occupied * aLoad.slowness +
         kReadAgainWeight * aLoad.missingTokens / aLoad.tokensPerMs;
}

} // namespace gooseberrypath::entry
