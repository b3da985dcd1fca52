#include "gooseberrypath/dispatch_system.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gooseberrypath/backend_system.h"
#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/request_intake.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "dispatch";

/// Between looks for a backend when none is usable.
constexpr Duration kNoBackendDelay = 100ms;
/// Before attempts after the third one of a request; doubles up to the maximum.
constexpr Duration kRetryDelay = 50ms;
constexpr Duration kMaxRetryDelay = 2s;
constexpr uint32_t kImmediateAttempts = 3;
/// Streams leave a host this long before its reclaim.
constexpr Duration kMoveMargin = 500ms;
/// Retries that can be saved up by the retry budget.
constexpr double kMaxRetryTokens = 10;

Duration RetryDelay(uint32_t aAttempts)
{
  if (aAttempts < kImmediateAttempts) {
    return Duration::zero();
  }
  constexpr uint32_t kMaxShift = 8;
  const uint32_t shift = std::min(aAttempts - kImmediateAttempts, kMaxShift);
  return std::min(kRetryDelay * (1U << shift), kMaxRetryDelay);
}

} // namespace

// ---- Events from callers ----

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const CallerRequest& aEvent)
{
  if (IsOutcomeQuery(aEvent)) {
    replies_.SendOutcome(aEvent);
    return;
  }
  if (IsJobQuery(aEvent)) {
    return; // JobSystem answers.
  }
  auto taken = TakeIn(world_, aEvent);
  if (!taken) {
    world_.counters.Add(Counter::RequestsRefused);
    replies_.SendError(aEvent.request, RequestRow{ .caller = aEvent }, taken.error());
    return;
  }
  taken->publicId = world_.options.daemon + "-" +
                    std::to_string(world_.options.incarnation) + "-r" +
                    std::to_string(world_.NewId<RequestId>().value);
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
  for (size_t left = world_.dispatchQueue.size(); left > 0; --left) {
    const RequestId id = world_.dispatchQueue.front();
    world_.dispatchQueue.pop_front();
    RequestRow* row = world_.requests.Find(id);
    if (!row) {
      continue;
    }
    if (row->stage == RequestStage::Decided) {
      SendDecision(id, *row);
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
  if (BackendRow* backend = ChooseBackend(aRow)) {
    attempts_.Start(aId, aRow, backend->service + "/" + backend->spec.name);
    WatchFirstToken(aRow);
  } else {
    HandleNoBackend(aId, aRow);
  }
}

template<BackendChooser C>
BackendRow* BasicDispatchSystem<C>::ChooseBackend(const RequestRow& aRow)
{
  std::vector<const BackendRow*> fresh;
  std::vector<const BackendRow*> tried;
  for (const auto& [id, backend] : world_.backends) {
    if (backend.service == aRow.service && IsUsable(world_, backend)) {
      (aRow.avoid.contains(id) ? tried : fresh).push_back(&backend);
    }
  }
  const auto& candidates = fresh.empty() ? tried : fresh;
  if (candidates.empty()) {
    return nullptr;
  }
  const BackendRow& chosen =
    *candidates[chooser_.Choose(candidates, world_.Now(), world_.random)];
  return world_.backends.Find(chosen.service + "/" + chosen.spec.name);
}

/// A backend that only refused a connection is tried again after its pause.
template<BackendChooser C>
bool BasicDispatchSystem<C>::MayBackendReturnSoon(const RequestRow& aRow) const
{
  return std::ranges::any_of(world_.backends, [&](const auto& aItem) {
    const BackendRow& backend = aItem.second;
    return backend.service == aRow.service && !backend.leaving && !backend.gone;
  });
}

template<BackendChooser C>
void BasicDispatchSystem<C>::HandleNoBackend(RequestId aId, RequestRow& aRow)
{
  const bool wasDispatched = aRow.attempts > 0;
  const bool waits =
    MayBackendReturnSoon(aRow) || (aRow.kind == ServiceKind::Model && wasDispatched);
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
  if (row.callerGone) {
    EndClaim(row, ClaimEnd::How::Abandoned);
    EraseRequest(running.id, "caller gone");
    return;
  }
  DispatchLater(running.id, RetryDelay(row.attempts));
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
  constexpr int kFirstServerError = 500;
  constexpr int kTooManyRequests = 429;
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
  world_.Log(LogLevel::Warning, kPart,
             "attempt " + attempts_.NameOf(aId) + " at " + aRunning.attempt->backend +
               " is replaced: " + std::string(aReason));
  attempts_.End(aId, aReason);
  RetryModel(aRunning.id, *aRunning.request);
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
  if (aRow.attempts >= Policy().maxAttempts) {
    Fail(aId, aRow, ErrorKind::BackendFailed,
         "the request failed on " + std::to_string(aRow.attempts) + " attempts");
    return;
  }
  aRow.stage = RequestStage::Ready;
  DispatchLater(aId, RetryDelay(aRow.attempts));
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
  DispatchLater(aId, RetryDelay(aRow.attempts));
}

template<BackendChooser C>
void BasicDispatchSystem<C>::WatchFirstToken(const RequestRow& aRow)
{
  const ServiceSpec* service = FindService(aRow.service);
  if (aRow.kind == ServiceKind::Model && service) {
    WatchStall(aRow.attempt, world_.Now() + service->firstTokenTimeout);
  }
}

template<BackendChooser C>
void BasicDispatchSystem<C>::WatchStall(AttemptId aId, TimePoint aDue)
{
  world_.timers.SubscribeAt(aDue, [this, aId](TimePoint) { CheckStall(aId); });
}

template<BackendChooser C>
void BasicDispatchSystem<C>::CheckStall(AttemptId aId)
{
  const RunningAttempt running = attempts_.Find(aId);
  const ServiceSpec* service =
    running.request ? FindService(running.request->service) : nullptr;
  if (!service) {
    return;
  }
  const bool hasToken = running.attempt->lastToken > running.attempt->started;
  const TimePoint due = running.attempt->lastToken +
                        (hasToken ? service->tokenStall : service->firstTokenTimeout);
  if (world_.Now() < due) {
    WatchStall(aId, due);
    return;
  }
  world_.counters.Add(Counter::AttemptsStalled);
  ReplaceAttempt(aId, running, "no token in time");
}

template<BackendChooser C>
void BasicDispatchSystem<C>::Handle(const ReclaimNotice& aEvent)
{
  const Duration left = std::max(Duration::zero(), aEvent.timeLeft - kMoveMargin);
  const std::string host = aEvent.host;
  world_.timers.SubscribeAt(world_.Now() + left,
                            [this, host](TimePoint) { MoveFromHost(host); });
}

template<BackendChooser C>
void BasicDispatchSystem<C>::MoveFromHost(const std::string& aHost)
{
  std::vector<AttemptId> moving;
  for (const auto& [id, attempt] : world_.attempts) {
    const BackendRow* backend = world_.backends.Find(attempt.backend);
    const RequestRow* request = world_.requests.Find(attempt.request);
    if (backend && request && backend->spec.host == aHost && backend->leaving &&
        request->kind == ServiceKind::Model) {
      moving.push_back(id);
    }
  }
  for (const AttemptId id : moving) {
    ReplaceAttempt(id, attempts_.Find(id), "the host is reclaimed");
  }
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
void BasicDispatchSystem<C>::SendDecision(RequestId aId, const RequestRow& aRow)
{
  if (!aRow.decision || aRow.callerGone) {
    return;
  }
  if (const auto* error = std::get_if<Error>(&*aRow.decision)) {
    world_.counters.Add(Counter::RequestsRefused);
    replies_.SendError(aId, aRow, *error);
  } else {
    replies_.SendWhole(aId, aRow, std::get<StoredAnswer>(*aRow.decision));
  }
}

template<BackendChooser C>
void BasicDispatchSystem<C>::FinishModel(RequestId aId, RequestRow& aRow,
                                         std::string_view aFinishReason)
{
  replies_.SendModelEnd(aId, aRow, aFinishReason);
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
    replies_.SendError(aId, aRow, { aKind, std::move(aMessage) });
  }
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
  if (const RequestRow* row = world_.requests.Find(aId)) {
    world_.Emit(WriteSpan{ .trace = row->trace,
                           .span = row->span,
                           .parent = row->parent,
                           .name = "request",
                           .request = row->publicId,
                           .attempt = {},
                           .note = std::string(aResult),
                           .start = row->arrived,
                           .end = world_.Now() });
  }
  world_.requests.Erase(aId);
}

// ---- Look-ups ----

template<BackendChooser C>
const ServiceSpec* BasicDispatchSystem<C>::FindService(const std::string& aName) const
{
  const auto found = world_.resources.find({ "service", aName });
  return found == world_.resources.end() ? nullptr
                                         : &std::get<ServiceSpec>(found->second.spec);
}

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
