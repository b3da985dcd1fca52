// HTTP/1.1 client that sends calls to backends over a pool of persistent connections. It
// executes actions of the entry core and reports what happens as events to a sink.
//
//   BackendPort backends({ .network = network, ..., .sink = sink });
//   backends.Execute(StartAttempt{ ... });   // emits AttemptSent, AttemptAnswered, ...

#ifndef ENTRY_BACKEND_PORT_H_
#define ENTRY_BACKEND_PORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "entry/bulk_turns.h"
#include "entry/messages.h"
#include "gooseberrypath/memory_account.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath::entry {

struct BackendPortOptions
{
  kj::Network& network;
  kj::Timer& timer;
  std::function<void(Event)> sink;
  std::function<TimePoint()> now;
  // A backend in the same region accepts within a few milliseconds. TCP retransmits a
  // lost SYN only after a second, so waiting longer than this rarely helps.
  Duration connectTimeout = std::chrono::milliseconds(350);
  // A connection is broken when its peer acknowledges no data or answers no TCP
  // keep-alive probes for this time.
  std::chrono::milliseconds peerTimeout = std::chrono::milliseconds(1500);
  // Keep-alive timeout of a connection whose backend announces none.
  Duration defaultKeepAlive = std::chrono::seconds(4);
  // An idle connection is not reused within this time before its keep-alive timeout, so
  // that the backend does not close it while a call is on its way.
  Duration keepAliveMargin = std::chrono::milliseconds(800);
  // A call that must not be retried reuses only connections that were idle for less than
  // this time, because an idle connection may break when it is used again.
  Duration maxIdleForNonRetryable = std::chrono::milliseconds(1500);
  size_t maxResponseBytes = size_t{ 16 } * 1024 * 1024;
  // Account of the responses, from their first byte until their callers have taken them.
  // Null: not counted.
  MemoryAccountPtr responseMemory = {};
  // Asked to make room for this many bytes in the account. Returns whether it has room.
  std::function<bool(size_t)> makeRoom = [](size_t) { return false; };
  // Limit for the incomplete responses buffered on all connections together. A small host
  // has 160 MB of memory, and several backends may send endless responses at once.
  size_t maxBufferedBytes = size_t{ 32 } * 1024 * 1024;
  // Limit for one event of a stream, which is buffered until it is complete.
  size_t maxEventBytes = size_t{ 256 } * 1024;
  // Limit for bytes that are read while a call waits for its response or for the next
  // event of its stream, and belong to neither: interim (1xx) responses, responses to
  // other calls, comments and blank lines between events.
  size_t maxDiscardedBytes = size_t{ 1024 } * 1024;
  // Turns of connections that always have bytes. Null: they read on at once.
  BulkTurns* bulkTurns = nullptr;
};

class BackendPort
{
public:
  explicit BackendPort(BackendPortOptions aOptions);
  ~BackendPort();

  BackendPort(const BackendPort&) = delete;
  BackendPort& operator=(const BackendPort&) = delete;

  /// Sends the call over an idle connection or, if there is none to reuse, a new one.
  void Execute(const StartAttempt& aAction);

  /// Closes the connection of the attempt. No further events are emitted for it.
  void Execute(const CancelAttempt& aAction);

  /// Aborts the attempt and emits AttemptWithdrawn, unless its call was written. This
  /// port alone knows what was written, so the core cannot decide it.
  void Execute(const WithdrawAttempt& aAction);

  /// Closes the idle connections to the address.
  void Execute(const CloseIdleBackendConnections& aAction);

  /// Returns the number of idle connections to all backends.
  size_t IdleCount() const;

  const TaskErrors& Errors() const { return errors_; }

private:
  class Connection;
  struct PendingConnect;

  /// Removes a connection that this call may reuse from the idle ones and returns it, or
  /// null if there is none.
  kj::Own<Connection> TakeIdle(const StartAttempt& aAction);

  /// Stops connecting for the attempt, if its connection is not established yet.
  void StopConnecting(AttemptId aAttempt);

  /// Assigns the attempt to the connection, sends its call and emits AttemptSent.
  void SendCall(kj::Own<Connection> aConnection, const StartAttempt& aAction);

  /// Keeps the connection of a finished attempt for later calls.
  void MoveToIdle(AttemptId aAttempt);

  /// Closes the connection that runs this attempt, or an idle connection.
  void RemoveBusy(AttemptId aAttempt);
  void RemoveIdle(const Connection& aConnection);

  /// Disables the callbacks of a connection and destroys it in a later turn of the event
  /// loop.
  void DestroyLater(kj::Own<Connection> aConnection);

  /// Closes idle connections before their keep-alive timeout.
  kj::Promise<void> SweepLoop();

  BackendPortOptions options_;
  std::unordered_map<AttemptId, kj::Own<PendingConnect>> pendingConnects_;
  std::unordered_map<AttemptId, kj::Own<Connection>> busy_;
  // By address, the longest idle connection first.
  std::map<std::string, std::vector<kj::Own<Connection>>> idle_;
  size_t bufferedBytes_ = 0; // of incomplete responses on all connections
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_PORT_H_
