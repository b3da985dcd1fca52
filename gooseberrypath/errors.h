// The closed list of error kinds and the table from kind to answer.
//
//   return MakeError(ErrorKind::KeyMissing, "header Idempotency-Key is missing");
//   const ErrorInfo& info = InfoOf(error.kind);  // HTTP status, run state, retry advice

#ifndef GOOSEBERRYPATH_ERRORS_H_
#define GOOSEBERRYPATH_ERRORS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace gooseberrypath {

/// Every error that a caller or an operator can receive.
enum class ErrorKind : uint8_t
{
  BadRequest,       // the request cannot be parsed
  BadHeader,        // a header is malformed
  BodyTooLarge,     // the body exceeds the limit
  HeadersTooLarge,  // the head exceeds the limit
  RequestTimeout,   // the caller sent its request too slowly
  RouteNotFound,    // no route matches
  KeyUnknown,       // the caller's key is missing or belongs to no team
  MethodNotAllowed, // a route matches the path, not the method
  KeyMissing,       // a non-idempotent route without Idempotency-Key
  KeyInvalid,       // the key is empty, too long or has unprintable characters
  KeyReused,        // the key was used with another request
  KeyExpired,       // the key is older than its window
  LogUnavailable,   // no claim could be made because the log is out of reach
  ActionInProgress, // the action with this key is running
  OutcomeUnknown,   // the action may have run
  NoBackend,        // no live backend
  BackendFailed,    // idempotent work failed on all tries
  QueueTimeout,     // the deadline passed before the request was dispatched
  DeadlineExceeded, // the deadline passed
  RateLimited,      // over the limit of the team
  Overloaded,       // the daemon or the queues are full
  PromptBlocked,    // a part of the prompt ended the engines that answered it
  RequestBlocked,   // the engines that ran this request ended
  Draining,         // the daemon is stopping
  NotReady,         // the daemon has not read its configuration yet
  ResourceInvalid,  // a resource fails its checks
  ResourceNotFound, // no such resource
  JobNotFound,      // no such queued request
  StreamNotFound,   // no daemon has a stream with this id
  VersionConflict,  // the write is based on an old version
  WriteUnknown,     // the log did not answer; the write may be in force later
  Internal,         // a bug
};

/// What is known about the execution of the request that the error answers.
enum class RunState : uint8_t
{
  NotRun,
  Ran,
  MayHaveRun,
};

/// One row of the table from kind to answer.
struct ErrorInfo
{
  ErrorKind kind;
  std::string_view name; // the "kind" field of the JSON error
  int status;            // HTTP status
  RunState run;          // the "run" field
  int retryAfterSeconds; // 0: no Retry-After header, retrying does not help
};

/// An error with a sentence for people.
struct Error
{
  ErrorKind kind;
  std::string message;

  bool operator==(const Error&) const = default;
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Returns the table's row of this kind.
const ErrorInfo& InfoOf(ErrorKind aKind);

/// Returns "not_run", "ran" or "may_have_run".
std::string_view NameOf(RunState aRun);

/// Makes the error value of a Result.
tl::unexpected<Error> MakeError(ErrorKind aKind, std::string aMessage);

/// Returns the JSON body {"error":{"kind","message","run","retryable","key"?}}. An empty
/// key is left out.
std::string ErrorBody(const Error& aError, std::string_view aKey = {});

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_ERRORS_H_
