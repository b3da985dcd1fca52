// Plays many entry daemons, backends that name a limit and callers on virtual time. The
// daemons are whole cores; the network between them loses, delays and repeats datagrams.
//
//   LimitOutcome outcome = PlayLimit(DrawLimitScenario(8, seed));
//   CHECK(outcome.worstShare <= 1);

#ifndef ENTRY_TESTING_LIMIT_SIMULATION_H_
#define ENTRY_TESTING_LIMIT_SIMULATION_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "entry/testing/daemon_simulation.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// How the daemons treat limits.
enum class Obedience : uint8_t
{
  Shared,  // the daemon under test
  Alone,   // no daemon knows another one, so each keeps the whole limit for itself
  Ignored, // no daemon sees a limit
};

/// A backend names another limit, or none, in the responses that it makes from then on.
struct LimitChange
{
  Duration at{};
  std::optional<double> perSecond;
};

enum class BackendRestart : uint8_t
{
  None,
  SameId,
  OtherId, // at the same address
};

struct LimitScenario
{
  uint64_t seed = 1;
  size_t daemons = 8;
  size_t limitedBackends = 1;
  bool hasUnlimitedBackend = false;
  double limit = 1;          // the first limit, requests per second
  double demandFactor = 3;   // calls per second as a multiple of the sum of first limits
  bool isLoadUneven = false; // a third of the daemons gets all calls
  Duration length = std::chrono::seconds(40);
  Duration namedAt = std::chrono::seconds(6);
  std::vector<LimitChange> changes; // after the limit was first named
  BackendRestart restart = BackendRestart::None;
  Duration restartAt{};
  std::vector<DaemonFault> faults;
  NetworkFaults network;
  Obedience obedience = Obedience::Shared;
  std::ostream* trace = nullptr; // gets the daemons' log lines about limits; null: none
};

/// Draws limit, demand, load, changes and faults. Scenarios of consecutive seeds go
/// through all combinations of limits and demands.
LimitScenario DrawLimitScenario(size_t aDaemons, uint64_t aSeed);

struct LimitOutcome
{
  /// The most requests that reached a backend in a window, divided by what its limit
  /// allows; at most 1 keeps the rule.
  double worstShare = 0;
  std::string worstWindow;
  /// Requests that limited backends named, and that they got, while the demand was above
  /// the limit and the limit had not changed for some seconds. Cuts are separate.
  double named = 0;
  double served = 0;
  double namedInCut = 0;
  double servedInCut = 0;
  uint64_t calls = 0;
  uint64_t callsAnswered = 0;
  uint64_t callsRefused = 0;
  uint64_t callsFailed = 0;
  Duration longestRefusal{}; // from the arrival of a call, without freezes
};

/// Plays a scenario and measures it.
LimitOutcome PlayLimit(const LimitScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_LIMIT_SIMULATION_H_
