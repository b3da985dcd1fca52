#include "gooseberrypath/timer_service.h"

#include <utility>

namespace gooseberrypath {

TimerId TimerService::SubscribeAt(TimePoint aDue, Callback aCallback)
{
  return Add(aDue, Duration::zero(), std::move(aCallback));
}

TimerId TimerService::SubscribeEvery(Duration aPeriod, Callback aCallback)
{
  return Add(now_ + aPeriod, aPeriod, std::move(aCallback));
}

TimerId TimerService::Add(TimePoint aDue, Duration aPeriod, Callback aCallback)
{
  const TimerId id{ ++lastId_ };
  subscriptions_.emplace(id, Subscription{ aDue, aPeriod, std::move(aCallback) });
  byDue_.emplace(aDue, id);
  return id;
}

void TimerService::Cancel(TimerId aId)
{
  const auto found = subscriptions_.find(aId);
  if (found == subscriptions_.end()) {
    return;
  }
  auto [first, last] = byDue_.equal_range(found->second.due);
  for (auto it = first; it != last; ++it) {
    if (it->second == aId) {
      byDue_.erase(it);
      break;
    }
  }
  subscriptions_.erase(found);
}

std::optional<TimePoint> TimerService::NextDue() const
{
  if (byDue_.empty()) {
    return std::nullopt;
  }
  return byDue_.begin()->first;
}

size_t TimerService::AdvanceTo(TimePoint aNow)
{
  SetTime(aNow);
  size_t calls = 0;
  while (!byDue_.empty() && byDue_.begin()->first <= now_) {
    const TimerId id = byDue_.begin()->second;
    byDue_.erase(byDue_.begin());
    Subscription& subscription = subscriptions_.at(id);
    // The callback may cancel or add subscriptions, so it is called on a copy after
    // the tables are consistent.
    const Callback callback = subscription.callback;
    if (subscription.period > Duration::zero()) {
      subscription.due = now_ + subscription.period;
      byDue_.emplace(subscription.due, id);
    } else {
      subscriptions_.erase(id);
    }
    callback(now_);
    ++calls;
  }
  return calls;
}

} // namespace gooseberrypath
