#include "entry/testing/placement_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <ostream>
#include <random>
#include <set>

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr size_t kBackends = 3;
constexpr uint32_t kSlots = 6;
constexpr double kMeanWorkSeconds = 0.03;
constexpr double kNarrowSpread = 0.2;
constexpr double kMeanBurst = 3; // calls that arrive at the same time
constexpr Duration kPaceInterval = 600ms;
constexpr double kSlowShare = 0.15; // of the time
constexpr double kSlowPace = 2.5;
constexpr double kPaceSpread = 0.1;
constexpr double kMeanPace = kSlowShare * kSlowPace + (1 - kSlowShare);

constexpr Duration kMinDelay = 200us; // of the network, one way
constexpr Duration kMaxDelay = 1400us;

// The longest time from the end of a call to the arrival of the next one at the same
// slot: response, release, reply and connection.
constexpr Duration kHandOverTime = 6ms;

constexpr Duration kCallTimeout = 2s;
// With it, today's choice refuses about as many calls as it did on a deployment of 78
// daemons.
constexpr Duration kLatencyObjective = 300ms;
constexpr double kMaxObjectives = 1.3; // a later start is refused

// Daemons learn of all peers first. Then each needs a load report of its own before its
// calls are placed, and an idea of how long calls take, so the first ones do not count.
constexpr Duration kFirstArrivalAfter = 2500ms;
constexpr Duration kMeasuredAfter = 4s;
constexpr Duration kWarmUp = kMeasuredAfter - kFirstArrivalAfter;

// After this time from the end of a fault, the daemons agree on the placer again.
constexpr Duration kFaultEffect = 2s;

constexpr size_t kMinUneven = 3; // calls above the least loaded backend
constexpr double kCutShare = 1.0 / 3;

/// A call and the work that it needs at the usual pace.
struct PlannedCall
{
  Duration at{}; // after the first one
  size_t daemon = 0;
  bool mayRepeat = false;
  Duration work{};
};

/// The calls of a scenario and the pace of its backends, which do not depend on the
/// placement.
class Demand
{
public:
  explicit Demand(const PlacementScenario& aScenario)
    : random_(aScenario.seed * 1000003 + aScenario.daemons)
  {
    const Duration end = kWarmUp + aScenario.length + 2 * kCallTimeout;
    for (Duration at{}; at < end; at += kPaceInterval) {
      std::array<double, kBackends> paces{};
      for (double& pace : paces) {
        pace = Uniform(0, 1) < kSlowShare ? kSlowPace
                                          : Uniform(1 - kPaceSpread, 1 + kPaceSpread);
      }
      paces_.push_back(paces);
    }
    const double callsPerSecond =
      aScenario.load * kBackends * kSlots / (kMeanWorkSeconds * kMeanPace);
    for (Duration at{}; at < kWarmUp + aScenario.length;
         at += Exponential(kMeanBurst / callsPerSecond)) {
      do {
        calls.push_back(
          { .at = at,
            .daemon = random_() % aScenario.daemons,
            .mayRepeat = random_() % 2 == 0,
            .work = aScenario.work == WorkSpread::Exponential
                      ? Exponential(kMeanWorkSeconds)
                      : FromSeconds(kMeanWorkSeconds *
                                    Uniform(1 - kNarrowSpread, 1 + kNarrowSpread)) });
      } while (Uniform(0, 1) >= 1 / kMeanBurst);
    }
  }

  /// Returns the pace of a backend at a time after the first call.
  double PaceOf(size_t aBackend, Duration aAt) const
  {
    const auto step =
      static_cast<size_t>(std::max(aAt, Duration::zero()) / kPaceInterval);
    return paces_.at(std::min(step, paces_.size() - 1)).at(aBackend);
  }

private:
  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(random_);
  }

  Duration Exponential(double aMeanSeconds)
  {
    return FromSeconds(std::exponential_distribution<double>(1 / aMeanSeconds)(random_));
  }

  std::mt19937_64 random_;
  std::vector<std::array<double, kBackends>> paces_;

public:
  std::vector<PlannedCall> calls; // in the order of their times
};

double Milliseconds(Duration aTime)
{
  return 1000 * Seconds(aTime);
}

