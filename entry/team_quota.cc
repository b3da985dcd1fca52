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

// A daemon that hears fewer than this share of the others knows too little of what they
// admit, and keeps to its even part.
constexpr double kLeastHeardShare = 0.5;

// A digest on its way and the wait of a busy daemon.
constexpr Duration kLeastLateness = std::chrono::milliseconds(250);

// Daemons send their digests at different moments, so in half of an interval half of them
// are due. If clearly fewer came, and that is no chance because many were due, the others
// are not heard any more.
constexpr double kLeastDue = 8;
constexpr double kLeastCame = 0.6;

// A daemon that hears less than this share of the others fills the bucket of a team that
// is near its limit slower than its part: those that it does not hear overspent theirs
// before they noticed. A team whose bucket is fuller than the given share is below its
// limit, and nobody overspends for it.
constexpr double kMostlyHeard = 0.95;
constexpr double kUnheardCaution = 0.75;
constexpr double kNearLimit = 0.5;

// What a daemon admitted beyond its even part while it heard the others is paid back when
// it does not hear them any more, but for what lies further back than a window of the
// tolerance.
constexpr double kMaxDebtSeconds = 8;

// While the others are heard, an even part that is below the same part of the shared
// bucket approaches it in about this many times the time between two digests: by then the
// shared bucket counts what all daemons admitted.
constexpr double kForgiveIntervals = 2;

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

double FreshPeers(std::span<const Duration> aAges, Duration aInterval)
{
  const auto younger = [&](Duration aLimit) {
    return static_cast<double>(
      std::ranges::count_if(aAges, [&](Duration aAge) { return aAge <= aLimit; }));
  };
  const double fresh = younger(FreshTime(aInterval));
  const Duration half = aInterval / 2;
  const double due = static_cast<double>(aAges.size()) / 2;
  const double came = younger(half);
  const bool isTooFew = due >= kLeastDue && came < kLeastCame * due;
  return isTooFew && half >= kLeastLateness ? std::min(fresh, 2 * came) : fresh;
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
  evenLevel_ = isFirst ? limit_.burst * EvenShare() : std::min(evenLevel_, limit_.burst);
}

void TeamQuota::SetHeardShare(TimePoint aNow, double aShare)
{
  Fill(aNow);
  const bool wasAlone = IsAlone();
  const double share = std::clamp(aShare, 0.0, 1.0);
  if (share < kMostlyHeard && share < heardShare_ && level_ > 0) {
    level_ *= share / heardShare_; // the rest is for those that are not heard any more
  }
  heardShare_ = share;
  if (wasAlone && !IsAlone()) {
    // What the others admitted meanwhile is not known; they were asked like this one.
    level_ = std::min(level_, evenLevel_ / EvenShare());
  }
}

void TeamQuota::UpdateShare(TimePoint aNow)
{
  const double even = EvenShare();
  if (IsAlone()) {
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

bool TeamQuota::IsAlone() const
{
  return heardShare_ < kLeastHeardShare;
}

double TeamQuota::SharedRate() const
{
  const bool isNearLimit = level_ < kNearLimit * limit_.burst * heardShare_;
  const bool isCautious = heardShare_ < kMostlyHeard && isNearLimit;
  return limit_.rate * heardShare_ * (isCautious ? kUnheardCaution : 1);
}

double TeamQuota::OwnRate() const
{
  const double pace = 1 + level_ / (limit_.rate * kPaybackSeconds);
  return SharedRate() * ownShare_ * std::clamp(pace, kLeastPace, kMostPace);
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
  const bool isHeardAllowed =
    level_ > uncertain || (ownLevel_ > 0 && level_ > -uncertain);
  if (limit_.rate > 0 && !(IsAlone() ? evenLevel_ > 0 : isHeardAllowed)) {
    return false;
  }
  level_ -= aAmount;
  ownLevel_ = std::max(ownLevel_ - aAmount, -aAmount);
  const double mostDebt = limit_.rate * EvenShare() * kMaxDebtSeconds;
  evenLevel_ = std::max(evenLevel_ - aAmount, -mostDebt - aAmount);
  admitted_ += aAmount;
  ownAdmitted_.Add(aNow, aAmount);
  return true;
}

void TeamQuota::Return(TimePoint aNow, double aAmount)
{
  Fill(aNow);
  level_ = std::min(level_ + aAmount, limit_.burst);
  ownLevel_ = std::min(ownLevel_ + aAmount, limit_.burst);
  evenLevel_ =
    std::min(evenLevel_ + aAmount, kOwnBurstShare * limit_.burst * EvenShare());
  admitted_ -= aAmount;
  ownAdmitted_.Add(aNow, -aAmount);
}

void TeamQuota::CountPeer(TimePoint aNow, std::string_view aPeer, double aAdmitted,
                          bool aStartedBefore)
{
  Fill(aNow);
  const double first = aStartedBefore ? aAdmitted : 0;
  auto& known = peers_.try_emplace(std::string(aPeer), first).first->second;
  // A total may fall a little when a call is given back. A leap beyond what the limit
  // allows in a window is an error of the sender and must not stop the team for longer.
  const double most = limit_.rate * kMaxDebtSeconds + limit_.burst;
  const double admitted = std::clamp(aAdmitted - known.value_or(aAdmitted), -most, most);
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
  const auto toDuration = [](double aSeconds) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(aSeconds, 0.0)));
  };
  if (IsAlone()) {
    return toDuration(-evenLevel_ / (limit_.rate * EvenShare()));
  }
  const double uncertain = AdmittedMeanwhile(aNow);
  const double sharedRate = SharedRate();
  const double untilOwn =
    std::max((-uncertain - level_) / sharedRate, -ownLevel_ / OwnRate());
  const double untilShared = (uncertain - level_) / sharedRate;
  return toDuration(std::min(untilShared, untilOwn));
}

void TeamQuota::Fill(TimePoint aNow)
{
  UpdateShare(aNow);
  const double seconds = std::chrono::duration<double>(aNow - filled_).count();
  filled_ = std::max(filled_, aNow);
  if (limit_.rate > 0 && seconds > 0) {
    level_ = std::min(limit_.burst * heardShare_, level_ + seconds * SharedRate());
    const double ownBurst = kOwnBurstShare * limit_.burst * ownShare_;
    const double filled = ownLevel_ + seconds * OwnRate();
    ownLevel_ = std::min(ownBurst, filled);
    FillEven(seconds);
  }
}

void TeamQuota::FillEven(double aSeconds)
{
  const double even = EvenShare();
  evenLevel_ = std::min(kOwnBurstShare * limit_.burst * even,
                        evenLevel_ + aSeconds * limit_.rate * even);
  const double sharedPart = level_ * even;
  if (!IsAlone() && evenLevel_ < sharedPart) {
    const double interval =
      std::max(std::chrono::duration<double>(newsInterval_).count(), aSeconds);
    evenLevel_ += (sharedPart - evenLevel_) * aSeconds / (kForgiveIntervals * interval);
  }
}

} // namespace gooseberrypath::entry
