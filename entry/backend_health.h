// What the outcomes of recent calls tell about a backend: the share that failed and how
// much slower it is than expected. Both fade, so a backend that gets no calls is tried
// again.
//
//   health.NoteSuccess(now, observedMs / expectedMs);
//   health.NoteFailure(now);
//   health.FailureShare(now);

#ifndef ENTRY_BACKEND_HEALTH_H_
#define ENTRY_BACKEND_HEALTH_H_

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

class BackendHealth
{
public:
  /// Notes a call that the backend answered. The ratio is the observed time over the
  /// expected one.
  void NoteSuccess(TimePoint aNow, double aTimeRatio);

  /// Notes a call that it refused, broke off or did not answer.
  void NoteFailure(TimePoint aNow);

  /// Returns the share of recent calls that failed, 0 without recent calls.
  double FailureShare(TimePoint aNow) const;

  /// Returns the observed over the expected time of recent calls, 1 without recent calls.
  double Slowness(TimePoint aNow) const;

private:
  void Fade(TimePoint aNow);

  TimePoint updated_{};
  double successes_ = 0; // faded counts
  double failures_ = 0;
  double logRatio_ = 0; // logarithm of the slowness
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_HEALTH_H_
