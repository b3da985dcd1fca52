#include "entry/serve_entry.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include "entry/backend_port.h"
#include "entry/boot_clock.h"
#include "entry/bulk_turns.h"
#include "entry/caller_port.h"
#include "entry/cloud_port.h"
#include "entry/digest_port.h"
#include "entry/entry_core.h"
#include "entry/event_log.h"
#include "entry/limit_report.h"
#include "entry/probe_port.h"
#include "entry/settings.h"
#include "entry/status_report.h"
#include "entry/store_port.h"
#include "entry/store_report.h"
#include "entry/team_quota_report.h"
#include "gooseberrypath/daemon.h"
#include "gooseberrypath/descriptors.h"
#include "gooseberrypath/event_loop.h"
#include "gooseberrypath/freed_memory.h"
#include "platform/settings_file.h"

namespace gooseberrypath::entry {

namespace {

// How often the settings file is read again without SIGHUP.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);

// Time for pending responses to be written between the core's exit request and the end
// of the process.
constexpr Duration kShutdownFlushTime = std::chrono::milliseconds(150);

WallTime ReadWallClock()
{
  return std::chrono::duration_cast<WallTime>(
    std::chrono::system_clock::now().time_since_epoch());
}

Result<EntrySettings> ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorKind::BadRequest, "settings file " + aPath + " cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return platform::DecodeSettings(text.str());
}

/// The ports that execute the core's actions.
struct EntryPorts
{
  CallerPort& caller;
  BackendPort& backend;
  StorePort& store;
  CloudPort* cloud; // null: no cloud API is configured
  DigestPort& digests;
  ProbePort& probe;
  EventLog& log;
  BootClock& clock;
  std::function<void()> exit;
  std::function<void(std::string_view)> noteError;

  template<typename F>
  void ForEach(F aFunction)
  {
    aFunction(caller);
    aFunction(backend);
    aFunction(store);
    if (cloud != nullptr) {
      aFunction(*cloud);
    }
    aFunction(digests);
    aFunction(probe);
    aFunction(log);
  }
};

using EntryDaemon = Daemon<EntryPorts, EntryCore>;

/// Creates the daemon and its ports and connects them.
class EntryServer
{
public:
  EntryServer(const std::string& aPath, const EntrySettings& aSettings,
              kj::AsyncIoContext& aIo)
    : path_(aPath)
    , settings_(aSettings)
    , timer_(aIo.provider->getTimer())
    , bulkTurns_(timer_)
    , clock_({ .timer = timer_ })
    , wallOffset_(ReadWallClock() -
                  std::chrono::duration_cast<WallTime>(clock_.Now().time_since_epoch()))
    , requestMemory_(std::make_shared<MemoryAccount>(aSettings.maxRequestMemory))
    , responseMemory_(std::make_shared<MemoryAccount>(aSettings.maxRequestMemory))
    , log_({ .host = aSettings.host,
             .wallNow = [this] { return WallNow(); },
             .now = [this] { return clock_.Now(); } })
    , callers_({ .network = aIo.provider->getNetwork(),
                 .timer = timer_,
                 .sink = EventSink(),
                 .now = [this] { return clock_.Now(); },
                 .address = aSettings.callerAddress,
                 .maxConnections = ConnectionsWithin(aSettings.maxDescriptors),
                 .memory = requestMemory_,
                 .responseMemory = responseMemory_,
                 .onShortage = [this](const Shortages& aCounts) { LogShortage(aCounts); },
                 .bulkTurns = &bulkTurns_ })
    , backends_(
        { .network = aIo.provider->getNetwork(),
          .timer = timer_,
          .sink = EventSink(),
          .now = [this] { return clock_.Now(); },
          .responseMemory = responseMemory_,
          .makeRoom =
            [this](size_t aBytes) { return callers_.MakeRoomForResponse(aBytes); },
          .bulkTurns = &bulkTurns_ })
    , store_({ .network = aIo.provider->getNetwork(),
               .timer = timer_,
               .sink = EventSink(),
               .address = aSettings.storeAddress,
               .host = aSettings.host,
               .peerAddress = aSettings.peerAddress })
    , digests_({ .network = aIo.provider->getNetwork(),
                 .sink = EventSink(),
                 .address = aSettings.peerAddress })
    , probe_({ .network = aIo.provider->getNetwork(),
               .timer = timer_,
               .address = aSettings.probeAddress,
               .renderMetrics = [this] { return RenderMetrics(); },
               .renderStatus = [this] { return RenderStatus(daemon_->GetWorld()); } })
  {
    ListenForMetrics(aIo.provider->getNetwork());
    if (!aSettings.cloudAddress.empty()) {
      cloud_.emplace(CloudPortOptions{ .network = aIo.provider->getNetwork(),
                                       .timer = timer_,
                                       .sink = EventSink(),
                                       .address = aSettings.cloudAddress,
                                       .host = aSettings.host });
    }
    daemon_.emplace(Options(), EntryPorts{ .caller = callers_,
                                           .backend = backends_,
                                           .store = store_,
                                           .cloud = cloud_ ? &*cloud_ : nullptr,
                                           .digests = digests_,
                                           .probe = probe_,
                                           .log = log_,
                                           .clock = clock_,
                                           .exit = [this] { exit_.fulfiller->fulfill(); },
                                           .noteError =
                                             [this](std::string_view aReason) {
                                               LogEventFailure(aReason);
                                             } });
  }

