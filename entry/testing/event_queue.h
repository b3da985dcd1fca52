// Events on virtual time, in the order of their times.
//
//   EventQueue queue;
//   queue.Add(now + 5ms, [] { ... });
//   queue.RunUntil(end, now);

#ifndef ENTRY_TESTING_EVENT_QUEUE_H_
#define ENTRY_TESTING_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Events in the order of their times, and of their creation at equal times.
class EventQueue
{
public:
  void Add(TimePoint aAt, std::function<void()> aRun)
  {
    events_.push({ aAt, ++lastId_, std::move(aRun) });
  }

  /// Runs the events up to the time, with the clock set to the time of each.
  void RunUntil(TimePoint aEnd, TimePoint& aNow)
  {
    while (!events_.empty() && events_.top().at <= aEnd) {
      auto run = std::move(const_cast<Item&>(events_.top()).run);
      aNow = std::max(aNow, events_.top().at);
      events_.pop();
      run();
    }
    aNow = aEnd;
  }

private:
  struct Item
  {
    TimePoint at;
    uint64_t id = 0;
    std::function<void()> run;

    bool operator<(const Item& aOther) const
    {
      return std::pair(at, id) > std::pair(aOther.at, aOther.id);
    }
  };

  std::priority_queue<Item> events_;
  uint64_t lastId_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_EVENT_QUEUE_H_
