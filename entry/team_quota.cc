#include "entry/team_quota.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Shares of the tolerance that callers get when daemons hear of each other at once.
constexpr double kCallerOvershootShare = 0.55;
constexpr double kCallerSlackShare = 0.65;

// With this time between two digests, the whole tolerance is needed for what daemons
// admit meanwhile and before they notice that they are cut off from each other.
constexpr double kMaxDigestIntervalSeconds = 1;

// The part of a daemon's share that follows its recent calls. The rest is divided evenly,
// so that a daemon which had no calls can admit its first ones.
constexpr double kObservedShareWeight = 0.8;

// A daemon's own bucket holds this multiple of its share of the burst: calls come in
// clumps, and a single long prompt may need more than the share.
constexpr double kLocalBurstFactor = 2;

// A debt of the shared bucket is paid back within about this time, well inside a window.
constexpr double kDebtRepaymentSeconds = 2;
constexpr double kMinRefillFactor = 0.1;
constexpr double kMaxRefillFactor = 1.5;

// Digests come more often than shares change.
constexpr Duration kShareUpdateInterval = std::chrono::milliseconds(200);

// A daemon that hears fewer than this share of the others knows too little of what they
// admit, and keeps to its even part.
constexpr double kMinLiveShare = 0.5;

// A digest on its way and the wait of a busy daemon.
constexpr Duration kMinDigestDelay = std::chrono::milliseconds(250);

// Daemons send their digests at different moments, so in half of an interval half of them
// are due. If clearly fewer came, and that is no chance because many were due, the others
// are not heard any more.
constexpr double kMinDueDigests = 8;
constexpr double kMinArrivedShare = 0.6;

// A daemon that hears less than this share of the others fills the bucket of a team that
// is near its limit slower than its part: those that it does not hear overspent theirs
// before they noticed. A team whose bucket is fuller than the given share is below its
// limit, and nobody overspends for it.
constexpr double kNearlyAllLiveShare = 0.95;
constexpr double kPartitionRefillFactor = 0.75;
constexpr double kNearLimitLevelShare = 0.5;

// What a daemon admitted beyond its even part while it heard the others is paid back when
// it does not hear them any more, but for what lies further back than a window of the
// tolerance.
constexpr double kMaxDebtSeconds = 8;

// While the others are heard, an even part that is below the same part of the shared
// bucket approaches it in about this many times the time between two digests: by then the
// shared bucket counts what all daemons admitted.
constexpr double kConvergenceIntervals = 2;

} // namespace

QuotaLimit EnforcedLimit(QuotaLimit aLimit, const QuotaTolerance& aTolerance,
                         Duration aDigestInterval)
{
  if (aLimit.rate <= 0) {
    return aLimit;
  }
  const double seconds = std::chrono::duration<double>(aTolerance.window).count();
  const double digestSeconds = std::chrono::duration<double>(aDigestInterval).count();
  const double callerShare =
    std::clamp(1 - digestSeconds / kMaxDigestIntervalSeconds, 0.0, 1.0);
  const double slackRate = callerShare * kCallerSlackShare * aTolerance.slack / seconds;
  const double overshoot = callerShare * kCallerOvershootShare * aTolerance.overshoot;
  return { .rate = aLimit.rate * (1 + overshoot) + slackRate, .burst = aLimit.burst };
}

Duration PeerTimeout(Duration aDigestInterval)
{
  return aDigestInterval + std::max(aDigestInterval / 2, kMinDigestDelay);
}

double EstimateLivePeers(std::span<const Duration> aAges, Duration aInterval)
{
  const auto younger = [&](Duration aLimit) {
    return static_cast<double>(
      std::ranges::count_if(aAges, [&](Duration aAge) { return aAge <= aLimit; }));
  };
  const double live = younger(PeerTimeout(aInterval));
  const Duration half = aInterval / 2;
  const double due = static_cast<double>(aAges.size()) / 2;
  const double arrived = younger(half);
  const bool isTooFew = due >= kMinDueDigests && arrived < kMinArrivedShare * due;
  return isTooFew && half >= kMinDigestDelay ? std::min(live, 2 * arrived) : live;
}

