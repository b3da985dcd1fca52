#include "entry/retry_budget.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Share of the allowed retries that is used. The limit is checked over windows that begin
// at other moments than the window here, which could count more retries.
constexpr double kUsableShare = 0.8;

} // namespace

void RetryBudget::CountCall(TimePoint aNow)
{
  DropExpired(aNow);
  calls_.push_back(aNow);
}

bool RetryBudget::TryRetry(TimePoint aNow, size_t aDaemonCount)
{
  DropExpired(aNow);
  const double share =
    options_.extra / static_cast<double>(std::max<size_t>(aDaemonCount, 1));
  const double allowed =
    kUsableShare * (options_.ratio * static_cast<double>(calls_.size()) + share);
  if (static_cast<double>(retries_.size() + 1) > allowed) {
    return false;
  }
  retries_.push_back(aNow);
  return true;
}

void RetryBudget::DropExpired(TimePoint aNow)
{
  const auto dropExpired = [&](std::deque<TimePoint>& aTimes) {
    while (!aTimes.empty() && aTimes.front() + options_.window <= aNow) {
      aTimes.pop_front();
    }
  };
  dropExpired(calls_);
  dropExpired(retries_);
}

} // namespace gooseberrypath::entry
