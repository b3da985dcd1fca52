// Counts of begun calls by window of the wall clock, daemon and team. Counts only grow,
// so merging takes the larger one, and messages may be lost, repeated or late.
//
//   UsageCount count(std::chrono::seconds(5));
//   count.Add(wallNow, "d1/17", "acme");
//   count.Merge(other.Rows());
//   std::map<std::string, uint64_t> totals = count.Totals(window);

#ifndef ENTRY_USAGE_COUNT_H_
#define ENTRY_USAGE_COUNT_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrypath::entry {

/// Milliseconds since 1970.
using WallTime = std::chrono::milliseconds;

/// The number of calls of a team that began in a window, as one daemon saw it.
struct UsageRow
{
  uint64_t window = 0; // number of the window since 1970
  std::string daemon;  // name and incarnation
  std::string team;
  uint64_t count = 0;

  auto operator<=>(const UsageRow&) const = default;
};

/// A grow-only counter of windows, daemons and teams.
class UsageCount
{
public:
  /// The length of a window must be positive.
  explicit UsageCount(std::chrono::milliseconds aWindowLength)
    : length_(aWindowLength)
  {
  }

  /// Counts one call.
  void Add(WallTime aNow, std::string_view aDaemon, std::string_view aTeam);

  /// Takes the larger count of each row.
  void Merge(std::span<const UsageRow> aRows);

  /// Returns all rows of windows from this one on.
  std::vector<UsageRow> Rows(uint64_t aFirstWindow = 0) const;

  /// Returns the rows of one daemon from this window on.
  std::vector<UsageRow> RowsOf(std::string_view aDaemon, uint64_t aFirstWindow) const;

  /// Returns the counts of a window by team, over all daemons.
  std::map<std::string, uint64_t> Totals(uint64_t aWindow) const;

  /// Forgets the windows before this one.
  void DropBefore(uint64_t aWindow);

  /// Returns the number of the window that contains the time.
  uint64_t WindowAt(WallTime aNow) const { return static_cast<uint64_t>(aNow / length_); }

  /// Returns the first moment after the window.
  WallTime WindowEnd(uint64_t aWindow) const { return length_ * (aWindow + 1); }

private:
  struct Key
  {
    uint64_t window;
    std::string daemon;
    std::string team;

    // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
    auto operator<=>(const Key&) const = default; // NOLINT(modernize-use-nullptr)
  };

  std::chrono::milliseconds length_;
  std::map<Key, uint64_t> counts_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_USAGE_COUNT_H_
