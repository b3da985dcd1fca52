#include "entry/testing/part_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <span>

#include "entry/duration_text.h"
#include "entry/testing/part_measurement.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCallTimeout = 15s;
constexpr double kPrefillSeconds = 0.15; // mean time to the first event, from the minimum
constexpr Duration kMinFirstEvent = 40ms;
constexpr double kMeanStreamSeconds = 0.8;
constexpr double kFailureRate = 0.005; // of streams, which break after their first event
constexpr Duration kSilenceTimeout = 1500ms;
constexpr Duration kPollInterval = 300ms;

constexpr size_t kTeams = 4;
constexpr size_t kSubjects = 120;   // second parts of each class
constexpr size_t kDocuments = 2000; // third parts that few calls have
constexpr double kDocumentRate = 0.2;
constexpr uint64_t kCrashingPart = 0xdead00;

constexpr std::array<const char*, 2> kClasses = { "chat", "review" };

ConfigurationPtr ModelConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 1;
  const auto add = [&](const std::string& aName, uint32_t aMaxAttempts) {
    configuration->routes.push_back({ .name = aName,
                                      .host = "h",
                                      .pathPrefix = "/" + aName + "/",
                                      .kind = CallKind::Streaming,
                                      .timeout = kCallTimeout,
                                      .latencyObjective = 2s,
                                      .maxEventGap = 4s,
                                      .maxAttempts = aMaxAttempts,
                                      .isResumable = aMaxAttempts > 1,
                                      .services = { { "pool", 1 } } });
  };
  add(kClasses[0], 3);
  add(kClasses[1], 1);
  configuration->services["pool"] =
    Service{ .name = "pool",
             .engine = EngineProperties{ .slots = 64, .kvCapacityTokens = 4'000'000 } };
  configuration->services["other"] = configuration->services["pool"];
  configuration->services["other"].name = "other";
  configuration->requiresKeys = true;
  for (size_t i = 0; i < kTeams; ++i) {
    const std::string name = "team" + std::to_string(i);
    configuration->teams.push_back({ .name = name });
    configuration->teamOfKey[name] = i;
  }
  return configuration;
}

/// One process of an engine.
struct Engine
{
  BackendEntry entry;
  bool isRunning = true;
  std::set<uint64_t> attempts; // that reached it and have not ended
};

/// One attempt of a caller.
struct PartCall
{
  uint64_t id = 0;
  size_t daemon = 0;
  size_t team = 0;
  size_t callClass = 0;
  std::vector<uint64_t> parts;
  std::vector<uint64_t> crashing; // those of the parts that crash engines
  TimePoint arrived;
  bool isRepeat = false; // the caller's second attempt
  bool hasBegun = false;
  size_t enginesEnded = 0; // at its start
};

class PartSimulation : public DaemonSimulation<PartSimulation>
{
  friend DaemonSimulation;

public:
  PartSimulation(const PartScenario& aScenario, bool aHasCrashingCalls)
    : DaemonSimulation({ .seed = aScenario.seed,
                         .daemons = aScenario.daemons,
                         .knowPeers = aScenario.care != PartCare::Alone,
                         .network = aScenario.network })
    , scenario_(aScenario)
    , hasCrashingCalls_(aHasCrashingCalls)
    , configuration_(ModelConfiguration())
    , readOffsets_(aScenario.daemons, 0)
    , callRandom_(aScenario.seed * 7919)
    , measurement_(kStart, aScenario.crashingCalls)
  {
  }

  PartOutcome Run()
  {
    for (size_t i = 0; i < scenario_.engines; ++i) {
      AddEngine("e" + std::to_string(i), "10.1.0." + std::to_string(i) + ":80", "pool");
    }
    StartDaemons();
    for (size_t i = 0; i < daemons_.size(); ++i) {
      queue_.Add(kStart + Random(kPollInterval), [this, i] { PollFleet(i); });
    }
    for (const EngineStorm& storm : scenario_.storms) {
      queue_.Add(kStart + storm.at, [this, storm] { EndShare(storm.share); });
    }
    Schedule(scenario_.faults);
    queue_.Add(kStart + 2s, [this] { PostNextCall(); });
    queue_.RunUntil(kStart + scenario_.length, now_);
    measurement_.MeasureInto(outcome_);
    return outcome_;
  }

