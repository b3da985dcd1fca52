#include "entry/load_wire.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gooseberrypath::entry {

namespace {

constexpr double kPercent = 100;

uint16_t ToUint16(int64_t aValue)
{
  constexpr int64_t kMax = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(std::clamp<int64_t>(aValue, 0, kMax));
}

} // namespace

void FillLoads(const std::vector<GossipedLoad>& aLoads, wire::Digest::Builder& aBuilder)
{
  auto loads = aBuilder.initLoads(aLoads.size());
  for (uint32_t i = 0; i < loads.size(); ++i) {
    const auto& [backend, age, report] = aLoads[i];
    loads[i].setBackend(backend);
    loads[i].setAgeMs(
      ToUint16(std::chrono::ceil<std::chrono::milliseconds>(age).count()));
    loads[i].setRunning(ToUint16(report.running));
    loads[i].setWaiting(ToUint16(report.waiting));
    loads[i].setSlots(ToUint16(report.slots));
    loads[i].setPacePercent(ToUint16(std::lround(report.pace * kPercent)));
  }
}

std::vector<GossipedLoad> ReadLoads(wire::Digest::Reader aMessage)
{
  std::vector<GossipedLoad> loads;
  for (const auto load : aMessage.getLoads()) {
    loads.push_back({ .backend = load.getBackend(),
                      .age = std::chrono::milliseconds(load.getAgeMs()),
                      .report = { .running = load.getRunning(),
                                  .waiting = load.getWaiting(),
                                  .slots = load.getSlots(),
                                  .pace = load.getPacePercent() / kPercent } });
  }
  return loads;
}

} // namespace gooseberrypath::entry
