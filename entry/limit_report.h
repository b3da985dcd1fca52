// The limits of backends that are in force, for operators: as metrics and in the JSON
// status.
//
//   std::string text = RenderLimitMetrics(world);

#ifndef ENTRY_LIMIT_REPORT_H_
#define ENTRY_LIMIT_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns the limits in the Prometheus text format, one line for each limited backend.
std::string RenderLimitMetrics(const World& aWorld);

/// Returns the limits in force as a JSON array: the backend, its requests per second and
/// for how many seconds this daemon has known them.
nlohmann::json LimitStatus(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_LIMIT_REPORT_H_
