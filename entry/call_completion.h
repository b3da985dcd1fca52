// Ends calls: the final answer to the caller, its log line, counters and histograms, and
// what the call held.
//
//   CallCompletion end(world);
//   end.WithError(request, Error{ ErrorKind::NoBackend, "..." }, retryAfter);

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
  void WithError(RequestRef aRequest, const Error& aError, Duration aRetryAfter = {});

  /// Ends a call that no backend can serve: with the error if it certainly has not run,
  /// as failed if it may have run, and by breaking off a stream that has begun.
  void Unserved(RequestRef aRequest, const Error& aNotRun, Duration aRetryAfter);

  /// Passes a backend's whole answer on.
  void WithAnswer(RequestRef aRequest, const std::string& aBackend,
                  const AttemptAnswered& aAnswer);

  /// Ends a stream that the backend `aBackend` completed.
  void WithStreamEnd(RequestRef aRequest, const std::string& aBackend);

  /// Forgets the call of a caller that left.
  void Forget(RequestRef aRequest);

private:
  double AgeMs(const RequestRow& aRow) const;
  void LogAnswered(const RequestRow& aRow, int aStatus, const std::string& aBackend);

  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CALL_COMPLETION_H_
