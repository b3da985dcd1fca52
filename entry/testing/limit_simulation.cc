#include "entry/testing/limit_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <sstream>

#include "entry/testing/daemon_simulation.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

// The rule: in some window, a backend gets more requests than its limit allows, times the
// factor, and the extra ones, from daemons that passed its limit on half a second before.
// It holds from the reaction time after the limit was named.
constexpr Duration kWindow = 4s;
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
constexpr Duration kTellTime = 500ms;
constexpr Duration kReactionTime = 3s;

// Time after a change in which what a backend gets is not measured against its limit.
constexpr Duration kSettleTime = 4s;

// From this multiple of the limit on, the demand counts as above it.
constexpr double kClearExcess = 1.25;

// Offsets in the store of the fleet at the start, and after the restart of a backend.
constexpr uint64_t kStartOffset = 1;
constexpr uint64_t kRestartOffset = 2;

constexpr double kMeanServiceSeconds = 0.05;
constexpr double kMeanStreamSeconds = 0.4;
constexpr double kFailureRate = 0.02; // of responses
constexpr double kBreakRate = 0.05;   // of streams
constexpr Duration kCallTimeout = 3s;

ConfigurationPtr PoolConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 1;
  const auto add = [&](const std::string& aName, CallKind aKind, uint32_t aMaxAttempts) {
    configuration->routes.push_back({ .name = aName,
                                      .host = "h",
                                      .pathPrefix = "/" + aName + "/",
                                      .kind = aKind,
                                      .timeout = kCallTimeout,
                                      .latencyObjective = 2s,
                                      .maxEventGap = 400ms,
                                      .maxAttempts = aMaxAttempts,
                                      .isPublic = true,
                                      .isResumable = aKind == CallKind::Streaming,
                                      .services = { { "pool", 1 } } });
  };
  add("lookup", CallKind::Idempotent, 2);
  add("order", CallKind::NonIdempotent, 1);
  add("chat", CallKind::Streaming, 2);
  configuration->services["pool"] = Service{ .name = "pool" };
  return configuration;
}

/// A request that reached a backend.
struct Arrival
{
  TimePoint at;
  std::string process; // of the daemon that sent it
};

/// One process of a backend.
struct Backend
{
  BackendEntry entry;
  std::optional<double> limit; // that it names now
  bool namesLimit = false;     // it is one of those that will name a limit
  std::optional<TimePoint> namedAt;
  std::vector<std::pair<TimePoint, std::optional<double>>> limits; // every change
  std::vector<Arrival> arrivals;
  std::map<std::string, TimePoint> toldAt; // by process of a daemon
};

/// Returns the largest limit that the backend named within the reaction time before.
double HighestRecentLimit(const Backend& aBackend, TimePoint aAt)
{
  double largest = 0;
  for (size_t i = 0; i < aBackend.limits.size(); ++i) {
    const auto& [from, limit] = aBackend.limits[i];
    const bool isLast = i + 1 == aBackend.limits.size();
    const TimePoint to = isLast ? TimePoint::max() : aBackend.limits[i + 1].first;
    if (from <= aAt && to > aAt - kReactionTime) {
      largest =
        std::max(largest, limit.value_or(std::numeric_limits<double>::infinity()));
    }
  }
  return largest;
}

struct SimulatedCall
{
  TimePoint arrived;
  size_t daemon = 0;
  bool isRepeat = false;
};

class LimitSimulation : public DaemonSimulation<LimitSimulation>
{
  friend DaemonSimulation;

public:
  explicit LimitSimulation(const LimitScenario& aScenario)
    : DaemonSimulation({ .seed = aScenario.seed,
                         .daemons = aScenario.daemons,
                         .knowPeers = aScenario.obedience != Obedience::Alone,
                         .network = aScenario.network })
    , scenario_(aScenario)
    , configuration_(PoolConfiguration())
  {
  }

  LimitOutcome Run()
  {
    AddBackends();
    StartDaemons();
    ScheduleScript();
    queue_.Add(kStart + 3s, [this] { PostNextCall(); });
    queue_.RunUntil(kStart + scenario_.length, now_);
    for (const auto& backend : backends_) {
      CheckWindows(*backend);
      MeasureServed(*backend);
    }
    return outcome_;
  }

private:
  // Backends.

