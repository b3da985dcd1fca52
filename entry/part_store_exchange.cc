#include "entry/part_store_exchange.h"

#include <algorithm>
#include <utility>

#include "entry/part_gossip.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// A daemon that hears a smaller share of the daemons relies on the store.
constexpr double kIsolatedShare = 0.75;

// All isolated daemons together read the evidence 200 times a second at most.
constexpr Duration kMinReadInterval = milliseconds(1000);
constexpr Duration kReadIntervalPerDaemon = milliseconds(5);

constexpr Duration kMinWriteInterval = milliseconds(500);

// While calls with a blocked part come, the evidence is written again after this time, so
// that it does not become too old for a daemon that starts.
constexpr Duration kRefreshInterval = std::chrono::minutes(2);

} // namespace

bool PartStoreExchange::IsIsolated() const
{
  return world_.aliveShare < kIsolatedShare;
}

Duration PartStoreExchange::ReadInterval() const
{
  return std::max<Duration>(kMinReadInterval,
                            kReadIntervalPerDaemon *
                              static_cast<int64_t>(world_.DaemonCount()));
}

bool PartStoreExchange::HasUnwritten() const
{
  const auto& evidence = world_.partEvidence;
  const auto isBlocked = [&](uint64_t aPart) {
    return evidence.Blocks().contains(aPart);
  };
  const auto needsRefresh = [&](uint64_t aPart) {
    const auto trials = evidence.Trials().find(aPart);
    return writtenAt_ && trials != evidence.Trials().end() &&
           trials->second.wantedAt > *writtenAt_ + kRefreshInterval;
  };
  const auto isNew = [&](uint64_t aPart) {
    const auto block = evidence.Blocks().find(aPart);
    return !writtenAt_ ||
           (block != evidence.Blocks().end() && block->second.since >= *writtenAt_);
  };
  return std::ranges::any_of(evidence.Starts(), [&](const auto& aItem) {
    const BrokenStart& start = aItem.second;
    if (!start.isOwn || start.parts.empty()) {
      return false;
    }
    if (!IsIsolated() && std::ranges::none_of(start.parts, isBlocked)) {
      return false;
    }
    return !writtenAt_ || start.at >= *writtenAt_ ||
           std::ranges::any_of(start.parts, isNew) ||
           std::ranges::any_of(start.parts, needsRefresh);
  });
}

void PartStoreExchange::Check()
{
  const TimePoint now = world_.Now();
  if (std::exchange(era_, world_.storeEra) != world_.storeEra) {
    writtenAt_.reset(); // the store may have lost it
  }
  const bool mayWrite = !writtenAt_ || now - *writtenAt_ >= kMinWriteInterval;
  if (mayWrite && HasUnwritten()) {
    writtenAt_ = now;
    world_.Emit(WritePartEvidence{ EncodePartEvidence(world_) });
  }
  const bool isReadDue =
    readAt_ ? IsIsolated() && now - *readAt_ >= ReadInterval() : world_.isStoreReachable;
  if (isReadDue) {
    readAt_ = now;
    world_.Emit(ReadPartEvidence{});
  }
}

void PartStoreExchange::Handle(const PartEvidenceRead& aEvent)
{
  for (const std::string& text : aEvent.texts) {
    const auto parts = DecodePartEvidence(world_, text);
    if (parts) {
      ApplyGossipedParts(world_, *parts);
    } else {
      world_.Log(LogLevel::Error, "part_evidence_malformed", {},
                 { { "reason", parts.error().message } });
    }
  }
}

} // namespace gooseberrypath::entry
