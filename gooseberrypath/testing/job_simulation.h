// Several daemons with a job system and the dispatch system, one fake log and fake
// engines on one virtual clock.
//
//   JobSimulation<JobSystem> simulation(3, seed);
//   const size_t call = simulation.Queue(0);
//   simulation.RunFor(60s);
//   CHECK(simulation.TextOf(1, simulation.JobOf(call)) == simulation.Expected());

#ifndef GOOSEBERRYPATH_TESTING_JOB_SIMULATION_H_
#define GOOSEBERRYPATH_TESTING_JOB_SIMULATION_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/core.h"
#include "gooseberrypath/testing/fake_log.h"

namespace gooseberrypath::testing {

using namespace std::chrono_literals;

/// The simplest queue: jobs in local memory, 202 at once.
class NaiveJobSystem
{
public:
  explicit NaiveJobSystem(World& aWorld)
    : world_(aWorld)
  {
  }
  void Start() { world_.streams[std::string(kJobStream)].contacted = true; }
  void Run()
  {
    for (JobEnd& end : std::exchange(world_.jobEnds, {})) {
      done_[end.job] = CompletionBody({ .requestId = end.job }, end.tokens, "stop");
    }
    std::vector<RequestRow> jobs;
    for (auto& [id, row] : world_.requests) {
      if (row.stage == RequestStage::AwaitingJob) {
        jobs.push_back(row);
        jobs.back().job = world_.RandomHex(32);
        row.decision = StoredAnswer{ 202, {}, R"({"id":")" + jobs.back().job + "\"}" };
        row.stage = RequestStage::Decided;
        world_.dispatchQueue.push_back(id);
      }
    }
    for (RequestRow& job : jobs) {
      const RequestId id{ (1ULL << 63) + ++last_ };
      job.stage = RequestStage::Ready;
      world_.requests.Insert(id, job);
      world_.dispatchQueue.push_back(id);
    }
  }
  void Handle(const CallerRequest& aEvent)
  {
    if (IsJobQuery(aEvent)) {
      const auto found = done_.find(aEvent.target.substr(kJobPrefix.size()));
      const bool isDone = found != done_.end();
      world_.Emit(ReplyWhole{
        .request = aEvent.request,
        .status = isDone ? 200 : 404,
        .body = isDone ? R"({"state":"done","response":)" + found->second + "}" : "{}" });
    }
  }

private:
  World& world_;
  std::map<std::string, std::string> done_;
  uint64_t last_ = 0;
};

template<typename Jobs>
class JobSimulation
{
public:
  using CoreType = BasicCore<World, Jobs, DispatchSystem>;
  static constexpr uint64_t kTokens = 400;
  static constexpr Duration kTokenTime = 100ms;

  struct Daemon
  {
    std::unique_ptr<CoreType> core; // null: killed or stopped
    bool isPaused = false;
    std::vector<Event> inbox; // while paused
    TimerId wake{};
  };

  JobSimulation(size_t aDaemons, uint64_t aSeed, CoreOptions aOptions = {},
                Duration aDeadline = 3600s)
    : log(timers, aSeed)
    , daemons(aDaemons)
  {
    options_ = std::move(aOptions);
    deadline_ = aDeadline;
    options_.seed = aSeed * 100;
    for (size_t i = 0; i < aDaemons; ++i) {
      Restart(i);
      timers.SubscribeEvery(100ms, [this, i](TimePoint) { Read(i); });
    }
    RunFor(300ms);
  }