ConfigurationPtr ShopConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 1;
  const auto add = [&](const std::string& aName, CallKind aKind, uint32_t aMaxAttempts) {
    configuration->routes.push_back({ .name = aName,
                                      .host = "h",
                                      .pathPrefix = "/" + aName + "/",
                                      .kind = aKind,
                                      .timeout = kCallTimeout,
                                      .latencyObjective = kLatencyObjective,
                                      .priority = 1,
                                      .maxAttempts = aMaxAttempts,
                                      .isPublic = true,
                                      .services = { { "shop", 1 } } });
  };
  add("lookup", CallKind::Idempotent, 2);
  add("order", CallKind::NonIdempotent, 1);
  configuration->services["shop"] = Service{ .name = "shop" };
  return configuration;
}

/// A backend that starts its calls in the order of their arrival.
struct Backend
{
  BackendEntry entry;
  std::deque<uint64_t> waiting;    // attempts
  uint32_t running = 0;            // calls
  std::deque<TimePoint> freeSince; // of each free slot, the longest first
};

struct SimulatedCall
{
  PlannedCall plan;
  TimePoint arrived;
  std::string process; // of the daemon that accepted it
  Duration ran{};      // time in the slot of its last attempt
  uint32_t runs = 0;
  bool isChosen = false; // it had an attempt
  bool isSent = false;
};

class PlacementSimulation : public DaemonSimulation<PlacementSimulation>
{
  friend DaemonSimulation;

public:
  explicit PlacementSimulation(const PlacementScenario& aScenario)
    : DaemonSimulation({ .seed = aScenario.seed,
                         .daemons = aScenario.daemons,
                         .network = NetworkOf(aScenario) })
    , scenario_(aScenario)
    , demand_(aScenario)
    , configuration_(ShopConfiguration())
  {
    for (size_t i = 0; i < kBackends; ++i) {
      const std::string number = std::to_string(i);
      backends_.at(i) = { .entry = { .id = "b" + number,
                                     .service = "shop",
                                     .address = "10.1.0." + number + ":80",
                                     .dataCentre = "c1",
                                     .slots = kSlots,
                                     .startedMs = i + 1,
                                     .sequence = 1 },
                          .freeSince = std::deque<TimePoint>(kSlots, kStart) };
    }
  }

  PlacementOutcome Run()
  {
    StartDaemons();
    for (size_t i = 0; i < demand_.calls.size(); ++i) {
      queue_.Add(kFirstArrival + demand_.calls[i].at, [this, i] { PostCall(i); });
    }
    if (scenario_.fault) {
      queue_.Add(kMeasured + scenario_.fault->at, [this] { HitPlacer(); });
    }
    const TimePoint lastCall = kMeasured + scenario_.length;
    queue_.RunUntil(lastCall, now_);
    RemoveBrokenCalls();
    while (!calls_.empty() && now_ < lastCall + 2 * kCallTimeout) {
      queue_.RunUntil(now_ + 50ms, now_);
      RemoveBrokenCalls();
    }
    outcome_.lost = calls_.size();
    std::ranges::sort(outcome_.waitsMs);
    return outcome_;
  }

private:
  static constexpr TimePoint kFirstArrival = kStart + kFirstArrivalAfter;
  static constexpr TimePoint kMeasured = kStart + kMeasuredAfter;

  static NetworkFaults NetworkOf(const PlacementScenario& aScenario)
  {
    NetworkFaults network{ .lossRate = aScenario.lossRate,
                           .lateRate = aScenario.lateRate,
                           .minDelay = kMinDelay,
                           .maxDelay = kMaxDelay };
    if (aScenario.fault && aScenario.fault->kind == PlacerFaultKind::CutOff) {
      const Duration from = kMeasuredAfter + aScenario.fault->at;
      network.cut = TimeSpan{ .from = from, .to = from + aScenario.fault->lasts };
      network.groupShare = kCutShare;
    }
    return network;
  }

  std::vector<Event> FirstEvents(size_t)
  {
    FleetRead fleet{ .isSnapshot = true, .next = 1 };
    for (const Backend& backend : backends_) {
      fleet.changes.emplace_back(backend.entry);
    }
    return { StoreReachabilityChanged{ .isReachable = true },
             ConfigurationRead{ configuration_ }, std::move(fleet) };
  }

  /// Removes the calls whose daemons ended.
  void RemoveBrokenCalls()
  {
    outcome_.broken += std::erase_if(calls_, [&](const auto& aItem) {
      const SimulatedDaemon& daemon = daemons_[aItem.second.plan.daemon];
      return !daemon.core || daemon.Process() != aItem.second.process;
    });
  }