  PartMeasurement& Measurement() { return measurement_; }

private:
  using DaemonSimulation::Execute;

  // Engines and their records in the store.

  void AddEngine(const std::string& aId, const std::string& aAddress,
                 const std::string& aService)
  {
    auto engine = std::make_shared<Engine>();
    engine->entry = { .id = aId,
                      .service = aService,
                      .address = aAddress,
                      .dataCentre = "c1",
                      .slots = 64,
                      .startedMs = ++lastStart_,
                      .sequence = 1 };
    engines_[aAddress] = engine;
    fleetLog_.emplace_back(engine->entry);
  }

  std::vector<Event> FirstEvents(size_t aDaemon)
  {
    FleetRead fleet{ .isSnapshot = true, .next = fleetLog_.size() };
    for (const auto& [address, engine] : engines_) {
      fleet.changes.emplace_back(engine->entry);
    }
    readOffsets_[aDaemon] = fleet.next;
    return { StoreReachabilityChanged{ .isReachable = true },
             ConfigurationRead{ configuration_ }, std::move(fleet) };
  }

  void PollFleet(size_t aDaemon)
  {
    queue_.Add(now_ + kPollInterval + Random(200ms),
               [this, aDaemon] { PollFleet(aDaemon); });
    if (!IsServing(aDaemon) || readOffsets_[aDaemon] >= fleetLog_.size()) {
      return;
    }
    FleetRead read{ .next = fleetLog_.size() };
    read.changes.assign(fleetLog_.begin() +
                          static_cast<std::ptrdiff_t>(readOffsets_[aDaemon]),
                        fleetLog_.end());
    readOffsets_[aDaemon] = read.next;
    Post(aDaemon, std::make_shared<const Event>(std::move(read)));
  }

  void Execute(size_t aDaemon, const SkipFleetRecords& aAction)
  {
    readOffsets_[aDaemon] =
      std::max<size_t>(readOffsets_[aDaemon], static_cast<size_t>(aAction.next));
  }

  void Execute(size_t aDaemon, const WritePartEvidence& aAction)
  {
    queue_.Add(now_ + 2ms, [this, host = daemons_[aDaemon].host, text = aAction.text] {
      storedEvidence_[host] = text;
    });
    outcome_.storeCalls += 1;
  }

  void Execute(size_t aDaemon, const ReadPartEvidence&)
  {
    PartEvidenceRead read;
    for (const auto& [host, text] : storedEvidence_) {
      read.texts.push_back(text);
    }
    queue_.Add(now_ + 2ms, [this, aDaemon, process = daemons_[aDaemon].Process(), read] {
      PostTo(aDaemon, process, std::make_shared<const Event>(read));
    });
    outcome_.storeCalls += 1;
  }

  /// Ends an engine. Its connections close, and it is back after some seconds.
  void EndEngine(const std::string& aAddress)
  {
    const std::shared_ptr<Engine> engine = engines_.at(aAddress);
    if (!engine->isRunning) {
      return;
    }
    engine->isRunning = false;
    for (const uint64_t id : std::exchange(engine->attempts, {})) {
      queue_.Add(now_ + 300us + Random(1500us), [this, id] { BreakAttempt(id, true); });
    }
    queue_.Add(now_ + 1500ms + Random(3500ms), [this, engine] { ReturnEngine(*engine); });
  }

  void ReturnEngine(const Engine& aOld)
  {
    const BackendEntry old = aOld.entry;
    if (scenario_.engineReturn == EngineReturn::SameId) {
      AddEngine(old.id, old.address, old.service);
      return;
    }
    fleetLog_.emplace_back(BackendRemoved{ old.id });
    if (scenario_.engineReturn == EngineReturn::OtherService) {
      AddEngine(old.id + "o", old.address, "other");
      AddEngine(old.id + "x", "10.2.0." + std::to_string(lastStart_) + ":80", "pool");
    } else {
      AddEngine(old.id + "x", old.address, "pool");
    }
  }

  void EndShare(double aShare)
  {
    std::vector<std::string> running;
    for (const auto& [address, engine] : engines_) {
      if (engine->isRunning) {
        running.push_back(address);
      }
    }
    std::ranges::shuffle(running, random_);
    running.resize(
      static_cast<size_t>(std::ceil(aShare * static_cast<double>(running.size()))));
    for (const std::string& address : running) {
      EndEngine(address);
    }
  }

