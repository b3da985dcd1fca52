// The timer service that all parts subscribe to. It has no clock of its own: its owner
// advances it, from the event loop in a daemon or by hand in a test.
//
//   TimerId id = timers.SubscribeAt(timers.Now() + 2s, [](TimePoint) { ... });
//   timers.SubscribeEvery(500ms, [](TimePoint) { ... });
//   timers.AdvanceTo(now);  // calls what is due, in order of due time

#ifndef GOOSEBERRYPATH_TIMER_SERVICE_H_
#define GOOSEBERRYPATH_TIMER_SERVICE_H_

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// Calls subscribers when their due time is reached. Not thread safe.
class TimerService
{
public:
  using Callback = std::function<void(TimePoint)>;

  /// Starts at this time.
  explicit TimerService(TimePoint aStart = TimePoint{})
    : now_(aStart)
  {
  }

  /// Returns the time to which the service was last advanced.
  TimePoint Now() const { return now_; }

  /// Calls back once, when the time is at or past aDue.
  TimerId SubscribeAt(TimePoint aDue, Callback aCallback);

  /// Calls back every period, first after one period. A late advance calls back once for
  /// all periods that were missed. The period must be positive.
  TimerId SubscribeEvery(Duration aPeriod, Callback aCallback);

  /// Ends a subscription. Unknown ids are ignored.
  void Cancel(TimerId aId);

  /// Returns the earliest due time, if there is a subscription.
  std::optional<TimePoint> NextDue() const;

  /// Sets the time without calling anything, so that an event that arrived before a due
  /// time can be handled first. An earlier time than Now() is ignored.
  void SetTime(TimePoint aNow)
  {
    if (aNow > now_) {
      now_ = aNow;
    }
  }

  /// Sets the time and calls what is due, in order of due time. An earlier time than
  /// Now() is ignored. Returns the number of calls made.
  size_t AdvanceTo(TimePoint aNow);

private:
  struct Subscription
  {
    TimePoint due;
    Duration period;
    Callback callback;
  };

  TimerId Add(TimePoint aDue, Duration aPeriod, Callback aCallback);

  TimePoint now_;
  uint64_t lastId_ = 0;
  std::unordered_map<TimerId, Subscription> subscriptions_;
  std::multimap<TimePoint, TimerId> byDue_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TIMER_SERVICE_H_