  void HitPlacer()
  {
    const PlacerFault& fault = *scenario_.fault;
    switch (fault.kind) {
      case PlacerFaultKind::Kill:
        Apply({ .kind = DaemonFaultKind::Kill, .daemon = placer_, .lasts = fault.lasts });
        break;
      case PlacerFaultKind::PlannedStop:
        Apply({ .kind = DaemonFaultKind::PlannedStop, .daemon = placer_ });
        break;
      case PlacerFaultKind::Freeze:
        Apply(
          { .kind = DaemonFaultKind::Freeze, .daemon = placer_, .lasts = fault.lasts });
        break;
      case PlacerFaultKind::CutOff:
        firstOfGroup_ = placer_;
        break;
    }
  }

  /// Tells whether calls beyond the slots are measured now.
  bool CountsBeyondSlots() const
  {
    if (!scenario_.fault) {
      return true;
    }
    const TimePoint from = kMeasured + scenario_.fault->at;
    return now_ >= from && now_ < from + scenario_.fault->lasts + kFaultEffect;
  }

  using DaemonSimulation::Execute;

  PlacementOutcome& OutcomeOf(const SimulatedCall& aCall)
  {
    return aCall.plan.at < kWarmUp ? warmUp_ : outcome_;
  }

  // Attempts at backends.

  Backend& BackendOf(const std::string& aId)
  {
    return *std::ranges::find(
      backends_, aId, [](const Backend& aOne) -> const auto& { return aOne.entry.id; });
  }

  SimulatedCall& CallOf(uint64_t aAttempt)
  {
    return calls_.at(std::stoull(attempts_.at(aAttempt).start.requestId));
  }

  /// Returns the calls that the backend runs, that wait there and that are on their way.
  size_t InFlight(const Backend& aBackend) const
  {
    const auto queued = std::ranges::count_if(
      aBackend.waiting, [&](uint64_t aId) { return attempts_.contains(aId); });
    const auto underWay = std::ranges::count_if(attempts_, [&](const auto& aItem) {
      return !aItem.second.isSent && aItem.second.start.backend == aBackend.entry.id;
    });
    return aBackend.running + static_cast<size_t>(queued + underWay);
  }

  void Execute(size_t aDaemon, const StartAttempt& aAction)
  {
    SimulatedCall& call = calls_.at(std::stoull(aAction.requestId));
    PlacementOutcome& outcome = OutcomeOf(call);
    if (!call.isChosen) {
      call.isChosen = true;
      RecordChoice(call);
    }
    size_t least = InFlight(backends_.front());
    for (const Backend& backend : backends_) {
      least = std::min(least, InFlight(backend));
    }
    const size_t before = InFlight(BackendOf(aAction.backend));
    outcome.choices += 1;
    outcome.unevenChoices += before >= least + kMinUneven ? 1 : 0;
    if (CountsBeyondSlots() && before + 1 > kSlots) {
      outcome.mostBeyondSlots = std::max(outcome.mostBeyondSlots, before + 1 - kSlots);
    }
    DaemonSimulation::Execute(aDaemon, aAction);
  }

  /// Records how long the call waited for its first attempt or its refusal.
  void RecordChoice(const SimulatedCall& aCall)
  {
    const bool wasFrozen = aCall.arrived <= daemons_[aCall.plan.daemon].thawedAt;
    if (!wasFrozen) {
      PlacementOutcome& outcome = OutcomeOf(aCall);
      outcome.longestChoiceMs =
        std::max(outcome.longestChoiceMs, Milliseconds(now_ - aCall.arrived));
    }
  }

  void Reach(uint64_t aId)
  {
    const SimulatedAttempt& attempt = attempts_.at(aId);
    const AttemptSent sent{ attempt.start.attempt };
    CallOf(aId).isSent = true;
    Backend& backend = BackendOf(attempt.start.backend);
    backend.waiting.push_back(aId);
    StartWaiting(backend);
    PostForAttempt(aId, sent, false);
  }