  // Attempts at engines.

  PartCall* CallOf(uint64_t aAttempt)
  {
    const auto found = attempts_.find(aAttempt);
    return found == attempts_.end() ? nullptr : CallOf(found->second.start.requestId);
  }

  PartCall* CallOf(const std::string& aRequestId)
  {
    const auto call = calls_.find(std::stoull(aRequestId.substr(1)));
    return call == calls_.end() ? nullptr : &call->second;
  }

  void Reach(uint64_t aId)
  {
    SimulatedAttempt& attempt = attempts_[aId];
    const StartAttempt& start = attempt.start;
    const auto found = engines_.find(start.address);
    if (found == engines_.end() || !found->second->isRunning) {
      PostForAttempt(aId, AttemptNotSent{ start.attempt, "connection refused" }, true);
      return;
    }
    const std::shared_ptr<Engine> engine = found->second;
    const std::string backend = start.backend;
    NoteSend(start.requestId, attempt.daemon);
    PostForAttempt(aId, AttemptSent{ start.attempt }, false);
    if (engine->entry.id != backend) {
      queue_.Add(now_ + 1ms, [this, aId] {
        if (const auto at = attempts_.find(aId); at != attempts_.end()) {
          PostForAttempt(aId,
                         AttemptAnswered{ at->second.start.attempt,
                                          { .status = 421, .isMisdirected = true },
                                          "" },
                         true);
        }
      });
      return;
    }
    engine->attempts.insert(aId);
    if (Chance(scenario_.resetRate)) {
      queue_.Add(now_ + RandomDelay(kPrefillSeconds / 2),
                 [this, aId] { BreakAttempt(aId, true); });
    }
    if (Chance(scenario_.silentRate)) {
      engine->attempts.erase(aId);
      queue_.Add(now_ + kSilenceTimeout, [this, aId] { BreakAttempt(aId, false); });
      return;
    }
    queue_.Add(now_ + kMinFirstEvent + RandomDelay(kPrefillSeconds),
               [this, aId, engine] { Begin(aId, engine); });
  }

  /// Records that a call with crashing parts reached an engine.
  void NoteSend(const std::string& aRequestId, size_t aDaemon)
  {
    const PartCall* call = CallOf(aRequestId);
    if (call == nullptr || IsHarmless()) {
      return;
    }
    const SimulatedDaemon& daemon = daemons_[aDaemon];
    const bool isUndisturbed =
      daemon.startedAt + PartMeasurement::kReactionTime <= now_ &&
      daemon.thawedAt + PartMeasurement::kReactionTime <= now_ &&
      !stopping_.contains(daemon.Process());
    measurement_.CountSend(call->crashing, now_, isUndisturbed);
  }

  /// The engine begins to answer the attempt, which ends it if a part is crashing.
  void Begin(uint64_t aId, const std::shared_ptr<Engine>& aEngine)
  {
    PartCall* call = CallOf(aId);
    if (!aEngine->attempts.contains(aId) || call == nullptr) {
      aEngine->attempts.erase(aId);
      return;
    }
    if (!call->crashing.empty() && !IsHarmless()) {
      measurement_.CountCrash(call->crashing, now_);
      outcome_.enginesEnded += 1;
      EndEngine(aEngine->entry.address);
      return;
    }
    NoteBegun(*call);
    const AttemptId attempt = attempts_[aId].start.attempt;
    PostForAttempt(
      aId, StreamStarted{ attempt, { .status = 200, .hasResponseStamp = true } }, false);
    PostForAttempt(aId, StreamEvents{ attempt, "id: 1\ndata: a\n\n", "1" }, false);
    const bool breaks = Chance(kFailureRate);
    queue_.Add(now_ + RandomDelay(kMeanStreamSeconds),
               [this, aId, attempt, breaks, engine = aEngine] {
                 if (engine->attempts.erase(aId) == 0) {
                   return;
                 }
                 if (breaks) {
                   BreakAttempt(aId, true);
                 } else {
                   PostForAttempt(aId, StreamEnded{ attempt }, true);
                 }
               });
  }

