// Simulates the quota of one team at 74 daemons that exchange digests with a delay, for a
// team that sends many times its limit and for a team below its limit.

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
// The interval at which 74 daemons with digests of 600 bytes stay within 60 KB/s each.
constexpr Duration kUsualInterval = 700ms;
constexpr Duration kStep = 5ms;
constexpr Duration kCheckInterval = 200ms; // of the share of live daemons
constexpr double kHotFactor = 6; // rate of a hot team relative to its rate before

struct Load
{
  double rate = 0;                    // tokens per second of all callers together
  size_t daemonsWithCalls = kDaemons; // daemons that receive calls of the team
  Duration restartAt{};               // restart of all daemons at once; zero: never
  Duration partitionAt{};             // partition of a third of the daemons; zero: never
  Duration healAt = std::chrono::hours(1); // end of the partition
  bool areIsolatedConnected = false;       // the isolated daemons reach each other
  Duration hotAt{};                        // before, callers send a sixth of the rate
  Duration interval = kUsualInterval;      // between two digests of a daemon
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

/// Simulates calls of one team and the digests between the daemons.
class QuotaSimulation
{
public:
  explicit QuotaSimulation(uint64_t aSeed)
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
          SendDigest(i);
        }
      }
      const Duration age = now_ - kStart;
      isPartitioned_ = aLoad.partitionAt != Duration::zero() &&
                       age >= aLoad.partitionAt && age < aLoad.healAt;
      areIsolatedConnected_ = aLoad.areIsolatedConnected;
      if (age % kCheckInterval == Duration::zero()) {
        UpdateLiveShare();
      }
      if (isPartitioned_ && age == aLoad.partitionAt + 3 * interval_) {
        DetectPartition();
      }
      PostCall(aLoad);
      DropCallsBeforeWindow();
      if (aLoad.restartAt != Duration::zero() && now_ == kStart + aLoad.restartAt) {
        Restart();
      }
    }
    outcome_.refusedShare = refused_ / requested_;
    return outcome_;
  }

private:
  void PostCall(const Load& aLoad)
  {
    // Short and long prompts.
    constexpr double kSmall = 2400;
    constexpr double kLarge = 12'000;
    constexpr double kMean = (4 * kSmall + kLarge) / 5;
    const bool isHot = now_ >= kStart + aLoad.hotAt;
    const double rate = aLoad.rate / (isHot ? 1 : kHotFactor);
    std::poisson_distribution<int> callCount(rate * Seconds(kStep) / kMean);
    for (int remaining = callCount(random_); remaining > 0; --remaining) {
      const double tokens = random_() % 5 == 0 ? kLarge : kSmall;
      requested_ += tokens;
      if (!quotas_[random_() % aLoad.daemonsWithCalls].TryAdmit(now_, tokens)) {
        refused_ += tokens;
        continue;
      }
      admitted_.emplace_back(now_, tokens);
      inWindow_ += tokens;
    }
    outcome_.worstWindow = std::max(outcome_.worstWindow, inWindow_);
  }

  void DropCallsBeforeWindow()
  {
    while (!admitted_.empty() && admitted_.front().first + kTolerance.window <= now_) {
      inWindow_ -= admitted_.front().second;
      admitted_.pop_front();
    }
  }

  /// Restarts all daemons: they lose their state, but read from the store how many they
  /// are.
  void Restart()
  {
    incarnation_ += 1;
    StartAll();
  }

  void StartAll()
  {
    // At the start of a run all daemons are live to each other.
    const TimePoint lastDigest = incarnation_ == 1 ? kStart : TimePoint{};
    lastDigestAt_.assign(kDaemons, std::vector<TimePoint>(kDaemons, lastDigest));
    for (size_t i = 0; i < kDaemons; ++i) {
      quotas_[i] = TeamQuota(now_);
      quotas_[i].SetDaemonCount(kDaemons);
      quotas_[i].SetDigestInterval(interval_);
      quotas_[i].SetLimit(now_, EnforcedLimit(kLimit, kTolerance, interval_));
      nextDigest_[i] = now_ + std::chrono::microseconds(random_() % interval_.count());
    }
  }

  /// Returns whether the partition blocks digests between the two daemons.
  bool IsBlocked(size_t aLeft, size_t aRight) const
  {
    const bool isLeftIsolated = aLeft % 3 == 0;
    const bool isRightIsolated = aRight % 3 == 0;
    return isPartitioned_ && (isLeftIsolated || isRightIsolated) &&
           !(areIsolatedConnected_ && isLeftIsolated && isRightIsolated);
  }

  std::string NameOf(size_t aDaemon) const
  {
    return "d" + std::to_string(aDaemon) + "/" + std::to_string(incarnation_);
  }

  void SendDigest(size_t aFrom)
  {
    for (size_t to = 0; to < kDaemons; ++to) {
      if (to != aFrom && !IsBlocked(to, aFrom)) {
        lastDigestAt_[to][aFrom] = now_;
        quotas_[to].ApplyPeerTotal(now_, NameOf(aFrom), quotas_[aFrom].TotalAdmitted(),
                                   false);
      }
    }
  }

  /// Lets each daemon detect which peers are no longer live.
  void DetectPartition()
  {
    for (size_t i = 0; i < kDaemons; ++i) {
      for (size_t other = 0; other < kDaemons; ++other) {
        if (i != other && IsBlocked(i, other)) {
          quotas_[i].ForgetPeer(NameOf(other));
        }
      }
    }
  }

  /// Updates the share of live daemons at each daemon.
  void UpdateLiveShare()
  {
    for (size_t i = 0; i < kDaemons; ++i) {
      std::vector<Duration> ages;
      for (size_t other = 0; other < kDaemons; ++other) {
        if (i != other) {
          ages.push_back(now_ - lastDigestAt_[i][other]);
        }
      }
      const double live = 1 + EstimateLivePeers(ages, interval_);
      quotas_[i].SetLiveShare(now_, live / kDaemons);
    }
  }

  std::mt19937_64 random_;
  std::vector<TeamQuota> quotas_;
  int incarnation_ = 1; // the same for all daemons
  Duration interval_{};
  bool isPartitioned_ = false;
  bool areIsolatedConnected_ = false;
  std::vector<std::vector<TimePoint>> lastDigestAt_; // by receiver and sender
  std::vector<TimePoint> nextDigest_;
  TimePoint now_ = kStart;
  std::deque<std::pair<TimePoint, double>> admitted_;
  double inWindow_ = 0;
  double requested_ = 0;
  double refused_ = 0;
  Outcome outcome_;
};

