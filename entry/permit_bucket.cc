#include "entry/permit_bucket.h"

#include <algorithm>
#include <cmath>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

// The bucket holds this number of permits and what the rate brings in this time. Permits
// that nobody asked for in time are lost, so that calls reach the backend evenly.
constexpr double kBurstPermits = 3;
constexpr double kBurstSeconds = 0.25;

// Requests of all processes per second: some more than the permits that are granted, so
// that no permit waits long, and a part that does not depend on the rate.
constexpr double kAsksPerPermit = 4;
constexpr double kMinAsksPerSecond = 50;
constexpr double kMaxAsksPerSecond = 400;

// A process that has not asked for this time does not count as asking.
constexpr Duration kAskerRetention = std::chrono::seconds(4);
constexpr Duration kForgetInterval = std::chrono::seconds(1);

// A process gets up to this multiple of its even share, as processes do not ask at the
// same rate.
constexpr double kMaxShareFactor = 2;

} // namespace

void PermitBucket::SetRate(TimePoint aNow, double aPerSecond)
{
  Refill(aNow);
  perSecond_ = aPerSecond;
}

void PermitBucket::Empty(TimePoint aNow)
{
  refilledAt_ = aNow;
  level_ = 0;
}

PermitGrant PermitBucket::Grant(TimePoint aNow, const PermitDemand& aDemand)
{
  Refill(aNow);
  ForgetSilentAskers(aNow);
  Asker& asker = askers_[aDemand.process];
  if (aDemand.id <= asker.lastId) {
    return aDemand.id == asker.lastId ? asker.lastGrant : PermitGrant{};
  }
  asker.lastId = aDemand.id;
  asker.askedAt = aNow;
  const double wanted = std::min<double>(aDemand.wanted, MaxPermits());
  const double granted = std::floor(std::min(wanted, level_));
  level_ -= granted;
  const double untilNextMs =
    level_ >= 1 || perSecond_ <= 0 ? 0 : 1000 * (1 - level_) / perSecond_;
  const bool isServed = granted >= aDemand.wanted;
  asker.lastGrant = { .permits = static_cast<uint32_t>(granted),
                      .askAgainAfter = isServed
                                         ? Duration{}
                                         : std::max(FromMs(untilNextMs), AskInterval()) };
  return asker.lastGrant;
}

Duration PermitBucket::AskInterval() const
{
  const double asksPerSecond =
    std::min(kAsksPerPermit * perSecond_ + kMinAsksPerSecond, kMaxAsksPerSecond);
  return FromMs(1000 * static_cast<double>(askers_.size()) / asksPerSecond);
}

double PermitBucket::MaxPermits() const
{
  const double inInterval = perSecond_ * ToMs(AskInterval()) / 1000;
  const double evenShare = inInterval / static_cast<double>(askers_.size());
  return std::max(1.0, kMaxShareFactor * evenShare);
}

void PermitBucket::Refill(TimePoint aNow)
{
  const double seconds = ToMs(aNow - refilledAt_) / 1000;
  if (seconds <= 0) {
    return;
  }
  refilledAt_ = aNow;
  const double capacity = kBurstPermits + kBurstSeconds * perSecond_;
  level_ = std::min(capacity, level_ + seconds * perSecond_);
}

void PermitBucket::ForgetSilentAskers(TimePoint aNow)
{
  if (aNow - forgotAt_ < kForgetInterval) {
    return;
  }
  forgotAt_ = aNow;
  std::erase_if(askers_, [&](const auto& aItem) {
    return aItem.second.askedAt + kAskerRetention < aNow;
  });
}

} // namespace gooseberrypath::entry
