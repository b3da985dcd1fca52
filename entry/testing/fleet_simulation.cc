#include "entry/testing/fleet_simulation.h"

#include <utility>

#include "entry/store_polling.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration kHeartbeatInterval = 1200ms;
constexpr Duration kEntryTimeout = 3600ms; // after the last heartbeat
constexpr Duration kReturnTime = 2000ms;  // in which backends write again after an outage
constexpr Duration kCallTimeout = 1200ms; // of a call to a silent store
constexpr Duration kAnswerTime = 4ms;
constexpr Duration kWarmUp = 4s;
constexpr Duration kSampleInterval = 100ms;
constexpr int kFailuresUntilUnreachable = 2;
const std::string kService = "booking";

/// A backend that writes heartbeats.
struct SimulatedBackend
{
  BackendEntry entry;
  TimePoint lastHeartbeat{};
  bool isListed = false;
  bool hasLeft = false; // it writes no more heartbeats
};

/// How a daemon polls the store.
struct Poller
{
  std::optional<uint64_t> offset; // of the next read; empty: a snapshot is due
  uint64_t wantedConfirmation = 0;
  uint64_t lastConfirmation = 0;
  size_t readers = kInitialReaderCount;
  int failures = 0;
  std::optional<bool> isReachable;
  bool isReading = false;
  TimePoint due{};   // of the next poll
  uint64_t turn = 0; // number of the scheduled poll; earlier ones are void
};

class FleetSimulation : public DaemonSimulation<FleetSimulation>
{
public:
  explicit FleetSimulation(const FleetScenario& aScenario)
    : DaemonSimulation({ .seed = aScenario.seed,
                         .daemons = aScenario.daemons,
                         .network = aScenario.network })
    , scenario_(aScenario)
    , pollers_(aScenario.daemons)
  {
    const size_t coming = aScenario.wave ? aScenario.wave->backends : 0;
    for (size_t i = 0; i < aScenario.backends + coming; ++i) {
      BackendEntry entry =
        EntryFixture::MakeBackendEntry("b" + std::to_string(i), kService);
      entry.startedMs = 1;
      backends_.push_back({ .entry = std::move(entry) });
      queue_.Add(FirstBeat(i), [this, i] { Beat(i); });
    }
    for (const TimeSpan& outage : aScenario.outages) {
      queue_.Add(kStart + outage.to, [this] { ReturnAfterOutage(); });
    }
  }

  FleetOutcome Play()
  {
    StartDaemons();
    queue_.Add(kStart + kWarmUp, [this] { Sample(); });
    if (scenario_.newVersionAt) {
      queue_.Add(kStart + *scenario_.newVersionAt, [this] { ChangeConfiguration(); });
    }
    if (scenario_.leave) {
      queue_.Add(kStart + scenario_.leave->at, [this] { LeaveTogether(); });
    }
    queue_.RunUntil(kStart + kWarmUp, now_);
    sentBytes_ = 0;
    droppedDatagrams_ = 0;
    outcome_.fleetReads = 0;
    outcome_.unheard = 0;
    queue_.RunUntil(kStart + scenario_.length, now_);
    outcome_.lostAtEnd = CountLost();
    outcome_.sentBytes = sentBytes_;
    outcome_.droppedDatagrams = droppedDatagrams_;
    return outcome_;
  }

  std::vector<Event> FirstEvents(size_t aDaemon)
  {
    pollers_[aDaemon] = Poller{};
    SchedulePoll(aDaemon, 0ms);
    return { ConfigurationRead{
      std::make_shared<const Configuration>(TestConfiguration()) } };
  }

  void Reach(uint64_t) {}

  using DaemonSimulation::Execute;

  void Execute(size_t aDaemon, const ReadFleet& aAction)
  {
    Poller& poller = pollers_[aDaemon];
    if (poller.offset && *poller.offset < aAction.offset) {
      PollEarlier(aDaemon, FleetBatchDelay(poller.readers));
    }
  }

  void Execute(size_t aDaemon, const RefreshFleet&)
  {
    const Poller& poller = pollers_[aDaemon];
    if (!poller.isReading && poller.failures == 0) {
      SchedulePollAt(aDaemon, now_);
    }
  }