  void BreakAttempt(uint64_t aId, bool aIsClosed)
  {
    const auto found = attempts_.find(aId);
    if (found == attempts_.end()) {
      return;
    }
    if (PartCall* call = CallOf(aId); call != nullptr && !call->hasBegun && aIsClosed) {
      call->enginesEnded += 1;
      outcome_.longestCarry = std::max(outcome_.longestCarry, call->enginesEnded);
    }
    PostForAttempt(aId, MakeBroken(found->second.start.attempt, aIsClosed), true);
  }

  static AttemptBroken MakeBroken(AttemptId aAttempt, bool aIsClosed)
  {
    return { aAttempt, aIsClosed ? "the connection was closed" : "timed out",
             aIsClosed ? BreakCause::Closed : BreakCause::Silent };
  }

  bool IsHarmless() const
  {
    return scenario_.harmlessFrom && now_ - kStart >= *scenario_.harmlessFrom;
  }

  // Callers.

  void PostNextCall()
  {
    const Duration age = now_ - kStart;
    PartCall call{ .team = callRandom_() % kTeams, .callClass = callRandom_() % 2 };
    call.parts = { 0x1000 + call.team, DrawSubject(call.callClass) };
    if (CallChance(kDocumentRate)) {
      call.parts.push_back(0x100000 + callRandom_() % kDocuments);
    }
    const bool isOfClass = scenario_.isSentByAllClasses || call.callClass == 1;
    const bool isOfTeam = scenario_.isSentByAllTeams || call.team == 1;
    const bool isCrashing = isOfClass && CallChance(scenario_.crashingShare) &&
                            age >= scenario_.crashingCalls.from &&
                            age < scenario_.crashingCalls.to;
    if (isCrashing) {
      // The crashing calls are a share of the class, but come from their callers only.
      call.team = isOfTeam ? call.team : 1;
      call.parts[0] = 0x1000 + call.team;
      AddCrashingParts(call);
    }
    call.parts.push_back(0x1000000 + ++lastOwnPart_);
    call.daemon = callRandom_() % daemons_.size();
    if (!isCrashing || hasCrashingCalls_) {
      PostCall(std::move(call));
    }
    const double gap = -std::log(1 - CallUniform()) / scenario_.callsPerSecond;
    queue_.Add(now_ + FromSeconds(gap), [this] { PostNextCall(); });
  }

  /// Draws from the few popular subjects of a class more often than from the others.
  uint64_t DrawSubject(size_t aClass)
  {
    const double skewed = std::pow(CallUniform(), 3);
    return 0x2000 + aClass * 0x1000 +
           static_cast<uint64_t>(skewed * static_cast<double>(kSubjects));
  }

  void AddCrashingParts(PartCall& aCall)
  {
    const uint64_t part = kCrashingPart + callRandom_() % scenario_.crashingParts;
    aCall.crashing = { part };
    if (scenario_.place == CrashingPlace::Several && scenario_.crashingParts > 1) {
      aCall.crashing = { kCrashingPart, kCrashingPart + 1 };
    }
    const bool isFirst = scenario_.place == CrashingPlace::First;
    if (isFirst) {
      aCall.parts[0] = part;
    } else {
      aCall.parts.insert(aCall.parts.begin() + 1, aCall.crashing.begin(),
                         aCall.crashing.end());
    }
  }

  void PostCall(PartCall aCall)
  {
    if (!IsServing(aCall.daemon)) {
      return; // the balancer avoids it, or the caller waits in vain
    }
    const ExchangeId id{ ++lastCall_ };
    aCall.id = id.value;
    aCall.arrived = now_;
    aCall.hasBegun = false;
    aCall.enginesEnded = 0;
    CountArrival(aCall);
    ModelDemand demand{ .promptTokens = 0, .maxOutputTokens = 100 };
    for (const uint64_t part : aCall.parts) {
      demand.parts.push_back({ .id = part, .tokens = 100 });
      demand.promptTokens += 100;
    }
    if (scenario_.care == PartCare::Ignored) {
      demand.parts.erase(demand.parts.begin(), demand.parts.end() - 1);
    }
    const size_t daemon = aCall.daemon;
    Call call{ .requestId = "r" + std::to_string(id.value),
               .method = "POST",
               .target = std::string("/") + kClasses.at(aCall.callClass) + "/1",
               .host = "h",
               .callerTimeout = kCallTimeout,
               .started = now_,
               .key = "team" + std::to_string(aCall.team),
               .model = std::move(demand) };
    calls_[id.value] = std::move(aCall);
    Post(daemon, std::make_shared<const Event>(CallArrived{ id, std::move(call) }));
  }

