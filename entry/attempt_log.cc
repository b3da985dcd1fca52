#include "entry/attempt_log.h"

#include "entry/duration_text.h"
#include "entry/prompt_parts.h"
#include "entry/request_print.h"

namespace gooseberrypath::entry {

void LogAttempt(World& aWorld, const RequestRow& aRow, const BackendChoice& aChoice)
{
  aWorld.Log(LogLevel::Info, "attempt", aRow.call.requestId,
             { { "backend", aChoice.id },
               { "number", std::to_string(aRow.countedAttempts + 1) },
               { "expected_ms", MsText(aChoice.expectedMs) },
               { "in_flight", std::to_string(aChoice.inFlight) },
               { "waiting_tokens", MsText(aChoice.waitingTokens) },
               { "missing_tokens", std::to_string(aChoice.uncachedTokens) },
               { "version", std::to_string(aRow.configuration->version) } });
}

void LogPlacement(World& aWorld, const RequestRow& aRow)
{
  const CallPlacement& placement = aRow.placement;
  aWorld.Log(LogLevel::Info, "placed", aRow.call.requestId,
             { { "backend", placement.backend },
               { "wait_ms", MsText(ToMs(aWorld.Now() - placement.askedAt)) },
               { "placer", placement.placer } });
}

void LogBrokenAttempt(World& aWorld, const RunningAttempt& aRunning,
                      const AttemptBroken& aEvent)
{
  const AttemptRow& attempt = *aRunning.attempt;
  const bool isAtStart = !attempt.hasEvents && IsConnectionEnd(aEvent.cause);
  aWorld.counters.Add(EntryCounter::AttemptsBrokenAtStart, isAtStart ? 1 : 0);
  const auto& demand = aRunning.request.row->call.model;
  aWorld.Log(LogLevel::Info, "attempt_broken", aRunning.request.row->call.requestId,
             { { "backend", attempt.backend },
               { "reason", aEvent.reason },
               { "cause", std::string(NameOf(aEvent.cause)) },
               { "framing", std::string(NameOf(aEvent.received.framing)) },
               { "events", std::to_string(aEvent.received.events) },
               { "bytes", std::to_string(aEvent.received.bytes) },
               { "began", attempt.hasEvents ? "yes" : "no" },
               { "sent_ms_ago", MsText(ToMs(aWorld.Now() - attempt.sent)) },
               { "request_print", PrintText(aRunning.request.row->print) },
               { "parts", demand ? PartsText(SharedParts(*demand)) : std::string() } });
}

void LogFailedAttempt(World& aWorld, const RequestRow& aRow, const std::string& aReason,
                      const std::optional<std::string>& aDenial)
{
  const auto& failed = aRow.failedBackends;
  aWorld.Log(LogLevel::Info, "attempt_failed", aRow.call.requestId,
             { { "reason", aReason },
               { "backend", failed.empty() ? std::string() : failed.back() },
               { "repeated", aDenial ? "no" : "yes" },
               { "why_not", aDenial.value_or("") } });
}

} // namespace gooseberrypath::entry
