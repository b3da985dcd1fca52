#include "entry/team_quota.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Shares of the tolerance that are added to the limit if the digest interval is zero.
constexpr double kCallerOvershootShare = 0.55;
constexpr double kCallerSlackShare = 0.65;

// From this digest interval on, the whole tolerance is needed for what daemons admit
// between two digests and before they detect a partition.
constexpr double kNoCallerShareSeconds = 1;

// Weight of the recent calls in a daemon's share. The rest is divided equally, so that a
// daemon without recent calls can admit its first ones.
constexpr double kObservedShareWeight = 0.8;

// The local and equal-share buckets hold this multiple of the daemon's share of the
// burst, because calls arrive unevenly and a single long prompt may need more than the
// share.
constexpr double kLocalBurstFactor = 2;

// A debt of the shared bucket is repaid within about this time, which is well below the
// tolerance window. The factors bound the refill rate of the local bucket.
constexpr double kDebtRepaymentSeconds = 2;
constexpr double kMinRefillFactor = 0.1;
constexpr double kMaxRefillFactor = 1.5;

// Minimum time between two updates of the local share. Digests arrive more often than
// shares change.
constexpr Duration kShareUpdateInterval = std::chrono::milliseconds(200);

// Below this share of live daemons, a daemon knows too little about what the others
// admit, and keeps to its equal share.
constexpr double kMinLiveShare = 0.5;

// Minimum allowance for the transit of a digest and the scheduling delay of a busy
// daemon.
constexpr Duration kMinDigestDelay = std::chrono::milliseconds(250);

// Daemons send their digests at different times, so half of them are due in half an
// interval. If clearly fewer arrived, and enough were due to rule out chance, the missing
// peers are no longer live.
constexpr double kMinDueDigests = 8;
constexpr double kMinArrivedShare = 0.6;

// Below kNearlyAllLiveShare of live daemons, the shared bucket of a team near its limit
// fills more slowly than the live share allows, because the unreachable daemons exceeded
// their part before they detected the partition. A team whose bucket is filled beyond
// kNearLimitLevelShare is below its limit, so no daemon exceeded its part.
constexpr double kNearlyAllLiveShare = 0.95;
constexpr double kPartitionRefillFactor = 0.75;
constexpr double kNearLimitLevelShare = 0.5;

// An isolated daemon repays what it admitted beyond its equal share while peers were
// live, at most what its equal share refills in this time: older calls lie outside the
// tolerance window.
constexpr double kMaxDebtSeconds = 8;

// While peers are live, an equal-share bucket that is below its part of the shared bucket
// converges to that part within about this many digest intervals. By then the shared
// bucket includes what all daemons admitted.
constexpr double kConvergenceIntervals = 2;

// Calls that are less urgent than others of their team may take this share of the limit
// without leaving a reserve, so that they are never shut out.
constexpr double kOpenShare = 0.1;

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
    std::clamp(1 - digestSeconds / kNoCallerShareSeconds, 0.0, 1.0);
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
    // The rest is reserved for the daemons that are no longer live.
    sharedLevel_ *= share / liveShare_;
  }
  liveShare_ = share;
  if (wasIsolated && !IsIsolated()) {
    // What the peers admitted meanwhile is unknown. Assume that it equals what this
    // daemon admitted.
    sharedLevel_ = std::min(sharedLevel_, equalShareLevel_ / EqualShare());
  }
}

void TeamQuota::UpdateLocalShare(TimePoint aNow)
{
  const double equalShare = EqualShare();
  if (IsIsolated()) {
    // The load of the other daemons is unknown, so each daemon uses an equal share.
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

double TeamQuota::EqualShare() const
{
  return 1.0 / static_cast<double>(std::max(countedPeers_ + 1, daemonCount_));
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

TeamQuota::NeededLevels TeamQuota::LevelsFor(double aAmount, double aReserve) const
{
  if (aReserve <= 0 || openLevel_ > 0) {
    return {};
  }
  // The call's own amount must not use up the reserve. A call that needs more than a
  // bucket holds waits until the bucket is nearly full.
  constexpr double kMaxLevel = 1 - kOpenShare;
  const double localBurst = kLocalBurstFactor * limit_.burst * localShare_;
  return { .shared =
             std::min(aReserve / localShare_, kMaxLevel * limit_.burst * liveShare_),
           .local = std::min(aReserve + aAmount, kMaxLevel * localBurst) };
}

bool TeamQuota::TryAdmit(TimePoint aNow, double aAmount, double aReserve)
{
  Refill(aNow);
  requestRate_.Add(aNow, aAmount);
  // The shared level lacks what peers may have admitted since their last digests.
  const double unreported = EstimateUnreported(aNow);
  const NeededLevels needed = LevelsFor(aAmount, aReserve);
  const double sharedLevel = sharedLevel_ - needed.shared;
  const bool isBucketOpen =
    sharedLevel > unreported || (localLevel_ > needed.local && sharedLevel > -unreported);
  const bool isOpen = IsIsolated() ? equalShareLevel_ > needed.local : isBucketOpen;
  if (limit_.rate > 0 && !isOpen) {
    return false;
  }
  if (aReserve > 0) {
    openLevel_ = std::max(openLevel_ - aAmount, -aAmount);
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
  const auto [known, isNew] = peerTotals_.try_emplace(std::string(aPeer), first);
  auto& lastTotal = known->second;
  countedPeers_ += isNew || !lastTotal ? 1 : 0;
  // A total decreases a little when an amount is refunded. A jump beyond what the limit
  // allows in a window is an error of the sender and must not block the team for longer
  // than a window.
  const double maxChange = limit_.rate * kMaxDebtSeconds + limit_.burst;
  const double admitted =
    std::clamp(aAdmitted - lastTotal.value_or(aAdmitted), -maxChange, maxChange);
  sharedLevel_ = std::min(sharedLevel_ - admitted, limit_.burst);
  peerAdmitRate_.Add(aNow, admitted);
  peersAdmitted_ += admitted;
  lastTotal = aAdmitted;
}

void TeamQuota::ForgetPeer(std::string_view aPeer)
{
  auto& lastTotal = peerTotals_[std::string(aPeer)];
  countedPeers_ -= lastTotal ? 1 : 0;
  lastTotal.reset();
}

Duration TeamQuota::RefillTime(TimePoint aNow, double aAmount, double aReserve)
{
  Refill(aNow);
  if (limit_.rate <= 0 || liveShare_ <= 0) {
    return Duration::zero();
  }
  const auto toDuration = [](double aSeconds) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(aSeconds, 0.0)));
  };
  const NeededLevels needed = LevelsFor(aAmount, aReserve);
  if (IsIsolated()) {
    return toDuration((needed.local - equalShareLevel_) / (limit_.rate * EqualShare()));
  }
  const double unreported = EstimateUnreported(aNow);
  const double sharedRate = SharedRefillRate();
  const double missing = needed.shared - sharedLevel_;
  const double untilLocal = std::max((missing - unreported) / sharedRate,
                                     (needed.local - localLevel_) / LocalRefillRate());
  const double untilShared = (missing + unreported) / sharedRate;
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
    const double openRate = kOpenShare * limit_.rate * localShare_;
    openLevel_ = std::min(kOpenShare * localBurst, openLevel_ + seconds * openRate);
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
