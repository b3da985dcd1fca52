// The event loop of a daemon.
//
//   kj::AsyncIoContext io = SetUpEventLoop();

#ifndef GOOSEBERRYPATH_EVENT_LOOP_H_
#define GOOSEBERRYPATH_EVENT_LOOP_H_

#include <kj/async-io.h>

namespace gooseberrypath {

/// Turns of the loop between two polls while work is queued.
inline constexpr kj::uint kTurnsPerPoll = 100;

/// Returns a loop that polls for I/O and timers also while work is queued. Reads that
/// find data complete without a poll, so by default a connection that always has bytes
/// would keep the loop from reading others, accepting connections and calling timers.
inline kj::AsyncIoContext SetUpEventLoop()
{
  kj::AsyncIoContext io = kj::setupAsyncIo();
  io.waitScope.setBusyPollInterval(kTurnsPerPoll);
  return io;
}

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_EVENT_LOOP_H_
