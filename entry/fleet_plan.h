// Decides how many backends of a service each data centre should have, from what it has
// and what the load needs.
//
// Reclaimable backends are cheap, and all of a data centre may go at once. Ordinary ones
// carry most of the load alone; reclaimable ones on top keep waiting times short. While
// reclaimable ones are not to be had, ordinary ones replace as many as the load needs.
//
//   std::vector<FleetOrder> orders = PlanFleet(service, fleets, need);

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
  uint32_t ordinary = 0;                 // that serve
  uint32_t reclaimable = 0;              // that serve
  bool isReclaimableUnavailable = false; // ordered ones are refused or do not come
};

/// What the calls of a service ask of its engines.
struct ServiceLoad
{
  double promptTokensPerSecond = 0; // prompt tokens that must be read
  double tokensPerMs = 100;         // that one engine reads
  double inFlight = 0;              // calls
  double slots = 1;                 // calls at once at one engine
};

/// Returns the number of engines that the load keeps busy all the time. An engine reads
/// prompts and generates tokens in the same steps, so the larger of both decides.
double NeededEngines(const ServiceLoad& aLoad);

/// Returns the need that a fleet of this size was made for; used before there is load.
double EngineDemandOfFleet(std::span<const DataCentreFleet> aFleets);

/// Returns the wanted number of each kind in each data centre, within the bounds.
std::vector<FleetOrder> PlanFleet(const Service& aService,
                                  std::span<const DataCentreFleet> aFleets,
                                  const EngineDemand& aNeed);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_PLAN_H_
