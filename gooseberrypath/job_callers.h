// Queues callers' requests and answers their questions about queued requests.
//
// A request in stage AwaitingJob leaves it as Decided: with status 202 after the job and
// its first lease were read back from the log, or with an error. A job is given up before
// its first lease was asked for, then it never runs; later, its fate is not known.

#ifndef GOOSEBERRYPATH_JOB_CALLERS_H_
#define GOOSEBERRYPATH_JOB_CALLERS_H_

#include <map>
#include <string>
#include <string_view>

#include "gooseberrypath/job_appender.h"
#include "gooseberrypath/reply_writer.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Serves the callers of queued requests.
class JobCallers
{
public:
  JobCallers(World& aWorld, JobAppender& aAppender)
    : world_(aWorld)
    , appender_(aAppender)
    , replies_(aWorld)
  {
  }

  /// Drives everything that waits.
  void Run();

  void Handle(const CallerRequest& aEvent);
  void Handle(const CallerGone& aEvent) { queries_.erase(aEvent.request); }

  /// Tells whether this daemon gave the job up.
  bool IsGivenUp(const std::string& aJob) const { return givenUp_.contains(aJob); }

private:
  /// A request that is being queued.
  struct Intake
  {
    std::string job; // empty: not appended yet
    JobAppender::Ticket ticket;
    bool isLeaseSent = false;
    TimePoint due{}; // of giving up
  };

  /// A question or a cancellation that waits for the log.
  struct Query
  {
    CallerRequest caller;
    std::string job;
    TimePoint due;
  };

  struct GivenUp
  {
    JobAppender::Ticket cancel;
    TimePoint forgetAt;
  };

  void Drive(RequestId aId, RequestRow& aRow, Intake& aIntake);
  void Propose(RequestRow& aRow, Intake& aIntake);
  void GiveUp(const Intake& aIntake);
  void Decide(RequestId aId, RequestRow& aRow, Decision aDecision);
  bool Answer(RequestId aId, const Query& aQuery);
  void SendView(RequestId aId, const std::string& aJob, const JobRow& aJobRow);

  World& world_;
  JobAppender& appender_;
  ReplyWriter replies_;
  std::map<RequestId, Intake> intakes_;
  std::map<RequestId, Query> queries_;
  std::map<std::string, GivenUp> givenUp_;
  std::map<std::string, JobAppender::Ticket> cancels_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_JOB_CALLERS_H_
