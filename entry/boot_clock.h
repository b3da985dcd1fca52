// The clock of the entry daemon: time since the host started, which goes on while the
// host is suspended. Leases and deadlines must count that time.
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

/// Models ClockPort.
class BootClock
{
public:
  explicit BootClock(KjClockOptions aOptions)
    : steady_(aOptions)
  {
  }

  TimePoint Now() const;

  /// Calls aCallback once when the time is reached. A time during which the host is
  /// suspended is noticed at the next event only.
  void WakeAt(TimePoint aTime, std::function<void()> aCallback)
  {
    steady_.WakeAt(steady_.Now() + (aTime - Now()), std::move(aCallback));
  }

private:
  KjClock steady_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BOOT_CLOCK_H_
