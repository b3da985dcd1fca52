// Runs queued requests under leases in the log.
//
// A job whose newest lease names this daemon is held: it runs as a RequestRow without a
// caller, its tokens are appended as checkpoints, and its end as a done record. A job
// whose holder was silent for CoreOptions::jobLeaseTime is taken over and continues after
// its checkpointed tokens. JobCallers serves the callers.

#ifndef GOOSEBERRYPATH_JOB_SYSTEM_H_
#define GOOSEBERRYPATH_JOB_SYSTEM_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberrypath/attempt_runner.h"
#include "gooseberrypath/job_appender.h"
#include "gooseberrypath/job_callers.h"
#include "gooseberrypath/job_table.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Runs queued requests under leases in the log.
class JobSystem
{
public:
  explicit JobSystem(World& aWorld)
    : world_(aWorld)
    , table_(aWorld.jobs)
    , appender_(aWorld)
    , callers_(aWorld, appender_)
    , attempts_(aWorld)
  {
  }
  /// Core moves its systems into place before the first event.
  JobSystem(JobSystem&& aOther) noexcept
    : JobSystem(aOther.world_)
  {
  }
  JobSystem(const JobSystem&) = delete;
  JobSystem& operator=(const JobSystem&) = delete;
  JobSystem& operator=(JobSystem&&) = delete;
  ~JobSystem() = default;

  /// Subscribes to timers. Called once, before the first event.
  void Start();

  /// Runs over the tables once per tick.
  void Run();

  void Handle(const CallerRequest& aEvent) { callers_.Handle(aEvent); }
  void Handle(const CallerGone& aEvent) { callers_.Handle(aEvent); }
  void Handle(const LogBatch& aBatch);
  void Handle(const LogReadFailed& aEvent);
  void Handle(const AppendDone& aEvent) { appender_.Handle(aEvent); }
  void Handle(const AppendFailed& aEvent) { appender_.Handle(aEvent); }

private:
  /// A job with an own lease.
  struct Held
  {
    Offset lease = 0;
    RequestId run{};                 // 0: no run
    std::vector<std::string> tokens; // all, while there is no run
    std::optional<JobEnd> end;       // to be recorded
    TimePoint retryAt{};             // of the next run
    TimePoint lastSent{};            // of the newest record under the lease
    JobAppender::Ticket sending;     // outstanding record
    Offset sentAfter = 0;            // the row's revision at that time
  };

  /// A job that another daemon holds or released.
  struct Watch
  {
    TimePoint seen;   // when the newest record of the job was read
    Duration delay{}; // from `seen`, or the first contact after it, to the take-over
    JobAppender::Ticket taking;
  };

  void Apply(const LogEntry& aEntry);
  void FindCarries(Offset aStart, Offset aHead);
  void RunCarries();
  void Look(const std::string& aJob);
  void Hold(const std::string& aJob, const JobRow& aRow);
  bool DriveHeld(const std::string& aJob, Held& aHeld);
  void DriveRun(const std::string& aJob, const JobRow& aRow, Held& aHeld);
  void StartRun(const std::string& aJob, const JobRow& aRow, Held& aHeld);
  void StopRun(Held& aHeld);
  void Send(const JobRow& aRow, Held& aHeld, const Record& aRecord);
  std::vector<std::string> NewTokens(const JobRow& aRow, const Held& aHeld) const;
  void TakeOver();
  bool IsMine(const JobRow& aRow) const;
  int64_t LogNowMs() const;

  World& world_;
  JobTable table_;
  JobAppender appender_;
  JobCallers callers_;
  AttemptRunner attempts_;
  std::map<std::string, Held> held_;
  std::map<std::string, Watch> watched_;
  std::map<std::string, TimePoint> carryDue_;
  std::set<std::string> changed_; // jobs with new records since the last tick
  Offset carryBefore_ = 0;
  TimePoint latestAt_{};     // when JobTable::LatestMs() was read
  TimePoint contactSince_{}; // the log has been in reach since then
  bool isContacted_ = false; // a batch arrived since the last tick
  bool isDue_ = false;       // the timer fired since the last tick
  bool hasReadFailed_ = false;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_JOB_SYSTEM_H_
