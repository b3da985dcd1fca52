#include "entry/request_system.h"

#include <algorithm>
#include <utility>

#include "entry/attempt_log.h"
#include "entry/backend_choice.h"
#include "entry/backend_notice.h"
#include "entry/call_validation.h"
#include "entry/duration_text.h"
#include "entry/fleet_system.h"
#include "entry/placement_system.h"
#include "entry/stop_system.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// A backend that refused a connection is not selected for this time. It is slightly
// longer than the balancer takes to detect a restart.
constexpr Duration kRefusedBackOff = milliseconds(700);

// An attempt that was not sent within this time of the selection of its backend is not
// sent at all: if the daemon was suspended in between, the backend may no longer accept
// calls. The time is long enough to connect.
constexpr Duration kSendTimeout = milliseconds(450);

// Without a timeout from the caller, only the route's timeout limits the call.
constexpr Duration kDefaultCallerTimeout = std::chrono::hours(1);

// A daemon reads the store about 100 ms after its start. Calls that arrive earlier wait
// up to this time, which is shorter than any realistic Retry-After.
constexpr Duration kStartupWait = milliseconds(250);

// Retry-After when no backend is available. The next fleet update may add one.
constexpr Duration kNoBackendRetryAfter = milliseconds(400);

// Minimum Retry-After when all backends are at their limits. Callers that return sooner
// would mostly be refused again.
constexpr Duration kMinLimitRetryAfter = milliseconds(100);

// Longest time for which a call waits for permits of limited backends.
constexpr Duration kMaxPermitWait = milliseconds(100);

// Retry-After when another daemon can serve the call at once.
constexpr Duration kDrainingRetryAfter = milliseconds(20);

// Retry-After when a backend refused the call. Its queue shortens within a fraction of
// the duration of a call.
constexpr Duration kRefusedRetryAfter = milliseconds(150);

// A call is accepted if its first event is expected within this multiple of the latency
// objective. Engines serve the most urgent calls first, so these begin earlier than
// expected and get the higher limit.
constexpr double kUrgentLatencyFactor = 2.0;
constexpr double kDefaultLatencyFactor = 1.3;

constexpr uint32_t kMaxUrgency = 9;

// When this number of backends ended with a prompt part, calls with it that wait at other
// backends are given up too. With fewer, their answers may still show that it is safe.
constexpr size_t kStoppingStarts = 3;

/// Returns the longest expected time to the first event with which a call is accepted.
/// Later calls are refused because they are of little use to their callers and delay the
/// calls behind them.
double MaxFirstEventMs(const RequestRow& aRow)
{
  const double factor =
    aRow.route->priority == 0 ? kUrgentLatencyFactor : kDefaultLatencyFactor;
  return factor * ToMs(aRow.route->latencyObjective);
}

/// Returns the urgency that is sent to the backend: the team's priority if it has one,
/// otherwise the route's.
uint32_t UrgencyOf(const RequestRow& aRow)
{
  const bool hasTeamPriority = aRow.team != nullptr && aRow.team->priority;
  const uint32_t priority = hasTeamPriority ? *aRow.team->priority : aRow.route->priority;
  return std::min(priority, kMaxUrgency);
}

} // namespace

void RequestSystem::Start()
{
  world_.timers.SubscribeAt(world_.started + kStartupWait, [](TimePoint) {});
  watch_.Start(
    { .mayMove =
        [this](const RequestRow& aRow) { return retries_.IsAllowed(aRow, false); },
      .move = [this](RequestRef aRequest,
                     const std::string& aReason) { Retry(aRequest, false, aReason); } });
}

void RequestSystem::Handle(const CallArrived& aEvent)
{
  world_.counters.Add(EntryCounter::CallsArrived);
  RequestRow& row = world_.requests.Insert(
    aEvent.exchange, RequestRow{ .call = aEvent.call, .arrived = aEvent.call.started });
  if (IsStarting()) {
    world_.Log(LogLevel::Info, "held", row.call.requestId,
               { { "reason", "the store has not been read yet" } });
    waitingCalls_.push_back(aEvent.exchange);
    return;
  }
  Admit({ aEvent.exchange, &row });
}

bool RequestSystem::IsStarting() const
{
  const bool isRead = world_.configuration && world_.isFleetRead;
  return !isRead && world_.Now() < world_.started + kStartupWait;
}

