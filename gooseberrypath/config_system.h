// Applies configuration records and handles operators' requests.

#ifndef GOOSEBERRYPATH_CONFIG_SYSTEM_H_
#define GOOSEBERRYPATH_CONFIG_SYSTEM_H_

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Applies configuration records and handles operators' requests.
class ConfigSystem
{
public:
  explicit ConfigSystem(World& aWorld)
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

#endif // GOOSEBERRYPATH_CONFIG_SYSTEM_H_
