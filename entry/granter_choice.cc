#include "entry/granter_choice.h"

#include <algorithm>

#include <xxhash.h>

namespace gooseberrypath::entry {

void GranterChoice::SetEligible(TimePoint aNow, const std::string& aHost,
                                bool aIsEligible)
{
  const bool hasChanged =
    aIsEligible ? eligible_.insert(aHost).second : eligible_.erase(aHost) > 0;
  if (hasChanged) {
    viewNumber_ += 1;
    changedAt_ = aNow;
  }
}

void GranterChoice::SetAliveShare(TimePoint aNow, double aShare, Duration aSettleTime)
{
  settleTime_ = aSettleTime;
  const double current = std::clamp(aShare, 0.0, 1.0);
  if (current <= share_) {
    share_ = current;
    isHigher_ = false;
    return;
  }
  if (!isHigher_) {
    isHigher_ = true;
    higherSince_ = aNow;
    lowestShare_ = current;
  }
  lowestShare_ = std::min(lowestShare_, current);
  if (aNow - higherSince_ >= settleTime_) {
    share_ = lowestShare_;
    isHigher_ = false;
  }
}

void GranterChoice::Restart(TimePoint aNow)
{
  restartedAt_ = aNow;
}

const Granter& GranterChoice::GranterOf(uint32_t aBackendKey)
{
  Cached& cached = granters_[aBackendKey];
  if (cached.view == viewNumber_) {
    return cached.granter;
  }
  cached.view = viewNumber_;
  std::string first;
  uint64_t highest = 0;
  for (const std::string& host : eligible_) {
    const uint64_t rank = XXH64(host.data(), host.size(), aBackendKey);
    if (first.empty() || rank > highest) {
      first = host;
      highest = rank;
    }
  }
  if (first != cached.granter.host) {
    cached.granter = { .host = first, .since = changedAt_ };
  }
  return cached.granter;
}

TimePoint GranterChoice::GrantsFrom(const Granter& aGranter) const
{
  return std::max(aGranter.since, restartedAt_) + settleTime_;
}

} // namespace gooseberrypath::entry
