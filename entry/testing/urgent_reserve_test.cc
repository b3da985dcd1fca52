// Tests of the reserve for urgent calls: its size, the minimum for less urgent calls, and
// its effect in a surge of long calls at the engines of many daemons.

#include "entry/engine_reserve.h"

#include <array>
#include <deque>
#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "entry/backend_choice.h"
#include "entry/duration_text.h"
#include "entry/testing/entry_fixture.h"
#include "entry/testing/event_queue.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };

/// A configuration with urgent questions and less urgent plans at the same engines.
ConfigurationPtr MakeConfiguration(uint32_t aPriorityOfPlans)
{
  Configuration configuration = TestConfiguration();
  configuration.routes[2].priority = aPriorityOfPlans;
  return std::make_shared<const Configuration>(std::move(configuration));
}

struct CallClass
{
  size_t route = 0; // in the test's configuration
  double perSecond = 0;
  Duration work{};
  ModelDemand demand;
  double sent = 0;
  double inTime = 0; // began within the objective
};

/// 20 daemons send short urgent and long calls to 6 engines with 12 slots, which serve
/// them in the order of their arrival. Each daemon hears of the others' calls every 200
/// ms.
class SurgeSimulation
{
public:
  SurgeSimulation(uint64_t aSeed, uint32_t aPriorityOfPlans, double aSurge)
    : random_(aSeed)
    , configuration_(MakeConfiguration(aPriorityOfPlans))
  {
    urgent = { .route = 3, .perSecond = 90, .work = 100ms, .demand = { 500, 100, {} } };
    plans = {
      .route = 2, .perSecond = 15 * aSurge, .work = 2s, .demand = { 4000, 1000, {} }
    };
    for (size_t i = 0; i < kDaemons; ++i) {
      worlds_.push_back(MakeWorld(i));
      reserves_.emplace_back(*worlds_.back());
    }
    for (CallClass* one : { &urgent, &plans }) {
      queue_.Add(now_, [this, one] { PostCall(*one); });
    }
    queue_.Add(now_, [this] { ExchangeDigests(); });
    queue_.RunUntil(kStart + 40s, now_);
  }

  CallClass urgent;
  CallClass plans;

private:
  static constexpr size_t kDaemons = 20;
  static constexpr size_t kEngines = 6;
  static constexpr uint32_t kSlots = 12;

  struct PostedCall
  {
    CallClass* of = nullptr;
    World* world = nullptr;
    EngineReserve* reserve = nullptr;
    RequestRow row;
    AttemptRow attempt;
  };

  struct Engine
  {
    uint32_t running = 0;
    std::deque<std::shared_ptr<PostedCall>> waiting;
  };

  static std::string EngineId(size_t aEngine) { return "e" + std::to_string(aEngine); }

  std::unique_ptr<World> MakeWorld(size_t aDaemon)
  {
    auto world = std::make_unique<World>(
      EntryOptions{ .host = "d" + std::to_string(aDaemon), .seed = random_() }, kStart);
    for (size_t i = 0; i < kEngines; ++i) {
      BackendEntry entry = EntryFixture::MakeBackendEntry(EngineId(i), "assistant");
      entry.dataCentre = "";
      entry.slots = kSlots;
      world->backends.Insert(EngineId(i),
                             BackendRow{ .entry = entry, .key = DigestKey(EngineId(i)) });
    }
    for (size_t i = 1; i < kDaemons; ++i) {
      world->peers.Insert("p" + std::to_string(i), PeerRow{ .isAlive = true });
    }
    return world;
  }

  void PostCall(CallClass& aClass)
  {
    const double wait = std::exponential_distribution(aClass.perSecond)(random_);
    queue_.Add(now_ + FromMs(1000 * wait), [this, &aClass] { PostCall(aClass); });
    const size_t daemon = random_() % kDaemons;
    World& world = *worlds_[daemon];
    EngineReserve& reserve = reserves_[daemon];
    world.timers.AdvanceTo(now_);
    auto call = std::make_shared<PostedCall>(
      PostedCall{ .of = &aClass, .world = &world, .reserve = &reserve });
    call->row = { .call = { .model = aClass.demand },
                  .configuration = configuration_,
                  .route = &configuration_->routes[aClass.route],
                  .service = "assistant" };
    aClass.sent += 1;
    reserve.RecordArrival(call->row);
    if (reserve.Check(call->row)) {
      return;
    }
    const auto choice = ChooseBackend(world, call->row, reserve.SharesToLeave(call->row));
    if (choice->expectedMs > 2 * ToMs(call->row.route->latencyObjective)) {
      return; // the daemon refuses it
    }
    call->attempt = { .backend = choice->id,
                      .started = now_,
                      .kvTokens = choice->kvTokens };
    Count(*call, 1);
    const size_t engine = choice->id.back() - '0';
    engines_[engine].waiting.push_back(std::move(call));
    StartNext(engine);
  }

