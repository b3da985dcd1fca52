// Tests of the order in which waiting placement requests get slots: shares of priorities
// and teams, refusals of requests that cannot start in time, and the bound.

#include <catch2/catch.hpp>

#include <map>

#include "entry/placement_queue.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };
constexpr double kSlotsPerSecond = 200;

/// Calls of one team with one priority. A refused call of a team that is not patient is
/// sent again at once, others after the time that was returned.
struct Load
{
  uint32_t priority = 0;
  uint32_t team = 0;
  double perSecond = 0;
  Duration timeToStart = 200ms;
  bool isRepeated = false;
  bool isPatient = true;
};

struct Result
{
  double sent = 0; // first sends
  double started = 0;
  double expired = 0;
  double fewestInSecond = 1e9; // starts
};

/// Runs loads for some seconds through a queue with slots that become free evenly.
std::vector<Result> RunLoads(const std::vector<Load>& aLoads, int aSeconds)
{
  PlacementQueue queue({ .seed = 5 });
  std::mt19937_64 random(7);
  std::vector<Result> results(aLoads.size());
  std::map<uint64_t, size_t> loadOf;
  std::multimap<TimePoint, size_t> returns;
  uint64_t lastId = 0;
  double freeSlots = 0;
  const auto send = [&](TimePoint aNow, size_t aLoad) {
    const Load& load = aLoads[aLoad];
    const auto retryAfter = queue.Add(aNow,
                                      { .id = ++lastId,
                                        .priority = load.priority,
                                        .team = load.team,
                                        .arrived = aNow,
                                        .latestStart = aNow + load.timeToStart },
                                      kSlotsPerSecond);
    loadOf[lastId] = aLoad;
    if (retryAfter && load.isRepeated) {
      returns.emplace(aNow + (load.isPatient ? *retryAfter : Duration(1ms)), aLoad);
    }
  };
  for (int second = 0; second < aSeconds; ++second) {
    std::vector<double> starts(aLoads.size());
    for (TimePoint now = kStart + second * 1s; now < kStart + (second + 1) * 1s;
         now += 1ms) {
      for (size_t i = 0; i < aLoads.size(); ++i) {
        const int arrivals =
          std::poisson_distribution<int>(aLoads[i].perSecond / 1000)(random);
        results[i].sent += arrivals;
        for (int call = 0; call < arrivals; ++call) {
          send(now, i);
        }
      }
      while (!returns.empty() && returns.begin()->first <= now) {
        const size_t load = returns.begin()->second;
        returns.erase(returns.begin());
        send(now, load);
      }
      for (freeSlots += kSlotsPerSecond / 1000; freeSlots >= 1; freeSlots -= 1) {
        if (const auto id = queue.PopNext(now)) {
          starts[loadOf.at(*id)] += 1;
        }
      }
      for (const QueueRefusal& refusal : queue.TakeExpired(now)) {
        results[loadOf.at(refusal.id)].expired += 1;
      }
    }
    for (size_t i = 0; i < aLoads.size(); ++i) {
      results[i].started += starts[i];
      results[i].fewestInSecond = std::min(results[i].fewestInSecond, starts[i]);
    }
  }
  return results;
}

QueuedPlacement RequestOf(uint64_t aId, uint32_t aPriority, uint32_t aTeam)
{
  return { .id = aId,
           .priority = aPriority,
           .team = aTeam,
           .arrived = kStart,
           .latestStart = kStart + 200ms };
}

} // namespace

TEST_CASE("A surge of low priority does not delay urgent requests beyond their time",
          "[placement_queue]")
{
  // 3.2 times the slots; the urgent requests alone need a fifth of them.
  const auto results =
    RunLoads({ { .priority = 0, .team = 1, .perSecond = 40, .timeToStart = 100ms },
               { .priority = 3, .team = 2, .perSecond = 600, .timeToStart = 400ms } },
             10);
  CHECK(results[0].started >= 0.99 * results[0].sent);
  CHECK(results[1].started >= 0.95 * (10 * kSlotsPerSecond - results[0].started));
  // A request that was let wait and expires was refused later than it could have been.
  CHECK(results[0].expired + results[1].expired <= 0.02 * results[1].sent);
}

TEST_CASE("The lowest priority gets its part of each second", "[placement_queue]")
{
  const auto results = RunLoads({ { .priority = 0, .team = 1, .perSecond = 600 },
                                  { .priority = 1, .team = 2, .perSecond = 600 },
                                  { .priority = 2, .team = 3, .perSecond = 600 },
                                  { .priority = 7, .team = 4, .perSecond = 600 } },
                                10);
  // The weights are 8:4:2:1.
  CHECK(results[3].fewestInSecond >= 0.8 * kSlotsPerSecond / 15);
  CHECK(results[2].started == Approx(2 * results[3].started).epsilon(0.1));
  CHECK(results[1].started == Approx(4 * results[3].started).epsilon(0.1));
  CHECK(results[0].started == Approx(8 * results[3].started).epsilon(0.1));
}