void RequestSystem::Run()
{
  WithdrawUnsentAttempts();
  StopBlockedAttempts();
  DispatchAwaitingPermit();
  DispatchPlaced();
  if (waitingCalls_.empty() || IsStarting()) {
    return;
  }
  for (const ExchangeId id : std::exchange(waitingCalls_, {})) {
    if (RequestRow* row = world_.requests.Find(id)) {
      Admit({ id, row });
    }
  }
}

void RequestSystem::WithdrawUnsentAttempts()
{
  const std::vector<std::string> backends = std::exchange(world_.unusableBackends, {});
  if (backends.empty()) {
    return;
  }
  for (const auto& [id, attempt] : world_.attempts) {
    if (!attempt.wasSent &&
        std::ranges::find(backends, attempt.backend) != backends.end()) {
      attempts_.Withdraw(id);
    }
  }
}

void RequestSystem::StopBlockedAttempts()
{
  if (!std::exchange(world_.hasNewPartBlocks, false)) {
    return;
  }
  std::vector<ExchangeId> stopped;
  for (const auto& [id, attempt] : world_.attempts) {
    const RequestRow* row = world_.requests.Find(attempt.exchange);
    if (row == nullptr || attempt.hasEvents) {
      continue;
    }
    const size_t engines = parts_.EnginesOfBlock(*row);
    if (engines == 0) {
      continue;
    }
    if (!attempt.wasSent) {
      attempts_.Withdraw(id);
    } else if (engines >= kStoppingStarts) {
      stopped.push_back(attempt.exchange);
    }
  }
  for (const ExchangeId id : stopped) {
    const RequestRef request{ id, world_.requests.Find(id) };
    attempts_.Cancel(*request.row);
    world_.counters.Add(EntryCounter::PartsStopped);
    if (!RefuseBlocked(request)) {
      Retry(request, false, "the request or a part of its prompt was blocked");
    }
  }
}

bool RequestSystem::RefuseBlocked(RequestRef aRequest)
{
  const auto refusal = parts_.Check(*aRequest.row);
  if (!refusal) {
    return false;
  }
  world_.counters.Add(EntryCounter::PartsRefused);
  completion_.EndUnserved(aRequest, refusal->error, refusal->retryAfter);
  return true;
}

void RequestSystem::Admit(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  if (RefusesNewCalls(world_)) {
    completion_.SendError(aRequest, Error{ ErrorKind::Draining, "the daemon stops" },
                          kDrainingRetryAfter);
    return;
  }
  const auto validated = ValidateCall(world_, row.call);
  if (!validated) {
    completion_.SendError(
      aRequest, validated.error(),
      validated.error().kind == ErrorKind::NotReady ? kNoBackendRetryAfter : Duration{});
    return;
  }
  row.print = PrintOf(row.call);
  row.configuration = validated->configuration;
  row.route = validated->route;
  row.team = validated->team;
  row.service = PickService(*row.route, row.call.requestId);
  const Duration callerTimeout = row.call.callerTimeout.value_or(kDefaultCallerTimeout);
  row.deadline = row.arrived + std::min(callerTimeout, row.route->timeout);
  if (row.team != nullptr) {
    TeamRow* team = world_.teams.Find(row.team->name);
    if (team != nullptr && !team->quota.TryAdmit(world_.Now(), validated->quotaCost)) {
      completion_.SendError(
        aRequest,
        Error{ ErrorKind::RateLimited, "team " + row.team->name +
                                         " is over its limit of " +
                                         MsText(row.team->ratePerSecond) + " a second" },
        std::max<Duration>(team->quota.RefillTime(world_.Now()), milliseconds(50)));
      return;
    }
    row.quotaCost = validated->quotaCost;
    world_.isDigestDue = true;
  }
  row.deadlineTimer = world_.timers.SubscribeAt(
    row.deadline, [this, id = aRequest.id](TimePoint) { OnDeadline(id); });
  Dispatch(aRequest);
}

