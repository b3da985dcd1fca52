#include "entry/fleet_plan.h"

#include <algorithm>

namespace gooseberrypath::entry {

std::vector<FleetOrder> PlanFleet(const Service& aService,
                                  std::span<const DataCentreFleet> aFleets,
                                  FleetTarget aTarget)
{
  std::vector<FleetOrder> orders;
  if (!aService.scaling) {
    return orders;
  }
  const Scaling& scaling = *aService.scaling;
  const uint32_t total = std::clamp(aTarget.perDataCentre, scaling.min, scaling.max);
  const uint32_t reclaimable = total - std::min(total, aTarget.ordinary);
  for (const DataCentreFleet& fleet : aFleets) {
    // An ordinary backend is let go only when its reclaimable successor serves.
    const uint32_t expected = std::min(reclaimable, fleet.reclaimable);
    uint32_t ordinary = std::max(aTarget.ordinary, total - expected);
    ordinary = std::min(ordinary, scaling.max - std::min(scaling.max, reclaimable));
    orders.push_back({ .service = aService.name,
                       .dataCentre = fleet.dataCentre,
                       .isReclaimable = true,
                       .count = reclaimable });
    orders.push_back({ .service = aService.name,
                       .dataCentre = fleet.dataCentre,
                       .isReclaimable = false,
                       .count = std::max(ordinary, scaling.min) });
  }
  return orders;
}

} // namespace gooseberrypath::entry
