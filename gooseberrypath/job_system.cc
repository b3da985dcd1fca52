#include "gooseberrypath/job_system.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/record_reader.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "jobs";
/// How often times are checked; small against the lease time and the checkpoint interval.
constexpr Duration kPeriod = 500ms;
/// Before a released job is taken over, at random, so that usually one daemon does it.
constexpr Duration kReleasedSpread = 1s;
/// Before a job runs again after a run without an answer.
constexpr Duration kRerunDelay = 1s;
/// A planned stop waits this long for the log to take the release records; then the jobs
/// are taken over after the lease time.
constexpr Duration kReleaseTime = 5s;
/// Leases that this daemon asks for at once, to leave jobs to the other daemons.
constexpr size_t kMaxTaking = 16;
/// Carry records per period, to leave the log's append rate to others.
constexpr size_t kCarriesAtOnce = 8;
constexpr Duration kCarrySpread = 2s;
/// Keeps the ids of runs apart from the ids that the caller port gives.
constexpr uint64_t kRunIds = uint64_t{ 1 } << 63;
constexpr size_t kTraceDigits = 32;
constexpr size_t kSpanDigits = 16;

} // namespace

void JobSystem::Start()
{
  world_.streams[std::string(kJobStream)];
  world_.timers.SubscribeEvery(kPeriod, [this](TimePoint) { isDue_ = true; });
}

// ---- Log ----

void JobSystem::Handle(const LogBatch& aBatch)
{
  if (aBatch.stream != kJobStream) {
    return;
  }
  StreamRow& stream = world_.streams[aBatch.stream];
  const bool hasGap = aBatch.start > stream.next;
  if (!stream.contacted || hasGap) {
    if (stream.contacted) {
      world_.Log(LogLevel::Warning, kPart,
                 "records from offset " + std::to_string(stream.next) + " to " +
                   std::to_string(aBatch.start - 1) +
                   " were removed before they were read");
    }
    stream.next = std::max(aBatch.start, stream.next);
    stream.targetHead = aBatch.head;
    table_.Reset(stream.next);
    watched_.clear();
    // The removed records may include the outstanding ones, which are decided again when
    // the jobs come back by their carry records.
    for (auto& [job, held] : held_) {
      held.sending.reset();
    }
  }
  stream.contacted = true;
  isContacted_ = true;
  hasReadFailed_ = false;
  for (const LogEntry& entry : aBatch.entries) {
    if (entry.offset == stream.next) {
      Apply(entry);
      ++stream.next;
    }
  }
  FindCarries(aBatch.start, aBatch.head);
}

void JobSystem::Apply(const LogEntry& aEntry)
{
  const std::optional<Record> record = ReadRecord(world_, kPart, aEntry);
  if (!record) {
    return;
  }
  latestAt_ = world_.Now();
  if (table_.Apply(aEntry.offset, aEntry.timeMs, *record)) {
    changed_.insert(JobOf(*record));
  }
}

void JobSystem::Handle(const LogReadFailed& aEvent)
{
  if (aEvent.stream != kJobStream) {
    return;
  }
  world_.counters.Add(Counter::LogReadFailures);
  if (!std::exchange(hasReadFailed_, true)) {
    world_.Log(LogLevel::Warning, kPart,
               "stream \"jobs\" cannot be read: " + aEvent.reason);
  }
}

void JobSystem::FindCarries(Offset aStart, Offset aHead)
{
  const Offset range = aHead > aStart ? aHead - aStart : 0;
  carryBefore_ = aStart > 1 ? aStart + range / 4 : 0;
  for (const std::string& job : table_.FindBefore(carryBefore_)) {
    if (!carryDue_.contains(job)) {
      const Duration delay(
        static_cast<int64_t>(world_.random() % (kCarrySpread / Duration(1))));
      carryDue_.emplace(job, world_.Now() + delay);
    }
  }
}

void JobSystem::RunCarries()
{
  const Offset next = world_.streams[std::string(kJobStream)].next;
  size_t left = kCarriesAtOnce;
  std::erase_if(carryDue_, [&](const auto& aItem) {
    const JobRow* row = world_.jobs.Find(aItem.first);
    if (!row || row->offset >= carryBefore_) {
      return true;
    }
    if (world_.Now() < aItem.second || left == 0) {
      return false;
    }
    --left;
    // A lost append is noticed by FindCarries(), which finds the job again.
    appender_.Begin(MakeCarry(*row, next));
    return true;
  });
}

// ---- Tick ----

