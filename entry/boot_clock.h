// The clock of the entry daemon: time since the host booted, including time in which the
// host was suspended, because leases and deadlines must count it.
//
//   BootClock clock({ .timer = timer });
//   clock.WakeAt(clock.Now() + 20ms, [] { ... });

#ifndef ENTRY_BOOT_CLOCK_H_
#define ENTRY_BOOT_CLOCK_H_

#include <functional>

#include <kj/async.h>
#include <kj/timer.h>

#include "gooseberrypath/kj_clock.h"

namespace gooseberrypath::entry {

/// Implements the concept ClockPort.
class BootClock
{
public:
  explicit BootClock(KjClockOptions aOptions)
    : steady_(aOptions)
  {
  }

  TimePoint Now() const;

  /// Calls aCallback once at the given time. The timer behind it stops while the host is
  /// suspended, so a time that passes then is noticed only at the next event.
  void WakeAt(TimePoint aTime, std::function<void()> aCallback)
  {
    steady_.WakeAt(steady_.Now() + (aTime - Now()), std::move(aCallback));
  }

private:
  KjClock steady_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BOOT_CLOCK_H_
