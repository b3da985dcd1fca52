// Plans how many backends of a service each data centre should have, from the backends
// that serve there and the engines that the load needs.
//
// Reclaimable backends are cheap, but a data centre may lose all of them at once.
// Ordinary backends carry most of the load alone, and reclaimable ones on top keep
// waiting times short. While reclaimable backends are unavailable, ordinary ones replace
// as many as the load needs.
//
//   std::vector<FleetOrder> orders = PlanFleet(service, fleets, demand);

#ifndef ENTRY_FLEET_PLAN_H_
#define ENTRY_FLEET_PLAN_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "entry/duty_state.h"
#include "entry/model.h"

namespace gooseberrypath::entry {

/// The backends of a service that serve in one data centre.
struct DataCentreFleet
{
  std::string dataCentre;
  uint32_t ordinary = 0;
  uint32_t reclaimable = 0;
  bool isReclaimableUnavailable = false; // ordered ones are denied or do not start
};

/// The load that the calls of a service put on its engines.
struct ServiceLoad
{
  double promptTokensPerSecond = 0; // prompt tokens to prefill
  double prefillTokensPerMs = 100;  // prefill rate of one engine
  double inFlight = 0;              // running calls
  double slots = 1;                 // concurrent calls of one engine
};

/// Returns the number of engines that the load keeps busy all the time. An engine
/// prefills prompts and generates tokens in the same steps, so the larger of the two
/// loads decides.
double NeededEngines(const ServiceLoad& aLoad);

/// Returns the engine demand for which a fleet of this size is provisioned; used before
/// there is load.
double EngineDemandOfFleet(std::span<const DataCentreFleet> aFleets);

/// Returns the desired number of ordinary and reclaimable backends in each data centre,
/// within the bounds of the service.
std::vector<FleetOrder> PlanFleet(const Service& aService,
                                  std::span<const DataCentreFleet> aFleets,
                                  const EngineDemand& aDemand);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_PLAN_H_