void JobSystem::Run()
{
  const bool isDue = std::exchange(isDue_, false);
  if (std::exchange(isContacted_, false)) {
    if (!world_.IsLogReachable(kJobStream)) {
      contactSince_ = world_.Now();
    }
    world_.streams[std::string(kJobStream)].lastContact = world_.Now();
  }
  const bool isChanged = isDue || !changed_.empty() || !world_.jobEnds.empty();
  for (JobEnd& end : std::exchange(world_.jobEnds, {})) {
    const auto found = held_.find(end.job);
    if (found == held_.end()) {
      continue;
    }
    Held& held = found->second;
    held.run = RequestId{};
    held.tokens = end.tokens;
    held.retryAt = world_.Now() + kRerunDelay;
    if (end.isFinal) {
      held.end = std::move(end);
    }
  }
  callers_.Run();
  for (const std::string& job : std::exchange(changed_, {})) {
    Look(job);
  }
  if (isChanged) {
    for (auto it = held_.begin(); it != held_.end();) {
      it = DriveHeld(it->first, it->second) ? std::next(it) : held_.erase(it);
    }
  }
  if (isDue) {
    TakeOver();
    RunCarries();
  }
  world_.heldJobs = held_.size();
  appender_.Run();
}

bool JobSystem::IsMine(const JobRow& aRow) const
{
  return aRow.state == JobRow::State::Running && aRow.holder == world_.options.daemon &&
         aRow.holderIncarnation == world_.options.incarnation;
}

/// Decides what a new record of this job means for this daemon.
void JobSystem::Look(const std::string& aJob)
{
  const JobRow* row = world_.jobs.Find(aJob);
  if (!row || row->HasEnded() || row->state == JobRow::State::Proposed ||
      callers_.IsGivenUp(aJob)) {
    watched_.erase(aJob);
    return;
  }
  if (IsMine(*row)) {
    const bool isTakenOver = watched_.erase(aJob) > 0;
    const auto held = held_.find(aJob);
    if (held == held_.end() || held->second.lease != row->lease) {
      if (isTakenOver) {
        world_.counters.Add(Counter::JobsTakenOver);
        world_.Log(LogLevel::Info, kPart,
                   "job " + aJob + " is taken over after token " +
                     std::to_string(row->tokens.size()));
      }
      Hold(aJob, *row);
    }
    return;
  }
  const bool isReleased = row->state == JobRow::State::Queued;
  const Duration spread = isReleased ? kReleasedSpread : world_.options.jobTakeoverSpread;
  const Duration random(
    static_cast<int64_t>(world_.random() % static_cast<uint64_t>(spread.count() + 1)));
  watched_[aJob] =
    Watch{ .seen = world_.Now(),
           .delay = isReleased ? random : world_.options.jobLeaseTime + random };
}

void JobSystem::TakeOver()
{
  if (world_.state != DaemonState::Serving || !world_.IsCaughtUp() ||
      !world_.IsLogReachable(kJobStream)) {
    // Silence proves nothing while this daemon does not read the log.
    return;
  }
  size_t taking = static_cast<size_t>(std::ranges::count_if(
    watched_, [](const auto& aItem) { return aItem.second.taking != nullptr; }));
  for (auto& [job, watch] : watched_) {
    const JobRow* row = world_.jobs.Find(job);
    const TimePoint due = std::max(watch.seen, contactSince_) + watch.delay;
    const bool hasRoom = taking < kMaxTaking &&
                         world_.requests.Size() + taking < world_.options.maxRequests / 2;
    if (row && !watch.taking && hasRoom && world_.Now() >= due) {
      ++taking;
      watch.taking =
        appender_.Begin(LeaseRecord{ .job = job,
                                     .daemon = world_.options.daemon,
                                     .incarnation = world_.options.incarnation,
                                     .supersedes = row->lease });
    }
  }
}

// ---- Held jobs ----

void JobSystem::Hold(const std::string& aJob, const JobRow& aRow)
{
  const auto old = held_.find(aJob);
  if (old != held_.end()) {
    StopRun(old->second);
  }
  held_[aJob] = Held{ .lease = aRow.lease,
                      .tokens = aRow.tokens,
                      .retryAt = world_.Now(),
                      .lastSent = world_.Now() };
}

/// Returns false when the job is not held any more.
bool JobSystem::DriveHeld(const std::string& aJob, Held& aHeld)
{
  const JobRow* row = world_.jobs.Find(aJob);
  const bool isStopping = world_.refusesRequests;
  if (isStopping) {
    StopRun(aHeld);
    const TimePoint last = world_.drainStarted + world_.options.drainDelay + kReleaseTime;
    if (world_.Now() >= last) {
      world_.Log(LogLevel::Warning, kPart,
                 "job " + aJob + " is left to its lease: the log took no release");
      return false;
    }
  }
  if (!row) {
    return true; // It comes back by a carry record.
  }
  if (row->HasEnded() || row->lease != aHeld.lease || !IsMine(*row)) {
    StopRun(aHeld);
    if (row->lease != aHeld.lease) {
      world_.counters.Add(Counter::JobsSuperseded);
      world_.Log(LogLevel::Warning, kPart,
                 "job " + aJob + " was taken over by " + row->holder);
    } else if (row->HasEnded()) {
      world_.counters.Add(Counter::JobsEnded);
    }
    return false;
  }
  if (aHeld.sending && row->revision > aHeld.sentAfter) {
    aHeld.sending.reset(); // read back
  }
  if (aHeld.sending) {
    DriveRun(aJob, *row, aHeld);
    return true;
  }
  if (aHeld.end) {
    Send(*row, aHeld,
         DoneRecord{ .job = aJob,
                     .lease = aHeld.lease,
                     .from = row->tokens.size(),
                     .tokens = NewTokens(*row, aHeld),
                     .finishReason = aHeld.end->finishReason,
                     .error = aHeld.end->error ? ErrorBody(*aHeld.end->error) : "" });
  } else if (isStopping) {
    Send(*row, aHeld,
         ReleaseRecord{ .job = aJob,
                        .lease = aHeld.lease,
                        .from = row->tokens.size(),
                        .tokens = NewTokens(*row, aHeld) });
  } else if (world_.Now() >= aHeld.lastSent + world_.options.jobCheckpointInterval) {
    Send(*row, aHeld,
         CheckpointRecord{ .job = aJob,
                           .lease = aHeld.lease,
                           .from = row->tokens.size(),
                           .tokens = NewTokens(*row, aHeld) });
  }
  DriveRun(aJob, *row, aHeld);
  return true;
}

