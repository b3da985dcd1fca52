#include "gooseberrypath/serve.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <limits>
#include <memory>
#include <optional>

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include "gooseberrypath/backend_http.h"
#include "gooseberrypath/caller_http.h"
#include "gooseberrypath/config_snapshots.h"
#include "gooseberrypath/counters.h"
#include "gooseberrypath/daemon.h"
#include "gooseberrypath/descriptors.h"
#include "gooseberrypath/event_loop.h"
#include "gooseberrypath/freed_memory.h"
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

/// How long the process waits at its end for answers that callers still read, and for the
/// replies to operators.
constexpr Duration kMaxFlushTime = 5s;
constexpr Duration kFlushStep = 50ms;

/// Parts of the process's descriptors that connections of peers and operators may take.
/// Callers may have half of them.
constexpr size_t kPeersPart = 4;
constexpr size_t kOperatorsPart = 8;

/// Room for received tokens in a message between daemons.
constexpr uint64_t kMaxTokenBytes = uint64_t{ 1024 } * 1024;

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
  if (aWorld.usesPeerConfig) {
    return "the log has not been read; the configuration up to offset " +
           std::to_string(aWorld.appliedConfig) +
           " is a peer's, and actions that need the log are refused";
  }
  if (aWorld.state == DaemonState::Serving) {
    return {};
  }
  if (aWorld.awaitsConfigSnapshot) {
    return "old records of stream config were removed; a snapshot is awaited";
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
    , requestMemory_(std::make_shared<MemoryAccount>(
        AccountBoundOfHost(static_cast<double>(aSettings.memoryMb))))
    , answerMemory_(std::make_shared<MemoryAccount>(
        AccountBoundOfHost(static_cast<double>(aSettings.memoryMb))))
    , callers_(
        { .network = network_,
          .timer = timer_,
          .sink = Sink(),
          .address = aSettings.listen,
          .idPrefix = aSettings.daemon + "-" + std::to_string(incarnation_),
          .maxBodyBytes = aSettings.maxBodyBytes,
          .maxHeaderBytes = aSettings.maxHeaderBytes,
          .maxConnections = std::min<size_t>(aSettings.maxConnections,
                                             ConnectionsWithin(DescriptorLimit())),
          .maxRequests = aSettings.maxRequests,
          .headTimeout = aSettings.requestReadTimeout,
          .bodyTimeout = aSettings.requestReadTimeout,
          .memory = requestMemory_,
          .answerMemory = answerMemory_,
          .onShortage =
            [this](const Shortages& aTotals) { LogShortages("callers", aTotals); } })
    , backends_({ .network = network_,
                  .timer = timer_,
                  .sink = Sink(),
                  .answerMemory = answerMemory_,
                  .makeRoom =
                    [this](size_t aBytes) { return callers_.MakeRoomForAnswer(aBytes); },
                  .loadInterval = aSettings.loadInterval })
    , log_({ .network = network_,
             .timer = timer_,
             .sink = Sink(),
             .address = aSettings.log })
    , peers_({ .network = network_,
               .timer = timer_,
               .sink = Sink(),
               .address = aSettings.peerListen,
               .snapshot = [this] { return EncodeSnapshot(daemon_->GetWorld()); },
               .maxIncoming =
                 std::min(PeerRpcOptions::kMaxIncoming, DescriptorLimit() / kPeersPart),
               // A handed-over request has the caller's body and the tokens.
               .maxMessageBytes = aSettings.maxBodyBytes + kMaxTokenBytes,
               .memory = std::make_shared<MemoryAccount>(
                 AccountBoundOfHost(static_cast<double>(aSettings.memoryMb) / 2)),
               .onShortage =
                 [this](const Shortages& aTotals) {
                   peerShortages_ = aTotals;
                   LogShortages("peers", aTotals);
                 } })
    , operators_({ .address = aSettings.operatorListen,
                   .sink = Sink(),
                   .snapshot = [this] { return Snapshot(); },
                   .maxConnections = std::min(OperatorHttpOptions::kMaxConnections,
                                              DescriptorLimit() / kOperatorsPart),
                   .onShortage =
                     [this](const Shortages& aTotals) {
                       operatorShortages_ = aTotals;
                       LogShortages("operators", aTotals);
                     } })
  {
    daemon_.emplace(ToCoreOptions(aSettings, incarnation_),
                    PortSet{ .caller = callers_,
                             .backend = backends_,
                             .log = log_,
                             .peer = peers_,
                             .operators = operators_,
                             .observation = observation_,
                             .clock = clock_,
                             .exit = [this] { exit_.fulfiller->fulfill(); },
                             .noteError =
                               [this](std::string_view aReason) {
                                 Log("an event could not be handled: " +
                                     std::string(aReason));
                               } });
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
    Flush(aIo.waitScope);
    Log("daemon " + settings_.daemon + " has stopped");
  }

private:
  EventSink Sink()
  {
    return [this](Event aEvent) { daemon_->Post(std::move(aEvent)); };
  }

  OperatorSnapshot Snapshot() const
  {
    OperatorSnapshot snapshot = TakeSnapshot(daemon_->GetWorld());
    snapshot.metrics += RenderCallerMetrics();
    return snapshot;
  }

  std::string RenderCallerMetrics() const
  {
    const Shortages& shortages = callers_.GetShortages();
    const std::array<Gauge, 11> gauges{
      Gauge{ "caller_connections", "Open connections of callers.",
             static_cast<double>(callers_.ConnectionCount()) },
      Gauge{ "request_memory_bytes", "Memory that callers' requests take up.",
             static_cast<double>(requestMemory_->InUse()) },
      Gauge{ "request_memory_bound_bytes", "Bound of that memory.",
             static_cast<double>(requestMemory_->Bound()) },
      Gauge{ "answer_memory_bytes",
             "Memory of answers that are being read or wait for their callers.",
             static_cast<double>(answerMemory_->InUse()) },
      Gauge{ "answer_memory_bound_bytes", "Bound of that memory.",
             static_cast<double>(answerMemory_->Bound()) },
      Gauge{ "untaken_answers_dropped",
             "Answers that their callers did not take, dropped to make room.",
             static_cast<double>(shortages.droppedResponses) },
      Gauge{ "requests_refused_for_memory", "Requests that found no room.",
             static_cast<double>(shortages.refusedRequests) },
      Gauge{ "slow_requests_dropped", "Incomplete requests dropped to make room.",
             static_cast<double>(shortages.droppedRequests) },
      Gauge{ "waiting_connections_dropped",
             "Waiting connections closed to accept others.",
             static_cast<double>(shortages.droppedConnections) },
      Gauge{ "operators_turned_away",
             "Operators' calls and connections that were refused or dropped.",
             static_cast<double>(operatorShortages_.Sum()) },
      Gauge{ "peers_turned_away",
             "Peers' messages and connections that were refused or dropped.",
             static_cast<double>(peerShortages_.Sum()) }
    };
    return RenderGauges(gauges);
  }

  void LogShortages(std::string aPart, const Shortages& aTotals)
  {
    observation_.Execute(WriteLog{
      .level = LogLevel::Warning,
      .part = std::move(aPart),
      .text = "memory or connections ran short; since the start " +
              std::to_string(aTotals.refusedRequests) + " requests found no room, " +
              std::to_string(aTotals.droppedRequests) + " slow requests, " +
              std::to_string(aTotals.droppedConnections) + " waiting connections and " +
              std::to_string(aTotals.droppedResponses) +
              " untaken responses were dropped" });
  }

  /// Waits until callers have read their answers, for a limited time.
  void Flush(kj::WaitScope& aScope)
  {
    const TimePoint end = clock_.Now() + kMaxFlushTime;
    do {
      timer_.afterDelay(kFlushStep.count() * kj::MICROSECONDS).wait(aScope);
    } while (callers_.RequestCount() > 0 && clock_.Now() < end);
  }

  void Log(std::string aText)
  {
    observation_.Execute(WriteLog{ .part = "serve", .text = std::move(aText) });
  }

  const Settings& settings_;
  kj::Network& network_;
  kj::Timer& timer_;
  const uint64_t incarnation_ = ToMs(WallNow());
  kj::PromiseFulfillerPair<void> exit_ = kj::newPromiseAndFulfiller<void>();
  std::optional<Daemon<PortSet>> daemon_;
  KjClock clock_;
  Observation observation_;
  MemoryAccountPtr requestMemory_;
  MemoryAccountPtr answerMemory_;
  Shortages operatorShortages_;
  Shortages peerShortages_;
  CallerHttp callers_;
  BackendHttp backends_;
  LogHttp log_;
  PeerRpc peers_;
  OperatorHttp operators_;
};

} // namespace

int RunServe(const Settings& aSettings)
{
  ReturnLargeAllocations();
  if (aSettings.maxDescriptors > 0) {
    LimitDescriptors(aSettings.maxDescriptors);
  }
  // A write to a connection that the peer closed must fail, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  kj::AsyncIoContext io = SetUpEventLoop();
  Server(aSettings, io).Run(io);
  return 0;
}

} // namespace gooseberrypath
