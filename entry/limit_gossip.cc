#include "entry/limit_gossip.h"

namespace gooseberrypath::entry {

namespace {

// A changed limit is in each digest for this time.
constexpr Duration kChangeGossipTime = std::chrono::seconds(3);

// The other limits are in one of this number of digests.
constexpr uint64_t kRefreshDigests = 8;

// Limit for the limits in a digest, some 1 KB.
constexpr size_t kMaxLimits = 32;

} // namespace

std::vector<GossipedLimit> LimitsToGossip(const World& aWorld, uint64_t aSequence)
{
  std::vector<GossipedLimit> changed;
  std::vector<GossipedLimit> refreshed;
  for (const auto& [id, row] : aWorld.backends) {
    const bool wasLimited = row.limitedSince != TimePoint{};
    if (!wasLimited || row.removedAt) {
      continue;
    }
    const GossipedLimit limit{ .backend = row.key, .statement = row.limit.Latest() };
    if (row.limitedSince + kChangeGossipTime > aWorld.Now()) {
      changed.push_back(limit);
    } else if (row.key % kRefreshDigests == aSequence % kRefreshDigests) {
      refreshed.push_back(limit);
    }
  }
  changed.insert(changed.end(), refreshed.begin(), refreshed.end());
  if (changed.size() > kMaxLimits) {
    changed.resize(kMaxLimits);
  }
  return changed;
}

} // namespace gooseberrypath::entry
