// Limits the retries of a service. All daemons together may retry a share of the calls in
// the window, plus a fixed allowance. Each daemon applies the share to its own calls and
// takes an equal part of the allowance, so the daemons need not communicate.
//
//   RetryBudget budget({ .ratio = 0.2, .extra = 56, .window = 10s });
//   budget.CountCall(now);
//   if (budget.TryRetry(now, daemons)) { ... }

#ifndef ENTRY_RETRY_BUDGET_H_
#define ENTRY_RETRY_BUDGET_H_

#include <deque>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

struct RetryBudgetOptions
{
  double ratio = 0.2; // retries per call
  double extra = 0;   // additional retries in a window, of all daemons together
  Duration window = std::chrono::seconds(10);

  bool operator==(const RetryBudgetOptions&) const = default;
};

/// The retry budget of one service at one daemon.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Counts a call when its first attempt is sent.
  void CountCall(TimePoint aNow);

  /// Counts a retry and returns true if the budget allows it.
  bool TryRetry(TimePoint aNow, size_t aDaemonCount);

private:
  /// Removes calls and retries that have left the window.
  void DropExpired(TimePoint aNow);

  RetryBudgetOptions options_;
  std::deque<TimePoint> calls_;
  std::deque<TimePoint> retries_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_RETRY_BUDGET_H_
