// The attempts that run at backends: their part in the sums of the backends, and what
// they teach about backends, services and usage.
//
//   AttemptId id = attempts.Begin(request, choice);
//   if (auto running = attempts.Find(id)) { attempts.LearnFirstEvent(*running); }
//   attempts.Forget(id);

#ifndef ENTRY_RUNNING_ATTEMPTS_H_
#define ENTRY_RUNNING_ATTEMPTS_H_

#include <optional>

#include "entry/backend_choice.h"
#include "entry/call_completion.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// An attempt that is still part of a request, and the request.
struct RunningAttempt
{
  RequestRef request;
  AttemptId id;
  AttemptRow* attempt = nullptr;
  BackendRow* backend = nullptr; // null: forgotten meanwhile
};

class RunningAttempts
{
public:
  explicit RunningAttempts(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Makes an attempt of the request at the chosen backend and adds it to the sums.
  AttemptId Begin(RequestRef aRequest, const BackendChoice& aChoice);

  /// Returns the attempt if it is the present one of its request.
  std::optional<RunningAttempt> Find(AttemptId aId);

  /// Takes the attempt out of the backend's sums and the table.
  void Forget(AttemptId aId);

  /// Ends the attempt of the request, if there is one.
  void Cancel(RequestRow& aRow);

  /// Takes in the time to the first event or the answer.
  void LearnFirstEvent(const RunningAttempt& aRunning);

  /// Counts a call that began to run at this time, once.
  void CountUsage(RequestRow& aRow, TimePoint aBegan);

private:
  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_RUNNING_ATTEMPTS_H_
