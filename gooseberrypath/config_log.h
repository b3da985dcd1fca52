// Acceptance of configuration records as a pure function of the records read so far, so
// that all daemons reach the same state from the same log.
//
//   ConfigLog log;
//   ConfigResult result = log.Apply(resources, entry);

#ifndef GOOSEBERRYPATH_CONFIG_LOG_H_
#define GOOSEBERRYPATH_CONFIG_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

#include "gooseberrypath/events.h"
#include "gooseberrypath/records.h"
#include "gooseberrypath/resources.h"

namespace gooseberrypath {

/// What became of one record.
struct ConfigResult
{
  enum class How : uint8_t
  {
    Accepted,
    Conflict, // based on another version than the current one
    Repeated, // the write id was seen before; nothing changes
    Snapshot, // a snapshot record; nothing changes
    Skipped,  // malformed, of an unknown type, or refused by the checks
  };
  How how = How::Skipped;
  std::string write;    // empty if the record could not be decoded
  ResourceId id;        // the resource, if the record was decoded
  Offset current = 0;   // version of the resource after the record; 0: none exists
  std::string message;  // why it was skipped
  bool differs = false; // the snapshot has another state than the own one at its offset
};

/// The write ids that were seen and a hash of the resources after each change; the
/// resources are kept by the caller.
class ConfigLog
{
public:
  /// Write ids that are remembered, in log order. A repeated append comes within the
  /// timeout of its write, so a week of changes (1,200 a day) is ample.
  static constexpr size_t kKeptWrites = 8192;
  /// Write ids in a snapshot: 10 hours of changes, in about 20 KB.
  static constexpr size_t kSnapshotWrites = 512;
  /// Changes after which the hash of an older state is not known any more.
  static constexpr size_t kKeptHashes = 1024;

  /// Applies the record to the resources. Never throws.
  ConfigResult Apply(ResourceTable& aResources, const LogEntry& aEntry);

  /// Returns the state after the record at aUpTo, which is the last one applied.
  SnapshotRecord MakeSnapshot(const ResourceTable& aResources, Offset aUpTo) const;

  /// Replaces the resources and the write ids. Fails with BadRequest, and changes
  /// nothing, if the hash is wrong or a resource is malformed.
  Result<void> Restore(ResourceTable& aResources, const SnapshotRecord& aSnapshot);

  /// Returns the hash of the resources after the record at this offset, if it is known.
  std::optional<std::string> HashAt(Offset aOffset) const;

private:
  /// Adds a resource to the hash or takes it out of it.
  void Rehash(Offset aOffset, uint64_t aRemoved, uint64_t aAdded);
  ConfigResult CheckSnapshot(const SnapshotRecord& aSnapshot) const;
  /// Returns whether the id is new, and remembers it.
  bool Remember(const std::string& aWrite);

  std::unordered_set<std::string> writes_;
  std::deque<std::string> order_;
  uint64_t hash_ = 0; // sum of the hashes of the resources
  /// Hash from this offset on, up to the next one of the list.
  std::deque<std::pair<Offset, uint64_t>> hashes_{ { 0, 0 } };
};

/// Returns the version of the resource, or 0 if it does not exist.
Offset VersionOf(const ResourceTable& aResources, const ResourceId& aId);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CONFIG_LOG_H_
