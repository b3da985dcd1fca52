// An entry core in virtual time, with a configuration and backends. Collects the actions
// that it emits.
//
//   EntryFixture entry;
//   entry.Prepare();
//   entry.PostCall("status");
//   entry.Respond(entry.SendLatestAttempt(), 200);
//   CHECK(entry.LastStatus() == 200);

#ifndef ENTRY_TESTING_ENTRY_FIXTURE_H_
#define ENTRY_TESTING_ENTRY_FIXTURE_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry_core.h"

namespace gooseberrypath::entry {

/// Two routes of a booking service and two of a model service.
inline Configuration TestConfiguration(uint64_t aVersion = 1)
{
  using namespace std::chrono_literals;
  Configuration configuration{ .version = aVersion };
  const auto add = [&](std::string aName, CallKind aKind, uint32_t aMaxAttempts,
                       std::string aService) -> Route& {
    configuration.routes.push_back({ .name = aName,
                                     .host = "h",
                                     .pathPrefix = "/" + aName + "/",
                                     .kind = aKind,
                                     .timeout = 2s,
                                     .latencyObjective = 500ms,
                                     .maxAttempts = aMaxAttempts,
                                     .services = { { std::move(aService), 1 } } });
    return configuration.routes.back();
  };
  add("status", CallKind::Idempotent, 2, "booking");
  add("pickups", CallKind::NonIdempotent, 1, "booking");
  add("plans", CallKind::Streaming, 1, "assistant").timeout = 10s;
  add("questions", CallKind::Streaming, 2, "assistant").isResumable = true;
  configuration.services["booking"] = Service{ .name = "booking" };
  configuration.services["assistant"] =
    Service{ .name = "assistant",
             .engine = EngineProperties{ .slots = 24, .kvCapacityTokens = 400'000 } };
  configuration.requiresKeys = true;
  configuration.teams = { { .name = "acme" } };
  configuration.teamOfKey = { { "k", 0 } };
  return configuration;
}

class EntryFixture
{
public:
  EntryFixture(const EntryFixture&) = delete;
  EntryFixture& operator=(const EntryFixture&) = delete;

  explicit EntryFixture(EntryOptions aOptions = { .host = "d1",
                                                  .dataCentre = "c1",
                                                  .dataCentres = { "c1" } })
    : core_(std::move(aOptions), TimePoint{ std::chrono::seconds(100) })
    , now_(TimePoint{ std::chrono::seconds(100) })
  {
    Tick();
  }

  /// Applies a configuration and two backends of each service.
  void Prepare(Configuration aConfiguration = TestConfiguration())
  {
    Post(ConfigurationRead{
      std::make_shared<const Configuration>(std::move(aConfiguration)) });
    for (const std::string service : { "booking", "assistant" }) {
      for (const std::string number : { "1", "2" }) {
        AddBackend(service + number, service);
      }
    }
  }

  /// Adds a backend or updates its entry.
  void AddBackend(const std::string& aId, const std::string& aService,
                  uint64_t aSequence = 1, bool aIsLeaving = false)
  {
    Post(
      FleetRead{ .changes = { MakeBackendEntry(aId, aService, aSequence, aIsLeaving) } });
  }

  /// Returns an entry of a backend with the slots of its service.
  static BackendEntry MakeBackendEntry(const std::string& aId,
                                       const std::string& aService,
                                       uint64_t aSequence = 1, bool aIsLeaving = false)
  {
    return { .id = aId,
             .service = aService,
             .address = aId + ":80",
             .dataCentre = "c1",
             .slots = aService == "booking" ? 6U : 24U,
             .isLeaving = aIsLeaving,
             .sequence = aSequence };
  }

  /// Passes an event to the core and runs a tick.
  template<typename E>
  void Post(const E& aEvent)
  {
    core_.SetTime(now_);
    core_.Handle(aEvent);
    Tick();
  }

  /// Advances the time in steps of 10 ms, with a tick after each.
  void Advance(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    for (Duration elapsed{}; elapsed < aTime; elapsed += kStep) {
      now_ += kStep;
      Tick();
    }
  }

  /// Lets time pass without a tick, as when the process is suspended.
  void Suspend(Duration aTime) { now_ += aTime; }

  /// Posts the arrival of a call on a route and returns its exchange.
  ExchangeId PostCall(const std::string& aRoute, const std::string& aKey = "k",
                      std::optional<ModelDemand> aDemand = std::nullopt)
  {
    const ExchangeId id{ ++lastExchange_ };
    Post(CallArrived{ id, Call{ .requestId = "r" + std::to_string(id.value),
                                .method = "POST",
                                .target = "/" + aRoute + "/7",
                                .host = "h",
                                .started = now_,
                                .key = aKey,
                                .model = std::move(aDemand) } });
    return id;
  }

  /// Removes and returns the collected actions of this type.
  template<typename A>
  std::vector<A> TakeActions()
  {
    std::vector<A> removed;
    std::erase_if(actions, [&](const Action& aAction) {
      const A* found = std::get_if<A>(&aAction);
      if (found != nullptr) {
        removed.push_back(*found);
      }
      return found != nullptr;
    });
    return removed;
  }

  /// Returns the attempt that was started last and posts that it was sent.
  StartAttempt SendLatestAttempt()
  {
    const auto started = TakeActions<StartAttempt>();
    if (started.empty()) {
      return {};
    }
    Post(AttemptSent{ started.back().attempt });
    return started.back();
  }

  /// Posts the complete response of an attempt, signed by its backend.
  void Respond(const StartAttempt& aAttempt, int aStatus, bool aWasNotRun = false)
  {
    Post(AttemptAnswered{
      aAttempt.attempt,
      { .status = aStatus, .hasResponseStamp = true, .wasNotExecuted = aWasNotRun },
      "body" });
  }

  /// Returns the status of the last complete response, 0 if there is none.
  int LastStatus()
  {
    const auto answers = TakeActions<WriteResponse>();
    return answers.empty() ? 0 : answers.back().status;
  }

  const World& GetWorld() const { return core_.GetWorld(); }
  TimePoint Now() const { return now_; }

  std::vector<Action> actions; // emitted and not yet taken
  bool confirmsFleet = true;   // the store has no later changes of the fleet

private:
  void Tick()
  {
    core_.Tick(now_);
    std::optional<uint64_t> confirms;
    for (Action& action : core_.TakeActions()) {
      if (const auto* asked = std::get_if<ConfirmFleet>(&action)) {
        confirms = asked->number;
      }
      actions.push_back(std::move(action));
    }
    if (confirms && confirmsFleet) {
      Post(FleetRead{ .next = GetWorld().fleetListing.Next(),
                      .era = GetWorld().storeEra,
                      .confirms = *confirms });
    }
  }

  EntryCore core_;
  TimePoint now_;
  uint64_t lastExchange_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_ENTRY_FIXTURE_H_
