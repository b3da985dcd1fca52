// Plays many entry daemons on virtual time. The daemons are whole cores; the network
// between them loses, delays and repeats datagrams. A simulation derives from it and adds
// backends, callers and a script. It provides
//
//   std::vector<Event> FirstEvents(size_t daemon);  // what a started daemon reads
//   void Reach(uint64_t attempt);                   // an attempt's bytes arrive
//   void Execute(size_t daemon, const SomeAction&); // actions that have an effect
//
// and inherits the overloads of Execute() for what happens between daemons.

#ifndef ENTRY_TESTING_DAEMON_SIMULATION_H_
#define ENTRY_TESTING_DAEMON_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "entry/entry_core.h"
#include "entry/testing/event_queue.h"

namespace gooseberrypath::entry {

inline double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

/// A span in which something holds.
struct TimeSpan
{
  Duration from{};
  Duration to{};
};

enum class DaemonFaultKind : uint8_t
{
  Kill,
  PlannedStop,
  Freeze,
};

/// Something that happens to one daemon. It is back after the time.
struct DaemonFault
{
  DaemonFaultKind kind = DaemonFaultKind::Kill;
  Duration at{};
  size_t daemon = 0;
  Duration lasts{};
};

/// The link by which a daemon sends. What finds its queue full is lost.
struct LinkLimits
{
  double bytesPerSecond = 1'250'000;
  double queueBytes = 60'000;
};

/// What happens to the datagrams between daemons.
struct NetworkFaults
{
  double lossRate = 0;         // of datagrams
  double lateRate = 0;         // of datagrams, by up to a second
  double repeatRate = 0;       // of datagrams
  std::optional<TimeSpan> cut; // two halves of the daemons do not hear each other
  double islandShare = 0;      // in a cut, this share of the daemons hears nobody instead
  double groupShare = 0; // in a cut, this share of the daemons does not hear the others
  std::optional<LinkLimits> link;                     // of each daemon
  Duration minDelay = std::chrono::microseconds(500); // of datagrams that are not late
  Duration maxDelay = std::chrono::microseconds(2500);
};

struct DaemonSimulationOptions
{
  uint64_t seed = 1;
  size_t daemons = 8;
  bool knowPeers = true; // daemons are told the addresses of the others
  NetworkFaults network;
};

/// A daemon, which may be down or frozen.
struct SimulatedDaemon
{
  std::string host;
  std::string address;
  uint64_t incarnation = 0;
  std::unique_ptr<EntryCore> core; // null while it is down
  std::optional<TimePoint> frozenUntil;
  TimePoint startedAt{};
  TimePoint thawedAt{};
  std::deque<std::function<void()>> frozenEvents;
  std::optional<TimePoint> wakeUpAt;
  TimePoint linkFreeAt{}; // its link has sent all that was queued

  std::string Process() const { return host + "/" + std::to_string(incarnation); }
};

struct SimulatedAttempt
{
  size_t daemon = 0;
  StartAttempt start;
  bool isSent = false;
};

/// `Derived` is the class that derives from this one.
template<typename Derived>
class DaemonSimulation
{
protected:
  static constexpr TimePoint kStart{ std::chrono::seconds(1000) };
  static constexpr size_t kHeaderBytes = 28; // of a datagram: IP and UDP

  explicit DaemonSimulation(DaemonSimulationOptions aOptions)
    : options_(std::move(aOptions))
    , random_(options_.seed)
    , daemons_(options_.daemons)
  {
  }

  Duration Random(Duration aMax)
  {
    return FromSeconds(std::uniform_real_distribution<double>(0, Seconds(aMax))(random_));
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(random_) < aProbability;
  }

  Duration RandomDelay(double aMeanSeconds)
  {
    return FromSeconds(std::exponential_distribution<double>(1 / aMeanSeconds)(random_));
  }

  /// Starts all daemons within a short time.
  void StartDaemons()
  {
    using namespace std::chrono_literals;
    for (size_t i = 0; i < daemons_.size(); ++i) {
      daemons_[i].host = "d" + std::to_string(i);
      daemons_[i].address = "10.0.0." + std::to_string(i) + ":7500";
      daemonOfAddress_[daemons_[i].address] = i;
      queue_.Add(kStart + Random(300ms), [this, i] { StartDaemon(i); });
    }
  }

