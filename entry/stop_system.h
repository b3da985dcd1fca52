// Readiness and the planned stop: the daemon becomes not ready, serves on until the
// balancer has noticed, closes idle connections and exits when its calls have ended.

#ifndef ENTRY_STOP_SYSTEM_H_
#define ENTRY_STOP_SYSTEM_H_

#include <optional>
#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

class StopSystem
{
public:
  explicit StopSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start() {}
  void Run();
  void Handle(const StopRequested& aEvent);
  void Handle(const AllCallersDisconnected& aEvent);

private:
  /// Waits until no caller is connected, for a limited time from this moment on.
  bool IsWaitingForCallers(TimePoint aSince) const;
  void Exit(const std::string& aReason);

  World& world_;
  std::optional<TimePoint> closingSince_;  // idle connections are closed
  std::optional<TimePoint> acceptedUntil_; // no connection is accepted any more
  bool hasCallers_ = true;                 // connections may be open
  bool hasExited_ = false;
};

/// Tells whether a planned stop is so far that new calls are refused: those that come now
/// may not end before the process does.
bool RefusesNewCalls(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_STOP_SYSTEM_H_
