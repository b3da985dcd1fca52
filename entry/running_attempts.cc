#include "entry/running_attempts.h"

#include <algorithm>
#include <utility>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

std::optional<RunningAttempt> RunningAttempts::Find(AttemptId aId)
{
  AttemptRow* attempt = world_.attempts.Find(aId);
  if (attempt == nullptr) {
    return std::nullopt;
  }
  RequestRow* row = world_.requests.Find(attempt->exchange);
  if (row == nullptr || row->attempt != aId) {
    return std::nullopt;
  }
  return RunningAttempt{ .request = { attempt->exchange, row },
                         .id = aId,
                         .attempt = attempt,
                         .backend = world_.backends.Find(attempt->backend) };
}

AttemptId RunningAttempts::Begin(RequestRef aRequest, const BackendChoice& aChoice)
{
  RequestRow& row = *aRequest.row;
  BackendRow& backend = *world_.backends.Find(aChoice.id);
  const AttemptId id = world_.NewId<AttemptId>();
  const TimePoint now = world_.Now();
  world_.attempts.Insert(id, AttemptRow{ .exchange = aRequest.id,
                                         .backend = aChoice.id,
                                         .started = now,
                                         .sent = now,
                                         .lastEvent = now,
                                         .expectedMs = aChoice.expectedMs,
                                         .waitingTokens = aChoice.uncachedTokens,
                                         .kvTokens = aChoice.kvTokens,
                                         .placement = row.placement.id });
  row.placement = {};
  backend.inFlight += 1;
  backend.waitingTokens += aChoice.uncachedTokens;
  backend.kvTokens += aChoice.kvTokens;
  world_.isDigestDue = true;
  if (row.call.model) {
    world_.promptTokenRates[row.service].Add(now, aChoice.uncachedTokens);
    world_.promptCacheIndex.RecordPrompt(now, backend.key, *row.call.model);
  }
  row.attempt = id;
  return id;
}

void RunningAttempts::Cancel(RequestRow& aRow)
{
  if (aRow.attempt == AttemptId{}) {
    return;
  }
  world_.Emit(CancelAttempt{ aRow.attempt });
  Remove(aRow.attempt);
}

void RunningAttempts::Remove(AttemptId aId)
{
  AttemptRow* attempt = world_.attempts.Find(aId);
  if (attempt == nullptr) {
    return;
  }
  if (BackendRow* backend = world_.backends.Find(attempt->backend)) {
    backend->inFlight -= 1;
    backend->waitingTokens -= attempt->waitingTokens;
    backend->kvTokens -= attempt->kvTokens;
  }
  if (attempt->placement != 0) {
    world_.endedPlacements.push_back({ .id = attempt->placement,
                                       .wasUsed = attempt->wasSent,
                                       .timeAtBackend = world_.Now() - attempt->sent });
  }
  if (RequestRow* row = world_.requests.Find(attempt->exchange)) {
    world_.timers.Cancel(row->hedgeTimer);
    world_.timers.Cancel(std::exchange(row->stallTimer, TimerId{}));
    row->attempt = AttemptId{};
  }
  world_.isDigestDue = true;
  world_.attempts.Erase(aId);
}

void RunningAttempts::CountUsage(RequestRow& aRow, TimePoint aStartedAt)
{
  if (aRow.isUsageCounted || aRow.team == nullptr) {
    return;
  }
  aRow.isUsageCounted = true;
  const auto age = std::chrono::duration_cast<WallTime>(world_.Now() - aStartedAt);
  world_.usage.Add(world_.WallNow() - age, world_.ProcessName(), aRow.team->name);
}

void RunningAttempts::RecordFirstResponse(const RunningAttempt& aRunning)
{
  const AttemptRow& attempt = *aRunning.attempt;
  const double observedMs = ToMs(world_.Now() - attempt.started);
  if (aRunning.backend != nullptr) {
    aRunning.backend->health.RecordSuccess(
      world_.Now(), observedMs / std::max(attempt.expectedMs, 1.0));
  }
  ServiceStats& stats = world_.serviceStats[aRunning.request.row->service];
  if (!aRunning.request.row->call.model) {
    stats.RecordResponseTime(observedMs);
    return;
  }
  stats.RecordFirstEvent(
    { .tokens = static_cast<double>(attempt.waitingTokens), .observedMs = observedMs });
}

} // namespace gooseberrypath::entry
