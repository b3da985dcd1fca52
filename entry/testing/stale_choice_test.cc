// The load of a plain service with few backends and many daemons: each daemon sends a few
// short calls a second, and what daemons know of each other is several calls old.

#include "entry/backend_choice.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr size_t kDaemons = 74;
constexpr size_t kBackends = 5;
constexpr uint32_t kSlots = 6;
constexpr double kCallsPerSecond = 320; // 64% of what the backends can serve
constexpr Duration kObjective = 300ms;
constexpr Duration kRun = 60s;
// 74 daemons with digests of 600 bytes within 60 KB/s each.
constexpr Duration kDigestInterval = 700ms;

/// A backend that serves calls in the order of their arrival.
struct Server
{
  uint32_t running = 0;
  std::deque<std::pair<size_t, TimePoint>> queue; // daemon and arrival of the call
};

std::string Id(size_t aBackend)
{
  return "b" + std::to_string(aBackend);
}

/// Returns the tables of a daemon that knows all backends and hears all other daemons.
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
    BackendEntry entry = EntryFixture::MakeBackendEntry(Id(i), "booking");
    entry.dataCentre = "c" + std::to_string(i % 3);
    entry.slots = kSlots;
    world->backends.Insert(Id(i), BackendRow{ .entry = entry, .key = DigestKey(Id(i)) });
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

/// Daemons that choose by their own tables, and what the others told them.
class StaleChoice
{
public:
  explicit StaleChoice(uint64_t aSeed)
    : random_(aSeed)
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
    At(TimePoint{ 100s }, [this] { PostCall(); });
    for (size_t i = 0; i < kDaemons; ++i) {
      const double phase = std::uniform_real_distribution(0.0, 1.0)(random_);
      At(TimePoint{ 100s } + Scaled(kDigestInterval, phase), [this, i] { Tell(i); });
    }
    while (!events_.empty() && now_ < TimePoint{ 100s } + kRun) {
      auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    return static_cast<double>(late_) / static_cast<double>(served_);
  }

private:
  struct Timed
  {
    TimePoint at;
    std::function<void()> action;

    bool operator<(const Timed& aOther) const { return at > aOther.at; }
  };

  static Duration Scaled(Duration aTime, double aFactor)
  {
    return std::chrono::duration_cast<Duration>(aTime * aFactor);
  }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, std::move(aAction) });
  }

  void PostCall()
  {
    const Duration wait =
      Scaled(1s, std::exponential_distribution(kCallsPerSecond)(random_));
    At(now_ + wait, [this] { PostCall(); });
    const size_t daemon = random_() % kDaemons;
    World& world = *worlds_[daemon];
    world.timers.AdvanceTo(now_);
    const auto choice = ChooseBackend(world, row_);
    world.backends.Find(choice->id)->inFlight += 1;
    const size_t backend = choice->id.back() - '0';
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
    At(now_ + Scaled(60ms, work), [this, aBackend, daemon = daemon, arrived = arrived] {
      servers_[aBackend].running -= 1;
      worlds_[daemon]->backends.Find(Id(aBackend))->inFlight -= 1;
      served_ += 1;
      late_ += now_ - arrived > kObjective ? 1 : 0;
      StartNext(aBackend);
    });
  }

  /// The others take in what the daemon has running now.
  void Tell(size_t aDaemon)
  {
    for (size_t i = 0; i < kBackends; ++i) {
      const BackendRow& row = *worlds_[aDaemon]->backends.Find(Id(i));
      const int64_t change = static_cast<int64_t>(row.inFlight) - told_[aDaemon][i];
      told_[aDaemon][i] = row.inFlight;
      for (size_t other = 0; other < kDaemons; ++other) {
        if (other != aDaemon) {
          worlds_[other]->peerUse[row.key].inFlight += change;
        }
      }
    }
    At(now_ + kDigestInterval, [this, aDaemon] { Tell(aDaemon); });
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<World>> worlds_;
  RequestRow row_;
  std::array<Server, kBackends> servers_{};
  std::array<std::array<int64_t, kBackends>, kDaemons> told_{};
  std::priority_queue<Timed> events_;
  TimePoint now_{ 100s };
  size_t served_ = 0;
  size_t late_ = 0;
};

} // namespace

TEST_CASE("Entry: many daemons with old figures do not crowd one backend",
          "[entry][choice]")
{
  // Guards against daemons that all take the backend which looked best to all of them.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const double late = StaleChoice(seed).LateShare();
    INFO("seed " << seed);
    CHECK(late < 0.01);
  }
}

TEST_CASE("Entry: a small sample leaves out backends that fail", "[entry][choice]")
{
  // Guards against a sample of two that fail while three others could serve.
  const auto configuration = std::make_shared<const Configuration>(TestConfiguration());
  const auto world = MakeWorld(0, configuration, 1);
  for (const size_t failing : { 0, 1 }) {
    for (int i = 0; i < 6; ++i) {
      world->backends.Find(Id(failing))->health.RecordFailure(world->Now());
    }
  }
  const RequestRow row = BookingRow(configuration);
  for (int i = 0; i < 200; ++i) {
    const std::string id = ChooseBackend(*world, row)->id;
    CHECK(id != Id(0));
    CHECK(id != Id(1));
  }
}

} // namespace gooseberrypath::entry
