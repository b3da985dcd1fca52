// Plays many entry daemons, engines and callers on virtual time, where some prompt parts
// crash each engine that begins to answer a call with them.
//
//   PartOutcome outcome = PlayParts(DrawPartScenario(8, seed));
//   CHECK(outcome.worstSends <= 3);

#ifndef ENTRY_TESTING_PART_SIMULATION_H_
#define ENTRY_TESTING_PART_SIMULATION_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
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

/// Where a call has its deadly part.
enum class DeadlyPlace : uint8_t
{
  First,
  Middle,
  Several, // two deadly parts in one call
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
  size_t deadlyParts = 1;
  double deadlyShare = 0.05; // of the calls of a class
  DeadlyPlace place = DeadlyPlace::Middle;
  bool isSentByAllTeams = false;
  bool isSentByAllClasses = false;
  TimeSpan deadlyCalls{ std::chrono::seconds(8), std::chrono::seconds(34) };
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

/// Draws a scenario with crashes of engines and without deadly parts.
PartScenario DrawStormScenario(size_t aDaemons, uint64_t aSeed);

struct PartOutcome
{
  /// The most calls with one deadly part that reached engines later than the contact time
  /// after the fifth engine that it ended, while it ends engines; at most 3 keeps the
  /// rule.
  size_t worstSends = 0;
  /// The same for daemons that were in touch, as the rule counts.
  size_t worstSendsInTouch = 0;
  /// The most engines that one deadly part ended.
  size_t mostCrashes = 0;
  size_t enginesEnded = 0; // by parts
  /// The most engines that ended at the start of one call.
  size_t longestCarry = 0;
  /// Sound calls of the routes and teams of deadly ones that arrived from twice the
  /// contact time after the fifth crash, or the last one, while deadly calls came; and
  /// those that began to be answered at the first attempt of their caller.
  uint64_t soundCalls = 0;
  uint64_t soundBegun = 0;
  uint64_t soundRefusedForPart = 0;
  uint64_t allSoundCalls = 0; // at any time, of all teams
  uint64_t storeCalls = 0;    // about parts
  uint64_t deadlyCalls = 0;
  uint64_t deadlyRefused = 0;
  uint64_t harmlessCalls = 0; // with parts that no longer crash engines
  uint64_t harmlessBegun = 0;
};

/// Plays a scenario and measures it. `aWithoutFault` leaves the deadly calls out, and
/// takes the span in which sound calls are measured from the outcome of the other run.
PartOutcome PlayParts(const PartScenario& aScenario);

/// Plays the same scenario without its deadly calls and measures the sound calls in the
/// same span.
PartOutcome PlayPartsWithoutFault(const PartScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_PART_SIMULATION_H_
