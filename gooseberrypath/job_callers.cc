#include "gooseberrypath/job_callers.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/job_table.h"
#include "gooseberrypath/request_intake.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

/// A question about an unknown job waits, because the record of a job that another daemon
/// has just accepted may not have been read yet.
constexpr Duration kUnknownWait = 1s;
/// Given-up jobs are cancelled when they appear within this time. A later one that was
/// not leased never runs; the fate of a leased one was answered as unknown.
constexpr Duration kGivenUpMemory = 600s;
constexpr size_t kIdDigits = 32;
constexpr int kAccepted = 202;
constexpr int64_t kMsPerSecond = 1000;

int64_t ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

void JobCallers::Handle(const CallerRequest& aEvent)
{
  if (!IsJobQuery(aEvent)) {
    return;
  }
  Query query{ .caller = aEvent,
               .job = std::string(PathOf(aEvent.target).substr(kJobPrefix.size())),
               .due = world_.Now() + kUnknownWait };
  if (aEvent.method == "DELETE") {
    query.due = world_.Now() + world_.options.claimTimeout;
  }
  if (!Answer(aEvent.request, query)) {
    queries_.emplace(aEvent.request, std::move(query));
  }
}

void JobCallers::Run()
{
  for (auto& [id, row] : world_.requests) {
    if (row.stage == RequestStage::AwaitingJob) {
      Drive(id, row, intakes_[id]);
    }
  }
  std::erase_if(intakes_, [&](const auto& aItem) {
    const RequestRow* row = world_.requests.Find(aItem.first);
    if (row && row->stage == RequestStage::AwaitingJob) {
      return false;
    }
    // Without a row the caller left before the job was accepted.
    if (!row) {
      GiveUp(aItem.second);
    }
    return true;
  });
  std::erase_if(queries_,
                [&](const auto& aItem) { return Answer(aItem.first, aItem.second); });
  std::erase_if(cancels_, [&](const auto& aItem) {
    const JobRow* row = world_.jobs.Find(aItem.first);
    return !row || row->HasEnded();
  });
  for (auto& [job, givenUp] : givenUp_) {
    const JobRow* row = world_.jobs.Find(job);
    if (row && !row->HasEnded() && !givenUp.cancel) {
      givenUp.cancel = appender_.Begin(CancelRecord{ .job = job });
    }
  }
  std::erase_if(givenUp_, [&](const auto& aItem) {
    const JobRow* row = world_.jobs.Find(aItem.first);
    return (row && row->HasEnded()) || world_.Now() >= aItem.second.forgetAt;
  });
}

void JobCallers::Drive(RequestId aId, RequestRow& aRow, Intake& aIntake)
{
  const bool isReachable = world_.IsCaughtUp() && world_.IsLogReachable(kJobStream);
  if (aIntake.job.empty()) {
    if (!isReachable) {
      Decide(aId, aRow, Error{ ErrorKind::LogUnavailable, "the log is not reachable" });
    } else {
      Propose(aRow, aIntake);
    }
    return;
  }
  const JobRow* job = world_.jobs.Find(aIntake.job);
  if (job && job->lease != 0) {
    world_.counters.Add(Counter::JobsAccepted);
    Decide(
      aId, aRow,
      StoredAnswer{ .status = kAccepted,
                    .headers = { { "Content-Type", "application/json" },
                                 { "Location", std::string(kJobPrefix) + aIntake.job } },
                    .body = Dump({ { "id", aIntake.job } }) });
    return;
  }
  if (world_.Now() >= aIntake.due) {
    GiveUp(aIntake);
    Decide(
      aId, aRow,
      aIntake.isLeaseSent
        ? Error{ ErrorKind::WriteUnknown,
                 "the log did not confirm job " + aIntake.job + " in time" }
        : Error{ ErrorKind::LogUnavailable, "the log did not show the job in time" });
    return;
  }
  if (job && !aIntake.isLeaseSent) {
    aIntake.isLeaseSent = true;
    aIntake.ticket =
      appender_.Begin(LeaseRecord{ .job = aIntake.job,
                                   .daemon = world_.options.daemon,
                                   .incarnation = world_.options.incarnation });
  }
}