  /// Starts waiting calls while there are free slots. Calls whose connections were closed
  /// are dropped.
  void StartWaiting(Backend& aBackend)
  {
    while (aBackend.running < kSlots && !aBackend.waiting.empty()) {
      const uint64_t id = aBackend.waiting.front();
      aBackend.waiting.pop_front();
      if (!attempts_.contains(id)) {
        continue;
      }
      SimulatedCall& call = CallOf(id);
      outcome_.ranTwice += ++call.runs > 1 && !call.plan.mayRepeat ? 1 : 0;
      const auto index = static_cast<size_t>(&aBackend - backends_.data());
      call.ran = FromSeconds(Seconds(call.plan.work) *
                             demand_.PaceOf(index, now_ - kFirstArrival));
      aBackend.running += 1;
      aBackend.freeSince.pop_front();
      queue_.Add(now_ + call.ran, [this, id, index] { EndCall(id, index); });
    }
  }

  void EndCall(uint64_t aId, size_t aBackend)
  {
    Backend& backend = backends_.at(aBackend);
    backend.running -= 1;
    backend.freeSince.push_back(now_);
    StartWaiting(backend);
    ResponseHead head{ .status = 200, .hasResponseStamp = true };
    if (scenario_.reportsLoad) {
      head.load.report =
        LoadReport{ .running = backend.running,
                    .waiting = static_cast<uint32_t>(backend.waiting.size()),
                    .slots = kSlots,
                    .pace = demand_.PaceOf(aBackend, now_ - kFirstArrival) };
    }
    queue_.Add(now_ + kMinDelay + Random(kMaxDelay - kMinDelay), [this, aId, head] {
      const auto found = attempts_.find(aId);
      if (found != attempts_.end()) {
        PostForAttempt(aId, AttemptAnswered{ found->second.start.attempt, head, "body" },
                       true);
      }
    });
  }

  // Placement messages.

  void Execute(size_t aDaemon, const SendPlacementMessage& aAction)
  {
    const bool isMeasured = now_ >= kMeasured && now_ < kMeasured + scenario_.length;
    PlacementOutcome& outcome = isMeasured ? outcome_ : warmUp_;
    outcome.placementMessages += 1;
    outcome.placementBytes +=
      EncodePlacementMessage(aAction.message).size() + kHeaderBytes;
    if (std::holds_alternative<PlaceRequest>(aAction.message)) {
      placer_ = DaemonOf(aAction.to);
    }
    const auto* reply = std::get_if<PlaceReply>(&aAction.message);
    outcome.held += reply != nullptr && reply->outcome == PlaceOutcome::Held ? 1 : 0;
    DaemonSimulation::Execute(aDaemon, aAction);
  }

  // Callers.

  void PostCall(size_t aIndex)
  {
    PlannedCall plan = demand_.calls[aIndex];
    while (!IsServing(plan.daemon)) { // the balancer avoids it
      plan.daemon = (plan.daemon + 1) % daemons_.size();
    }
    const ExchangeId id{ aIndex + 1 };
    calls_[id.value] = SimulatedCall{ .plan = plan,
                                      .arrived = now_,
                                      .process = daemons_[plan.daemon].Process() };
    OutcomeOf(calls_[id.value]).calls += 1;
    Post(plan.daemon, std::make_shared<const Event>(CallArrived{
                        id, Call{ .requestId = std::to_string(id.value),
                                  .method = "POST",
                                  .target = plan.mayRepeat ? "/lookup/1" : "/order/1",
                                  .host = "h",
                                  .callerTimeout = kCallTimeout,
                                  .started = now_ } }));
  }

  void Execute(size_t, const WriteResponse& aAction)
  {
    const SimulatedCall call = calls_.at(aAction.exchange.value);
    calls_.erase(aAction.exchange.value);
    PlacementOutcome& outcome = OutcomeOf(call);
    if (aAction.status == 200) {
      outcome.answered += 1;
      outcome.waitsMs.push_back(Milliseconds(now_ - call.arrived - call.ran));
      return;
    }
    if (aAction.status != 503 && aAction.status != 429) {
      outcome.failed += 1;
      return;
    }
    outcome.refused += 1;
    outcome.refusedAfterSent += call.isSent ? 1 : 0;
    outcome.refusedWhileFree += HasFreeSlot() ? 1 : 0;
    if (!call.isChosen) {
      RecordChoice(call);
    }
  }

