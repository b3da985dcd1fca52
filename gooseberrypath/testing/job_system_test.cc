#include "gooseberrypath/job_system.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/job_simulation.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;

namespace {

using Simulation = JobSimulation<JobSystem>;
using Naive = JobSimulation<NaiveJobSystem>;

/// Longer than the lease time, the random delay and a whole run.
constexpr Duration kWholeTime = 120s;

template<typename S>
std::string QueueAndRun(S& aSimulation, Duration aTime)
{
  const size_t call = aSimulation.Queue(0);
  aSimulation.RunFor(aTime);
  REQUIRE(aSimulation.replies[call].status == 202);
  return aSimulation.JobOf(call);
}

std::string KindOf(const ReplyWhole& aReply)
{
  return nlohmann::json::parse(aReply.body)["error"]["kind"];
}

/// Checks that all daemons that run have the same jobs.
void CheckSameTables(Simulation& aSimulation)
{
  const Table<std::string, JobRow>* first = nullptr;
  for (size_t i = 0; i < aSimulation.daemons.size(); ++i) {
    if (!aSimulation.daemons[i].core) {
      continue;
    }
    const auto& jobs = aSimulation.WorldOf(i).jobs;
    first = first ? first : &jobs;
    CHECK(std::equal(jobs.begin(), jobs.end(), first->begin(), first->end()));
  }
}

} // namespace

TEST_CASE("A queued job is answered by every daemon", "[jobs]")
{
  // Guards against an answer that only the daemon that ran the job has.
  Simulation s(3, 1);
  const std::string job = QueueAndRun(s, kWholeTime);
  for (size_t daemon = 0; daemon < 3; ++daemon) {
    CHECK(s.TextOf(daemon, job) == Simulation::Expected());
  }
  CHECK(s.generated == Simulation::kTokens);
  CHECK(s.View(1, "none")["error"]["kind"] == "job_not_found");
  CheckSameTables(s);
}

TEST_CASE("A job survives the kill of its holder", "[jobs]")
{
  // Guards against an accepted job that is lost with its daemon. The naive queue loses it
  // for every seed.
  constexpr uint64_t kSeeds = 50;
  uint64_t lost = 0;
  uint64_t naiveLost = 0;
  uint64_t recomputed = 0;
  uint64_t recomputedWithout = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const Duration killAt = 1s + 700ms * (seed % 50);
    const auto run = [&](auto& aSimulation) {
      const std::string job = QueueAndRun(aSimulation, killAt);
      aSimulation.Kill(0);
      aSimulation.RunFor(kWholeTime);
      return aSimulation.TextOf(1, job) == Simulation::Expected();
    };
    Simulation s(3, seed);
    lost += run(s) ? 0 : 1;
    recomputed += s.generated - Simulation::kTokens;
    CheckSameTables(s);
    Simulation without(3, seed, { .jobLeaseTime = 100s, .jobCheckpointInterval = 90s });
    const std::string job = QueueAndRun(without, killAt);
    without.Kill(0);
    without.RunFor(kWholeTime + 100s);
    CHECK(without.TextOf(1, job) == Simulation::Expected());
    recomputedWithout += without.generated - Simulation::kTokens;
    Naive naive(3, seed);
    naiveLost += run(naive) ? 0 : 1;
  }
  WARN("holder killed, " << kSeeds << " seeds: lost " << lost << ", naive lost "
                         << naiveLost << "; recomputed tokens " << recomputed
                         << " with checkpoints, " << recomputedWithout << " without");
  CHECK(lost == 0);
  CHECK(naiveLost == kSeeds);
  CHECK(recomputed < recomputedWithout);
}

TEST_CASE("A lost 202 leaves a job that runs once", "[jobs]")
{
  // Guards against a second run when the log's answers to the appends are lost.
  Simulation s(3, 2);
  s.log.faults.loseAnswers = 2;
  s.log.faults.duplicateShare = 1;
  s.log.faults.duplicateDelay = 700ms;
  const std::string job = QueueAndRun(s, kWholeTime);
  CHECK(s.TextOf(2, job) == Simulation::Expected());
  CHECK(s.generated == Simulation::kTokens);
  CheckSameTables(s);
}

