// Several daemons with streams, sampling engines and callers that attach again, on one
// virtual clock.
//
//   StreamSimulation<HandOverSystem, StreamSystem> s(3, seed);
//   const size_t caller = s.Send(0);
//   s.Leave(caller);
//   s.Reattach(caller, 1);
//   s.RunFor(5s);
//   CHECK(s.callers[caller].IsWhole());

#ifndef GOOSEBERRYPATH_TESTING_STREAM_SIMULATION_H_
#define GOOSEBERRYPATH_TESTING_STREAM_SIMULATION_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrypath/core.h"
#include "gooseberrypath/peer_order.h"

namespace gooseberrypath::testing {

using namespace std::chrono_literals;

/// Stands for the membership system: the simulation fills in the table.
class GivenMembers
{
public:
  explicit GivenMembers(World& /*aWorld*/) {}
  void Start() {}
  void Run() {}
};

/// Hands nothing over: streams end with their daemon.
class NaiveHandOver
{
public:
  explicit NaiveHandOver(World& aWorld)
    : world_(aWorld)
  {
  }
  void Start() {}
  void Run()
  {
    if (world_.IsHandOverDue()) {
      world_.requests.EraseIf([this](RequestId aId, const RequestRow&) {
        world_.Emit(ReplyStreamEnd{ aId });
        return true;
      });
    }
  }

private:
  World& world_;
};

/// Keeps nothing to be read again.
class NaiveStreams
{
public:
  explicit NaiveStreams(World& aWorld)
    : world_(aWorld)
  {
  }
  void Start() {}
  void Run() {}
  void Handle(const CallerRequest& aEvent)
  {
    if (IsStreamQuery(aEvent)) {
      ReplyWriter(world_).SendError(aEvent.request, {},
                                    { ErrorKind::StreamNotFound, "" });
    }
  }

private:
  World& world_;
};

/// A caller with all that it received, over several connections.
struct StreamCaller
{
  size_t daemon = 0;
  RequestId request; // of the current connection; 0: none
  std::string id;    // X-Request-Id
  std::vector<std::string> tokens;
  bool isDone = false;   // "[DONE]" came
  bool isBroken = false; // a gap, a repeat or a token after the end
  std::string error;     // kind of the last error

  bool IsWhole() const { return isDone && !isBroken; }
};

template<typename HandOvers, typename Streams>
class StreamSimulation
{
public:
  static constexpr bool kIsOwn = std::is_same_v<Streams, StreamSystem>;
  static constexpr size_t kTokens = 100;       // of each answer
  static constexpr Duration kTokenTime = 20ms; // an answer takes 2 s

  using CoreType = BasicCore<World, GivenMembers, DispatchSystem, HandOvers, Streams>;

  struct Daemon
  {
    std::unique_ptr<CoreType> core; // null: killed
    TimerId wake{};
    bool refuses = false; // hand-overs, although its peers see it as serving
  };

  explicit StreamSimulation(size_t aDaemons, uint64_t aSeed, CoreOptions aOptions = {})
    : daemons(aDaemons)
  {
    if (!kIsOwn) {
      aOptions.reattachTime = 0ms;
    }
    for (size_t i = 0; i < aDaemons; ++i) {
      CoreOptions options = aOptions;
      options.daemon = NameOf(i);
      options.incarnation = 1000;
      options.peerAddress = "p" + std::to_string(i);
      options.seed = aSeed * 100 + i;
      daemons[i].core = std::make_unique<CoreType>(options, timers.Now());
      World& world = WorldOf(i);
      world.state = DaemonState::Serving;
      world.resources[{ "service", "assistant" }].spec = ServiceSpec{
        .kind = ServiceKind::Model, .firstTokenTimeout = 10s, .tokenStall = 2s
      };
      world.resources[{ "route", "chat" }].spec = RouteSpec{
        .pathPrefix = "/v1/chat/completions", .service = "assistant", .deadline = 60s
      };
      for (const char* name : { "e0", "e1" }) {
        world.backends.Insert(std::string("assistant/") + name,
                              BackendRow{ .service = "assistant",
                                          .spec = { .name = name, .address = name } });
      }
    }
    Gossip();
    timers.SubscribeEvery(200ms, [this](TimePoint) { Gossip(); });
  }

