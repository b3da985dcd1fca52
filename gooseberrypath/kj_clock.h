// The clock of a daemon on a kj event loop.
//
//   KjClock clock({ .timer = context.provider->getTimer() });
//   clock.WakeAt(clock.Now() + 20ms, [] { ... });

#ifndef GOOSEBERRYPATH_KJ_CLOCK_H_
#define GOOSEBERRYPATH_KJ_CLOCK_H_

#include <functional>

#include <kj/async.h>
#include <kj/timer.h>

#include "gooseberrypath/task_errors.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

struct KjClockOptions
{
  kj::Timer& timer;
};

/// Models ClockPort. The time is the monotonic clock, in microseconds.
class KjClock
{
public:
  explicit KjClock(KjClockOptions aOptions);

  KjClock(const KjClock&) = delete;
  KjClock& operator=(const KjClock&) = delete;

  TimePoint Now() const;

  /// Calls aWake once when the time is reached, from a fresh turn of the loop; a time in
  /// the past means the next turn. Replaces the previous wake-up.
  void WakeAt(TimePoint aTime, std::function<void()> aWake);

  const TaskErrors& Errors() const { return errors_; }

private:
  void Fire();

  kj::Timer& timer_;
  TimePoint due_;
  std::function<void()> wake_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
  kj::Promise<void> armed_ = nullptr;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_KJ_CLOCK_H_
