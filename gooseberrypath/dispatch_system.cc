#include "gooseberrypath/dispatch_system.h"

#include <algorithm>
#include <utility>

#include "gooseberrypath/backend_candidates.h"
#include "gooseberrypath/backend_system.h"
#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/kept_streams.h"
#include "gooseberrypath/request_intake.h"
#include "gooseberrypath/stream_system.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "dispatch";

/// Between looks for a backend when none is usable.
constexpr Duration kNoBackendDelay = 100ms;
/// Retries that can be saved up by the retry budget.
constexpr double kMaxRetryTokens = 10;
constexpr int kFirstClientError = 400;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

} // namespace

// ---- Events from callers ----

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const CallerRequest& aEvent)
{
  if (IsStreamQuery(aEvent)) {
    return; // StreamSystem answers.
  }
  if (IsOutcomeQuery(aEvent)) {
    replies_.SendOutcome(aEvent);
    return;
  }
  if (IsJobQuery(aEvent)) {
    return; // JobSystem answers.
  }
  const std::string publicId = world_.options.daemon + "-" +
                               std::to_string(world_.options.incarnation) + "-r" +
                               std::to_string(world_.NewId<RequestId>().value);
  auto taken = TakeIn(world_, aEvent);
  if (!taken) {
    world_.counters.Add(Counter::RequestsRefused);
    const RequestRow refused{ .caller = aEvent, .publicId = publicId };
    replies_.SendError(aEvent.request, refused, taken.error());
    return;
  }
  taken->publicId = publicId;
  world_.counters.Add(Counter::RequestsAccepted);
  retryTokens_ =
    std::min(kMaxRetryTokens, retryTokens_ + Policy().retryBudgetPercent / 100.0);
  const RequestId id = aEvent.request;
  const RequestRow& row = world_.requests.Insert(id, std::move(*taken));
  world_.timers.SubscribeAt(row.deadline, [this, id](TimePoint) { HandleDeadline(id); });
  if (row.stage == RequestStage::Ready) {
    world_.dispatchQueue.push_back(id);
  }
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const CallerGone& aEvent)
{
  RequestRow* row = world_.requests.Find(aEvent.request);
  if (!row) {
    return;
  }
  world_.counters.Add(Counter::CallersGone);
  if (row->chat.streams && KeepRunning(world_, aEvent.request, *row)) {
    return; // The caller may attach again.
  }
  row->callerGone = true;
  if (row->stage == RequestStage::AwaitingClaim) {
    return; // ClaimSystem gives the claim up and decides.
  }
  const bool mayRun = row->stage == RequestStage::Running && !row->idempotent;
  if (mayRun) {
    return; // The outcome must still be recorded.
  }
  if (row->stage == RequestStage::Running) {
    const AttemptId attempt = row->attempt;
    world_.Emit(CancelAttempt{ attempt });
    attempts_.End(attempt, "caller gone");
  }
  EndClaim(*row, ClaimEnd::How::Abandoned);
  EraseRequest(aEvent.request, "caller gone");
}

// ---- Dispatch ----