  StreamSimulation(const StreamSimulation&) = delete;
  StreamSimulation& operator=(const StreamSimulation&) = delete;

  static std::string NameOf(size_t aDaemon) { return "d" + std::to_string(aDaemon); }

  World& WorldOf(size_t aDaemon)
  {
    return const_cast<World&>(daemons[aDaemon].core->GetWorld());
  }

  /// Returns the daemon that is offered the stream first.
  size_t FirstReceiver(size_t aDaemon, const std::string& aId)
  {
    return ReceiversOf(WorldOf(aDaemon), aId).at(0).back() - '0';
  }

  size_t Send(size_t aDaemon, bool aStreams = true)
  {
    callers.push_back({});
    Connect(callers.size() - 1, aDaemon,
            { .method = "POST",
              .target = "/v1/chat/completions",
              .body = std::string(R"({"messages":[{"role":"user","content":"plan"}],)") +
                      R"("stream":)" + (aStreams ? "true" : "false") + "}" });
    return callers.size() - 1;
  }

  /// Attaches again from the last token on, or with another Last-Event-ID.
  void Reattach(size_t aCaller, size_t aDaemon, std::optional<std::string> aLast = {})
  {
    const StreamCaller& caller = callers[aCaller];
    Headers headers;
    if (aLast) {
      headers.push_back({ "Last-Event-ID", *aLast });
    } else if (!caller.tokens.empty()) {
      headers.push_back(
        { "Last-Event-ID", caller.id + ":" + std::to_string(caller.tokens.size() - 1) });
    }
    Connect(
      aCaller, aDaemon,
      { .method = "GET", .target = "/v1/streams/" + caller.id, .headers = headers });
  }

  /// The caller's connection breaks.
  void Leave(size_t aCaller)
  {
    StreamCaller& caller = callers[aCaller];
    if (caller.request != RequestId{}) {
      Deliver(caller.daemon, CallerGone{ std::exchange(caller.request, {}) });
    }
  }

  /// Begins a stop in which streams are handed over now.
  void Stop(size_t aDaemon)
  {
    World& world = WorldOf(aDaemon);
    world.state = DaemonState::Draining;
    world.refusesRequests = true;
    world.handOverAt = timers.Now();
    Gossip();
    Step(aDaemon);
  }