  void Execute(size_t, const WriteResponse& aAction)
  {
    const auto found = calls_.find(aAction.exchange.value);
    if (found == calls_.end()) {
      return;
    }
    const PartCall call = found->second;
    calls_.erase(found);
    const bool isForPart =
      aAction.body.View().find("prompt_blocked") != std::string::npos;
    if (isForPart && call.crashing.empty()) {
      outcome_.healthyRefusedForPart += 1;
    }
    outcome_.crashingRefused += isForPart && !call.crashing.empty() ? 1 : 0;
    Repeat(call, FindHeader(aAction.headers, "Retry-After"));
  }

  /// The caller tries once more, unless it is told to wait for too long.
  void Repeat(const PartCall& aCall, std::string_view aRetryAfter)
  {
    const Duration wait =
      aRetryAfter.empty() ? 50ms : FromSeconds(std::stod(std::string(aRetryAfter)));
    if (!scenario_.doCallersRetry || aCall.isRepeat || wait > kCallTimeout / 3) {
      return;
    }
    PartCall repeat = aCall;
    repeat.isRepeat = true;
    repeat.daemon = random_() % daemons_.size();
    queue_.Add(now_ + wait, [this, repeat] { PostCall(repeat); });
  }

  void Execute(size_t, const FinishStream& aAction)
  {
    calls_.erase(aAction.exchange.value);
  }

  void Execute(size_t, const AbortResponse& aAction)
  {
    calls_.erase(aAction.exchange.value);
  }

  void Execute(size_t aDaemon, const SetReady& aAction)
  {
    if (!aAction.isReady) {
      stopping_.insert(daemons_[aDaemon].Process());
    }
  }

  void Execute(size_t aDaemon, const WriteEvent& aAction)
  {
    const bool isTraced = aAction.event.starts_with("part_") ||
                          aAction.event == "peer_unheard" || aAction.event == "started";
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

  // What is measured.

  void CountArrival(PartCall& aCall)
  {
    if (!aCall.crashing.empty()) {
      outcome_.crashingCalls += IsHarmless() ? 0 : 1;
      outcome_.harmlessCalls += IsHarmless() ? 1 : 0;
      return;
    }
    outcome_.allHealthyCalls += 1;
    const bool isNear = (scenario_.isSentByAllTeams || aCall.team == 1) &&
                        (scenario_.isSentByAllClasses || aCall.callClass == 1);
    if (!aCall.isRepeat && isNear) {
      measurement_.CountHealthyCall(aCall.id, now_);
    }
  }

  void NoteBegun(PartCall& aCall)
  {
    aCall.hasBegun = true;
    if (aCall.crashing.empty()) {
      measurement_.NoteBegun(aCall.id);
    } else {
      outcome_.harmlessBegun += 1;
    }
  }

  double CallUniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(callRandom_);
  }

  bool CallChance(double aProbability) { return CallUniform() < aProbability; }

  const PartScenario scenario_;
  const bool hasCrashingCalls_;
  ConfigurationPtr configuration_;
  std::map<std::string, std::shared_ptr<Engine>> engines_; // newest, by address
  uint64_t lastStart_ = 0;
  std::vector<FleetChange> fleetLog_;
  std::vector<size_t> readOffsets_;                   // by daemon
  std::map<std::string, std::string> storedEvidence_; // by host
  std::map<uint64_t, PartCall> calls_;
  std::set<std::string> stopping_; // processes
  std::mt19937_64 callRandom_;     // the same calls with and without the fault
  uint64_t lastCall_ = 0;
  uint64_t lastOwnPart_ = 0;
  PartMeasurement measurement_;
  PartOutcome outcome_;
};

} // namespace

PartOutcome PlayParts(const PartScenario& aScenario)
{
  return PartSimulation(aScenario, true).Run();
}

PartOutcome PlayPartsWithoutFault(const PartScenario& aScenario)
{
  PartSimulation withFault(aScenario, true);
  withFault.Run();
  PartSimulation without(aScenario, false);
  without.Measurement().SetSpan(*withFault.Measurement().Span());
  return without.Run();
}

} // namespace gooseberrypath::entry
