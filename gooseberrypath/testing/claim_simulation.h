// Several daemons with a claim system, one fake log and one fake service on one virtual
// clock.
//
//   ClaimSimulation<ClaimSystem, TestDispatch<false>> simulation(3, seed);
//   const size_t call = simulation.Send(0, "key", "body");
//   simulation.RunFor(1s);
//   CHECK(simulation.calls[call].reply->kind == "");

#ifndef GOOSEBERRYPATH_TESTING_CLAIM_SIMULATION_H_
#define GOOSEBERRYPATH_TESTING_CLAIM_SIMULATION_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gooseberrypath/claim_system.h"
#include "gooseberrypath/core.h"
#include "gooseberrypath/testing/claim_fakes.h"
#include "gooseberrypath/testing/fake_log.h"

namespace gooseberrypath::testing {

template<typename Claims, typename Dispatch>
class ClaimSimulation
{
public:
  using CoreType = BasicCore<World, Claims, Dispatch>;

  struct Reply
  {
    int status = 0;
    std::string kind; // empty: an answer of the service
    std::string run;
    std::string body;
  };

  struct Call
  {
    size_t daemon = 0;
    std::string key;
    std::optional<Reply> reply;
  };

  struct Daemon
  {
    std::unique_ptr<CoreType> core; // null: killed
    uint64_t incarnation = 0;
    bool isPaused = false;
    bool pausesAtDispatch = false; // between the decision to send and the send
    std::vector<Event> inbox;      // while paused
    std::vector<Action> held;      // cut off by a pause at dispatch
    TimerId wake{};
    bool readPlanned = false;
  };

  /// Begins with these daemons and the services "shop" and "dedup", whose backends
  /// deduplicate by key.
  ClaimSimulation(size_t aDaemons, uint64_t aSeed, Duration aKeyWindow = 24h)
    : log(timers, aSeed)
    , seed_(aSeed)
  {
    for (const char* name : { "shop", "dedup" }) {
      ServiceSpec spec;
      spec.deduplicates = name == std::string_view("dedup");
      spec.keyWindow = aKeyWindow;
      resources_[{ "service", name }].spec = spec;
    }
    log.onStored = [this] {
      for (size_t i = 0; i < daemons.size(); ++i) {
        PlanRead(i, 2ms);
      }
    };
    daemons.resize(aDaemons);
    for (size_t i = 0; i < aDaemons; ++i) {
      Start(i);
      timers.SubscribeEvery(300ms, [this, i](TimePoint) { PlanRead(i, 0ms); });
    }
    RunFor(10ms);
  }

  ClaimSimulation(const ClaimSimulation&) = delete;
  ClaimSimulation& operator=(const ClaimSimulation&) = delete;

  /// Starts a new incarnation of the daemon.
  void Start(size_t aDaemon)
  {
    Daemon& daemon = daemons[aDaemon];
    timers.Cancel(daemon.wake);
    const uint64_t incarnation = daemon.incarnation + 1;
    daemon = Daemon{};
    daemon.incarnation = incarnation;
    daemon.core = std::make_unique<CoreType>(
      CoreOptions{ .daemon = "d" + std::to_string(aDaemon),
                   .incarnation = incarnation,
                   .peerAddress = AddressOf(aDaemon),
                   .zone = {},
                   .seedPeers = {},
                   .seed = seed_ * 1000 + aDaemon * 100 + incarnation },
      timers.Now());
    // The tests have no configuration stream; the services are set directly.
    const_cast<World&>(daemon.core->GetWorld()).resources = resources_;
    PlanRead(aDaemon, 1ms);
    Step(aDaemon);
  }

  void Kill(size_t aDaemon)
  {
    timers.Cancel(daemons[aDaemon].wake);
    retired_.push_back(std::move(daemons[aDaemon].core)); // may be on the call stack
    daemons[aDaemon].inbox.clear();
    daemons[aDaemon].held.clear();
    daemons[aDaemon].isPaused = false;
  }

  void Pause(size_t aDaemon) { daemons[aDaemon].isPaused = true; }

  void Resume(size_t aDaemon)
  {
    Daemon& daemon = daemons[aDaemon];
    if (!daemon.isPaused) {
      return;
    }
    daemon.isPaused = false;
    if (!Run(aDaemon, std::exchange(daemon.held, {}))) {
      return;
    }
    for (const Event& event : std::exchange(daemon.inbox, {})) {
      daemon.core->Handle(event);
    }
    Step(aDaemon);
    PlanRead(aDaemon, 1ms);
  }

