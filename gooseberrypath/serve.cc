#include "gooseberrypath/serve.h"

#include <chrono>
#include <csignal>
#include <limits>
#include <memory>
#include <optional>

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include "gooseberrypath/backend_http.h"
#include "gooseberrypath/caller_http.h"
#include "gooseberrypath/counters.h"
#include "gooseberrypath/daemon.h"
#include "gooseberrypath/kj_clock.h"
#include "gooseberrypath/log_http.h"
#include "gooseberrypath/logging.h"
#include "gooseberrypath/operator_http.h"
#include "gooseberrypath/peer_rpc.h"
#include "gooseberrypath/platform_http.h"
#include "gooseberrypath/records.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

/// Before the process exits, for answers that are still being written.
constexpr Duration kFlushTime = 200ms;

using PortSet =
  Ports<CallerHttp, BackendHttp, LogHttp, PeerRpc, OperatorHttp, Observation, KjClock>;

Duration WallNow()
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::system_clock::now().time_since_epoch());
}

uint64_t ToMs(Duration aTime)
{
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

std::string ReasonNotReady(const World& aWorld)
{
  if (aWorld.state == DaemonState::Draining) {
    return "the daemon is stopping";
  }
  for (const std::string_view stream : { kConfigStream, kActionStream, kJobStream }) {
    const auto found = aWorld.streams.find(stream);
    if (found == aWorld.streams.end() || !found->second.contacted) {
      return "the log has not answered for stream " + std::string(stream);
    }
    if (found->second.next < found->second.targetHead) {
      return "stream " + std::string(stream) + " has been read up to offset " +
             std::to_string(found->second.next - 1) + " of " +
             std::to_string(found->second.targetHead - 1);
    }
  }
  return {};
}

double SecondsSinceLogContact(const World& aWorld)
{
  const auto found = aWorld.streams.find(kConfigStream);
  if (found == aWorld.streams.end() || !found->second.contacted) {
    return std::numeric_limits<double>::infinity();
  }
  return std::chrono::duration<double>(aWorld.Now() - found->second.lastContact).count();
}

OperatorSnapshot TakeSnapshot(const World& aWorld)
{
  return { .state = aWorld.state,
           .reason = ReasonNotReady(aWorld),
           .metrics = aWorld.counters.Render() +
                      RenderGauges(DaemonGauges{
                        .state = aWorld.state,
                        .runningRequests = aWorld.requests.Size(),
                        .appliedOffset = aWorld.appliedConfig,
                        .secondsSinceLogContact = SecondsSinceLogContact(aWorld) }) };
}

/// Posts a drain for the first SIGTERM or SIGINT.
kj::Promise<void> DrainOnSignal(kj::UnixEventPort& aPort, const EventSink& aSink)
{
  return aPort.onSignal(SIGTERM)
    .exclusiveJoin(aPort.onSignal(SIGINT))
    .then([&aSink](auto&&) { aSink(OperatorDrain{}); });
}

/// The ports and the daemon, wired together on one event loop.
class Server
{
public:
  Server(const Settings& aSettings, kj::AsyncIoContext& aIo)
    : settings_(aSettings)
    , network_(aIo.provider->getNetwork())
    , timer_(aIo.provider->getTimer())
    , clock_({ .timer = timer_ })
    , observation_({ .level = aSettings.logLevel,
                     .logFile = aSettings.logFile,
                     .spanFile = aSettings.spanFile,
                     .daemon = aSettings.daemon,
                     .wallOffset = WallNow() - clock_.Now().time_since_epoch() })
    , callers_({ .network = network_,
                 .timer = timer_,
                 .sink = Sink(),
                 .address = aSettings.listen,
                 .maxBodyBytes = aSettings.maxBodyBytes,
                 .maxConnections = aSettings.maxConnections,
                 .maxRequests = aSettings.maxRequests,
                 .headTimeout = aSettings.requestReadTimeout,
                 .bodyTimeout = aSettings.requestReadTimeout })
    , backends_({ .network = network_,
                  .timer = timer_,
                  .sink = Sink(),
                  .loadInterval = aSettings.loadInterval })
    , log_({ .network = network_,
             .timer = timer_,
             .sink = Sink(),
             .address = aSettings.log })
    , peers_({ .network = network_,
               .timer = timer_,
               .sink = Sink(),
               .address = aSettings.peerListen })
    , operators_({ .address = aSettings.operatorListen,
                   .sink = Sink(),
                   .snapshot = [this] { return TakeSnapshot(daemon_->GetWorld()); } })
  {
    daemon_.emplace(ToCoreOptions(aSettings, ToMs(WallNow())),
                    PortSet{ .caller = callers_,
                             .backend = backends_,
                             .log = log_,
                             .peer = peers_,
                             .operators = operators_,
                             .observation = observation_,
                             .clock = clock_,
                             .exit = [this] { exit_.fulfiller->fulfill(); } });
  }

  /// Serves until the planned stop is complete.
  void Run(kj::AsyncIoContext& aIo)
  {
    const EventSink sink = Sink();
    daemon_->Wake();
    log_.Follow(kConfigStream, 1);
    log_.Follow(kActionStream, 1);
    log_.Follow(kJobStream, 1);
    std::optional<PlatformHttp> platform;
    if (!settings_.platform.empty()) {
      platform.emplace(
        PlatformHttpOptions{ .network = network_,
                             .timer = timer_,
                             .sink = sink,
                             .address = settings_.platform,
                             .hostsInterval = settings_.hostListInterval });
      platform->Start();
    }
    Log("daemon " + settings_.daemon + " serves callers at " + settings_.listen);
    auto signals =
      DrainOnSignal(aIo.unixEventPort, sink).eagerlyEvaluate([](const kj::Exception&) {});
    exit_.promise.wait(aIo.waitScope);
    timer_.afterDelay(kFlushTime.count() * kj::MICROSECONDS).wait(aIo.waitScope);
    Log("daemon " + settings_.daemon + " has stopped");
  }

private:
  EventSink Sink()
  {
    return [this](Event aEvent) { daemon_->Post(std::move(aEvent)); };
  }

  void Log(std::string aText)
  {
    observation_.Execute(WriteLog{ .part = "serve", .text = std::move(aText) });
  }

  const Settings& settings_;
  kj::Network& network_;
  kj::Timer& timer_;
  kj::PromiseFulfillerPair<void> exit_ = kj::newPromiseAndFulfiller<void>();
  std::optional<Daemon<PortSet>> daemon_;
  KjClock clock_;
  Observation observation_;
  CallerHttp callers_;
  BackendHttp backends_;
  LogHttp log_;
  PeerRpc peers_;
  OperatorHttp operators_;
};

} // namespace

int RunServe(const Settings& aSettings)
{
  // A write to a connection that the peer closed must fail, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  Server(aSettings, io).Run(io);
  return 0;
}

} // namespace gooseberrypath
