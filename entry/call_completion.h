// Ends calls: the final answer to the caller, its log line, counters and histograms, and
// what the call held.
//
//   CallCompletion end(world);
//   end.SendError(request, Error{ ErrorKind::NoBackend, "..." }, retryAfter);

#ifndef ENTRY_CALL_COMPLETION_H_
#define ENTRY_CALL_COMPLETION_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

/// A row of the table of requests with its id.
struct RequestRef
{
  ExchangeId id;
  RequestRow* row = nullptr;
};

class CallCompletion
{
public:
  explicit CallCompletion(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Answers with an error of this daemon. A positive time becomes Retry-After. What was
  /// not run is given back to the team.
  void SendError(RequestRef aRequest, const Error& aError, Duration aRetryAfter = {});

  /// Ends a call that no backend can serve: with the error if it certainly has not run,
  /// as failed if it may have run, and by breaking off a stream that has begun.
  void EndUnserved(RequestRef aRequest, const Error& aRefusal, Duration aRetryAfter);

  /// Passes a backend's whole answer on.
  void ForwardResponse(RequestRef aRequest, const std::string& aBackend,
                       const AttemptAnswered& aResponse);

  /// Ends a stream that the backend `aBackend` completed.
  void CompleteStream(RequestRef aRequest, const std::string& aBackend);

  /// Forgets the call of a caller that left.
  void Remove(RequestRef aRequest);

private:
  double ElapsedMs(const RequestRow& aRow) const;
  void LogResponse(const RequestRow& aRow, int aStatus, const std::string& aBackend);

  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CALL_COMPLETION_H_