void RequestSystem::Dispatch(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  row.stage = RequestStage::Choosing;
  if (RefuseBlocked(aRequest) || AskForPlacement(aRequest)) {
    return;
  }
  const auto choice = ChooseBackend(world_, row);
  if (!choice) {
    RefuseUnserved(aRequest);
    return;
  }
  const Duration remaining = row.deadline - world_.Now();
  if (remaining < RetryDecision::kMinTimeLeft) {
    completion_.EndUnserved(
      aRequest, Error{ ErrorKind::QueueTimeout, "there is no time left" }, {});
    return;
  }
  const double maxFirstEventMs = std::min(ToMs(remaining), MaxFirstEventMs(row));
  if (row.countedAttempts == 0 && choice->expectedMs > maxFirstEventMs) {
    const std::string reason = "the best backend is expected to begin in " +
                               MsText(choice->expectedMs) + " ms, which is too late";
    completion_.EndUnserved(aRequest, Error{ ErrorKind::Overloaded, reason },
                            FromMs(choice->expectedMs - maxFirstEventMs / 2));
    return;
  }
  if (TakePermit(aRequest, *world_.backends.Find(choice->id))) {
    StartAttemptAt(aRequest, *choice);
  }
}

void RequestSystem::RefuseUnserved(RequestRef aRequest)
{
  const RequestRow& row = *aRequest.row;
  const Duration retryAfter = TimeUntilUsable(world_, row).value_or(kNoBackendRetryAfter);
  const std::string limits = DescribeLimits(world_, row);
  if (limits.empty()) {
    completion_.EndUnserved(
      aRequest, Error{ ErrorKind::NoBackend, "no backend serves this route now" },
      retryAfter);
    return;
  }
  world_.counters.Add(EntryCounter::LimitsRefused);
  completion_.EndUnserved(
    aRequest,
    Error{ ErrorKind::Overloaded,
           "the backends are at the requests a second that they take: " + limits },
    std::max(retryAfter, kMinLimitRetryAfter));
}

bool RequestSystem::TakePermit(RequestRef aRequest, BackendRow& aBackend)
{
  if (!aBackend.limit.Enforced() || aBackend.permits.Take(world_.Now())) {
    return true;
  }
  RequestRow& row = *aRequest.row;
  row.stage = RequestStage::AwaitingPermit;
  row.permitBackend = aBackend.entry.id;
  row.permitWaitEnd = row.permitWaitEnd.value_or(world_.Now() + kMaxPermitWait);
  aBackend.permits.AddWaiting(world_.Now());
  world_.permitsWanted.insert(aBackend.entry.id);
  awaitingPermit_.push_back(aRequest.id);
  return false;
}

void RequestSystem::DispatchAwaitingPermit()
{
  for (const ExchangeId id : std::exchange(awaitingPermit_, {})) {
    RequestRow* row = world_.requests.Find(id);
    if (row == nullptr || row->stage != RequestStage::AwaitingPermit) {
      continue;
    }
    const BackendRow* backend = world_.backends.Find(row->permitBackend);
    if (backend != nullptr && backend->permits.PendingAsk() != nullptr) {
      awaitingPermit_.push_back(id);
    } else {
      Dispatch({ id, row });
    }
  }
}

bool RequestSystem::AskForPlacement(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  const Duration remaining = row.deadline - world_.Now();
  if (!MayBePlaced(world_, row) || remaining < RetryDecision::kMinTimeLeft) {
    return false;
  }
  row.stage = RequestStage::AwaitingPlacement;
  row.placement.state = PlacementState::Awaited;
  row.placement.longestTime = row.countedAttempts == 0
                                ? std::min(remaining, FromMs(MaxFirstEventMs(row)))
                                : remaining;
  world_.placementsWanted.push_back(aRequest.id);
  return true;
}

void RequestSystem::DispatchPlaced()
{
  for (const ExchangeId id : std::exchange(world_.placementsDecided, {})) {
    RequestRow* row = world_.requests.Find(id);
    if (row == nullptr || row->stage != RequestStage::AwaitingPlacement) {
      continue;
    }
    if (row->placement.state == PlacementState::Refused) {
      completion_.EndUnserved(
        { id, row },
        Error{ ErrorKind::Overloaded, "no slot of the service is free in time" },
        row->placement.retryAfter);
    } else if (!RefuseBlocked({ id, row }) && !StartPlaced({ id, row })) {
      Dispatch({ id, row });
    }
  }
}