TEST_CASE("Teams of a priority share its slots fairly", "[placement_queue]")
{
  const auto results = RunLoads({ { .priority = 1, .team = 1, .perSecond = 1000 },
                                  { .priority = 1, .team = 2, .perSecond = 30 },
                                  { .priority = 1, .team = 3, .perSecond = 300 } },
                                10);
  CHECK(results[1].started >= 0.98 * results[1].sent);
  CHECK(results[0].started == Approx(results[2].started).epsilon(0.1));
}

TEST_CASE("A team that was served without waiting does not lose its later turns",
          "[placement_queue]")
{
  PlacementQueue queue({ .seed = 1 });
  for (int i = 0; i < 1000; ++i) {
    queue.RecordService(kStart, 1, 1);
  }
  for (uint64_t id = 1; id <= 8; ++id) {
    REQUIRE_FALSE(queue.Add(kStart, RequestOf(id, 1, id % 2 + 1), kSlotsPerSecond));
  }
  int ofTeam1 = 0;
  for (int i = 0; i < 4; ++i) {
    ofTeam1 += queue.PopNext(kStart).value() % 2 == 0 ? 1 : 0;
  }
  CHECK(ofTeam1 >= 1);
}

TEST_CASE("A request that cannot start in time is refused at once, an urgent one with an "
          "earlier retry time",
          "[placement_queue]")
{
  std::map<uint32_t, std::vector<Duration>> times;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    PlacementQueue queue({ .seed = seed });
    uint64_t id = 0;
    for (const uint32_t priority : { 0, 3 }) {
      std::optional<Duration> retryAfter;
      while (!retryAfter) {
        REQUIRE(queue.Size() <= 60); // 200 ms are enough for 40 requests of a priority
        retryAfter =
          queue.Add(kStart, RequestOf(++id, priority, priority), kSlotsPerSecond);
      }
      CHECK_FALSE(queue.Remove(id));
      times[priority].push_back(*retryAfter);
    }
  }
  CHECK(*std::ranges::max_element(times[0]) < *std::ranges::min_element(times[3]));
  CHECK(*std::ranges::max_element(times[0]) > *std::ranges::min_element(times[0]) + 5ms);
}

TEST_CASE("A client that sends again at once gains nothing", "[placement_queue]")
{
  const Load patient{ .priority = 1, .team = 1, .perSecond = 200, .isRepeated = true };
  Load impatient = patient;
  impatient.team = 2;
  impatient.isPatient = false;
  const auto results = RunLoads({ patient, impatient }, 10);
  CHECK(results[1].started <= 1.05 * results[0].started);

  PlacementQueue queue({ .seed = 1 });
  uint64_t id = 0;
  while (!queue.Add(kStart, RequestOf(++id, 1, 1), kSlotsPerSecond)) {
  }
  // The jitter is a fifth, so a later mean shows after some sends.
  const Duration early =
    queue.Add(kStart, RequestOf(++id, 1, 1), kSlotsPerSecond).value();
  Duration late{};
  for (int i = 0; i < 50; ++i) {
    late = queue.Add(kStart, RequestOf(++id, 1, 1), kSlotsPerSecond).value();
  }
  CHECK(late > early);
}

TEST_CASE("The entries are bounded, and an urgent request displaces the least urgent one",
          "[placement_queue]")
{
  constexpr double kManySlots = 1e6;
  PlacementQueue queue({ .maxEntries = 4, .seed = 1 });
  for (uint64_t id = 1; id <= 4; ++id) {
    REQUIRE_FALSE(queue.Add(kStart, RequestOf(id, 2, 1), kManySlots));
  }
  CHECK(queue.Add(kStart, RequestOf(5, 2, 1), kManySlots));
  CHECK(queue.Add(kStart, RequestOf(6, 3, 2), kManySlots));
  CHECK_FALSE(queue.Add(kStart, RequestOf(7, 2, 2), kManySlots)); // of a smaller team
  CHECK_FALSE(queue.Add(kStart, RequestOf(8, 0, 1), kManySlots));
  CHECK(queue.Size() == 4);
  const auto refusals = queue.TakeExpired(kStart);
  REQUIRE(refusals.size() == 2);
  CHECK(refusals[0].id == 4);
  CHECK(refusals[1].id == 3);
  CHECK(queue.PopNext(kStart) == 8);
  CHECK(queue.TakeExpired(kStart + 201ms).size() == 3);
  CHECK(queue.IsEmpty());
  CHECK_FALSE(queue.PopNext(kStart + 201ms));
}

} // namespace gooseberrypath::entry
