#include "entry/backend_notice.h"

#include <algorithm>
#include <utility>

#include "entry/clock_difference.h"
#include "entry/duration_text.h"
#include "entry/unknown_fields.h"

namespace gooseberrypath::entry {

namespace {

/// Applies what the head says about the limit. The head of a response that is not the
/// backend's own cannot lift a limit, and a malformed field neither sets nor lifts one.
void ApplyAnnouncedLimit(World& aWorld, BackendRow& aBackend, const ResponseHead& aHead,
                         TimePoint aSentAt)
{
  if (!aHead.limit.malformed.empty()) {
    if (!std::exchange(aBackend.hasMalformedLimit, true)) {
      aWorld.Log(
        LogLevel::Warning, "backend_limit_malformed", {},
        { { "backend", aBackend.entry.id }, { "limit", aHead.limit.malformed } });
    }
    return;
  }
  if (!aHead.hasResponseStamp && !aHead.limit.perSecond) {
    return;
  }
  ApplyLimit(aWorld, aBackend,
             { .perSecond = aHead.limit.perSecond,
               .sentAt = aWorld.WallAt(aSentAt),
               .receivedAt = aWorld.WallNow() },
             {});
}

/// Applies what the head says about the load. The response to a call that was sent before
/// the backend's latest start may be of the process before it.
void ApplyAnnouncedLoad(World& aWorld, BackendRow& aBackend, const AnnouncedLoad& aLoad,
                        TimePoint aSentAt)
{
  if (!aLoad.malformed.empty()) {
    aWorld.counters.Add(EntryCounter::LoadReportsMalformed);
    if (!std::exchange(aBackend.hasMalformedLoad, true)) {
      aWorld.Log(LogLevel::Warning, "backend_load_malformed", {},
                 { { "backend", aBackend.entry.id }, { "load", aLoad.malformed } });
    }
  }
  if (!aLoad.report || aSentAt < aBackend.reportedLoad.RestartedAt()) {
    return;
  }
  aWorld.counters.Add(EntryCounter::LoadReportsReceived);
  aBackend.reportedLoad.Apply(*aLoad.report,
                              { .receivedAt = aWorld.Now(), .isOwn = true });
}

/// Returns a peer's statement with times that are cautious about its clock: not in the
/// future, and so early that it raises or lifts a limit only if it is certainly later.
LimitStatement AsReported(LimitStatement aStatement, WallTime aNow)
{
  aStatement.receivedAt = std::min(aStatement.receivedAt, aNow);
  aStatement.sentAt =
    std::min(aStatement.sentAt, aStatement.receivedAt) - kMaxClockDifference;
  return aStatement;
}

} // namespace

void ApplyLimit(World& aWorld, BackendRow& aBackend, const LimitStatement& aStatement,
                const std::string& aReportedBy)
{
  const LimitStatement statement =
    aReportedBy.empty() ? aStatement : AsReported(aStatement, aWorld.WallNow());
  const auto before = aBackend.limit.InForce();
  if (!aBackend.limit.Apply(statement)) {
    return;
  }
  const auto after = aBackend.limit.InForce();
  const Duration lasted = before ? aWorld.Now() - aBackend.limitedSince : Duration{};
  aBackend.limitedSince = aWorld.Now();
  aWorld.isDigestUrgent = aWorld.isDigestUrgent || aReportedBy.empty();
  aWorld.counters.Add(EntryCounter::LimitChanges);
  const WallTime age = aWorld.WallNow() - statement.receivedAt;
  aWorld.Log(LogLevel::Info, "backend_limit", {},
             { { "backend", aBackend.entry.id },
               { "change", !before ? "named"
                           : after ? "changed"
                                   : "lifted" },
               { "per_second", LimitText(after) },
               { "before", LimitText(before) },
               { "before_lasted_s", SecondsText(lasted) },
               { "told_by", aReportedBy.empty() ? "the backend" : aReportedBy },
               { "age_ms", std::to_string(age.count()) } });
}

void MarkLeaving(World& aWorld, BackendRow& aBackend, const std::string& aReportedBy)
{
  if (aBackend.entry.isLeaving) {
    return;
  }
  aBackend.entry.isLeaving = true;
  aBackend.isLeavingUntold = true;
  aWorld.unusableBackends.push_back(aBackend.entry.id);
  aWorld.isDigestDue = true;
  aWorld.Emit(CloseIdleBackendConnections{ aBackend.entry.address });
  aWorld.backendLog.Add(
    { "backend_leaving", aReportedBy.empty() ? "the backend" : aReportedBy },
    aBackend.entry.id);
}

void ApplyBackendNotice(World& aWorld, BackendRow& aBackend, const ResponseHead& aHead,
                        TimePoint aSentAt)
{
  if (aHead.isMisdirected) {
    return; // the address now belongs to another backend
  }
  ReportUnknownFields(aWorld, "response", aHead.unknownFields);
  ApplyAnnouncedLimit(aWorld, aBackend, aHead, aSentAt);
  ApplyAnnouncedLoad(aWorld, aBackend, aHead.load, aSentAt);
  if (aHead.isLeaving) {
    aWorld.isDigestUrgent = aWorld.isDigestUrgent || !aBackend.entry.isLeaving;
    aBackend.announcedLeaving = true;
    MarkLeaving(aWorld, aBackend, {});
  }
  if (aHead.retryAfter) {
    aBackend.backOffUntil =
      std::max(aBackend.backOffUntil, aWorld.Now() + *aHead.retryAfter);
    aWorld.unusableBackends.push_back(aBackend.entry.id);
    aWorld.counters.Add(EntryCounter::BackOffsRequested);
    aWorld.Log(LogLevel::Info, "backend_wants_quiet", {},
               { { "backend", aBackend.entry.id },
                 { "seconds", SecondsText(*aHead.retryAfter) } });
  }
}

} // namespace gooseberrypath::entry
