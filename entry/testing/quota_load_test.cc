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
      Arrive(aLoad);
      ForgetOldCalls();
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

  void Tell(size_t aFrom)
  {
    for (size_t to = 0; to < kDaemons; ++to) {
      if (to != aFrom) {
        quotas_[to].CountPeer(now_, "d" + std::to_string(aFrom),
                              quotas_[aFrom].Admitted(), false);
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<TeamQuota> quotas_;
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
