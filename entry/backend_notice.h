// Applies what a backend announces in its response headers: that it is leaving, that it
// wants no calls for a given time, how many requests a second it takes, or its load.
//
//   ApplyBackendNotice(world, backend, responseHead, sentAt);

#ifndef ENTRY_BACKEND_NOTICE_H_
#define ENTRY_BACKEND_NOTICE_H_

#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Marks a backend as leaving, so that it gets no new calls, and closes idle connections
/// to it. Does nothing if it is already marked. `aReportedBy` is the peer that reported
/// it, or empty if the backend announced it itself.
void MarkLeaving(World& aWorld, BackendRow& aBackend, const std::string& aReportedBy);

/// Applies a backend's statement about its limit and logs a change. `aReportedBy` is the
/// peer that reported it, or empty if the backend stated it to this daemon, which then
/// sends it to the other daemons at once.
void ApplyLimit(World& aWorld, BackendRow& aBackend, const LimitStatement& aStatement,
                const std::string& aReportedBy);

/// Applies the notices in the head of a response from this backend to a call that was
/// sent at `aSentAt`. That it is leaving is sent to the other daemons at once; a
/// requested back-off applies to this daemon only.
void ApplyBackendNotice(World& aWorld, BackendRow& aBackend, const ResponseHead& aHead,
                        TimePoint aSentAt);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_NOTICE_H_
