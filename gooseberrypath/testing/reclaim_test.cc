// Streams over reclaims, against the naive proxy. The table of recomputed tokens:
//
//   build/gooseberrypath_test "[reclaim-table]"

#include <catch2/catch.hpp>

#include <cstdio>
#include <string>

#include "gooseberrypath/backend_candidates.h"
#include "gooseberrypath/testing/dispatch_fixture.h"
#include "gooseberrypath/testing/reclaim_simulation.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

constexpr size_t kStreams = 200;     // in the whole-zone scenario
constexpr size_t kFewerStreams = 80; // in the others, to keep the suite short
constexpr Duration kNotice = 3s;     // all streams run then
const std::vector<std::string> kZone = { "e0", "e3", "e6" };

/// The platform takes the zone's hosts back; their notices come up to 200 ms apart.
template<typename S>
void Reclaim(S& aSim, const std::vector<std::string>& aHosts, Duration aAt,
             Duration aLeft)
{
  for (const std::string& host : aHosts) {
    const Duration at = aAt + std::chrono::milliseconds(aSim.random() % 200);
    aSim.At(at, [&aSim, host, aLeft] { aSim.Notice(host, aLeft); });
    aSim.At(at + aLeft, [&aSim, host] { aSim.Kill(host); });
  }
}

/// The scenarios, by name, for any proxy.
template<typename S>
void SetUp(S& aSim, const std::string& aScenario)
{
  if (aScenario == "the receivers are reclaimed too") {
    Reclaim(aSim, { "e1", "e4", "e7" }, kNotice + 1600ms, 2s);
  } else if (aScenario == "notice without time") {
    Reclaim(aSim, kZone, kNotice, 0s);
    return;
  } else if (aScenario == "an engine dies before its notice ends") {
    aSim.At(kNotice + 700ms, [&aSim] { aSim.Kill("e3"); });
  } else if (aScenario == "a host with a notice stays") {
    Reclaim(aSim, { "e0", "e3" }, kNotice, 2s);
    aSim.At(kNotice, [&aSim] { aSim.Notice("e6", 2s); });
    return;
  } else if (aScenario == "exports are refused") {
    for (auto& [host, engine] : aSim.engines) {
      engine.refusesExport = true;
    }
  } else if (aScenario == "handles are refused") {
    for (auto& [host, engine] : aSim.engines) {
      engine.refusesHandles = true;
    }
  } else if (aScenario == "exports are answered after the move") {
    for (auto& [host, engine] : aSim.engines) {
      engine.exportTime = 1200ms;
    }
  } else if (aScenario == "an engine with a notice is frozen") {
    aSim.At(kNotice + 100ms, [&aSim] { aSim.Freeze("e3"); });
  }
  Reclaim(aSim, kZone, kNotice, 2s);
}

template<typename Proxy>
ReclaimResult RunScenario(const std::string& aScenario, uint64_t aSeed,
                          size_t aStreams = kStreams)
{
  ReclaimSimulation<Proxy> sim(aSeed, aStreams);
  SetUp(sim, aScenario);
  return sim.Run();
}

} // namespace

TEST_CASE("Every stream is whole over reclaims", "[reclaim]")
{
  // Guards against lost and repeated tokens and ended streams. The naive proxy must break
  // under the same faults and seed.
  const std::string scenario =
    GENERATE(as<std::string>(), "a zone is reclaimed", "the receivers are reclaimed too",
             "notice without time", "an engine dies before its notice ends",
             "a host with a notice stays", "exports are refused", "handles are refused",
             "exports are answered after the move", "an engine with a notice is frozen");
  constexpr uint64_t kSeed = 1;
  INFO(scenario);
  const size_t streams = scenario == "a zone is reclaimed" ? kStreams : kFewerStreams;
  ReclaimSimulation<CoreProxy> sim(kSeed, streams);
  SetUp(sim, scenario);
  const ReclaimResult result = sim.Run();
  CHECK(result.whole == streams);
  CHECK(result.broken == 0);
  const World& world = sim.proxy.world;
  CHECK(world.requests.IsEmpty());
  CHECK(world.attempts.IsEmpty());
  for (const auto& [id, backend] : world.backends) {
    CHECK(backend.inFlight == 0);
  }
  const ReclaimResult naive = RunScenario<NaiveProxy>(scenario, kSeed, streams);
  CHECK(naive.broken > 0);
  // A resume without KV prefills as many tokens as a restart generates one by one.
  CHECK(naive.decoded > 10 * result.decoded);

  const Counters& counters = world.counters;
  const auto get = [&](Counter aCounter) { return counters.Get(aCounter); };
  if (scenario == "a zone is reclaimed") {
    CHECK(get(Counter::AttemptsBroken) == 0); // all had left in time
    CHECK(naive.recomputed > 10 * result.recomputed);
    CHECK(get(Counter::KvExportsAsked) == get(Counter::StreamsMoved));
    CHECK(get(Counter::StreamsMoved) > 30);
  } else if (scenario == "notice without time") {
    // Guards against a notice that is handled before the host is marked as leaving.
    CHECK(get(Counter::AttemptsBroken) == 0);
    CHECK(get(Counter::KvExportsAsked) == 0);
  } else if (scenario == "the receivers are reclaimed too") {
    CHECK(get(Counter::StreamsMoved) > 30);
  } else if (scenario == "handles are refused") {
    CHECK(get(Counter::KvHandlesRefused) > 10);
  } else if (scenario == "exports are refused") {
    CHECK(get(Counter::KvExportsFailed) > 10);
  } else if (scenario == "exports are answered after the move") {
    CHECK(get(Counter::KvExportsLate) > 10);
  }
}