  /// Sends a request and returns the index of its call.
  size_t Send(size_t aDaemon, const std::string& aKey, const std::string& aBody = "order",
              const std::string& aService = "shop")
  {
    const size_t call = calls.size();
    calls.push_back({ .daemon = aDaemon, .key = aKey, .reply = std::nullopt });
    Deliver(aDaemon, CallerRequest{ .request = RequestId{ call },
                                    .method = "POST",
                                    .target = "/" + aService,
                                    .headers = { { "Idempotency-Key", aKey },
                                                 { "X-Call", std::to_string(call) } },
                                    .body = aBody });
    return call;
  }

  /// The caller of this call closes its connection.
  void Leave(size_t aCall)
  {
    Deliver(calls[aCall].daemon, CallerGone{ RequestId{ aCall } });
  }

  void RunFor(Duration aTime)
  {
    const TimePoint end = timers.Now() + aTime;
    while (timers.NextDue() && *timers.NextDue() <= end) {
      timers.AdvanceTo(*timers.NextDue());
    }
    timers.AdvanceTo(end);
    retired_.clear();
  }

  std::string KindOf(size_t aCall) const
  {
    return calls[aCall].reply ? calls[aCall].reply->kind : "no reply";
  }

  uint32_t RunsOf(const std::string& aKey) const
  {
    const auto found = service.runs.find(aKey);
    return found == service.runs.end() ? 0 : found->second;
  }

  uint32_t MaxRuns() const
  {
    uint32_t most = 0;
    for (const auto& [key, count] : service.runs) {
      most = std::max(most, count);
    }
    return most;
  }

  /// Returns the number of calls that were told "not_run" although they ran.
  size_t FalseNotRun() const
  {
    size_t count = 0;
    for (size_t i = 0; i < calls.size(); ++i) {
      if (calls[i].reply && calls[i].reply->run == "not_run" &&
          service.callsRun.contains(std::to_string(i))) {
        ++count;
      }
    }
    return count;
  }

  const World& WorldOf(size_t aDaemon) const { return daemons[aDaemon].core->GetWorld(); }

  TimerService timers;
  FakeLog log;
  FakeService service;
  std::vector<Daemon> daemons;
  std::vector<Call> calls;
  /// Called before each action is executed; false drops the action.
  std::function<bool(size_t, const Action&)> intercept = [](size_t, const Action&) {
    return true;
  };

private:
  static std::string AddressOf(size_t aDaemon) { return "p" + std::to_string(aDaemon); }

  void PlanRead(size_t aDaemon, Duration aDelay)
  {
    Daemon& daemon = daemons[aDaemon];
    if (!daemon.core || daemon.isPaused || daemon.readPlanned) {
      return;
    }
    daemon.readPlanned = true;
    const uint64_t incarnation = daemon.incarnation;
    timers.SubscribeAt(timers.Now() + aDelay, [=, this](TimePoint) {
      Daemon& reader = daemons[aDaemon];
      if (!reader.core || reader.incarnation != incarnation) {
        return;
      }
      reader.readPlanned = false;
      const auto& streams = reader.core->GetWorld().streams;
      const auto found = streams.find(kActionStream);
      const Offset next = found == streams.end() ? 1 : found->second.next;
      Result<LogBatch> batch = log.Read(std::string(kActionStream), next);
      Event event = LogReadFailed{ std::string(kActionStream), "outage" };
      if (batch) {
        event = std::move(*batch);
      }
      DeliverLater(aDaemon, 1ms, std::move(event));
    });
  }

  /// Delivers the event after a time, if the daemon's process is still the same.
  void DeliverLater(size_t aDaemon, Duration aDelay, Event aEvent)
  {
    const uint64_t incarnation = daemons[aDaemon].incarnation;
    timers.SubscribeAt(timers.Now() + aDelay, [this, aDaemon, incarnation,
                                               event = std::move(aEvent)](TimePoint) {
      if (daemons[aDaemon].incarnation == incarnation) {
        Deliver(aDaemon, event);
      }
    });
  }

  void Deliver(size_t aDaemon, const Event& aEvent)
  {
    Daemon& daemon = daemons[aDaemon];
    if (!daemon.core) {
      return;
    }
    if (daemon.isPaused) {
      daemon.inbox.push_back(aEvent);
      return;
    }
    daemon.core->Handle(aEvent);
    Step(aDaemon);
  }

  void Step(size_t aDaemon)
  {
    Daemon& daemon = daemons[aDaemon];
    if (!daemon.core || daemon.isPaused) {
      return;
    }
    daemon.core->Tick(timers.Now());
    if (!Run(aDaemon, daemon.core->TakeActions())) {
      return;
    }
    timers.Cancel(daemon.wake);
    if (const auto due = daemon.core->NextDue()) {
      daemon.wake =
        timers.SubscribeAt(*due, [this, aDaemon](TimePoint) { Step(aDaemon); });
    }
  }

