// The load of a team that sends many times its limit through many daemons which hear of
// each other late, and of a team below its limit.

#include "entry/team_quota.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };
// The largest team of a deployment with 74 daemons, in tokens.
constexpr QuotaLimit kLimit{ .rate = 700'000, .burst = 700'000 };
constexpr QuotaTolerance kTolerance{ .window = 8s, .overshoot = 0.1, .slack = 140'000 };
constexpr size_t kDaemons = 74;
// 74 daemons with digests of 600 bytes within 60 KB/s each.
constexpr Duration kDigestInterval = 700ms;
constexpr Duration kStep = 5ms;

struct Load
{
  double rate = 0;                    // tokens a second of all callers
  size_t daemonsWithCalls = kDaemons; // that the callers of the team use
  Duration restartAt{};               // of all daemons at once; zero: never
  Duration cutAt{};                   // a third hears nobody from then on; zero: never
};

struct Outcome
{
  double worstWindow = 0; // most tokens admitted in a window of the tolerance
  double refusedShare = 0;
};

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// The daemons' quotas for one team.
class QuotaLoad
{
public:
  explicit QuotaLoad(uint64_t aSeed)
    : random_(aSeed)
    , quotas_(kDaemons, TeamQuota(kStart))
  {
    for (TeamQuota& quota : quotas_) {
      quota.SetLimit(kStart, EnforcedLimit(kLimit, kTolerance, kDigestInterval));
      quota.SetNewsInterval(kDigestInterval);
      quota.SetDaemons(kDaemons);
      nextDigest_.push_back(kStart + std::chrono::microseconds(random_() % 700'000));
    }
  }

  Outcome Run(Duration aTime, const Load& aLoad)
  {
    for (; now_ < kStart + aTime; now_ += kStep) {
      for (size_t i = 0; i < kDaemons; ++i) {
        if (nextDigest_[i] <= now_) {
          nextDigest_[i] = now_ + kDigestInterval;
          Tell(i);
        }
      }
      cutAt_ = kStart + aLoad.cutAt;
      isCut_ = aLoad.cutAt != Duration::zero() && now_ >= cutAt_;
      CountHeard();
      if (isCut_ && now_ == cutAt_ + 3 * kDigestInterval) {
        NoteCut();
      }
      Arrive(aLoad);
      ForgetOldCalls();
      if (aLoad.restartAt != Duration::zero() && now_ == kStart + aLoad.restartAt) {
        Restart();
      }
    }
    outcome_.refusedShare = refused_ / asked_;
    return outcome_;
  }

private:
  void Arrive(const Load& aLoad)
  {
    // Quick questions and long prompts.
    constexpr double kSmall = 2400;
    constexpr double kLarge = 12'000;
    constexpr double kMean = (4 * kSmall + kLarge) / 5;
    std::poisson_distribution<int> calls(aLoad.rate * Seconds(kStep) / kMean);
    for (int left = calls(random_); left > 0; --left) {
      const double tokens = random_() % 5 == 0 ? kLarge : kSmall;
      asked_ += tokens;
      if (!quotas_[random_() % aLoad.daemonsWithCalls].TryAdmit(now_, tokens)) {
        refused_ += tokens;
        continue;
      }
      admitted_.emplace_back(now_, tokens);
      inWindow_ += tokens;
    }
    outcome_.worstWindow = std::max(outcome_.worstWindow, inWindow_);
  }

  void ForgetOldCalls()
  {
    while (!admitted_.empty() && admitted_.front().first + kTolerance.window <= now_) {
      inWindow_ -= admitted_.front().second;
      admitted_.pop_front();
    }
  }

  /// All daemons lose what they know and learn each other's addresses from the store.
  void Restart()
  {
    incarnation_ += 1;
    lastTold_.assign(kDaemons, TimePoint{});
    for (size_t i = 0; i < kDaemons; ++i) {
      quotas_[i] = TeamQuota(now_);
      quotas_[i].SetDaemons(kDaemons);
      quotas_[i].SetNewsInterval(kDigestInterval);
      quotas_[i].SetLimit(now_, EnforcedLimit(kLimit, kTolerance, kDigestInterval));
      nextDigest_[i] = now_ + std::chrono::microseconds(random_() % 700'000);
    }
  }

  /// Tells whether the daemon is one of those that hear nobody after the cut.
  bool IsCutOff(size_t aDaemon) const { return isCut_ && aDaemon % 3 == 0; }

  std::string NameOf(size_t aDaemon) const
  {
    return "d" + std::to_string(aDaemon) + "/" + std::to_string(incarnation_);
  }

  void Tell(size_t aFrom)
  {
    lastTold_[aFrom] = now_;
    for (size_t to = 0; to < kDaemons; ++to) {
      if (to != aFrom && !IsCutOff(to) && !IsCutOff(aFrom)) {
        quotas_[to].CountPeer(now_, NameOf(aFrom), quotas_[aFrom].Admitted(), false);
      }
    }
  }

  /// Each daemon notices a little later whom it does not hear any more.
  void NoteCut()
  {
    for (size_t i = 0; i < kDaemons; ++i) {
      for (size_t other = 0; other < kDaemons; ++other) {
        if (i != other && (IsCutOff(i) || IsCutOff(other))) {
          quotas_[i].ForgetPeer(NameOf(other));
        }
      }
    }
  }

  /// Tells each daemon how many it has heard lately.
  void CountHeard()
  {
    const bool isCutNoticed = isCut_ && now_ >= cutAt_ + FreshTime(kDigestInterval);
    size_t fresh = 0;
    for (size_t i = 0; i < kDaemons; ++i) {
      const bool isFresh = lastTold_[i] + FreshTime(kDigestInterval) >= now_;
      fresh += isFresh && !(isCutNoticed && IsCutOff(i)) ? 1 : 0;
    }
    for (size_t i = 0; i < kDaemons; ++i) {
      const size_t heard = isCutNoticed && IsCutOff(i) ? 1 : std::max<size_t>(fresh, 1);
      quotas_[i].SetHeardShare(now_, static_cast<double>(heard) / kDaemons);
    }
  }

  std::mt19937_64 random_;
  std::vector<TeamQuota> quotas_;
  int incarnation_ = 1; // of all daemons
  bool isCut_ = false;
  TimePoint cutAt_{};
  std::vector<TimePoint> lastTold_ = std::vector<TimePoint>(kDaemons, kStart);
  std::vector<TimePoint> nextDigest_;
  TimePoint now_ = kStart;
  std::deque<std::pair<TimePoint, double>> admitted_;
  double inWindow_ = 0;
  double asked_ = 0;
  double refused_ = 0;
  Outcome outcome_;
};

double Allowed()
{
  return (kLimit.rate * Seconds(kTolerance.window) + kLimit.burst) *
           (1 + kTolerance.overshoot) +
         kTolerance.slack;
}

} // namespace

TEST_CASE("Entry: a hot team stays within its tolerance at 74 daemons", "[entry][quota]")
{
  // Guards against daemons that all admit while the same bucket looks full to all.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const size_t used : { kDaemons, kDaemons / 3 }) {
      INFO("seed " << seed << ", " << used << " daemons with calls");
      const Outcome outcome =
        QuotaLoad(seed).Run(30s, { .rate = 5 * kLimit.rate, .daemonsWithCalls = used });
      CHECK(outcome.worstWindow <= Allowed());
      const double admittedShare = 1 - outcome.refusedShare;
      CHECK(admittedShare * 5 >= 0.95); // of the limit
    }
  }
}

TEST_CASE("Entry: a hot team gets one burst when all daemons restart", "[entry][quota]")
{
  // Guards against daemons that each admit a whole burst until they hear of each other.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    const Load hot{ .rate = 5 * kLimit.rate, .restartAt = 10s };
    CHECK(QuotaLoad(seed).Run(20s, hot).worstWindow <= Allowed());
    // A team below its limit hardly notices.
    const Load usual{ .rate = 0.55 * kLimit.rate, .restartAt = 10s };
    CHECK(QuotaLoad(seed).Run(20s, usual).refusedShare < 0.005);
  }
}

TEST_CASE("Entry: a hot team keeps its limit when daemons are cut off", "[entry][quota]")
{
  // Guards against single daemons that hear nobody, whose buckets look full to each of
  // them because nobody else seems to admit anything.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    const Load hot{ .rate = 5 * kLimit.rate, .cutAt = 10s };
    CHECK(QuotaLoad(seed).Run(25s, hot).worstWindow <= Allowed());
    const Load usual{ .rate = 0.55 * kLimit.rate, .cutAt = 10s };
    CHECK(QuotaLoad(seed).Run(25s, usual).refusedShare < 0.02);
  }
}

TEST_CASE("Entry: a team below its limit is not refused at 74 daemons", "[entry][quota]")
{
  // Guards against shares of a limit that refuse a team whose calls come unevenly.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const size_t used : { kDaemons, kDaemons / 3, size_t{ 2 } }) {
      INFO("seed " << seed << ", " << used << " daemons with calls");
      const Outcome outcome =
        QuotaLoad(seed).Run(30s, { .rate = 0.8 * kLimit.rate, .daemonsWithCalls = used });
      CHECK(outcome.refusedShare < 0.002);
    }
  }
}

} // namespace gooseberrypath::entry