void JobCallers::Propose(RequestRow& aRow, Intake& aIntake)
{
  aIntake.job = world_.RandomHex(kIdDigits);
  aIntake.due = std::min(world_.Now() + world_.options.claimTimeout, aRow.deadline);
  aIntake.ticket =
    appender_.Begin(JobRecord{ .job = aIntake.job,
                               .service = aRow.service,
                               .team = aRow.team,
                               .body = std::string(aRow.chat.json.View()),
                               .daemon = world_.options.daemon,
                               .incarnation = world_.options.incarnation,
                               .deadlineMs = ToMs(aRow.deadline - aRow.arrived),
                               .windowMs = ToMs(world_.options.jobWindow),
                               .asOf = world_.streams[std::string(kJobStream)].next });
}

void JobCallers::GiveUp(const Intake& aIntake)
{
  if (!aIntake.job.empty()) {
    world_.counters.Add(Counter::JobsGivenUp);
    givenUp_.emplace(aIntake.job, GivenUp{ .forgetAt = world_.Now() + kGivenUpMemory });
  }
}

void JobCallers::Decide(RequestId aId, RequestRow& aRow, Decision aDecision)
{
  aRow.decision = std::move(aDecision);
  aRow.stage = RequestStage::Decided;
  world_.dispatchQueue.push_back(aId);
}

/// Answers a query if it can be answered now; returns whether it was.
bool JobCallers::Answer(RequestId aId, const Query& aQuery)
{
  const auto fail = [&](ErrorKind aKind, std::string aMessage) {
    replies_.SendError(aId, RequestRow{ .caller = aQuery.caller },
                       { aKind, std::move(aMessage) });
    return true;
  };
  if (!world_.IsCaughtUp()) {
    return fail(ErrorKind::NotReady, "the log has not been read yet");
  }
  const JobRow* row = world_.jobs.Find(aQuery.job);
  const bool isKnown = row && row->state != JobRow::State::Proposed;
  const bool isOver = world_.Now() >= aQuery.due;
  if (!isKnown) {
    if (!isOver) {
      return false;
    }
    return world_.IsLogReachable(kJobStream)
             ? fail(ErrorKind::JobNotFound, "there is no job " + aQuery.job)
             : fail(ErrorKind::LogUnavailable,
                    "the log is not reachable and job " + aQuery.job + " is not known");
  }
  if (aQuery.caller.method == "GET" || row->HasEnded()) {
    SendView(aId, aQuery.job, *row);
    return true;
  }
  if (isOver) {
    return fail(ErrorKind::WriteUnknown, "the log did not confirm the cancellation");
  }
  if (!cancels_.contains(aQuery.job)) {
    cancels_.emplace(aQuery.job, appender_.Begin(CancelRecord{ .job = aQuery.job }));
  }
  return false;
}

void JobCallers::SendView(RequestId aId, const std::string& aJob, const JobRow& aJobRow)
{
  Json body = { { "id", aJob },
                { "state", NameOf(aJobRow.state) },
                { "tokens", aJobRow.tokens.size() } };
  if (aJobRow.state == JobRow::State::Done) {
    const auto chat = ParseChatRequest(aJobRow.proposal.body);
    body["response"] =
      Json::parse(CompletionBody({ .requestId = aJob,
                                   .model = chat ? chat->model : std::string(),
                                   .createdSeconds = aJobRow.createdMs / kMsPerSecond },
                                 aJobRow.tokens, aJobRow.finishReason));
  } else if (aJobRow.state == JobRow::State::Failed) {
    const Json error = Json::parse(aJobRow.error, nullptr, false);
    body["error"] = error.is_object() ? error.value("error", error) : Json(aJobRow.error);
  }
  world_.Emit(ReplyWhole{ .request = aId,
                          .status = 200,
                          .headers = { { "Content-Type", "application/json" } },
                          .body = Dump(body) });
}

} // namespace gooseberrypath
