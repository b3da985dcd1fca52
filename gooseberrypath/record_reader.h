// Reads one record of a log stream for a system.
//
//   if (const std::optional<Record> record = ReadRecord(world, "claims", entry)) { ... }

#ifndef GOOSEBERRYPATH_RECORD_READER_H_
#define GOOSEBERRYPATH_RECORD_READER_H_

#include <optional>
#include <string_view>

#include "gooseberrypath/records.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Decodes and counts a record. A record that is malformed or of an unknown type is
/// counted, logged with the part's prefix and skipped, which all daemons do alike.
std::optional<Record> ReadRecord(World& aWorld, std::string_view aPart,
                                 const LogEntry& aEntry);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_RECORD_READER_H_
