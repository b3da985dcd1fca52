// What a port for callers did because memory or connections ran short.
//
//   Shortages shortages;
//   ++shortages.refusedRequests;

#ifndef GOOSEBERRYPATH_SHORTAGES_H_
#define GOOSEBERRYPATH_SHORTAGES_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// What a caller is told whose request finds no room in the request memory.
inline constexpr std::string_view kNoRoomMessage =
  "the requests that are being read take up all memory";

/// Interval between two reports of shortages, so that a crowd does not fill the log.
inline constexpr Duration kShortageReportInterval = std::chrono::milliseconds(250);

/// Totals since the start of the process.
struct Shortages
{
  uint64_t refusedRequests = 0;    // found no room in the request memory
  uint64_t droppedRequests = 0;    // slow and incomplete, dropped to make room
  uint64_t droppedConnections = 0; // slow, idle or lingering, closed for a new connection
  uint64_t droppedResponses = 0;   // not taken by their callers, dropped to make room

  uint64_t Sum() const
  {
    return refusedRequests + droppedRequests + droppedConnections + droppedResponses;
  }

  bool operator==(const Shortages&) const = default;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_SHORTAGES_H_
