#include "gooseberrypath/config_snapshots.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberrypath/membership_system.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "config";
// A shorter log is read in one answer, so a snapshot would not help.
constexpr Offset kMinRange = 64;
// The log may remove records by age, which offsets do not show when nothing is written. A
// snapshot is repeated after this time; the log keeps records for days.
constexpr int64_t kRefreshMs = 6 * 3'600'000LL;
// Random delay, so that usually one daemon appends and the others see its record in time.
constexpr Duration kMinSpread = 2s;
constexpr Duration kSpreadPerDaemon = 50ms;
// After an append that did not show up in the log.
constexpr Duration kAppendPause = 30s;
constexpr Duration kAskInterval = 1s;
constexpr size_t kAskedPeers = 3;

} // namespace

std::string EncodeSnapshot(const World& aWorld)
{
  if (aWorld.state == DaemonState::Starting || aWorld.appliedConfig == 0) {
    return {};
  }
  return EncodeRecord(
    aWorld.configLog.MakeSnapshot(aWorld.resources, aWorld.appliedConfig));
}

void ConfigSnapshots::See(const LogEntry& aEntry, const ConfigResult& aResult)
{
  newest_ = aEntry.offset;
  sinceMs_ = aEntry.timeMs;
  appendAt_.reset();
  if (aResult.differs) {
    world_.counters.Add(Counter::SnapshotsDiffering);
    world_.Log(LogLevel::Error, kPart,
               "the snapshot at offset " + std::to_string(aEntry.offset) +
                 " differs from the own state at offset " +
                 std::to_string(aResult.current) + ", which is kept");
  }
}

void ConfigSnapshots::Await(Offset aStart)
{
  world_.awaitsConfigSnapshot = true;
  awaitedFrom_ = aStart;
  collected_.clear();
}

std::vector<LogEntry> ConfigSnapshots::Collect(const LogEntry& aEntry)
{
  collected_.insert_or_assign(aEntry.offset, aEntry);
  const Result<Record> record = DecodeRecord(aEntry.data);
  const auto* snapshot = record ? std::get_if<SnapshotRecord>(&*record) : nullptr;
  const Offset needed = std::max(awaitedFrom_ - 1, world_.appliedConfig);
  if (snapshot == nullptr || snapshot->upTo < needed || snapshot->upTo >= aEntry.offset ||
      !Install(*snapshot)) {
    return {};
  }
  world_.awaitsConfigSnapshot = false;
  std::vector<LogEntry> later;
  for (auto& [offset, entry] : std::exchange(collected_, {})) {
    if (offset > snapshot->upTo) {
      later.push_back(std::move(entry));
    }
  }
  return later;
}

bool ConfigSnapshots::Install(const SnapshotRecord& aSnapshot)
{
  const Result<void> restored = world_.configLog.Restore(world_.resources, aSnapshot);
  if (!restored) {
    world_.counters.Add(Counter::RecordsSkipped);
    world_.Log(LogLevel::Warning, kPart,
               "a snapshot is skipped: " + restored.error().message);
    return false;
  }
  world_.appliedConfig = aSnapshot.upTo;
  world_.counters.Add(Counter::SnapshotsInstalled);
  world_.Log(LogLevel::Info, kPart,
             "the configuration up to offset " + std::to_string(aSnapshot.upTo) +
               " was taken from a snapshot");
  return true;
}