template<BackendChooser C>
void BasicDispatchSystem<C>::Run()
{
  mover_.Run();
  for (const AttemptId attempt : stalls_.TakeStalled()) {
    ReplaceAttempt(attempt, attempts_.Find(attempt), "no token in time");
  }
  for (size_t left = world_.dispatchQueue.size(); left > 0; --left) {
    const RequestId id = world_.dispatchQueue.front();
    world_.dispatchQueue.pop_front();
    RequestRow* row = world_.requests.Find(id);
    if (!row) {
      continue;
    }
    if (row->stage == RequestStage::Decided) {
      replies_.SendDecision(id, *row);
      EraseRequest(id, "decided");
    } else if (row->stage == RequestStage::Ready) {
      Dispatch(id, *row);
    }
  }
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Dispatch(RequestId aId, RequestRow& aRow)
{
  if (world_.Now() >= aRow.deadline) {
    HandleDeadline(aId);
    return;
  }
  Candidates candidates = CandidatesFor(world_, aRow);
  if (candidates.backends.empty()) {
    HandleNoBackend(aId, aRow);
    return;
  }
  const BackendRow& chosen =
    *candidates
       .backends[chooser_.Choose(candidates.backends, world_.Now(), world_.random)];
  attempts_.Start(aId, aRow, chosen.service + "/" + chosen.spec.name,
                  std::move(candidates.reason));
  stalls_.Watch(aRow.attempt);
}

template<BackendChooser C>
void BasicDispatchSystem<C>::HandleNoBackend(RequestId aId, RequestRow& aRow)
{
  const bool wasDispatched = aRow.attempts > 0;
  const bool waits = MayBackendReturnSoon(world_, aRow) ||
                     (aRow.kind == ServiceKind::Model && wasDispatched);
  if (waits) {
    DispatchLater(aId, kNoBackendDelay);
    return;
  }
  EndClaim(aRow, ClaimEnd::How::Abandoned);
  Fail(aId, aRow,
       wasDispatched && aRow.claim.empty() ? ErrorKind::BackendFailed
                                           : ErrorKind::NoBackend,
       "service " + aRow.service + " has no live backend");
}

template<BackendChooser C>
void BasicDispatchSystem<C>::DispatchLater(RequestId aId, Duration aDelay)
{
  if (aDelay <= Duration::zero()) {
    world_.dispatchQueue.push_back(aId);
    return;
  }
  world_.timers.SubscribeAt(world_.Now() + aDelay, [this, aId](TimePoint) {
    world_.dispatchQueue.push_back(aId);
  });
}

// ---- Events from attempts ----

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const AttemptNotSent& aEvent)
{
  const RunningAttempt running = attempts_.Find(aEvent.attempt);
  if (!running.request) {
    return;
  }
  world_.counters.Add(Counter::AttemptsNotSent);
  RequestRow& row = *running.request;
  row.avoid.insert(running.attempt->backend);
  attempts_.End(aEvent.attempt, "not sent: " + aEvent.reason);
  row.stage = RequestStage::Ready;
  // Nothing was sent, so any request may be dispatched again.
  if (row.callerGone && row.kind != ServiceKind::Model) {
    EndClaim(row, ClaimEnd::How::Abandoned);
    EraseRequest(running.id, "caller gone");
    return;
  }
  DispatchLater(running.id, RetryDelay(row));
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const AttemptToken& aEvent)
{
  const RunningAttempt running = attempts_.Find(aEvent.attempt);
  if (!running.request) {
    world_.counters.Add(Counter::TokensDropped);
    return;
  }
  RequestRow& row = *running.request;
  if (aEvent.answerId != "chatcmpl-" + attempts_.NameOf(aEvent.attempt)) {
    world_.counters.Add(Counter::TokensDropped);
    ReplaceAttempt(aEvent.attempt, running, "the engine sent a chunk of another answer");
    return;
  }
  if (aEvent.offset && *aEvent.offset != row.tokens.size()) {
    world_.counters.Add(Counter::TokensDropped);
    ReplaceAttempt(aEvent.attempt, running, "the engine sent a token out of order");
    return;
  }
  running.attempt->lastToken = world_.Now();
  row.kvHandle.clear(); // the engine has taken it over
  replies_.SendToken(running.id, row, aEvent.text);
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const AttemptFinished& aEvent)
{
  const RunningAttempt running = attempts_.Find(aEvent.attempt);
  if (!running.request) {
    return;
  }
  attempts_.End(aEvent.attempt, "finished");
  FinishModel(running.id, *running.request, aEvent.finishReason);
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const AttemptAnswered& aEvent)
{
  const RunningAttempt running = attempts_.Find(aEvent.attempt);
  if (!running.request) {
    return;
  }
  RequestRow& row = *running.request;
  const std::string_view echo = FindHeader(aEvent.headers, "X-Request-Id");
  if (!echo.empty() && echo != attempts_.NameOf(aEvent.attempt)) {
    Handle(AttemptBroken{ aEvent.attempt, "the backend answered another request" });
    return;
  }
  if (!row.kvHandle.empty() && aEvent.status >= kFirstClientError &&
      aEvent.status < kFirstServerError && aEvent.status != kTooManyRequests) {
    RetryWithoutHandle(aEvent.attempt, running, aEvent.status);
    return;
  }
  const bool isEngineFailure =
    row.kind == ServiceKind::Model && (aEvent.status >= kFirstServerError ||
                                       aEvent.status == kTooManyRequests || row.headSent);
  if (isEngineFailure) {
    Handle(AttemptBroken{ aEvent.attempt,
                          "the engine answered " + std::to_string(aEvent.status) });
    return;
  }
  attempts_.End(aEvent.attempt, "status " + std::to_string(aEvent.status));
  FinishService(running.id, row,
                { .status = aEvent.status,
                  .headers = ForwardedHeaders(aEvent.headers),
                  .body = aEvent.body });
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const AttemptBroken& aEvent)
{
  const RunningAttempt running = attempts_.Find(aEvent.attempt);
  if (!running.request) {
    return;
  }
  world_.counters.Add(Counter::AttemptsBroken);
  RequestRow& row = *running.request;
  row.kvHandle.clear(); // it may be the cause
  row.avoid.insert(running.attempt->backend);
  world_.Log(LogLevel::Warning, kPart,
             "attempt " + attempts_.NameOf(aEvent.attempt) + " at " +
               running.attempt->backend + " broke: " + aEvent.reason);
  attempts_.End(aEvent.attempt, "broken: " + aEvent.reason);
  if (row.kind == ServiceKind::Model) {
    RetryModel(running.id, row);
  } else {
    RetryService(running.id, row, aEvent.reason);
  }
}

