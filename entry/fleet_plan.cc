#include "entry/fleet_plan.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

// Ordinary and reclaimable backends for each engine that the load keeps busy.
constexpr double kOrdinaryShare = 0.7;
constexpr double kReclaimableShare = 3.0;

// With fewer backends than this for each busy engine, calls wait; ordinary ones are then
// ordered in place of missing reclaimable ones.
constexpr double kLeastShare = 2.2;

// Token generation slows down well before all slots of an engine are taken.
constexpr double kUsableSlots = 0.7;

// Starting fleets are made for the busiest hours with room to spare.
constexpr double kStartingShare = 2.2;

uint32_t RoundUp(double aNumber)
{
  return static_cast<uint32_t>(std::ceil(std::max(aNumber, 0.0)));
}

double PriceOf(const ScalingPolicy& aScaling, const std::string& aDataCentre)
{
  const auto found = aScaling.prices.find(aDataCentre);
  return found == aScaling.prices.end() ? 1 : found->second;
}

/// Spreads a number over the data centres, the remainder over the first of this order.
std::vector<uint32_t> Spread(uint32_t aTotal, std::span<const size_t> aOrder)
{
  const auto parts = static_cast<uint32_t>(aOrder.size());
  std::vector<uint32_t> counts(parts, aTotal / parts);
  for (uint32_t i = 0; i < aTotal % parts; ++i) {
    ++counts[aOrder[i]];
  }
  return counts;
}

/// Returns the indexes of the data centres, the cheapest first.
std::vector<size_t> ByPrice(const ScalingPolicy& aScaling,
                            std::span<const DataCentreFleet> aFleets)
{
  std::vector<size_t> order(aFleets.size());
  for (size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::ranges::stable_sort(order, {}, [&](size_t aIndex) {
    return PriceOf(aScaling, aFleets[aIndex].dataCentre);
  });
  return order;
}

/// Spreads the reclaimable backends over the data centres that have some. The others get
/// their even share, so that their return is noticed.
std::vector<uint32_t> SpreadReclaimable(uint32_t aTotal, std::span<const size_t> aOrder,
                                        std::span<const DataCentreFleet> aFleets)
{
  std::vector<uint32_t> counts = Spread(aTotal, aOrder);
  const auto having = static_cast<uint32_t>(
    std::ranges::count(aFleets, false, &DataCentreFleet::isReclaimableUnavailable));
  for (size_t i = 0; i < aFleets.size(); ++i) {
    if (!aFleets[i].isReclaimableUnavailable) {
      counts[i] = std::max(counts[i], (aTotal + having - 1) / having);
    }
  }
  return counts;
}

/// Returns the need that ordinary backends must cover where no reclaimable ones come.
/// They follow the load slowly elsewhere, because reclaimable ones take up a rise.
double NeedOfAll(const EngineDemand& aNeed, std::span<const DataCentreFleet> aFleets)
{
  const auto lacking = static_cast<double>(
    std::ranges::count(aFleets, true, &DataCentreFleet::isReclaimableUnavailable));
  const double share = lacking / static_cast<double>(aFleets.size());
  return aNeed.slowAverage + share * std::max(0.0, aNeed.fastAverage - aNeed.slowAverage);
}

/// Returns the reclaimable backends that ordinary ones need not replace. Where some do
/// not come, more may soon be taken away, and an ordinary backend takes seconds to start:
/// then those of the largest data centre do not count.
uint32_t ReliableReclaimable(std::span<const DataCentreFleet> aFleets)
{
  uint32_t serving = 0;
  uint32_t largest = 0;
  bool isScarce = false;
  for (const DataCentreFleet& fleet : aFleets) {
    serving += fleet.reclaimable;
    largest = std::max(largest, fleet.reclaimable);
    isScarce = isScarce || fleet.isReclaimableUnavailable;
  }
  return isScarce ? serving - largest : serving;
}

} // namespace

double NeededEngines(const ServiceLoad& aLoad)
{
  const double reading = aLoad.promptTokensPerSecond / (1000 * aLoad.tokensPerMs);
  const double generating = aLoad.inFlight / (std::max(aLoad.slots, 1.0) * kUsableSlots);
  return std::max(reading, generating);
}

double EngineDemandOfFleet(std::span<const DataCentreFleet> aFleets)
{
  uint32_t total = 0;
  for (const DataCentreFleet& fleet : aFleets) {
    total += fleet.ordinary + fleet.reclaimable;
  }
  return total / kStartingShare;
}

std::vector<FleetOrder> PlanFleet(const Service& aService,
                                  std::span<const DataCentreFleet> aFleets,
                                  const EngineDemand& aNeed)
{
  std::vector<FleetOrder> orders;
  if (!aService.scaling || aFleets.empty()) {
    return orders;
  }
  const ScalingPolicy& scaling = *aService.scaling;
  const auto dataCentres = static_cast<uint32_t>(aFleets.size());
  const uint32_t wantedOrdinary =
    std::max(RoundUp(kOrdinaryShare * aNeed.slowAverage), scaling.min * dataCentres);
  const uint32_t wantedReclaimable = RoundUp(kReclaimableShare * aNeed.fastAverage);
  const uint32_t reliable = ReliableReclaimable(aFleets);
  const uint32_t needed = RoundUp(kLeastShare * NeedOfAll(aNeed, aFleets));
  const uint32_t ordinary = std::max(wantedOrdinary, needed - std::min(needed, reliable));

  const std::vector<size_t> order = ByPrice(scaling, aFleets);
  const auto reclaimableCounts = SpreadReclaimable(wantedReclaimable, order, aFleets);
  const auto ordinaryCounts = Spread(ordinary, order);
  const uint32_t reserved =
    std::max(scaling.min, RoundUp(scaling.max * kOrdinaryShare /
                                  (kOrdinaryShare + kReclaimableShare)));
  for (size_t i = 0; i < aFleets.size(); ++i) {
    // Reclaimable ones that are ordered but do not come take no room from ordinary ones.
    const uint32_t room = scaling.max - std::min(scaling.max, aFleets[i].reclaimable);
    const uint32_t ordinaryCount =
      std::clamp(ordinaryCounts[i], scaling.min, std::max(scaling.min, room));
    const uint32_t kept = std::min(scaling.max, std::max(reserved, ordinaryCount));
    const uint32_t reclaimable = std::min(reclaimableCounts[i], scaling.max - kept);
    for (const bool isReclaimable : { true, false }) {
      orders.push_back({ .service = aService.name,
                         .dataCentre = aFleets[i].dataCentre,
                         .isReclaimable = isReclaimable,
                         .count = isReclaimable ? reclaimable : ordinaryCount });
    }
  }
  return orders;
}

} // namespace gooseberrypath::entry