  /// Serves until the core requests the exit, then flushes pending responses.
  void Run(kj::AsyncIoContext& aIo)
  {
    Log("started", { { "data_centre", settings_.dataCentre },
                     { "callers", settings_.callerAddress },
                     { "store", settings_.storeAddress },
                     { "cloud", settings_.cloudAddress },
                     { "reports_usage", settings_.reportsUsage ? "yes" : "no" },
                     { "orders_backends", settings_.ordersBackends ? "yes" : "no" } });
    daemon_->Wake();
    store_.Start();
    auto sigtermHandler = aIo.unixEventPort.onSignal(SIGTERM)
                            .then([this](siginfo_t&&) { daemon_->Post(StopRequested{}); })
                            .eagerlyEvaluate([](kj::Exception&&) {});
    auto reloadLoop =
      ReloadLoop(aIo.unixEventPort).eagerlyEvaluate([](kj::Exception&&) {});
    exit_.promise.wait(aIo.waitScope);
    timer_.afterDelay(kShutdownFlushTime.count() * kj::MICROSECONDS).wait(aIo.waitScope);
    Log("exiting", {});
  }

private:
  /// Serves the metrics on their own port. A failure to listen is logged only, because
  /// calls can be served without metrics.
  void ListenForMetrics(kj::Network& aNetwork)
  {
    auto failure = kj::runCatchingExceptions([&] {
      metrics_.emplace(ProbePortOptions{
        .network = aNetwork,
        .timer = timer_,
        .address = settings_.metricsAddress,
        .renderMetrics = [this] { return RenderMetrics(); },
        .renderStatus = [this] { return RenderStatus(daemon_->GetWorld()); } });
    });
    KJ_IF_MAYBE (problem, failure) {
      Log("metrics_unavailable", { { "reason", problem->getDescription().cStr() } });
    }
  }

  std::function<void(Event)> EventSink()
  {
    return [this](Event aEvent) { daemon_->Post(std::move(aEvent)); };
  }

  WallTime WallNow() const
  {
    return wallOffset_ +
           std::chrono::duration_cast<WallTime>(clock_.Now().time_since_epoch());
  }

  EntryOptions Options()
  {
    return { .host = settings_.host,
             .incarnation = static_cast<uint64_t>(ReadWallClock().count()),
             .dataCentre = settings_.dataCentre,
             .dataCentres = settings_.dataCentres,
             .peerAddress = settings_.peerAddress,
             .seeds = settings_.seeds,
             .wallOffset = wallOffset_,
             .seed = std::random_device{}(),
             .retryBudget = settings_.retryBudget,
             .quotaTolerance = settings_.quotaTolerance,
             .leaseDuration = settings_.leaseDuration,
             .usageWindow = settings_.usageWindow,
             .stopTimeout = settings_.stopTimeout,
             .reportsUsage = settings_.reportsUsage,
             .ordersBackends = settings_.ordersBackends };
  }