template<BackendChooser C>
void BasicDispatchSystem<C>::ReplaceAttempt(AttemptId aId, const RunningAttempt& aRunning,
                                            std::string_view aReason)
{
  world_.Emit(CancelAttempt{ aId });
  aRunning.request->avoid.insert(aRunning.attempt->backend);
  aRunning.request->kvHandle.clear();
  world_.Log(LogLevel::Warning, kPart,
             "attempt " + attempts_.NameOf(aId) + " at " + aRunning.attempt->backend +
               " is replaced: " + std::string(aReason));
  attempts_.End(aId, aReason);
  RetryModel(aRunning.id, *aRunning.request);
}

template<BackendChooser C>
void BasicDispatchSystem<C>::RetryWithoutHandle(AttemptId aId,
                                                const RunningAttempt& aRunning,
                                                int aStatus)
{
  // The engine refused the handle, not the request, which it may still run.
  RequestRow& row = *aRunning.request;
  world_.counters.Add(Counter::KvHandlesRefused);
  attempts_.End(aId, "KV handle refused with status " + std::to_string(aStatus));
  row.kvHandle.clear();
  ++row.uncountedAttempts;
  row.stage = RequestStage::Ready;
  DispatchLater(aRunning.id, Duration::zero());
}

template<BackendChooser C>
void BasicDispatchSystem<C>::RetryModel(RequestId aId, RequestRow& aRow)
{
  const bool isComplete =
    aRow.chat.maxTokens > 0 && aRow.tokens.size() >= aRow.chat.maxTokens;
  if (isComplete) {
    FinishModel(aId, aRow, "length");
    return;
  }
  if (aRow.attempts - aRow.uncountedAttempts >= Policy().maxAttempts) {
    Fail(aId, aRow, ErrorKind::BackendFailed,
         "the request failed on " + std::to_string(aRow.attempts) + " attempts");
    return;
  }
  aRow.stage = RequestStage::Ready;
  DispatchLater(aId, RetryDelay(aRow));
}

template<BackendChooser C>
void BasicDispatchSystem<C>::RetryService(RequestId aId, RequestRow& aRow,
                                          std::string_view aReason)
{
  if (!aRow.idempotent) {
    // A byte may have reached the backend, so the action may have run.
    EndClaim(aRow, ClaimEnd::How::Unknown);
    Fail(aId, aRow, ErrorKind::OutcomeUnknown,
         "the backend's answer was lost: " + std::string(aReason));
    return;
  }
  if (retryTokens_ < 1 || aRow.attempts >= Policy().maxAttempts) {
    Fail(aId, aRow, ErrorKind::BackendFailed, std::string(aReason));
    return;
  }
  retryTokens_ -= 1;
  aRow.stage = RequestStage::Ready;
  DispatchLater(aId, RetryDelay(aRow));
}