  static void Count(const PostedCall& aCall, int32_t aChange)
  {
    BackendRow& row = *aCall.world->backends.Find(aCall.attempt.backend);
    row.inFlight += aChange;
    row.kvTokens += aChange * aCall.attempt.kvTokens;
  }

  void StartNext(size_t aEngine)
  {
    Engine& engine = engines_[aEngine];
    if (engine.running >= kSlots || engine.waiting.empty()) {
      return;
    }
    const auto call = engine.waiting.front();
    engine.waiting.pop_front();
    engine.running += 1;
    const Duration waited = now_ - call->attempt.started;
    call->of->inTime += waited <= call->row.route->latencyObjective ? 1 : 0;
    queue_.Add(now_ + call->of->work, [this, aEngine, call] {
      engines_[aEngine].running -= 1;
      call->world->timers.AdvanceTo(now_);
      call->reserve->RecordUse(call->row, call->attempt);
      call->world->serviceStats["assistant"].RecordSlotTime(
        ToMs(now_ - call->attempt.started));
      Count(*call, -1);
      StartNext(aEngine);
    });
  }

  /// Tells each daemon the calls of all others.
  void ExchangeDigests()
  {
    for (size_t i = 0; i < kEngines; ++i) {
      TotalBackendUse sum;
      for (const auto& world : worlds_) {
        sum.inFlight += world->backends.Find(EngineId(i))->inFlight;
        sum.kvTokens += world->backends.Find(EngineId(i))->kvTokens;
      }
      for (const auto& world : worlds_) {
        const BackendRow& own = *world->backends.Find(EngineId(i));
        world->peerUse[own.key] = { .inFlight = sum.inFlight - own.inFlight,
                                    .kvTokens = sum.kvTokens - own.kvTokens };
      }
    }
    queue_.Add(now_ + 200ms, [this] { ExchangeDigests(); });
  }

  std::mt19937_64 random_;
  ConfigurationPtr configuration_;
  std::vector<std::unique_ptr<World>> worlds_;
  std::deque<EngineReserve> reserves_; // of the daemons
  std::array<Engine, kEngines> engines_;
  EventQueue queue_;
  TimePoint now_ = kStart;
};

} // namespace

TEST_CASE("Entry: urgent calls meet their objective in a surge of long calls",
          "[entry][reserve]")
{
  // Load: 90 urgent calls of 0.1 s and 36 long calls of 2 s (2.4 times 15) a second at 72
  // slots, 112% of the capacity. Guards against long calls that fill all engines, and
  // against a reserve that refuses most of them.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const SurgeSimulation same(seed, 0, 2.4);
    const SurgeSimulation reserved(seed, 1, 2.4);
    const double urgent = reserved.urgent.inTime / reserved.urgent.sent;
    const double unreserved = same.urgent.inTime / same.urgent.sent;
    const double plans = reserved.plans.inTime / reserved.plans.sent;
    INFO("seed " << seed << ": urgent " << urgent << ", without reserve " << unreserved
                 << ", long " << plans);
    CHECK(urgent >= 0.9);
    CHECK(unreserved < 0.9);
    CHECK(plans >= 0.5);
  }
  // Without a surge, less urgent calls lose little.
  const SurgeSimulation calm(1, 1, 1);
  INFO("calm: long " << calm.plans.inTime / calm.plans.sent);
  CHECK(calm.plans.inTime >= 0.98 * calm.plans.sent);
}

