// An exponentially decaying average of the rate of events, over a few seconds.
//
//   SmoothedRate rate;
//   rate.Add(now, tokens);
//   rate.PerSecond(now);

#ifndef ENTRY_SMOOTHED_RATE_H_
#define ENTRY_SMOOTHED_RATE_H_

#include <cmath>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

class SmoothedRate
{
public:
  /// Adds an amount that occurred now.
  void Add(TimePoint aNow, double aAmount)
  {
    perSecond_ = PerSecond(aNow) + aAmount / kTimeConstantSeconds;
    updated_ = aNow;
  }

  /// Returns the average rate in units per second.
  double PerSecond(TimePoint aNow) const
  {
    const double age = std::chrono::duration<double>(aNow - updated_).count();
    return perSecond_ * std::exp(-age / kTimeConstantSeconds);
  }

private:
  // Shorter than the startup time of a backend, longer than the gaps between bursts of
  // calls.
  static constexpr double kTimeConstantSeconds = 3;

  double perSecond_ = 0;
  TimePoint updated_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SMOOTHED_RATE_H_
