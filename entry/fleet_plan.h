// Decides how many backends of a service each data centre should have, from what it has
// and what the load needs. Reclaimable backends are cheap and may all go at once, so each
// data centre keeps some ordinary ones, and ordinary ones replace reclaimable ones that
// are not to be had.
//
//   std::vector<FleetOrder> orders = PlanFleet(service, fleets, { .perDataCentre = 3 });

#ifndef ENTRY_FLEET_PLAN_H_
#define ENTRY_FLEET_PLAN_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "entry/duty_state.h"
#include "entry/model.h"

namespace gooseberrypath::entry {

/// The backends of a service in one data centre.
struct DataCentreFleet
{
  std::string dataCentre;
  uint32_t ordinary = 0;    // that serve
  uint32_t reclaimable = 0; // that serve
};

struct FleetTarget
{
  uint32_t perDataCentre = 3; // backends in all
  uint32_t ordinary = 1;      // of these, that are not reclaimable
};

/// Returns the wanted number of each kind in each data centre, within the bounds.
std::vector<FleetOrder> PlanFleet(const Service& aService,
                                  std::span<const DataCentreFleet> aFleets,
                                  FleetTarget aTarget);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_PLAN_H_
