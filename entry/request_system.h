// Serves calls: checks them, sends them to backends, repeats what may be repeated, passes
// answers on and refuses what cannot be served.

#ifndef ENTRY_REQUEST_SYSTEM_H_
#define ENTRY_REQUEST_SYSTEM_H_

#include <optional>
#include <string>
#include <vector>

#include "entry/call_completion.h"
#include "entry/running_attempts.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class RequestSystem
{
public:
  explicit RequestSystem(World& aWorld)
    : world_(aWorld)
    , end_(aWorld)
    , attempts_(aWorld)
  {
  }

  void Start();

  /// Takes up calls that waited for the first reading of the store.
  void Run();

  void Handle(const CallArrived& aEvent);
  void Handle(const CallerDisconnected& aEvent);
  void Handle(const AttemptNotSent& aEvent);
  void Handle(const AttemptSent& aEvent);
  void Handle(const AttemptAnswered& aEvent);
  void Handle(const StreamStarted& aEvent);
  void Handle(const StreamEvents& aEvent);
  void Handle(const StreamEnded& aEvent);
  void Handle(const AttemptBroken& aEvent);

private:
  /// Tells whether the store has not been read yet and soon will be.
  bool IsStarting() const;

  /// Sends attempts elsewhere that were not sent yet to backends that became unusable.
  void Withdraw();

  /// Checks a call and sends it on, or refuses it.
  void Admit(RequestRef aRequest);

  /// Chooses a backend and starts an attempt, or ends the request.
  void Dispatch(RequestRef aRequest);
  void StartAttemptAt(RequestRef aRequest, const BackendChoice& aChoice);

  /// Sends the call to another backend if it may be repeated, or ends the request.
  /// `aIsProvenNotRun` tells whether the last attempt certainly did not run it.
  void Repeat(RequestRef aRequest, bool aIsProvenNotRun, const std::string& aReason);
  std::optional<std::string> ReasonAgainstRepeat(const RequestRow& aRow,
                                                 bool aIsProvenNotRun);

  void OnDue(ExchangeId aId);
  void OnHedge(ExchangeId aId);

  /// Looks after a stream that may go on elsewhere when its events stop coming.
  void WatchStall(RequestRef aRequest, TimePoint aLastEvent);
  void OnStallCheck(ExchangeId aId, Duration aLimit);
  bool MayRunAgain(const RequestRow& aRow) const;

  World& world_;
  CallCompletion end_;
  RunningAttempts attempts_;
  std::vector<ExchangeId> held_; // calls that wait for the first reading of the store
};

} // namespace gooseberrypath::entry

#endif // ENTRY_REQUEST_SYSTEM_H_
