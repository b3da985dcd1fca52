#include "entry/fleet_plan.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

// Ordinary and reclaimable backends for each engine that the load keeps busy.
constexpr double kOrdinaryPerBusyEngine = 0.7;
constexpr double kReclaimablePerBusyEngine = 3.0;

// With fewer backends than this for each busy engine, calls queue. Ordinary backends are
// then ordered in place of missing reclaimable ones.
constexpr double kMinBackendsPerBusyEngine = 2.2;

// Token generation slows down well before all slots of an engine are taken.
constexpr double kUsableSlotShare = 0.7;

// Initial fleets are provisioned for the peak hours with some reserve.
constexpr double kInitialBackendsPerBusyEngine = 2.2;

uint32_t RoundUp(double aNumber)
{
  return static_cast<uint32_t>(std::ceil(std::max(aNumber, 0.0)));
}

double PriceOf(const ScalingPolicy& aScaling, const std::string& aDataCentre)
{
  const auto found = aScaling.prices.find(aDataCentre);
  return found == aScaling.prices.end() ? 1 : found->second;
}

/// Divides a number evenly over the data centres. The remainder goes to the first ones in
/// the given order.
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
std::vector<size_t> IndexesByPrice(const ScalingPolicy& aScaling,
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

/// Spreads the reclaimable backends over the data centres where they are available. The
/// others keep their even share in the order, so that returning capacity is noticed.
std::vector<uint32_t> SpreadReclaimable(uint32_t aTotal, std::span<const size_t> aOrder,
                                        std::span<const DataCentreFleet> aFleets)
{
  std::vector<uint32_t> counts = Spread(aTotal, aOrder);
  const auto available = static_cast<uint32_t>(
    std::ranges::count(aFleets, false, &DataCentreFleet::isReclaimableUnavailable));
  for (size_t i = 0; i < aFleets.size(); ++i) {
    if (!aFleets[i].isReclaimableUnavailable) {
      counts[i] = std::max(counts[i], (aTotal + available - 1) / available);
    }
  }
  return counts;
}

/// Returns the engine demand that ordinary backends must cover. Where reclaimable
/// backends are available, they absorb a rise and ordinary ones follow the slow average.
/// For the share of data centres where they are unavailable, ordinary ones follow the
/// fast average.
double OrdinaryDemand(const EngineDemand& aDemand,
                      std::span<const DataCentreFleet> aFleets)
{
  const auto unavailable = static_cast<double>(
    std::ranges::count(aFleets, true, &DataCentreFleet::isReclaimableUnavailable));
  const double share = unavailable / static_cast<double>(aFleets.size());
  return aDemand.slowAverage +
         share * std::max(0.0, aDemand.fastAverage - aDemand.slowAverage);
}

/// Returns the number of reclaimable backends that ordinary ones need not replace. If
/// some are unavailable in a data centre, more may soon be reclaimed, and an ordinary
/// backend takes seconds to start. Then the reclaimable backends of the largest data
/// centre are not counted.
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
  const double prefilling =
    aLoad.promptTokensPerSecond / (1000 * aLoad.prefillTokensPerMs);
  const double generating =
    aLoad.inFlight / (std::max(aLoad.slots, 1.0) * kUsableSlotShare);
  return std::max(prefilling, generating);
}

double EngineDemandOfFleet(std::span<const DataCentreFleet> aFleets)
{
  uint32_t total = 0;
  for (const DataCentreFleet& fleet : aFleets) {
    total += fleet.ordinary + fleet.reclaimable;
  }
  return total / kInitialBackendsPerBusyEngine;
}

std::vector<FleetOrder> PlanFleet(const Service& aService,
                                  std::span<const DataCentreFleet> aFleets,
                                  const EngineDemand& aDemand)
{
  std::vector<FleetOrder> orders;
  if (!aService.scaling || aFleets.empty()) {
    return orders;
  }
  const ScalingPolicy& scaling = *aService.scaling;
  const auto dataCentres = static_cast<uint32_t>(aFleets.size());
  const uint32_t wantedOrdinary = std::max(
    RoundUp(kOrdinaryPerBusyEngine * aDemand.slowAverage), scaling.min * dataCentres);
  const uint32_t wantedReclaimable =
    RoundUp(kReclaimablePerBusyEngine * aDemand.fastAverage);
  const uint32_t reliable = ReliableReclaimable(aFleets);
  const uint32_t minBackends =
    RoundUp(kMinBackendsPerBusyEngine * OrdinaryDemand(aDemand, aFleets));
  const uint32_t ordinary =
    std::max(wantedOrdinary, minBackends - std::min(minBackends, reliable));

  const std::vector<size_t> order = IndexesByPrice(scaling, aFleets);
  const auto reclaimableCounts = SpreadReclaimable(wantedReclaimable, order, aFleets);
  const auto ordinaryCounts = Spread(ordinary, order);
  const uint32_t baseReserve =
    std::max(scaling.min, RoundUp(scaling.max * kOrdinaryPerBusyEngine /
                                  (kOrdinaryPerBusyEngine + kReclaimablePerBusyEngine)));
  for (size_t i = 0; i < aFleets.size(); ++i) {
    // Reclaimable backends that were ordered but do not start use no capacity that
    // ordinary ones could have.
    const uint32_t freeCapacity =
      scaling.max - std::min(scaling.max, aFleets[i].reclaimable);
    const uint32_t ordinaryCount =
      std::clamp(ordinaryCounts[i], scaling.min, std::max(scaling.min, freeCapacity));
    const uint32_t ordinaryReserve =
      std::min(scaling.max, std::max(baseReserve, ordinaryCount));
    const uint32_t reclaimable =
      std::min(reclaimableCounts[i], scaling.max - ordinaryReserve);
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
