// Model streams through a proxy to engines of three zones that are reclaimed, on virtual
// time. The engines are models of the stand-in, so that each computed token is counted.
//
//   ReclaimSimulation<CoreProxy> simulation(seed);
//   simulation.At(3s, [&] { simulation.Notice("e0", 2s); });
//   simulation.At(5s, [&] { simulation.Kill("e0"); });
//   ReclaimResult result = simulation.Run();

#ifndef GOOSEBERRYPATH_TESTING_RECLAIM_SIMULATION_H_
#define GOOSEBERRYPATH_TESTING_RECLAIM_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrypath/backend_system.h"
#include "gooseberrypath/dispatch_system.h"
#include "gooseberrypath/world.h"
#include "standins/engine_model.h"

namespace gooseberrypath::testing {

/// The systems under test, with one model service.
class CoreProxy
{
public:
  CoreProxy(std::vector<BackendSpec> aBackends, uint64_t aSeed)
    : world({ .daemon = "d0", .incarnation = 1000, .seed = aSeed }, TimePoint{})
    , backends_(world)
    , dispatch_(world)
  {
    using std::chrono::seconds;
    world.state = DaemonState::Serving;
    world.resources[{ "service", "assistant" }].spec =
      ServiceSpec{ .kind = ServiceKind::Model,
                   .backends = std::move(aBackends),
                   .firstTokenTimeout = seconds(10),
                   .tokenStall = seconds(2) };
    world.resources[{ "route", "chat" }].spec =
      RouteSpec{ .pathPrefix = std::string(kChatPath),
                 .service = "assistant",
                 .deadline = seconds(60) };
    world.appliedConfig = 1;
    backends_.Start();
    dispatch_.Start();
  }

  std::vector<Action> Handle(const Event& aEvent, TimePoint aNow)
  {
    world.timers.SetTime(aNow);
    std::visit(
      [this](const auto& aOne) {
        if constexpr (requires { backends_.Handle(aOne); }) {
          backends_.Handle(aOne);
        }
        if constexpr (requires { dispatch_.Handle(aOne); }) {
          dispatch_.Handle(aOne);
        }
      },
      aEvent);
    return Tick(aNow);
  }

  std::vector<Action> Tick(TimePoint aNow)
  {
    world.timers.AdvanceTo(aNow);
    do {
      backends_.Run();
      dispatch_.Run();
    } while (world.HasWork());
    return std::exchange(world.outbox, {});
  }

  World world;

private:
  BackendSystem backends_;
  DispatchSystem dispatch_;
};

/// The naive proxy: takes the engines in turn, starts from the beginning on any error and
/// does not react to notices.
class NaiveProxy
{
public:
  NaiveProxy(std::vector<BackendSpec> aBackends, uint64_t /*aSeed*/)
    : backends_(std::move(aBackends))
  {
  }

  std::vector<Action> Handle(const Event& aEvent, TimePoint /*aNow*/)
  {
    std::vector<Action> actions;
    if (const auto* request = std::get_if<CallerRequest>(&aEvent)) {
      bodies_[request->request] = request->body;
      actions.push_back(Start(request->request));
    } else if (const auto* token = std::get_if<AttemptToken>(&aEvent)) {
      actions.push_back(ReplyStreamEvent{ .request = requests_[token->attempt],
                                          .data = ChunkData({}, 0, token->text) });
    } else if (const auto* end = std::get_if<AttemptFinished>(&aEvent)) {
      actions.push_back(ReplyStreamEnd{ requests_[end->attempt] });
    } else if (const auto* broken = std::get_if<AttemptBroken>(&aEvent)) {
      actions.push_back(Start(requests_[broken->attempt]));
    } else if (const auto* refused = std::get_if<AttemptNotSent>(&aEvent)) {
      actions.push_back(Start(requests_[refused->attempt]));
    }
    return actions;
  }

  std::vector<Action> Tick(TimePoint /*aNow*/) { return {}; }

private:
  Action Start(RequestId aRequest)
  {
    const AttemptId id{ ++last_ };
    requests_[id] = aRequest;
    const auto chat = ParseChatRequest(bodies_[aRequest]);
    const std::string name = std::to_string(id.value);
    return StartModelAttempt{ .attempt = id,
                              .address = backends_[last_ % backends_.size()].address,
                              .body =
                                EngineRequestBody(*chat, {}, { .requestId = name }) };
  }

