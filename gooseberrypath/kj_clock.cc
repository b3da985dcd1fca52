#include "gooseberrypath/kj_clock.h"

#include <utility>

namespace gooseberrypath {

KjClock::KjClock(KjClockOptions aOptions)
  : timer_(aOptions.timer)
  , tasks_(errors_)
{
}

TimePoint KjClock::Now() const
{
  // The timer's own time stands still during a turn of the loop.
  const auto elapsed =
    kj::systemPreciseMonotonicClock().now() - kj::origin<kj::TimePoint>();
  return TimePoint{ Duration{ elapsed / kj::MICROSECONDS } };
}

void KjClock::WakeAt(TimePoint aTime, std::function<void()> aWake)
{
  const bool isArmed = wake_ != nullptr;
  wake_ = std::move(aWake);
  if (isArmed && due_ == aTime) {
    return; // The daemon calls after each event, mostly with the same time.
  }
  due_ = aTime;
  armed_ =
    timer_
      .atTime(kj::origin<kj::TimePoint>() +
              aTime.time_since_epoch().count() * kj::MICROSECONDS)
      // A task of its own, because the callback replaces armed_ by calling WakeAt().
      .then([this] { tasks_.add(kj::evalLater([this] { Fire(); })); })
      .eagerlyEvaluate(
        [this](kj::Exception&& aError) { errors_.taskFailed(kj::mv(aError)); });
}

void KjClock::Fire()
{
  if (wake_ == nullptr || due_ > Now()) {
    return; // replaced by a later wake-up since the timer fired
  }
  const auto wake = std::exchange(wake_, nullptr);
  wake();
}

} // namespace gooseberrypath
