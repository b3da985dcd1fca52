// Ends calls: the final answer to the caller, its log line, counters and histograms, and
// what the call held.
//
//   CallEnd end(world);
//   end.WithError(request, Error{ ErrorKind::NoBackend, "..." }, retryAfter);

#ifndef ENTRY_CALL_END_H_
#define ENTRY_CALL_END_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

/// A row of the table of requests with its id.
struct Request
{
  ExchangeId id;
  RequestRow* row = nullptr;
};

class CallEnd
{
public:
  explicit CallEnd(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Answers with an error of this daemon. A positive time becomes Retry-After. What was
  /// not run is given back to the team.
  void WithError(Request aRequest, const Error& aError, Duration aRetryAfter = {});

  /// Ends a call that no backend can serve: with the error if it certainly has not run,
  /// as failed if it may have run, and by breaking off a stream that has begun.
  void Unserved(Request aRequest, const Error& aNotRun, Duration aRetryAfter);

  /// Passes a backend's whole answer on.
  void WithAnswer(Request aRequest, const std::string& aBackend,
                  const AttemptAnswered& aAnswer);

  /// Ends a stream that the backend `aBackend` completed.
  void WithStreamEnd(Request aRequest, const std::string& aBackend);

  /// Forgets the call of a caller that left.
  void Forget(Request aRequest);

private:
  double AgeMs(const RequestRow& aRow) const;
  void LogAnswered(const RequestRow& aRow, int aStatus, const std::string& aBackend);

  World& world_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CALL_END_H_