TEST_CASE("Moved streams leave a zone that is being reclaimed", "[reclaim]")
{
  // Guards against streams that go from host to host of a zone as its notices arrive: e6
  // is the only host of the zone without a notice when the streams of e0 and e3 move.
  ReclaimSimulation<CoreProxy> sim(3, kStreams);
  Reclaim(sim, { "e0", "e3" }, kNotice, 2s);
  uint64_t before = 0;
  const auto atE6 = [&sim] {
    return sim.engines.at("e6").model->Stats()["requests"].get<uint64_t>();
  };
  sim.At(kNotice + 200ms, [&] { before = atE6(); });
  CHECK(sim.Run().whole == kStreams);
  CHECK(before > 0);
  CHECK(atE6() == before);
  CHECK(sim.proxy.world.counters.Get(Counter::StreamsMoved) > 30);
}

TEST_CASE("A zone that is being reclaimed is a preference only", "[reclaim]")
{
  // Guards against streams without a backend although one is left.
  World world({}, TimePoint{});
  const auto add = [&](const std::string& aName, const std::string& aZone, bool aLeaves) {
    world.backends.Insert(
      "s/" + aName, BackendRow{ .service = "s",
                                .spec = { .name = aName, .host = aName, .zone = aZone },
                                .leaving = aLeaves });
    world.hosts.Insert(aName, HostRow{ .leaving = aLeaves });
  };
  add("a0", "a", true);
  add("a1", "a", true);
  add("a2", "a", false);
  RequestRow row{ .service = "s", .kind = ServiceKind::Model, .attempts = 1 };
  const auto names = [&] {
    std::string text;
    for (const BackendRow* backend : CandidatesFor(world, row).backends) {
      text += backend->spec.name + " ";
    }
    return text;
  };
  CHECK(names() == "a2 ");
  add("b0", "b", false);
  CHECK(names() == "b0 ");
  CHECK(CandidatesFor(world, row).reason == "avoids zones that are being reclaimed: a");
  row.attempts = 0; // new
  CHECK(names() == "b0 ");
  row.chat.maxTokens = 16; // and short
  CHECK(names() == "a2 b0 ");
  row.attempts = 1;
  row.avoid = { "s/b0" }; // a backend that failed the request is worse
  CHECK(names() == "a2 ");
  row.avoid.clear();
  world.timers.AdvanceTo(world.Now() + kZoneReclaimTime + 1s); // the wave is over
  CHECK(names() == "a2 b0 ");
}

TEST_CASE("A stream survives more reclaims than maxAttempts", "[reclaim]")
{
  // Guards against counting announced moves as failures: at the next real failure the
  // stream would end with backend_failed.
  DispatchFixture f;
  f.Request("POST", std::string(kChatPath), {},
            R"({"messages":[{"role":"user","content":"x"}],"stream":true})");
  for (int i = 0; i < 20; ++i) {
    const auto started = f.Take<StartModelAttempt>();
    REQUIRE(started.size() == 1);
    std::string host;
    for (auto& [id, backend] : f.world.backends) {
      backend.leaving = backend.spec.address == started[0].address;
      host = backend.leaving ? backend.spec.host : host;
    }
    f.Post(ReclaimNotice{ host, 0s });
  }
  f.Post(AttemptBroken{ f.Take<StartModelAttempt>().at(0).attempt, "reset" });
  const auto last = f.Take<StartModelAttempt>(); // without a pause
  REQUIRE(last.size() == 1);
  f.Post(AttemptFinished{ last[0].attempt, "stop" });
  CHECK(f.Take<ReplyStreamEnd>().size() == 1);
}

TEST_CASE("Recomputed tokens in a reclaim wave", "[.][reclaim-table]")
{
  std::printf(
    "| seed | version | broken streams | recomputed tokens | of these decoded |\n"
    "| --- | --- | --- | --- | --- |\n");
  const auto print = [](int aSeed, const char* aVersion, const ReclaimResult& aResult) {
    std::printf("| %d | %s | %zu | %lu | %lu |\n", aSeed, aVersion, aResult.broken,
                static_cast<unsigned long>(aResult.recomputed),
                static_cast<unsigned long>(aResult.decoded));
  };
  for (int seed = 1; seed <= 5; ++seed) {
    const auto naive = RunScenario<NaiveProxy>("a zone is reclaimed", seed);
    const auto plain = RunScenario<CoreProxy>("exports are refused", seed);
    const auto kv = RunScenario<CoreProxy>("a zone is reclaimed", seed);
    print(seed, "naive restart", naive);
    print(seed, "resume without KV", plain);
    print(seed, "resume with KV", kv);
    CHECK(plain.broken + kv.broken == 0);
  }
}