  void StartDaemon(size_t aDaemon)
  {
    using namespace std::chrono_literals;
    SimulatedDaemon& daemon = daemons_[aDaemon];
    daemon.incarnation = static_cast<uint64_t>(now_.time_since_epoch().count());
    daemon.startedAt = now_;
    daemon.core = std::make_unique<EntryCore>(
      EntryOptions{ .host = daemon.host, // clocks of daemons differ
                    .incarnation = daemon.incarnation,
                    .dataCentre = "c1",
                    .dataCentres = { "c1" },
                    .peerAddress = daemon.address,
                    .wallOffset = std::chrono::milliseconds(random_() % 400),
                    .seed = random_(),
                    .retryBudget = { .extra = 1000 } },
      now_);
    std::vector<Event> events = Self().FirstEvents(aDaemon);
    PeerAddressesRead peers;
    if (options_.knowPeers) {
      for (const SimulatedDaemon& other : daemons_) {
        peers.addresses.push_back(other.address);
      }
    }
    events.emplace_back(std::move(peers));
    const std::string process = daemon.Process();
    queue_.Add(now_ + 50ms, [this, aDaemon, process, events] {
      for (const Event& event : events) {
        PostTo(aDaemon, process, std::make_shared<const Event>(event));
      }
    });
    Pump(aDaemon);
  }

  void KillDaemon(size_t aDaemon)
  {
    SimulatedDaemon& daemon = daemons_[aDaemon];
    daemon.core.reset();
    daemon.frozenUntil.reset();
    daemon.frozenEvents.clear();
    daemon.wakeUpAt.reset();
    std::erase_if(attempts_,
                  [&](const auto& aItem) { return aItem.second.daemon == aDaemon; });
  }

  void Apply(const DaemonFault& aFault)
  {
    SimulatedDaemon& daemon = daemons_[aFault.daemon];
    if (!daemon.core) {
      return;
    }
    if (aFault.kind == DaemonFaultKind::Freeze) {
      daemon.frozenUntil = now_ + aFault.lasts;
      queue_.Add(now_ + aFault.lasts, [this, id = aFault.daemon] { Thaw(id); });
      return;
    }
    if (aFault.kind == DaemonFaultKind::PlannedStop) {
      Post(aFault.daemon, std::make_shared<const Event>(StopRequested{}));
      return;
    }
    KillDaemon(aFault.daemon);
    queue_.Add(now_ + aFault.lasts, [this, id = aFault.daemon] { StartDaemon(id); });
  }

  void Schedule(std::span<const DaemonFault> aFaults)
  {
    for (const DaemonFault& fault : aFaults) {
      queue_.Add(kStart + fault.at, [this, fault] { Apply(fault); });
    }
  }

  void Thaw(size_t aDaemon)
  {
    SimulatedDaemon& daemon = daemons_[aDaemon];
    if (!daemon.frozenUntil || *daemon.frozenUntil > now_) {
      return;
    }
    daemon.frozenUntil.reset();
    daemon.thawedAt = now_;
    for (const auto& event : std::exchange(daemon.frozenEvents, {})) {
      event();
    }
    Pump(aDaemon);
  }

  /// Tells whether a caller can reach the daemon.
  bool IsServing(size_t aDaemon) const
  {
    return daemons_[aDaemon].core && !daemons_[aDaemon].frozenUntil;
  }

  /// Passes an event to a daemon, after its freeze if it is frozen. A daemon that is down
  /// gets nothing.
  void Post(size_t aDaemon, const std::shared_ptr<const Event>& aEvent)
  {
    PostTo(aDaemon, daemons_[aDaemon].Process(), aEvent);
  }

  /// Passes an event to this process of a daemon.
  void PostTo(size_t aDaemon, const std::string& aProcess,
              const std::shared_ptr<const Event>& aEvent)
  {
    SimulatedDaemon& daemon = daemons_[aDaemon];
    if (!daemon.core || daemon.Process() != aProcess) {
      return;
    }
    if (daemon.frozenUntil) {
      daemon.frozenEvents.emplace_back(
        [this, aDaemon, aProcess, aEvent] { PostTo(aDaemon, aProcess, aEvent); });
      return;
    }
    daemon.core->SetTime(now_);
    daemon.core->Handle(*aEvent);
    Pump(aDaemon);
  }

  /// Runs a tick of the daemon, executes its actions and schedules its next tick.
  void Pump(size_t aDaemon)
  {
    SimulatedDaemon& daemon = daemons_[aDaemon];
    if (!daemon.core || daemon.frozenUntil) {
      return;
    }
    daemon.core->Tick(now_);
    const std::string process = daemon.Process();
    for (const Action& action : daemon.core->TakeActions()) {
      if (daemon.core && daemon.Process() == process) {
        std::visit([&](const auto& aOne) { Self().Execute(aDaemon, aOne); }, action);
      }
    }
    ScheduleWakeUp(aDaemon);
  }

  // The network between daemons.

