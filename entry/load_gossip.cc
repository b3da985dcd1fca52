#include "entry/load_gossip.h"

#include <algorithm>

#include "entry/backend_choice.h"

namespace gooseberrypath::entry {

namespace {

// Some 90 bytes in a digest.
constexpr size_t kMaxLoads = 6;

// An older report of a peer is dropped.
constexpr Duration kMaxGossipedAge = std::chrono::seconds(1);

} // namespace

std::vector<GossipedLoad> LoadsToGossip(const World& aWorld, TimePoint aSince)
{
  std::vector<GossipedLoad> loads;
  if (aWorld.DaemonCount() <= kMaxDaemonsForFullScan) {
    return loads;
  }
  const TimePoint now = aWorld.Now();
  const TimePoint since = std::max(aSince, now - ReportedLoad::kMaxPaceAge);
  for (const auto& [id, row] : aWorld.backends) {
    if (const auto report = row.reportedLoad.OwnReportSince(since)) {
      loads.push_back({ .backend = row.key,
                        .age = now - row.reportedLoad.ReceivedAt(),
                        .report = *report });
    }
  }
  std::ranges::sort(loads, {}, &GossipedLoad::age);
  if (loads.size() > kMaxLoads) {
    loads.resize(kMaxLoads);
  }
  return loads;
}

void ApplyGossipedLoads(World& aWorld, const std::vector<GossipedLoad>& aLoads)
{
  if (aLoads.empty()) {
    return;
  }
  for (auto& [id, row] : aWorld.backends) {
    const auto load = std::ranges::find(aLoads, row.key, &GossipedLoad::backend);
    const bool isUsable = load != aLoads.end() && load->age >= Duration::zero() &&
                          load->age <= kMaxGossipedAge && IsValid(load->report);
    if (isUsable && row.reportedLoad.Apply(load->report,
                                           { .receivedAt = aWorld.Now() - load->age })) {
      aWorld.counters.Add(EntryCounter::LoadReportsFromPeers);
    }
  }
}

} // namespace gooseberrypath::entry