  /// Tells whether a slot has been free for longer than it takes to hand it over.
  bool HasFreeSlot() const
  {
    return std::ranges::any_of(backends_, [&](const Backend& aBackend) {
      return !aBackend.freeSince.empty() &&
             now_ - aBackend.freeSince.front() > kHandOverTime;
    });
  }

  void Execute(size_t, const AbortResponse& aAction)
  {
    OutcomeOf(calls_.at(aAction.exchange.value)).failed += 1;
    calls_.erase(aAction.exchange.value);
  }

  void Execute(size_t aDaemon, const WriteEvent& aAction)
  {
    if (scenario_.trace == nullptr || aAction.event != "placer") {
      return;
    }
    *scenario_.trace << Seconds(now_ - kMeasured) << " s " << daemons_[aDaemon].host
                     << ' ' << aAction.event;
    for (const auto& [name, value] : aAction.fields) {
      *scenario_.trace << ' ' << name << '=' << value;
    }
    *scenario_.trace << '\n';
  }

  const PlacementScenario scenario_;
  const Demand demand_;
  ConfigurationPtr configuration_;
  std::array<Backend, kBackends> backends_;
  std::map<uint64_t, SimulatedCall> calls_; // in progress
  size_t placer_ = 0;                       // the daemon that was asked last
  PlacementOutcome outcome_;
  PlacementOutcome warmUp_; // of calls that do not count
};

} // namespace

double PlacementOutcome::WaitMs(double aShare) const
{
  if (waitsMs.empty()) {
    return 0;
  }
  const auto index =
    static_cast<size_t>(aShare * static_cast<double>(waitsMs.size() - 1));
  return waitsMs.at(index);
}

double PlacementOutcome::UnevenShare() const
{
  return choices == 0 ? 0
                      : static_cast<double>(unevenChoices) / static_cast<double>(choices);
}

void PlacementOutcome::Add(const PlacementOutcome& aOther)
{
  waitsMs.insert(waitsMs.end(), aOther.waitsMs.begin(), aOther.waitsMs.end());
  std::ranges::sort(waitsMs);
  calls += aOther.calls;
  answered += aOther.answered;
  refused += aOther.refused;
  refusedWhileFree += aOther.refusedWhileFree;
  refusedAfterSent += aOther.refusedAfterSent;
  failed += aOther.failed;
  broken += aOther.broken;
  lost += aOther.lost;
  ranTwice += aOther.ranTwice;
  choices += aOther.choices;
  unevenChoices += aOther.unevenChoices;
  longestChoiceMs = std::max(longestChoiceMs, aOther.longestChoiceMs);
  placementMessages += aOther.placementMessages;
  placementBytes += aOther.placementBytes;
  held += aOther.held;
  mostBeyondSlots = std::max(mostBeyondSlots, aOther.mostBeyondSlots);
}

PlacementOutcome PlayPlacement(const PlacementScenario& aScenario)
{
  return PlacementSimulation(aScenario).Run();
}

PlacementOutcome PlayOneQueue(const PlacementScenario& aScenario)
{
  struct Slot
  {
    size_t backend = 0;
    Duration freeAt{};
  };
  const Demand demand(aScenario);
  std::vector<Slot> slots;
  for (size_t i = 0; i < kBackends * kSlots; ++i) {
    slots.push_back({ .backend = i % kBackends });
  }
  PlacementOutcome outcome;
  for (const PlannedCall& call : demand.calls) {
    // The first slot that gets free; of those that are free, one at the best pace.
    Slot& slot = *std::ranges::min_element(slots, {}, [&](const Slot& aSlot) {
      const Duration start = std::max(aSlot.freeAt, call.at);
      return std::pair(start, demand.PaceOf(aSlot.backend, start));
    });
    const Duration start = std::max(slot.freeAt, call.at);
    const bool isMeasured = call.at >= kWarmUp;
    outcome.calls += isMeasured ? 1 : 0;
    if (Seconds(start - call.at) > kMaxObjectives * Seconds(kLatencyObjective)) {
      outcome.refused += isMeasured ? 1 : 0;
      continue;
    }
    slot.freeAt =
      start + FromSeconds(Seconds(call.work) * demand.PaceOf(slot.backend, start));
    if (isMeasured) {
      outcome.answered += 1;
      outcome.waitsMs.push_back(Milliseconds(start - call.at));
    }
  }
  std::ranges::sort(outcome.waitsMs);
  return outcome;
}

} // namespace gooseberrypath::entry