bool RequestSystem::StartPlaced(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  if (row.placement.state != PlacementState::Placed) {
    return false;
  }
  BackendRow* backend = world_.backends.Find(row.placement.backend);
  const bool hasTime = row.deadline - world_.Now() >= RetryDecision::kMinTimeLeft;
  if (hasTime && backend != nullptr && IsUsable(*backend, world_.Now()) &&
      (!backend->limit.Enforced() || backend->permits.Take(world_.Now()))) {
    LogPlacement(world_, row);
    StartAttemptAt(aRequest, PlacedChoice(world_, row, *backend));
    return true;
  }
  world_.endedPlacements.push_back({ .id = row.placement.id });
  row.placement = { .state = PlacementState::Alone };
  return false;
}

void RequestSystem::StartAttemptAt(RequestRef aRequest, const BackendChoice& aChoice)
{
  RequestRow& row = *aRequest.row;
  const BackendRow& backend = *world_.backends.Find(aChoice.id);
  world_.counters.Add(EntryCounter::LimitsAvoided, aChoice.avoidsLimit ? 1 : 0);
  const AttemptId id = attempts_.Begin(aRequest, aChoice);
  const TimePoint now = world_.Now();
  row.stage = RequestStage::Running;
  row.permitWaitEnd.reset();
  const bool isStream = row.route->kind == CallKind::Streaming;
  const std::string& resumeAfterId =
    row.lastEventId.empty() ? row.call.lastEventId : row.lastEventId;
  LogAttempt(world_, row, aChoice);
  world_.Emit(StartAttempt{ .attempt = id,
                            .backend = aChoice.id,
                            .address = backend.entry.address,
                            .method = row.call.method,
                            .target = row.call.target,
                            .headers = row.call.headers,
                            .body = row.call.body,
                            .requestId = row.call.requestId,
                            .team = row.team == nullptr ? std::string() : row.team->name,
                            .lastEventId = resumeAfterId,
                            .timeLeft = row.deadline - now,
                            .sendBy = now + kSendTimeout,
                            .urgency = UrgencyOf(row),
                            .isModelRequest = row.call.model.has_value(),
                            .isStream = isStream,
                            .mayRetry = IsRetrySafe(row) });
  if (IsRetrySafe(row) && row.countedAttempts + 1 < row.route->maxAttempts) {
    watch_.ExpectFirstEvent(aRequest, aChoice.expectedMs);
  }
}

void RequestSystem::Handle(const AttemptNotSent& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  world_.counters.Add(EntryCounter::AttemptsNotSent);
  RequestRow& row = *running->request.row;
  if (running->backend != nullptr) {
    running->backend->health.RecordFailure(world_.Now());
    running->backend->avoidUntil = world_.Now() + kRefusedBackOff;
  }
  row.failedBackends.push_back(running->attempt->backend);
  attempts_.Remove(aEvent.attempt);
  constexpr size_t kMaxConnectFailures =
    5; // connect failures after which a call is refused
  if (row.failedBackends.size() >= kMaxConnectFailures) {
    completion_.EndUnserved(
      running->request,
      Error{ ErrorKind::NoBackend, "no backend could be reached: " + aEvent.reason },
      kNoBackendRetryAfter);
    return;
  }
  Dispatch(running->request);
}

void RequestSystem::Handle(const AttemptWithdrawn& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  world_.counters.Add(EntryCounter::AttemptsRedirected);
  attempts_.Remove(aEvent.attempt);
  if (running->request.row->deadline <= world_.Now()) {
    EndAtDeadline(running->request);
    return;
  }
  Dispatch(running->request);
}

void RequestSystem::Handle(const AttemptSent& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  RequestRow& row = *running->request.row;
  running->attempt->wasSent = true;
  running->attempt->sent = world_.Now();
  row.countedAttempts += 1;
  row.sentAttempts += 1;
  row.mayHaveExecuted = true;
  world_.counters.Add(EntryCounter::AttemptsSent);
  if (row.sentAttempts == 1) {
    world_.retryBudgets.try_emplace(row.service, RetryBudget(world_.options.retryBudget))
      .first->second.CountCall(world_.Now());
  }
  if (row.deadline <= world_.Now()) {
    OnDeadline(running->request.id); // it was sent before it could be withdrawn
  }
}

