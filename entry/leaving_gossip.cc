#include "entry/leaving_gossip.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace gooseberrypath::entry {

namespace {

// Removals are told for this time; each peer has read them from the store by then.
constexpr Duration kRemovedGossipTime = std::chrono::seconds(3);

// Keeps an urgent digest to some two kilobytes.
constexpr size_t kMaxUrgentLeaving = 60;

/// Returns what to tell of a backend; no value if it stays or was told for long enough.
std::optional<LeavingBackend> DescribeLeaving(const World& aWorld, const std::string& aId,
                                              const BackendRow& aRow)
{
  const auto isRecent = [&](TimePoint aSince) {
    return aSince + kRemovedGossipTime > aWorld.Now();
  };
  LeavingBackend leaving{ .id = aId, .startedMs = aRow.entry.startedMs };
  if (aRow.removedAt) {
    leaving.isRemoved = true;
    leaving.removedBefore = aRow.removedBefore.next;
    return isRecent(*aRow.removedAt) ? std::optional(leaving) : std::nullopt;
  }
  const bool isReported = aRow.reportedRemoved &&
                          aRow.reportedRemoved->era == aWorld.storeEra &&
                          isRecent(aRow.reportedAt);
  if (isReported) {
    leaving.isRemoved = true;
    leaving.removedBefore = aRow.reportedRemoved->next;
    return leaving;
  }
  return aRow.entry.isLeaving ? std::optional(leaving) : std::nullopt;
}

} // namespace

std::vector<LeavingBackend> LeavingToGossip(World& aWorld, LeavingList aList)
{
  std::vector<LeavingBackend> untold;
  std::vector<LeavingBackend> told;
  for (auto& [id, row] : aWorld.backends) {
    auto leaving = DescribeLeaving(aWorld, id, row);
    row.isLeavingUntold = row.isLeavingUntold && leaving;
    if (leaving) {
      (row.isLeavingUntold ? untold : told).push_back(*std::move(leaving));
    }
  }
  std::ranges::shuffle(untold, aWorld.random);
  std::ranges::shuffle(told, aWorld.random);
  std::vector<LeavingBackend> listed = std::move(untold);
  listed.insert(listed.end(), told.begin(), told.end());
  const size_t most =
    aList == LeavingList::Urgent ? kMaxUrgentLeaving : kMaxListedLeaving;
  listed.resize(std::min(listed.size(), most));
  for (const LeavingBackend& leaving : listed) {
    aWorld.backends.Find(leaving.id)->isLeavingUntold = false;
  }
  return listed;
}

bool HasUntoldLeaving(const World& aWorld)
{
  return std::ranges::any_of(
    aWorld.backends, [](const auto& aItem) { return aItem.second.isLeavingUntold; });
}

} // namespace gooseberrypath::entry
