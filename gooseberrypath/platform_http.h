// The platform's host list and reclaim notices over HTTP.
//
//   PlatformHttp platform({ .network = network, .timer = timer, .sink = sink,
//                           .address = "127.0.0.1:7100" });
//   platform.Start();

#ifndef GOOSEBERRYPATH_PLATFORM_HTTP_H_
#define GOOSEBERRYPATH_PLATFORM_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "gooseberrypath/http_io.h"
#include "gooseberrypath/ports.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath {

struct PlatformHttpOptions
{
  kj::Network& network;
  kj::Timer& timer;
  EventSink sink;
  std::string address;                                     // "IP:port"
  Duration hostsInterval = std::chrono::milliseconds(500); // jittered by half
  Duration noticesWait = std::chrono::seconds(1);
  Duration readTimeout = std::chrono::seconds(2); // beyond noticesWait
  Duration minBackoff = std::chrono::milliseconds(100);
  Duration maxBackoff = std::chrono::seconds(1);
  size_t maxReadBytes = size_t{ 4 } * 1024 * 1024;
};

/// Models HostListPort. Failed and malformed answers are counted, and the last host list
/// stays in force.
class PlatformHttp
{
public:
  /// Throws kj::Exception if the address is malformed.
  explicit PlatformHttp(PlatformHttpOptions aOptions);

  PlatformHttp(const PlatformHttp&) = delete;
  PlatformHttp& operator=(const PlatformHttp&) = delete;

  /// Starts polling, once.
  void Start();

  uint64_t Failures() const { return failures_; }

  const TaskErrors& Errors() const { return errors_; }

private:
  kj::Promise<void> PollHosts();
  kj::Promise<void> PollNotices();
  kj::Promise<HttpReply> Get(std::string aTarget, Duration aTimeout);
  bool EmitHosts(const HttpReply& aReply);
  bool EmitNotices(const HttpReply& aReply);

  PlatformHttpOptions options_;
  uint64_t failures_ = 0;
  uint64_t lastNotice_ = 0;
  Duration backoff_;
  TaskErrors errors_;
  kj::Own<kj::NetworkAddress> address_;
  kj::Own<kj::HttpClient> client_;
  kj::Promise<void> hosts_ = nullptr;
  kj::Promise<void> notices_ = nullptr;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PLATFORM_HTTP_H_
