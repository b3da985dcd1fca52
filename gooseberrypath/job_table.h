// The table of queued requests as a pure function of the records of stream "jobs". Every
// daemon that applies the same records has the same table.
//
//   JobTable table(world.jobs);
//   table.Reset(batch.start);
//   bool isAccepted = table.Apply(entry.offset, entry.timeMs, record);
//
// A job is Proposed until its first lease, which only the daemon that proposed it can
// take. A daemon that gives a job up before it asks for that lease therefore knows that
// the job never runs, whatever happens to the daemon afterwards.
//
// A table that begins after the first record, because retention removed it, keeps the
// records of jobs that it does not know until a carry record brings their state, and then
// applies the ones that the state does not include.

#ifndef GOOSEBERRYPATH_JOB_TABLE_H_
#define GOOSEBERRYPATH_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberrypath/records.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Applies records to the rows of World::jobs.
class JobTable
{
public:
  /// The rows must outlive the table, which is their only writer.
  explicit JobTable(Table<std::string, JobRow>& aRows)
    : rows_(aRows)
  {
  }

  /// Forgets everything. The next record applied is the one at aFirst.
  void Reset(Offset aFirst);

  /// Applies the record at this offset; returns whether it changed or confirmed a row.
  /// aTimeMs is its log time.
  bool Apply(Offset aOffset, int64_t aTimeMs, const Record& aRecord);

  /// Returns the jobs whose rows cannot be rebuilt without records before this offset,
  /// nearest to removal first.
  std::vector<std::string> FindBefore(Offset aOffset) const;

  /// Returns the newest log time seen, ms since 1970; 0: none.
  int64_t LatestMs() const { return latestMs_; }

private:
  struct Entry
  {
    Offset offset = 0;
    int64_t timeMs = 0;
    Record record;
  };

  JobRow* FindLeased(const std::string& aJob, Offset aLease);
  bool AddTokens(JobRow& aRow, uint64_t aFrom, const std::vector<std::string>& aTokens);
  void End(const std::string& aJob, JobRow& aRow, JobRow::State aState, int64_t aTimeMs);
  void Insert(const std::string& aJob, JobRow aRow);
  void Drop(const std::string& aJob);
  void Expire();

  bool ApplyOne(const Entry& aEntry, const JobRecord& aRecord);
  bool ApplyOne(const Entry& aEntry, const LeaseRecord& aRecord);
  bool ApplyOne(const Entry& aEntry, const CheckpointRecord& aRecord);
  bool ApplyOne(const Entry& aEntry, const DoneRecord& aRecord);
  bool ApplyOne(const Entry& aEntry, const CancelRecord& aRecord);
  bool ApplyOne(const Entry& aEntry, const ReleaseRecord& aRecord);
  bool ApplyOne(const Entry& aEntry, const CarryJobRecord& aRecord);
  bool ApplyEntry(const Entry& aEntry);

  Table<std::string, JobRow>& rows_;
  Offset first_ = 1;
  int64_t latestMs_ = 0;
  std::set<std::pair<Offset, std::string>> byOffset_;
  std::set<std::pair<int64_t, std::string>> byExpiry_;
  // Records of jobs without a row in a table that begins late, and the times after which
  // they are forgotten.
  std::map<std::string, std::vector<Entry>> waiting_;
  std::set<std::pair<int64_t, std::string>> waitingByTime_;
};

/// Returns the id of the job that the record is about, or an empty text.
std::string JobOf(const Record& aRecord);

/// Returns the carry record of a row, written after reading all records before aNext.
CarryJobRecord MakeCarry(const JobRow& aRow, Offset aNext);

/// Returns "queued", "running", "done", "failed" or "cancelled"; "proposed" is not shown
/// to callers.
std::string_view NameOf(JobRow::State aState);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_JOB_TABLE_H_
