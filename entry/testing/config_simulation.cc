#include "entry/testing/config_simulation.h"

#include <utility>

#include "entry/store_port.h"
#include "gooseberrypath/http_io.h"
#include "platform/store_client.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 5ms; // in which the ports are advanced

std::string ConfigurationText(uint64_t aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[],"services":[]})";
}

class ConfigSimulation : public DaemonSimulation<ConfigSimulation>
{
public:
  explicit ConfigSimulation(const ConfigScenario& aScenario)
    : DaemonSimulation({ .seed = aScenario.seed,
                         .daemons = aScenario.daemons,
                         .network = { .lossRate = aScenario.datagramLoss } })
    , scenario_(aScenario)
    , wait_(loop_)
    , timer_(kj::origin<kj::TimePoint>())
    , store_(timer_)
    , ports_(aScenario.daemons)
  {
    SeedJitter(static_cast<uint32_t>(aScenario.seed));
    for (const Outage& outage : aScenario.outages) {
      store_.Add(outage);
    }
  }

  ConfigOutcome Play()
  {
    WriteVersion();
    StartDaemons();
    for (const Duration change : scenario_.changes) {
      outcome_.changes.push_back({ .acknowledged = change, .inForce = {} });
      queue_.Add(kStart + change, [this] { WriteVersion(); });
    }
    queue_.Add(kStart + kStep, [this] { AdvancePorts(); });
    queue_.RunUntil(kStart + scenario_.length, now_);
    const Duration counted = scenario_.length - scenario_.countsFrom;
    for (const auto& [topic, calls] : store_.CallsSince(scenario_.countsFrom)) {
      outcome_.callsPerSecond[topic] = static_cast<double>(calls) / Seconds(counted);
    }
    return outcome_;
  }

  std::vector<Event> FirstEvents(size_t aDaemon)
  {
    const std::string process = daemons_[aDaemon].Process();
    ports_[aDaemon] = std::make_unique<StorePort>(StorePortOptions{
      .network = store_.NetworkOf(aDaemon),
      .timer = timer_,
      .sink =
        [this, aDaemon, process](Event aEvent) {
          PostTo(aDaemon, process, std::make_shared<const Event>(std::move(aEvent)));
        },
      .address = "10.9.0.1:8361",
      .host = daemons_[aDaemon].host,
      .peerAddress = daemons_[aDaemon].address });
    ports_[aDaemon]->Start();
    return {};
  }

  void Reach(uint64_t) {}

  using DaemonSimulation::Execute;

  void Execute(size_t aDaemon, const ReadFleet& aAction) { Pass(aDaemon, aAction); }
  void Execute(size_t aDaemon, const RefreshFleet& aAction) { Pass(aDaemon, aAction); }
  void Execute(size_t aDaemon, const ConfirmFleet& aAction) { Pass(aDaemon, aAction); }
  void Execute(size_t aDaemon, const NoteStoreEra& aAction) { Pass(aDaemon, aAction); }
  void Execute(size_t aDaemon, const SetReaderCount& aAction) { Pass(aDaemon, aAction); }
  void Execute(size_t aDaemon, const ReadConfiguration& aAction)
  {
    Pass(aDaemon, aAction);
  }
  void Execute(size_t aDaemon, const SkipFleetRecords& aAction)
  {
    Pass(aDaemon, aAction);
  }

private:
  template<typename A>
  void Pass(size_t aDaemon, const A& aAction)
  {
    ports_[aDaemon]->Execute(aAction);
  }

  void WriteVersion()
  {
    store_.Write(std::string(platform::kConfigTopic), std::string(platform::kConfigKey),
                 ConfigurationText(++version_));
  }

  /// Lets the ports run up to the current time.
  void AdvancePorts()
  {
    const auto time = std::chrono::duration_cast<Duration>(now_ - kStart);
    timer_.advanceTo(kj::origin<kj::TimePoint>() + ToKj(time));
    wait_.poll();
    NoteVersionsInForce();
    queue_.Add(now_ + kStep, [this] { AdvancePorts(); });
  }

  void NoteVersionsInForce()
  {
    uint64_t oldest = version_;
    for (const SimulatedDaemon& daemon : daemons_) {
      const bool hasOne = daemon.core && daemon.core->GetWorld().configuration;
      oldest = std::min(oldest, hasOne ? daemon.core->GetWorld().configuration->version
                                       : uint64_t{ 0 });
    }
    // The first version is written before the first change.
    for (size_t i = 0; i < outcome_.changes.size() && i + 2 <= oldest; ++i) {
      if (!outcome_.changes[i].inForce) {
        outcome_.changes[i].inForce = now_ - kStart;
      }
    }
  }

  const ConfigScenario scenario_;
  kj::EventLoop loop_;
  kj::WaitScope wait_;
  kj::TimerImpl timer_;
  SimulatedStore store_;
  std::vector<std::unique_ptr<StorePort>> ports_;
  uint64_t version_ = 0;
  ConfigOutcome outcome_;
};

} // namespace

ConfigOutcome PlayConfig(const ConfigScenario& aScenario)
{
  return ConfigSimulation(aScenario).Play();
}

} // namespace gooseberrypath::entry
