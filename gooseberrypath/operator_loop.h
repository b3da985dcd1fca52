// The operators' HTTP server on an event loop of its own thread, so that it answers also
// while the daemon's loop does not.
//
//   OperatorLoop loop({ .http = options, .onCall = ..., .onSnapshotAsked = ... });
//   loop.Reply(OperatorReply{ ... });

#ifndef GOOSEBERRYPATH_OPERATOR_LOOP_H_
#define GOOSEBERRYPATH_OPERATOR_LOOP_H_

#include <functional>
#include <memory>
#include <thread>

#include <kj/async.h>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/events.h"
#include "gooseberrypath/mailbox.h"
#include "gooseberrypath/operator_http.h"

namespace gooseberrypath {

/// Takes an operator's call to the daemon. Called on the thread of the operators' loop.
using OperatorCallSink = std::function<bool(WriteId, Event)>;

/// Asks the daemon for a snapshot, which Show() then gets for the same id. Called on the
/// thread of the operators' loop. Both sinks return false if the daemon takes no call.
using SnapshotSink = std::function<bool(uint64_t)>;

struct OperatorLoopOptions
{
  OperatorHttpOptions http;
  OperatorCallSink onCall;
  SnapshotSink onSnapshotAsked;
};

class OperatorLoop
{
public:
  /// Listens on the address, on a new thread. Throws std::runtime_error when it cannot.
  explicit OperatorLoop(OperatorLoopOptions aOptions);

  /// Answers waiting calls with an error and ends the thread.
  ~OperatorLoop();

  OperatorLoop(const OperatorLoop&) = delete;
  OperatorLoop& operator=(const OperatorLoop&) = delete;

  /// These answer a call. They may be called on any thread, and do nothing if the call is
  /// no longer there.
  void Reply(OperatorReply aReply);
  void Show(uint64_t aId, OperatorSnapshot aSnapshot);

private:
  class Port;

  /// Runs the jobs of other threads as they come.
  kj::Promise<void> TakeJobs();

  /// Runs the loop until the destructor. Called on its thread.
  void Run(OperatorLoopOptions aOptions,
           const std::function<void(std::exception_ptr)>& aOnStarted);

  std::shared_ptr<Mailbox> jobs_; // for the thread of the loop
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
  std::thread thread_;
  Port* port_ = nullptr; // used on its thread only
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_OPERATOR_LOOP_H_
