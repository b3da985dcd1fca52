// Plays many entry daemons, the backends of one plain service and callers on virtual
// time, and measures how the daemons place the calls. The daemons are whole cores; the
// network between them loses and delays datagrams.
//
//   PlacementOutcome outcome = PlayPlacement({ .daemons = 78, .load = 0.6 });
//   CHECK(outcome.WaitMs(0.9) <= 30);

#ifndef ENTRY_TESTING_PLACEMENT_SIMULATION_H_
#define ENTRY_TESTING_PLACEMENT_SIMULATION_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <vector>

#include "entry/testing/daemon_simulation.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// How the work of calls is distributed around its mean.
enum class WorkSpread : uint8_t
{
  Exponential,
  Narrow, // within a fifth of the mean
};

enum class PlacerFaultKind : uint8_t
{
  Kill,
  PlannedStop,
  Freeze,
  CutOff, // a third of the daemons, with the placer, do not hear the others
};

/// Something that happens to the daemon that places the calls. Without a placer, it
/// happens to the first daemon.
struct PlacerFault
{
  PlacerFaultKind kind = PlacerFaultKind::Kill;
  Duration at{}; // after the first call
  Duration lasts{};
};

struct PlacementScenario
{
  uint64_t seed = 1;
  size_t daemons = 78;
  double load = 0.6;       // of the capacity at the mean pace
  bool reportsLoad = true; // false: the backends send no load reports
  WorkSpread work = WorkSpread::Exponential;
  Duration length = std::chrono::seconds(5); // in which calls arrive
  double lossRate = 0;                       // of datagrams
  double lateRate = 0;                       // of datagrams, by up to a second
  std::optional<PlacerFault> fault;
  std::ostream* trace = nullptr; // gets the daemons' log lines about placers; null: none
};

struct PlacementOutcome
{
  std::vector<double> waitsMs; // of answered calls, beyond their work
  uint64_t calls = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  /// Refused calls while a slot had been free for longer than it takes to hand it over.
  uint64_t refusedWhileFree = 0;
  uint64_t refusedAfterSent = 0; // although the call may have run
  uint64_t failed = 0;           // other statuses
  uint64_t broken = 0;           // ended with their daemons
  uint64_t lost = 0;             // never ended
  uint64_t ranTwice = 0;         // although they must run once
  uint64_t choices = 0;
  uint64_t unevenChoices = 0;     // of a backend with 3 or more calls above the least one
  double longestChoiceMs = 0;     // from a call's arrival to its first attempt or refusal
  uint64_t placementMessages = 0; // datagrams; digests are not counted
  uint64_t placementBytes = 0;    // with IP and UDP headers
  uint64_t held = 0;              // replies that let a call wait for a slot
  size_t mostBeyondSlots = 0; // calls at a backend, from a fault until its effects end

  /// Returns the wait that this share of the answered calls did not exceed.
  double WaitMs(double aShare) const;

  /// Returns the share of uneven choices.
  double UnevenShare() const;

  /// Adds the counts and waits of another play.
  void Add(const PlacementOutcome& aOther);
};

/// Plays a scenario and measures it.
PlacementOutcome PlayPlacement(const PlacementScenario& aScenario);

/// Measures the same calls in a single queue for the slots of all backends, without
/// network and faults.
PlacementOutcome PlayOneQueue(const PlacementScenario& aScenario);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_PLACEMENT_SIMULATION_H_
