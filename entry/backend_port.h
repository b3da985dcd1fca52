// Backends over HTTP/1.1, on kept connections.
//
//   BackendPort backends({ .network = network, ... });
//   backends.Execute(StartAttempt{ ... });

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

#include "entry/messages.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath::entry {

struct BackendPortOptions
{
  kj::Network& network;
  kj::Timer& timer;
  std::function<void(Event)> sink;
  std::function<TimePoint()> now;
  // A backend in the same region answers within a few milliseconds; a lost first packet
  // is sent again only after a second.
  Duration connectTimeout = std::chrono::milliseconds(350);
  // Unacknowledged bytes or a silent peer break a connection after this time.
  std::chrono::milliseconds peerTimeout = std::chrono::milliseconds(1500);
  // Idle time of a connection whose backend names no limit.
  Duration defaultKeepAlive = std::chrono::seconds(4);
  // A connection is no longer used this long before its backend would close it.
  Duration keepAliveMargin = std::chrono::milliseconds(800);
  // A call that may not be repeated takes only connections that were idle for less.
  Duration maxIdleForNonRepeatable = std::chrono::milliseconds(1500);
  size_t maxResponseBytes = size_t{ 16 } * 1024 * 1024;
  // Bytes of answers that are kept until they are whole, of all connections together: a
  // small host has 160 MB, and several backends may send without end at once.
  size_t maxBufferedBytes = size_t{ 32 } * 1024 * 1024;
  // Bytes of one event of a stream, which is kept until it is whole.
  size_t maxEventBytes = size_t{ 256 } * 1024;
  // Bytes that are read and thrown away while the answer to a call is awaited: interim
  // heads and answers to other calls.
  size_t maxDiscardedBytes = size_t{ 1024 } * 1024;
};

class BackendPort
{
public:
  explicit BackendPort(BackendPortOptions aOptions);
  ~BackendPort();

  BackendPort(const BackendPort&) = delete;
  BackendPort& operator=(const BackendPort&) = delete;

  void Execute(const StartAttempt& aAction);
  void Execute(const CancelAttempt& aAction);
  void Execute(const CloseIdleBackendConnections& aAction);

  size_t IdleCount() const;

  const TaskErrors& Errors() const { return errors_; }

private:
  class Connection;
  struct PendingConnect;

  kj::Own<Connection> TakeIdle(const StartAttempt& aAction);
  void SendCall(kj::Own<Connection> aConnection, const StartAttempt& aAction);

  /// Keeps a link for later calls.
  void MoveToIdle(AttemptId aAttempt);

  /// Ends a link that runs an attempt, or an idle one.
  void RemoveBusy(AttemptId aAttempt);
  void RemoveIdle(const Connection& aConnection);
  void DestroyLater(kj::Own<Connection> aConnection);
  kj::Promise<void> SweepLoop();

  BackendPortOptions options_;
  std::unordered_map<AttemptId, kj::Own<PendingConnect>> pendingConnects_;
  std::unordered_map<AttemptId, kj::Own<Connection>> busy_;
  std::map<std::string, std::vector<kj::Own<Connection>>>
    idle_;                   // by address, oldest first
  size_t bufferedBytes_ = 0; // of answers that are not whole yet
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_PORT_H_