  bool IsCut(size_t aLeft, size_t aRight) const
  {
    const Duration age = now_ - kStart;
    const auto& cut = options_.network.cut;
    if (!cut || age < cut->from || age >= cut->to) {
      return false;
    }
    if (options_.network.islandShare > 0) {
      return IsIsland(aLeft) || IsIsland(aRight);
    }
    if (options_.network.groupShare > 0) {
      return IsInGroup(aLeft) != IsInGroup(aRight);
    }
    return aLeft % 2 != aRight % 2;
  }

  bool IsIsland(size_t aDaemon) const
  {
    return static_cast<double>(aDaemon) <
           options_.network.islandShare * static_cast<double>(daemons_.size());
  }

  size_t DaemonOf(const std::string& aAddress) const
  {
    return daemonOfAddress_.at(aAddress);
  }

  /// Tells whether the daemon is in the group that a cut separates from the others.
  bool IsInGroup(size_t aDaemon) const
  {
    const size_t offset = (aDaemon + daemons_.size() - firstOfGroup_) % daemons_.size();
    return static_cast<double>(offset) <
           options_.network.groupShare * static_cast<double>(daemons_.size());
  }

  /// Sends a datagram, which may be lost, late or repeated.
  void SendDatagram(size_t aFrom, const std::string& aTo,
                    const std::shared_ptr<const Event>& aEvent)
  {
    using namespace std::chrono_literals;
    const auto found = daemonOfAddress_.find(aTo);
    if (found == daemonOfAddress_.end() || IsCut(aFrom, found->second)) {
      return;
    }
    const NetworkFaults& network = options_.network;
    const int copies = Chance(network.repeatRate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Chance(network.lossRate)) {
        continue;
      }
      const Duration delay =
        Chance(network.lateRate)
          ? Random(1s)
          : network.minDelay + Random(network.maxDelay - network.minDelay);
      queue_.Add(now_ + delay, [this, to = found->second, aEvent] { Post(to, aEvent); });
    }
  }

  void Execute(size_t aDaemon, const SendDigest& aAction)
  {
    const auto event = std::make_shared<const Event>(
      DigestReceived{ .from = daemons_[aDaemon].address, .digest = aAction.digest });
    const size_t bytes =
      options_.network.link ? EncodeDigest(aAction.digest).size() + kHeaderBytes : 0;
    for (const std::string& to : aAction.to) {
      if (const auto queued = PassLink(aDaemon, bytes)) {
        queue_.Add(now_ + *queued,
                   [this, aDaemon, to, event] { SendDatagram(aDaemon, to, event); });
      }
    }
  }

  /// Puts a datagram of this size into the queue of the daemon's link. Returns how long
  /// it waits there; no value if the queue is full.
  std::optional<Duration> PassLink(size_t aDaemon, size_t aBytes)
  {
    if (!options_.network.link) {
      return Duration::zero();
    }
    const LinkLimits& link = *options_.network.link;
    TimePoint& freeAt = daemons_[aDaemon].linkFreeAt;
    freeAt = std::max(freeAt, now_);
    sentBytes_ += aBytes;
    const double queued = Seconds(freeAt - now_) * link.bytesPerSecond;
    if (queued + static_cast<double>(aBytes) > link.queueBytes) {
      ++droppedDatagrams_;
      return std::nullopt;
    }
    freeAt += FromSeconds(static_cast<double>(aBytes) / link.bytesPerSecond);
    return freeAt - now_;
  }

  void Execute(size_t aDaemon, const SendPermitMessage& aAction)
  {
    const std::string& from = daemons_[aDaemon].address;
    if (const auto* request = std::get_if<PermitRequest>(&aAction.message)) {
      SendDatagram(
        aDaemon, aAction.to,
        std::make_shared<const Event>(PermitRequestReceived{ from, *request }));
    } else {
      SendDatagram(aDaemon, aAction.to,
                   std::make_shared<const Event>(
                     PermitReplyReceived{ std::get<PermitReply>(aAction.message) }));
    }
  }

  void Execute(size_t aDaemon, const SendPlacementMessage& aAction)
  {
    const std::string& from = daemons_[aDaemon].address;
    Event event;
    if (const auto* request = std::get_if<PlaceRequest>(&aAction.message)) {
      event = PlaceRequestReceived{ from, *request };
    } else if (const auto* reply = std::get_if<PlaceReply>(&aAction.message)) {
      event = PlaceReplyReceived{ from, *reply };
    } else {
      event = PlaceReleaseReceived{ std::get<PlaceRelease>(aAction.message) };
    }
    SendDatagram(aDaemon, aAction.to, std::make_shared<const Event>(std::move(event)));
  }

  void Execute(size_t aDaemon, const ExitProcess&)
  {
    KillDaemon(aDaemon);
    queue_.Add(now_ + std::chrono::seconds(1), [this, aDaemon] { StartDaemon(aDaemon); });
  }

