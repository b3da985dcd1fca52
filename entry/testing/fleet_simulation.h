// Plays entry daemons that follow the fleet in a store with outages, on virtual time.
// Backends write heartbeats; entries without heartbeats lapse, also while the store is
// down, and are written again after its return.
//
//   FleetOutcome outcome = PlayFleet({ .seed = 1, .daemons = 95, .outages = { ... } });

#ifndef ENTRY_TESTING_FLEET_SIMULATION_H_
#define ENTRY_TESTING_FLEET_SIMULATION_H_

#include <optional>
#include <string>
#include <vector>

#include "entry/testing/daemon_simulation.h"

namespace gooseberrypath::entry {

/// How a backend tells that it leaves.
enum class LeaveKind : uint8_t
{
  EntryRemoved,  // its entry is removed, and it says nothing
  EntryDraining, // its entry says so
  Response,      // a response to one daemon says so
};

struct Leave
{
  LeaveKind kind = LeaveKind::EntryRemoved;
  Duration at{};
};

struct FleetScenario
{
  uint64_t seed = 1;
  size_t daemons = 8;
  size_t backends = 12;
  std::vector<TimeSpan> outages; // of the store
  size_t cutOff = 0; // so many daemons alone meet the outages; 0: all, and the backends
  bool isSilent = false;      // calls time out in an outage, instead of being refused
  std::optional<Leave> leave; // of one backend
  Duration length = std::chrono::seconds(40);
};

struct FleetOutcome
{
  size_t lostAtEnd = 0;   // pairs of a daemon and a live backend that it does not use
  double lostSeconds = 0; // added up for these pairs over the whole time
  double leastUsed = 1;   // smallest share of the live backends that a daemon used

  Duration lastToStop{};   // from the leave until no daemon uses the backend
  bool isBackUsed = false; // a daemon used the backend again after all had stopped
};

FleetOutcome PlayFleet(const FleetScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_FLEET_SIMULATION_H_
