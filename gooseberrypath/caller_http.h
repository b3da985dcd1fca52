// Callers over HTTP/1.1.
//
//   CallerHttp callers({ .network = network, .timer = timer, .sink = sink,
//                        .address = "127.0.0.1:8080" });
//   callers.Execute(ReplyWhole{ ... });

#ifndef GOOSEBERRYPATH_CALLER_HTTP_H_
#define GOOSEBERRYPATH_CALLER_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include "gooseberrypath/freed_memory.h"
#include "gooseberrypath/http_io.h"
#include "gooseberrypath/memory_account.h"
#include "gooseberrypath/ports.h"
#include "gooseberrypath/shortages.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath {

struct CallerHttpOptions
{
  kj::Network& network;
  kj::Timer& timer;
  EventSink sink;
  std::string address = "127.0.0.1:0"; // "IP:port"; port 0 chooses a free one
  // Starts the X-Request-Id of answers that the core does not make:
  // "<daemon>-<incarnation>".
  std::string idPrefix = "d0-1";
  size_t maxBodyBytes = size_t{ 1024 } * 1024;
  size_t maxHeaderBytes = size_t{ 64 } * 1024; // names and values of one request
  size_t maxQueuedBytes =
    size_t{ 256 } * 1024; // of one stream, for a caller that reads slowly
  size_t maxConnections = 4096;
  size_t maxRequests = 2048; // running requests, including those being read
  Duration headTimeout = std::chrono::seconds(10);
  Duration bodyTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(60); // between requests on a connection
  // After an answer that was sent before the whole body was read, so much of the rest is
  // read: closing a socket with unread data would reset the answer away.
  size_t maxDiscardedBytes = size_t{ 4 } * 1024 * 1024;
  Duration discardTimeout = std::chrono::seconds(1);
  // A caller that closed its connection and one that only ended its sending side look the
  // same until something is written. If true, both are gone; if false, a half-closed
  // caller gets its answer, and a closed one is noticed on writing.
  bool isHalfCloseGone = true;
  // Its bound is raised to what one request within the limits needs.
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>();
  // Account of the answers. Requests are refused while it has no room.
  MemoryAccountPtr answerMemory = std::make_shared<MemoryAccount>();
  // Called at most every 250 ms, after the counts have changed.
  std::function<void(const Shortages&)> onShortage = {};
};

/// Models CallerPort. Answers for requests that are gone are ignored.
class CallerHttp final
  : private kj::HttpServerErrorHandler
  , private kj::HttpServerCallbacks
{
public:
  /// Listens at once. Throws kj::Exception if the address is malformed or in use.
  explicit CallerHttp(CallerHttpOptions aOptions);
  ~CallerHttp() noexcept(false);

  CallerHttp(const CallerHttp&) = delete;
  CallerHttp& operator=(const CallerHttp&) = delete;

  void Execute(const ReplyWhole& aAction);
  void Execute(const ReplyStreamHead& aAction);
  void Execute(const ReplyStreamEvent& aAction);
  void Execute(const ReplyStreamEnd& aAction);

  /// Drops answers that their callers do not take, beginning with the one that waits
  /// longest, until the account of answers has room for this many bytes. Returns whether
  /// it has.
  bool MakeRoomForAnswer(size_t aBytes);

  /// Stops accepting connections and closes idle ones. Running requests are answered,
  /// with "Connection: close".
  void Stop();

  /// Returns the port that the listener is bound to.
  uint16_t Port() const { return port_; }

  size_t ConnectionCount() const { return connections_.size(); }
  size_t RequestCount() const { return exchanges_.size(); }

  const Shortages& GetShortages() const { return shortages_; }

  const TaskErrors& Errors() const { return errors_; }

private:
  class Connection;
  class Exchange;
  class Service;
  class Stream;

  kj::Promise<void> AcceptLoop();
  void Serve(kj::Own<kj::AsyncIoStream> aStream);
  void Refuse(kj::Own<kj::AsyncIoStream> aStream);
  kj::Promise<void> CloseLingering(kj::Own<kj::AsyncIoStream> aStream,
                                   kj::Maybe<Error> aError);

  /// Drops the slowest incomplete requests until the request memory has room for this
  /// many bytes of another request. Returns whether it has.
  bool MakeRoom(size_t aBytes, const Connection& aFor);

  /// Closes the connection that has waited longest for its caller, so that a new one
  /// fits. Returns whether there was any.
  bool MakeRoomForConnection();

  /// Returns freed memory to the operating system and reports shortages, now and then.
  kj::Promise<void> ReportLoop();

  void Emit(Event aEvent);
  Exchange* Find(RequestId aId);

  /// Returns the X-Request-Id of an answer of the port itself. It has the core's form
  /// with another letter, so that it never equals the id of another request.
  std::string PublicIdOf(RequestId aId) const;

  kj::Promise<void> SendError(kj::HttpService::Response& aResponse, ErrorKind aKind,
                              std::string aMessage, RequestId aId);

  /// kj's drain() alone does not announce the end of the connection to a caller whose
  /// request was already running.
  bool shouldClose() override { return isStopped_; }

  kj::Promise<void> handleClientProtocolError(
    kj::HttpHeaders::ProtocolError aError, kj::HttpService::Response& aResponse) override;
  kj::Promise<void> handleApplicationError(
    kj::Exception aError, kj::Maybe<kj::HttpService::Response&> aResponse) override;
  kj::Promise<void> handleNoResponse(kj::HttpService::Response& aResponse) override;

  CallerHttpOptions options_;
  bool isClosing_ = false; // the port is being destroyed
  bool isStopped_ = false;
  std::unordered_set<Connection*> connections_; // owned by their tasks
  FreedMemory freedMemory_;
  Shortages shortages_;
  Shortages reportedShortages_;
  size_t refusalCount_ = 0;
  uint64_t lastRequest_ = 0;
  uint16_t port_ = 0;
  std::unordered_map<RequestId, Exchange*> exchanges_; // owned by the handlers' promises
  TaskErrors errors_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Own<kj::HttpServer> server_;
  kj::TaskSet tasks_;
  kj::Promise<void> accepting_ = nullptr;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CALLER_HTTP_H_
