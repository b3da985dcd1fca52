// The number of calls that may be sent to a second backend. All daemons together keep to
// a share of the calls of the last seconds plus a fixed allowance; each daemon keeps to
// its own calls and its part of the allowance, so that no message is needed.
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
  double ratio = 0.2; // repeats for each call
  double extra = 0;   // repeats in a window beyond that, of all daemons together
  Duration window = std::chrono::seconds(10);

  bool operator==(const RetryBudgetOptions&) const = default;
};

/// The budget of one service at one daemon.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Counts the first sending of a call.
  void CountCall(TimePoint aNow);

  /// Takes one repeat if the budget allows it.
  bool TryRetry(TimePoint aNow, size_t aDaemons);

private:
  void Forget(TimePoint aNow);

  RetryBudgetOptions options_;
  std::deque<TimePoint> calls_;
  std::deque<TimePoint> repeats_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_RETRY_BUDGET_H_
