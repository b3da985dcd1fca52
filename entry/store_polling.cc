#include "entry/store_polling.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// All daemons together read 10 times a second at most: a change is known to one of them
// within a small part of the time in which all must know it.
// A daemon that hears nobody reads often enough to lose one answer and still know in
// time.
constexpr Duration kMinPause = milliseconds(300);
constexpr Duration kPausePerReader = milliseconds(100);

// On a day on which backends come and go all the time, all daemons together read 50 times
// a second, and a new backend is known to all 2 s after its first reader at the latest.
constexpr Duration kMinGather = milliseconds(500);
constexpr Duration kGatherPerReader = milliseconds(20);
constexpr Duration kMaxGather = milliseconds(2000);

// While the store is away, all daemons together ask for each topic 50 times a second.
constexpr Duration kMinRetry = milliseconds(200);
constexpr Duration kRetryPerReader = milliseconds(20);
constexpr Duration kMaxRetry = milliseconds(1500);

} // namespace

Duration FleetPollInterval(size_t aReaders)
{
  return std::max(kMinPause, kPausePerReader * static_cast<int64_t>(aReaders));
}

Duration StoreRetryDelay(size_t aReaders)
{
  const Duration pause = kRetryPerReader * static_cast<int64_t>(aReaders);
  return std::clamp(pause, kMinRetry, kMaxRetry);
}

Duration FleetBatchDelay(size_t aReaders)
{
  const Duration gather = kGatherPerReader * static_cast<int64_t>(aReaders);
  return std::clamp(gather, kMinGather, kMaxGather);
}

} // namespace gooseberrypath::entry
