// Bounds the age of what this daemon knows of the fleet, whatever the polls and digests
// of the daemons usually achieve: if nobody has confirmed the fleet lately, this daemon
// reads it. Daemons tell each other as of when they know it, so that one read serves all
// that have read as far.
//
//   FleetWatch watch(world);
//   watch.Handle(DigestReceived{ ... });

#ifndef ENTRY_FLEET_WATCH_H_
#define ENTRY_FLEET_WATCH_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

class FleetWatch
{
public:
  explicit FleetWatch(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start();
  void Run() {}

  /// Takes over as of when the peer knows the fleet, unless it knows of later changes.
  void Handle(const DigestReceived& aEvent);

private:
  /// Returns when the fleet must be read, if it is not confirmed before.
  TimePoint CheckDue() const;

  /// Wakes this system when the check is due.
  void Schedule();
  void CheckIfDue();

  /// Logs when the fleet is unconfirmed for too long, and the end of that.
  void Report();

  World& world_;
  TimePoint lastCheck_{};
  Duration lateTurn_{};     // of this daemon, if many take their turn before it
  bool isReported_ = false; // the log says that backends may have left unnoticed
};

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_WATCH_H_
