// Watches the attempts in progress: moves a call with a late first event to a clearly
// faster backend, and a stream without events to another engine.
//
//   AttemptWatch watch(world);
//   watch.Start({ .mayMove = ..., .move = ... });
//   watch.ExpectFirstEvent(request, expectedMs);

#ifndef ENTRY_ATTEMPT_WATCH_H_
#define ENTRY_ATTEMPT_WATCH_H_

#include <functional>
#include <string>

#include "entry/running_attempts.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// What the owner of the watch decides and does.
struct AttemptWatchCallbacks
{
  /// Tells whether the call may leave its attempt for another one.
  std::function<bool(const RequestRow&)> mayMove;
  /// Sends a call whose attempt was cancelled for this reason to another backend.
  std::function<void(RequestRef, const std::string&)> move;
};

class AttemptWatch
{
public:
  explicit AttemptWatch(World& aWorld)
    : world_(aWorld)
    , attempts_(aWorld)
  {
  }

  void Start(AttemptWatchCallbacks aCallbacks) { callbacks_ = std::move(aCallbacks); }

  /// Moves the call if its current attempt has no event by then and another backend is
  /// clearly faster.
  void ExpectFirstEvent(RequestRef aRequest, double aExpectedMs);

  /// Moves the stream if no event follows this one within the limit.
  void ExpectNextEvent(RequestRef aRequest, TimePoint aLastEvent);

private:
  void OnHedge(ExchangeId aId);
  void OnStallCheck(ExchangeId aId, Duration aLimit);

  /// Cancels the attempt and sends its call to another backend.
  void Move(const RunningAttempt& aRunning, const std::string& aReason);

  /// Returns whether the call could move to another backend at once. If only a permit is
  /// missing, asks for it.
  bool HasPermitToMove(const RequestRow& aRow, const std::string& aFrom);

  World& world_;
  RunningAttempts attempts_;
  AttemptWatchCallbacks callbacks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_ATTEMPT_WATCH_H_