void TeamQuota::SetLimit(TimePoint aNow, QuotaLimit aLimit)
{
  if (aLimit == limit_) {
    return;
  }
  Refill(aNow);
  const bool isFirst = limit_.rate <= 0;
  limit_ = aLimit;
  sharedLevel_ = isFirst ? limit_.burst : std::min(sharedLevel_, limit_.burst);
  localLevel_ =
    isFirst ? limit_.burst * EqualShare() : std::min(localLevel_, limit_.burst);
  equalShareLevel_ =
    isFirst ? limit_.burst * EqualShare() : std::min(equalShareLevel_, limit_.burst);
}

void TeamQuota::SetLiveShare(TimePoint aNow, double aShare)
{
  Refill(aNow);
  const bool wasIsolated = IsIsolated();
  const double share = std::clamp(aShare, 0.0, 1.0);
  if (share < kNearlyAllLiveShare && share < liveShare_ && sharedLevel_ > 0) {
    sharedLevel_ *=
      share / liveShare_; // the rest is for those that are not heard any more
  }
  liveShare_ = share;
  if (wasIsolated && !IsIsolated()) {
    // What the others admitted meanwhile is not known; they were asked like this one.
    sharedLevel_ = std::min(sharedLevel_, equalShareLevel_ / EqualShare());
  }
}

void TeamQuota::UpdateLocalShare(TimePoint aNow)
{
  const double equalShare = EqualShare();
  if (IsIsolated()) {
    // What the others are asked for is not known, so each daemon keeps to an even part.
    localShare_ = equalShare;
    hasLocalShare_ = false;
    return;
  }
  if (hasLocalShare_ && aNow - localShareUpdated_ < kShareUpdateInterval) {
    return;
  }
  hasLocalShare_ = true;
  localShareUpdated_ = aNow;
  const double localRate = localAdmitRate_.PerSecond(aNow);
  const double totalRate = localRate + peerAdmitRate_.PerSecond(aNow);
  const double observedShare =
    totalRate > 0 ? std::clamp(localRate / totalRate, 0.0, 1.0) : equalShare;
  localShare_ =
    kObservedShareWeight * observedShare + (1 - kObservedShareWeight) * equalShare;
}

size_t TeamQuota::CountedPeers() const
{
  return static_cast<size_t>(std::ranges::count_if(
    peerTotals_, [](const auto& aPeer) { return aPeer.second.has_value(); }));
}

double TeamQuota::EqualShare() const
{
  return 1.0 / static_cast<double>(std::max(CountedPeers() + 1, daemonCount_));
}

bool TeamQuota::IsIsolated() const
{
  return liveShare_ < kMinLiveShare;
}

double TeamQuota::SharedRefillRate() const
{
  const bool isNearLimit =
    sharedLevel_ < kNearLimitLevelShare * limit_.burst * liveShare_;
  const bool isReduced = liveShare_ < kNearlyAllLiveShare && isNearLimit;
  return limit_.rate * liveShare_ * (isReduced ? kPartitionRefillFactor : 1);
}

double TeamQuota::LocalRefillRate() const
{
  const double refillFactor = 1 + sharedLevel_ / (limit_.rate * kDebtRepaymentSeconds);
  return SharedRefillRate() * localShare_ *
         std::clamp(refillFactor, kMinRefillFactor, kMaxRefillFactor);
}

double TeamQuota::EstimateUnreported(TimePoint aNow) const
{
  const double seconds = std::chrono::duration<double>(digestInterval_).count();
  return (requestRate_.PerSecond(aNow) + peerAdmitRate_.PerSecond(aNow)) * seconds;
}

