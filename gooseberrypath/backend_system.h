// Keeps the tables of backends and hosts.

#ifndef GOOSEBERRYPATH_BACKEND_SYSTEM_H_
#define GOOSEBERRYPATH_BACKEND_SYSTEM_H_

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Tells whether new work may be sent to the backend now.
bool IsUsable(const World& aWorld, const BackendRow& aRow);

/// Keeps the tables of backends and hosts.
class BackendSystem
{
public:
  explicit BackendSystem(World& aWorld)
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

#endif // GOOSEBERRYPATH_BACKEND_SYSTEM_H_