  void AddBackends()
  {
    const size_t count =
      scenario_.limitedBackends + (scenario_.hasUnlimitedBackend ? 1 : 0);
    for (size_t i = 0; i < count; ++i) {
      AddBackend("b" + std::to_string(i), "10.1.0." + std::to_string(i) + ":80",
                 i < scenario_.limitedBackends);
    }
  }

  Backend& AddBackend(const std::string& aId, const std::string& aAddress,
                      bool aNamesLimit)
  {
    backends_.push_back(std::make_unique<Backend>());
    Backend& backend = *backends_.back();
    backend.entry = { .id = aId,
                      .service = "pool",
                      .address = aAddress,
                      .dataCentre = "c1",
                      .slots = 1000,
                      .startedMs = ++lastStart_,
                      .sequence = 1 };
    backend.namesLimit = aNamesLimit;
    backend.limits.emplace_back(now_, std::nullopt);
    live_[aAddress] = &backend;
    return backend;
  }

  void NameLimit(Backend& aBackend, std::optional<double> aPerSecond)
  {
    aBackend.limit = aPerSecond;
    aBackend.limits.emplace_back(now_, aPerSecond);
    if (aPerSecond && !aBackend.namedAt) {
      aBackend.namedAt = now_;
    }
  }

  void NameLimits(std::optional<double> aPerSecond)
  {
    for (const auto& [address, backend] : live_) {
      if (backend->namesLimit) {
        NameLimit(*backend, aPerSecond);
      }
    }
  }

  /// Starts the first limited backend again at its address.
  void RestartBackend()
  {
    Backend& old = *backends_.front();
    const bool keepsId = scenario_.restart == BackendRestart::SameId;
    const std::string oldId = old.entry.id;
    const auto limit = old.limit;
    Backend& next = AddBackend(keepsId ? oldId : oldId + "x", old.entry.address, true);
    queue_.Add(now_ + Random(1s), [this, &next, limit] { NameLimit(next, limit); });
    for (size_t i = 0; i < daemons_.size(); ++i) {
      queue_.Add(now_ + 100ms + Random(400ms), [this, i, oldId, keepsId, &next] {
        FleetRead read{ .next = kRestartOffset };
        if (!keepsId) {
          read.changes.emplace_back(BackendRemoved{ oldId });
        }
        read.changes.emplace_back(next.entry);
        Post(i, std::make_shared<const Event>(std::move(read)));
      });
    }
  }

  std::vector<Event> FirstEvents(size_t)
  {
    FleetRead fleet{ .isSnapshot = true, .next = kStartOffset };
    for (const auto& [address, backend] : live_) {
      fleet.changes.emplace_back(backend->entry);
    }
    return { StoreReachabilityChanged{ .isReachable = true },
             ConfigurationRead{ configuration_ }, std::move(fleet) };
  }

  using DaemonSimulation::Execute;

  // Attempts at backends.

  void Reach(uint64_t aId)
  {
    SimulatedAttempt& attempt = attempts_[aId];
    attempt.isSent = true;
    const AttemptSent sent{ attempt.start.attempt };
    const auto live = live_.find(attempt.start.address);
    if (live != live_.end()) {
      live->second->arrivals.push_back({ now_, daemons_[attempt.daemon].Process() });
      Serve(aId, *live->second);
    }
    PostForAttempt(aId, sent, false);
  }

  /// Schedules the response of the backend.
  void Serve(uint64_t aId, Backend& aBackend)
  {
    const StartAttempt& start = attempts_[aId].start;
    if (start.backend != aBackend.entry.id) {
      queue_.Add(now_ + 1ms, [this, aId] {
        AnswerWith(aId, { .status = 421, .isMisdirected = true });
      });
      return;
    }
    if (start.isStream) {
      queue_.Add(now_ + 20ms + RandomDelay(kMeanServiceSeconds),
                 [this, aId, &aBackend] { StartStream(aId, aBackend); });
      return;
    }
    queue_.Add(now_ + RandomDelay(kMeanServiceSeconds), [this, aId, &aBackend] {
      ResponseHead head = HeadOf(aBackend);
      head.status = Chance(kFailureRate) ? 500 : 200;
      // Responses on different connections overtake each other.
      const Duration delay =
        Chance(scenario_.network.lateRate) ? Random(1s) : 500us + Random(1ms);
      queue_.Add(now_ + delay, [this, aId, &aBackend, head] {
        NoteTold(aId, aBackend, head);
        AnswerWith(aId, head);
      });
    });
  }