  /// Reads the settings again on SIGHUP and every kSettingsPollInterval. If the file is
  /// invalid, the old settings stay in effect.
  kj::Promise<void> ReloadLoop(kj::UnixEventPort& aPort)
  {
    return aPort.onSignal(SIGHUP)
      .ignoreResult()
      .exclusiveJoin(timer_.afterDelay(kSettingsPollInterval.count() * kj::MICROSECONDS))
      .then([this, &aPort] {
        LogDroppedProbeConnections();
        const auto settings = ReadSettings(path_);
        if (!settings) {
          Log("settings_invalid", { { "reason", settings.error().message } });
        } else if (*settings != settings_) {
          ApplySettings(*settings);
        }
        return ReloadLoop(aPort);
      });
  }

  /// Applies new seeds at once. Other changes take effect at the next start.
  void ApplySettings(const EntrySettings& aSettings)
  {
    if (aSettings.seeds != settings_.seeds) {
      daemon_->Post(PeerAddressesRead{ aSettings.seeds });
    }
    EntrySettings withOldSeeds = aSettings;
    withOldSeeds.seeds = settings_.seeds;
    if (withOldSeeds != settings_) {
      Log("settings_changed", { { "effect", "at the next start" } });
    }
    settings_ = aSettings;
  }

  std::string RenderMetrics() const
  {
    const World& world = daemon_->GetWorld();
    const std::array<Gauge, 17> gauges{
      Gauge{ "entry_requests", "Calls being served",
             static_cast<double>(world.requests.Size()) },
      Gauge{ "entry_backends", "Backends that are known",
             static_cast<double>(world.backends.Size()) },
      Gauge{ "entry_blocked_parts", "Prompt parts that are blocked",
             static_cast<double>(world.partEvidence.Blocks().size()) },
      Gauge{ "entry_caller_connections", "Open connections of callers",
             static_cast<double>(callers_.ConnectionCount()) },
      Gauge{ "entry_placements", "Placements granted by this daemon that are in use",
             static_cast<double>(world.placementsInUse) },
      Gauge{ "entry_duty_token", "Fencing token of the duties held here, or 0",
             static_cast<double>(world.dutyToken) },
      Gauge{ "entry_events_failed", "Unexpected errors in the handling of an event",
             static_cast<double>(failedEvents_) },
      Gauge{ "entry_bulk_turns", "Reads that waited for the turn of a busy connection",
             static_cast<double>(bulkTurns_.GivenCount()) },
      Gauge{ "entry_request_memory_bytes", "Memory that callers' requests take up",
             static_cast<double>(requestMemory_->InUse()) },
      Gauge{ "entry_request_memory_bound_bytes", "Bound of that memory",
             static_cast<double>(requestMemory_->Bound()) },
      Gauge{ "entry_response_memory_bytes",
             "Memory of responses that are being read or wait for their callers",
             static_cast<double>(responseMemory_->InUse()) },
      Gauge{ "entry_response_memory_bound_bytes", "Bound of that memory",
             static_cast<double>(responseMemory_->Bound()) },
      Gauge{ "entry_untaken_responses_dropped",
             "Responses that their callers did not take, dropped to make room",
             static_cast<double>(callers_.GetShortages().droppedResponses) },
      Gauge{ "entry_probe_connections_dropped",
             "Connections for probes and metrics that were closed to bound them",
             static_cast<double>(DroppedProbeConnections()) },
      Gauge{ "entry_requests_refused_for_memory", "Requests that found no room",
             static_cast<double>(callers_.GetShortages().refusedRequests) },
      Gauge{ "entry_slow_requests_dropped", "Incomplete requests dropped to make room",
             static_cast<double>(callers_.GetShortages().droppedRequests) },
      Gauge{ "entry_waiting_connections_dropped",
             "Waiting connections closed to accept others",
             static_cast<double>(callers_.GetShortages().droppedConnections) }
    };
    return world.counters.Render() + RenderGauges(gauges) + RenderLimitMetrics(world) +
           RenderTeamQuotaMetrics(world) + RenderStoreMetrics(world);
  }

