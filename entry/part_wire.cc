#include "entry/part_wire.h"

namespace gooseberrypath::entry {

void FillParts(const GossipedParts& aParts, wire::Digest::Builder& aBuilder)
{
  auto answered = aBuilder.initAnsweredParts(aParts.answered.size());
  for (uint32_t i = 0; i < answered.size(); ++i) {
    answered.set(i, aParts.answered[i]);
  }
  auto starts = aBuilder.initBrokenStarts(aParts.starts.size());
  for (uint32_t i = 0; i < starts.size(); ++i) {
    const GossipedStart& start = aParts.starts[i];
    starts[i].setBackend(start.id.backend);
    starts[i].setStartedMs(start.id.startedMs);
    starts[i].setRequestHigh(start.id.request.high);
    starts[i].setRequestLow(start.id.request.low);
    starts[i].setIsCleared(start.isCleared);
    starts[i].setTeam(start.team);
    starts[i].setAgeMs(start.ageMs);
    starts[i].setIsPartial(start.isPartial);

    auto parts = starts[i].initParts(start.parts.size());
    for (uint32_t j = 0; j < parts.size(); ++j) {
      parts.set(j, start.parts[j]);
    }
  }
  auto trials = aBuilder.initPartTrials(aParts.trials.size());
  for (uint32_t i = 0; i < trials.size(); ++i) {
    trials[i].setPart(aParts.trials[i].part);
    trials[i].setCount(aParts.trials[i].count);
    trials[i].setLastAgeMs(aParts.trials[i].lastAgeMs);
    trials[i].setWantedAgeMs(aParts.trials[i].wantedAgeMs);
  }
}

GossipedParts ReadParts(wire::Digest::Reader aMessage)
{
  GossipedParts parts;
  for (const uint32_t key : aMessage.getAnsweredParts()) {
    parts.answered.push_back(key);
  }
  for (const auto start : aMessage.getBrokenStarts()) {
    GossipedStart read{ .id = { .backend = start.getBackend(),
                                .startedMs = start.getStartedMs(),
                                .request = { .high = start.getRequestHigh(),
                                             .low = start.getRequestLow() } },
                        .team = start.getTeam(),
                        .ageMs = start.getAgeMs(),
                        .isPartial = start.getIsPartial(),
                        .isCleared = start.getIsCleared() };
    for (const uint64_t part : start.getParts()) {
      read.parts.push_back(part);
    }
    parts.starts.push_back(std::move(read));
  }
  for (const auto trials : aMessage.getPartTrials()) {
    parts.trials.push_back({ .part = trials.getPart(),
                             .count = trials.getCount(),
                             .lastAgeMs = trials.getLastAgeMs(),
                             .wantedAgeMs = trials.getWantedAgeMs() });
  }
  return parts;
}

} // namespace gooseberrypath::entry
