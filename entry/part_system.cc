#include "entry/part_system.h"

#include <algorithm>

#include "entry/duration_text.h"
#include "entry/part_gossip.h"
#include "entry/prompt_parts.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(200);

// A process whose checks are this late was suspended.
constexpr Duration kSuspensionTime = milliseconds(1000);

// A started or suspended process takes no part for suspicious for this time, in which it
// hears from the others which parts are answered.
constexpr Duration kObservationTime = milliseconds(3000);

// A part counts as safe for this time after an answer, and while a digest may be on its
// way. Parts in steady use are told once a second.
constexpr Duration kFreshTime = milliseconds(2000);

} // namespace

void PartSystem::Start()
{
  checkedAt_ = world_.Now();
  world_.observesPartsFrom = world_.Now() + kObservationTime;
  world_.timers.SubscribeEvery(kCheckInterval, [this](TimePoint) { OnCheck(); });
}

void PartSystem::OnCheck()
{
  if (world_.Now() - checkedAt_ > kSuspensionTime) {
    world_.observesPartsFrom = world_.Now() + kObservationTime;
  }
  checkedAt_ = world_.Now();
  world_.partEvidence.SetFreshTime(kFreshTime + world_.digestInterval);
  store_.Check();
}

void PartSystem::Handle(const DigestReceived& aEvent)
{
  if (aEvent.digest.daemon != world_.options.host) {
    ApplyGossipedParts(world_, aEvent.digest.parts);
  }
}

void PartSystem::Run()
{
  world_.partEvidence.Update(world_.Now());
  UpdateRequests();
  const auto& blocks = world_.partEvidence.Blocks();
  for (const auto& [part, block] : blocks) {
    const auto known = known_.find(part);
    if (known == known_.end()) {
      LogBlocked(block);
      world_.counters.Add(EntryCounter::PartsBlocked);
    }
    if (known == known_.end() || known->second.starts < block.starts) {
      world_.hasNewPartBlocks = true;
      known_[part] = block;
    }
  }
  std::erase_if(known_, [&](const auto& aItem) {
    if (blocks.contains(aItem.first)) {
      return false;
    }
    world_.counters.Add(EntryCounter::PartsFreed);
    world_.Log(LogLevel::Info, "part_freed", {},
               { { "part", PartText(aItem.first) },
                 { "blocked_s", SecondsText(world_.Now() - aItem.second.since) } });
    return true;
  });
}

void PartSystem::UpdateRequests()
{
  const auto& blocks = world_.partEvidence.RequestBlocks();
  for (const auto& [request, block] : blocks) {
    if (!knownRequests_.emplace(request, block).second) {
      continue;
    }
    world_.hasNewPartBlocks = true;
    world_.counters.Add(EntryCounter::RequestsBlocked);
    world_.Log(LogLevel::Warning, "request_blocked", {},
               { { "request_print", PrintText(request) },
                 { "engines", std::to_string(block.engines) },
                 { "first_ms_ago", MsText(ToMs(world_.Now() - block.firstAt)) } });
  }
  std::erase_if(knownRequests_, [&](const auto& aItem) {
    if (blocks.contains(aItem.first)) {
      return false;
    }
    world_.Log(LogLevel::Info, "request_freed", {},
               { { "request_print", PrintText(aItem.first) },
                 { "blocked_s", SecondsText(world_.Now() - aItem.second.since) } });
    return true;
  });
}

void PartSystem::LogBlocked(const PartBlock& aBlock) const
{
  size_t own = 0;
  TimePoint first = world_.Now();
  for (const auto& [id, start] : world_.partEvidence.Starts()) {
    if (std::ranges::find(start.parts, aBlock.part) != start.parts.end()) {
      own += start.isOwn ? 1 : 0;
      first = std::min(first, start.at);
    }
  }
  world_.Log(LogLevel::Warning, "part_blocked", {},
             { { "part", PartText(aBlock.part) },
               { "engines", std::to_string(aBlock.starts) },
               { "teams", std::to_string(aBlock.teams.size()) },
               { "seen_here", std::to_string(own) },
               { "first_ms_ago", MsText(ToMs(world_.Now() - first)) } });
}

} // namespace gooseberrypath::entry
