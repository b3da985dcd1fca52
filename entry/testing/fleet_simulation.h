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

/// New backends that come within a time.
struct Wave
{
  TimeSpan during;
  size_t backends = 0;
};

struct FleetScenario
{
  uint64_t seed = 1;
  size_t daemons = 8;
  size_t backends = 12;
  std::vector<TimeSpan> outages; // of the store
  size_t cutOff = 0; // so many daemons alone meet the outages; 0: all, and the backends
  bool isSilent = false;      // calls time out in an outage, instead of being refused
  std::optional<Leave> leave; // of the first backends
  size_t leaving = 1;         // how many leave together
  std::optional<Wave> wave;
  std::optional<Duration> newVersionAt; // of the configuration
  size_t lostAnswers = 0; // so many of the first reads after the leave time out
  NetworkFaults network;
  Duration length = std::chrono::seconds(40);
};

struct FleetOutcome
{
  size_t lostAtEnd = 0;   // pairs of a daemon and a live backend that it does not use
  double lostSeconds = 0; // added up for these pairs over the whole time
  double leastUsed = 1;   // smallest share of the live backends that a daemon used

  Duration lastToStop{};   // from the leave until no daemon uses one of the backends
  bool isBackUsed = false; // a daemon used one again after all had stopped
  size_t unheard = 0;      // times that a live daemon counted as gone at another one
  size_t fleetReads = 0;   // after the warm-up, by all daemons
  uint64_t sentBytes = 0;  // of digests, after the warm-up, if links have limits
  uint64_t droppedDatagrams = 0; // by full links, after the warm-up
};

FleetOutcome PlayFleet(const FleetScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_FLEET_SIMULATION_H_
