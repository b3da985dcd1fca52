#include "gooseberrypath/timer_service.h"

#include <catch2/catch.hpp>

using namespace gooseberrypath;
using namespace std::chrono_literals;

TEST_CASE("TimerService calls back in order of due time", "[timer]")
{
  // Guards against callbacks in order of subscription.
  TimerService timers;
  std::vector<int> calls;
  timers.SubscribeAt(TimePoint{ 20ms }, [&](TimePoint) { calls.push_back(2); });
  timers.SubscribeAt(TimePoint{ 10ms }, [&](TimePoint) { calls.push_back(1); });
  CHECK(timers.NextDue() == TimePoint{ 10ms });
  CHECK(timers.AdvanceTo(TimePoint{ 30ms }) == 2);
  CHECK(calls == std::vector{ 1, 2 });
  CHECK_FALSE(timers.NextDue());
}

TEST_CASE("TimerService calls a period once for several missed periods", "[timer]")
{
  // Guards against a burst of calls after the process was paused.
  TimerService timers;
  int calls = 0;
  timers.SubscribeEvery(10ms, [&](TimePoint) { ++calls; });
  timers.AdvanceTo(TimePoint{ 1s });
  CHECK(calls == 1);
  CHECK(timers.NextDue() == TimePoint{ 1s + 10ms });
}

TEST_CASE("TimerService allows cancelling from a callback", "[timer]")
{
  // Guards against a use of a subscription that its own callback removed.
  TimerService timers;
  int calls = 0;
  TimerId id{};
  id = timers.SubscribeEvery(10ms, [&](TimePoint) {
    ++calls;
    timers.Cancel(id);
  });
  timers.AdvanceTo(TimePoint{ 1s });
  timers.AdvanceTo(TimePoint{ 2s });
  CHECK(calls == 1);
  CHECK_FALSE(timers.NextDue());
}

TEST_CASE("TimerService ignores a clock that goes back", "[timer]")
{
  TimerService timers(TimePoint{ 5s });
  timers.AdvanceTo(TimePoint{ 1s });
  CHECK(timers.Now() == TimePoint{ 5s });
}
