#include "entry/backend_limit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

namespace gooseberrypath::entry {

namespace {

constexpr double kMinRate = 0.25;

// All daemons together do not reach this rate at one backend.
constexpr double kMaxRate = 100'000;

double RateOf(const LimitStatement& aStatement)
{
  return aStatement.perSecond.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool IsValid(const LimitStatement& aStatement)
{
  const double rate = aStatement.perSecond.value_or(0);
  return std::isfinite(rate) && rate >= 0 && aStatement.sentAt >= WallTime::zero() &&
         aStatement.sentAt <= aStatement.receivedAt;
}

std::string LimitText(const std::optional<double>& aPerSecond)
{
  if (!aPerSecond) {
    return "none";
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", *aPerSecond);
  return text.data();
}

std::optional<double> BackendLimit::Enforced() const
{
  if (!latest_.perSecond || *latest_.perSecond >= kMaxRate) {
    return std::nullopt;
  }
  return std::max(*latest_.perSecond, kMinRate);
}

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