bool TeamQuota::TryAdmit(TimePoint aNow, double aAmount)
{
  Refill(aNow);
  requestRate_.Add(aNow, aAmount);
  // The level is uncertain by what others may have been asked for since they were heard.
  const double unreported = EstimateUnreported(aNow);
  const bool isBucketOpen =
    sharedLevel_ > unreported || (localLevel_ > 0 && sharedLevel_ > -unreported);
  if (limit_.rate > 0 && !(IsIsolated() ? equalShareLevel_ > 0 : isBucketOpen)) {
    return false;
  }
  sharedLevel_ -= aAmount;
  localLevel_ = std::max(localLevel_ - aAmount, -aAmount);
  const double maxDebt = limit_.rate * EqualShare() * kMaxDebtSeconds;
  equalShareLevel_ = std::max(equalShareLevel_ - aAmount, -maxDebt - aAmount);
  admitted_ += aAmount;
  localAdmitRate_.Add(aNow, aAmount);
  return true;
}

void TeamQuota::Refund(TimePoint aNow, double aAmount)
{
  Refill(aNow);
  sharedLevel_ = std::min(sharedLevel_ + aAmount, limit_.burst);
  localLevel_ = std::min(localLevel_ + aAmount, limit_.burst);
  equalShareLevel_ =
    std::min(equalShareLevel_ + aAmount, kLocalBurstFactor * limit_.burst * EqualShare());
  admitted_ -= aAmount;
  localAdmitRate_.Add(aNow, -aAmount);
}

void TeamQuota::ApplyPeerTotal(TimePoint aNow, std::string_view aPeer, double aAdmitted,
                               bool aPeerStartedFirst)
{
  Refill(aNow);
  const double first = aPeerStartedFirst ? aAdmitted : 0;
  auto& lastTotal = peerTotals_.try_emplace(std::string(aPeer), first).first->second;
  // A total may fall a little when a call is given back. A leap beyond what the limit
  // allows in a window is an error of the sender and must not stop the team for longer.
  const double maxChange = limit_.rate * kMaxDebtSeconds + limit_.burst;
  const double admitted =
    std::clamp(aAdmitted - lastTotal.value_or(aAdmitted), -maxChange, maxChange);
  sharedLevel_ = std::min(sharedLevel_ - admitted, limit_.burst);
  peerAdmitRate_.Add(aNow, admitted);
  lastTotal = aAdmitted;
}

Duration TeamQuota::RefillTime(TimePoint aNow)
{
  Refill(aNow);
  if (limit_.rate <= 0 || liveShare_ <= 0) {
    return Duration::zero();
  }
  const auto toDuration = [](double aSeconds) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(aSeconds, 0.0)));
  };
  if (IsIsolated()) {
    return toDuration(-equalShareLevel_ / (limit_.rate * EqualShare()));
  }
  const double unreported = EstimateUnreported(aNow);
  const double sharedRate = SharedRefillRate();
  const double untilLocal =
    std::max((-unreported - sharedLevel_) / sharedRate, -localLevel_ / LocalRefillRate());
  const double untilShared = (unreported - sharedLevel_) / sharedRate;
  return toDuration(std::min(untilShared, untilLocal));
}

void TeamQuota::Refill(TimePoint aNow)
{
  UpdateLocalShare(aNow);
  const double seconds = std::chrono::duration<double>(aNow - lastRefill_).count();
  lastRefill_ = std::max(lastRefill_, aNow);
  if (limit_.rate > 0 && seconds > 0) {
    sharedLevel_ =
      std::min(limit_.burst * liveShare_, sharedLevel_ + seconds * SharedRefillRate());
    const double localBurst = kLocalBurstFactor * limit_.burst * localShare_;
    const double refilledLevel = localLevel_ + seconds * LocalRefillRate();
    localLevel_ = std::min(localBurst, refilledLevel);
    RefillEqualShare(seconds);
  }
}

void TeamQuota::RefillEqualShare(double aSeconds)
{
  const double equalShare = EqualShare();
  equalShareLevel_ = std::min(kLocalBurstFactor * limit_.burst * equalShare,
                              equalShareLevel_ + aSeconds * limit_.rate * equalShare);
  const double targetLevel = sharedLevel_ * equalShare;
  if (!IsIsolated() && equalShareLevel_ < targetLevel) {
    const double interval =
      std::max(std::chrono::duration<double>(digestInterval_).count(), aSeconds);
    equalShareLevel_ +=
      (targetLevel - equalShareLevel_) * aSeconds / (kConvergenceIntervals * interval);
  }
}

} // namespace gooseberrypath::entry
