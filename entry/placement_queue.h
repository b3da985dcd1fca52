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

#include <cstdint>
#include <optional>
#include <vector>

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
  /// nothing if the request waits. If it cannot start in time, it is not added, and the
  /// time after which it should be sent again is returned.
  std::optional<Duration> Add(TimePoint aNow, const QueuedPlacement& aRequest,
                              double aSlotsPerSecond);

  /// Removes the request that starts next and returns its id, or nothing if none waits.
  std::optional<uint64_t> PopNext(TimePoint aNow);

  /// Removes the requests whose latest start has passed and returns them.
  std::vector<QueueRefusal> TakeExpired(TimePoint aNow);

  /// Removes a request, for example one whose caller left. Returns whether it waited.
  bool Remove(uint64_t aId);

  /// Counts a request of the team that got a slot without waiting.
  void RecordService(TimePoint aNow, uint32_t aPriority, uint32_t aTeam);

  bool IsEmpty() const;
  size_t Size() const;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PLACEMENT_QUEUE_H_