void ConfigSnapshots::CheckRetention(Offset aStart, Offset aHead)
{
  const bool isCurrent = !world_.awaitsConfigSnapshot &&
                         world_.appliedConfig + 1 >= aHead && world_.appliedConfig > 0 &&
                         world_.state == DaemonState::Serving;
  const Offset range = aHead > aStart ? aHead - aStart : 0;
  if (!isCurrent || appendAt_ || (aStart == 1 && range < kMinRange)) {
    return;
  }
  if (!sinceMs_) {
    sinceMs_ = world_.WallMs();
  }
  // Without a snapshot, all records since the first one are needed.
  const Offset oldest = std::max<Offset>(newest_, 1);
  if (oldest >= aStart + range / 4 && world_.WallMs() - *sinceMs_ < kRefreshMs) {
    return;
  }
  const Duration spread = std::max(
    kMinSpread, kSpreadPerDaemon * static_cast<int64_t>(world_.members.Size() + 1));
  appendAt_ =
    world_.Now() + Duration(static_cast<int64_t>(
                     world_.random() % static_cast<uint64_t>(spread / Duration(1))));
  world_.timers.SubscribeAt(*appendAt_, [](TimePoint) {});
}

bool ConfigSnapshots::WantsPeerConfig() const
{
  const auto stream = world_.streams.find(kConfigStream);
  const bool isContacted = stream != world_.streams.end() && stream->second.contacted;
  const bool hasNone = world_.state == DaemonState::Starting;
  return !isContacted && (hasNone || world_.usesPeerConfig) &&
         world_.Now() - world_.started >= world_.options.logDownAfter &&
         (hasNone || highestAdvertised_ > world_.appliedConfig);
}

void ConfigSnapshots::Receive(const SnapshotReceived& aEvent)
{
  const Result<Record> record = DecodeRecord(aEvent.record);
  const auto* snapshot = record ? std::get_if<SnapshotRecord>(&*record) : nullptr;
  if (snapshot == nullptr || !WantsPeerConfig() || snapshot->upTo < highestAdvertised_ ||
      snapshot->upTo <= world_.appliedConfig) {
    return;
  }
  if (Install(*snapshot)) {
    world_.usesPeerConfig = true;
    // The records up to this offset are skipped when the log answers again.
    world_.streams[std::string(kConfigStream)].next = snapshot->upTo + 1;
  }
}

void ConfigSnapshots::AskPeers()
{
  // Peers that have applied most come first; the seeds are for a daemon without members.
  std::vector<std::pair<Offset, std::string>> peers;
  for (const auto& [daemon, row] : world_.members) {
    peers.emplace_back(row.digest.appliedConfig, row.digest.peerAddress);
  }
  if (peers.empty()) {
    for (const std::string& seed : world_.options.seedPeers) {
      peers.emplace_back(0, seed);
    }
  }
  std::ranges::shuffle(peers, world_.random);
  std::ranges::stable_sort(peers, std::greater<>{},
                           &std::pair<Offset, std::string>::first);
  size_t asked = 0;
  for (const auto& [applied, address] : peers) {
    if (address != world_.options.peerAddress && asked < kAskedPeers) {
      world_.Emit(AskSnapshot{ .address = address });
      ++asked;
    }
  }
}

void ConfigSnapshots::Run()
{
  for (const auto& [daemon, row] : world_.members) {
    highestAdvertised_ = std::max(highestAdvertised_, row.digest.appliedConfig);
  }
  if (WantsPeerConfig() && world_.Now() >= askAt_) {
    askAt_ = world_.Now() + kAskInterval;
    world_.timers.SubscribeAt(askAt_, [](TimePoint) {});
    AskPeers();
  }
  if (!appendAt_ || world_.Now() < *appendAt_) {
    return;
  }
  if (!world_.IsLogReachable(kConfigStream) || world_.awaitsConfigSnapshot) {
    appendAt_.reset(); // decided again after the next batch
    return;
  }
  // Its answer is not needed: the record is read back, or another append follows.
  appendAt_ = world_.Now() + kAppendPause;
  world_.timers.SubscribeAt(*appendAt_, [](TimePoint) {});
  world_.counters.Add(Counter::SnapshotsAppended);
  world_.Emit(AppendRecord{ .append = world_.NewId<AppendId>(),
                            .stream = std::string(kConfigStream),
                            .data = EncodeRecord(world_.configLog.MakeSnapshot(
                              world_.resources, world_.appliedConfig)) });
}

} // namespace gooseberrypath
