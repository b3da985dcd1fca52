// The operators' HTTP port of a daemon.
//
//   OperatorHttp operators({ .address = "127.0.0.1:8082",
//                            .sink = [&](Event aEvent) { daemon.Post(std::move(aEvent));
//                            }, .snapshot = [&] { return OperatorSnapshot{ ... }; } });
//
// The server runs on a thread of its own (operator_loop.h), queues work for the thread of
// the daemon's event loop and waits for its result for a bounded time, so that a health
// check is answered also when that loop does not. The event loop never waits for the
// server, except in the destructor.

#ifndef GOOSEBERRYPATH_OPERATOR_HTTP_H_
#define GOOSEBERRYPATH_OPERATOR_HTTP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/messages.h"
#include "gooseberrypath/ports.h"
#include "gooseberrypath/shortages.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// What /readyz and /metrics show.
struct OperatorSnapshot
{
  DaemonState state = DaemonState::Starting;
  std::string reason;  // why the daemon is not ready, for people
  std::string metrics; // Prometheus text form
};

struct OperatorHttpOptions
{
  static constexpr size_t kMaxConnections = 128;

  std::string address;                          // "IP:port"
  EventSink sink{};                             // called on the thread of the event loop
  std::function<OperatorSnapshot()> snapshot{}; // called on the thread of the event loop
  Duration healthTimeout = std::chrono::seconds(2); // for /healthz, /readyz, /metrics
  Duration replyTimeout = std::chrono::seconds(10); // for an OperatorReply, over the wait
  Duration maxWait = std::chrono::seconds(60); // longest wait_ms; a longer one is cut
  size_t maxBodyBytes = 1'048'576;             // a larger body is refused
  size_t maxCalls = 48;   // calls on /v1/ that wait at once; more are refused
  size_t maxQueued = 256; // work that the event loop has not taken; more is refused
  size_t maxConnections =
    kMaxConnections; // a new one replaces the one that waits longest
  // Called on the thread of the event loop, at most every 250 ms.
  std::function<void(const Shortages&)> onShortage = {};
};

/// Models OperatorPort. Constructed and destroyed on the thread of a kj event loop.
class OperatorHttp
{
public:
  /// Listens on the address. Throws std::runtime_error when it cannot.
  explicit OperatorHttp(OperatorHttpOptions aOptions);

  /// Answers waiting requests with an error and ends the threads.
  ~OperatorHttp();

  OperatorHttp(const OperatorHttp&) = delete;
  OperatorHttp& operator=(const OperatorHttp&) = delete;

  /// Passes the reply to the handler that waits for it. A reply without a waiting handler
  /// is dropped.
  void Execute(const OperatorReply& aReply);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_OPERATOR_HTTP_H_
