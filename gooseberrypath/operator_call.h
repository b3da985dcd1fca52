// Parses calls of the operators' port into events for the core.
//
//   Result<Event> event = ParseOperatorCall(
//     { .method = "GET", .path = "/v1/status" }, write, std::chrono::seconds(60));

#ifndef GOOSEBERRYPATH_OPERATOR_CALL_H_
#define GOOSEBERRYPATH_OPERATOR_CALL_H_

#include <string>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/events.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// A request to the operators' port as far as the handlers need it.
struct OperatorCall
{
  std::string method;
  std::string path;
  std::string query; // without "?"
  std::string body;
};

/// Parses a call on /v1/… into the event for the core. The longest wait of a read is
/// aMaxWait. Fails with BadRequest, RouteNotFound or MethodNotAllowed.
Result<Event> ParseOperatorCall(const OperatorCall& aCall, WriteId aWrite,
                                Duration aMaxWait);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_OPERATOR_CALL_H_
