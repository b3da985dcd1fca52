// Plays many entry daemons, engines and callers on virtual time, where some prompt parts
// crash each engine that begins to answer a call with them.
//
//   PartOutcome outcome = PlayParts(DrawPartScenario(8, seed));
//   CHECK(outcome.worstSends <= 3);

#ifndef ENTRY_TESTING_PART_SIMULATION_H_
#define ENTRY_TESTING_PART_SIMULATION_H_

#include <cstddef>
#include <cstdint>

#include "entry/testing/part_scenario.h"

namespace gooseberrypath::entry {

struct PartOutcome
{
  /// The most calls with one crashing part that reached engines later than the reaction
  /// time after the fifth engine that it ended, while it ends engines; at most 3 keeps
  /// the rule.
  size_t worstSends = 0;
  /// The same for daemons that ran without a disturbance for the reaction time.
  size_t worstSendsUndisturbed = 0;
  /// The most engines that one crashing part ended.
  size_t mostCrashes = 0;
  size_t enginesEnded = 0; // by parts
  /// The most engines that ended at the start of one call.
  size_t longestCarry = 0;
  /// Healthy calls of the routes and teams of crashing ones that arrived from twice the
  /// reaction time after the fifth crash, or the last one, while crashing calls came; and
  /// those that began to be answered at the first attempt of their caller.
  uint64_t healthyCalls = 0;
  uint64_t healthyBegun = 0;
  uint64_t healthyRefusedForPart = 0;
  uint64_t allHealthyCalls = 0; // at any time, of all teams
  uint64_t storeCalls = 0;      // about parts
  uint64_t crashingCalls = 0;
  uint64_t crashingRefused = 0;
  uint64_t harmlessCalls = 0; // with parts that no longer crash engines
  uint64_t harmlessBegun = 0;
};

/// Plays a scenario and measures it.
PartOutcome PlayParts(const PartScenario& aScenario);

/// Plays the same scenario without its crashing calls and measures the healthy calls in
/// the same span.
PartOutcome PlayPartsWithoutFault(const PartScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_PART_SIMULATION_H_
