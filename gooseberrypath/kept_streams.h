// Model requests that are kept for a caller without a connection: running ones, whose
// caller lost its connection or which a peer handed over, and ended ones.
//
//   if (KeepRunning(world, id, row)) { ... }  // the caller is gone
//   KeepEnded(world, row, { .finishReason = "stop" });
//   std::optional<StreamView> view = FindStream(world, "d0-1-r7", hint);

#ifndef GOOSEBERRYPATH_KEPT_STREAMS_H_
#define GOOSEBERRYPATH_KEPT_STREAMS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// A stream of this daemon as a reader sees it. Valid until the tables change.
struct StreamView
{
  std::string_view model;
  int64_t createdSeconds = 0;
  const std::vector<std::string>* tokens = nullptr;
  const StreamEnd* end = nullptr; // null: running
};

/// Finds a running or ended model request by its public id. The hint is the id of the
/// request row that was found last, which avoids a search of the table. Begins the
/// reattach time anew.
std::optional<StreamView> FindStream(World& aWorld, std::string_view aId,
                                     RequestId& aHint);

/// Returns the time of the request's arrival in seconds since 1970.
int64_t CreatedSeconds(const World& aWorld, const RequestRow& aRow);

/// Marks the request's caller as gone and lets the request go on for the reattach time.
/// Returns false if it may not be kept: it is not a model request, or the limits of kept
/// streams are reached.
bool KeepRunning(World& aWorld, RequestId aId, RequestRow& aRow);

/// Keeps the tokens of an ended request for the reattach time, if it is a model request
/// that streams or was kept.
void KeepEnded(World& aWorld, const RequestRow& aRow, StreamEnd aEnd);

/// Keeps an ended stream; ended streams nearest to their end make room for it. Returns
/// whether the limits allow it.
bool KeepEnded(World& aWorld, const std::string& aId, EndedStreamRow aRow);

/// Drops ended streams, and then cancels requests without a caller, until the limits
/// hold. Requests grow while they are kept.
void EnforceLimits(World& aWorld);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_KEPT_STREAMS_H_
