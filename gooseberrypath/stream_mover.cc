#include "gooseberrypath/stream_mover.h"

#include <algorithm>
#include <utility>

namespace gooseberrypath {

namespace {

constexpr std::string_view kPart = "mover";

/// Tells whether all tokens of the stream came and only its end is missing.
bool IsComplete(const RequestRow& aRow)
{
  return aRow.chat.maxTokens > 0 && aRow.tokens.size() >= aRow.chat.maxTokens;
}

} // namespace

void StreamMover::Run()
{
  for (const ReclaimNotice& notice : std::exchange(inbox_, {})) {
    Plan(notice);
  }
}

void StreamMover::Plan(const ReclaimNotice& aNotice)
{
  const Duration left = std::max(Duration::zero(), aNotice.timeLeft - kMoveMargin);
  const TimePoint now = world_.Now();
  const TimePoint moveAt = now + left;
  const std::string& host = aNotice.host;
  if (left > kExportTime) {
    world_.timers.SubscribeAt(moveAt - kExportTime, [this, host, moveAt](TimePoint) {
      ExportFrom(host, moveAt);
    });
  } else if (left >= kMinExportTime) {
    ExportFrom(host, moveAt);
  }
  if (left > Duration::zero()) {
    world_.timers.SubscribeAt(moveAt, [this, host](TimePoint) { MoveFrom(host); });
  } else {
    MoveFrom(host);
  }
}

std::vector<AttemptId> StreamMover::StreamsOn(const std::string& aHost) const
{
  std::vector<AttemptId> streams;
  for (const auto& [id, attempt] : world_.attempts) {
    const BackendRow* backend = world_.backends.Find(attempt.backend);
    if (backend && backend->spec.host == aHost && IsToLeave(id)) {
      streams.push_back(id);
    }
  }
  return streams;
}

/// The host may have been listed as live again since the notice.
bool StreamMover::IsToLeave(AttemptId aId) const
{
  const AttemptRow* attempt = world_.attempts.Find(aId);
  const RequestRow* request = attempt ? world_.requests.Find(attempt->request) : nullptr;
  const BackendRow* backend = attempt ? world_.backends.Find(attempt->backend) : nullptr;
  return request && backend && backend->leaving && request->kind == ServiceKind::Model &&
         !IsComplete(*request);
}

void StreamMover::ExportFrom(const std::string& aHost, TimePoint aMoveAt)
{
  for (const AttemptId id : StreamsOn(aHost)) {
    AttemptRow& attempt = *world_.attempts.Find(id);
    if (std::exchange(attempt.isExporting, true)) {
      continue; // a second notice for the host
    }
    world_.counters.Add(Counter::KvExportsAsked);
    world_.Emit(ExportKv{ .attempt = id,
                          .address = world_.backends.Find(attempt.backend)->spec.address,
                          .name = attempts_.NameOf(id),
                          .timeout = aMoveAt - world_.Now() });
  }
}

void StreamMover::Handle(const KvExported& aEvent)
{
  const RunningAttempt running = attempts_.Find(aEvent.attempt);
  if (!running.request || !running.attempt->isExporting || !IsToLeave(aEvent.attempt)) {
    world_.counters.Add(Counter::KvExportsLate);
    return;
  }
  running.request->kvHandle = aEvent.handle;
  Move(aEvent.attempt);
}

void StreamMover::Handle(const KvExportFailed& aEvent)
{
  world_.counters.Add(Counter::KvExportsFailed);
  world_.Log(LogLevel::Info, kPart,
             "KV export of attempt " + attempts_.NameOf(aEvent.attempt) +
               " failed: " + aEvent.reason);
}

void StreamMover::MoveFrom(const std::string& aHost)
{
  for (const AttemptId id : StreamsOn(aHost)) {
    Move(id);
  }
}

void StreamMover::Move(AttemptId aId)
{
  const RunningAttempt running = attempts_.Find(aId);
  RequestRow& row = *running.request;
  world_.counters.Add(Counter::StreamsMoved);
  world_.Log(LogLevel::Info, kPart,
             "attempt " + attempts_.NameOf(aId) + " leaves " + running.attempt->backend +
               (row.kvHandle.empty() ? " without" : " with") + " a KV handle");
  world_.Emit(CancelAttempt{ aId });
  attempts_.End(aId, "the host is reclaimed");
  ++row.uncountedAttempts; // a stream survives any number of reclaims
  row.stage = RequestStage::Ready;
  world_.dispatchQueue.push_back(running.id);
}

} // namespace gooseberrypath
