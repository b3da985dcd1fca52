// Applies what a backend announces in its response headers: that it is leaving, or that
// it wants no calls for a given time.
//
//   ApplyBackendNotice(world, backend, responseHead);

#ifndef ENTRY_BACKEND_NOTICE_H_
#define ENTRY_BACKEND_NOTICE_H_

#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Marks a backend as leaving, so that it gets no new calls, and closes idle connections
/// to it. Does nothing if it is already marked. `aReportedBy` is the peer that reported
/// it, or empty if the backend announced it itself.
void MarkLeaving(World& aWorld, BackendRow& aBackend, const std::string& aReportedBy);

/// Applies the notices in the head of a response from this backend. That it is leaving is
/// sent to the other daemons at once; a requested back-off applies to this daemon only.
void ApplyBackendNotice(World& aWorld, BackendRow& aBackend, const ResponseHead& aHead);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_NOTICE_H_