  ResponseHead HeadOf(const Backend& aBackend) const
  {
    ResponseHead head{ .status = 200, .hasResponseStamp = true };
    if (scenario_.obedience != Obedience::Ignored) {
      head.limit.perSecond = aBackend.limit;
    }
    return head;
  }

  /// Records that the daemon passes on a response that names a limit.
  void NoteTold(uint64_t aId, Backend& aBackend, const ResponseHead&)
  {
    const auto found = attempts_.find(aId);
    if (found != attempts_.end() && aBackend.limit) {
      aBackend.toldAt.try_emplace(daemons_[found->second.daemon].Process(), now_);
    }
  }

  void AnswerWith(uint64_t aId, const ResponseHead& aHead)
  {
    const auto found = attempts_.find(aId);
    if (found != attempts_.end()) {
      PostForAttempt(aId, AttemptAnswered{ found->second.start.attempt, aHead, "body" },
                     true);
    }
  }

  void StartStream(uint64_t aId, Backend& aBackend)
  {
    const auto found = attempts_.find(aId);
    if (found == attempts_.end()) {
      return;
    }
    const AttemptId attempt = found->second.start.attempt;
    NoteTold(aId, aBackend, {});
    PostForAttempt(aId, StreamStarted{ attempt, HeadOf(aBackend) }, false);
    PostForAttempt(aId, StreamEvents{ attempt, "id: 1\ndata: a\n\n", "1" }, false);
    const bool breaks = Chance(kBreakRate);
    queue_.Add(now_ + RandomDelay(kMeanStreamSeconds), [this, aId, attempt, breaks] {
      if (breaks) {
        PostForAttempt(aId, AttemptBroken{ attempt, "reset" }, true);
      } else {
        PostForAttempt(aId, StreamEnded{ attempt }, true);
      }
    });
  }

  // Callers.

  void PostNextCall()
  {
    PostCall(false);
    queue_.Add(now_ + RandomDelay(1 / Demand()), [this] { PostNextCall(); });
  }

  void PostCall(bool aIsRepeat)
  {
    const size_t used =
      scenario_.isLoadUneven ? (daemons_.size() + 2) / 3 : daemons_.size();
    const size_t daemon = random_() % used;
    if (!IsServing(daemon)) {
      return; // the balancer avoids it, or the caller waits in vain
    }
    const ExchangeId id{ ++lastCall_ };
    calls_[id.value] =
      SimulatedCall{ .arrived = now_, .daemon = daemon, .isRepeat = aIsRepeat };
    outcome_.calls += 1;
    static constexpr std::array<const char*, 4> kRoutes = { "lookup", "order", "chat",
                                                            "chat" };
    const std::string route = kRoutes.at(random_() % kRoutes.size());
    Post(daemon, std::make_shared<const Event>(
                   CallArrived{ id, Call{ .requestId = "r" + std::to_string(id.value),
                                          .method = "POST",
                                          .target = "/" + route + "/1",
                                          .host = "h",
                                          .callerTimeout = kCallTimeout,
                                          .started = now_ } }));
  }

  void Execute(size_t, const WriteResponse& aAction)
  {
    const SimulatedCall call = calls_[aAction.exchange.value];
    calls_.erase(aAction.exchange.value);
    if (aAction.status == 200) {
      outcome_.callsAnswered += 1;
      return;
    }
    if (aAction.status != 503 && aAction.status != 429) {
      outcome_.callsFailed += 1;
      return;
    }
    outcome_.callsRefused += 1;
    if (call.arrived > daemons_[call.daemon].thawedAt) {
      outcome_.longestRefusal = std::max(outcome_.longestRefusal, now_ - call.arrived);
    }
    const std::string_view retryAfter = FindHeader(aAction.headers, "Retry-After");
    if (!call.isRepeat && !retryAfter.empty()) {
      queue_.Add(now_ + FromSeconds(std::stod(std::string(retryAfter))),
                 [this] { PostCall(true); });
    }
  }

  void Execute(size_t, const FinishStream& aAction)
  {
    calls_.erase(aAction.exchange.value);
    outcome_.callsAnswered += 1;
  }

