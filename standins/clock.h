// The clocks that the HTTP parts of the stand-ins read.

#ifndef STANDINS_CLOCK_H_
#define STANDINS_CLOCK_H_

#include <chrono>

#include <kj/time.h>

#include "gooseberrypath/types.h"

namespace gooseberrypath::standins {

/// Returns the current time of the steady clock.
inline TimePoint SteadyNow()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Returns milliseconds since 1970.
inline int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Converts to kj's type.
inline kj::Duration ToKj(Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

} // namespace gooseberrypath::standins

#endif // STANDINS_CLOCK_H_
