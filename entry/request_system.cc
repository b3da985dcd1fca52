#include "entry/request_system.h"

#include <algorithm>
#include <utility>

#include "entry/backend_choice.h"
#include "entry/backend_notice.h"
#include "entry/call_validation.h"
#include "entry/duration_text.h"
#include "entry/stop_system.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// A backend that refused a connection is passed over for this time, a little longer than
// the balancer needs to notice a restart.
constexpr Duration kRefusedPause = milliseconds(700);

// With less time than this no backend can answer, so nothing is sent.
constexpr Duration kMinTimeLeft = milliseconds(20);

// A call is sent within this time of its choice or not at all: a daemon that was frozen
// in between no longer knows whether the backend takes calls. It is longer than
// connecting takes.
constexpr Duration kSendTime = milliseconds(450);

// A resumable stream moves to another engine when no whole event came for this many of
// the longest pauses that are in time, and not before this time. Callers give up after
// twice as long; engines that only read in a long prompt beside the stream pause for
// less.
constexpr int kStallPauses = 4;
constexpr Duration kMinStall = milliseconds(1000);

// A caller of a call without a deadline is expected to wait as long as its route allows.
constexpr Duration kNoPatience = std::chrono::hours(1);

// A daemon that has started has read the store about 100 ms later. Its first callers wait
// this long for it, which is shorter than any Retry-After that would be true.
constexpr Duration kStartWait = milliseconds(250);

// Retry-After when there is no backend: one arrives with the next entries.
constexpr Duration kNoBackendRetry = milliseconds(400);

// Retry-After when another daemon can serve the call at once.
constexpr Duration kElsewhereRetry = milliseconds(20);

// Retry-After when a backend refused: its queue moves on within a fraction of a call.
constexpr Duration kFullRetry = milliseconds(150);

// A call that may be repeated is sent to another backend when its first event is this
// many times later than expected, and not before this time.
constexpr double kHedgeFactor = 4;
constexpr Duration kMinHedge = milliseconds(250);

// Calls are taken while the expected first event is within this multiple of the
// objective. The most urgent ones overtake others at the engines, so they begin earlier
// than expected.
constexpr double kUrgentLateness = 2.0;
constexpr double kOtherLateness = 1.3;

constexpr uint32_t kMaxUrgency = 9;

/// Returns the latest expected first event, from now, with which a call is still taken. A
/// call that begins far beyond its objective helps its caller little and makes the calls
/// behind it late as well.
double LatestFirstEventMs(const RequestRow& aRow)
{
  const double factor = aRow.route->priority == 0 ? kUrgentLateness : kOtherLateness;
  return factor * ToMs(aRow.route->latencyObjective);
}

uint32_t UrgencyOf(const RequestRow& aRow)
{
  const bool hasTeamPriority = aRow.team != nullptr && aRow.team->priority;
  const uint32_t priority = hasTeamPriority ? *aRow.team->priority : aRow.route->priority;
  return std::min(priority, kMaxUrgency);
}

} // namespace

bool RequestSystem::MayRunAgain(const RequestRow& aRow) const
{
  return aRow.route->kind == CallKind::Idempotent ||
         (aRow.route->kind == CallKind::Streaming && aRow.route->isResumable);
}

void RequestSystem::Start()
{
  world_.timers.SubscribeAt(world_.started + kStartWait, [](TimePoint) {});
}

void RequestSystem::Handle(const CallArrived& aEvent)
{
  world_.counters.Add(EntryCounter::CallsArrived);
  RequestRow& row = world_.requests.Insert(
    aEvent.exchange, RequestRow{ .call = aEvent.call, .arrived = aEvent.call.started });
  if (IsStarting()) {
    world_.Log(LogLevel::Info, "held", row.call.requestId,
               { { "reason", "the store has not been read yet" } });
    held_.push_back(aEvent.exchange);
    return;
  }
  Admit({ aEvent.exchange, &row });
}

