// The attempts in progress: adds them to the load of their backends, and updates the
// health of backends, the statistics of services and the usage counts from their results.
//
//   AttemptId id = attempts.Begin(request, choice);
//   if (auto running = attempts.Find(id)) { attempts.RecordFirstResponse(*running); }
//   attempts.Remove(id);

#ifndef ENTRY_RUNNING_ATTEMPTS_H_
#define ENTRY_RUNNING_ATTEMPTS_H_

#include <optional>

#include "entry/backend_choice.h"
#include "entry/call_completion.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// An attempt in progress, with its request and its backend.
struct RunningAttempt
{
  RequestRef request;
  AttemptId id;
  AttemptRow* attempt = nullptr;
  BackendRow* backend = nullptr; // null: removed meanwhile
};

class RunningAttempts
{
public:
  explicit RunningAttempts(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Adds an attempt of the request to the table and to the load of the selected backend.
  AttemptId Begin(RequestRef aRequest, const BackendChoice& aChoice);

  /// Returns the attempt if it is the current one of its request.
  std::optional<RunningAttempt> Find(AttemptId aId);

  /// Removes the attempt from the table and from the load of its backend.
  void Remove(AttemptId aId);

  /// Cancels the current attempt of the request, if there is one. The backend may have
  /// executed the call.
  void Cancel(RequestRow& aRow);

  /// Asks for the attempt to be withdrawn if its call was not written. AttemptWithdrawn
  /// follows then; otherwise the attempt goes on.
  void Withdraw(AttemptId aId) { world_.Emit(WithdrawAttempt{ aId }); }

  /// Records the time to the first event, or to the response of a call without events.
  void RecordFirstResponse(const RunningAttempt& aRunning);

  /// Adds the call to its team's usage at the time when its execution started. Does
  /// nothing if the call was already counted.
  void CountUsage(RequestRow& aRow, TimePoint aStartedAt);

private:
  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_RUNNING_ATTEMPTS_H_
