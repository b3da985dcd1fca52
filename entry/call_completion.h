// Ends calls: sends the final response, writes the log line, updates the metrics and
// removes the request's row and timers.
//
//   CallCompletion completion(world);
//   completion.SendError(request, Error{ ErrorKind::NoBackend, "..." }, retryAfter);

#ifndef ENTRY_CALL_COMPLETION_H_
#define ENTRY_CALL_COMPLETION_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

/// A row of the request table and its id.
struct RequestRef
{
  ExchangeId id;
  RequestRow* row = nullptr;
};

/// Tells whether the end of the backend's response shows that the stream may be ended as
/// its head promised. A response that only the end of its connection ends does not, if an
/// earlier backend's response was framed and the caller was promised an end mark.
bool IsEndShown(const RequestRow& aRow, const ReceivedBody& aReceived);

class CallCompletion
{
public:
  explicit CallCompletion(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Ends the call with an error response of this daemon, with Retry-After if the time is
  /// positive. Refunds the team's quota if the error states that the call was not
  /// executed. A stream that has begun is aborted instead.
  void SendError(RequestRef aRequest, const Error& aError, Duration aRetryAfter = {});

  /// Ends a call that no backend can serve. If it was certainly not executed, the
  /// response is the error `aRefusal`; if it may have been executed, BackendFailed.
  void EndUnserved(RequestRef aRequest, const Error& aRefusal, Duration aRetryAfter);

  /// Ends the call with a backend's complete response. A stream that has begun is aborted
  /// instead.
  void ForwardResponse(RequestRef aRequest, const std::string& aBackend,
                       const AttemptAnswered& aResponse);

  /// Sends the head of a stream to the caller.
  void BeginStream(RequestRef aRequest);

  /// Ends a stream that the backend with the id `aBackend` completed.
  void CompleteStream(RequestRef aRequest, const std::string& aBackend,
                      const ReceivedBody& aReceived);

  /// Removes the request without a response, for a caller that disconnected.
  void Remove(RequestRef aRequest);

private:
  /// Breaks the stream of the call off.
  void Abort(RequestRef aRequest, const std::string& aReason);

  /// Returns the time since the call arrived.
  double ElapsedMs(const RequestRow& aRow) const;

  /// Logs a response that was passed on, with how the backend and how this daemon marked
  /// the end of the body.
  void LogResponse(const RequestRow& aRow, int aStatus, const std::string& aBackend,
                   const ReceivedBody& aReceived, BodyFraming aSentFraming);

  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CALL_COMPLETION_H_