bool RequestSystem::IsStarting() const
{
  const bool isRead = world_.configuration && world_.isFleetRead;
  return !isRead && world_.Now() < world_.started + kStartWait;
}

void RequestSystem::Run()
{
  Withdraw();
  if (held_.empty() || IsStarting()) {
    return;
  }
  for (const ExchangeId id : std::exchange(held_, {})) {
    if (RequestRow* row = world_.requests.Find(id)) {
      Admit({ id, row });
    }
  }
}

void RequestSystem::Withdraw()
{
  const std::vector<std::string> backends = std::exchange(world_.unusableBackends, {});
  if (backends.empty()) {
    return;
  }
  std::vector<ExchangeId> unsent;
  for (const auto& [id, attempt] : world_.attempts) {
    if (!attempt.wasSent &&
        std::ranges::find(backends, attempt.backend) != backends.end()) {
      unsent.push_back(attempt.exchange);
    }
  }
  for (const ExchangeId id : unsent) {
    RequestRow* row = world_.requests.Find(id);
    if (row == nullptr || row->attempt == AttemptId{}) {
      continue;
    }
    world_.counters.Add(EntryCounter::AttemptsWithdrawn);
    attempts_.Cancel(*row);
    Dispatch({ id, row });
  }
}

void RequestSystem::Admit(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  if (RefusesNewCalls(world_)) {
    end_.WithError(aRequest, Error{ ErrorKind::Draining, "the daemon stops" },
                   kElsewhereRetry);
    return;
  }
  const auto intake = ValidateCall(world_, row.call);
  if (!intake) {
    end_.WithError(aRequest, intake.error(),
                   intake.error().kind == ErrorKind::NotReady ? kNoBackendRetry
                                                              : Duration{});
    return;
  }
  row.configuration = intake->configuration;
  row.route = intake->route;
  row.team = intake->team;
  row.service = PickService(*row.route, row.call.requestId);
  const Duration callerTimeout = row.call.callerTimeout.value_or(kNoPatience);
  row.deadline = row.arrived + std::min(callerTimeout, row.route->timeout);
  if (row.team != nullptr) {
    TeamRow* team = world_.teams.Find(row.team->name);
    if (team != nullptr && !team->quota.TryAdmit(world_.Now(), intake->quotaCost)) {
      end_.WithError(
        aRequest,
        Error{ ErrorKind::RateLimited, "team " + row.team->name +
                                         " is over its limit of " +
                                         MsText(row.team->ratePerSecond) + " a second" },
        std::max<Duration>(team->quota.RefillTime(world_.Now()), milliseconds(50)));
      return;
    }
    row.quotaCost = intake->quotaCost;
    world_.isDigestDue = true;
  }
  row.deadlineTimer = world_.timers.SubscribeAt(
    row.deadline, [this, id = aRequest.id](TimePoint) { OnDue(id); });
  Dispatch(aRequest);
}

void RequestSystem::Dispatch(RequestRef aRequest)
{
  RequestRow& row = *aRequest.row;
  row.stage = RequestStage::Choosing;
  const auto choice = ChooseBackend(world_, row);
  if (!choice) {
    end_.Unserved(aRequest,
                  Error{ ErrorKind::NoBackend, "no backend serves this route now" },
                  TimeUntilUsable(world_, row).value_or(kNoBackendRetry));
    return;
  }
  const Duration left = row.deadline - world_.Now();
  if (left < kMinTimeLeft) {
    end_.Unserved(aRequest, Error{ ErrorKind::QueueTimeout, "there is no time left" },
                  {});
    return;
  }
  const double latestMs = std::min(ToMs(left), LatestFirstEventMs(row));
  if (row.countedAttempts == 0 && choice->expectedMs > latestMs) {
    const std::string reason = "the best backend is expected to begin in " +
                               MsText(choice->expectedMs) + " ms, which is too late";
    end_.Unserved(aRequest, Error{ ErrorKind::Overloaded, reason },
                  FromMs(choice->expectedMs - latestMs / 2));
    return;
  }
  StartAttemptAt(aRequest, *choice);
}

