#include "entry/team_quota.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Shares of the tolerance that callers get. In the time between two digests a team that
// sends many times its limit may take the rest.
constexpr double kOvershootShare = 0.5;
constexpr double kSlackShare = 0.6;

} // namespace

QuotaLimit EnforcedLimit(QuotaLimit aLimit, const QuotaTolerance& aTolerance)
{
  if (aLimit.rate <= 0) {
    return aLimit;
  }
  const double seconds = std::chrono::duration<double>(aTolerance.window).count();
  const double slackRate = kSlackShare * aTolerance.slack / seconds;
  return { .rate = aLimit.rate * (1 + kOvershootShare * aTolerance.overshoot) + slackRate,
           .burst = aLimit.burst };
}

void TeamQuota::SetLimit(TimePoint aNow, QuotaLimit aLimit)
{
  if (aLimit == limit_) {
    return;
  }
  Fill(aNow);
  const bool isFirst = limit_.rate <= 0;
  limit_ = aLimit;
  level_ = isFirst ? limit_.burst : std::min(level_, limit_.burst);
}

void TeamQuota::SetHeardShare(TimePoint aNow, double aShare)
{
  Fill(aNow);
  heardShare_ = std::clamp(aShare, 0.0, 1.0);
}

bool TeamQuota::TryAdmit(TimePoint aNow, double aAmount)
{
  Fill(aNow);
  if (limit_.rate > 0 && level_ <= 0) {
    return false;
  }
  level_ -= aAmount;
  admitted_ += aAmount;
  return true;
}

void TeamQuota::Return(TimePoint aNow, double aAmount)
{
  Fill(aNow);
  level_ = std::min(level_ + aAmount, limit_.burst);
  admitted_ -= aAmount;
}

void TeamQuota::CountPeer(TimePoint aNow, std::string_view aPeer, double aAdmitted,
                          bool aStartedBefore)
{
  Fill(aNow);
  const double first = aStartedBefore ? aAdmitted : 0;
  auto& known = peers_.try_emplace(std::string(aPeer), first).first->second;
  // A total may fall a little when a call is given back.
  level_ = std::min(level_ - (aAdmitted - known.value_or(aAdmitted)), limit_.burst);
  known = aAdmitted;
}

Duration TeamQuota::RefillTime(TimePoint aNow)
{
  Fill(aNow);
  const double rate = limit_.rate * heardShare_;
  if (level_ > 0 || rate <= 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(-level_ / rate));
}

void TeamQuota::Fill(TimePoint aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - filled_).count();
  filled_ = std::max(filled_, aNow);
  if (limit_.rate > 0 && seconds > 0) {
    level_ = std::min(limit_.burst, level_ + seconds * limit_.rate * heardShare_);
  }
}

} // namespace gooseberrypath::entry