/// Starts the job's run when it has none, and ends it at the deadline.
void JobSystem::DriveRun(const std::string& aJob, const JobRow& aRow, Held& aHeld)
{
  if (aHeld.end || world_.refusesRequests) {
    return;
  }
  if (aHeld.run == RequestId{}) {
    if (world_.Now() >= aHeld.retryAt) {
      StartRun(aJob, aRow, aHeld);
    }
    return;
  }
  const RequestRow* run = world_.requests.Find(aHeld.run);
  if (run && world_.Now() >= run->deadline) {
    StopRun(aHeld);
    aHeld.end = JobEnd{ .job = aJob,
                        .tokens = aHeld.tokens,
                        .finishReason = {},
                        .error = Error{ ErrorKind::DeadlineExceeded,
                                        "the deadline of the route passed" } };
  }
}

void JobSystem::StartRun(const std::string& aJob, const JobRow& aRow, Held& aHeld)
{
  auto chat = ParseChatRequest(aRow.proposal.body);
  const std::chrono::milliseconds left(aRow.createdMs + aRow.proposal.deadlineMs -
                                       LogNowMs());
  const auto end = [&](std::string aReason, std::optional<Error> aError) {
    aHeld.end = JobEnd{ .job = aJob,
                        .tokens = aHeld.tokens,
                        .finishReason = std::move(aReason),
                        .error = std::move(aError) };
    isDue_ = true;
  };
  if (!chat) {
    end({}, chat.error());
  } else if (chat->maxTokens > 0 && aHeld.tokens.size() >= chat->maxTokens) {
    end("length", std::nullopt);
  } else if (left.count() <= 0) {
    end({}, Error{ ErrorKind::DeadlineExceeded, "the deadline of the route passed" });
  } else {
    chat->streams = false;
    aHeld.run = RequestId{ kRunIds | world_.NewId<RequestId>().value };
    RequestRow row;
    row.publicId = aJob;
    row.trace = world_.RandomHex(kTraceDigits);
    row.span = world_.RandomHex(kSpanDigits);
    row.service = aRow.proposal.service;
    row.team = aRow.proposal.team;
    row.kind = ServiceKind::Model;
    row.idempotent = true;
    row.arrived = world_.Now();
    row.deadline = world_.Now() + left;
    row.chat = std::move(*chat);
    row.tokens = aHeld.tokens;
    row.job = aJob;
    world_.requests.Insert(aHeld.run, std::move(row));
    world_.dispatchQueue.push_back(aHeld.run);
  }
}

/// Cancels the run, if any, and keeps its tokens.
void JobSystem::StopRun(Held& aHeld)
{
  const RequestId id = std::exchange(aHeld.run, RequestId{});
  RequestRow* run = id == RequestId{} ? nullptr : world_.requests.Find(id);
  if (!run) {
    return;
  }
  if (run->attempt != AttemptId{}) {
    const AttemptId attempt = run->attempt;
    world_.Emit(CancelAttempt{ attempt });
    attempts_.End(attempt, "the job is not held any more");
  }
  aHeld.tokens = std::move(run->tokens);
  world_.requests.Erase(id);
}

void JobSystem::Send(const JobRow& aRow, Held& aHeld, const Record& aRecord)
{
  aHeld.sending = appender_.Begin(aRecord);
  aHeld.sentAfter = aRow.revision;
  aHeld.lastSent = world_.Now();
}

/// Returns the tokens that the log does not have yet.
std::vector<std::string> JobSystem::NewTokens(const JobRow& aRow, const Held& aHeld) const
{
  const RequestRow* run = world_.requests.Find(aHeld.run);
  const std::vector<std::string>& all = run ? run->tokens : aHeld.tokens;
  const size_t known = std::min(aRow.tokens.size(), all.size());
  return { all.begin() + static_cast<ptrdiff_t>(known), all.end() };
}

/// Estimates the log's time from the newest record. It is early while the log is idle
/// before this daemon's start; the daemon's own lease record corrects that.
int64_t JobSystem::LogNowMs() const
{
  const auto since =
    std::chrono::duration_cast<std::chrono::milliseconds>(world_.Now() - latestAt_);
  return table_.LatestMs() + since.count();
}

} // namespace gooseberrypath
