// Serves calls: validates them, sends them to backends, retries failed attempts, forwards
// responses and refuses calls that cannot be served.
//
//   RequestSystem requests(world);
//   requests.Handle(CallArrived{ exchange, call });
//   requests.Handle(AttemptAnswered{ attempt, head, body });

#ifndef ENTRY_REQUEST_SYSTEM_H_
#define ENTRY_REQUEST_SYSTEM_H_

#include <optional>
#include <string>
#include <vector>

#include "entry/attempt_watch.h"
#include "entry/call_completion.h"
#include "entry/part_guard.h"
#include "entry/retry_decision.h"
#include "entry/running_attempts.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class RequestSystem
{
public:
  explicit RequestSystem(World& aWorld)
    : world_(aWorld)
    , completion_(aWorld)
    , attempts_(aWorld)
    , watch_(aWorld)
    , parts_(aWorld)
    , retries_(aWorld)
  {
  }

  void Start();

  /// Admits the calls that waited for the first read of the store, withdraws unsent
  /// attempts, and dispatches calls that waited for permits or placements.
  void Run();

  void Handle(const CallArrived& aEvent);
  void Handle(const CallerDisconnected& aEvent);
  void Handle(const AttemptNotSent& aEvent);
  void Handle(const AttemptWithdrawn& aEvent);
  void Handle(const AttemptSent& aEvent);
  void Handle(const AttemptAnswered& aEvent);
  void Handle(const StreamStarted& aEvent);
  void Handle(const StreamEvents& aEvent);
  void Handle(const StreamEnded& aEvent);
  void Handle(const AttemptBroken& aEvent);

private:
  /// Returns whether the first read of the store is still pending shortly after the
  /// start.
  bool IsStarting() const;

  /// Withdraws attempts at backends that became unusable, unless they were sent. They
  /// move to other backends.
  void WithdrawUnsentAttempts();

  /// Ends or redirects the attempts whose prompts have a part that was blocked meanwhile.
  void StopBlockedAttempts();

  /// Refuses the call if a part of its prompt is blocked. Returns whether it did.
  bool RefuseBlocked(RequestRef aRequest);

  /// Validates a call, charges the quota and dispatches the call, or refuses it.
  void Admit(RequestRef aRequest);

  /// Selects a backend and starts an attempt, or ends the request.
  void Dispatch(RequestRef aRequest);
  void StartAttemptAt(RequestRef aRequest, const BackendChoice& aChoice);

  /// Refuses a call that no backend can serve now.
  void RefuseUnserved(RequestRef aRequest);

  /// Takes a permit of the backend if it has a limit. Without one, lets the call wait for
  /// it and returns false.
  bool TakePermit(RequestRef aRequest, BackendRow& aBackend);

  /// Dispatches the calls again whose permits have come or were denied.
  void DispatchAwaitingPermit();

  /// Lets the call wait for the placer of its service. Returns false if there is none.
  bool AskForPlacement(RequestRef aRequest);

  /// Starts or refuses the calls of which their placers decided. Those without a usable
  /// placement choose their backends here.
  void DispatchPlaced();

  /// Starts the call at the backend that the placer named. Returns false if that cannot
  /// be used now.
  bool StartPlaced(RequestRef aRequest);

  /// Sends the call to another backend if a retry is allowed, or ends the request.
  /// `aIsKnownNotExecuted` is true if the last attempt certainly did not execute the
  /// call.
  void Retry(RequestRef aRequest, bool aIsKnownNotExecuted, const std::string& aReason);

  /// Ends a request at its deadline. An attempt that may not have been sent is withdrawn
  /// first, because the response depends on it.
  void OnDeadline(ExchangeId aId);

  /// Ends a request whose deadline has passed and that has no attempt in progress.
  void EndAtDeadline(RequestRef aRequest);

  World& world_;
  CallCompletion completion_;
  RunningAttempts attempts_;
  AttemptWatch watch_;
  PartGuard parts_;
  RetryDecision retries_;
  std::vector<ExchangeId> waitingCalls_; // until the store has been read
  std::vector<ExchangeId> awaitingPermit_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_REQUEST_SYSTEM_H_
