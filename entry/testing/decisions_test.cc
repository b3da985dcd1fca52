// Tests of the decision logic that needs no network: quota, retry budget, prompt cache,
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

/// Returns what several daemons admit in total for a team that sends much more than its
/// limit. `aDigestInterval` is the time between two digests; zero: no digests are sent.
double SimulateAdmitted(Duration aTime, int aDaemons, Duration aDigestInterval,
                        double aLiveShare)
{
  const QuotaLimit limit{ .rate = 1000, .burst = 1000 };
  std::vector<TeamQuota> quotas(static_cast<size_t>(aDaemons), TeamQuota(kStart));
  for (TeamQuota& quota : quotas) {
    quota.SetLimit(kStart, limit);
    if (aLiveShare < 1) {
      quota.SetDaemonCount(quotas.size()); // known, but not live
    }
    quota.SetLiveShare(kStart, aLiveShare);
  }
  TimePoint lastDigest = kStart;
  for (TimePoint now = kStart; now < kStart + aTime; now += 10ms) {
    for (TeamQuota& quota : quotas) {
      quota.TryAdmit(now, 25); // 2,500 units per second at each daemon
    }
    if (aDigestInterval > Duration::zero() && now - lastDigest >= aDigestInterval) {
      lastDigest = now;
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

TEST_CASE("Entry: daemons that exchange digests share one limit", "[entry][quota]")
{
  // Guards against a full bucket at each of eight daemons, which admits eight times the
  // limit when one team sends 20 times its limit through all of them.
  const double limit = 8 * 1000 + 1000;
  CHECK(SimulateAdmitted(8s, 8, Duration::zero(), 1) > 6 * limit);
  CHECK(SimulateAdmitted(8s, 8, 100ms, 1) < 1.1 * limit + 8 * 25);
  CHECK(SimulateAdmitted(8s, 8, 100ms, 1) > 0.95 * limit);
}

TEST_CASE("Entry: isolated daemons keep to their share of the limit", "[entry][quota]")
{
  // Each daemon starts with a full burst, so only the rate is divided among them.
  const double bursts = 8 * 1000;
  CHECK(SimulateAdmitted(8s, 8, Duration::zero(), 1.0 / 8) <= bursts + 8 * 1000 + 8 * 25);
}

TEST_CASE("Entry: a jump of a peer's total blocks a team for a window at most",
          "[entry][quota]")
{
  // Guards against a single wrong or forged total that blocks a team for hours.
  TeamQuota quota(kStart);
  quota.SetLimit(kStart, { .rate = 100, .burst = 100 });
  quota.ApplyPeerTotal(kStart, "d2/1", 0, false);
  quota.ApplyPeerTotal(kStart, "d2/1", 1e15, false);
  CHECK_FALSE(quota.TryAdmit(kStart, 1));
  CHECK(quota.TryAdmit(kStart + 10s, 1));
}

TEST_CASE("Entry: the first total of a peer that started earlier is no debt",
          "[entry][quota]")
{
  // Guards against a restarted daemon that counts everything that its peers ever admitted
  // as a debt, and so refuses a team that is far below its limit.
  TeamQuota quota(kStart);
  quota.SetLimit(kStart, { .rate = 100, .burst = 100 });
  quota.ApplyPeerTotal(kStart, "d2/1", 1e6, true);
  CHECK(quota.TryAdmit(kStart, 1));
  quota.ApplyPeerTotal(kStart, "d2/1", 1e6 + 150, true);
  CHECK_FALSE(quota.TryAdmit(kStart, 1));
  // The same holds for a peer that was not live for a while.
  quota.ForgetPeer("d2/1");
  quota.ApplyPeerTotal(kStart + 1s, "d2/1", 1e6 + 5000, true);
  CHECK(quota.TryAdmit(kStart + 1s, 1));
}

TEST_CASE("Entry: a lowered limit is enforced and refill times are accurate",
          "[entry][quota]")
{
  TeamQuota quota(kStart);
  CHECK(quota.TryAdmit(kStart, 1e9)); // no limit yet
  quota.SetLimit(kStart, { .rate = 100, .burst = 100 });
  CHECK(quota.TryAdmit(kStart, 150)); // 50 units become a debt
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
  // Guards against an enforced limit that uses up the whole tolerance and leaves nothing
  // for what daemons admit between digests.
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
  // With a long digest interval the whole tolerance is reserved for the daemons' error.
  CHECK(EnforcedLimit({ .rate = 1000, .burst = 1000 }, tolerance, 1s).rate == 1000);
}

TEST_CASE("Entry: retries of all daemons together stay within the budget",
          "[entry][budget]")
{
  // Guards against one retry per call when every call fails.
  constexpr size_t kDaemons = 8;
  std::vector<RetryBudget> budgets(
    kDaemons, RetryBudget({ .ratio = 0.2, .extra = 56, .window = 10s }));
  size_t calls = 0;
  size_t retries = 0;
  for (TimePoint now = kStart; now < kStart + 10s; now += 50ms) {
    for (RetryBudget& budget : budgets) {
      budget.CountCall(now);
      ++calls;
      retries += budget.TryRetry(now, kDaemons) ? 1 : 0;
    }
  }
  CHECK(static_cast<double>(retries) <= 0.2 * static_cast<double>(calls) + 56);
  CHECK(retries > calls / 10);
}

TEST_CASE("Entry: daemons choose the same affinity engine for a prompt", "[entry][cache]")
{
  // Guards against daemons that each choose an engine of their own for a session, whose
  // prompt is then computed once per chosen engine.
  const std::vector<uint64_t> engines{ 11, 12, 13, 14, 15, 16 };
  std::vector<size_t> counts(engines.size());
  for (uint64_t session = 1; session <= 600; ++session) {
    const size_t affinity = AffinityEngine(Demand(session), engines);
    CHECK(affinity == AffinityEngine(Demand(session), engines));
    ++counts[affinity];
  }
  for (const size_t count : counts) {
    CHECK(count > 60); // 100 on average
  }
  // If an engine leaves, only the sessions with affinity to it move.
  const std::vector<uint64_t> fewer{ 11, 12, 13, 14, 15 };
  for (uint64_t session = 1; session <= 100; ++session) {
    const size_t before = AffinityEngine(Demand(session), engines);
    if (before < fewer.size()) {
      CHECK(AffinityEngine(Demand(session), fewer) == before);
    }
  }
}

TEST_CASE("Entry: prompt parts sent to an engine count as cached", "[entry][cache]")
{
  PromptCacheIndex cache({});
  CHECK(cache.UncachedTokens(kStart, 11, false, Demand(5)) == 6000);
  CHECK(cache.UncachedTokens(kStart, 11, true, Demand(5)) == 1000);
  cache.RecordPrompt(kStart, 11, Demand(5));
  CHECK(cache.UncachedTokens(kStart, 11, false, Demand(6)) ==
        5500); // shares the first part
  CHECK(cache.UncachedTokens(kStart, 11, false, Demand(5)) == 0);
  CHECK(cache.UncachedTokens(kStart + 2min, 11, false, Demand(5)) == 6000); // expired
}

TEST_CASE("Entry: the prompt cache is bounded", "[entry][cache]")
{
  PromptCacheIndex cache({ .retention = 60s, .maxEntries = 100 });
  for (uint64_t session = 1; session < 5000; ++session) {
    cache.RecordPrompt(kStart + session * 10ms, 11, Demand(session));
  }
  CHECK(cache.Size() <= 103);
}

TEST_CASE("Entry: a long queued prompt costs more than a few running calls",
          "[entry][cost]")
{
  // Guards against a cost that counts calls only, and so sends short prompts to an engine
  // whose only call has to compute 50,000 prompt tokens first.
  const BackendLoad reading{ .slots = 24, .inFlight = 1, .waitingTokens = 50'000 };
  const BackendLoad running{ .slots = 24, .inFlight = 6 };
  CHECK(ExpectedCost(running) < ExpectedCost(reading));
}

TEST_CASE("Entry: full, slow, failing and remote backends cost more", "[entry][cost]")
{
  const BackendLoad plain{ .slots = 6, .inFlight = 2, .slotTimeMs = 60 };
  const auto costWith = [&](auto aChange) {
    BackendLoad load = plain;
    aChange(load);
    return ExpectedCost(load);
  };
  const double cost = ExpectedCost(plain);
  CHECK(costWith([](BackendLoad& aLoad) { aLoad.inFlight = 8; }) > cost);
  CHECK(costWith([](BackendLoad& aLoad) { aLoad.slowness = 3; }) > cost);
  CHECK(costWith([](BackendLoad& aLoad) { aLoad.failureRate = 0.5; }) > cost);
  CHECK(costWith([](BackendLoad& aLoad) { aLoad.isRemote = true; }) > cost);
  CHECK(costWith([](BackendLoad& aLoad) {
          aLoad.kvCapacityTokens = 1000;
          aLoad.kvTokens = 5000;
        }) > cost);
}

TEST_CASE("Entry: failures and slowness are recorded and decay", "[entry][health]")
{
  BackendHealth health;
  CHECK(health.FailureRate(kStart) == 0);
  for (int i = 0; i < 5; ++i) {
    health.RecordFailure(kStart);
  }
  CHECK(health.FailureRate(kStart) > 0.5);
  CHECK(health.FailureRate(kStart + 20s) < 0.1); // so it gets calls again
  for (int i = 0; i < 20; ++i) {
    health.RecordSuccess(kStart, 5);
  }
  CHECK(health.Slowness(kStart) > 3);
  CHECK(health.Slowness(kStart + 20s) < 1.2);
}

TEST_CASE("Entry: ordinary backends are removed only after reclaimable ones serve",
          "[entry][plan]")
{
  // Guards against a lack of engines in the first seconds, which comes about when
  // ordinary backends are removed while the reclaimable ones that replace them still
  // start.
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
  CHECK(ordinaryOf(0) == 11); // 2.2 per needed engine
  CHECK(ordinaryOf(1) == 8);
  CHECK(ordinaryOf(3) == 4); // 0.7 per needed engine
}

TEST_CASE("Entry: the plan follows the demand within the scaling bounds", "[entry][plan]")
{
  // Guards against a plan of constant size, which leaves most calls of a deployment
  // several times as large without an engine.
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

TEST_CASE("Entry: ordinary backends replace reclaimable ones that are unavailable",
          "[entry][plan]")
{
  // Guards against a plan that reserves capacity for reclaimable backends while none are
  // available. When all data centres lost theirs under load, that left the load to a
  // third of the engines it needs.
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
  CHECK(ordinary == 88); // 2.2 per needed engine
  // Both kinds together stay within the bound while reclaimable ones return.
  for (const uint32_t reclaimable : { 0U, 10U, 33U }) {
    std::map<std::string, uint32_t> counts;
    for (const FleetOrder& order : plan(reclaimable)) {
      counts[order.dataCentre] += order.count;
    }
    CHECK(counts["c1"] <= 46);
    CHECK(counts["c2"] <= 46);
  }
}

TEST_CASE("Entry: without reclaimable backends, ordinary ones follow the recent load",
          "[entry][plan]")
{
  // Ordinary backends are planned for the slow average of the load, because reclaimable
  // ones cover its rises. Guards against a rise that no backend covers while no
  // reclaimable ones are available, and against ordinary ones that follow every rise
  // while they are.
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
  CHECK(countOf(false, "c1") + countOf(false, "c2") ==
        44); // 2.2 per engine of the slow average
  // Only c2 can get some, so it also gets the share of c1.
  fleets[0].isReclaimableUnavailable = true;
  CHECK(countOf(true, "c2") > countOf(true, "c1"));
  fleets[1].isReclaimableUnavailable = true;
  CHECK(countOf(false, "c1") + countOf(false, "c2") ==
        111); // 2.2 per engine of the fast average
}

TEST_CASE("Entry: scarce reclaimable backends are replaced by ordinary ones early",
          "[entry][plan]")
{
  // The data centres lose their reclaimable backends one after the other, seconds apart,
  // and get no new ones. Guards against a plan that orders ordinary backends only after
  // the next data centre has lost its own, which is too late by their startup time.
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
  CHECK(ordinary >= 20); // enough for the load once the last reclaimable ones are gone
}

TEST_CASE("Entry: the prefill speed of engines is estimated under load", "[entry][plan]")
{
  // Every engine always runs some calls, and half of the prompts wait for others. Guards
  // against an engine demand computed from a speed that was never measured, because no
  // call finds an engine idle, and against a speed that includes the waiting time.
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
    CHECK(stats.prefillTokensPerMs == Approx(speed).epsilon(0.25));
  }
}

TEST_CASE("Entry: the engine demand covers prefill and generation", "[entry][plan]")
{
  CHECK(NeededEngines({ .promptTokensPerSecond = 200'000, .prefillTokensPerMs = 100 }) ==
        Approx(2));
  CHECK(NeededEngines({ .inFlight = 48, .slots = 24 }) > 2);
  // Guards against engines that are counted twice, for prefill and for generation.
  CHECK(NeededEngines({ .promptTokensPerSecond = 400'000,
                        .prefillTokensPerMs = 100,
                        .inFlight = 48,
                        .slots = 24 }) == Approx(4));
  CHECK(NeededEngines({}) == 0);
}

TEST_CASE("Entry: constant fleet changes cause few reads of the store", "[entry][pace]")
{
  // While backends come and go all the time, each daemon is notified of the next change
  // as soon as it has read the last one. Guards against 140 reads a second by 74 daemons.
  const auto readsPerSecond = [](size_t aReaders) {
    return static_cast<double>(aReaders) /
           std::chrono::duration<double>(FleetBatchDelay(aReaders)).count();
  };
  CHECK(readsPerSecond(8) <= 16);
  CHECK(readsPerSecond(74) <= 50);
  CHECK(readsPerSecond(380) <= 190);
  // An isolated daemon learns of a leaving backend within three seconds. Daemons that
  // exchange digests together read often enough for one of them to know it at once.
  CHECK(FleetPollInterval(1) < 3s);
  // Guards against an isolated daemon that loses one response of the store and then sends
  // calls to a leaving backend for longer than the 2 s of small deployments. Jitter
  // lengthens pauses by up to half, and a call to the store times out after 1.2 s.
  CHECK(3 * FleetPollInterval(1) / 2 + 1200ms + 3 * StoreRetryDelay(1) / 2 < 2s);
  // Guards against a second read before all backends have registered. The next read
  // follows only seconds later, and the lease holder takes the part of the fleet that it
  // knows for the whole fleet.
  CHECK(FleetPollInterval(kInitialReaderCount) >= 800ms);
  CHECK(FleetPollInterval(74) / 74 <= 100ms);
  CHECK(FleetPollInterval(8) / 8 <= 100ms);
  CHECK(FleetPollInterval(380) / 380 <= 100ms);
  CHECK(FleetBatchDelay(380) <= 2s);
  // Guards against hundreds of calls a second by daemons that wait for an unreachable
  // store, and against a daemon that detects its recovery late.
  CHECK(StoreRetryDelay(74) / 74 >= 20ms);
  CHECK(StoreRetryDelay(380) <= 2s);
}

TEST_CASE("Entry: the route with the host's longest matching prefix is chosen",
          "[entry][route]")
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
