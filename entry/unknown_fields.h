// Reports names of fields that the platform uses and this version does not know: they may
// carry a demand that nobody obeys. Each name is reported once.
//
//   ReportUnknownFields(world, "response", head.unknownFields);

#ifndef ENTRY_UNKNOWN_FIELDS_H_
#define ENTRY_UNKNOWN_FIELDS_H_

#include <span>
#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Logs and counts the names that were not reported before, up to a limit for the life of
/// the process. `aSource` is where they stand.
void ReportUnknownFields(World& aWorld, const std::string& aSource,
                         std::span<const std::string> aNames);

} // namespace gooseberrypath::entry

#endif // ENTRY_UNKNOWN_FIELDS_H_
