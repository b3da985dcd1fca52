// Accepts requests, chooses backends, runs attempts and answers callers.
//
// A request goes through the stages of RequestStage. A non-idempotent action waits for
// ClaimSystem before its first attempt and has at most one attempt that may have sent a
// byte. A model request that loses its attempt continues on another backend after the
// tokens that were received. When the deadline passes, the caller is answered at once; an
// action that may still run is kept until its outcome is known and recorded.

#ifndef GOOSEBERRYPATH_DISPATCH_SYSTEM_H_
#define GOOSEBERRYPATH_DISPATCH_SYSTEM_H_

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/attempt_runner.h"
#include "gooseberrypath/backend_chooser.h"
#include "gooseberrypath/reply_writer.h"
#include "gooseberrypath/stall_watch.h"
#include "gooseberrypath/stream_mover.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// The system, with the way in which it chooses a backend.
template<BackendChooser Chooser>
class BasicDispatchSystem
{
public:
  explicit BasicDispatchSystem(World& aWorld)
    : world_(aWorld)
    , attempts_(aWorld)
    , replies_(aWorld)
    , mover_(aWorld)
    , stalls_(aWorld)
  {
  }

  void Start() {}
  void Run();

  void Handle(const CallerRequest& aEvent);
  void Handle(const CallerGone& aEvent);
  void Handle(const AttemptNotSent& aEvent);
  void Handle(const AttemptToken& aEvent);
  void Handle(const AttemptFinished& aEvent);
  void Handle(const AttemptAnswered& aEvent);
  void Handle(const AttemptBroken& aEvent);
  void Handle(const KvExported& aEvent) { mover_.Handle(aEvent); }
  void Handle(const KvExportFailed& aEvent) { mover_.Handle(aEvent); }
  void Handle(const ReclaimNotice& aEvent) { mover_.Handle(aEvent); }

private:
  // Dispatch.
  void Dispatch(RequestId aId, RequestRow& aRow);
  void DispatchLater(RequestId aId, Duration aDelay);
  void HandleNoBackend(RequestId aId, RequestRow& aRow);

  // Attempts.
  void ReplaceAttempt(AttemptId aId, const RunningAttempt& aRunning,
                      std::string_view aReason);
  void RetryModel(RequestId aId, RequestRow& aRow);
  void RetryService(RequestId aId, RequestRow& aRow, std::string_view aReason);
  void RetryWithoutHandle(AttemptId aId, const RunningAttempt& aRunning, int aStatus);

  // Answers.
  void HandleDeadline(RequestId aId);
  void FinishModel(RequestId aId, RequestRow& aRow, std::string_view aFinishReason);
  void FinishService(RequestId aId, RequestRow& aRow, const StoredAnswer& aAnswer);
  void Fail(RequestId aId, RequestRow& aRow, ErrorKind aKind, std::string aMessage);
  void EndClaim(const RequestRow& aRow, ClaimEnd::How aHow, StoredAnswer aAnswer = {});
  void EraseRequest(RequestId aId, std::string_view aResult);

  PolicySpec Policy() const;

  World& world_;
  AttemptRunner attempts_;
  ReplyWriter replies_;
  StreamMover mover_;
  StallWatch stalls_;
  Chooser chooser_;
  double retryTokens_ = 0; // retries of idempotent service calls that the budget allows
};

using DispatchSystem = BasicDispatchSystem<TwoChoices>;

extern template class BasicDispatchSystem<TwoChoices>;
extern template class BasicDispatchSystem<RoundRobin>;

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_DISPATCH_SYSTEM_H_
