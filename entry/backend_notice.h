// What a backend says about itself in its answers: that it leaves, or that it wants no
// calls for a while.
//
//   ApplyBackendNotice(world, backend, head);

#ifndef ENTRY_BACKEND_NOTICE_H_
#define ENTRY_BACKEND_NOTICE_H_

#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Ends new calls to a backend that leaves, unless that was known. `aReportedBy` is the
/// peer that told it, or empty if the backend said it itself.
void MarkLeaving(World& aWorld, BackendRow& aBackend, const std::string& aReportedBy);

/// Takes over what the head of an answer of this backend says. The other daemons are told
/// at once of a backend that leaves; a wish for quiet concerns this daemon alone.
void ApplyBackendNotice(World& aWorld, BackendRow& aBackend, const ResponseHead& aHead);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_NOTICE_H_
