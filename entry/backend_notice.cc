#include "entry/backend_notice.h"

#include <algorithm>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

void MarkLeaving(World& aWorld, BackendRow& aBackend, const std::string& aReportedBy)
{
  if (aBackend.entry.isLeaving) {
    return;
  }
  aBackend.entry.isLeaving = true;
  aWorld.unusableBackends.push_back(aBackend.entry.id);
  aWorld.isDigestDue = true;
  aWorld.Emit(CloseIdleBackendConnections{ aBackend.entry.address });
  aWorld.Log(LogLevel::Info, "backend_leaving", {},
             { { "backend", aBackend.entry.id },
               { "told_by", aReportedBy.empty() ? "the backend" : aReportedBy },
               { "in_flight", std::to_string(aBackend.inFlight) } });
}

void ApplyBackendNotice(World& aWorld, BackendRow& aBackend, const ResponseHead& aHead)
{
  if (aHead.isMisdirected) {
    return; // another backend speaks of itself
  }
  if (aHead.isLeaving) {
    aWorld.isDigestUrgent = aWorld.isDigestUrgent || !aBackend.entry.isLeaving;
    aBackend.announcedLeaving = true;
    MarkLeaving(aWorld, aBackend, {});
  }
  if (aHead.retryAfter) {
    aBackend.backOffUntil =
      std::max(aBackend.backOffUntil, aWorld.Now() + *aHead.retryAfter);
    aWorld.unusableBackends.push_back(aBackend.entry.id);
    aWorld.counters.Add(EntryCounter::BackoffsRequested);
    aWorld.Log(LogLevel::Info, "backend_wants_quiet", {},
               { { "backend", aBackend.entry.id },
                 { "seconds", SecondsText(*aHead.retryAfter) } });
  }
}

} // namespace gooseberrypath::entry