void RequestSystem::StartAttemptAt(RequestRef aRequest, const BackendChoice& aChoice)
{
  RequestRow& row = *aRequest.row;
  const BackendRow& backend = *world_.backends.Find(aChoice.id);
  const AttemptId id = attempts_.Begin(aRequest, aChoice);
  const TimePoint now = world_.Now();
  row.stage = RequestStage::Running;
  const bool isStream = row.route->kind == CallKind::Streaming;
  const std::string& resumeAt =
    row.lastEventId.empty() ? row.call.lastEventId : row.lastEventId;
  world_.Log(LogLevel::Info, "attempt", row.call.requestId,
             { { "backend", aChoice.id },
               { "number", std::to_string(row.countedAttempts + 1) },
               { "expected_ms", MsText(aChoice.expectedMs) },
               { "in_flight", std::to_string(aChoice.inFlight) },
               { "waiting_tokens", MsText(aChoice.waitingTokens) },
               { "missing_tokens", std::to_string(aChoice.uncachedTokens) },
               { "version", std::to_string(row.configuration->version) } });
  world_.Emit(StartAttempt{ .attempt = id,
                            .backend = aChoice.id,
                            .address = backend.entry.address,
                            .method = row.call.method,
                            .target = row.call.target,
                            .headers = row.call.headers,
                            .body = row.call.body,
                            .requestId = row.call.requestId,
                            .team = row.team == nullptr ? std::string() : row.team->name,
                            .lastEventId = resumeAt,
                            .timeLeft = row.deadline - now,
                            .sendBy = now + kSendTime,
                            .urgency = UrgencyOf(row),
                            .isModelRequest = row.call.model.has_value(),
                            .isStream = isStream,
                            .mayRetry = MayRunAgain(row) });
  if (MayRunAgain(row) && row.countedAttempts + 1 < row.route->maxAttempts) {
    const Duration wait =
      std::max<Duration>({ kMinHedge, FromMs(kHedgeFactor * aChoice.expectedMs),
                           row.route->latencyObjective / 2 });
    row.hedgeTimer = world_.timers.SubscribeAt(
      now + wait, [this, exchange = aRequest.id](TimePoint) { OnHedge(exchange); });
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
    running->backend->avoidUntil = world_.Now() + kRefusedPause;
  }
  row.failedBackends.push_back(running->attempt->backend);
  attempts_.Forget(aEvent.attempt);
  constexpr size_t kMaxConnects = 5; // backends that are tried without a connection
  if (row.failedBackends.size() >= kMaxConnects) {
    end_.Unserved(
      running->request,
      Error{ ErrorKind::NoBackend, "no backend could be reached: " + aEvent.reason },
      kNoBackendRetry);
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
    ApplyBackendNotice(world_, *running->backend, head);
  }
  if (head.isMisdirected || head.wasNotExecuted) {
    world_.counters.Add(EntryCounter::AttemptsRefused);
    if (running->backend != nullptr) {
      running->backend->health.RecordFailure(world_.Now());
      if (head.isMisdirected) {
        running->backend->avoidUntil = world_.Now() + kRefusedPause;
      }
    }
    row.failedBackends.push_back(running->attempt->backend);
    row.mayHaveExecuted = row.countedAttempts > 1;
    if (head.isMisdirected) {
      row.countedAttempts -= 1; // it reached a backend that this call was not meant for
    }
    attempts_.Forget(aEvent.attempt);
    Repeat(running->request, true, "backend refused with " + std::to_string(head.status));
    return;
  }
  const bool isMalformed =
    head.status < 300 && (!head.isSigned || head.hasContentEncoding);
  const bool isFailure = head.status >= 500 || isMalformed;
  if (running->backend != nullptr && isFailure) {
    running->backend->health.RecordFailure(world_.Now());
  } else {
    attempts_.LearnFirstEvent(*running);
  }
  attempts_.CountUsage(row, running->attempt->sent);
  if (isFailure && MayRunAgain(row) && !ReasonAgainstRepeat(row, false)) {
    row.failedBackends.push_back(running->attempt->backend);
    attempts_.Forget(aEvent.attempt);
    Repeat(running->request, false,
           isMalformed ? "answer was malformed"
                       : "backend answered " + std::to_string(head.status));
    return;
  }
  if (isMalformed) {
    attempts_.Forget(aEvent.attempt);
    end_.WithError(running->request,
                   Error{ ErrorKind::BackendFailed, "the answer was malformed" });
    return;
  }
  const std::string backend = running->attempt->backend;
  attempts_.Forget(aEvent.attempt);
  end_.WithAnswer(running->request, backend, aEvent);
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
    ApplyBackendNotice(world_, *running->backend, aEvent.head);
  }
  if (!aEvent.head.isSigned || aEvent.head.hasContentEncoding) {
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
    attempts_.LearnFirstEvent(*running);
    if (running->backend != nullptr) {
      running->backend->waitingTokens -= attempt.waitingTokens;
      world_.isDigestDue = true;
    }
    attempt.waitingTokens = 0;
    attempts_.CountUsage(row, world_.Now());
  }
  attempt.lastEvent = world_.Now();
  if (row.stallTimer == TimerId{} && MayRunAgain(row)) {
    WatchStall(running->request, attempt.lastEvent);
  }
  if (!row.headSent) {
    row.headSent = true;
    world_.counters.Observe(EntryHistogram::FirstEvent, ToMs(world_.Now() - row.arrived));
    world_.Emit(WriteStreamHead{ running->request.id, row.streamHead.status,
                                 row.streamHead.headers });
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
  attempts_.Forget(aEvent.attempt);
  end_.WithStreamEnd(running->request, backend);
}

