// How far the clocks of daemons may be apart.

#ifndef ENTRY_CLOCK_DIFFERENCE_H_
#define ENTRY_CLOCK_DIFFERENCE_H_

#include "entry/usage_count.h"

namespace gooseberrypath::entry {

// The clocks of daemons differ by less than this, except after a disturbance.
inline constexpr WallTime kMaxClockDifference{ 500 };

} // namespace gooseberrypath::entry

#endif // ENTRY_CLOCK_DIFFERENCE_H_
