#include "entry/urgent_reserve.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gooseberrypath::entry {

namespace {

// Below the minimum, an engine with 12 slots would keep no slot free for a burst of
// urgent calls. Above the maximum, most of a service would be idle for a class that is
// not scarce.
constexpr double kMinShare = 0.1;
constexpr double kMaxShare = 0.4;

// Weight of one call in the moving averages.
constexpr double kUseWeight = 0.05;

// One of this number of less urgent calls without room is sent all the same.
constexpr uint32_t kMinimumInterval = 10;

double ShareOf(double aNeeded, double aCapacity)
{
  return aCapacity > 0 ? std::clamp(aNeeded / aCapacity, kMinShare, kMaxShare)
                       : kMinShare;
}

} // namespace

std::optional<uint32_t> UrgentPriority(const Configuration& aConfiguration,
                                       std::string_view aService)
{
  std::vector<uint32_t> priorities;
  for (const Route& route : aConfiguration.routes) {
    if (std::ranges::find(route.services, aService, &WeightedService::service) !=
        route.services.end()) {
      priorities.push_back(route.priority);
    }
  }
  if (priorities.empty()) {
    return std::nullopt;
  }
  const auto [lowest, highest] = std::ranges::minmax(priorities);
  return lowest == highest ? std::nullopt : std::optional(lowest);
}

bool HasRoom(const EngineRoom& aEngine, const ReservedShares& aReserved)
{
  if (aEngine.inFlight < 1) {
    return true;
  }
  const bool hasSlot = aEngine.inFlight + 1 <= aEngine.slots * (1 - aReserved.slots);
  const bool hasMemory = aEngine.kvCapacityTokens <= 0 ||
                         aEngine.kvTokens + aEngine.neededKvTokens <=
                           aEngine.kvCapacityTokens * (1 - aReserved.kvTokens);
  return hasSlot && hasMemory;
}

void UrgentReserve::RecordUse(const UrgentUse& aUse)
{
  const double weight = std::exchange(hasUse_, true) ? kUseWeight : 1;
  meanUse_.seconds += weight * (aUse.seconds - meanUse_.seconds);
  meanUse_.kvTokens += weight * (aUse.kvTokens - meanUse_.kvTokens);
}

ReservedShares UrgentReserve::Shares(TimePoint aNow,
                                     const ServiceCapacity& aCapacity) const
{
  const double concurrent =
    arrivals_.PerSecond(aNow) * aCapacity.daemons * meanUse_.seconds;
  return { .slots = ShareOf(concurrent, aCapacity.slots),
           .kvTokens = ShareOf(concurrent * meanUse_.kvTokens, aCapacity.kvTokens) };
}

bool UrgentReserve::TakeMinimum(uint32_t aPriority)
{
  return ++withoutRoom_[aPriority] % kMinimumInterval == 0;
}

} // namespace gooseberrypath::entry
