#include "entry/call_completion.h"

#include <array>
#include <cstdio>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

/// Returns the framing of a response towards the caller. A backend's response that only
/// the end of its connection ends may have been cut there, so the daemon must not mark
/// its end.
BodyFraming FramingTowardsCaller(const ResponseHead& aHead, BodyFraming aMarked)
{
  return aHead.framing == BodyFraming::CloseDelimited ? BodyFraming::CloseDelimited
                                                      : aMarked;
}

} // namespace

bool IsEndShown(const RequestRow& aRow, const ReceivedBody& aReceived)
{
  return aReceived.framing != BodyFraming::CloseDelimited || !aRow.headSent ||
         aRow.sentFraming == BodyFraming::CloseDelimited;
}

double CallCompletion::ElapsedMs(const RequestRow& aRow) const
{
  return ToMs(world_.Now() - aRow.arrived);
}

void CallCompletion::SendError(RequestRef aRequest, const Error& aError,
                               Duration aRetryAfter)
{
  RequestRow& row = *aRequest.row;
  if (row.headSent) {
    Abort(aRequest, aError.message);
    return;
  }
  const ErrorInfo& info = InfoOf(aError.kind);
  const bool isRefusal = info.run == RunState::NotRun;
  world_.counters.Add(isRefusal ? EntryCounter::CallsRefused : EntryCounter::CallsFailed);
  if (isRefusal) {
    world_.counters.Observe(EntryHistogram::Refusal, ElapsedMs(row));
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
               { "ms", MsText(ElapsedMs(row)) } });
  WriteResponse response{ .exchange = aRequest.id,
                          .status = info.status,
                          .headers = { { "Content-Type", "application/json" } },
                          .body = ErrorBody(aError),
                          .closesConnection = world_.stoppingSince.has_value() };
  if (aRetryAfter > Duration::zero()) {
    response.headers.push_back({ "Retry-After", SecondsText(aRetryAfter) });
  }
  world_.Emit(std::move(response));
  Remove(aRequest);
}

void CallCompletion::EndUnserved(RequestRef aRequest, const Error& aRefusal,
                                 Duration aRetryAfter)
{
  if (aRequest.row->mayHaveExecuted) {
    SendError(aRequest, Error{ ErrorKind::BackendFailed, aRefusal.message });
    return;
  }
  SendError(aRequest, aRefusal, aRetryAfter);
}

void CallCompletion::Abort(RequestRef aRequest, const std::string& aReason)
{
  const RequestRow& row = *aRequest.row;
  world_.counters.Add(EntryCounter::CallsAborted);
  world_.Log(LogLevel::Info, "aborted", row.call.requestId,
             { { "reason", aReason },
               { "sent_framing", std::string(NameOf(row.sentFraming)) },
               { "ms", MsText(ElapsedMs(row)) } });
  world_.Emit(AbortResponse{ aRequest.id });
  Remove(aRequest);
}

void CallCompletion::ForwardResponse(RequestRef aRequest, const std::string& aBackend,
                                     const AttemptAnswered& aResponse)
{
  RequestRow& row = *aRequest.row;
  if (row.headSent) {
    Abort(aRequest, "the engine that should resume the stream sent a plain response");
    return;
  }
  const BodyFraming framing = FramingTowardsCaller(aResponse.head, BodyFraming::Length);
  world_.counters.Add(EntryCounter::CallsAnswered);
  world_.counters.Observe(EntryHistogram::PlainAnswer, ElapsedMs(row));
  LogResponse(row, aResponse.head.status, aBackend,
              { .framing = aResponse.head.framing, .bytes = aResponse.body.size() },
              framing);
  world_.Emit(WriteResponse{ .exchange = aRequest.id,
                             .status = aResponse.head.status,
                             .headers = aResponse.head.headers,
                             .body = aResponse.body,
                             .closesConnection = world_.stoppingSince.has_value(),
                             .framing = framing });
  Remove(aRequest);
}

void CallCompletion::BeginStream(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  row.headSent = true;
  row.sentFraming = FramingTowardsCaller(row.streamHead, row.call.acceptsChunks
                                                           ? BodyFraming::Chunked
                                                           : BodyFraming::CloseDelimited);
  world_.Emit(WriteStreamHead{ .exchange = aRequest.id,
                               .status = row.streamHead.status,
                               .headers = row.streamHead.headers,
                               .framing = row.sentFraming });
}

void CallCompletion::CompleteStream(RequestRef aRequest, const std::string& aBackend,
                                    const ReceivedBody& aReceived)
{
  RequestRow& row = *aRequest.row;
  if (!row.headSent) {
    BeginStream(aRequest);
  }
  world_.Emit(FinishStream{ aRequest.id });
  world_.counters.Add(EntryCounter::CallsAnswered);
  LogResponse(row, row.streamHead.status, aBackend, aReceived, row.sentFraming);
  Remove(aRequest);
}

void CallCompletion::Remove(RequestRef aRequest)
{
  if (aRequest.row->placement.id != 0) {
    world_.endedPlacements.push_back({ .id = aRequest.row->placement.id });
  }
  world_.timers.Cancel(aRequest.row->deadlineTimer);
  world_.timers.Cancel(aRequest.row->hedgeTimer);
  world_.timers.Cancel(aRequest.row->stallTimer);
  world_.requests.Erase(aRequest.id);
}

void CallCompletion::LogResponse(const RequestRow& aRow, int aStatus,
                                 const std::string& aBackend,
                                 const ReceivedBody& aReceived, BodyFraming aSentFraming)
{
  if (aReceived.framing == BodyFraming::CloseDelimited) {
    world_.counters.Add(EntryCounter::ResponsesCloseDelimited);
  }
  world_.Log(LogLevel::Info, "answered", aRow.call.requestId,
             { { "status", std::to_string(aStatus) },
               { "backend", aBackend },
               { "framing", std::string(NameOf(aReceived.framing)) },
               { "events", std::to_string(aReceived.events) },
               { "bytes", std::to_string(aReceived.bytes) },
               { "sent_framing", std::string(NameOf(aSentFraming)) },
               { "ms", MsText(ElapsedMs(aRow)) } });
}

} // namespace gooseberrypath::entry