  void Execute(size_t, const AbortResponse& aAction)
  {
    calls_.erase(aAction.exchange.value);
    outcome_.callsFailed += 1;
  }

  void Execute(size_t aDaemon, const WriteEvent& aAction)
  {
    const bool isTraced = aAction.event == "backend_limit" ||
                          aAction.event == "permit_granter" ||
                          aAction.event == "peer_unheard";
    if (scenario_.trace == nullptr || !isTraced) {
      return;
    }
    *scenario_.trace << Seconds(now_ - kStart) << " s " << daemons_[aDaemon].host << ' '
                     << aAction.event;
    for (const auto& [name, value] : aAction.fields) {
      *scenario_.trace << ' ' << name << '=' << value;
    }
    *scenario_.trace << '\n';
  }

  // The script and what is measured.

  void ScheduleScript()
  {
    queue_.Add(kStart + scenario_.namedAt, [this] { NameLimits(scenario_.limit); });
    for (const LimitChange& change : scenario_.changes) {
      queue_.Add(kStart + change.at, [this, change] { NameLimits(change.perSecond); });
    }
    if (scenario_.restart != BackendRestart::None) {
      queue_.Add(kStart + scenario_.restartAt, [this] { RestartBackend(); });
    }
    Schedule(scenario_.faults);
  }

  /// Compares each window that begins with a counted arrival with what the limit allows.
  void CheckWindows(const Backend& aBackend)
  {
    if (!aBackend.namedAt) {
      return;
    }
    std::vector<TimePoint> counted;
    for (const Arrival& arrival : aBackend.arrivals) {
      const auto told = aBackend.toldAt.find(arrival.process);
      const bool isCounted = arrival.at >= *aBackend.namedAt + kReactionTime &&
                             told != aBackend.toldAt.end() &&
                             told->second + kTellTime <= arrival.at;
      if (isCounted) {
        counted.push_back(arrival.at);
      }
    }
    size_t end = 0;
    for (size_t begin = 0; begin < counted.size(); ++begin) {
      end = std::max(end, begin);
      while (end < counted.size() && counted[end] < counted[begin] + kWindow) {
        ++end;
      }
      CheckWindow(aBackend, std::span(counted).subspan(begin, end - begin));
    }
  }

  void CheckWindow(const Backend& aBackend, std::span<const TimePoint> aArrivals)
  {
    constexpr Duration kStep = 50ms;
    const TimePoint begin = aArrivals.front();
    // The limit may have ended within the last step.
    double named = std::isfinite(HighestRecentLimit(aBackend, aArrivals.back()))
                     ? 0
                     : std::numeric_limits<double>::infinity();
    for (Duration age{}; age < kWindow; age += kStep) {
      named += HighestRecentLimit(aBackend, begin + age) * Seconds(kStep);
    }
    const double allowed = kAllowedFactor * named + kAllowedExtra;
    const double share = static_cast<double>(aArrivals.size()) / allowed;
    if (share > outcome_.worstShare) {
      outcome_.worstShare = share;
      std::ostringstream text;
      text << aBackend.entry.id << " got " << aArrivals.size() << " requests in 4 s from "
           << Seconds(begin - kStart) << " s, allowed " << allowed;
      outcome_.worstWindow = text.str();
    }
  }

  /// Adds up, in small steps, what the backend named and what it got while its limit was
  /// settled and below the demand.
  void MeasureServed(const Backend& aBackend)
  {
    constexpr Duration kStep = 50ms;
    auto next = aBackend.arrivals.begin();
    for (TimePoint at = kStart; at < now_; at += kStep) {
      double got = 0;
      for (; next != aBackend.arrivals.end() && next->at < at + kStep; ++next) {
        got += 1;
      }
      const auto limit = SettledLimit(aBackend, at);
      if (!limit || DemandOfBackend() < kClearExcess * *limit) {
        continue;
      }
      const Duration age = at - kStart;
      const bool isCut = scenario_.network.cut && age >= scenario_.network.cut->from &&
                         age < scenario_.network.cut->to + kSettleTime;
      (isCut ? outcome_.namedInCut : outcome_.named) += *limit * Seconds(kStep);
      (isCut ? outcome_.servedInCut : outcome_.served) += got;
    }
  }

