// Accepts requests, chooses backends, runs attempts and answers callers.

#ifndef GOOSEBERRYPATH_DISPATCH_SYSTEM_H_
#define GOOSEBERRYPATH_DISPATCH_SYSTEM_H_

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Accepts requests, chooses backends, runs attempts and answers callers.
class DispatchSystem
{
public:
  explicit DispatchSystem(World& aWorld)
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

#endif // GOOSEBERRYPATH_DISPATCH_SYSTEM_H_
