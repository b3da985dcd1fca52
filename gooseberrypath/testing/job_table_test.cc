#include "gooseberrypath/job_table.h"

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace gooseberrypath;

namespace {

struct Stored
{
  int64_t timeMs = 0;
  Record record;
};

/// The slow, obvious version: follows one job through the whole log, without indexes.
std::optional<JobRow> SlowJob(const std::vector<Stored>& aLog, const std::string& aJob)
{
  std::optional<JobRow> row;
  for (size_t i = 0; i < aLog.size(); ++i) {
    const bool isOpen = row && row->state != JobRow::State::Proposed && !row->HasEnded();
    const int64_t since = row && row->HasEnded() ? row->endedMs
                          : row                  ? row->createdMs
                                                 : 0;
    if (row && !isOpen && aLog[i].timeMs >= since + row->proposal.windowMs) {
      row.reset();
    }
    if (JobOf(aLog[i].record) != aJob) {
      continue;
    }
    const auto holds = [&](Offset aLease, uint64_t aFrom) {
      return row && row->state == JobRow::State::Running && row->lease == aLease &&
             row->tokens.size() == aFrom;
    };
    if (const auto* job = std::get_if<JobRecord>(&aLog[i].record); job && !row) {
      row = JobRow{ .proposal = *job,
                    .holder = job->daemon,
                    .holderIncarnation = job->incarnation,
                    .createdMs = aLog[i].timeMs };
    } else if (const auto* lease = std::get_if<LeaseRecord>(&aLog[i].record)) {
      if (row && !row->HasEnded() && row->lease == lease->supersedes &&
          (row->lease != 0 || lease->daemon == row->holder)) {
        row->state = JobRow::State::Running;
        row->holder = lease->daemon;
        row->lease = i + 1;
      }
    } else if (const auto* point = std::get_if<CheckpointRecord>(&aLog[i].record)) {
      if (holds(point->lease, point->from)) {
        row->tokens.insert(row->tokens.end(), point->tokens.begin(), point->tokens.end());
      }
    } else if (const auto* release = std::get_if<ReleaseRecord>(&aLog[i].record)) {
      if (holds(release->lease, release->from)) {
        row->state = JobRow::State::Queued;
      }
    } else if (const auto* done = std::get_if<DoneRecord>(&aLog[i].record)) {
      if (holds(done->lease, done->from)) {
        row->state = done->error.empty() ? JobRow::State::Done : JobRow::State::Failed;
        row->finishReason = done->finishReason;
        row->error = done->error;
        row->endedMs = aLog[i].timeMs;
      }
    } else if (std::holds_alternative<CancelRecord>(aLog[i].record)) {
      if (row && !row->HasEnded()) {
        row->state = JobRow::State::Cancelled;
        row->endedMs = aLog[i].timeMs;
      }
    }
  }
  return row;
}

/// Ids in use, and the head of the log when they were chosen.
struct Ids
{
  std::vector<std::pair<std::string, Offset>> open =
    std::vector<std::pair<std::string, Offset>>(12);
  std::vector<std::string> all;
};

/// Makes records of few jobs, most of them valid at their place, some of old leases.
Record RandomRecord(std::mt19937_64& aRandom, const Table<std::string, JobRow>& aJobs,
                    Offset aNext, Ids& aIds)
{
  // Job records are repeated soon after the choice of the id or not at all.
  constexpr Offset kRepeats = 40;
  auto& [job, chosen] = aIds.open[aRandom() % aIds.open.size()];
  if (job.empty() || (aNext > chosen + kRepeats && aRandom() % 20 == 0)) {
    job = "j" + std::to_string(aIds.all.size());
    chosen = aNext;
    aIds.all.push_back(job);
  }
  const std::string daemon = "d" + std::to_string(aRandom() % 3);
  const JobRow* row = aJobs.Find(job);
  const Offset lease = row && aRandom() % 4 != 0 ? row->lease : aRandom() % (aNext + 1);
  const uint64_t from = row && aRandom() % 4 != 0 ? row->tokens.size() : aRandom() % 3;
  if (aNext <= chosen + kRepeats && aRandom() % 4 == 0) {
    return JobRecord{ .job = job, .daemon = "d0", .windowMs = 2000, .asOf = chosen };
  }
  switch (aRandom() % 12) {
    case 3:
      return DoneRecord{ job, lease, from, {}, "stop", aRandom() % 2 == 0 ? "" : "{}" };
    case 4:
      return CancelRecord{ job };
    case 5:
      return ReleaseRecord{ job, lease, from, {} };
    case 6:
    case 7:
    case 8:
    case 9:
      return CheckpointRecord{ job, lease, from, { std::to_string(aNext) } };
    default:
      return LeaseRecord{ .job = job, .daemon = daemon, .supersedes = lease };
  }
}

} // namespace