  void Execute(size_t aDaemon, const ConfirmFleet& aAction)
  {
    Poller& poller = pollers_[aDaemon];
    poller.wantedConfirmation = aAction.number;
    PollEarlier(aDaemon, StoreRetryDelay(poller.readers));
  }

  void Execute(size_t aDaemon, const SkipFleetRecords& aAction)
  {
    Poller& poller = pollers_[aDaemon];
    if (poller.offset) {
      poller.offset = std::max(*poller.offset, aAction.next);
    }
  }

  void Execute(size_t aDaemon, const ReadConfiguration& aAction)
  {
    const bool fails = IsStoreDownFor(aDaemon);
    const Duration time = fails && scenario_.isSilent ? aAction.timeout : kAnswerTime;
    const StoreRead read{ .topic = StoreTopic::Configuration,
                          .kind = StoreReadKind::Check,
                          .took = time };
    queue_.Add(now_ + time, [this, aDaemon, fails, read] {
      if (!fails && HasNewVersion()) {
        PostNewVersion(aDaemon);
      }
      Post(aDaemon, fails ? std::make_shared<const Event>(TopicReadFailed{ read, "down" })
                          : std::make_shared<const Event>(
                              TopicConfirmed{ .read = read, .age = read.took }));
    });
  }

  void Execute(size_t, const WriteEvent& aAction)
  {
    outcome_.unheard += aAction.event == "peer_unheard" ? 1 : 0;
  }

  void Execute(size_t aDaemon, const SetReaderCount& aAction)
  {
    pollers_[aDaemon].readers = aAction.count;
  }

private:
  bool IsInOutage() const
  {
    return std::ranges::any_of(scenario_.outages, [&](const TimeSpan& aOutage) {
      return now_ >= kStart + aOutage.from && now_ < kStart + aOutage.to;
    });
  }

  /// Tells whether the store is down for a daemon.
  bool IsStoreDownFor(size_t aDaemon) const
  {
    const bool isCutOff = scenario_.cutOff == 0 || aDaemon < scenario_.cutOff;
    return isCutOff && IsInOutage();
  }

  bool HasNewVersion() const
  {
    return scenario_.newVersionAt && now_ >= kStart + *scenario_.newVersionAt;
  }

  void PostNewVersion(size_t aDaemon)
  {
    Post(aDaemon, std::make_shared<const Event>(ConfigurationRead{
                    std::make_shared<const Configuration>(TestConfiguration(2)) }));
  }