void RequestSystem::Handle(const AttemptBroken& aEvent)
{
  const auto running = attempts_.Find(aEvent.attempt);
  if (!running) {
    return;
  }
  world_.counters.Add(EntryCounter::AttemptsBroken);
  if (aEvent.isOversized) {
    world_.counters.Add(EntryCounter::AnswersOversized);
  }
  RequestRow& row = *running->request.row;
  if (running->backend != nullptr) {
    running->backend->health.RecordFailure(world_.Now());
  }
  row.failedBackends.push_back(running->attempt->backend);
  attempts_.Forget(aEvent.attempt);
  Repeat(running->request, false, aEvent.reason);
}

std::optional<std::string> RequestSystem::ReasonAgainstRepeat(const RequestRow& aRow,
                                                              bool aIsProvenNotRun)
{
  if (!aIsProvenNotRun && !MayRunAgain(aRow)) {
    return "the call may not run twice";
  }
  if (aRow.headSent && aRow.lastEventId.empty()) {
    return "the events of the stream have no ids";
  }
  if (aRow.countedAttempts >= aRow.route->maxAttempts) {
    return "all attempts of the route are used";
  }
  if (aRow.deadline - world_.Now() < kMinTimeLeft) {
    return "there is no time left";
  }
  return std::nullopt;
}

void RequestSystem::Repeat(RequestRef aRequest, bool aIsProvenNotRun,
                           const std::string& aReason)
{
  RequestRow& row = *aRequest.row;
  auto against = ReasonAgainstRepeat(row, aIsProvenNotRun);
  if (!against && row.sentAttempts > 0) {
    RetryBudget& budget =
      world_.retryBudgets
        .try_emplace(row.service, RetryBudget(world_.options.retryBudget))
        .first->second;
    if (!budget.TryRetry(world_.Now(), world_.DaemonCount())) {
      world_.counters.Add(EntryCounter::RetriesDenied);
      against = "the retry budget is used up";
    }
  }
  world_.Log(LogLevel::Info, "attempt_failed", row.call.requestId,
             { { "reason", aReason },
               { "backend",
                 row.failedBackends.empty() ? std::string() : row.failedBackends.back() },
               { "repeated", against ? "no" : "yes" },
               { "why_not", against.value_or("") } });
  if (against) {
    const bool hasOther = ChooseBackend(world_, row).has_value();
    end_.Unserved(aRequest, Error{ ErrorKind::Overloaded, aReason },
                  hasOther ? kFullRetry
                           : TimeUntilUsable(world_, row).value_or(kNoBackendRetry));
    return;
  }
  world_.counters.Add(EntryCounter::AttemptsRetried);
  Dispatch(aRequest);
}