TEST_CASE("Entry: the reserve for urgent calls has bounds", "[entry][reserve]")
{
  UrgentReserve reserve;
  const ServiceCapacity capacity{ .slots = 100, .kvTokens = 100'000, .daemons = 20 };
  CHECK(reserve.Shares(kStart, capacity).slots == 0.1);
  CHECK(reserve.Shares(kStart, {}).kvTokens == 0.1);
  for (int i = 0; i < 200; ++i) { // 10 calls a second, as at each of the 20 daemons
    reserve.RecordArrival(kStart + i * 100ms);
    reserve.RecordUse({ .seconds = 0.1, .kvTokens = 1500 });
  }
  const TimePoint now = kStart + 20s;
  CHECK(reserve.Shares(now, capacity).slots == Approx(0.2).epsilon(0.1));
  CHECK(reserve.Shares(now, capacity).kvTokens == Approx(0.3).epsilon(0.1));
  CHECK(reserve.Shares(now, { .slots = 10 }).slots == 0.1);
  CHECK(reserve.Shares(now, { .slots = 10, .daemons = 20 }).slots == 0.4);

  const ReservedShares shares{ .slots = 0.25, .kvTokens = 0.25 };
  CHECK(HasRoom({ .slots = 12, .inFlight = 8 }, shares));
  CHECK_FALSE(HasRoom({ .slots = 12, .inFlight = 9 }, shares));
  const EngineRoom large{ .slots = 12,
                          .inFlight = 1,
                          .kvCapacityTokens = 100,
                          .kvTokens = 10,
                          .neededKvTokens = 70 };
  CHECK_FALSE(HasRoom(large, shares));
  // Otherwise a prompt of this size would never be served.
  CHECK(HasRoom({ .slots = 1, .kvCapacityTokens = 100, .neededKvTokens = 90 }, shares));
}

TEST_CASE("Entry: no priority starves beside the reserve", "[entry][reserve]")
{
  // Failure: the engines stay full of urgent calls, so that no call of the other class
  // ever finds room.
  Configuration configuration = TestConfiguration();
  configuration.routes[2].priority = 2;
  const auto shared = std::make_shared<const Configuration>(configuration);
  World world(EntryOptions{ .host = "d0" }, kStart);
  world.backends.Insert(
    "e0", BackendRow{ .entry = EntryFixture::MakeBackendEntry("e0", "assistant"),
                      .inFlight = 24 });
  EngineReserve reserve(world);
  const auto sentOf = [&](size_t aRoute) {
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      RequestRow row{ .call = { .model = ModelDemand{ 500, 100, {} } },
                      .configuration = shared,
                      .route = &shared->routes[aRoute],
                      .service = "assistant" };
      const auto retryAfter = reserve.Check(row);
      CHECK(retryAfter.value_or(100ms) >= 100ms);
      sent += retryAfter ? 0 : 1;
      CHECK(ChooseBackend(world, row, reserve.SharesToLeave(row)));
    }
    return sent;
  };
  CHECK(sentOf(2) == 100); // there are few daemons
  for (int i = 0; i < 20; ++i) {
    world.peers.Insert("d" + std::to_string(i + 1), PeerRow{ .isAlive = true });
  }
  CHECK(sentOf(2) == 10);
  CHECK(sentOf(3) == 100); // urgent
}

TEST_CASE("Entry: a less urgent call without room is refused at once", "[entry][reserve]")
{
  // Guards against a less urgent call that waits at a full engine or gets no retry time.
  EntryFixture entry;
  Configuration configuration = TestConfiguration();
  configuration.routes[2].priority = 1;
  entry.Prepare(std::move(configuration));
  for (int i = 0; i < 20; ++i) {
    PeerDigest digest{ .daemon = "p" + std::to_string(i),
                       .incarnation = 1,
                       .sequence = 1 };
    for (const std::string engine : { "assistant1", "assistant2" }) {
      digest.backends.push_back({ .backend = DigestKey(engine), .inFlight = 1 });
    }
    entry.Post(DigestReceived{ .from = digest.daemon + ":1", .digest = digest });
  }
  const ModelDemand demand{ 500, 100, {} };
  entry.PostCall("plans", "k", demand); // 20 of 24 slots are in use, 10% are reserved
  CHECK(entry.TakeActions<StartAttempt>().size() == 1);
  entry.PostCall("plans", "k", demand);
  entry.TakeActions<StartAttempt>();
  entry.actions.clear();
  entry.PostCall("plans", "k", demand);
  CHECK(entry.TakeActions<StartAttempt>().empty());
  const auto refused = entry.TakeActions<WriteResponse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].status == 503);
  CHECK_FALSE(FindHeader(refused[0].headers, "Retry-After").empty());
  entry.PostCall("questions", "k", demand);
  CHECK(entry.TakeActions<StartAttempt>().size() == 1);
}

} // namespace gooseberrypath::entry
