#include "gooseberrypath/kept_streams.h"

#include <algorithm>
#include <utility>

#include "gooseberrypath/attempt_runner.h"

namespace gooseberrypath {

namespace {

constexpr int64_t kMsPerSecond = 1000;

bool IsKept(const RequestRow& aRow)
{
  return aRow.callerGone && aRow.kind == ServiceKind::Model;
}

size_t BytesOf(const RequestRow& aRow)
{
  return aRow.chat.json.size() + aRow.tokenBytes +
         aRow.tokens.size() * sizeof(std::string);
}

struct Usage
{
  size_t count = 0;
  size_t bytes = 0;
};

Usage Measure(const World& aWorld)
{
  Usage usage;
  for (const auto& [id, row] : aWorld.requests) {
    if (IsKept(row)) {
      ++usage.count;
      usage.bytes += BytesOf(row);
    }
  }
  for (const auto& [id, row] : aWorld.endedStreams) {
    ++usage.count;
    usage.bytes += row.bytes;
  }
  return usage;
}

/// Drops ended streams until one more with these bytes fits.
bool MakeRoom(World& aWorld, size_t aCount, size_t aBytes)
{
  const CoreOptions& options = aWorld.options;
  if (options.maxKeptStreams < aCount || options.maxKeptStreamBytes < aBytes) {
    return false;
  }
  Usage usage = Measure(aWorld);
  while (usage.count + aCount > options.maxKeptStreams ||
         usage.bytes + aBytes > options.maxKeptStreamBytes) {
    const auto oldest = std::ranges::min_element(
      aWorld.endedStreams, {}, [](const auto& aItem) { return aItem.second.keptUntil; });
    if (oldest == aWorld.endedStreams.end()) {
      return false;
    }
    --usage.count;
    usage.bytes -= oldest->second.bytes;
    aWorld.endedStreams.Erase(std::string(oldest->first));
  }
  return true;
}

void CancelKept(World& aWorld, RequestId aId, std::string_view aReason)
{
  const RequestRow* row = aWorld.requests.Find(aId);
  if (row->stage == RequestStage::Running) {
    const AttemptId attempt = row->attempt;
    aWorld.Emit(CancelAttempt{ attempt });
    AttemptRunner(aWorld).End(attempt, aReason);
  }
  EraseRequest(aWorld, aId, aReason);
}

void ExpireRunning(World& aWorld, RequestId aId)
{
  const RequestRow* row = aWorld.requests.Find(aId);
  if (!row || !IsKept(*row)) {
    return;
  }
  const TimePoint due = std::min(row->keptUntil, row->deadline);
  if (aWorld.Now() < due) {
    aWorld.timers.SubscribeAt(due,
                              [&aWorld, aId](TimePoint) { ExpireRunning(aWorld, aId); });
    return;
  }
  const bool isLate = aWorld.Now() >= row->deadline;
  if (isLate) {
    KeepEnded(aWorld, *row,
              { .error = Error{ ErrorKind::DeadlineExceeded,
                                "the deadline of the route passed" } });
  }
  CancelKept(aWorld, aId, isLate ? "deadline" : "caller gone");
}

void ExpireEnded(World& aWorld, const std::string& aId)
{
  const EndedStreamRow* row = aWorld.endedStreams.Find(aId);
  if (!row) {
    return;
  }
  if (aWorld.Now() >= row->keptUntil) {
    aWorld.endedStreams.Erase(aId);
    return;
  }
  aWorld.timers.SubscribeAt(row->keptUntil,
                            [&aWorld, aId](TimePoint) { ExpireEnded(aWorld, aId); });
}

} // namespace

int64_t CreatedSeconds(const World& aWorld, const RequestRow& aRow)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWorld.Now() - aRow.arrived);
  return (aWorld.WallMs() - age.count()) / kMsPerSecond;
}

std::optional<StreamView> FindStream(World& aWorld, std::string_view aId,
                                     RequestId& aHint)
{
  const TimePoint keptUntil = aWorld.Now() + aWorld.options.reattachTime;
  if (EndedStreamRow* ended = aWorld.endedStreams.Find(std::string(aId))) {
    ended->keptUntil = keptUntil;
    return StreamView{ .model = ended->model,
                       .createdSeconds = ended->createdSeconds,
                       .tokens = &ended->tokens,
                       .end = &ended->end };
  }
  RequestRow* row = aWorld.requests.Find(aHint);
  if (!row || row->publicId != aId) {
    row = nullptr;
    for (auto& [id, other] : aWorld.requests) {
      if (other.kind == ServiceKind::Model && other.publicId == aId) {
        aHint = id;
        row = &other;
        break;
      }
    }
  }
  if (!row || row->kind != ServiceKind::Model) {
    return std::nullopt;
  }
  row->keptUntil = keptUntil;
  return StreamView{ .model = row->chat.model,
                     .createdSeconds = CreatedSeconds(aWorld, *row),
                     .tokens = &row->tokens };
}

bool KeepRunning(World& aWorld, RequestId aId, RequestRow& aRow)
{
  if (aRow.kind != ServiceKind::Model ||
      aWorld.options.reattachTime <= Duration::zero() ||
      !MakeRoom(aWorld, 1, BytesOf(aRow))) {
    return false;
  }
  aRow.callerGone = true;
  aRow.keptUntil = aWorld.Now() + aWorld.options.reattachTime;
  aWorld.counters.Add(Counter::StreamsKept);
  ExpireRunning(aWorld, aId); // subscribes to its end
  return true;
}

void KeepEnded(World& aWorld, const RequestRow& aRow, StreamEnd aEnd)
{
  if (aRow.kind == ServiceKind::Model && (aRow.chat.streams || aRow.callerGone)) {
    KeepEnded(aWorld, aRow.publicId,
              { .model = aRow.chat.model,
                .createdSeconds = CreatedSeconds(aWorld, aRow),
                .tokens = aRow.tokens,
                .end = std::move(aEnd) });
  }
}

bool KeepEnded(World& aWorld, const std::string& aId, EndedStreamRow aRow)
{
  aRow.bytes = aRow.tokens.size() * sizeof(std::string);
  for (const std::string& token : aRow.tokens) {
    aRow.bytes += token.size();
  }
  if (aWorld.options.reattachTime <= Duration::zero() ||
      !MakeRoom(aWorld, 1, aRow.bytes)) {
    return false;
  }
  aRow.keptUntil = aWorld.Now() + aWorld.options.reattachTime;
  aWorld.endedStreams.Insert(aId, std::move(aRow));
  ExpireEnded(aWorld, aId); // subscribes to its end
  return true;
}

void EnforceLimits(World& aWorld)
{
  while (!MakeRoom(aWorld, 0, 0)) {
    const RequestRow* first = nullptr;
    RequestId firstId;
    for (const auto& [id, row] : aWorld.requests) {
      if (IsKept(row) && (!first || row.keptUntil < first->keptUntil)) {
        first = &row;
        firstId = id;
      }
    }
    if (!first) {
      return;
    }
    CancelKept(aWorld, firstId, "too many kept streams");
  }
}

} // namespace gooseberrypath
