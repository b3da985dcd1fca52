#include "entry/attempt_watch.h"

#include <algorithm>
#include <utility>

#include "entry/backend_choice.h"
#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// A resumable stream moves to another engine when no complete event came for this
// multiple of the route's maximum gap, and not before the minimum. Callers give up after
// twice as long. An engine that prefills a long prompt meanwhile pauses its streams for
// less.
constexpr int kStallGapMultiple = 4;
constexpr Duration kMinStallTimeout = milliseconds(1000);

// A stream that is to move from a stalled engine to a limited one tries again after this
// time, in which a permit comes.
constexpr Duration kMovePermitTime = milliseconds(20);

// A call that may be retried moves to another backend when its first event takes this
// multiple of the expected time, and not before the minimum delay.
constexpr double kHedgeFactor = 4;
constexpr Duration kMinHedgeDelay = milliseconds(250);

} // namespace

void AttemptWatch::ExpectFirstEvent(RequestRef aRequest, double aExpectedMs)
{
  RequestRow& row = *aRequest.row;
  const Duration wait =
    std::max<Duration>({ kMinHedgeDelay, FromMs(kHedgeFactor * aExpectedMs),
                         row.route->latencyObjective / 2 });
  row.hedgeTimer = world_.timers.SubscribeAt(
    world_.Now() + wait, [this, id = aRequest.id](TimePoint) { OnHedge(id); });
}

void AttemptWatch::OnHedge(ExchangeId aId)
{
  RequestRow* row = world_.requests.Find(aId);
  if (row == nullptr) {
    return;
  }
  const auto running = attempts_.Find(row->attempt);
  if (!running || running->attempt->hasEvents) {
    return;
  }
  // The other backend must be clearly faster than the time that this call has waited. The
  // call keeps its attempt until it moves, so it cannot wait for a permit.
  RequestRow withoutCurrent = *row;
  withoutCurrent.failedBackends.push_back(running->attempt->backend);
  withoutCurrent.permitWaitEnd = world_.Now();
  const auto choice = ChooseBackend(world_, withoutCurrent);
  const double waitedMs = ToMs(world_.Now() - running->attempt->started);
  const bool isBetter = choice && choice->id != running->attempt->backend &&
                        choice->expectedMs < waitedMs / 2;
  if (!isBetter || !callbacks_.mayMove(*row)) {
    return;
  }
  Move(*running, "the backend is silent");
}

void AttemptWatch::ExpectNextEvent(RequestRef aRequest, TimePoint aLastEvent)
{
  const Duration limit = std::max<Duration>(
    kMinStallTimeout, kStallGapMultiple * aRequest.row->route->maxEventGap);
  aRequest.row->stallTimer = world_.timers.SubscribeAt(
    aLastEvent + limit,
    [this, id = aRequest.id, limit](TimePoint) { OnStallCheck(id, limit); });
}

void AttemptWatch::OnStallCheck(ExchangeId aId, Duration aLimit)
{
  RequestRow* row = world_.requests.Find(aId);
  if (row == nullptr) {
    return;
  }
  row->stallTimer = TimerId{};
  const auto running = attempts_.Find(row->attempt);
  if (!running || !running->attempt->hasEvents) {
    return; // the next attempt's first event schedules the check again
  }
  if (running->attempt->lastEvent + aLimit > world_.Now()) {
    ExpectNextEvent(running->request, running->attempt->lastEvent);
    return;
  }
  if (!callbacks_.mayMove(*row)) {
    return; // it cannot move; the caller decides how long to wait
  }
  if (!HasPermitToMove(*row, running->attempt->backend)) {
    row->stallTimer = world_.timers.SubscribeAt(
      world_.Now() + kMovePermitTime,
      [this, aId, aLimit](TimePoint) { OnStallCheck(aId, aLimit); });
    return;
  }
  world_.counters.Add(EntryCounter::StreamsStalled);
  Move(*running, "the stream stalled");
}

void AttemptWatch::Move(const RunningAttempt& aRunning, const std::string& aReason)
{
  RequestRow& row = *aRunning.request.row;
  if (aRunning.backend != nullptr) {
    aRunning.backend->health.RecordFailure(world_.Now());
  }
  row.failedBackends.push_back(aRunning.attempt->backend);
  row.permitWaitEnd = world_.Now();
  if (!aRunning.attempt->wasSent) {
    attempts_.Withdraw(aRunning.id); // it moves unless it was sent meanwhile
    return;
  }
  attempts_.Cancel(row);
  callbacks_.move(aRunning.request, aReason);
}

bool AttemptWatch::HasPermitToMove(const RequestRow& aRow, const std::string& aFrom)
{
  RequestRow moved = aRow;
  moved.failedBackends.push_back(aFrom);
  moved.permitWaitEnd = world_.Now();
  if (ChooseBackend(world_, moved)) {
    return true;
  }
  moved.permitWaitEnd.reset();
  if (const auto choice = ChooseBackend(world_, moved)) {
    world_.backends.Find(choice->id)->permits.AddWaiting(world_.Now());
    world_.permitsWanted.insert(choice->id);
  }
  return false;
}

} // namespace gooseberrypath::entry
