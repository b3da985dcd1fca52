// Starts and ends attempts: one sending of a request to one backend.
//
//   attempts.Start(id, row, "assistant/e1");
//   RunningAttempt running = attempts.Find(event.attempt);
//   attempts.End(event.attempt, "finished");

#ifndef GOOSEBERRYPATH_ATTEMPT_RUNNER_H_
#define GOOSEBERRYPATH_ATTEMPT_RUNNER_H_

#include <string>
#include <string_view>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Returns the header fields that are passed on between caller and backend: neither
/// hop-by-hop fields nor those that the daemon sets itself.
Headers ForwardedHeaders(const Headers& aHeaders);

/// Returns the pause before the next attempt: none at first, then it doubles with each
/// failed attempt up to 2 s.
Duration RetryDelay(const RequestRow& aRow);

/// Priorities of a request at an engine; lower is sooner.
inline constexpr int kQuickPriority = 0;
inline constexpr int kLongPriority = 10;
inline constexpr int kQueuedPriority = 20;

/// Returns the request's priority at an engine: quick questions before long answers, and
/// these before queued requests. From the second attempt on, a request of a caller is as
/// urgent as a quick one, so that a long request behind a steady load of quick ones waits
/// at most for the first-token timeout before it is promoted, and a stream that moved
/// does not pause behind others.
int PriorityOf(const RequestRow& aRow);

/// An attempt with its request. Both are null if the attempt has ended.
struct RunningAttempt
{
  RequestId id;
  RequestRow* request = nullptr;
  AttemptRow* attempt = nullptr;
};

/// Keeps the table of attempts and the in-flight counts of backends.
class AttemptRunner
{
public:
  explicit AttemptRunner(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Starts an attempt at the backend with this id, which must exist. The request becomes
  /// Running. The reason for the choice is noted in the attempt's span.
  void Start(RequestId aId, RequestRow& aRow, const std::string& aBackend,
             std::string aReason = {});

  RunningAttempt Find(AttemptId aId);

  /// Removes the attempt and writes its span. Unknown ids are ignored.
  void End(AttemptId aId, std::string_view aResult);

  /// Returns the name of the attempt on the wire. It is unique among all daemons and
  /// restarts, so that an answer to another attempt is recognised.
  std::string NameOf(AttemptId aId) const;

private:
  void StartModel(AttemptId aId, const RequestRow& aRow, const AttemptRow& aAttempt);
  void StartService(AttemptId aId, const RequestRow& aRow, const AttemptRow& aAttempt);

  World& world_;
};

/// Removes the request and writes its span. Unknown ids are ignored.
void EraseRequest(World& aWorld, RequestId aId, std::string_view aResult);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_ATTEMPT_RUNNER_H_
