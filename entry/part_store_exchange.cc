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

bool PartStoreExchange::BelongsInStore(const BrokenStart& aStart) const
{
  const PartEvidence& evidence = world_.partEvidence;
  const bool isBlocked = evidence.BlockFor(aStart.id.request) != nullptr ||
                         std::ranges::any_of(aStart.parts, [&](uint64_t aPart) {
                           return evidence.Blocks().contains(aPart);
                         });
  return aStart.isOwn && aStart.IsSuspect() && (IsIsolated() || isBlocked);
}

bool PartStoreExchange::IsOutdatedInStore(const BrokenStart& aStart) const
{
  if (!writtenAt_ || aStart.at >= *writtenAt_) {
    return true;
  }
  const PartEvidence& evidence = world_.partEvidence;
  const auto isWanted = [&](uint64_t aKey) {
    const auto known = evidence.Trials().find(aKey);
    return known != evidence.Trials().end() &&
           known->second.wantedAt > *writtenAt_ + kRefreshInterval;
  };
  const RequestBlock* request = evidence.BlockFor(aStart.id.request);
  const bool isRequestOutdated =
    request != nullptr &&
    (request->since >= *writtenAt_ || isWanted(PartEvidence::KeyOf(aStart.id.request)));
  return isRequestOutdated || std::ranges::any_of(aStart.parts, [&](uint64_t aPart) {
           const auto block = evidence.Blocks().find(aPart);
           const bool isNewBlock =
             block != evidence.Blocks().end() && block->second.since >= *writtenAt_;
           return isNewBlock || isWanted(aPart);
         });
}

bool PartStoreExchange::IsReadDue() const
{
  const bool isNeeded = hasRead_ ? IsIsolated() : world_.isStoreReachable;
  return isNeeded && (!readAt_ || world_.Now() - *readAt_ >= ReadInterval());
}

void PartStoreExchange::Check()
{
  const TimePoint now = world_.Now();
  if (std::exchange(era_, world_.storeEra) != world_.storeEra) {
    writtenAt_.reset(); // the store may have lost it
  }
  const bool mayWrite = !writtenAt_ || now - *writtenAt_ >= kMinWriteInterval;
  const bool hasUnwritten =
    std::ranges::any_of(world_.partEvidence.Starts(), [&](const auto& aItem) {
      return BelongsInStore(aItem.second) && IsOutdatedInStore(aItem.second);
    });
  if (mayWrite && hasUnwritten) {
    writtenAt_ = now;
    world_.Emit(WritePartEvidence{ EncodePartEvidence(world_) });
  }
  if (IsReadDue()) {
    readAt_ = now;
    world_.Emit(ReadPartEvidence{});
  }
}

void PartStoreExchange::Handle(const PartEvidenceRead& aEvent)
{
  hasRead_ = true;
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