double MaxAllowedTokens()
{
  return (kLimit.rate * Seconds(kTolerance.window) + kLimit.burst) *
           (1 + kTolerance.overshoot) +
         kTolerance.slack;
}

} // namespace

TEST_CASE("Entry: a hot team stays within its tolerance at 74 daemons", "[entry][quota]")
{
  // Guards against daemons that all admit calls because the shared bucket looks full to
  // each of them.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const size_t used : { kDaemons, kDaemons / 3 }) {
      INFO("seed " << seed << ", " << used << " daemons with calls");
      const Outcome outcome = QuotaSimulation(seed).Run(
        30s, { .rate = 5 * kLimit.rate, .daemonsWithCalls = used });
      CHECK(outcome.worstWindow <= MaxAllowedTokens());
      const double admittedShare = 1 - outcome.refusedShare;
      CHECK(admittedShare * 5 >= 0.95); // of the limit
    }
  }
}

TEST_CASE("Entry: a hot team gets one burst when all daemons restart", "[entry][quota]")
{
  // Guards against daemons that each admit a full burst until they receive each other's
  // digests.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    const Load hot{ .rate = 5 * kLimit.rate, .restartAt = 10s };
    CHECK(QuotaSimulation(seed).Run(20s, hot).worstWindow <= MaxAllowedTokens());
    // Almost no calls of a team below its limit are refused.
    const Load usual{ .rate = 0.55 * kLimit.rate, .restartAt = 10s };
    CHECK(QuotaSimulation(seed).Run(20s, usual).refusedShare < 0.005);
  }
}

TEST_CASE("Entry: a hot team keeps its limit during a partition", "[entry][quota]")
{
  // Guards against isolated daemons that admit too much because, without digests, their
  // shared buckets do not include what the others admit.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    const Load hot{ .rate = 5 * kLimit.rate, .partitionAt = 10s };
    CHECK(QuotaSimulation(seed).Run(25s, hot).worstWindow <= MaxAllowedTokens());
    const Load usual{ .rate = 0.55 * kLimit.rate, .partitionAt = 10s };
    CHECK(QuotaSimulation(seed).Run(25s, usual).refusedShare < 0.02);
  }
}

TEST_CASE("Entry: a team that turns hot just before a partition keeps its limit",
          "[entry][quota]")
{
  // A team sends six times its usual rate, and half a second later a third of the daemons
  // is partitioned for 12 s. By then no daemon has received how much the others admitted,
  // and the isolated ones never do. Guards against isolated daemons that do not repay
  // what they admitted beyond their equal share.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const Duration interval : { kUsualInterval, Duration(1s), Duration(1250ms) }) {
      for (const bool areConnected : { false, true }) {
        INFO("seed " << seed << ", digests every " << Seconds(interval)
                     << " s, isolated daemons connected: " << areConnected);
        const Outcome outcome =
          QuotaSimulation(seed).Run(35s, { .rate = 5 * kLimit.rate,
                                           .partitionAt = 10500ms,
                                           .healAt = 22500ms,
                                           .areIsolatedConnected = areConnected,
                                           .hotAt = 10s,
                                           .interval = interval });
        CHECK(outcome.worstWindow / MaxAllowedTokens() <= 1);
      }
    }
  }
}

TEST_CASE("Entry: a partition hardly affects a team below its limit", "[entry][quota]")
{
  // A team sends 0.55 of its limit to half of the daemons while a third of them is
  // partitioned for 12 s. Guards against daemons that all keep to an equal share although
  // most of them are live to each other.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const bool areConnected : { false, true }) {
      INFO("seed " << seed << ", isolated daemons connected: " << areConnected);
      const Outcome outcome =
        QuotaSimulation(seed).Run(35s, { .rate = 0.55 * kLimit.rate,
                                         .daemonsWithCalls = kDaemons / 2,
                                         .partitionAt = 10500ms,
                                         .healAt = 22500ms,
                                         .areIsolatedConnected = areConnected,
                                         .interval = 1s });
      CHECK(outcome.refusedShare < 0.05);
    }
  }
}

TEST_CASE("Entry: a team below its limit is not refused at 74 daemons", "[entry][quota]")
{
  // Guards against per-daemon shares of the limit that refuse calls of a team whose load
  // is spread unevenly over the daemons.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const size_t used : { kDaemons, kDaemons / 3, size_t{ 2 } }) {
      INFO("seed " << seed << ", " << used << " daemons with calls");
      const Outcome outcome = QuotaSimulation(seed).Run(
        30s, { .rate = 0.8 * kLimit.rate, .daemonsWithCalls = used });
      CHECK(outcome.refusedShare < 0.002);
    }
  }
}

} // namespace gooseberrypath::entry
