// Scenarios of the part simulation, by hand or drawn from a seed.
//
//   PartScenario scenario = DrawPartScenario(95, seed);

#ifndef ENTRY_TESTING_PART_SCENARIO_H_
#define ENTRY_TESTING_PART_SCENARIO_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <vector>

#include "entry/testing/daemon_simulation.h"

namespace gooseberrypath::entry {

/// How the daemons treat parts that crash engines.
enum class PartCare : uint8_t
{
  Shared,  // the daemon under test
  Alone,   // no daemon knows another one
  Ignored, // no daemon sees the parts of a prompt
};

/// Where a call has its crashing part.
enum class CrashingPlace : uint8_t
{
  First,
  Middle,
  Several, // two crashing parts in one call
};

/// How an engine returns after it ended.
enum class EngineReturn : uint8_t
{
  SameId,
  OtherId,
  OtherService, // gets its address
};

/// Some engines end for another cause than a part.
struct EngineStorm
{
  Duration at{};
  double share = 0; // of all engines
};

struct PartScenario
{
  uint64_t seed = 1;
  size_t daemons = 8;
  size_t engines = 12;
  double callsPerSecond = 60;
  size_t crashingParts = 1;
  double crashingShare = 0.05; // of the calls of a class
  CrashingPlace place = CrashingPlace::Middle;
  bool isSentByAllTeams = false;
  bool isSentByAllClasses = false;
  TimeSpan crashingCalls{ std::chrono::seconds(8), std::chrono::seconds(34) };
  std::optional<Duration> harmlessFrom; // then the parts crash no engine any more
  bool doCallersRetry = true;
  EngineReturn engineReturn = EngineReturn::SameId;
  std::vector<EngineStorm> storms;
  double resetRate = 0;  // of attempts, whose connection breaks at a living engine
  double silentRate = 0; // of attempts, whose connection carries nothing any more
  std::vector<DaemonFault> faults;
  NetworkFaults network;
  Duration length = std::chrono::seconds(40);
  PartCare care = PartCare::Shared;
  std::ostream* trace = nullptr; // gets the daemons' log lines about parts; null: none
};

/// Draws shares, places, storms and faults.
PartScenario DrawPartScenario(size_t aDaemons, uint64_t aSeed);

/// Draws a scenario with crashes of engines and without crashing parts.
PartScenario DrawStormScenario(size_t aDaemons, uint64_t aSeed);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_PART_SCENARIO_H_
