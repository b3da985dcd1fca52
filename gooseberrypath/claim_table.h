// The table of claimed actions as a pure function of the records of stream "actions".
// Every daemon that applies the same records has the same table.
//
//   ClaimTable table(world.actions);
//   table.Reset(batch.start);
//   table.Apply(entry.offset, entry.timeMs, record);
//
// A claim is admitted if its key has no row at its position in the log. A row ends by an
// abandon record of its claim, or when the log time reaches the end of its window. A
// claim id that was abandoned may be admitted again when a repeated append of it arrives
// late; its holder has given it up for good and abandons it again.
//
// A table that begins after the first record, because retention removed it, may miss what
// decided about a claim. Claim and carry records therefore tell up to which offset their
// writers had read. A record whose writer had read less than the table's beginning leaves
// its row in state Unknown until a later record decides.

#ifndef GOOSEBERRYPATH_CLAIM_TABLE_H_
#define GOOSEBERRYPATH_CLAIM_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberrypath/records.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Applies records to the rows of World::actions.
class ClaimTable
{
public:
  /// The rows must outlive the table, which is their only writer.
  explicit ClaimTable(Table<ActionId, ActionRow>& aRows)
    : rows_(aRows)
  {
  }

  /// Forgets everything. The next record applied is the one at aFirst.
  void Reset(Offset aFirst);

  /// Applies the record at this offset. aTimeMs is its log time.
  void Apply(Offset aOffset, int64_t aTimeMs, const Record& aRecord);

  /// Returns the actions whose rows cannot be rebuilt without records before this offset,
  /// nearest to removal first.
  std::vector<ActionId> FindBefore(Offset aOffset) const;

  /// Returns the newest log time seen, ms since 1970; 0: none.
  int64_t LatestMs() const { return latestMs_; }

private:
  void Drop(const ActionId& aId);
  bool IsExact(Offset aAsOf) const { return first_ <= 1 || aAsOf >= first_; }
  void Put(const ActionId& aId, ActionRow aRow);
  void Merge(const ActionId& aId, ActionRow aRow, const CarryRecord& aRecord);
  void Expire();

  void ApplyOne(Offset aOffset, const ClaimRecord& aRecord);
  void ApplyOne(Offset aOffset, const OutcomeRecord& aRecord);
  void ApplyOne(Offset aOffset, const AbandonRecord& aRecord);
  void ApplyOne(Offset aOffset, const CarryRecord& aRecord);

  Table<ActionId, ActionRow>& rows_;
  Offset first_ = 1;
  int64_t latestMs_ = 0;
  std::set<std::pair<Offset, ActionId>> byOffset_;
  std::set<std::pair<int64_t, ActionId>> byExpiry_;
  // Rows of which the table cannot tell whether their claim was admitted, and the offset
  // of the newest claim record in doubt. Their state is Unknown, so nothing runs.
  std::map<ActionId, Offset> ambiguous_;
  // Newest abandon record of each claim id, and the ids by log time of that record.
  std::map<std::string, Offset> abandons_;
  std::multimap<int64_t, std::string> abandonsByTime_;
};

/// Returns the carry record of a row, written after reading all records before aNext.
CarryRecord MakeCarry(const ActionId& aId, const ActionRow& aRow, Offset aNext);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLAIM_TABLE_H_
