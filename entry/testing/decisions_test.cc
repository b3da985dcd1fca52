// Tests of the modules that decide without network: quota, retry budget, prompt cache,
// cost, health and fleet plan.

#include <random>

#include <catch2/catch.hpp>

#include "entry/backend_cost.h"
#include "entry/backend_health.h"
#include "entry/fleet_plan.h"
#include "entry/prompt_cache_index.h"
#include "entry/retry_budget.h"
#include "entry/route_index.h"
#include "entry/service_stats.h"
#include "entry/store_polling.h"
#include "entry/team_quota.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };

/// What several daemons admit for a team that sends much more than its limit. `aTold` is
/// the time between two digests; zero: they tell each other nothing.
double AdmittedIn(Duration aTime, int aDaemons, Duration aTold, double aShare)
{
  const QuotaLimit limit{ .rate = 1000, .burst = 1000 };
  std::vector<TeamQuota> quotas(static_cast<size_t>(aDaemons), TeamQuota(kStart));
  for (TeamQuota& quota : quotas) {
    quota.SetLimit(kStart, limit);
    if (aShare < 1) {
      quota.SetDaemonCount(quotas.size()); // known, though not heard
    }
    quota.SetLiveShare(kStart, aShare);
  }
  TimePoint told = kStart;
  for (TimePoint now = kStart; now < kStart + aTime; now += 10ms) {
    for (TeamQuota& quota : quotas) {
      quota.TryAdmit(now, 25); // 2,500 units a second at each daemon
    }
    if (aTold > Duration::zero() && now - told >= aTold) {
      told = now;
      for (size_t to = 0; to < quotas.size(); ++to) {
        for (size_t from = 0; from < quotas.size(); ++from) {
          if (to != from) {
            quotas[to].ApplyPeerTotal(now, "d" + std::to_string(from),
                                      quotas[from].TotalAdmitted(), false);
          }
        }
      }
    }
  }
  double sum = 0;
  for (const TeamQuota& quota : quotas) {
    sum += quota.TotalAdmitted();
  }
  return sum;
}

ModelDemand Demand(uint64_t aSession)
{
  return { .promptTokens = 6000,
           .maxOutputTokens = 400,
           .parts = { { 1, 500 }, { aSession, 4500 }, { 1000 + aSession, 1000 } } };
}

} // namespace

TEST_CASE("Entry: daemons that tell each other share one limit", "[entry][quota]")
{
  // Pattern: one team sends 20 times its limit through all daemons at once. The naive
  // version, a full bucket at each daemon, admits eight times the limit.
  const double limit = 8 * 1000 + 1000;
  CHECK(AdmittedIn(8s, 8, Duration::zero(), 1) > 6 * limit);
  CHECK(AdmittedIn(8s, 8, 100ms, 1) < 1.1 * limit + 8 * 25);
  CHECK(AdmittedIn(8s, 8, 100ms, 1) > 0.95 * limit);
}

TEST_CASE("Entry: daemons that hear nobody keep to their share", "[entry][quota]")
{
  // Each starts with a full burst, so only what follows is shared.
  const double bursts = 8 * 1000;
  CHECK(AdmittedIn(8s, 8, Duration::zero(), 1.0 / 8) <= bursts + 8 * 1000 + 8 * 25);
}

TEST_CASE("Entry: a leap of a peer's total stops a team for a window at most",
          "[entry][quota]")
{
  // Guards against one wrong or forged figure that refuses a team for hours.
  TeamQuota quota(kStart);
  quota.SetLimit(kStart, { .rate = 100, .burst = 100 });
  quota.ApplyPeerTotal(kStart, "d2/1", 0, false);
  quota.ApplyPeerTotal(kStart, "d2/1", 1e15, false);
  CHECK_FALSE(quota.TryAdmit(kStart, 1));
  CHECK(quota.TryAdmit(kStart + 10s, 1));
}

TEST_CASE("Entry: totals that a peer reached before are no new debt", "[entry][quota]")
{
  // Guards against a restarted daemon that takes all that the others ever admitted for a
  // debt and refuses a team that is far below its limit.
  TeamQuota quota(kStart);
  quota.SetLimit(kStart, { .rate = 100, .burst = 100 });
  quota.ApplyPeerTotal(kStart, "d2/1", 1e6, true);
  CHECK(quota.TryAdmit(kStart, 1));
  quota.ApplyPeerTotal(kStart, "d2/1", 1e6 + 150, true);
  CHECK_FALSE(quota.TryAdmit(kStart, 1));
  // The same holds for a peer that was not heard for a while.
  quota.ForgetPeer("d2/1");
  quota.ApplyPeerTotal(kStart + 1s, "d2/1", 1e6 + 5000, true);
  CHECK(quota.TryAdmit(kStart + 1s, 1));
}

