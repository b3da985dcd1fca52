// A value that is read with a delay, as from a system that reports late.
//
//   LaggedValue<int> value(lag, 0);
//   value.Set(now, 5);
//   value.Get(later);  // the value that was current at later - lag

#ifndef STANDINS_LAGGED_VALUE_H_
#define STANDINS_LAGGED_VALUE_H_

#include <deque>
#include <utility>

#include "gooseberrypath/types.h"

namespace gooseberrypath::standins {

/// Keeps the history of a value as far back as the lag. Times must not decrease.
template<typename T>
class LaggedValue
{
public:
  LaggedValue(Duration aLag, T aInitial)
    : lag_(aLag)
  {
    history_.emplace_back(TimePoint::min(), std::move(aInitial));
  }

  /// Sets the value from aNow on.
  void Set(TimePoint aNow, T aValue)
  {
    Trim(aNow);
    history_.emplace_back(aNow, std::move(aValue));
  }

  /// Returns the value that was current one lag before aNow.
  const T& Get(TimePoint aNow)
  {
    Trim(aNow);
    return history_.front().second;
  }

  /// Returns the value without lag.
  const T& Newest() const { return history_.back().second; }

private:
  void Trim(TimePoint aNow)
  {
    while (history_.size() > 1 && history_[1].first <= aNow - lag_) {
      history_.pop_front();
    }
  }

  Duration lag_;
  std::deque<std::pair<TimePoint, T>> history_; // never empty
};

} // namespace gooseberrypath::standins

#endif // STANDINS_LAGGED_VALUE_H_
