// Engines and services over HTTP.
//
//   BackendHttp backend({ .network = network, .timer = timer, .sink = sink });
//   backend.Execute(StartServiceAttempt{ ... });

#ifndef GOOSEBERRYPATH_BACKEND_HTTP_H_
#define GOOSEBERRYPATH_BACKEND_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "gooseberrypath/body_buffer.h"
#include "gooseberrypath/http_io.h"
#include "gooseberrypath/memory_account.h"
#include "gooseberrypath/ports.h"
#include "gooseberrypath/sse_parser.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath {

struct BackendHttpOptions
{
  kj::Network& network;
  kj::Timer& timer;
  EventSink sink;
  Duration connectTimeout = std::chrono::milliseconds(500);
  size_t maxAnswerBytes = size_t{ 4 } * 1024 * 1024;
  // Account of the answers, from their first byte until their callers have taken them.
  // Its bound is raised to what one needs.
  MemoryAccountPtr answerMemory = std::make_shared<MemoryAccount>();
  // Asked to make room for this many bytes in the account. Returns whether it has room.
  std::function<bool(size_t)> makeRoom = [](size_t) { return false; };
  SseParserOptions stream{};
  Duration loadInterval = std::chrono::milliseconds(500); // jittered by half
  Duration loadTimeout = std::chrono::seconds(1);
};

/// Models BackendPort. Each attempt uses a new connection, and its request is sent only
/// after the connection was made: a kept connection may be closed by the backend while
/// the request is on its way, and the attempt could not tell whether it ran.
class BackendHttp
{
public:
  explicit BackendHttp(BackendHttpOptions aOptions);
  ~BackendHttp();

  BackendHttp(const BackendHttp&) = delete;
  BackendHttp& operator=(const BackendHttp&) = delete;

  void Execute(const StartModelAttempt& aAction);

  /// A timeout that is not positive means no timeout.
  void Execute(const StartServiceAttempt& aAction);

  void Execute(const CancelAttempt& aAction);

  /// Sends POST /kv/export on a new connection.
  void Execute(const ExportKv& aAction);

  /// Polls GET /load of each address. Failures are only counted.
  void Execute(const WatchLoads& aAction);

  /// Returns the number of load reports that failed.
  uint64_t LoadFailures() const { return loadFailures_; }

  /// Returns the number of attempts in progress.
  size_t AttemptCount() const { return attempts_.size(); }

  const TaskErrors& Errors() const { return errors_; }

private:
  class Attempt;
  struct LoadWatch;

  /// Removes the attempt. Its connection is closed in a fresh turn of the loop, because
  /// the caller may be a continuation of the attempt itself.
  void Remove(AttemptId aId);
  void Start(AttemptId aId, const std::string& aAddress, HttpRequest aRequest,
             Duration aTimeout, bool aIsStream);
  kj::Promise<void> PollLoad(LoadWatch& aWatch);

  template<typename T>
  void DropLater(kj::Own<T> aObject);

  BackendHttpOptions options_;
  uint64_t loadFailures_ = 0;
  std::unordered_map<AttemptId, kj::Own<Attempt>> attempts_;
  std::unordered_map<std::string, kj::Own<LoadWatch>> watches_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_BACKEND_HTTP_H_