  std::vector<BackendSpec> backends_;
  uint64_t last_ = 0;
  std::map<AttemptId, RequestId> requests_;
  std::map<RequestId, std::string> bodies_;
};

struct ReclaimResult
{
  size_t whole = 0;        // streams that equal the engine's text and ended properly
  size_t broken = 0;       // the others
  uint64_t needed = 0;     // tokens of all prompts and answers
  uint64_t recomputed = 0; // tokens that the engines computed beyond these
  uint64_t decoded = 0;    // of these, generated again one by one
};

template<typename Proxy>
class ReclaimSimulation
{
public:
  static constexpr Duration kLatency =
    std::chrono::milliseconds(2); // of an engine's data
  static constexpr Duration kStep = std::chrono::milliseconds(1);
  static constexpr Duration kLimit = std::chrono::seconds(60);

  struct Engine
  {
    std::unique_ptr<standins::EngineModel> model;
    bool alive = true;
    bool refusesExport = false;
    bool refusesHandles = false;
    bool frozen = false;
    Duration exportTime = std::chrono::milliseconds(20);
    std::map<standins::SequenceId, std::pair<AttemptId, std::string>> running;
  };

  /// Nine engines, e0 to e8; zone z0 has e0, e3 and e6. The streams start in the first 2
  /// s and are 300 to 700 tokens long, after a prompt of about 200.
  explicit ReclaimSimulation(uint64_t aSeed, size_t aStreams = 200)
    : random(aSeed)
    , proxy(MakeEngines(), aSeed)
  {
    for (size_t i = 1; i <= aStreams; ++i) {
      const RequestId id{ i };
      At(std::chrono::milliseconds(random() % 2000), [this, id] { Begin(id); });
    }
  }

  void At(Duration aTime, std::function<void()> aAction)
  {
    plan_.emplace(TimePoint{} + aTime, std::move(aAction));
  }

  void Notice(const std::string& aHost, Duration aLeft)
  {
    Post(Duration::zero(), ReclaimNotice{ aHost, aLeft });
  }

  /// Ends an engine as the loss of its host does. What it sent before still arrives.
  void Kill(const std::string& aHost)
  {
    Engine& engine = engines.at(aHost);
    engine.alive = false;
    for (const auto& [sequence, running] : std::exchange(engine.running, {})) {
      Post(kLatency, AttemptBroken{ running.first, "reset" });
    }
  }

  /// Stops an engine's output for good; its connections stay open.
  void Freeze(const std::string& aHost)
  {
    engines.at(aHost).frozen = true;
    engines.at(aHost).model->Freeze(kLimit, now_);
  }

  /// Runs until all streams ended.
  ReclaimResult Run()
  {
    while ((!plan_.empty() || ended_ < texts_.size()) && now_ < TimePoint{} + kLimit) {
      now_ += kStep;
      while (!plan_.empty() && plan_.begin()->first <= now_) {
        plan_.extract(plan_.begin()).mapped()();
      }
      for (auto& [host, engine] : engines) {
        if (engine.alive) {
          Pump(engine);
        }
      }
      while (!events_.empty() && events_.begin()->first <= now_) {
        const Event event = events_.extract(events_.begin()).mapped();
        if (IsDue(event)) {
          Execute(proxy.Handle(event, now_));
        }
      }
      Execute(proxy.Tick(now_));
    }
    return Result();
  }

  std::map<std::string, Engine> engines;
  std::mt19937_64 random;
  Proxy proxy;

private:
  struct Caller
  {
    std::string expected;
    std::string text;
    bool isEnded = false;
  };

  std::vector<BackendSpec> MakeEngines()
  {
    std::vector<BackendSpec> specs;
    for (int i = 0; i < 9; ++i) {
      const std::string name = "e" + std::to_string(i);
      engines[name].model = std::make_unique<standins::EngineModel>(
        standins::EngineOptions{ .maxRunning = 128 });
      specs.push_back({ .name = name,
                        .address = name,
                        .host = name,
                        .zone = "z" + std::to_string(i % 3) });
    }
    return specs;
  }

  void Begin(RequestId aId)
  {
    std::string prompt = "plan " + std::to_string(aId.value) +
                         " tokens=" + std::to_string(300 + random() % 400);
    for (uint64_t left = 150 + random() % 100; left > 0; --left) {
      prompt += " w" + std::to_string(random() % 1000);
    }
    const nlohmann::json body = { { "stream", true },
                                  { "max_tokens", 2000 },
                                  { "messages",
                                    { { { "role", "user" }, { "content", prompt } } } } };
    const auto call = standins::ParseChatCall(body.dump()).value();
    needed_ += call.promptTokens.size() + call.TotalLength();
    answers_ += call.TotalLength();
    texts_[aId].expected = standins::ExpectedAnswer(call);
    Execute(proxy.Handle(CallerRequest{ .request = aId,
                                        .method = "POST",
                                        .target = std::string(kChatPath),
                                        .body = body.dump() },
                         now_));
  }

  void Post(Duration aDelay, Event aEvent)
  {
    events_.emplace(now_ + aDelay, std::move(aEvent));
  }

