// The limits of backends that are in force, for operators: as metrics and as a JSON
// status.
//
//   std::string text = RenderLimitMetrics(world);

#ifndef ENTRY_LIMIT_REPORT_H_
#define ENTRY_LIMIT_REPORT_H_

#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns the limits in the Prometheus text format, one line for each limited backend.
std::string RenderLimitMetrics(const World& aWorld);

/// Returns a JSON object with the limits in force: the backend, its requests per second
/// and for how many seconds this daemon has known them.
std::string RenderLimitStatus(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_LIMIT_REPORT_H_
