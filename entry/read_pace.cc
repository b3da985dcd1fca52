#include "entry/read_pace.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// All daemons together read 25 times a second; the one that reads first tells the others.
constexpr Duration kMinPause = milliseconds(800);
constexpr Duration kPausePerReader = milliseconds(40);

// On a day on which backends come and go all the time, all daemons together read 50 times
// a second, and a new backend is known to all 2 s after its first reader at the latest.
constexpr Duration kMinGather = milliseconds(500);
constexpr Duration kGatherPerReader = milliseconds(20);
constexpr Duration kMaxGather = milliseconds(2000);

} // namespace

Duration FleetPause(size_t aReaders)
{
  return std::max(kMinPause, kPausePerReader * static_cast<int64_t>(aReaders));
}

Duration FleetGather(size_t aReaders)
{
  const Duration gather = kGatherPerReader * static_cast<int64_t>(aReaders);
  return std::clamp(gather, kMinGather, kMaxGather);
}

} // namespace gooseberrypath::entry
