// The rate of something that is counted, smoothed over a few seconds.
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
  /// Counts an amount.
  void Add(TimePoint aNow, double aAmount)
  {
    perSecond_ = PerSecond(aNow) + aAmount / kTimeConstantSeconds;
    updated_ = aNow;
  }

  double PerSecond(TimePoint aNow) const
  {
    const double age = std::chrono::duration<double>(aNow - updated_).count();
    return perSecond_ * std::exp(-age / kTimeConstantSeconds);
  }

private:
  // Shorter than the start of a backend, longer than the gaps between clumps of calls.
  static constexpr double kTimeConstantSeconds = 3;

  double perSecond_ = 0;
  TimePoint updated_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SMOOTHED_RATE_H_
