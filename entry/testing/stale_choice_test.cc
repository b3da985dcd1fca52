// Simulates a plain service with few backends and many daemons: each daemon sends a few
// short calls per second, so the load reported by the others is several calls old.

#include "entry/backend_choice.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "entry/load_gossip.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr size_t kDaemons = 74;
constexpr size_t kBackends = 5;
constexpr uint32_t kSlots = 6;
constexpr double kCallsPerSecond = 320; // 64% of the capacity of the backends
constexpr Duration kObjective = 300ms;
constexpr Duration kRun = 60s;
// The interval at which 74 daemons with digests of 600 bytes stay within 60 KB/s each.
constexpr Duration kDigestInterval = 700ms;

/// A backend that serves calls in the order of their arrival.
struct Server
{
  uint32_t running = 0;
  std::deque<std::pair<size_t, TimePoint>> queue; // daemon and arrival of the call
};

std::string BackendId(size_t aBackend)
{
  return "b" + std::to_string(aBackend);
}

/// Returns the state of a daemon that knows all backends and whose peers are all live.
std::unique_ptr<World> MakeWorld(size_t aDaemon, ConfigurationPtr aConfiguration,
                                 uint64_t aSeed)
{
  auto world =
    std::make_unique<World>(EntryOptions{ .host = "d" + std::to_string(aDaemon),
                                          .dataCentre = "c" + std::to_string(aDaemon % 3),
                                          .seed = aSeed },
                            TimePoint{ 100s });
  world->configuration = std::move(aConfiguration);
  for (size_t i = 0; i < kBackends; ++i) {
    BackendEntry entry = EntryFixture::MakeBackendEntry(BackendId(i), "booking");
    entry.dataCentre = "c" + std::to_string(i % 3);
    entry.slots = kSlots;
    world->backends.Insert(BackendId(i),
                           BackendRow{ .entry = entry, .key = DigestKey(BackendId(i)) });
  }
  for (size_t i = 0; i < kDaemons; ++i) {
    if (i != aDaemon) {
      world->peers.Insert("d" + std::to_string(i), PeerRow{ .isAlive = true });
    }
  }
  return world;
}

RequestRow BookingRow(const ConfigurationPtr& aConfiguration)
{
  return { .configuration = aConfiguration,
           .route = &aConfiguration->routes.front(),
           .service = "booking" };
}

/// Simulates daemons that choose backends from their own calls and the load reported by
/// the others.
class StaleLoadSimulation
{
public:
  explicit StaleLoadSimulation(uint64_t aSeed, bool aHasReports = false)
    : random_(aSeed)
    , hasReports_(aHasReports)
  {
    auto configuration = std::make_shared<const Configuration>(TestConfiguration());
    for (size_t i = 0; i < kDaemons; ++i) {
      worlds_.push_back(MakeWorld(i, configuration, random_()));
    }
    row_ = BookingRow(configuration);
  }

  /// Returns the share of calls that were answered later than the objective.
  double LateShare()
  {
    Run();
    return static_cast<double>(late_) / static_cast<double>(served_);
  }

  /// Returns the share of calls that went to a backend with 3 or more calls above the
  /// least loaded one.
  double MisplacedShare()
  {
    Run();
    return static_cast<double>(misplaced_) / static_cast<double>(served_);
  }

private:
  struct TimedEvent
  {
    TimePoint at;
    std::function<void()> action;

    bool operator<(const TimedEvent& aOther) const { return at > aOther.at; }
  };

