// Keeps blocked requests and calls with blocked prompt parts away from engines, and
// records what attempts show about requests and the parts of their prompts.
//
//   PartGuard guard(world);
//   if (const auto refusal = guard.Check(row)) { ... refuse the call ... }
//   guard.RecordFirstEvent(row);
//   guard.RecordAnswer(row);
//   guard.RecordBroken(running);

#ifndef ENTRY_PART_GUARD_H_
#define ENTRY_PART_GUARD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "entry/running_attempts.h"
#include "entry/world.h"
#include "gooseberrypath/errors.h"

namespace gooseberrypath::entry {

/// Why a call is not sent to any engine.
struct PartRefusal
{
  Error error;
  Duration retryAfter{}; // until the part may be free again; 0: it does not help to wait
};

class PartGuard
{
public:
  explicit PartGuard(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Returns why the call must not be sent, or nothing. Now and then, one call with a
  /// blocked part may be sent to try the part.
  std::optional<PartRefusal> Check(RequestRow& aRow);

  /// Returns how many engines show that the call is blocked; 0: it is not.
  size_t EnginesOfBlock(const RequestRow& aRow) const;

  /// Records that a backend began to answer the call, so that its parts are safe.
  void RecordFirstEvent(const RequestRow& aRow);

  /// Records that the call was answered as a whole, so that it is safe.
  void RecordAnswer(const RequestRow& aRow);

  /// Records that the attempt's connection ended before the answer was whole.
  void RecordBroken(const RunningAttempt& aRunning);

  /// Records that the backend sent something, so that it has not ended.
  void RecordAlive(const BackendRow& aBackend);

private:
  /// Returns why the request itself must not be sent, or nothing.
  std::optional<PartRefusal> CheckRequest(const RequestRow& aRow);

  /// Arranges that the other daemons hear that it was answered.
  void TellAnswered(uint32_t aKey);

  /// Tells whether this daemon may try the part now.
  bool MayTry(const PartBlock& aBlock, const PartTrials& aTrials) const;

  /// Records that the call tries the part.
  void BeginTrial(RequestRow& aRow, uint64_t aPart);
  PartRefusal RefusalFor(const PartBlock& aBlock, const PartTrials& aTrials) const;

  /// Logs that an attempt was not recorded, at most once a minute.
  void LogFullTable();

  /// Logs the request and the parts of a recorded attempt that are suspected.
  void LogSuspected(const RequestRow& aRow, const BrokenStartId& aId) const;

  /// Returns the number of live daemons that may try the part before this one.
  size_t RankFor(uint64_t aPart) const;

  World& world_;
  TimePoint lastUrgentAt_{};
  std::optional<TimePoint> fullLoggedAt_; // last line that the table was full
};

/// Tells whether a part of the call is suspected of ending engines, blocked or not.
bool HasSuspectedPart(const World& aWorld, const RequestRow& aRow);

/// Tells whether at least two engines ended under the request.
bool IsSuspectedRequest(const World& aWorld, const RequestRow& aRow);

/// Returns when a part may be tried again, or nothing if it is not tried any more.
std::optional<TimePoint> NextTrialAt(const PartBlock& aBlock, const PartTrials& aTrials);

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_GUARD_H_
