// Snapshots of the configuration: appended before the log's retention removes what a new
// daemon needs, read in place of removed records, and asked of peers when the log does
// not answer at the start.
//
//   ConfigSnapshots snapshots(world);
//   snapshots.CheckRetention(batch.start, batch.head); // after each batch
//   snapshots.Run();                                   // in each tick

#ifndef GOOSEBERRYPATH_CONFIG_SNAPSHOTS_H_
#define GOOSEBERRYPATH_CONFIG_SNAPSHOTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrypath/config_log.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Returns the configuration as an encoded SnapshotRecord, for the RPC snapshot(). Empty
/// if this daemon has not read its configuration yet.
std::string EncodeSnapshot(const World& aWorld);

/// A part of ConfigSystem.
class ConfigSnapshots
{
public:
  explicit ConfigSnapshots(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Notes a snapshot record that was applied.
  void See(const LogEntry& aEntry, const ConfigResult& aResult);

  /// Starts to collect records from aStart on, until a snapshot covers those before it.
  void Await(Offset aStart);

  /// Adds a record to the collected ones. If it is a snapshot that covers the removed
  /// records, installs it and returns the collected records after its offset.
  std::vector<LogEntry> Collect(const LogEntry& aEntry);

  /// Decides whether a snapshot must be appended, from the offsets of a batch.
  void CheckRetention(Offset aStart, Offset aHead);

  /// Installs a peer's configuration if it is the highest known.
  void Receive(const SnapshotReceived& aEvent);

  /// Appends a snapshot or asks peers for theirs, when it is due.
  void Run();

private:
  bool Install(const SnapshotRecord& aSnapshot);
  bool WantsPeerConfig() const;
  void AskPeers();

  World& world_;
  Offset awaitedFrom_ = 0; // records before it were removed unread
  std::map<Offset, LogEntry> collected_;
  Offset newest_ = 0;              // offset of the newest snapshot record
  std::optional<int64_t> sinceMs_; // log time of it, or of the first record read
  std::optional<TimePoint> appendAt_;
  TimePoint askAt_{};
  Offset highestAdvertised_ = 0; // by any member since the start
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CONFIG_SNAPSHOTS_H_