  void Run()
  {
    Schedule(TimePoint{ 100s }, [this] { PostCall(); });
    for (size_t i = 0; i < kDaemons; ++i) {
      const double phase = std::uniform_real_distribution(0.0, 1.0)(random_);
      Schedule(TimePoint{ 100s } + Scale(kDigestInterval, phase),
               [this, i] { SendDigest(i); });
    }
    while (!events_.empty() && now_ < TimePoint{ 100s } + kRun) {
      auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
  }

  size_t CallsAt(size_t aBackend) const
  {
    return servers_[aBackend].running + servers_[aBackend].queue.size();
  }

  static Duration Scale(Duration aTime, double aFactor)
  {
    return std::chrono::duration_cast<Duration>(aTime * aFactor);
  }

  void Schedule(TimePoint aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, std::move(aAction) });
  }

  void PostCall()
  {
    const Duration wait =
      Scale(1s, std::exponential_distribution(kCallsPerSecond)(random_));
    Schedule(now_ + wait, [this] { PostCall(); });
    const size_t daemon = random_() % kDaemons;
    World& world = *worlds_[daemon];
    world.timers.AdvanceTo(now_);
    const auto choice = ChooseBackend(world, row_);
    BackendRow& chosen = *world.backends.Find(choice->id);
    chosen.inFlight += 1;
    chosen.reportedLoad.CountCalls(now_, 1);
    const size_t backend = choice->id.back() - '0';
    size_t least = CallsAt(0);
    for (size_t i = 1; i < kBackends; ++i) {
      least = std::min(least, CallsAt(i));
    }
    misplaced_ += CallsAt(backend) >= least + 3 ? 1 : 0;
    servers_[backend].queue.emplace_back(daemon, now_);
    StartNext(backend);
  }

  void StartNext(size_t aBackend)
  {
    Server& server = servers_[aBackend];
    if (server.running >= kSlots || server.queue.empty()) {
      return;
    }
    const auto [daemon, arrived] = server.queue.front();
    server.queue.pop_front();
    server.running += 1;
    const double work = std::uniform_real_distribution(0.5, 1.5)(random_);
    Schedule(now_ + Scale(60ms, work), [this, aBackend, daemon = daemon,
                                        arrived = arrived] {
      BackendRow& row = *worlds_[daemon]->backends.Find(BackendId(aBackend));
      if (hasReports_) {
        const auto waiting = static_cast<uint32_t>(servers_[aBackend].queue.size());
        row.reportedLoad.Apply(
          { .running = servers_[aBackend].running, .waiting = waiting, .slots = kSlots },
          { .receivedAt = now_, .isOwn = true });
      }
      servers_[aBackend].running -= 1;
      row.inFlight -= 1;
      row.reportedLoad.CountCalls(now_, -1);
      served_ += 1;
      late_ += now_ - arrived > kObjective ? 1 : 0;
      StartNext(aBackend);
    });
  }

  /// Adds the daemon's change in running calls to the state of the other daemons.
  void SendDigest(size_t aDaemon)
  {
    for (size_t i = 0; i < kBackends; ++i) {
      const BackendRow& row = *worlds_[aDaemon]->backends.Find(BackendId(i));
      const int64_t change = static_cast<int64_t>(row.inFlight) - reported_[aDaemon][i];
      reported_[aDaemon][i] = row.inFlight;
      for (size_t other = 0; other < kDaemons; ++other) {
        if (other != aDaemon) {
          worlds_[other]->peerUse[row.key].inFlight += change;
        }
      }
    }
    worlds_[aDaemon]->timers.AdvanceTo(now_);
    const auto loads = LoadsToGossip(*worlds_[aDaemon], now_ - kDigestInterval);
    for (size_t other = 0; other < kDaemons; ++other) {
      if (other != aDaemon) {
        worlds_[other]->timers.AdvanceTo(now_);
        ApplyGossipedLoads(*worlds_[other], loads);
      }
    }
    Schedule(now_ + kDigestInterval, [this, aDaemon] { SendDigest(aDaemon); });
  }

  std::mt19937_64 random_;
  bool hasReports_ = false;
  std::vector<std::unique_ptr<World>> worlds_;
  RequestRow row_;
  std::array<Server, kBackends> servers_{};
  std::array<std::array<int64_t, kBackends>, kDaemons> reported_{};
  std::priority_queue<TimedEvent> events_;
  TimePoint now_{ 100s };
  size_t served_ = 0;
  size_t late_ = 0;
  size_t misplaced_ = 0;
};

} // namespace

TEST_CASE("Entry: many daemons with outdated load figures do not overload one backend",
          "[entry][choice]")
{
  // Guards against daemons that all choose the same backend because it has the lowest
  // reported load.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const double late = StaleLoadSimulation(seed).LateShare();
    INFO("seed " << seed);
    CHECK(late < 0.01);
  }
}

TEST_CASE("Entry: load reports lead fewer calls to a busy backend",
          "[entry][choice][load]")
{
  // Load: 74 daemons, 320 calls a second at 5 backends with 6 slots. Guards against
  // reports that make the daemons choose alike, which is worse than no reports.
  const double without = StaleLoadSimulation(1).MisplacedShare();
  const double with = StaleLoadSimulation(1, true).MisplacedShare();
  INFO("without " << without << ", with " << with);
  CHECK(with < without);
}

TEST_CASE("Entry: a small sample excludes failing backends", "[entry][choice]")
{
  // Guards against a sample that consists of two failing backends while three others
  // could serve.
  const auto configuration = std::make_shared<const Configuration>(TestConfiguration());
  const auto world = MakeWorld(0, configuration, 1);
  for (const size_t failing : { 0, 1 }) {
    for (int i = 0; i < 6; ++i) {
      world->backends.Find(BackendId(failing))->health.RecordFailure(world->Now());
    }
  }
  const RequestRow row = BookingRow(configuration);
  for (int i = 0; i < 200; ++i) {
    const std::string id = ChooseBackend(*world, row)->id;
    CHECK(id != BackendId(0));
    CHECK(id != BackendId(1));
  }
}

} // namespace gooseberrypath::entry