  /// Returns the calls per second of callers.
  double Demand() const
  {
    return scenario_.limit * scenario_.demandFactor *
           static_cast<double>(scenario_.limitedBackends);
  }

  /// Returns the part of the calls that a backend gets if it is chosen like the others.
  double DemandOfBackend() const { return Demand() / static_cast<double>(live_.size()); }

  /// Returns the limit if it has not changed for the settle time and the backend lives.
  std::optional<double> SettledLimit(const Backend& aBackend, TimePoint aAt) const
  {
    const bool isReplaced = live_.at(aBackend.entry.address) != &aBackend &&
                            aAt >= kStart + scenario_.restartAt;
    if (isReplaced) {
      return std::nullopt;
    }
    std::optional<double> limit;
    for (const auto& [from, perSecond] : aBackend.limits) {
      if (from <= aAt) {
        limit = from + kSettleTime <= aAt ? perSecond : std::nullopt;
      }
    }
    return limit;
  }

  const LimitScenario scenario_;
  ConfigurationPtr configuration_;
  std::vector<std::unique_ptr<Backend>> backends_; // every process that ever ran
  std::map<std::string, Backend*> live_;           // by address
  uint64_t lastStart_ = 0;
  std::map<uint64_t, SimulatedCall> calls_;
  uint64_t lastCall_ = 0;
  LimitOutcome outcome_;
};

constexpr std::array<double, 4> kLimits = { 0.5, 1, 5, 50 };
constexpr size_t kManyDaemons = 200;
constexpr std::array<double, 3> kDemandFactors = { 0.5, 3, 100 };

} // namespace

LimitScenario DrawLimitScenario(size_t aDaemons, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed * 1000003 + aDaemons);
  const auto chance = [&](double aProbability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < aProbability;
  };
  // Runs of many daemons are shorter, so that as many of them can be played.
  const double timeScale = aDaemons > kManyDaemons ? 0.6 : 1;
  const auto between = [&](double aFrom, double aTo) {
    return FromSeconds(timeScale *
                       std::uniform_real_distribution<double>(aFrom, aTo)(random));
  };
  LimitScenario scenario{ .seed = aSeed,
                          .daemons = aDaemons,
                          .limitedBackends = 1 + aSeed % 2,
                          .hasUnlimitedBackend = chance(0.3),
                          .limit = kLimits.at(aSeed % kLimits.size()),
                          .demandFactor = kDemandFactors.at(aSeed / kLimits.size() %
                                                            kDemandFactors.size()),
                          .isLoadUneven = chance(0.3),
                          .length = FromSeconds(40 * timeScale),
                          .network = { .lossRate = chance(0.5) ? 0.2 : 0.01,
                                       .lateRate = chance(0.5) ? 0.1 : 0,
                                       .repeatRate = chance(0.5) ? 0.1 : 0 } };
  if (chance(0.5)) {
    const double factor = chance(0.5) ? 4 : 0.25;
    scenario.changes.push_back(
      { .at = between(14, 20), .perSecond = scenario.limit * factor });
    if (chance(0.6)) {
      scenario.changes.push_back({ .at = between(20, 26), .perSecond = std::nullopt });
      scenario.changes.push_back({ .at = between(26, 32), .perSecond = scenario.limit });
    }
  }
  if (chance(0.3)) {
    scenario.restart = chance(0.5) ? BackendRestart::SameId : BackendRestart::OtherId;
    scenario.restartAt = between(12, 30);
  }
  if (chance(0.4)) {
    const Duration from = between(3, 25);
    scenario.network.cut = TimeSpan{ .from = from, .to = from + between(4, 14) };
  }
  const size_t maxFaults = std::max<size_t>(4, aDaemons / 20);
  const size_t faults = chance(0.3) ? 0 : random() % (maxFaults + 1);
  for (size_t i = 0; i < faults; ++i) {
    scenario.faults.push_back({ .kind = static_cast<DaemonFaultKind>(random() % 3),
                                .at = between(5, 35),
                                .daemon = random() % aDaemons,
                                .lasts = between(0.5, 4) });
  }
  return scenario;
}

LimitOutcome PlayLimit(const LimitScenario& aScenario)
{
  return LimitSimulation(aScenario).Run();
}

} // namespace gooseberrypath::entry
