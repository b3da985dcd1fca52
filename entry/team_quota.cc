#include "entry/team_quota.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Shares of the tolerance that callers get when daemons hear of each other at once.
constexpr double kOvershootShare = 0.55;
constexpr double kSlackShare = 0.65;

// With this time between two digests, the whole tolerance is needed for what daemons
// admit meanwhile and before they notice that they are cut off from each other.
constexpr double kNoShareSeconds = 1;

// The part of a daemon's share that follows its recent calls. The rest is divided evenly,
// so that a daemon which had no calls can admit its first ones.
constexpr double kLearnedShare = 0.8;

// A daemon's own bucket holds this multiple of its share of the burst: calls come in
// clumps, and a single long prompt may need more than the share.
constexpr double kOwnBurstShare = 2;

// A debt of the shared bucket is paid back within about this time, well inside a window.
constexpr double kPaybackSeconds = 2;
constexpr double kLeastPace = 0.1;
constexpr double kMostPace = 1.5;

// Digests come more often than shares change.
constexpr Duration kShareInterval = std::chrono::milliseconds(200);

// A daemon that hears fewer than this share of the others does not know how full the
// shared bucket is, and admits from its own one only.
constexpr double kLeastHeardShare = 0.9;

// A digest on its way and the wait of a busy daemon.
constexpr Duration kLeastLateness = std::chrono::milliseconds(250);

} // namespace

QuotaLimit EnforcedLimit(QuotaLimit aLimit, const QuotaTolerance& aTolerance,
                         Duration aNewsInterval)
{
  if (aLimit.rate <= 0) {
    return aLimit;
  }
  const double seconds = std::chrono::duration<double>(aTolerance.window).count();
  const double news = std::chrono::duration<double>(aNewsInterval).count();
  const double given = std::clamp(1 - news / kNoShareSeconds, 0.0, 1.0);
  const double slackRate = given * kSlackShare * aTolerance.slack / seconds;
  const double overshoot = given * kOvershootShare * aTolerance.overshoot;
  return { .rate = aLimit.rate * (1 + overshoot) + slackRate, .burst = aLimit.burst };
}

Duration FreshTime(Duration aNewsInterval)
{
  return aNewsInterval + std::max(aNewsInterval / 2, kLeastLateness);
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
  ownLevel_ = isFirst ? limit_.burst * EvenShare() : std::min(ownLevel_, limit_.burst);
}

void TeamQuota::SetHeardShare(TimePoint aNow, double aShare)
{
  Fill(aNow);
  heardShare_ = std::clamp(aShare, 0.0, 1.0);
}

void TeamQuota::UpdateShare(TimePoint aNow)
{
  const double even = EvenShare();
  if (heardShare_ < kLeastHeardShare) {
    // What the others are asked for is not known, so each daemon keeps to an even part.
    ownShare_ = even;
    hasShare_ = false;
    return;
  }
  if (hasShare_ && aNow - shareUpdated_ < kShareInterval) {
    return;
  }
  hasShare_ = true;
  shareUpdated_ = aNow;
  const double own = ownAdmitted_.PerSecond(aNow);
  const double all = own + peersAdmitted_.PerSecond(aNow);
  const double learned = all > 0 ? std::clamp(own / all, 0.0, 1.0) : even;
  ownShare_ = kLearnedShare * learned + (1 - kLearnedShare) * even;
}

size_t TeamQuota::HeardPeers() const
{
  return static_cast<size_t>(std::ranges::count_if(
    peers_, [](const auto& aPeer) { return aPeer.second.has_value(); }));
}

double TeamQuota::EvenShare() const
{
  return 1.0 / static_cast<double>(std::max(HeardPeers() + 1, daemons_));
}

double TeamQuota::OwnRate() const
{
  const double pace = 1 + level_ / (limit_.rate * kPaybackSeconds);
  // A daemon that does not hear the others knows of no surplus that it might use.
  const double mostPace = heardShare_ < kLeastHeardShare ? 1 : kMostPace;
  return limit_.rate * ownShare_ * std::clamp(pace, kLeastPace, mostPace);
}

double TeamQuota::AdmittedMeanwhile(TimePoint aNow) const
{
  const double seconds = std::chrono::duration<double>(newsInterval_).count();
  return (asked_.PerSecond(aNow) + peersAdmitted_.PerSecond(aNow)) * seconds;
}

bool TeamQuota::TryAdmit(TimePoint aNow, double aAmount)
{
  Fill(aNow);
  asked_.Add(aNow, aAmount);
  // The level is uncertain by what others may have been asked for since they were heard.
  const double uncertain = AdmittedMeanwhile(aNow);
  const bool isOwnAllowed = ownLevel_ > 0 && level_ > -uncertain;
  const bool isSharedAllowed = heardShare_ >= kLeastHeardShare && level_ > uncertain;
  if (limit_.rate > 0 && !isSharedAllowed && !isOwnAllowed) {
    return false;
  }
  level_ -= aAmount;
  ownLevel_ = std::max(ownLevel_ - aAmount, -aAmount);
  admitted_ += aAmount;
  ownAdmitted_.Add(aNow, aAmount);
  return true;
}

void TeamQuota::Return(TimePoint aNow, double aAmount)
{
  Fill(aNow);
  level_ = std::min(level_ + aAmount, limit_.burst);
  ownLevel_ = std::min(ownLevel_ + aAmount, limit_.burst);
  admitted_ -= aAmount;
  ownAdmitted_.Add(aNow, -aAmount);
}

void TeamQuota::CountPeer(TimePoint aNow, std::string_view aPeer, double aAdmitted,
                          bool aStartedBefore)
{
  Fill(aNow);
  const double first = aStartedBefore ? aAdmitted : 0;
  auto& known = peers_.try_emplace(std::string(aPeer), first).first->second;
  // A total may fall a little when a call is given back.
  const double admitted = aAdmitted - known.value_or(aAdmitted);
  level_ = std::min(level_ - admitted, limit_.burst);
  peersAdmitted_.Add(aNow, admitted);
  known = aAdmitted;
}

Duration TeamQuota::RefillTime(TimePoint aNow)
{
  Fill(aNow);
  if (limit_.rate <= 0 || heardShare_ <= 0) {
    return Duration::zero();
  }
  const double uncertain = AdmittedMeanwhile(aNow);
  const double sharedRate = limit_.rate * heardShare_;
  const double untilOwn =
    std::max({ 0.0, (-uncertain - level_) / sharedRate, -ownLevel_ / OwnRate() });
  const double untilShared = heardShare_ >= kLeastHeardShare
                               ? std::max(0.0, uncertain - level_) / sharedRate
                               : untilOwn;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(untilShared, untilOwn)));
}

void TeamQuota::Fill(TimePoint aNow)
{
  UpdateShare(aNow);
  const double seconds = std::chrono::duration<double>(aNow - filled_).count();
  filled_ = std::max(filled_, aNow);
  if (limit_.rate > 0 && seconds > 0) {
    level_ = std::min(limit_.burst, level_ + seconds * limit_.rate * heardShare_);
    const double ownBurst = kOwnBurstShare * limit_.burst * ownShare_;
    const double filled = ownLevel_ + seconds * OwnRate();
    ownLevel_ = std::min(ownBurst, filled);
  }
}

} // namespace gooseberrypath::entry
