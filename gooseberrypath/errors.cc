#include "gooseberrypath/errors.h"

#include <array>

#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using enum ErrorKind;
using enum RunState;

constexpr std::array kTable = {
  ErrorInfo{ BadRequest, "bad_request", 400, NotRun, 0 },
  ErrorInfo{ BadHeader, "bad_header", 400, NotRun, 0 },
  ErrorInfo{ BodyTooLarge, "body_too_large", 413, NotRun, 0 },
  ErrorInfo{ HeadersTooLarge, "headers_too_large", 431, NotRun, 0 },
  ErrorInfo{ RequestTimeout, "request_timeout", 408, NotRun, 1 },
  ErrorInfo{ RouteNotFound, "route_not_found", 404, NotRun, 0 },
  ErrorInfo{ KeyUnknown, "key_unknown", 401, NotRun, 0 },
  ErrorInfo{ MethodNotAllowed, "method_not_allowed", 405, NotRun, 0 },
  ErrorInfo{ KeyMissing, "key_missing", 400, NotRun, 0 },
  ErrorInfo{ KeyInvalid, "key_invalid", 400, NotRun, 0 },
  ErrorInfo{ KeyReused, "key_reused", 422, NotRun, 0 },
  ErrorInfo{ KeyExpired, "key_expired", 409, NotRun, 0 },
  ErrorInfo{ LogUnavailable, "log_unavailable", 503, NotRun, 2 },
  ErrorInfo{ ActionInProgress, "action_in_progress", 409, MayHaveRun, 1 },
  ErrorInfo{ OutcomeUnknown, "outcome_unknown", 502, MayHaveRun, 5 },
  ErrorInfo{ NoBackend, "no_backend", 503, NotRun, 2 },
  ErrorInfo{ BackendFailed, "backend_failed", 502, MayHaveRun, 1 },
  ErrorInfo{ QueueTimeout, "queue_timeout", 503, NotRun, 1 },
  ErrorInfo{ DeadlineExceeded, "deadline_exceeded", 504, MayHaveRun, 1 },
  ErrorInfo{ RateLimited, "rate_limited", 429, NotRun, 1 },
  ErrorInfo{ Overloaded, "overloaded", 503, NotRun, 1 },
  ErrorInfo{ PromptBlocked, "prompt_blocked", 503, NotRun, 0 },
  ErrorInfo{ RequestBlocked, "request_blocked", 503, NotRun, 0 },
  ErrorInfo{ Draining, "draining", 503, NotRun, 1 },
  ErrorInfo{ NotReady, "not_ready", 503, NotRun, 1 },
  ErrorInfo{ ResourceInvalid, "resource_invalid", 422, NotRun, 0 },
  ErrorInfo{ ResourceNotFound, "resource_not_found", 404, NotRun, 0 },
  ErrorInfo{ JobNotFound, "job_not_found", 404, NotRun, 0 },
  ErrorInfo{ StreamNotFound, "stream_not_found", 404, MayHaveRun, 0 },
  ErrorInfo{ VersionConflict, "version_conflict", 409, NotRun, 0 },
  ErrorInfo{ WriteUnknown, "write_unknown", 504, MayHaveRun, 1 },
  ErrorInfo{ Internal, "internal", 500, MayHaveRun, 0 },
};

constexpr bool IsInEnumOrder()
{
  for (size_t i = 0; i < kTable.size(); ++i) {
    if (static_cast<size_t>(kTable[i].kind) != i) {
      return false;
    }
  }
  return kTable.size() == static_cast<size_t>(Internal) + 1;
}
static_assert(IsInEnumOrder(), "InfoOf() indexes the table by kind");

} // namespace

const ErrorInfo& InfoOf(ErrorKind aKind)
{
  return kTable.at(static_cast<size_t>(aKind));
}

std::string_view NameOf(RunState aRun)
{
  switch (aRun) {
    case NotRun:
      return "not_run";
    case Ran:
      return "ran";
    case MayHaveRun:
      break;
  }
  return "may_have_run";
}

tl::unexpected<Error> MakeError(ErrorKind aKind, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ .kind = aKind, .message = std::move(aMessage) });
}

std::string ErrorBody(const Error& aError, std::string_view aKey)
{
  const ErrorInfo& info = InfoOf(aError.kind);
  nlohmann::json error = { { "kind", info.name },
                           { "message", aError.message },
                           { "run", NameOf(info.run) },
                           { "retryable", info.retryAfterSeconds > 0 } };
  if (!aKey.empty()) {
    error["key"] = aKey;
  }
  // Invalid UTF-8 from a caller is replaced so that the answer is always JSON.
  return nlohmann::json{ { "error", std::move(error) } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace gooseberrypath
