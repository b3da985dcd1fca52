// Plays entry daemons with their real store ports that follow the configuration in a
// store with outages, on virtual time.
//
//   ConfigOutcome outcome = PlayConfig({ .daemons = 3, .outages = { ... },
//                                        .changes = { 4s, 20s }, .length = 25s });

#ifndef ENTRY_TESTING_CONFIG_SIMULATION_H_
#define ENTRY_TESTING_CONFIG_SIMULATION_H_

#include <map>
#include <string>
#include <vector>

#include "entry/testing/daemon_simulation.h"
#include "entry/testing/simulated_store.h"

namespace gooseberrypath::entry {

struct ConfigScenario
{
  uint64_t seed = 1;
  size_t daemons = 3;
  std::vector<Outage> outages;
  std::vector<Duration> changes; // times at which a new version is acknowledged
  double datagramLoss = 0;       // share of the datagrams between daemons
  Duration length{};
  Duration countsFrom{}; // calls to the store are counted from then on
};

/// When a version was in force at the last daemon.
struct ConfigChange
{
  Duration acknowledged{};
  std::optional<Duration> inForce; // no value: not until the end
};

struct ConfigOutcome
{
  std::vector<ConfigChange> changes;
  std::map<std::string, double> callsPerSecond; // of all daemons, by topic
};

ConfigOutcome PlayConfig(const ConfigScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_CONFIG_SIMULATION_H_
