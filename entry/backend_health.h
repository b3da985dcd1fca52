// Tracks the failure rate and the slowness of a backend from the outcomes of recent
// calls. Both decay exponentially, so a backend that was avoided is tried again after a
// while.
//
//   health.RecordSuccess(now, observedMs / expectedMs);
//   health.RecordFailure(now);
//   health.FailureRate(now);

#ifndef ENTRY_BACKEND_HEALTH_H_
#define ENTRY_BACKEND_HEALTH_H_

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

class BackendHealth
{
public:
  /// Records a call that the backend answered. `aTimeRatio` is the observed time divided
  /// by the expected time.
  void RecordSuccess(TimePoint aNow, double aTimeRatio);

  /// Records a call that the backend refused, aborted or did not answer.
  void RecordFailure(TimePoint aNow);

  /// Returns the share of recent calls that failed, from 0 to 1. Without recent calls it
  /// is 0.
  double FailureRate(TimePoint aNow) const;

  /// Returns the mean ratio of observed to expected time of recent calls. Without recent
  /// calls it is 1.
  double Slowness(TimePoint aNow) const;

private:
  void Decay(TimePoint aNow);

  TimePoint updated_{};
  double successes_ = 0;   // decayed count
  double failures_ = 0;    // decayed count
  double logSlowness_ = 0; // natural logarithm of the slowness
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_HEALTH_H_