TEST_CASE("A job that was refused because of the log never runs", "[jobs]")
{
  // Guards against a request that was answered "not run" and runs later.
  Simulation s(3, 3);
  SECTION("the log is down before")
  {
    s.log.faults.outage = true;
    s.RunFor(3s);
    const size_t call = s.Queue(0);
    CHECK(KindOf(s.replies[call]) == "log_unavailable");
  }
  SECTION("the job was stored, then the log goes down and the daemon dies")
  {
    s.log.faults.silentAppends = 1;
    const size_t call = s.Queue(0);
    s.RunFor(3ms);
    REQUIRE(s.log.All(std::string(kJobStream)).size() == 1);
    s.log.faults.outage = true;
    s.RunFor(3s);
    CHECK(KindOf(s.replies[call]) == "log_unavailable");
    s.Kill(0);
  }
  SECTION("the job is stored late and the daemon lives")
  {
    s.log.faults.appendDelay = 4s;
    const size_t call = s.Queue(0);
    s.RunFor(3s);
    CHECK(KindOf(s.replies[call]) == "log_unavailable");
  }
  s.log.faults.outage = false;
  s.RunFor(kWholeTime);
  CHECK(s.starts == 0);
  CheckSameTables(s);
}

TEST_CASE("A paused holder is superseded and its records are ignored", "[jobs]")
{
  // Guards against a result of an old lease, and against gaps or repeats after it.
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Simulation s(4, seed);
    const std::string job = QueueAndRun(s, 7s);
    s.daemons[0].isPaused = true;
    s.RunFor(25s);
    const JobRow row = *s.WorldOf(1).jobs.Find(job);
    CHECK(row.holder != "d0");
    s.Resume(0);
    s.RunFor(300ms); // all daemons read what the old holder sends
    CHECK(s.WorldOf(1).jobs.Find(job)->lease == row.lease);
    s.RunFor(kWholeTime);
    CHECK(s.TextOf(1, job) == Simulation::Expected());
    CHECK(s.WorldOf(0).requests.IsEmpty());
    CHECK(s.WorldOf(0).counters.Get(Counter::JobsSuperseded) == 1);
    CheckSameTables(s);
  }
}

TEST_CASE("The result of an old lease is ignored", "[jobs]")
{
  // Guards against a result that is accepted because its position fits: without
  // checkpoints, only the fencing token tells that the holder was superseded.
  Simulation s(3, 1, { .jobCheckpointInterval = 90s });
  const std::string job = QueueAndRun(s, 7s);
  const Offset oldLease = s.WorldOf(0).jobs.Find(job)->lease;
  s.daemons[0].isPaused = true;
  s.RunFor(45s); // the engine's tokens wait in the connection
  s.Resume(0);
  s.RunFor(300ms); // all daemons read what the old holder sends
  const auto& records = s.log.All(std::string(kJobStream));
  const bool wasSent = std::ranges::any_of(records, [&](const LogEntry& aEntry) {
    const Record record = *DecodeRecord(aEntry.data);
    const auto* done = std::get_if<DoneRecord>(&record);
    return done && done->lease == oldLease && done->from == 0;
  });
  CHECK(wasSent);
  CHECK(s.WorldOf(1).jobs.Find(job)->lease > oldLease);
  CHECK(s.WorldOf(1).jobs.Find(job)->state == JobRow::State::Running);
  s.RunFor(10s);
  CHECK(s.WorldOf(0).counters.Get(Counter::JobsSuperseded) == 1);
}

TEST_CASE("Two daemons that supersede at once leave one holder", "[jobs]")
{
  // Guards against two runs under valid leases.
  Simulation s(3, 5, { .jobTakeoverSpread = Duration::zero() });
  const std::string job = QueueAndRun(s, 7s);
  s.Kill(0);
  s.RunFor(19s);
  size_t leases = 0;
  for (const LogEntry& entry : s.log.All(std::string(kJobStream))) {
    leases += std::holds_alternative<LeaseRecord>(*DecodeRecord(entry.data)) ? 1 : 0;
  }
  CHECK(leases == 3); // the first one and both attempts
  CHECK(s.WorldOf(1).heldJobs + s.WorldOf(2).heldJobs == 1);
  CHECK(s.starts == 2);
  s.RunFor(kWholeTime);
  CHECK(s.TextOf(1, job) == Simulation::Expected());
}