  uint64_t DroppedProbeConnections() const
  {
    return probe_.DroppedConnections() + (metrics_ ? metrics_->DroppedConnections() : 0);
  }

  /// Called with each poll of the settings, so a crowd does not fill the log.
  void LogDroppedProbeConnections()
  {
    const uint64_t dropped = DroppedProbeConnections();
    if (dropped != std::exchange(loggedProbeConnections_, dropped)) {
      log_.Execute(WriteEvent{ .level = LogLevel::Warning,
                               .event = "probe_connections",
                               .fields = { { "dropped", std::to_string(dropped) } } });
    }
  }

  void LogEventFailure(std::string_view aReason)
  {
    ++failedEvents_;
    log_.Execute(WriteEvent{ .level = LogLevel::Error,
                             .event = "event_failed",
                             .fields = { { "reason", std::string(aReason) } } });
  }

  void LogShortage(const Shortages& aCounts)
  {
    log_.Execute(WriteEvent{
      .level = LogLevel::Warning,
      .event = "request_memory",
      .fields = { { "refused", std::to_string(aCounts.refusedRequests) },
                  { "dropped_slow", std::to_string(aCounts.droppedRequests) },
                  { "dropped_connections", std::to_string(aCounts.droppedConnections) },
                  { "dropped_untaken", std::to_string(aCounts.droppedResponses) },
                  { "bytes", std::to_string(requestMemory_->InUse()) },
                  { "bound", std::to_string(requestMemory_->Bound()) },
                  { "response_bytes", std::to_string(responseMemory_->InUse()) },
                  { "response_bound", std::to_string(responseMemory_->Bound()) } } });
  }

  void Log(std::string aEvent, std::vector<std::pair<std::string, std::string>> aFields)
  {
    log_.Execute(WriteEvent{ .event = std::move(aEvent), .fields = std::move(aFields) });
  }

  const std::string path_;
  EntrySettings settings_;
  kj::Timer& timer_;
  BulkTurns bulkTurns_;
  kj::PromiseFulfillerPair<void> exit_ = kj::newPromiseAndFulfiller<void>();
  std::optional<EntryDaemon> daemon_;
  BootClock clock_;
  WallTime wallOffset_;
  MemoryAccountPtr requestMemory_;
  MemoryAccountPtr responseMemory_;
  EventLog log_;
  CallerPort callers_;
  BackendPort backends_;
  StorePort store_;
  std::optional<CloudPort> cloud_;
  DigestPort digests_;
  ProbePort probe_;
  std::optional<ProbePort> metrics_; // no value: its address could not be bound
  uint64_t failedEvents_ = 0;
  uint64_t loggedProbeConnections_ = 0; // dropped, at the last line about them
};

} // namespace

int RunEntry(const std::string& aSettingsPath)
{
  ReturnLargeAllocations();
  const auto settings = ReadSettings(aSettingsPath);
  if (!settings) {
    std::cerr << settings.error().message << '\n';
    return 2;
  }
  // A write to a closed connection must return an error, not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGHUP);
  LimitDescriptors(settings->maxDescriptors);
  kj::AsyncIoContext io = SetUpEventLoop();
  EntryServer server(aSettingsPath, *settings, io);
  server.Run(io);
  return 0;
}

int CheckEntrySettings(const std::string& aSettingsPath)
{
  const auto settings = ReadSettings(aSettingsPath);
  if (!settings) {
    std::cerr << settings.error().message << '\n';
    return 2;
  }
  std::cout << "the settings are valid\n";
  return 0;
}

} // namespace gooseberrypath::entry