void RequestSystem::Handle(const AttemptAnswered& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  RequestRow& row = *running->request.row;
  const ResponseHead& head = aEvent.head;
  if (running->backend != nullptr) {
    ApplyBackendNotice(world_, *running->backend, head, running->attempt->sent);
  }
  if (head.isMisdirected || head.wasNotExecuted) {
    world_.counters.Add(EntryCounter::AttemptsRefused);
    if (running->backend != nullptr) {
      running->backend->health.RecordFailure(world_.Now());
      if (head.isMisdirected) {
        running->backend->avoidUntil = world_.Now() + kRefusedBackOff;
      }
    }
    row.failedBackends.push_back(running->attempt->backend);
    row.mayHaveExecuted = row.countedAttempts > 1;
    if (head.isMisdirected) {
      row.countedAttempts -= 1; // it did not reach the intended backend
    }
    attempts_.Remove(aEvent.attempt);
    Retry(running->request, true, "backend refused with " + std::to_string(head.status));
    return;
  }
  const bool isMalformed =
    head.status < 300 && (!head.hasResponseStamp || head.hasContentEncoding);
  const bool isFailure = head.status >= 500 || isMalformed;
  if (head.status < 300 && !isMalformed) {
    parts_.RecordFirstEvent(row);
  }
  if (!isMalformed) {
    parts_.RecordAnswer(row);
  }
  if (running->backend != nullptr) {
    parts_.RecordAlive(*running->backend);
  }
  if (running->backend != nullptr && isFailure) {
    running->backend->health.RecordFailure(world_.Now());
  } else {
    attempts_.RecordFirstResponse(*running);
  }
  attempts_.CountUsage(row, running->attempt->sent);
  if (isFailure && IsRetrySafe(row) && retries_.IsAllowed(row, false)) {
    row.failedBackends.push_back(running->attempt->backend);
    attempts_.Remove(aEvent.attempt);
    Retry(running->request, false,
          isMalformed ? "answer was malformed"
                      : "backend answered " + std::to_string(head.status));
    return;
  }
  if (isMalformed) {
    attempts_.Remove(aEvent.attempt);
    completion_.SendError(running->request,
                          Error{ ErrorKind::BackendFailed, "the answer was malformed" });
    return;
  }
  const std::string backend = running->attempt->backend;
  attempts_.Remove(aEvent.attempt);
  completion_.ForwardResponse(running->request, backend, aEvent);
}

void RequestSystem::Handle(const StreamStarted& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  RequestRow& row = *running->request.row;
  running->attempt->lastEvent = world_.Now();
  if (running->backend != nullptr) {
    ApplyBackendNotice(world_, *running->backend, aEvent.head, running->attempt->sent);
  }
  if (!aEvent.head.hasResponseStamp || aEvent.head.hasContentEncoding) {
    world_.Emit(CancelAttempt{ aEvent.attempt });
    Handle(AttemptBroken{ aEvent.attempt, "the head of the stream was malformed" });
    return;
  }
  if (row.headSent) {
    world_.counters.Add(EntryCounter::StreamsResumed);
    return;
  }
  row.streamHead = aEvent.head;
}

void RequestSystem::Handle(const StreamEvents& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  RequestRow& row = *running->request.row;
  AttemptRow& attempt = *running->attempt;
  if (!attempt.hasEvents) {
    attempt.hasEvents = true;
    world_.timers.Cancel(row.hedgeTimer);
    attempts_.RecordFirstResponse(*running);
    parts_.RecordFirstEvent(row);
    if (running->backend != nullptr) {
      running->backend->waitingTokens -= attempt.waitingTokens;
      world_.isDigestDue = true;
    }
    attempt.waitingTokens = 0;
    attempts_.CountUsage(row, world_.Now());
  }
  attempt.lastEvent = world_.Now();
  if (running->backend != nullptr) {
    parts_.RecordAlive(*running->backend);
  }
  if (row.stallTimer == TimerId{} && IsRetrySafe(row)) {
    watch_.ExpectNextEvent(running->request, attempt.lastEvent);
  }
  if (!row.headSent) {
    world_.counters.Observe(EntryHistogram::FirstEvent, ToMs(world_.Now() - row.arrived));
    completion_.BeginStream(running->request);
  }
  if (!aEvent.lastId.empty()) {
    row.lastEventId = aEvent.lastId;
  }
  world_.Emit(WriteStreamBytes{ running->request.id, aEvent.bytes });
}