TEST_CASE("A job continues when its engine dies", "[jobs]")
{
  // Guards against recomputed tokens when only the engine is lost.
  Simulation s(2, 6);
  const std::string job = QueueAndRun(s, 7s);
  s.KillEngine("e0");
  s.RunFor(1s);
  s.deadEngines.clear();
  s.KillEngine("e1");
  s.RunFor(kWholeTime);
  CHECK(s.TextOf(1, job) == Simulation::Expected());
  CHECK(s.generated <= Simulation::kTokens + 1);
}

TEST_CASE("A planned stop releases the job with its tokens", "[jobs]")
{
  // Guards against a stop that waits for the job, or that recomputes tokens.
  Simulation s(3, 7);
  const std::string job = QueueAndRun(s, 7s);
  s.Drain(0);
  s.RunFor(3s);
  CHECK(s.WorldOf(0).heldJobs == 0);
  CHECK(s.WorldOf(0).requests.IsEmpty());
  CHECK(s.WorldOf(1).heldJobs + s.WorldOf(2).heldJobs == 1);
  s.Kill(0);
  s.RunFor(kWholeTime);
  CHECK(s.TextOf(2, job) == Simulation::Expected());
  CHECK(s.generated == Simulation::kTokens);
}

TEST_CASE("A job is cancelled through any daemon", "[jobs]")
{
  // Guards against a cancelled job that goes on.
  Simulation s(3, 8);
  const std::string job = QueueAndRun(s, 7s);
  CHECK(s.View(2, job, "DELETE")["state"] == "cancelled");
  const uint64_t generated = s.generated;
  s.RunFor(kWholeTime);
  CHECK(s.generated == generated);
  CHECK(s.View(1, job)["state"] == "cancelled");
}

TEST_CASE("A log outage does not move a job", "[jobs]")
{
  // Guards against take-overs of live holders after an outage longer than the lease.
  Simulation s(3, 9);
  const std::string job = QueueAndRun(s, 7s);
  s.log.faults.outage = true;
  s.RunFor(60s);
  s.log.faults.outage = false;
  s.RunFor(10s);
  CHECK(s.TextOf(1, job) == Simulation::Expected());
  CHECK(s.generated == Simulation::kTokens);
}

TEST_CASE("A job fails at its deadline, whoever holds it", "[jobs]")
{
  // Guards against a job that nobody ends, and against a new deadline after a take-over.
  Simulation s(3, 10, {}, 30s);
  const std::string job = QueueAndRun(s, 7s);
  SECTION("its daemon lives") {}
  SECTION("its daemon is killed")
  {
    s.Kill(0);
  }
  s.RunFor(40s);
  const auto view = s.View(1, job);
  CHECK(view["state"] == "failed");
  CHECK(view["error"]["kind"] == "deadline_exceeded");
  CHECK(s.WorldOf(1).jobs.Find(job)->endedMs <=
        s.WorldOf(1).jobs.Find(job)->createdMs + 31'000);
  CheckSameTables(s);
}

TEST_CASE("Live jobs and answers outlast the log's retention", "[jobs]")
{
  // Guards against a job or an answer whose records the log has removed: the daemon that
  // starts after the removal must know both.
  Simulation s(3, 11);
  s.log.faults.keep = 30;
  const std::string done = QueueAndRun(s, 60s);
  std::string live;
  for (int i = 0; i < 12; ++i) {
    live = QueueAndRun(s, 15s);
  }
  REQUIRE(s.log.Read(std::string(kJobStream), 1)->start > 20);
  s.Restart(1);
  s.RunFor(30s);
  CHECK(s.TextOf(1, done) == Simulation::Expected());
  CHECK(s.TextOf(1, live) == Simulation::Expected());
  CheckSameTables(s);
}
