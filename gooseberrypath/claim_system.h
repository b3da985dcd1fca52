// Runs non-idempotent actions at most once, by claims in the log.

#ifndef GOOSEBERRYPATH_CLAIM_SYSTEM_H_
#define GOOSEBERRYPATH_CLAIM_SYSTEM_H_

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Runs non-idempotent actions at most once, by claims in the log.
class ClaimSystem
{
public:
  explicit ClaimSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Subscribes to timers. Called once, before the first event.
  void Start();

  /// Runs over the tables once per tick.
  void Run();

private:
  World& world_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLAIM_SYSTEM_H_
