#include "gooseberrypath/attempt_runner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gooseberrypath/backend_candidates.h"
#include "gooseberrypath/chat_format.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

/// A late answer of an action is awaited and recorded for this time past the deadline.
constexpr Duration kLateAnswerTime = 30s;
constexpr std::array<std::string_view, 12> kNotForwarded = {
  "connection", "keep-alive",     "proxy-authenticate", "proxy-authorization",
  "te",         "trailer",        "transfer-encoding",  "upgrade",
  "host",       "content-length", "traceparent",        "x-request-id",
};

/// Before attempts after the third failed one; doubles up to the maximum.
constexpr Duration kRetryDelay = 50ms;
constexpr Duration kMaxRetryDelay = 2s;
constexpr uint32_t kImmediateAttempts = 3;

} // namespace

Duration RetryDelay(const RequestRow& aRow)
{
  const uint32_t attempts = aRow.attempts - aRow.uncountedAttempts;
  if (attempts < kImmediateAttempts) {
    return Duration::zero();
  }
  constexpr uint32_t kMaxShift = 8;
  const uint32_t shift = std::min(attempts - kImmediateAttempts, kMaxShift);
  return std::min(kRetryDelay * (1U << shift), kMaxRetryDelay);
}

Headers ForwardedHeaders(const Headers& aHeaders)
{
  Headers kept;
  for (const Header& header : aHeaders) {
    const bool isDropped =
      std::ranges::any_of(kNotForwarded, [&](std::string_view aName) {
        return EqualsIgnoreCase(aName, header.name);
      });
    if (!isDropped) {
      kept.push_back(header);
    }
  }
  return kept;
}

namespace {

std::string TraceParent(const std::string& aTrace, const std::string& aSpan)
{
  return "00-" + aTrace + "-" + aSpan + "-01";
}

} // namespace

/// The name is unique among all daemons and restarts, so that an answer to another
/// attempt is recognised.
std::string AttemptRunner::NameOf(AttemptId aId) const
{
  return world_.options.daemon + "-" + std::to_string(world_.options.incarnation) + "-a" +
         std::to_string(aId.value);
}

int PriorityOf(const RequestRow& aRow)
{
  if (!aRow.job.empty()) {
    return kQueuedPriority;
  }
  const bool isLong =
    aRow.chat.maxTokens == 0 || aRow.chat.maxTokens >= kLongStreamTokens;
  return isLong && aRow.attempts <= 1 ? kLongPriority : kQuickPriority;
}

RunningAttempt AttemptRunner::Find(AttemptId aId)
{
  AttemptRow* attempt = world_.attempts.Find(aId);
  if (!attempt) {
    return {};
  }
  RequestRow* request = world_.requests.Find(attempt->request);
  return { .id = attempt->request, .request = request, .attempt = attempt };
}

void AttemptRunner::Start(RequestId aId, RequestRow& aRow, const std::string& aBackend,
                          std::string aReason)
{
  constexpr size_t kSpanDigits = 16;
  const auto id = world_.NewId<AttemptId>();
  aRow.stage = RequestStage::Running;
  aRow.attempt = id;
  ++aRow.attempts;
  world_.backends.Find(aBackend)->inFlight += 1;
  world_.counters.Add(Counter::AttemptsStarted);
  const AttemptRow& attempt =
    world_.attempts.Insert(id, AttemptRow{ .request = aId,
                                           .backend = aBackend,
                                           .span = world_.RandomHex(kSpanDigits),
                                           .started = world_.Now(),
                                           .lastToken = world_.Now(),
                                           .firstOffset = aRow.tokens.size(),
                                           .reason = std::move(aReason) });
  if (aRow.kind == ServiceKind::Model) {
    StartModel(id, aRow, attempt);
  } else {
    StartService(id, aRow, attempt);
  }
}

void AttemptRunner::StartModel(AttemptId aId, const RequestRow& aRow,
                               const AttemptRow& aAttempt)
{
  if (aAttempt.firstOffset > 0) {
    world_.counters.Add(Counter::AttemptsResumed);
  }
  const std::string name = NameOf(aId);
  world_.Emit(StartModelAttempt{
    .attempt = aId,
    .address = world_.backends.Find(aAttempt.backend)->spec.address,
    .headers = { { "traceparent", TraceParent(aRow.trace, aAttempt.span) },
                 { "X-Request-Id", name } },
    .body = aRow.chat.json.Derive(EngineRequestBody(
      aRow.chat, aRow.tokens,
      { .requestId = name, .priority = PriorityOf(aRow), .kvHandle = aRow.kvHandle })) });
}

void AttemptRunner::StartService(AttemptId aId, const RequestRow& aRow,
                                 const AttemptRow& aAttempt)
{
  Headers headers = ForwardedHeaders(aRow.caller.headers);
  headers.push_back({ "traceparent", TraceParent(aRow.trace, aAttempt.span) });
  headers.push_back({ "X-Request-Id", NameOf(aId) });
  world_.Emit(StartServiceAttempt{
    .attempt = aId,
    .address = world_.backends.Find(aAttempt.backend)->spec.address,
    .method = aRow.caller.method,
    .target = aRow.caller.target,
    .headers = std::move(headers),
    .body = aRow.caller.body,
    .timeout = aRow.deadline - world_.Now() +
               (aRow.idempotent ? Duration::zero() : kLateAnswerTime) });
}

void AttemptRunner::End(AttemptId aId, std::string_view aResult)
{
  const RunningAttempt running = Find(aId);
  if (!running.attempt) {
    return;
  }
  const AttemptRow& attempt = *running.attempt;
  if (BackendRow* backend = world_.backends.Find(attempt.backend)) {
    backend->inFlight -= std::min(backend->inFlight, 1U);
  }
  if (running.request) {
    std::string note = attempt.backend + ": " + std::string(aResult);
    if (!attempt.reason.empty()) {
      note += "; " + attempt.reason;
    }
    world_.Emit(WriteSpan{ .trace = running.request->trace,
                           .span = attempt.span,
                           .parent = running.request->span,
                           .name = "attempt",
                           .request = running.request->publicId,
                           .attempt = NameOf(aId),
                           .note = std::move(note),
                           .start = attempt.started,
                           .end = world_.Now() });
    running.request->attempt = AttemptId{};
  }
  world_.attempts.Erase(aId);
}

void EraseRequest(World& aWorld, RequestId aId, std::string_view aResult)
{
  if (const RequestRow* row = aWorld.requests.Find(aId)) {
    aWorld.Emit(WriteSpan{ .trace = row->trace,
                           .span = row->span,
                           .parent = row->parent,
                           .name = "request",
                           .request = row->publicId,
                           .attempt = {},
                           .note = std::string(aResult),
                           .start = row->arrived,
                           .end = aWorld.Now() });
  }
  aWorld.requests.Erase(aId);
}

} // namespace gooseberrypath