TEST_CASE("Entry: a limit that is lowered binds, and refill times are true",
          "[entry][quota]")
{
  TeamQuota quota(kStart);
  CHECK(quota.TryAdmit(kStart, 1e9)); // no limit yet
  quota.SetLimit(kStart, { .rate = 100, .burst = 100 });
  CHECK(quota.TryAdmit(kStart, 150)); // the rest becomes a debt
  CHECK_FALSE(quota.TryAdmit(kStart, 1));
  const Duration wait = quota.RefillTime(kStart);
  CHECK(wait == 500ms);
  CHECK_FALSE(quota.TryAdmit(kStart + wait - 10ms, 1));
  CHECK(quota.TryAdmit(kStart + wait + 10ms, 1));
  quota.SetLimit(kStart + 5s, { .rate = 10, .burst = 10 });
  CHECK(quota.TryAdmit(kStart + 5s, 10));
  CHECK_FALSE(quota.TryAdmit(kStart + 5s, 1));
}

TEST_CASE("Entry: the enforced limit stays inside the tolerance", "[entry][quota]")
{
  // Guards against a limit that alone uses up the whole tolerance.
  const QuotaTolerance tolerance{ .window = 8s, .overshoot = 0.1, .slack = 140'000 };
  for (const double rate : { 1000.0, 36'000.0, 220'000.0 }) {
    const QuotaLimit limit{ .rate = rate, .burst = rate };
    const QuotaLimit enforced = EnforcedLimit(limit, tolerance, 100ms);
    const double allowed = (8 * rate + rate) * 1.1 + 140'000;
    const double admitted = 8 * enforced.rate + enforced.burst;
    CHECK(admitted >= 9 * rate);
    CHECK(admitted <= allowed - 0.25 * 140'000);
  }
  CHECK(EnforcedLimit({ .rate = 0, .burst = 0 }, tolerance, 100ms).rate == 0);
  // With old news the tolerance is left to the error of the daemons.
  CHECK(EnforcedLimit({ .rate = 1000, .burst = 1000 }, tolerance, 1s).rate == 1000);
}

TEST_CASE("Entry: repeats of all daemons stay within the budget", "[entry][budget]")
{
  // Pattern: each call fails and is repeated. Naive: one repeat a call.
  constexpr size_t kDaemons = 8;
  std::vector<RetryBudget> budgets(
    kDaemons, RetryBudget({ .ratio = 0.2, .extra = 56, .window = 10s }));
  size_t calls = 0;
  size_t repeats = 0;
  for (TimePoint now = kStart; now < kStart + 10s; now += 50ms) {
    for (RetryBudget& budget : budgets) {
      budget.CountCall(now);
      ++calls;
      repeats += budget.TryRetry(now, kDaemons) ? 1 : 0;
    }
  }
  CHECK(static_cast<double>(repeats) <= 0.2 * static_cast<double>(calls) + 56);
  CHECK(repeats > calls / 10);
}

TEST_CASE("Entry: daemons agree on the engine of a prompt", "[entry][cache]")
{
  // Pattern: many sessions, each seen by all daemons. The naive version, an engine chosen
  // by each daemon for itself, reads a session's part once at each.
  const std::vector<uint64_t> engines{ 11, 12, 13, 14, 15, 16 };
  std::vector<size_t> counts(engines.size());
  for (uint64_t session = 1; session <= 600; ++session) {
    const size_t home = AffinityEngine(Demand(session), engines);
    CHECK(home == AffinityEngine(Demand(session), engines));
    ++counts[home];
  }
  for (const size_t count : counts) {
    CHECK(count > 60); // 100 on average
  }
  // When an engine leaves, only its own sessions move.
  const std::vector<uint64_t> fewer{ 11, 12, 13, 14, 15 };
  for (uint64_t session = 1; session <= 100; ++session) {
    const size_t before = AffinityEngine(Demand(session), engines);
    if (before < fewer.size()) {
      CHECK(AffinityEngine(Demand(session), fewer) == before);
    }
  }
}

TEST_CASE("Entry: what an engine has read is not missing", "[entry][cache]")
{
  PromptCacheIndex cache({});
  CHECK(cache.UncachedTokens(kStart, 11, false, Demand(5)) == 6000);
  CHECK(cache.UncachedTokens(kStart, 11, true, Demand(5)) == 1000);
  cache.RecordPrompt(kStart, 11, Demand(5));
  CHECK(cache.UncachedTokens(kStart, 11, false, Demand(6)) == 5500); // the first part
  CHECK(cache.UncachedTokens(kStart, 11, false, Demand(5)) == 0);
  CHECK(cache.UncachedTokens(kStart + 2min, 11, false, Demand(5)) == 6000); // forgotten
}

TEST_CASE("Entry: the prompt cache is bounded", "[entry][cache]")
{
  PromptCacheIndex cache({ .retention = 60s, .maxEntries = 100 });
  for (uint64_t session = 1; session < 5000; ++session) {
    cache.RecordPrompt(kStart + session * 10ms, 11, Demand(session));
  }
  CHECK(cache.Size() <= 103);
}

TEST_CASE("Entry: a long prompt in front costs more than a few running calls",
          "[entry][cost]")
{
  // Pattern: quick questions behind a long review. Counting calls alone sends them to the
  // engine whose only call reads 50,000 tokens.
  const BackendLoad reading{ .slots = 24, .inFlight = 1, .waitingTokens = 50'000 };
  const BackendLoad running{ .slots = 24, .inFlight = 6 };
  CHECK(ExpectedCost(running) < ExpectedCost(reading));
}

TEST_CASE("Entry: full, slow, failing and distant backends cost more", "[entry][cost]")
{
  const BackendLoad plain{ .slots = 6, .inFlight = 2, .slotTimeMs = 60 };
  const auto with = [&](auto aChange) {
    BackendLoad load = plain;
    aChange(load);
    return ExpectedCost(load);
  };
  const double cost = ExpectedCost(plain);
  CHECK(with([](BackendLoad& aLoad) { aLoad.inFlight = 8; }) > cost);
  CHECK(with([](BackendLoad& aLoad) { aLoad.slowness = 3; }) > cost);
  CHECK(with([](BackendLoad& aLoad) { aLoad.failureRate = 0.5; }) > cost);
  CHECK(with([](BackendLoad& aLoad) { aLoad.isRemote = true; }) > cost);
  CHECK(with([](BackendLoad& aLoad) {
          aLoad.kvCapacityTokens = 1000;
          aLoad.kvTokens = 5000;
        }) > cost);
}

TEST_CASE("Entry: failures are remembered and forgotten", "[entry][health]")
{
  BackendHealth health;
  CHECK(health.FailureRate(kStart) == 0);
  for (int i = 0; i < 5; ++i) {
    health.RecordFailure(kStart);
  }
  CHECK(health.FailureRate(kStart) > 0.5);
  CHECK(health.FailureRate(kStart + 20s) < 0.1); // it is tried again
  for (int i = 0; i < 20; ++i) {
    health.RecordSuccess(kStart, 5);
  }
  CHECK(health.Slowness(kStart) > 3);
  CHECK(health.Slowness(kStart + 20s) < 1.2);
}

TEST_CASE("Entry: ordinary backends go only when reclaimable ones serve", "[entry][plan]")
{
  // Guards against the first seconds without engines, when ordinary ones are let go while
  // their successors start.
  const Service service{ .name = "assistant",
                         .scaling = ScalingPolicy{ .min = 1, .max = 6 } };
  const auto ordinaryOf = [&](uint32_t aReclaimable) {
    const std::vector<DataCentreFleet> fleets{
      { .dataCentre = "c1", .ordinary = 3, .reclaimable = aReclaimable },
      { .dataCentre = "c2", .ordinary = 3, .reclaimable = aReclaimable },
      { .dataCentre = "c3", .ordinary = 3, .reclaimable = aReclaimable }
    };
    uint32_t ordinary = 0;
    for (const FleetOrder& order : PlanFleet(service, fleets, { 5, 5 })) {
      ordinary += order.isReclaimable ? 0 : order.count;
      CHECK(order.count <= 6);
    }
    return ordinary;
  };
  CHECK(ordinaryOf(0) == 11); // 2.2 for each needed engine
  CHECK(ordinaryOf(1) == 8);
  CHECK(ordinaryOf(3) == 4); // 0.7 for each needed engine
}

TEST_CASE("Entry: the plan grows with the need and keeps to the bounds", "[entry][plan]")
{
  // Pattern: a deployment several times as large. A constant plan leaves most calls
  // without an engine.
  const Service service{ .name = "assistant",
                         .scaling = ScalingPolicy{ .min = 1, .max = 30 } };
  const std::vector<DataCentreFleet> fleets{ { .dataCentre = "c1" },
                                             { .dataCentre = "c2" } };
  const auto totalFor = [&](double aNeed) {
    uint32_t total = 0;
    for (const FleetOrder& order : PlanFleet(service, fleets, { aNeed, aNeed })) {
      total += order.count;
    }
    return total;
  };
  CHECK(totalFor(0) == 2);
  CHECK(totalFor(20) >= 50);
  CHECK(totalFor(1000) == 60);
}

TEST_CASE("Entry: ordinary backends take the room of reclaimable ones that do not come",
          "[entry][plan]")
{
  // Pattern: the reclaimable backends of all data centres are taken away under load, and
  // no more are to be had. Guards against a plan that keeps their room for them and
  // leaves the load to a third of the engines it needs.
  const Service service{ .name = "assistant",
                         .scaling = ScalingPolicy{ .min = 1, .max = 46 } };
  const auto plan = [&](uint32_t aReclaimable) {
    const std::vector<DataCentreFleet> fleets{
      { .dataCentre = "c1", .ordinary = 13, .reclaimable = aReclaimable },
      { .dataCentre = "c2", .ordinary = 13, .reclaimable = aReclaimable },
    };
    return PlanFleet(service, fleets, { 40, 40 });
  };
  uint32_t ordinary = 0;
  for (const FleetOrder& order : plan(0)) {
    ordinary += order.isReclaimable ? 0 : order.count;
  }
  CHECK(ordinary == 88); // 2.2 for each needed engine
  // Both kinds together stay within the bound while reclaimable ones come back.
  for (const uint32_t reclaimable : { 0U, 10U, 33U }) {
    std::map<std::string, uint32_t> counts;
    for (const FleetOrder& order : plan(reclaimable)) {
      counts[order.dataCentre] += order.count;
    }
    CHECK(counts["c1"] <= 46);
    CHECK(counts["c2"] <= 46);
  }
}

TEST_CASE("Entry: where no reclaimable backends come, ordinary ones follow the load",
          "[entry][plan]")
{
  // Pattern: the load rises while reclaimable backends are not to be had. Guards against
  // ordinary ones that follow a load which reclaimable ones should have taken up.
  const Service service{ .name = "assistant",
                         .scaling = ScalingPolicy{ .min = 1, .max = 200 } };
  std::vector<DataCentreFleet> fleets{ { .dataCentre = "c1" }, { .dataCentre = "c2" } };
  const auto countOf = [&](bool aIsReclaimable, const std::string& aDataCentre) {
    uint32_t count = 0;
    for (const FleetOrder& order : PlanFleet(service, fleets, { 20, 50 })) {
      const bool isMeant =
        order.isReclaimable == aIsReclaimable && order.dataCentre == aDataCentre;
      count += isMeant ? order.count : 0;
    }
    return count;
  };
  CHECK(countOf(false, "c1") + countOf(false, "c2") == 44); // 2.2 for the lasting need
  // One has some: it gets the share of the other one too.
  fleets[0].isReclaimableUnavailable = true;
  CHECK(countOf(true, "c2") > countOf(true, "c1"));
  fleets[1].isReclaimableUnavailable = true;
  CHECK(countOf(false, "c1") + countOf(false, "c2") == 111); // 2.2 for the recent need
}

TEST_CASE("Entry: while reclaimable backends are scarce, ordinary ones stand in early",
          "[entry][plan]")
{
  // Pattern: the reclaimable backends of one data centre after the other are taken away,
  // seconds apart, and none are to be had. Guards against a plan that orders ordinary
  // ones only when the next data centre has lost its own, a start too late.
  const Service service{ .name = "assistant",
                         .scaling = ScalingPolicy{ .min = 1, .max = 60 } };
  const std::vector<DataCentreFleet> fleets{
    { .dataCentre = "c1", .isReclaimableUnavailable = true },
    { .dataCentre = "c2", .isReclaimableUnavailable = true },
    { .dataCentre = "c3", .reclaimable = 30 },
  };
  uint32_t ordinary = 0;
  for (const FleetOrder& order : PlanFleet(service, fleets, { 20, 20 })) {
    ordinary += order.isReclaimable ? 0 : order.count;
  }
  CHECK(ordinary >= 20); // the load alone, when the last ones go too
}

TEST_CASE("Entry: the reading speed of engines is learned under load", "[entry][plan]")
{
  // Pattern: every engine always runs some calls, and half of the prompts wait for
  // others. Guards against a need that is worked out with a speed that was never
  // observed, because no call finds an engine idle, and against one that counts the
  // waiting as slowness.
  for (const double speed : { 64.0, 140.0 }) {
    ServiceStats stats;
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> length(0, 0.8);
    for (int i = 0; i < 400; ++i) {
      const double tokens = (i % 4 == 0 ? 6000 : 1500) * length(random);
      const double ahead = i % 2 == 0 ? 0 : 6000 * length(random);
      const double ms = 40 + (ahead + tokens) / speed;
      stats.RecordFirstEvent({ .tokens = tokens, .observedMs = ms });
    }
    INFO("speed " << speed);
    CHECK(stats.tokensPerMs == Approx(speed).epsilon(0.25));
  }
}

TEST_CASE("Entry: the need counts reading and generating", "[entry][plan]")
{
  CHECK(NeededEngines({ .promptTokensPerSecond = 200'000, .tokensPerMs = 100 }) ==
        Approx(2));
  CHECK(NeededEngines({ .inFlight = 48, .slots = 24 }) > 2);
  // Guards against engines that are counted twice, for reading and for generating.
  CHECK(NeededEngines({ .promptTokensPerSecond = 400'000,
                        .tokensPerMs = 100,
                        .inFlight = 48,
                        .slots = 24 }) == Approx(4));
  CHECK(NeededEngines({}) == 0);
}

TEST_CASE("Entry: constant changes of the fleet cost few readings", "[entry][pace]")
{
  // Pattern: backends come and go all the time, so each daemon hears of a change as soon
  // as it has read. Guards against 140 readings a second by 74 daemons.
  const auto readingsPerSecond = [](size_t aReaders) {
    return static_cast<double>(aReaders) /
           std::chrono::duration<double>(FleetBatchDelay(aReaders)).count();
  };
  CHECK(readingsPerSecond(8) <= 16);
  CHECK(readingsPerSecond(74) <= 50);
  CHECK(readingsPerSecond(380) <= 190);
  // A daemon that hears nobody still learns of a leaving backend within three seconds,
  // and daemons that hear each other together read often enough for one to know it at
  // once.
  CHECK(FleetPollInterval(1) < 3s);
  // Guards against a daemon that is cut off from the others, loses one answer of the
  // store and sends to a leaving backend for longer than the 2 s of the small
  // deployments. Pauses are up to half longer, and a call is given up after 1.2 s.
  CHECK(3 * FleetPollInterval(1) / 2 + 1200ms + 3 * StoreRetryDelay(1) / 2 < 2s);
  // Guards against a second reading before all backends have announced themselves: the
  // next one comes only after seconds, and the holder takes the part of the fleet that it
  // knows for the whole.
  CHECK(FleetPollInterval(kInitialReaderCount) >= 800ms);
  CHECK(FleetPollInterval(74) / 74 <= 100ms);
  CHECK(FleetPollInterval(8) / 8 <= 100ms);
  CHECK(FleetPollInterval(380) / 380 <= 100ms);
  CHECK(FleetBatchDelay(380) <= 2s);
  // Guards against hundreds of calls a second by daemons that wait for the store, and
  // against one that notices its return late.
  CHECK(StoreRetryDelay(74) / 74 >= 20ms);
  CHECK(StoreRetryDelay(380) <= 2s);
}

TEST_CASE("Entry: the longest prefix of the host is the route", "[entry][route]")
{
  Configuration configuration;
  configuration.routes = { { .name = "all", .host = "h", .pathPrefix = "/" },
                           { .name = "deep", .host = "h", .pathPrefix = "/a/b/" },
                           { .name = "other", .host = "g", .pathPrefix = "/a/b/c/" } };
  const RouteIndex index(configuration);
  CHECK(index.Find("h", "/a/b/c/d")->name == "deep");
  CHECK(index.Find("h", "/a/b?x=/a/b/")->name == "all");
  CHECK(index.Find("none", "/a/b/") == nullptr);
}

} // namespace gooseberrypath::entry
