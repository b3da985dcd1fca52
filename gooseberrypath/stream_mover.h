// Moves model streams away from a host before the platform takes it back.
//
//   StreamMover mover(world);
//   mover.Handle(ReclaimNotice{ "h1", 5s });
//   mover.Run(); // in each tick, after BackendSystem
//
// A stream goes on at its old engine until its KV cache was exported or until kMoveMargin
// before the reclaim. Then its attempt is cancelled and the request becomes Ready again;
// its next attempt continues after the tokens received until then, also those that came
// after the export.

#ifndef GOOSEBERRYPATH_STREAM_MOVER_H_
#define GOOSEBERRYPATH_STREAM_MOVER_H_

#include <string>
#include <vector>

#include "gooseberrypath/attempt_runner.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Streams leave a host this long before its reclaim, so that the cancellation and a late
/// notice do not meet a host that is gone.
inline constexpr Duration kMoveMargin = std::chrono::milliseconds(500);
/// Exports are asked for this long before the time to move. An earlier one covers fewer
/// tokens; a later one may not be answered in time when a zone's streams are exported at
/// once.
inline constexpr Duration kExportTime = std::chrono::seconds(1);
/// With less time than this no export is asked for: a connection and the answer take two
/// round trips, and the engine needs a step of its batch.
inline constexpr Duration kMinExportTime = std::chrono::milliseconds(50);

class StreamMover
{
public:
  explicit StreamMover(World& aWorld)
    : world_(aWorld)
    , attempts_(aWorld)
  {
  }

  /// Acts on the notices since the last run. The backends' leaving marks must be up to
  /// date.
  void Run();

  void Handle(const ReclaimNotice& aEvent) { inbox_.push_back(aEvent); }

  /// Moves the stream with the handle. A handle for an attempt that ended is ignored.
  void Handle(const KvExported& aEvent);

  /// The stream stays until the time to move and then goes without a handle.
  void Handle(const KvExportFailed& aEvent);

private:
  void Plan(const ReclaimNotice& aNotice);
  std::vector<AttemptId> StreamsOn(const std::string& aHost) const;
  bool IsToLeave(AttemptId aId) const;
  void ExportFrom(const std::string& aHost, TimePoint aMoveAt);
  void MoveFrom(const std::string& aHost);
  void Move(AttemptId aId);

  World& world_;
  AttemptRunner attempts_;
  std::vector<ReclaimNotice> inbox_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_STREAM_MOVER_H_
