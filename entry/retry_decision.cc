#include "entry/retry_decision.h"

#include "entry/part_guard.h"

namespace gooseberrypath::entry {

namespace {

// A call that may have ended this number of backends is not sent to another one.
constexpr uint32_t kMaxBrokenStarts = 2;

} // namespace

bool IsRetrySafe(const RequestRow& aRow)
{
  return aRow.route->kind == CallKind::Idempotent ||
         (aRow.route->kind == CallKind::Streaming && aRow.route->isResumable);
}

std::optional<std::string> RetryDecision::Deny(const RequestRow& aRow,
                                               bool aIsKnownNotExecuted)
{
  auto reason = ReasonNotToRetry(aRow, aIsKnownNotExecuted);
  if (reason || aRow.sentAttempts == 0) {
    return reason;
  }
  RetryBudget& budget =
    world_.retryBudgets.try_emplace(aRow.service, RetryBudget(world_.options.retryBudget))
      .first->second;
  if (!budget.TryRetry(world_.Now(), world_.DaemonCount())) {
    world_.counters.Add(EntryCounter::RetriesDenied);
    return "the retry budget of the service is exhausted";
  }
  return std::nullopt;
}

std::optional<std::string> RetryDecision::ReasonNotToRetry(const RequestRow& aRow,
                                                           bool aIsKnownNotExecuted) const
{
  if (!aIsKnownNotExecuted && !IsRetrySafe(aRow)) {
    return "the call may not run twice";
  }
  if (aRow.headSent && aRow.lastEventId.empty()) {
    return "the stream cannot resume because its events have no ids";
  }
  if (aRow.sentAttempts > 0 && IsSuspectedRequest(world_, aRow)) {
    return "several backends ended as they ran this request";
  }
  if (aRow.brokenStarts >= kMaxBrokenStarts && HasSuspectedPart(world_, aRow)) {
    return "several backends ended at the start of this call";
  }
  if (aRow.countedAttempts >= aRow.route->maxAttempts) {
    return "the route's maximum number of attempts is reached";
  }
  if (aRow.deadline - world_.Now() < kMinTimeLeft) {
    return "too little time remains before the deadline";
  }
  return std::nullopt;
}

} // namespace gooseberrypath::entry