  /// A port reports nothing of an attempt that was cancelled.
  bool IsDue(const Event& aEvent) const
  {
    return std::visit(
      [this]<typename E>(const E& aOne) {
        if constexpr (requires { aOne.attempt; } && !std::is_same_v<E, KvExported> &&
                      !std::is_same_v<E, KvExportFailed>) {
          return !cancelled_.contains(aOne.attempt);
        }
        return true;
      },
      aEvent);
  }

  void Pump(Engine& aEngine)
  {
    for (const auto sequence : aEngine.model->AdvanceTo(now_)) {
      const auto [attempt, name] = aEngine.running.at(sequence);
      const standins::EngineOutput output = aEngine.model->TakeOutput(sequence);
      for (const standins::EngineToken& token : output.tokens) {
        Post(kLatency,
             AttemptToken{ attempt, "chatcmpl-" + name, token.offset, token.text });
      }
      if (!output.finish.empty()) {
        Post(kLatency, AttemptFinished{ attempt, output.finish });
        aEngine.running.erase(sequence);
        aEngine.model->Release(sequence, now_);
      }
    }
  }

  void Execute(const std::vector<Action>& aActions)
  {
    for (const Action& action : aActions) {
      std::visit([this](const auto& aOne) { this->Execute(aOne); }, action);
    }
  }

  template<typename A>
  void Execute(const A& /*aAction*/)
  {
  }

  void Execute(const StartModelAttempt& aAction)
  {
    Engine& engine = engines.at(aAction.address);
    auto call = standins::ParseChatCall(aAction.body).value();
    if (!engine.alive) {
      Post(kLatency, AttemptNotSent{ aAction.attempt, "refused" });
    } else if (engine.refusesHandles && !call.kvHandle.empty()) {
      Post(kLatency, AttemptAnswered{ .attempt = aAction.attempt, .status = 400 });
    } else {
      const std::string name = call.id;
      engine.running[engine.model->Submit(std::move(call), now_)] = { aAction.attempt,
                                                                      name };
    }
  }

  void Execute(const CancelAttempt& aAction)
  {
    cancelled_.insert(aAction.attempt);
    for (auto& [host, engine] : engines) {
      std::erase_if(engine.running, [&, &engine = engine](const auto& aItem) {
        const bool isIt = aItem.second.first == aAction.attempt;
        if (isIt) {
          engine.model->Release(aItem.first, now_);
        }
        return isIt;
      });
    }
  }

  void Execute(const ExportKv& aAction)
  {
    Engine& engine = engines.at(aAction.address);
    const auto handle = engine.model->ExportKv(aAction.name);
    if (!engine.alive || engine.refusesExport || !handle) {
      Post(kLatency, KvExportFailed{ aAction.attempt, "refused" });
    } else if (engine.frozen) {
      Post(aAction.timeout, KvExportFailed{ aAction.attempt, "timeout" });
    } else {
      Post(engine.exportTime, KvExported{ aAction.attempt, *handle });
    }
  }

  void Execute(const ReplyStreamEvent& aAction)
  {
    if (aAction.data != "[DONE]" && aAction.event.empty()) {
      const auto chunk = nlohmann::json::parse(aAction.data);
      texts_[aAction.request].text += chunk["choices"][0]["delta"].value("content", "");
    }
  }

  void Execute(const ReplyStreamEnd& aAction)
  {
    ended_ += texts_[aAction.request].isEnded ? 0 : 1;
    texts_[aAction.request].isEnded = true;
  }

  ReclaimResult Result() const
  {
    ReclaimResult result{ .needed = needed_ };
    for (const auto& [id, caller] : texts_) {
      const bool isWhole = caller.isEnded && caller.text == caller.expected;
      ++(isWhole ? result.whole : result.broken);
    }
    uint64_t prefilled = 0;
    uint64_t decoded = 0;
    for (const auto& [host, engine] : engines) {
      const auto stats = engine.model->Stats();
      prefilled += stats["prompt_tokens_computed"].template get<uint64_t>();
      decoded += stats["tokens_generated"].template get<uint64_t>();
    }
    result.recomputed = prefilled + decoded - std::min(prefilled + decoded, needed_);
    result.decoded = decoded - std::min(decoded, answers_);
    return result;
  }

  TimePoint now_{};
  std::multimap<TimePoint, std::function<void()>> plan_;
  std::multimap<TimePoint, Event> events_;
  std::set<AttemptId> cancelled_;
  std::map<RequestId, Caller> texts_;
  size_t ended_ = 0;
  uint64_t needed_ = 0;
  uint64_t answers_ = 0; // tokens of all answers
};

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_RECLAIM_SIMULATION_H_
