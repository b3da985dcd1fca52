// Gossips with the other daemons and keeps the membership table.

#ifndef GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_
#define GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Gossips with the other daemons and keeps the membership table.
class MembershipSystem
{
public:
  explicit MembershipSystem(World& aWorld)
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

#endif // GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_