  /// Starts the daemon, after a kill if it ran, with a new incarnation.
  void Restart(size_t aDaemon)
  {
    if (daemons[aDaemon].core) {
      Kill(aDaemon);
    }
    CoreOptions options = options_;
    options.daemon = "d" + std::to_string(aDaemon);
    options.incarnation = ++lastIncarnation_;
    options.seed += lastIncarnation_;
    daemons[aDaemon].core = std::make_unique<CoreType>(options, timers.Now());
    World& world = WorldOf(aDaemon);
    world.state = DaemonState::Serving;
    world.streams[std::string(kConfigStream)].contacted = true;
    world.streams[std::string(kActionStream)].contacted = true;
    world.resources[{ "service", "assistant" }].spec = ServiceSpec{
      .kind = ServiceKind::Model, .firstTokenTimeout = 10s, .tokenStall = 2s
    };
    world.resources[{ "route", "chat" }].spec = RouteSpec{
      .pathPrefix = "/v1/chat/completions", .service = "assistant", .deadline = deadline_
    };
    for (const char* name : { "e0", "e1" }) {
      world.backends.Insert("assistant/" + std::string(name),
                            { .service = "assistant",
                              .spec = { .name = name, .address = name, .host = name } });
    }
  }

  World& WorldOf(size_t aDaemon)
  {
    return const_cast<World&>(daemons[aDaemon].core->GetWorld());
  }

  /// Queues a review and returns the index of the call.
  size_t Queue(size_t aDaemon)
  {
    return Call(aDaemon, "POST", "/v1/chat/completions",
                R"({"max_tokens":400,"messages":[{"role":"user","content":"r"}]})");
  }

  size_t Call(size_t aDaemon, std::string aMethod, std::string aTarget,
              std::string aBody = {})
  {
    replies.emplace_back();
    Deliver(aDaemon, CallerRequest{ .request = RequestId{ replies.size() },
                                    .method = std::move(aMethod),
                                    .target = std::move(aTarget),
                                    .headers = { { "Prefer", "respond-async" } },
                                    .body = std::move(aBody) });
    return replies.size() - 1;
  }

  std::string JobOf(size_t aCall) const
  {
    return nlohmann::json::parse(replies[aCall].body).at("id");
  }

  /// Returns the job as the daemon shows it to callers.
  nlohmann::json View(size_t aDaemon, const std::string& aJob,
                      const std::string& aMethod = "GET")
  {
    const size_t call = Call(aDaemon, aMethod, "/v1/jobs/" + aJob);
    RunFor(2500ms);
    return nlohmann::json::parse(replies[call].body, nullptr, false);
  }

  std::string TextOf(size_t aDaemon, const std::string& aJob)
  {
    const nlohmann::json view = View(aDaemon, aJob);
    return view.contains("response")
             ? view["response"]["choices"][0]["message"]["content"].get<std::string>()
             : view.dump();
  }

  static std::string TokenAt(uint64_t aIndex) { return std::to_string(aIndex) + " "; }

  static std::string Expected()
  {
    std::string text;
    for (uint64_t i = 0; i < kTokens; ++i) {
      text += TokenAt(i);
    }
    return text;
  }

  void Kill(size_t aDaemon)
  {
    timers.Cancel(daemons[aDaemon].wake);
    retired_.push_back(std::move(daemons[aDaemon].core)); // may be on the call stack
  }

  void Resume(size_t aDaemon)
  {
    daemons[aDaemon].isPaused = false;
    for (const Event& event : std::exchange(daemons[aDaemon].inbox, {})) {
      Deliver(aDaemon, event);
    }
    Step(aDaemon);
  }

  /// Begins the late part of a planned stop.
  void Drain(size_t aDaemon)
  {
    WorldOf(aDaemon).state = DaemonState::Draining;
    WorldOf(aDaemon).drainStarted = timers.Now();
    WorldOf(aDaemon).refusesRequests = true;
  }

  void KillEngine(const std::string& aAddress)
  {
    deadEngines[aAddress] = true;
    for (const auto& [key, address] : std::map(runs_)) {
      if (address == aAddress) {
        runs_.erase(key);
        Deliver(key.first, AttemptBroken{ key.second, "reset" });
      }
    }
  }

  void RunFor(Duration aTime)
  {
    const TimePoint end = timers.Now() + aTime;
    while (timers.NextDue() && *timers.NextDue() <= end) {
      timers.AdvanceTo(*timers.NextDue());
    }
    timers.AdvanceTo(end);
  }

