#include "entry/store_polling.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// All daemons together poll at most 10 times a second, so that one of them reads a change
// within a small part of the time in which all must know it. The minimum is for a daemon
// without peers: it must notice a leaving backend within 2 s even if a response is lost.
constexpr Duration kMinPollInterval = milliseconds(300);
constexpr Duration kPollIntervalPerReader = milliseconds(100);

// Smallest wait of a daemon without peers, as a part of the interval.
constexpr double kLonePollShare = 0.5;

// While backends change continuously, all daemons together read 50 times a second. The
// maximum bounds the time from the first daemon's read of a new backend to the last
// daemon's at 2 s.
constexpr Duration kMinBatchDelay = milliseconds(500);
constexpr Duration kBatchDelayPerReader = milliseconds(20);
constexpr Duration kMaxBatchDelay = milliseconds(2000);

// While the store is unreachable, all daemons together retry the read of each topic 50
// times a second.
constexpr Duration kMinRetryDelay = milliseconds(200);
constexpr Duration kRetryDelayPerReader = milliseconds(20);
constexpr Duration kMaxRetryDelay = milliseconds(1500);

} // namespace

Duration FleetPollInterval(size_t aReaders)
{
  return std::max(kMinPollInterval,
                  kPollIntervalPerReader * static_cast<int64_t>(aReaders));
}

Duration FleetPollWait(size_t aReaders, double aUniform)
{
  const double factor = aReaders > 1 ? -std::log1p(-aUniform) : kLonePollShare + aUniform;
  return std::chrono::duration_cast<Duration>(FleetPollInterval(aReaders) * factor);
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