void RequestSystem::Handle(const StreamEnded& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  world_.serviceStats[running->request.row->service].RecordSlotTime(
    ToMs(world_.Now() - running->attempt->sent));
  const std::string backend = running->attempt->backend;
  parts_.RecordAnswer(*running->request.row);
  attempts_.Remove(aEvent.attempt);
  if (!IsEndShown(*running->request.row, aEvent.received)) {
    running->request.row->failedBackends.push_back(backend);
    Retry(running->request, false, "nothing marks the end of the resumed stream");
    return;
  }
  completion_.CompleteStream(running->request, backend, aEvent.received);
}

void RequestSystem::Handle(const AttemptBroken& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  world_.counters.Add(EntryCounter::AttemptsBroken);
  if (aEvent.cause == BreakCause::Oversized) {
    world_.counters.Add(EntryCounter::ResponsesOversized);
  }
  RequestRow& row = *running->request.row;
  LogBrokenAttempt(world_, *running, aEvent);
  if (IsConnectionEnd(aEvent.cause)) {
    row.brokenStarts += running->attempt->hasEvents ? 0 : 1;
    parts_.RecordBroken(*running);
  }
  if (running->backend != nullptr) {
    running->backend->health.RecordFailure(world_.Now());
  }
  row.failedBackends.push_back(running->attempt->backend);
  attempts_.Remove(aEvent.attempt);
  Retry(running->request, false, aEvent.reason);
}

void RequestSystem::Retry(RequestRef aRequest, bool aIsKnownNotExecuted,
                          const std::string& aReason)
{
  RequestRow& row = *aRequest.row;
  const auto denial = retries_.Deny(row, aIsKnownNotExecuted);
  LogFailedAttempt(world_, row, aReason, denial);
  if (denial) {
    const bool hasAlternative = ChooseBackend(world_, row).has_value();
    completion_.EndUnserved(
      aRequest, Error{ ErrorKind::Overloaded, aReason },
      hasAlternative ? kRefusedRetryAfter
                     : TimeUntilUsable(world_, row).value_or(kNoBackendRetryAfter));
    return;
  }
  world_.counters.Add(EntryCounter::AttemptsRetried);
  Dispatch(aRequest);
}

void RequestSystem::OnDeadline(ExchangeId aId)
{
  RequestRow* row = world_.requests.Find(aId);
  if (row == nullptr) {
    return;
  }
  const auto running = attempts_.Find(row->attempt);
  if (running && running->backend != nullptr) {
    running->backend->health.RecordFailure(world_.Now());
  }
  if (running && !running->attempt->wasSent) {
    attempts_.Withdraw(running->id);
    return; // AttemptWithdrawn or AttemptSent ends the request
  }
  attempts_.Cancel(*row);
  EndAtDeadline({ aId, row });
}

void RequestSystem::EndAtDeadline(RequestRef aRequest)
{
  if (aRequest.row->countedAttempts > 0 && !aRequest.row->headSent) {
    completion_.SendError(
      aRequest, Error{ ErrorKind::DeadlineExceeded, "no answer came within the time" });
    return;
  }
  completion_.EndUnserved(aRequest,
                          Error{ ErrorKind::QueueTimeout, "there is no time left" }, {});
}

void RequestSystem::Handle(const CallerDisconnected& aEvent)
{
  RequestRow* row = world_.requests.Find(aEvent.exchange);
  if (row == nullptr) {
    return;
  }
  world_.counters.Add(EntryCounter::CallersDisconnected);
  const Duration latencyObjective =
    row->route != nullptr ? row->route->latencyObjective : Duration{};
  world_.Log(LogLevel::Info, "caller_gone", row->call.requestId,
             { { "ms", MsText(ToMs(world_.Now() - row->arrived)) },
               { "objective_ms", MsText(ToMs(latencyObjective)) },
               { "sends", std::to_string(row->countedAttempts) } });
  attempts_.Cancel(*row);
  completion_.Remove({ aEvent.exchange, row });
}

} // namespace gooseberrypath::entry