  /// The long polls of the daemons that the store answers return.
  void ChangeConfiguration()
  {
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if (!IsStoreDownFor(i)) {
        PostNewVersion(i);
      }
    }
  }

  /// Tells whether the store is down for the backends.
  bool IsStoreDown() const { return scenario_.cutOff == 0 && IsInOutage(); }

  // Backends.

  /// Returns when a backend writes its first heartbeat.
  TimePoint FirstBeat(size_t aBackend)
  {
    if (aBackend < scenario_.backends) {
      return kStart - 2s + Random(kHeartbeatInterval);
    }
    const TimeSpan& during = scenario_.wave->during;
    return kStart + during.from + Random(during.to - during.from);
  }

  void Beat(size_t aBackend)
  {
    SimulatedBackend& backend = backends_[aBackend];
    if (backend.hasLeft) {
      return;
    }
    if (!IsStoreDown()) {
      Write(backend);
    }
    queue_.Add(now_ + kHeartbeatInterval, [this, aBackend] { Beat(aBackend); });
  }

  void Write(SimulatedBackend& aBackend)
  {
    aBackend.entry.sequence += 1;
    aBackend.isListed = true;
    aBackend.lastHeartbeat = now_;
    log_.emplace_back(aBackend.entry);
    queue_.Add(now_ + kEntryTimeout, [this, id = aBackend.entry.id] { Expire(id); });
  }

  /// Removes the entry if no heartbeat came for the timeout.
  void Expire(const std::string& aId)
  {
    const auto found = std::ranges::find_if(
      backends_, [&](const SimulatedBackend& aOne) { return aOne.entry.id == aId; });
    if (found->isListed && found->lastHeartbeat + kEntryTimeout <= now_) {
      found->isListed = false;
      log_.emplace_back(BackendRemoved{ aId });
    }
  }

  /// Each backend writes its entry again some time after the store's return, if the store
  /// is still up then.
  void ReturnAfterOutage()
  {
    for (SimulatedBackend& backend : backends_) {
      queue_.Add(now_ + Random(kReturnTime), [this, &backend] {
        if (!backend.hasLeft && !IsStoreDown()) {
          Write(backend);
        }
      });
    }
  }

  void LeaveTogether()
  {
    leftAt_ = now_;
    lostAnswers_ = scenario_.lostAnswers;
    for (size_t i = 0; i < scenario_.leaving; ++i) {
      LeaveOne(backends_[i]);
    }
  }

  bool HasLeft(size_t aBackend) const { return leftAt_ && aBackend < scenario_.leaving; }

  void LeaveOne(SimulatedBackend& aBackend)
  {
    switch (scenario_.leave->kind) {
      case LeaveKind::EntryRemoved:
        aBackend.hasLeft = true;
        aBackend.isListed = false;
        log_.emplace_back(BackendRemoved{ aBackend.entry.id });
        return;
      case LeaveKind::EntryDraining:
        aBackend.entry.isLeaving = true;
        Write(aBackend);
        return;
      case LeaveKind::Response:
        // The daemon that the backend told sends it on at once.
        Post(
          0,
          std::make_shared<const Event>(DigestReceived{
            .from = "10.9.9.9:1",
            .digest = { .daemon = "told",
                        .incarnation = 1,
                        .sequence = 1,
                        .leaving = { { .id = aBackend.entry.id, .startedMs = 1 } } } }));
        return;
    }
  }

  // Polling of the store, as entry/store_port.h does it.

  void SchedulePoll(size_t aDaemon, Duration aDelay)
  {
    SchedulePollAt(aDaemon, now_ + aDelay / 2 + Random(aDelay) + 1ms);
  }

  void SchedulePollAt(size_t aDaemon, TimePoint aDue)
  {
    Poller& poller = pollers_[aDaemon];
    poller.due = aDue;
    queue_.Add(poller.due, [this, aDaemon, turn = ++poller.turn] {
      if (turn == pollers_[aDaemon].turn) {
        BeginPoll(aDaemon);
      }
    });
  }

  void PollEarlier(size_t aDaemon, Duration aDelay)
  {
    const Poller& poller = pollers_[aDaemon];
    if (!poller.isReading && now_ + aDelay < poller.due) {
      SchedulePoll(aDaemon, aDelay);
    }
  }

  void BeginPoll(size_t aDaemon)
  {
    Poller& poller = pollers_[aDaemon];
    poller.isReading = true;
    const bool isLost = lostAnswers_ > 0;
    lostAnswers_ -= isLost ? 1 : 0;
    const bool fails = isLost || IsStoreDownFor(aDaemon);
    const bool isSilent = isLost || scenario_.isSilent;
    const Duration time = fails && isSilent ? kCallTimeout : kAnswerTime;
    ++outcome_.fleetReads;
    queue_.Add(now_ + time, [this, aDaemon, confirms = poller.wantedConfirmation, fails] {
      pollers_[aDaemon].isReading = false;
      EndPoll(aDaemon, confirms, fails);
    });
  }

  void EndPoll(size_t aDaemon, uint64_t aConfirms, bool aFails)
  {
    Poller& poller = pollers_[aDaemon];
    const bool followsFailure = poller.failures > 0;
    poller.failures = aFails ? poller.failures + 1 : 0;

    const bool isKnown = !aFails || poller.failures >= kFailuresUntilUnreachable;
    if (isKnown && poller.isReachable != !aFails) {
      poller.isReachable = !aFails;
      Post(aDaemon,
           std::make_shared<const Event>(StoreReachabilityChanged{ !aFails, "down" }));
    }
    if (aFails) {
      SchedulePoll(aDaemon, StoreRetryDelay(poller.readers));
      return;
    }
    FleetRead read{ .isSnapshot = !poller.offset,
                    .next = log_.size(),
                    .followsFailure = followsFailure };
    if (std::exchange(poller.lastConfirmation, aConfirms) != aConfirms) {
      read.confirms = aConfirms;
    }
    if (read.isSnapshot) {
      for (const SimulatedBackend& backend : backends_) {
        if (backend.isListed) {
          read.changes.emplace_back(backend.entry);
        }
      }
    } else {
      read.changes = { log_.begin() + static_cast<long>(*poller.offset), log_.end() };
    }
    poller.offset = log_.size();
    const bool isWanted = poller.wantedConfirmation > poller.lastConfirmation;
    if (isWanted) {
      SchedulePoll(aDaemon, StoreRetryDelay(poller.readers));
    } else {
      const double uniform = Seconds(Random(1s));
      SchedulePollAt(aDaemon, now_ + FleetPollWait(poller.readers, uniform) + 1ms);
    }
    if (read.isSnapshot || !read.changes.empty() || read.confirms != 0 ||
        read.followsFailure) {
      Post(aDaemon, std::make_shared<const Event>(std::move(read)));
    }
    Post(aDaemon, std::make_shared<const Event>(TopicConfirmed{
                    .read = { .topic = StoreTopic::Fleet, .took = kAnswerTime },
                    .age = kAnswerTime }));
  }

  // Measurement.

  bool Uses(size_t aDaemon, const std::string& aBackend) const
  {
    const BackendRow* row = daemons_[aDaemon].core->GetWorld().backends.Find(aBackend);
    return row != nullptr && IsUsable(*row, now_);
  }

  /// Counts the live backends of the start that a daemon does not use.
  size_t CountLostAt(size_t aDaemon) const
  {
    size_t lost = 0;
    for (size_t i = 0; i < scenario_.backends; ++i) {
      lost += !HasLeft(i) && !Uses(aDaemon, backends_[i].entry.id) ? 1 : 0;
    }
    return lost;
  }

  /// Tells whether a daemon uses a backend that has left.
  bool UsesLeft(size_t aDaemon) const
  {
    for (size_t i = 0; i < scenario_.leaving; ++i) {
      if (Uses(aDaemon, backends_[i].entry.id)) {
        return true;
      }
    }
    return false;
  }

  size_t CountLost() const
  {
    size_t lost = 0;
    for (size_t i = 0; i < daemons_.size(); ++i) {
      lost += CountLostAt(i);
    }
    return lost;
  }

  void Sample()
  {
    for (size_t i = 0; i < daemons_.size(); ++i) {
      const auto lost = static_cast<double>(CountLostAt(i));
      outcome_.lostSeconds += lost * Seconds(kSampleInterval);
      outcome_.leastUsed =
        std::min(outcome_.leastUsed, 1 - lost / static_cast<double>(scenario_.backends));
    }
    if (leftAt_) {
      bool isUsed = false;
      for (size_t i = 0; i < daemons_.size(); ++i) {
        isUsed = isUsed || UsesLeft(i);
      }
      outcome_.isBackUsed = outcome_.isBackUsed || (haveAllStopped_ && isUsed);
      haveAllStopped_ = haveAllStopped_ || !isUsed;
      outcome_.lastToStop = haveAllStopped_ ? outcome_.lastToStop : now_ - *leftAt_;
    }
    queue_.Add(now_ + kSampleInterval, [this] { Sample(); });
  }

  const FleetScenario scenario_;
  std::vector<SimulatedBackend> backends_;
  std::vector<FleetChange> log_;
  std::vector<Poller> pollers_;
  std::optional<TimePoint> leftAt_;
  size_t lostAnswers_ = 0; // so many of the next reads are not answered
  bool haveAllStopped_ = false;
  FleetOutcome outcome_;
};

} // namespace

FleetOutcome PlayFleet(const FleetScenario& aScenario)
{
  return FleetSimulation(aScenario).Play();
}

} // namespace gooseberrypath::entry
