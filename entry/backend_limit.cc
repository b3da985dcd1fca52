#include "entry/backend_limit.h"

#include <algorithm>
#include <limits>

namespace gooseberrypath::entry {

namespace {

double RateOf(const LimitStatement& aStatement)
{
  return aStatement.perSecond.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool BackendLimit::Apply(const LimitStatement& aStatement)
{
  const auto before = latest_.perSecond;
  const bool isLater = aStatement.sentAt > latest_.receivedAt;
  const bool isEarlier = aStatement.receivedAt < latest_.sentAt;
  const bool isSameLimit = aStatement.perSecond == latest_.perSecond;
  if (isSameLimit) {
    latest_.sentAt = std::max(latest_.sentAt, aStatement.sentAt);
    latest_.receivedAt = std::max(latest_.receivedAt, aStatement.receivedAt);
  } else if (isLater || (!isEarlier && RateOf(aStatement) < RateOf(latest_))) {
    latest_ = aStatement;
  }
  return latest_.perSecond != before;
}

} // namespace gooseberrypath::entry
