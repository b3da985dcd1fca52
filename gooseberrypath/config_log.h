// Acceptance of configuration records as a pure function of the records read so far, so
// that all daemons reach the same state from the same log.
//
//   ConfigLog log;
//   ConfigResult result = log.Apply(resources, entry);

#ifndef GOOSEBERRYPATH_CONFIG_LOG_H_
#define GOOSEBERRYPATH_CONFIG_LOG_H_

#include <deque>
#include <string>
#include <unordered_set>

#include "gooseberrypath/events.h"
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
    Skipped,  // malformed, of an unknown type, or refused by the checks
  };
  How how = How::Skipped;
  std::string write;   // empty if the record could not be decoded
  ResourceId id;       // the resource, if the record was decoded
  Offset current = 0;  // version of the resource after the record; 0: none exists
  std::string message; // why it was skipped
};

/// The write ids that were seen; the resources are kept by the caller.
class ConfigLog
{
public:
  /// Write ids that are remembered, in log order. A repeated append comes within the
  /// timeout of its write, so a week of changes (1,200 a day) is ample.
  static constexpr size_t kKeptWrites = 8192;

  /// Applies the record to the resources. Never throws.
  ConfigResult Apply(ResourceTable& aResources, const LogEntry& aEntry);

private:
  /// Returns whether the id is new, and remembers it.
  bool Remember(const std::string& aWrite);

  std::unordered_set<std::string> writes_;
  std::deque<std::string> order_;
};

/// Returns the version of the resource, or 0 if it does not exist.
Offset VersionOf(const ResourceTable& aResources, const ResourceId& aId);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CONFIG_LOG_H_