  TimerService timers;
  FakeLog log;
  std::vector<Daemon> daemons;
  std::vector<ReplyWhole> replies;
  std::map<std::string, bool> deadEngines;
  uint64_t generated = 0; // tokens by all engines
  uint64_t starts = 0;    // attempts

private:
  void Read(size_t aDaemon)
  {
    if (!daemons[aDaemon].core || daemons[aDaemon].isPaused) {
      return;
    }
    const std::string stream(kJobStream);
    auto batch = log.Read(stream, WorldOf(aDaemon).streams[stream].next);
    if (batch) {
      Deliver(aDaemon, *batch);
    } else {
      Deliver(aDaemon, LogReadFailed{ stream, "outage" });
    }
  }

  void Deliver(size_t aDaemon, const Event& aEvent)
  {
    Daemon& daemon = daemons[aDaemon];
    if (daemon.isPaused) {
      daemon.inbox.push_back(aEvent);
    } else if (daemon.core) {
      daemon.core->SetTime(timers.Now());
      daemon.core->Handle(aEvent);
      Step(aDaemon);
    }
  }

  void Step(size_t aDaemon)
  {
    Daemon& daemon = daemons[aDaemon];
    if (!daemon.core || daemon.isPaused) {
      return;
    }
    daemon.core->Tick(timers.Now());
    for (const Action& action : daemon.core->TakeActions()) {
      std::visit([&](const auto& aOne) { Execute(aDaemon, aOne); }, action);
    }
    timers.Cancel(daemon.wake);
    if (const auto due = daemon.core->NextDue()) {
      daemon.wake =
        timers.SubscribeAt(*due, [this, aDaemon](TimePoint) { Step(aDaemon); });
    }
  }

  template<typename A>
  void Execute(size_t /*aDaemon*/, const A& /*aAction*/)
  {
  }

  void Execute(size_t /*aDaemon*/, const ReplyWhole& aAction)
  {
    replies[aAction.request.value - 1] = aAction;
  }

  void Execute(size_t aDaemon, const AppendRecord& aAction)
  {
    log.Append(
      aAction.stream, aAction.data,
      [=, this, append = aAction.append](const FakeLog::AppendAnswer& aAnswer) {
        if (aAnswer.offset > 0) {
          Deliver(aDaemon, AppendDone{ append, aAnswer.offset });
        } else {
          Deliver(aDaemon, AppendFailed{ append, aAnswer.mayBeStored, "outage" });
        }
      });
  }

  void Execute(size_t aDaemon, const CancelAttempt& aAction)
  {
    runs_.erase({ aDaemon, aAction.attempt });
  }

  void Execute(size_t aDaemon, const StartModelAttempt& aAction)
  {
    ++starts;
    if (deadEngines[aAction.address]) {
      Deliver(aDaemon, AttemptNotSent{ aAction.attempt, "refused" });
      return;
    }
    const auto body = nlohmann::json::parse(aAction.body);
    const uint64_t first = kTokens - body["max_tokens"].get<uint64_t>();
    runs_[{ aDaemon, aAction.attempt }] = aAction.address;
    Generate(aDaemon, aAction.attempt,
             "chatcmpl-" + body["request_id"].get<std::string>(), first);
  }

  void Generate(size_t aDaemon, AttemptId aAttempt, std::string aName, uint64_t aIndex)
  {
    timers.SubscribeAt(timers.Now() + kTokenTime, [=, this](TimePoint) {
      if (!runs_.contains({ aDaemon, aAttempt }) || !daemons[aDaemon].core) {
        return;
      }
      if (aIndex == kTokens) {
        Deliver(aDaemon, AttemptFinished{ aAttempt, "length" });
        return;
      }
      ++generated;
      Deliver(aDaemon, AttemptToken{ aAttempt, aName, aIndex, TokenAt(aIndex) });
      Generate(aDaemon, aAttempt, aName, aIndex + 1);
    });
  }

  std::map<std::pair<size_t, AttemptId>, std::string> runs_;
  std::vector<std::unique_ptr<CoreType>> retired_;
  CoreOptions options_;
  Duration deadline_{};
  uint64_t lastIncarnation_ = 0;
};

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_JOB_SIMULATION_H_
