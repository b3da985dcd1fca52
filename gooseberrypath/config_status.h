// The operators' view of the configuration and of the daemon, as JSON.
//
//   world.Emit(OperatorReply{ .write = id, .body = RenderStatus(world) });

#ifndef GOOSEBERRYPATH_CONFIG_STATUS_H_
#define GOOSEBERRYPATH_CONFIG_STATUS_H_

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Which daemons have applied a version. A daemon that is out of reach counts as missing
/// unless it said before that it has applied the version: it may still serve. A daemon
/// that was never heard counts as missing under its seed address, since its name is not
/// known.
struct InForce
{
  size_t applied = 0;
  size_t daemons = 0;
  std::vector<std::string> missing;
};

InForce CountInForce(const World& aWorld, Offset aVersion);

/// Returns the seed addresses at which no daemon was heard since the start.
std::vector<std::string> SeedsNeverHeard(const World& aWorld);

/// Returns the body of the answer to /v1/status.
std::string RenderStatus(const World& aWorld);

/// Returns the JSON without line breaks; bytes that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& aJson);

/// Returns a time in ms since 1970 as RFC 3339, or nothing if it is out of range.
std::string FormatTime(int64_t aMs);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CONFIG_STATUS_H_