void RequestSystem::OnDue(ExchangeId aId)
{
  RequestRow* row = world_.requests.Find(aId);
  if (row == nullptr) {
    return;
  }
  const RequestRef request{ aId, row };
  const bool wasSent = row->countedAttempts > 0;
  if (const auto running = attempts_.Find(row->attempt); running && running->backend) {
    running->backend->health.RecordFailure(world_.Now());
  }
  attempts_.Cancel(*row);
  if (wasSent && !row->headSent) {
    end_.WithError(
      request, Error{ ErrorKind::DeadlineExceeded, "no answer came within the time" });
    return;
  }
  end_.Unserved(request, Error{ ErrorKind::QueueTimeout, "there is no time left" }, {});
}

void RequestSystem::OnHedge(ExchangeId aId)
{
  RequestRow* row = world_.requests.Find(aId);
  if (row == nullptr) {
    return;
  }
  const auto running = attempts_.Find(row->attempt);
  if (!running || running->attempt->hasEvents) {
    return;
  }
  // Elsewhere it must be clearly faster than what this call has already waited.
  RequestRow probe = *row;
  probe.failedBackends.push_back(running->attempt->backend);
  const auto choice = ChooseBackend(world_, probe);
  const double waitedMs = ToMs(world_.Now() - running->attempt->started);
  const bool isBetter = choice && choice->id != running->attempt->backend &&
                        choice->expectedMs < waitedMs / 2;
  if (!isBetter || ReasonAgainstRepeat(*row, false)) {
    return;
  }
  if (running->backend != nullptr) {
    running->backend->health.RecordFailure(world_.Now());
  }
  row->failedBackends.push_back(running->attempt->backend);
  attempts_.Cancel(*row);
  Repeat({ aId, row }, false, "the backend is silent");
}

void RequestSystem::WatchStall(RequestRef aRequest, TimePoint aLastEvent)
{
  const Duration limit =
    std::max<Duration>(kMinStall, kStallPauses * aRequest.row->route->maxEventGap);
  aRequest.row->stallTimer = world_.timers.SubscribeAt(
    aLastEvent + limit,
    [this, id = aRequest.id, limit](TimePoint) { OnStallCheck(id, limit); });
}

void RequestSystem::OnStallCheck(ExchangeId aId, Duration aLimit)
{
  RequestRow* row = world_.requests.Find(aId);
  if (row == nullptr) {
    return;
  }
  row->stallTimer = TimerId{};
  const auto running = attempts_.Find(row->attempt);
  if (!running || !running->attempt->hasEvents) {
    return; // the next first event starts the watch again
  }
  if (running->attempt->lastEvent + aLimit > world_.Now()) {
    WatchStall(running->request, running->attempt->lastEvent);
    return;
  }
  if (ReasonAgainstRepeat(*row, false)) {
    return; // its caller decides how long to wait
  }
  world_.counters.Add(EntryCounter::StreamsStalled);
  if (running->backend != nullptr) {
    running->backend->health.RecordFailure(world_.Now());
  }
  row->failedBackends.push_back(running->attempt->backend);
  attempts_.Cancel(*row);
  Repeat({ aId, row }, false, "the stream stalled");
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
  end_.Forget({ aEvent.exchange, row });
}

} // namespace gooseberrypath::entry
