// Readiness and the planned stop. The daemon becomes ready when the configuration and the
// fleet have been read. When a stop is requested, it becomes not ready, serves calls
// until the load balancer has removed it, then refuses new calls, closes idle connections
// and exits when the calls in progress have ended.
//
//   StopSystem stop(world);
//   stop.Handle(StopRequested{});
//   stop.Run(); // emits ExitProcess at the end

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
  /// Returns whether callers may still be connected and their grace period, which starts
  /// at `aSince`, has not ended.
  bool IsWaitingForCallers(TimePoint aSince) const;
  void Exit(const std::string& aReason);

  World& world_;
  std::optional<TimePoint> closingSince_;    // since when idle connections are closed
  std::optional<TimePoint> acceptStoppedAt_; // since when no connection is accepted
  bool hasCallers_ = true;                   // callers may be connected
  bool hasExited_ = false;
};

/// Returns whether a planned stop has reached the phase in which new calls are refused,
/// because they might not end before the process exits.
bool RefusesNewCalls(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_STOP_SYSTEM_H_
