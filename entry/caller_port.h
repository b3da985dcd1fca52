// HTTP/1.1 server for callers. It reads complete requests, passes them to the entry core
// as CallArrived events and writes the responses that the core orders by actions.
//
//   CallerPort callers({ .network = network, ..., .address = "10.0.0.1:8360" });
//   callers.Execute(WriteResponse{ ... });

#ifndef ENTRY_CALLER_PORT_H_
#define ENTRY_CALLER_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "entry/bulk_turns.h"
#include "entry/messages.h"
#include "gooseberrypath/freed_memory.h"
#include "gooseberrypath/memory_account.h"
#include "gooseberrypath/shortages.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath::entry {

struct CallerPortOptions
{
  kj::Network& network;
  kj::Timer& timer;
  std::function<void(Event)> sink;
  std::function<TimePoint()> now;
  std::string address; // "IP:port"
  size_t maxConnections = 3000;
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>();
  // Account of the responses. Requests are refused while it has no room.
  MemoryAccountPtr responseMemory = std::make_shared<MemoryAccount>();
  // Called at most every 250 ms, after the counts have changed.
  std::function<void(const Shortages&)> onShortage = {};
  // Turns of connections that always have bytes. Null: they read on at once.
  BulkTurns* bulkTurns = nullptr;
};

class CallerPort
{
public:
  /// Starts to listen. Throws kj::Exception if the address is malformed or in use.
  explicit CallerPort(CallerPortOptions aOptions);
  ~CallerPort();

  CallerPort(const CallerPort&) = delete;
  CallerPort& operator=(const CallerPort&) = delete;

  /// These write a response or a part of it. They do nothing if the caller has
  /// disconnected. A caller that reads a stream too slowly is disconnected and reported
  /// as such.
  void Execute(const WriteResponse& aAction);
  void Execute(const WriteStreamHead& aAction);
  void Execute(const WriteStreamBytes& aAction);
  void Execute(const FinishStream& aAction);

  /// Ends the connection of the request so that its response is visibly incomplete, after
  /// the bytes that were written before.
  void Execute(const AbortResponse& aAction);

  /// Sets the size and time limits for requests.
  void Execute(const SetCallerLimits& aAction);

  /// Starts to drain: closes idle connections, and the others after their responses.
  void Execute(const CloseIdleCallerConnections& aAction);

  /// Accepts the connections in the listen backlog and then closes the listening socket.
  void Execute(const StopAccepting& aAction);

  /// Drops responses that their callers do not take, beginning with the one that waits
  /// longest, until the account of responses has room for this many bytes. Returns
  /// whether it has.
  bool MakeRoomForResponse(size_t aBytes);

  size_t ConnectionCount() const { return connections_.size(); }

  const Shortages& GetShortages() const { return shortages_; }

  const TaskErrors& Errors() const { return errors_; }

private:
  class Connection;

  /// Drops the slowest incomplete requests until the request memory has room for this
  /// many bytes of another request. Returns whether it has.
  bool MakeRoom(size_t aBytes, const Connection& aFor);

  /// Closes a connection that no longer carries a request or carries one too slowly, so
  /// that a new one fits. Returns whether there was any.
  bool MakeRoomForConnection();

  /// Returns freed memory to the operating system and reports shortages.
  void ReportMemory();

  kj::Promise<void> AcceptLoop();
  kj::Promise<void> SweepLoop();

  /// Emits AllCallersDisconnected if the port is draining and no connection is left.
  void ReportIfDrained();

  /// Returns the connection that waits for the response of this exchange, or null.
  Connection* Find(ExchangeId aId);

  /// Removes a connection that resets when it closes, as soon as its caller has
  /// acknowledged what was written to it.
  kj::Promise<void> ResetWhenDelivered(uint64_t aConnection);

  /// Closes a connection. It is destroyed in a later turn of the event loop.
  void Remove(uint64_t aConnection);

  CallerPortOptions options_;
  CallerLimits limits_;
  bool isDraining_ = false;
  Shortages shortages_;
  Shortages reportedShortages_;
  FreedMemory freedMemory_;
  uint64_t lastConnectionId_ = 0;
  uint64_t lastExchangeId_ = 0;
  std::unordered_map<uint64_t, kj::Own<Connection>> connections_;
  std::unordered_map<ExchangeId, uint64_t> exchanges_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Promise<void> acceptTask_ = nullptr;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CALLER_PORT_H_
