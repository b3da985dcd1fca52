// Turns a caller's request into a row of the request table, or into the error that
// refuses it.
//
//   Result<RequestRow> row = TakeIn(world, callerRequest);

#ifndef GOOSEBERRYPATH_REQUEST_INTAKE_H_
#define GOOSEBERRYPATH_REQUEST_INTAKE_H_

#include <string_view>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Returns the path of a request target, without the query.
std::string_view PathOf(std::string_view aTarget);

/// Finds the route with the longest path prefix that allows the method. A prefix matches
/// whole path segments. Fails with RouteNotFound or MethodNotAllowed.
Result<const RouteSpec*> FindRoute(const ResourceTable& aResources,
                                   std::string_view aMethod, std::string_view aTarget);

/// Checks an idempotency key: 1 to 128 printable ASCII characters. Fails with KeyInvalid.
Result<void> CheckKey(std::string_view aKey);

/// Tells whether the caller asks for a queued run by "Prefer: respond-async".
bool PrefersAsync(const Headers& aHeaders);

/// Checks everything that can be refused before any work and fills in the row. The stage
/// is AwaitingClaim for a non-idempotent action, AwaitingJob for a queued model request,
/// else Ready. Fails with NotReady,
/// Draining, Overloaded, RouteNotFound, MethodNotAllowed, BadHeader, BadRequest,
/// KeyMissing or KeyInvalid; in all cases the request was not run.
Result<RequestRow> TakeIn(World& aWorld, const CallerRequest& aRequest);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_REQUEST_INTAKE_H_
