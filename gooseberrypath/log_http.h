// The platform's append-only log over HTTP.
//
//   LogHttp log({ .network = network, .timer = timer, .sink = sink,
//                 .address = "127.0.0.1:7000" });
//   log.Follow("config", 1);
//   log.Execute(AppendRecord{ ... });

#ifndef GOOSEBERRYPATH_LOG_HTTP_H_
#define GOOSEBERRYPATH_LOG_HTTP_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "gooseberrypath/http_io.h"
#include "gooseberrypath/ports.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath {

struct LogHttpOptions
{
  kj::Network& network;
  kj::Timer& timer;
  EventSink sink;
  std::string address; // "IP:port"
  Duration connectTimeout = std::chrono::milliseconds(500);
  // Long polls are short enough that the core hears from a reachable log every 400 ms.
  Duration readWait = std::chrono::milliseconds(300);
  Duration readTimeout = std::chrono::seconds(2);
  Duration minBackoff = std::chrono::milliseconds(100);
  Duration maxBackoff = std::chrono::seconds(1);
  size_t maxRecordsPerRead = 100; // 100 KB each, as snapshots have, fit maxReadBytes
  size_t maxReadBytes = size_t{ 16 } * 1024 * 1024;
  Duration appendTimeout = std::chrono::seconds(1);
  size_t maxAppendsInFlight = 16;
  size_t maxQueuedAppends = 4096;
  Duration maxQueueTime = std::chrono::seconds(1);
};

/// Models LogPort.
class LogHttp
{
public:
  explicit LogHttp(LogHttpOptions aOptions);
  ~LogHttp();

  LogHttp(const LogHttp&) = delete;
  LogHttp& operator=(const LogHttp&) = delete;

  /// Reads the stream from this offset for ever.
  void Follow(std::string_view aStream, Offset aFrom);

  /// Appends on a connection of its own. Appends over the limit in flight wait in order;
  /// one that waited too long or finds the queue full fails and is not stored.
  void Execute(const AppendRecord& aAction);

  /// Returns the number of appends in flight and waiting.
  size_t AppendCount() const { return inFlight_ + queue_.size(); }

  const TaskErrors& Errors() const { return errors_; }

private:
  struct Follower;
  struct Append;

  struct QueuedAppend
  {
    AppendRecord record;
    kj::TimePoint since;
  };

  kj::Promise<void> Read(Follower& aFollower);
  kj::Promise<void> Accept(Follower& aFollower, const HttpReply& aReply,
                           kj::TimePoint aStarted);
  kj::Promise<void> Retry(Follower& aFollower, std::string aReason);
  void StartAppends();
  kj::Promise<void> Send(const AppendRecord& aRecord);
  void Finish(Event aEvent);

  LogHttpOptions options_;
  size_t inFlight_ = 0;
  bool isStartDue_ = false;
  std::deque<QueuedAppend> queue_;
  TaskErrors errors_;
  std::vector<kj::Own<Follower>> followers_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_LOG_HTTP_H_
