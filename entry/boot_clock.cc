#include "entry/boot_clock.h"

#include <ctime>

namespace gooseberrypath::entry {

TimePoint BootClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)) };
}

} // namespace gooseberrypath::entry
