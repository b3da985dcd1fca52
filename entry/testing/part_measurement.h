// Measures what prompt parts that crash engines did in a simulation, and what became of
// the healthy calls beside them.
//
//   PartMeasurement measurement(start, span);
//   measurement.CountSend(parts, now, true);
//   measurement.MeasureInto(outcome);

#ifndef ENTRY_TESTING_PART_MEASUREMENT_H_
#define ENTRY_TESTING_PART_MEASUREMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "entry/testing/part_simulation.h"

namespace gooseberrypath::entry {

class PartMeasurement
{
public:
  // Time from the fifth crash in which the daemons have to stop the calls.
  static constexpr Duration kReactionTime = std::chrono::seconds(3);
  static constexpr size_t kCountedCrashes = 5;

  /// `aCrashingCalls` is the span in which calls with crashing parts come.
  PartMeasurement(TimePoint aStart, TimeSpan aCrashingCalls)
    : start_(aStart)
    , crashingCalls_(aCrashingCalls)
  {
  }

  /// Counts a call with these crashing parts that reached an engine.
  void CountSend(std::span<const uint64_t> aParts, TimePoint aAt, bool aIsUndisturbed);

  /// Counts an engine that crashed by these parts.
  void CountCrash(std::span<const uint64_t> aParts, TimePoint aAt);

  /// Counts a healthy call of a team and a class of crashing ones.
  void CountHealthyCall(uint64_t aId, TimePoint aAt);

  /// Records that an engine began to answer the call.
  void NoteBegun(uint64_t aId);

  /// Sets the span in which healthy calls are measured. It is derived from the crashes if
  /// it is not set.
  void SetSpan(TimeSpan aSpan) { span_ = aSpan; }
  std::optional<TimeSpan> Span() const { return span_; }

  /// Adds what was measured to the outcome.
  void MeasureInto(PartOutcome& aOutcome);

private:
  struct Send
  {
    TimePoint at;
    bool isUndisturbed = false;
  };

  /// What one crashing part did.
  struct PartRecord
  {
    std::vector<TimePoint> crashes;
    std::vector<Send> sends;
  };

  struct HealthyCall
  {
    TimePoint at;
    bool hasBegun = false;
  };

  /// Returns the span from which on the daemons must have reacted to all parts.
  TimeSpan SpanAfterCrashes() const;
  void MeasureParts(PartOutcome& aOutcome) const;
  void MeasureHealthyCalls(PartOutcome& aOutcome) const;

  TimePoint start_;
  TimeSpan crashingCalls_;
  std::map<uint64_t, PartRecord> parts_;
  std::map<uint64_t, HealthyCall> healthyCalls_; // by id
  std::optional<TimeSpan> span_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_PART_MEASUREMENT_H_
