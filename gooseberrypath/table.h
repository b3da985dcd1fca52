// A table of entities: rows with stable ids that systems run over in insertion order.
//
//   Table<RequestId, RequestRow> requests;
//   RequestRow& row = requests.Insert(id, RequestRow{ .deadline = due });
//   for (auto& [id, row] : requests) { ... }

#ifndef GOOSEBERRYPATH_TABLE_H_
#define GOOSEBERRYPATH_TABLE_H_

#include <map>
#include <utility>

namespace gooseberrypath {

/// Rows by id. Iteration is in order of id, so that runs with one seed are repeatable.
/// References to rows stay valid until the row is erased.
template<typename Id, typename Row>
class Table
{
public:
  /// Adds or replaces the row.
  Row& Insert(const Id& aId, Row aRow)
  {
    return rows_.insert_or_assign(aId, std::move(aRow)).first->second;
  }

  /// Returns the row, or null.
  Row* Find(const Id& aId)
  {
    const auto found = rows_.find(aId);
    return found == rows_.end() ? nullptr : &found->second;
  }

  /// Returns the row, or null.
  const Row* Find(const Id& aId) const
  {
    const auto found = rows_.find(aId);
    return found == rows_.end() ? nullptr : &found->second;
  }

  /// Removes the row; returns whether it was there.
  bool Erase(const Id& aId) { return rows_.erase(aId) > 0; }

  /// Removes the rows for which the predicate on (id, row) holds.
  template<typename Predicate>
  size_t EraseIf(Predicate aPredicate)
  {
    return std::erase_if(
      rows_, [&](const auto& aItem) { return aPredicate(aItem.first, aItem.second); });
  }

  void Clear() { rows_.clear(); }
  size_t Size() const { return rows_.size(); }
  bool IsEmpty() const { return rows_.empty(); }

  auto begin() { return rows_.begin(); }
  auto end() { return rows_.end(); }
  auto begin() const { return rows_.begin(); }
  auto end() const { return rows_.end(); }

private:
  std::map<Id, Row> rows_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TABLE_H_