TEST_CASE("The job table equals the slow version", "[jobs]")
{
  // Guards against a stale lease that is accepted, and against rows that are kept or
  // forgotten at another place than on other daemons.
  size_t ended = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    Table<std::string, JobRow> rows;
    JobTable table(rows);
    std::vector<Stored> log;
    Ids ids;
    int64_t now = 1000;
    for (int i = 0; i < 300; ++i) {
      now += static_cast<int64_t>(random() % 30);
      log.push_back({ now, RandomRecord(random, rows, log.size() + 1, ids) });
      table.Apply(log.size(), now, log.back().record);
    }
    for (const std::string& job : ids.all) {
      const auto slow = SlowJob(log, job);
      const JobRow* found = rows.Find(job);
      INFO("job " << job);
      REQUIRE(slow.has_value() == (found != nullptr));
      if (found) {
        JobRow row = *found;
        ended += row.HasEnded() ? 1 : 0;
        row.revision = 0;
        row.offset = 0;
        CHECK(row == *slow);
      }
    }
  }
  CHECK(ended > 200);
}

TEST_CASE("A job table that begins late equals the others after the carries", "[jobs]")
{
  // Guards against live jobs and results that retention removes, and against a daemon
  // that starts late and decides otherwise than the others.
  size_t compared = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    Table<std::string, JobRow> rows;
    JobTable table(rows);
    std::vector<Stored> log;
    Ids ids;
    int64_t now = 1000;
    const auto append = [&](Record aRecord) {
      now += static_cast<int64_t>(random() % 20);
      log.push_back({ now, std::move(aRecord) });
      table.Apply(log.size(), now, log.back().record);
    };
    // A carry is read after records that its writer did not know.
    std::vector<Record> carries;
    for (Offset start = 1; start < 300; ++start) {
      for (const std::string& job : table.FindBefore(start + 40)) {
        carries.push_back(MakeCarry(*rows.Find(job), log.size() + 1));
      }
      append(RandomRecord(random, rows, log.size() + 1, ids));
      if (random() % 4 == 0) {
        for (Record& carry : std::exchange(carries, {})) {
          append(std::move(carry));
        }
      }
      while (log.size() < start + 60) {
        append(RandomRecord(random, rows, log.size() + 1, ids));
      }
    }
    const Offset start = 301;
    Table<std::string, JobRow> lateRows;
    JobTable late(lateRows);
    late.Reset(start);
    for (Offset offset = start; offset <= log.size(); ++offset) {
      late.Apply(offset, log[offset - 1].timeMs, log[offset - 1].record);
    }
    for (const auto& [job, row] : rows) {
      INFO("job " << job << " revision " << row.revision << " offset " << row.offset);
      if (row.offset >= start) {
        const JobRow* found = lateRows.Find(job);
        REQUIRE(found);
        CHECK(*found == row);
        ++compared;
      }
    }
    for (const auto& [job, row] : lateRows) {
      INFO("job " << job);
      CHECK(rows.Find(job));
    }
  }
  CHECK(compared > 1000);
}
