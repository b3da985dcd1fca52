// Finds model attempts that send no token in time.
//
//   stalls.Watch(row.attempt);
//   for (AttemptId attempt : stalls.TakeStalled()) { ... }

#ifndef GOOSEBERRYPATH_STALL_WATCH_H_
#define GOOSEBERRYPATH_STALL_WATCH_H_

#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

class StallWatch
{
public:
  explicit StallWatch(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Watches a model attempt from now until it ends or stalls. Attempts of plain services
  /// are ignored.
  void Watch(AttemptId aId);

  /// Returns the attempts that stalled since the last call and still run.
  std::vector<AttemptId> TakeStalled();

private:
  const ServiceSpec* ServiceOf(AttemptId aId) const;
  void Check(AttemptId aId);

  World& world_;
  std::vector<AttemptId> stalled_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_STALL_WATCH_H_