  void Kill(size_t aDaemon)
  {
    timers.Cancel(daemons[aDaemon].wake);
    retired_.push_back(std::move(daemons[aDaemon].core)); // may be on the call stack
    for (StreamCaller& caller : callers) {
      if (caller.daemon == aDaemon) {
        caller.request = {};
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
    retired_.clear();
  }

  /// Runs a tick, for an event that a test passed to the core itself.
  void Tick(size_t aDaemon) { Step(aDaemon); }

  /// Reads the whole stream of another caller anew and returns its tokens.
  std::vector<std::string> ReadAgain(size_t aCaller, size_t aDaemon)
  {
    callers.push_back({ .id = callers[aCaller].id });
    const size_t reader = callers.size() - 1;
    Reattach(reader, aDaemon);
    RunFor(3s);
    return callers[reader].tokens;
  }

  TimerService timers;
  std::vector<Daemon> daemons;
  std::vector<StreamCaller> callers;
  size_t lostAnswers = 0; // of hand-overs, from now on
  size_t attemptsStarted = 0;

private:
  void Gossip()
  {
    for (size_t i = 0; i < daemons.size(); ++i) {
      for (size_t j = 0; j < daemons.size(); ++j) {
        if (i != j && daemons[i].core && daemons[j].core) {
          WorldOf(i).members.Insert(NameOf(j),
                                    { .digest = { .daemon = NameOf(j),
                                                  .peerAddress = "p" + std::to_string(j),
                                                  .state = WorldOf(j).state },
                                      .heard = timers.Now() });
        }
      }
    }
  }

  void Connect(size_t aCaller, size_t aDaemon, CallerRequest aRequest)
  {
    aRequest.request = RequestId{ ++lastRequest_ };
    callers[aCaller].daemon = aDaemon;
    callers[aCaller].request = aRequest.request;
    callerOf_[aRequest.request] = aCaller;
    Deliver(aDaemon, std::move(aRequest));
  }

  void DeliverLater(size_t aDaemon, Duration aDelay, Event aEvent)
  {
    timers.SubscribeAt(timers.Now() + aDelay, [this, aDaemon, event = std::move(aEvent)](
                                                TimePoint) { Deliver(aDaemon, event); });
  }

  void Deliver(size_t aDaemon, const Event& aEvent)
  {
    if (daemons[aDaemon].core) {
      daemons[aDaemon].core->SetTime(timers.Now());
      daemons[aDaemon].core->Handle(aEvent);
      Step(aDaemon);
    }
  }

  void Step(size_t aDaemon)
  {
    Daemon& daemon = daemons[aDaemon];
    if (!daemon.core) {
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

  /// Returns the caller whose current connection has this id, or null.
  StreamCaller* CallerOf(RequestId aRequest)
  {
    const auto found = callerOf_.find(aRequest);
    if (found == callerOf_.end() || callers[found->second].request != aRequest) {
      return nullptr;
    }
    return &callers[found->second];
  }

  void Execute(size_t /*aDaemon*/, const ReplyWhole& aAction)
  {
    if (StreamCaller* caller = CallerOf(aAction.request)) {
      caller->request = {};
      const auto body = nlohmann::json::parse(aAction.body);
      caller->isDone = aAction.status == 200;
      caller->error = body.contains("error") ? body["error"]["kind"] : "";
      if (caller->id.empty()) {
        caller->id = FindHeader(aAction.headers, "X-Request-Id");
      }
    }
  }

  void Execute(size_t /*aDaemon*/, const ReplyStreamHead& aAction)
  {
    if (StreamCaller* caller = CallerOf(aAction.request)) {
      caller->id = FindHeader(aAction.headers, "X-Request-Id");
    }
  }

  void Execute(size_t /*aDaemon*/, const ReplyStreamEvent& aAction)
  {
    StreamCaller* caller = CallerOf(aAction.request);
    if (!caller) {
      return;
    }
    caller->isBroken = caller->isBroken || caller->isDone;
    if (!aAction.event.empty()) {
      caller->error = nlohmann::json::parse(aAction.data)["error"]["kind"];
    } else if (aAction.data == "[DONE]") {
      caller->isDone = true;
    } else if (!aAction.id.empty()) {
      const std::string expected =
        caller->id + ":" + std::to_string(caller->tokens.size());
      caller->isBroken = caller->isBroken || aAction.id != expected;
      const auto chunk = nlohmann::json::parse(aAction.data);
      caller->tokens.push_back(chunk["choices"][0]["delta"]["content"]);
    }
  }

  void Execute(size_t /*aDaemon*/, const ReplyStreamEnd& aAction)
  {
    if (StreamCaller* caller = CallerOf(aAction.request)) {
      caller->request = {};
    }
  }

  /// Every attempt writes other words, as a sampling engine does.
  void Execute(size_t aDaemon, const StartModelAttempt& aAction)
  {
    const auto body = nlohmann::json::parse(aAction.body);
    size_t offset = 0;
    if (body.value("continue_final_message", false)) {
      const std::string partial = body["messages"].back()["content"];
      offset = static_cast<size_t>(std::ranges::count(partial, ' '));
    }
    running_.insert({ aDaemon, aAction.attempt });
    Produce(aDaemon, aAction.attempt, "chatcmpl-" + body["request_id"].get<std::string>(),
            offset, "a" + std::to_string(++attemptsStarted));
  }

  void Produce(size_t aDaemon, AttemptId aAttempt, const std::string& aName,
               size_t aOffset, const std::string& aWord)
  {
    timers.SubscribeAt(timers.Now() + kTokenTime, [=, this](TimePoint) {
      if (!running_.contains({ aDaemon, aAttempt })) {
        return;
      }
      if (aOffset == kTokens) {
        running_.erase({ aDaemon, aAttempt });
        Deliver(aDaemon, AttemptFinished{ aAttempt, "stop" });
        return;
      }
      Deliver(aDaemon,
              AttemptToken{ .attempt = aAttempt,
                            .answerId = aName,
                            .offset = aOffset,
                            .text = aWord + "." + std::to_string(aOffset) + " " });
      Produce(aDaemon, aAttempt, aName, aOffset + 1, aWord);
    });
  }

  void Execute(size_t aDaemon, const CancelAttempt& aAction)
  {
    running_.erase({ aDaemon, aAction.attempt });
  }

  /// Passes a question to a peer; the peer's answer comes back by Answer().
  template<typename E>
  bool Pass(size_t aDaemon, const std::string& aAddress, QuestionId aQuestion, E aEvent)
  {
    const size_t peer = static_cast<size_t>(aAddress.back() - '0');
    if (!daemons[peer].core) {
      return false;
    }
    aEvent.question = QuestionId{ ++lastQuestion_ };
    askers_[aEvent.question] = { aDaemon, aQuestion };
    DeliverLater(peer, 1ms, std::move(aEvent));
    return true;
  }

  void Execute(size_t aDaemon, const HandOverStream& aAction)
  {
    const size_t peer = static_cast<size_t>(aAction.address.back() - '0');
    if (daemons[peer].refuses) {
      DeliverLater(aDaemon, 1ms,
                   HandOverAnswered{ aAction.question, HandOverWord::Refused });
    } else if (!Pass(aDaemon, aAction.address, aAction.question,
                     HandOverAsked{ {}, aAction.state })) {
      DeliverLater(aDaemon, 300ms,
                   HandOverAnswered{ aAction.question, HandOverWord::Unreachable });
    }
  }

  void Execute(size_t /*aDaemon*/, const AnswerHandOver& aAction)
  {
    const auto& [asker, question] = askers_.at(aAction.question);
    const bool isLost = lostAnswers > 0;
    lostAnswers -= isLost ? 1 : 0;
    DeliverLater(
      asker, isLost ? 300ms : 1ms,
      HandOverAnswered{ question, isLost ? HandOverWord::Unreachable : aAction.word });
  }

  void Execute(size_t aDaemon, const ReadStream& aAction)
  {
    if (!Pass(aDaemon, aAction.address, aAction.question,
              StreamAsked{ {}, aAction.stream, aAction.from })) {
      DeliverLater(aDaemon, 300ms, StreamAnswered{ aAction.question, {} });
    }
  }

  void Execute(size_t /*aDaemon*/, const AnswerStreamQuestion& aAction)
  {
    const auto& [asker, question] = askers_.at(aAction.question);
    DeliverLater(asker, 1ms, StreamAnswered{ question, aAction.part });
  }

  uint64_t lastRequest_ = 0;
  uint64_t lastQuestion_ = 0;
  std::map<RequestId, size_t> callerOf_;
  std::map<QuestionId, std::pair<size_t, QuestionId>> askers_;
  std::set<std::pair<size_t, AttemptId>> running_;
  std::vector<std::unique_ptr<CoreType>> retired_;
};

using OwnStreams = StreamSimulation<HandOverSystem, StreamSystem>;
using NaiveStreamSimulation = StreamSimulation<NaiveHandOver, NaiveStreams>;

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_STREAM_SIMULATION_H_