  // Attempts at backends.

  void Execute(size_t aDaemon, const StartAttempt& aAction)
  {
    using namespace std::chrono_literals;
    const uint64_t id = ++lastAttempt_;
    attemptIds_[{ aDaemon, aAction.attempt.value }] = id;
    attempts_[id] = SimulatedAttempt{ .daemon = aDaemon, .start = aAction };
    queue_.Add(now_ + 500us + Random(1ms), [this, id] { Connect(id); });
  }

  void Execute(size_t aDaemon, const CancelAttempt& aAction)
  {
    const auto found = attemptIds_.find({ aDaemon, aAction.attempt.value });
    if (found != attemptIds_.end()) {
      attempts_.erase(found->second);
    }
  }

  void Execute(size_t aDaemon, const WithdrawAttempt& aAction)
  {
    const auto id = attemptIds_.find({ aDaemon, aAction.attempt.value });
    const auto found =
      id == attemptIds_.end() ? attempts_.end() : attempts_.find(id->second);
    if (found != attempts_.end() && found->second.isSent) {
      return;
    }
    if (found != attempts_.end()) {
      attempts_.erase(found);
    }
    const auto event = std::make_shared<const Event>(AttemptWithdrawn{ aAction.attempt });
    queue_.Add(now_, [this, aDaemon, process = daemons_[aDaemon].Process(), event] {
      PostTo(aDaemon, process, event);
    });
  }

  /// The derived classes post each change of the fleet at once, so there is no later one.
  void Execute(size_t aDaemon, const ConfirmFleet& aAction)
  {
    const World& world = daemons_[aDaemon].core->GetWorld();
    const auto event =
      std::make_shared<const Event>(FleetRead{ .next = world.fleetListing.Next(),
                                               .era = world.storeEra,
                                               .confirms = aAction.number });
    queue_.Add(now_, [this, aDaemon, process = daemons_[aDaemon].Process(), event] {
      PostTo(aDaemon, process, event);
    });
  }

  /// Other actions have no effect.
  template<typename A>
  void Execute(size_t, const A&)
  {
  }

  void Connect(uint64_t aId)
  {
    const auto found = attempts_.find(aId);
    if (found == attempts_.end()) {
      return;
    }
    SimulatedAttempt& attempt = found->second;
    SimulatedDaemon& daemon = daemons_[attempt.daemon];
    if (daemon.frozenUntil) {
      // The connection is established when the daemon runs again.
      daemon.frozenEvents.emplace_back([this, aId] { Connect(aId); });
      return;
    }
    if (now_ > attempt.start.sendBy) {
      PostForAttempt(aId, AttemptNotSent{ attempt.start.attempt, "too late" }, true);
      return;
    }
    attempt.isSent = true;
    Self().Reach(aId);
  }

  /// Passes an event of an attempt to its daemon.
  template<typename E>
  void PostForAttempt(uint64_t aId, const E& aEvent, bool aIsLast)
  {
    const auto found = attempts_.find(aId);
    if (found == attempts_.end()) {
      return;
    }
    const size_t daemon = found->second.daemon;
    if (aIsLast) {
      attempts_.erase(found);
    }
    Post(daemon, std::make_shared<const Event>(aEvent));
  }

  const DaemonSimulationOptions options_;
  std::mt19937_64 random_;
  std::vector<SimulatedDaemon> daemons_;
  std::map<uint64_t, SimulatedAttempt> attempts_;
  EventQueue queue_;
  TimePoint now_ = kStart;
  size_t firstOfGroup_ = 0;
  uint64_t sentBytes_ = 0; // with a link, of digests
  uint64_t droppedDatagrams_ = 0;

private:
  Derived& Self() { return static_cast<Derived&>(*this); }

  void ScheduleWakeUp(size_t aDaemon)
  {
    SimulatedDaemon& daemon = daemons_[aDaemon];
    const auto due = daemon.core ? daemon.core->NextDue() : std::nullopt;
    if (!due || (daemon.wakeUpAt && *daemon.wakeUpAt <= *due)) {
      return;
    }
    daemon.wakeUpAt = std::max(*due, now_);
    queue_.Add(*daemon.wakeUpAt, [this, aDaemon, at = *daemon.wakeUpAt] {
      SimulatedDaemon& woken = daemons_[aDaemon];
      if (woken.wakeUpAt == at) {
        woken.wakeUpAt.reset();
        Pump(aDaemon);
      }
    });
  }

  std::map<std::string, size_t> daemonOfAddress_;
  std::map<std::pair<size_t, uint64_t>, uint64_t> attemptIds_;
  uint64_t lastAttempt_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_DAEMON_SIMULATION_H_
