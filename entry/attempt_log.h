// The log lines of attempts: begun, broken, and failed with what follows.
//
//   LogAttempt(world, row, choice);

#ifndef ENTRY_ATTEMPT_LOG_H_
#define ENTRY_ATTEMPT_LOG_H_

#include <optional>
#include <string>

#include "entry/backend_choice.h"
#include "entry/running_attempts.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// Logs an attempt that begins at the selected backend.
void LogAttempt(World& aWorld, const RequestRow& aRow, const BackendChoice& aChoice);

/// Logs the backend that a placer named and how long the call waited for it.
void LogPlacement(World& aWorld, const RequestRow& aRow);

/// Logs a broken attempt, with whether its answer had begun and the shared parts of its
/// prompt.
void LogBrokenAttempt(World& aWorld, const RunningAttempt& aRunning,
                      const AttemptBroken& aEvent);

/// Logs an attempt that failed for a reason, and why its call is not sent again, if so.
void LogFailedAttempt(World& aWorld, const RequestRow& aRow, const std::string& aReason,
                      const std::optional<std::string>& aDenial);

} // namespace gooseberrypath::entry

#endif // ENTRY_ATTEMPT_LOG_H_
