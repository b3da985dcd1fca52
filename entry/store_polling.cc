#include "entry/store_polling.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// All daemons together read 10 times a second at most: a change is known to one of them
// within a small part of the time in which all must know it.
// A daemon that hears nobody reads often enough to lose one answer and still know in
// time.
constexpr Duration kMinPollInterval = milliseconds(300);
constexpr Duration kPollIntervalPerReader = milliseconds(100);

// On a day on which backends come and go all the time, all daemons together read 50 times
// a second, and a new backend is known to all 2 s after its first reader at the latest.
constexpr Duration kMinBatchDelay = milliseconds(500);
constexpr Duration kBatchDelayPerReader = milliseconds(20);
constexpr Duration kMaxBatchDelay = milliseconds(2000);

// While the store is away, all daemons together ask for each topic 50 times a second.
constexpr Duration kMinRetryDelay = milliseconds(200);
constexpr Duration kRetryDelayPerReader = milliseconds(20);
constexpr Duration kMaxRetryDelay = milliseconds(1500);

} // namespace

Duration FleetPollInterval(size_t aReaders)
{
  return std::max(kMinPollInterval,
                  kPollIntervalPerReader * static_cast<int64_t>(aReaders));
}

Duration StoreRetryDelay(size_t aReaders)
{
  const Duration delay = kRetryDelayPerReader * static_cast<int64_t>(aReaders);
  return std::clamp(delay, kMinRetryDelay, kMaxRetryDelay);
}

Duration FleetBatchDelay(size_t aReaders)
{
  const Duration delay = kBatchDelayPerReader * static_cast<int64_t>(aReaders);
  return std::clamp(delay, kMinBatchDelay, kMaxBatchDelay);
}

} // namespace gooseberrypath::entry
