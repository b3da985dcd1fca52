// What the outcomes of recent calls tell about a backend: the share that failed and how
// much slower it is than expected. Both fade, so a backend that gets no calls is tried
// again.
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
  /// Notes a call that the backend answered. The ratio is the observed time over the
  /// expected one.
  void RecordSuccess(TimePoint aNow, double aTimeRatio);

  /// Notes a call that it refused, broke off or did not answer.
  void RecordFailure(TimePoint aNow);

  /// Returns the share of recent calls that failed, 0 without recent calls.
  double FailureRate(TimePoint aNow) const;

  /// Returns the observed over the expected time of recent calls, 1 without recent calls.
  double Slowness(TimePoint aNow) const;

private:
  void Decay(TimePoint aNow);

  TimePoint updated_{};
  double successes_ = 0; // faded counts
  double failures_ = 0;
  double logSlowness_ = 0; // logarithm of the slowness
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_HEALTH_H_
