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
constexpr Duration kUsualInterval = 700ms;
constexpr Duration kStep = 5ms;
constexpr Duration kCheckInterval = 200ms; // of the daemons that are heard
constexpr double kHotFactor = 6;

struct Load
{
  double rate = 0;                    // tokens a second of all callers
  size_t daemonsWithCalls = kDaemons; // that the callers of the team use
  Duration restartAt{};               // of all daemons at once; zero: never
  Duration cutAt{};                   // a third hears nobody from then on; zero: never
  Duration healAt = std::chrono::hours(1);
  bool cutOnesMeet = false;           // they hear each other
  Duration hotAt{};                   // before, a sixth of the rate is asked for
  Duration interval = kUsualInterval; // between two digests of a daemon
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
  }

  Outcome Run(Duration aTime, const Load& aLoad)
  {
    interval_ = aLoad.interval;
    nextDigest_.resize(kDaemons);
    StartAll();
    for (; now_ < kStart + aTime; now_ += kStep) {
      for (size_t i = 0; i < kDaemons; ++i) {
        if (nextDigest_[i] <= now_) {
          nextDigest_[i] = now_ + interval_;
          Tell(i);
        }
      }
      const Duration age = now_ - kStart;
      isCut_ =
        aLoad.cutAt != Duration::zero() && age >= aLoad.cutAt && age < aLoad.healAt;
      cutOnesMeet_ = aLoad.cutOnesMeet;
      if (age % kCheckInterval == Duration::zero()) {
        CountHeard();
      }
      if (isCut_ && age == aLoad.cutAt + 3 * interval_) {
        NoteCut();
      }
      PostCall(aLoad);
      ForgetOldCalls();
      if (aLoad.restartAt != Duration::zero() && now_ == kStart + aLoad.restartAt) {
        Restart();
      }
    }
    outcome_.refusedShare = refused_ / asked_;
    return outcome_;
  }

private:
  void PostCall(const Load& aLoad)
  {
    // Quick questions and long prompts.
    constexpr double kSmall = 2400;
    constexpr double kLarge = 12'000;
    constexpr double kMean = (4 * kSmall + kLarge) / 5;
    const bool isHot = now_ >= kStart + aLoad.hotAt;
    const double rate = aLoad.rate / (isHot ? 1 : kHotFactor);
    std::poisson_distribution<int> calls(rate * Seconds(kStep) / kMean);
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
    StartAll();
  }

  void StartAll()
  {
    // At the start of a run the daemons have known each other for long.
    const TimePoint told = incarnation_ == 1 ? kStart : TimePoint{};
    heardAt_.assign(kDaemons, std::vector<TimePoint>(kDaemons, told));
    for (size_t i = 0; i < kDaemons; ++i) {
      quotas_[i] = TeamQuota(now_);
      quotas_[i].SetDaemonCount(kDaemons);
      quotas_[i].SetDigestInterval(interval_);
      quotas_[i].SetLimit(now_, EnforcedLimit(kLimit, kTolerance, interval_));
      nextDigest_[i] = now_ + std::chrono::microseconds(random_() % interval_.count());
    }
  }

  /// Tells whether digests do not pass between the two daemons.
  bool IsCut(size_t aLeft, size_t aRight) const
  {
    const bool isLeftCut = aLeft % 3 == 0;
    const bool isRightCut = aRight % 3 == 0;
    return isCut_ && (isLeftCut || isRightCut) &&
           !(cutOnesMeet_ && isLeftCut && isRightCut);
  }

  std::string NameOf(size_t aDaemon) const
  {
    return "d" + std::to_string(aDaemon) + "/" + std::to_string(incarnation_);
  }

  void Tell(size_t aFrom)
  {
    for (size_t to = 0; to < kDaemons; ++to) {
      if (to != aFrom && !IsCut(to, aFrom)) {
        heardAt_[to][aFrom] = now_;
        quotas_[to].ApplyPeerTotal(now_, NameOf(aFrom), quotas_[aFrom].TotalAdmitted(),
                                   false);
      }
    }
  }

  /// Each daemon notices a little later whom it does not hear any more.
  void NoteCut()
  {
    for (size_t i = 0; i < kDaemons; ++i) {
      for (size_t other = 0; other < kDaemons; ++other) {
        if (i != other && IsCut(i, other)) {
          quotas_[i].ForgetPeer(NameOf(other));
        }
      }
    }
  }

  /// Tells each daemon how many it has heard lately.
  void CountHeard()
  {
    for (size_t i = 0; i < kDaemons; ++i) {
      std::vector<Duration> ages;
      for (size_t other = 0; other < kDaemons; ++other) {
        if (i != other) {
          ages.push_back(now_ - heardAt_[i][other]);
        }
      }
      const double heard = 1 + EstimateLivePeers(ages, interval_);
      quotas_[i].SetLiveShare(now_, heard / kDaemons);
    }
  }

  std::mt19937_64 random_;
  std::vector<TeamQuota> quotas_;
  int incarnation_ = 1; // of all daemons
  Duration interval_{};
  bool isCut_ = false;
  bool cutOnesMeet_ = false;
  std::vector<std::vector<TimePoint>> heardAt_; // by receiver and sender
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

TEST_CASE("Entry: a team that turns hot just before a cut keeps its limit",
          "[entry][quota]")
{
  // Pattern: a team sends six times its usual, and half a second later a third of the
  // daemons is cut off for 12 s. By then no daemon has heard how much the others
  // admitted, and those that are cut off never do: each must pay back what it admitted
  // beyond its even part.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const Duration interval : { kUsualInterval, Duration(1s), Duration(1250ms) }) {
      for (const bool meet : { false, true }) {
        INFO("seed " << seed << ", digests every " << Seconds(interval)
                     << " s, the cut ones meet: " << meet);
        const Outcome outcome = QuotaLoad(seed).Run(35s, { .rate = 5 * kLimit.rate,
                                                           .cutAt = 10500ms,
                                                           .healAt = 22500ms,
                                                           .cutOnesMeet = meet,
                                                           .hotAt = 10s,
                                                           .interval = interval });
        CHECK(outcome.worstWindow / Allowed() <= 1);
      }
    }
  }
}

TEST_CASE("Entry: a cut hardly touches a team below its limit", "[entry][quota]")
{
  // Pattern: a team at 0.55 of its limit whose callers use half of the daemons, while a
  // third is cut off for 12 s. Guards against daemons that all keep to an even part
  // although most of them hear each other.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const bool meet : { false, true }) {
      INFO("seed " << seed << ", the cut ones meet: " << meet);
      const Outcome outcome = QuotaLoad(seed).Run(35s, { .rate = 0.55 * kLimit.rate,
                                                         .daemonsWithCalls = kDaemons / 2,
                                                         .cutAt = 10500ms,
                                                         .healAt = 22500ms,
                                                         .cutOnesMeet = meet,
                                                         .interval = 1s });
      CHECK(outcome.refusedShare < 0.05);
    }
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