  /// Executes actions until the daemon is killed or paused; returns whether it goes on.
  bool Run(size_t aDaemon, std::vector<Action> aActions)
  {
    Daemon& daemon = daemons[aDaemon];
    for (size_t i = 0; i < aActions.size() && daemon.core; ++i) {
      if (std::holds_alternative<StartServiceAttempt>(aActions[i]) &&
          std::exchange(daemon.pausesAtDispatch, false)) {
        daemon.isPaused = true;
        daemon.held.assign(aActions.begin() + static_cast<ptrdiff_t>(i), aActions.end());
        return false;
      }
      if (intercept(aDaemon, aActions[i]) && daemon.core) {
        std::visit([&](auto& aOne) { Execute(aDaemon, aOne); }, aActions[i]);
      }
    }
    return daemon.core != nullptr;
  }

  template<typename A>
  void Execute(size_t /*aDaemon*/, const A& /*aAction*/)
  {
  }

  void Execute(size_t aDaemon, const ReplyWhole& aAction)
  {
    Call& call = calls[aAction.request.value];
    if (!call.reply && call.daemon == aDaemon) {
      call.reply = Reply{ .status = aAction.status,
                          .kind = std::string(FindHeader(aAction.headers, "X-Kind")),
                          .run = std::string(FindHeader(aAction.headers, "X-Run")),
                          .body = std::string(aAction.body.View()) };
    }
  }

  void Execute(size_t aDaemon, const AppendRecord& aAction)
  {
    const uint64_t incarnation = daemons[aDaemon].incarnation;
    log.Append(aAction.stream, aAction.data,
               [=, this, append = aAction.append](const FakeLog::AppendAnswer& aAnswer) {
                 if (daemons[aDaemon].incarnation != incarnation) {
                   return;
                 }
                 if (aAnswer.offset > 0) {
                   DeliverLater(aDaemon, 1ms, AppendDone{ append, aAnswer.offset });
                 } else {
                   DeliverLater(
                     aDaemon, 1ms,
                     AppendFailed{ append, aAnswer.mayBeStored, aAnswer.reason });
                 }
               });
  }

  void Execute(size_t aDaemon, const AskClaim& aAction)
  {
    const QuestionId question{ ++lastQuestion_ };
    for (size_t i = 0; i < daemons.size(); ++i) {
      if (AddressOf(i) == aAction.address && daemons[i].core) {
        questions_[question] = { aDaemon, aAction.question };
        DeliverLater(i, 1ms, ClaimAsked{ question, aAction.claim });
        return;
      }
    }
    DeliverLater(aDaemon, 2ms, ClaimAnswered{ aAction.question, ClaimWord::Unreachable });
  }

  void Execute(size_t /*aDaemon*/, const AnswerClaimQuestion& aAction)
  {
    const auto& [asker, question] = questions_.at(aAction.question);
    DeliverLater(asker, 1ms, ClaimAnswered{ question, aAction.word });
  }

  void Execute(size_t aDaemon, const StartServiceAttempt& aAction)
  {
    using Fault = FakeService::Fault;
    const auto found = service.faults.find(aAction.address);
    const Fault fault = found == service.faults.end() ? Fault::None : found->second;
    if (fault == Fault::Refuse) {
      DeliverLater(aDaemon, 1ms, AttemptNotSent{ aAction.attempt, "refused" });
      return;
    }
    if (fault == Fault::BreakBeforeRun) {
      DeliverLater(aDaemon, 2ms, AttemptBroken{ aAction.attempt, "reset" });
      return;
    }
    const std::string key(FindHeader(aAction.headers, "Idempotency-Key"));
    const std::string call(FindHeader(aAction.headers, "X-Call"));
    const uint64_t incarnation = daemons[aDaemon].incarnation;
    timers.SubscribeAt(timers.Now() + 1ms, [=, this,
                                            attempt = aAction.attempt](TimePoint) {
      if (!service.deduplicates || !service.runs.contains(key)) {
        service.bodies[key] = "run " + std::to_string(++service.runs[key]) + " of " + key;
        service.callsRun.insert(call);
      }
      if (daemons[aDaemon].incarnation != incarnation) {
        return;
      }
      if (fault == Fault::BreakAfterRun) {
        DeliverLater(aDaemon, 2ms, AttemptBroken{ attempt, "reset" });
      } else {
        DeliverLater(aDaemon, service.duration,
                     AttemptAnswered{ attempt, 200, {}, service.bodies[key] });
      }
    });
  }

  uint64_t seed_;
  ResourceTable resources_;
  uint64_t lastQuestion_ = 0;
  std::map<QuestionId, std::pair<size_t, QuestionId>> questions_;
  std::vector<std::unique_ptr<CoreType>> retired_;
};

using OwnSimulation = ClaimSimulation<ClaimSystem, TestDispatch<false>>;
using NaiveSimulation = ClaimSimulation<NaiveClaimSystem, TestDispatch<true>>;

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_CLAIM_SIMULATION_H_
