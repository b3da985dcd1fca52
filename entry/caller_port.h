// Callers over HTTP/1.1: reads whole calls, passes them to the core and writes the
// answers.
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

#include "entry/messages.h"
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
};

class CallerPort
{
public:
  /// Listens at once. Throws kj::Exception if the address cannot be used.
  explicit CallerPort(CallerPortOptions aOptions);
  ~CallerPort();

  CallerPort(const CallerPort&) = delete;
  CallerPort& operator=(const CallerPort&) = delete;

  void Execute(const WriteResponse& aAction);
  void Execute(const WriteStreamHead& aAction);
  void Execute(const WriteStreamBytes& aAction);
  void Execute(const FinishStream& aAction);
  void Execute(const AbortResponse& aAction);
  void Execute(const SetCallerLimits& aAction);
  void Execute(const CloseIdleCallerConnections& aAction);
  void Execute(const StopAccepting& aAction);

  size_t ConnectionCount() const { return connections_.size(); }

  const TaskErrors& Errors() const { return errors_; }

private:
  class Connection;

  kj::Promise<void> AcceptLoop();
  kj::Promise<void> SweepLoop();

  /// Tells the core when the last connection has ended during the stop.
  void ReportIfDrained();
  Connection* Find(ExchangeId aId);
  void Remove(uint64_t aConnection);

  CallerPortOptions options_;
  CallerLimits limits_;
  bool isDraining_ = false;
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
