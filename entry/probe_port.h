// HTTP server for the load balancer's readiness probes, for metrics and for the status.
// Paths that end in "/metrics" return the metrics, those that end in "/status" the
// status, all others 200 when the daemon is ready and 503 when not.
//
//   ProbePort probe({ .network = network, ..., .address = "10.0.0.1:8362" });
//   probe.Execute(SetReady{ .isReady = true });

#ifndef ENTRY_PROBE_PORT_H_
#define ENTRY_PROBE_PORT_H_

#include <functional>
#include <string>
#include <unordered_map>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include "entry/messages.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath::entry {

struct ProbePortOptions
{
  kj::Network& network;
  kj::Timer& timer;
  std::string address; // "IP:port"
  std::function<std::string()> renderMetrics;
  std::function<std::string()> renderStatus; // JSON
  // Of this port; a new one replaces the oldest. Callers need the other descriptors.
  size_t maxConnections = 64;
};

class ProbePort final : private kj::HttpService
{
public:
  /// Starts to listen. Throws kj::Exception if the address is malformed or in use.
  explicit ProbePort(ProbePortOptions aOptions);

  ProbePort(const ProbePort&) = delete;
  ProbePort& operator=(const ProbePort&) = delete;

  /// Returns how many connections were closed so that new ones fit, or refused because
  /// none was old enough.
  uint64_t DroppedConnections() const { return droppedConnections_; }

  void Execute(const SetReady& aAction) { isReady_ = aAction.isReady; }

private:
  kj::Promise<void> request(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders, kj::AsyncInputStream& aBody,
                            Response& aResponse) override;

  /// A connection that is being served.
  struct Connection
  {
    TimePoint openedAt;
    kj::Canceler canceler;
  };

  kj::Promise<void> AcceptLoop();
  void Serve(kj::Own<kj::AsyncIoStream> aStream);

  /// Closes the oldest connection so that a new one fits. Returns whether there was any.
  bool MakeRoomForConnection();

  struct Page
  {
    int status = 200;
    std::string contentType;
    std::string body;
  };

  /// Returns what the path asks for.
  Page PageFor(kj::StringPtr aPath) const;

  ProbePortOptions options_;
  bool isReady_ = false;
  kj::HttpServer server_;
  kj::Own<kj::ConnectionReceiver> listener_;
  uint64_t lastConnection_ = 0;
  uint64_t droppedConnections_ = 0;
  std::unordered_map<uint64_t, kj::Own<Connection>> connections_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PROBE_PORT_H_
