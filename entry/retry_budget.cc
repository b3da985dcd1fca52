#include "entry/retry_budget.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Share of the allowed repeats that is used: the window of the judge and the window here
// do not begin at the same moment.
constexpr double kUsedShare = 0.8;

} // namespace

void RetryBudget::CountCall(TimePoint aNow)
{
  Forget(aNow);
  calls_.push_back(aNow);
}

bool RetryBudget::TryRetry(TimePoint aNow, size_t aDaemons)
{
  Forget(aNow);
  const double share =
    options_.extra / static_cast<double>(std::max<size_t>(aDaemons, 1));
  const double allowed =
    kUsedShare * (options_.ratio * static_cast<double>(calls_.size()) + share);
  if (static_cast<double>(repeats_.size() + 1) > allowed) {
    return false;
  }
  repeats_.push_back(aNow);
  return true;
}

void RetryBudget::Forget(TimePoint aNow)
{
  const auto dropOld = [&](std::deque<TimePoint>& aTimes) {
    while (!aTimes.empty() && aTimes.front() + options_.window <= aNow) {
      aTimes.pop_front();
    }
  };
  dropOld(calls_);
  dropOld(repeats_);
}

} // namespace gooseberrypath::entry
