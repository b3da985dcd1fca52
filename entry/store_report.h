// How fresh a daemon's knowledge of the platform's store is, for metrics and the status.
//
//   std::string text = RenderStoreMetrics(world);

#ifndef ENTRY_STORE_REPORT_H_
#define ENTRY_STORE_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns a gauge in the Prometheus text format with the age of each topic in seconds.
/// A topic that was never read is left out.
std::string RenderStoreMetrics(const World& aWorld);

/// Returns whether the store is reachable, the version of the configuration and the age
/// of each topic in seconds, null if it was never read.
nlohmann::json StoreStatus(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_REPORT_H_
