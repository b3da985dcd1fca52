#include "entry/call_completion.h"

#include <array>
#include <cstdio>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

double CallCompletion::AgeMs(const RequestRow& aRow) const
{
  return ToMs(world_.Now() - aRow.arrived);
}

void CallCompletion::WithError(RequestRef aRequest, const Error& aError,
                               Duration aRetryAfter)
{
  RequestRow& row = *aRequest.row;
  const ErrorInfo& info = InfoOf(aError.kind);
  const bool isRefusal = info.run == RunState::NotRun;
  world_.counters.Add(isRefusal ? EntryCounter::CallsRefused : EntryCounter::CallsFailed);
  if (isRefusal) {
    world_.counters.Observe(EntryHistogram::Refusal, AgeMs(row));
  }
  if (isRefusal && row.quotaCost > 0) {
    if (TeamRow* team = world_.teams.Find(row.team->name)) {
      team->quota.Refund(world_.Now(), row.quotaCost);
    }
  }
  world_.Log(LogLevel::Info, isRefusal ? "refused" : "failed", row.call.requestId,
             { { "status", std::to_string(info.status) },
               { "kind", std::string(info.name) },
               { "reason", aError.message },
               { "retry_after_s", SecondsText(aRetryAfter) },
               { "ms", MsText(AgeMs(row)) } });
  WriteResponse answer{ .exchange = aRequest.id,
                        .status = info.status,
                        .headers = { { "Content-Type", "application/json" } },
                        .body = ErrorBody(aError),
                        .closesConnection = world_.stoppingSince.has_value() };
  if (aRetryAfter > Duration::zero()) {
    answer.headers.push_back({ "Retry-After", SecondsText(aRetryAfter) });
  }
  world_.Emit(std::move(answer));
  Forget(aRequest);
}

void CallCompletion::Unserved(RequestRef aRequest, const Error& aNotRun,
                              Duration aRetryAfter)
{
  RequestRow& row = *aRequest.row;
  if (row.headSent) {
    world_.counters.Add(EntryCounter::CallsAborted);
    world_.Log(LogLevel::Info, "aborted", row.call.requestId,
               { { "reason", aNotRun.message }, { "ms", MsText(AgeMs(row)) } });
    world_.Emit(AbortResponse{ aRequest.id });
    Forget(aRequest);
    return;
  }
  if (row.mayHaveExecuted) {
    WithError(aRequest, Error{ ErrorKind::BackendFailed, aNotRun.message });
    return;
  }
  WithError(aRequest, aNotRun, aRetryAfter);
}

void CallCompletion::WithAnswer(RequestRef aRequest, const std::string& aBackend,
                                const AttemptAnswered& aAnswer)
{
  RequestRow& row = *aRequest.row;
  world_.counters.Add(EntryCounter::CallsAnswered);
  world_.counters.Observe(EntryHistogram::PlainAnswer, AgeMs(row));
  LogAnswered(row, aAnswer.head.status, aBackend);
  if (row.headSent) {
    // A resumed stream got an ordinary answer; the caller's stream cannot go on.
    world_.Emit(AbortResponse{ aRequest.id });
  } else {
    world_.Emit(WriteResponse{ .exchange = aRequest.id,
                               .status = aAnswer.head.status,
                               .headers = aAnswer.head.headers,
                               .body = aAnswer.body,
                               .closesConnection = world_.stoppingSince.has_value() });
  }
  Forget(aRequest);
}

void CallCompletion::WithStreamEnd(RequestRef aRequest, const std::string& aBackend)
{
  RequestRow& row = *aRequest.row;
  if (!row.headSent) {
    world_.Emit(
      WriteStreamHead{ aRequest.id, row.streamHead.status, row.streamHead.headers });
  }
  world_.Emit(FinishStream{ aRequest.id });
  world_.counters.Add(EntryCounter::CallsAnswered);
  LogAnswered(row, row.streamHead.status, aBackend);
  Forget(aRequest);
}

void CallCompletion::Forget(RequestRef aRequest)
{
  world_.timers.Cancel(aRequest.row->deadlineTimer);
  world_.timers.Cancel(aRequest.row->hedgeTimer);
  world_.timers.Cancel(aRequest.row->stallTimer);
  world_.requests.Erase(aRequest.id);
}

void CallCompletion::LogAnswered(const RequestRow& aRow, int aStatus,
                                 const std::string& aBackend)
{
  world_.Log(LogLevel::Info, "answered", aRow.call.requestId,
             { { "status", std::to_string(aStatus) },
               { "backend", aBackend },
               { "ms", MsText(AgeMs(aRow)) } });
}

} // namespace gooseberrypath::entry