// ---- Answers ----

template<BackendChooser C>
void BasicDispatchSystem<C>::HandleDeadline(RequestId aId)
{
  RequestRow* row = world_.requests.Find(aId);
  if (!row || world_.Now() < row->deadline || row->callerGone) {
    return;
  }
  if (row->stage == RequestStage::Ready) {
    EndClaim(*row, ClaimEnd::How::Abandoned);
    const bool mayHaveRun = row->attempts > 0 && row->idempotent;
    Fail(aId, *row, mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::QueueTimeout,
         "the deadline of the route passed");
    return;
  }
  if (row->stage != RequestStage::Running) {
    return; // ClaimSystem or JobSystem decides.
  }
  if (!row->idempotent) {
    // The caller is answered now; a late answer is recorded for a retry with the key.
    replies_.SendError(
      aId, *row, { ErrorKind::OutcomeUnknown, "the backend did not answer in time" });
    row->callerGone = true;
    return;
  }
  const AttemptId attempt = row->attempt;
  world_.Emit(CancelAttempt{ attempt });
  attempts_.End(attempt, "deadline");
  Fail(aId, *row, ErrorKind::DeadlineExceeded, "the deadline of the route passed");
}

template<BackendChooser C>
void BasicDispatchSystem<C>::FinishModel(RequestId aId, RequestRow& aRow,
                                         std::string_view aFinishReason)
{
  if (!aRow.callerGone) {
    replies_.SendModelEnd(aId, aRow, aFinishReason);
  }
  KeepEnded(world_, aRow, { .finishReason = std::string(aFinishReason) });
  EraseRequest(aId, "answered");
}

template<BackendChooser C>
void BasicDispatchSystem<C>::FinishService(RequestId aId, RequestRow& aRow,
                                           const StoredAnswer& aAnswer)
{
  EndClaim(aRow, ClaimEnd::How::Done, aAnswer);
  if (!aRow.callerGone) {
    replies_.SendWhole(aId, aRow, aAnswer);
  }
  EraseRequest(aId, "answered");
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Fail(RequestId aId, RequestRow& aRow, ErrorKind aKind,
                                  std::string aMessage)
{
  if (!aRow.callerGone) {
    if (InfoOf(aKind).run == RunState::NotRun) {
      world_.counters.Add(Counter::RequestsRefused);
    }
    replies_.SendError(aId, aRow, { aKind, aMessage });
  }
  KeepEnded(world_, aRow, { .error = Error{ aKind, std::move(aMessage) } });
  EraseRequest(aId, InfoOf(aKind).name);
}

template<BackendChooser C>
void BasicDispatchSystem<C>::EndClaim(const RequestRow& aRow, ClaimEnd::How aHow,
                                      StoredAnswer aAnswer)
{
  if (aRow.claim.empty()) {
    return;
  }
  world_.claimEnds.push_back(ClaimEnd{ .action = { aRow.service, aRow.key },
                                       .claim = aRow.claim,
                                       .how = aHow,
                                       .answer = std::move(aAnswer) });
}

template<BackendChooser C>
void BasicDispatchSystem<C>::EraseRequest(RequestId aId, std::string_view aResult)
{
  gooseberrypath::EraseRequest(world_, aId, aResult);
}

// ---- Look-ups ----

template<BackendChooser C>
PolicySpec BasicDispatchSystem<C>::Policy() const
{
  const auto found = world_.resources.find({ "policy", "default" });
  return found == world_.resources.end() ? PolicySpec{}
                                         : std::get<PolicySpec>(found->second.spec);
}

template class BasicDispatchSystem<TwoChoices>;
template class BasicDispatchSystem<RoundRobin>;

} // namespace gooseberrypath
