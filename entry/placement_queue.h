// The placement requests of one service that wait for a free slot, in the order in which
// they get one: priorities share the slots by weight, teams share a priority fairly, and
// the calls of a team start in the order of their latest useful start.
//
//   PlacementQueue queue({ .seed = 1 });
//   const auto retryAfter = queue.Add(now, request, slotsPerSecond);
//   if (const auto next = queue.PopNext(now)) { ... } // a slot is free
//   for (const QueueRefusal& refusal : queue.TakeExpired(now)) { ... }

#ifndef ENTRY_PLACEMENT_QUEUE_H_
#define ENTRY_PLACEMENT_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "entry/smoothed_rate.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

struct PlacementQueueOptions
{
  size_t maxEntries = 1024;
  uint64_t seed = 1; // of the jitter of retry times
};

/// A placement request that may wait for a slot.
struct QueuedPlacement
{
  uint64_t id = 0;       // chosen by the owner of the queue, unique in it
  uint32_t priority = 0; // 0 is the most urgent
  uint32_t team = 0;     // hash of the team's name; 0: no team
  TimePoint arrived{};
  TimePoint latestStart{}; // a later start does not help the caller
};

/// A waiting request that can no longer start in time.
struct QueueRefusal
{
  uint64_t id = 0;
  Duration retryAfter{};
};

class PlacementQueue
{
public:
  explicit PlacementQueue(PlacementQueueOptions aOptions);

  /// Adds a request. `aSlotsPerSecond` is the rate at which slots become free. Returns
  /// nothing if the request waits. If it cannot start in time, or the queue is full, it
  /// is not added, and the time after which it should be sent again is returned.
  std::optional<Duration> Add(TimePoint aNow, const QueuedPlacement& aRequest,
                              double aSlotsPerSecond);

  /// Removes the request that starts next and returns its id, or nothing if none waits.
  std::optional<uint64_t> PopNext(TimePoint aNow);

  /// Removes the requests whose latest start has passed and returns them, with those that
  /// had to leave a full queue.
  std::vector<QueueRefusal> TakeExpired(TimePoint aNow);

  /// Removes a request, for example one whose caller left. Returns whether it waited.
  bool Remove(uint64_t aId);

  /// Counts a request of the team that got a slot without waiting.
  void RecordService(TimePoint aNow, uint32_t aPriority, uint32_t aTeam);

  bool IsEmpty() const;
  size_t Size() const;

private:
  /// Priorities with a larger number count as the last one.
  static constexpr size_t kPriorities = 10;

  /// The latest start of a request and the number of its arrival.
  using StartKey = std::pair<TimePoint, uint64_t>;

  /// The requests of one team with one priority.
  struct TeamTurn
  {
    std::map<StartKey, uint64_t> waiting; // ids
    double next = 0;                      // virtual time of the team's next turn
    TimePoint toldUntil{};                // latest retry time that was returned
  };

  /// The requests of one priority.
  struct PriorityTurn
  {
    std::map<uint32_t, TeamTurn> teams;
    size_t waiting = 0;
    double next = 0;    // virtual time of the priority's next turn
    double current = 0; // virtual time of the last turn of a team
    SmoothedRate arrivals;
  };

  /// Where a waiting request is.
  struct Place
  {
    size_t priority = 0;
    uint32_t team = 0;
    StartKey key;
  };

  using Weights = std::array<double, kPriorities>;

  /// Returns the weights of the priorities that have or will have requests until the
  /// time, and of `aPriority`. The others have 0.
  Weights WeightsUntil(TimePoint aNow, size_t aPriority, TimePoint aUntil) const;

  /// Estimates the seconds until a request of the team starts.
  double EstimateWait(TimePoint aNow, size_t aPriority, uint32_t aTeam,
                      TimePoint aLatestStart, double aSlotsPerSecond) const;

  /// Returns the randomised time after which a refused request should be sent again.
  /// `aSeconds` is the time after which it could start.
  Duration RetryAfter(TimePoint aNow, size_t aPriority, uint32_t aTeam, double aSeconds);

  /// Makes room in a full queue by refusing a waiting request that is less urgent, or one
  /// of a team that has more requests waiting. Returns false if there is none.
  bool Displace(TimePoint aNow, size_t aPriority, uint32_t aTeam);

  /// Refuses a waiting request.
  void Refuse(TimePoint aNow, uint64_t aId);

  void RefuseExpired(TimePoint aNow);

  /// Advances the turns for a request that gets a slot.
  void CountService(TimePoint aNow, size_t aPriority, uint32_t aTeam);

  /// Removes the teams that have no request waiting and whose last turn has no effect
  /// any more.
  void RemoveIdleTeams(TimePoint aNow, PriorityTurn& aPriority) const;

  PlacementQueueOptions options_;
  std::array<PriorityTurn, kPriorities> priorities_;
  double current_ = 0; // virtual time of the last turn of a priority
  std::unordered_map<uint64_t, Place> places_;
  std::vector<QueueRefusal> refusals_; // not taken yet
  uint64_t arrivals_ = 0;
  double slotsPerSecond_ = 0; // as of the last request
  std::mt19937_64 random_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PLACEMENT_QUEUE_H_
