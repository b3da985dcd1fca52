// Decides whether a call whose attempt failed may be sent to another backend.
//
//   RetryDecision retries(world);
//   if (const auto denial = retries.Deny(row, isKnownNotExecuted)) { ... }

#ifndef ENTRY_RETRY_DECISION_H_
#define ENTRY_RETRY_DECISION_H_

#include <chrono>
#include <optional>
#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns whether the route allows a call to be executed more than once.
bool IsRetrySafe(const RequestRow& aRow);

class RetryDecision
{
public:
  // No backend can respond in less time than this, so nothing is sent.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);

  explicit RetryDecision(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Returns whether the call may be sent again, leaving the retry budget aside.
  /// `aIsKnownNotExecuted` is true if the last attempt certainly did not execute it.
  bool IsAllowed(const RequestRow& aRow, bool aIsKnownNotExecuted) const
  {
    return !ReasonNotToRetry(aRow, aIsKnownNotExecuted);
  }

  /// Returns why the call must not be sent again. If it may be, draws on the retry budget
  /// of its service and returns nothing.
  std::optional<std::string> Deny(const RequestRow& aRow, bool aIsKnownNotExecuted);

private:
  std::optional<std::string> ReasonNotToRetry(const RequestRow& aRow,
                                              bool aIsKnownNotExecuted) const;

  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_RETRY_DECISION_H_
