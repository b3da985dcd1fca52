#include "entry/usage_count.h"

#include <algorithm>

namespace gooseberrypath::entry {

void UsageCount::Add(WallTime aNow, std::string_view aDaemon, std::string_view aTeam)
{
  ++counts_[Key{ WindowAt(aNow), std::string(aDaemon), std::string(aTeam) }];
}

void UsageCount::Merge(std::span<const UsageRow> aRows)
{
  for (const UsageRow& row : aRows) {
    uint64_t& count = counts_[Key{ row.window, row.daemon, row.team }];
    count = std::max(count, row.count);
  }
}

std::vector<UsageRow> UsageCount::Rows(uint64_t aFirstWindow) const
{
  std::vector<UsageRow> rows;
  for (auto it = counts_.lower_bound(Key{ aFirstWindow, {}, {} }); it != counts_.end();
       ++it) {
    rows.push_back({ it->first.window, it->first.daemon, it->first.team, it->second });
  }
  return rows;
}

std::vector<UsageRow> UsageCount::RowsOf(std::string_view aDaemon,
                                         uint64_t aFirstWindow) const
{
  std::vector<UsageRow> rows = Rows(aFirstWindow);
  std::erase_if(rows, [&](const UsageRow& aRow) { return aRow.daemon != aDaemon; });
  return rows;
}

std::map<std::string, uint64_t> UsageCount::Totals(uint64_t aWindow) const
{
  std::map<std::string, uint64_t> totals;
  for (auto it = counts_.lower_bound(Key{ aWindow, {}, {} });
       it != counts_.end() && it->first.window == aWindow; ++it) {
    totals[it->first.team] += it->second;
  }
  return totals;
}

void UsageCount::DropBefore(uint64_t aWindow)
{
  counts_.erase(counts_.begin(), counts_.lower_bound(Key{ aWindow, {}, {} }));
}

} // namespace gooseberrypath::entry
