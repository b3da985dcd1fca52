#include "standins/engine_http.h"

#include <utility>

#include "standins/clock.h"

namespace gooseberrypath::standins {

using nlohmann::json;

/// A chat call that is being answered. Its end releases the sequence, so that a closed
/// connection frees it.
class EngineHttp::Answer
{
public:
  Answer(EngineHttp& aEngine, HttpCall& aCall, ChatCall aChat)
    : call(aCall)
    , requestId(aChat.id)
    , modelName(aChat.model)
    , promptTokens(aChat.promptTokens.size())
    , firstOffset(aChat.partial.size())
    , nextOffset(firstOffset)
    , createdS(WallMs() / 1000)
    , engine_(aEngine)
    , sequence_(aEngine.model_.Submit(std::move(aChat), SteadyNow()))
  {
    engine_.answers_[sequence_] = this;
    engine_.wake_.Notify();
  }

  ~Answer()
  {
    engine_.answers_.erase(sequence_);
    engine_.model_.Release(sequence_, SteadyNow());
    engine_.wake_.Notify();
  }

  Answer(const Answer&) = delete;
  Answer& operator=(const Answer&) = delete;

  EngineOutput Take()
  {
    hasNews_ = false;
    return engine_.model_.TakeOutput(sequence_);
  }

  /// Tells that there is new output.
  void Announce()
  {
    hasNews_ = true;
    changed_.Notify();
  }

  /// Waits until there is output that was not taken. Output that came while the previous
  /// piece was being written counts; there may be no later one.
  kj::Promise<void> WaitForNews()
  {
    return hasNews_ ? kj::Promise<void>(kj::READY_NOW) : changed_.Wait();
  }

  HttpCall& call;
  std::string requestId;
  std::string modelName;
  size_t promptTokens;
  uint64_t firstOffset;
  uint64_t nextOffset; // of the token after those in `text` or written to `stream`
  int64_t createdS;
  kj::Own<kj::AsyncOutputStream> stream;
  std::string text; // of an answer that is sent whole

private:
  EngineHttp& engine_;
  SequenceId sequence_;
  Signal changed_;
  bool hasNews_ = false;
};

EngineHttp::EngineHttp(const EngineOptions& aOptions, kj::Timer& aTimer)
  : timer_(aTimer)
  , model_(aOptions)
  , driver_(Drive().eagerlyEvaluate(nullptr))
{
}

/// Advances the model whenever a token is due.
kj::Promise<void> EngineHttp::Drive()
{
  for (const SequenceId id : model_.AdvanceTo(SteadyNow())) {
    const auto found = answers_.find(id);
    if (found != answers_.end()) {
      found->second->Announce();
    }
  }
  auto wait = wake_.Wait();
  if (const auto due = model_.NextDue()) {
    wait = wait.exclusiveJoin(timer_.afterDelay(ToKj(*due - SteadyNow())));
  }
  return wait.then([this] { return Drive(); });
}

kj::Promise<void> EngineHttp::Handle(HttpCall& aCall)
{
  if (aCall.Is(kj::HttpMethod::GET, "stats")) {
    return aCall.SendJson(200, model_.Stats());
  }
  if (refuse_) {
    return aCall.SendError(503, "the engine refuses requests", true);
  }
  if (delay_ > Duration::zero()) {
    return timer_.afterDelay(ToKj(delay_)).then([this, &aCall] { return Route(aCall); });
  }
  return Route(aCall);
}

kj::Promise<void> EngineHttp::Route(HttpCall& aCall)
{
  using Method = kj::HttpMethod;
  if (aCall.Is(Method::POST, "v1/chat/completions")) {
    return Chat(aCall);
  }
  if (aCall.Is(Method::POST, "kv/export")) {
    return Export(aCall);
  }
  if (aCall.Is(Method::POST, "orders")) {
    return Order(aCall);
  }
  if (aCall.Is(Method::GET, "load")) {
    return aCall.SendJson(200, model_.Load(SteadyNow()));
  }
  if (aCall.Is(Method::GET, "cache_events")) {
    return aCall.SendJson(200,
                          model_.CacheEvents(aCall.QueryNumber("after", 0), SteadyNow()));
  }
  if (aCall.Is(Method::GET, "health")) {
    return aCall.SendJson(200, json::object());
  }
  return aCall.SendError(404, "no such path");
}

kj::Promise<void> EngineHttp::Chat(HttpCall& aCall)
{
  auto chat = ParseChatCall(aCall.Body());
  if (!chat) {
    return aCall.SendError(400, chat.error().message);
  }
  const bool streams = chat->streams;
  auto answer = kj::heap<Answer>(*this, aCall, std::move(*chat));
  Answer& reference = *answer;
  if (streams) {
    answer->stream = aCall.SendStreamHead();
  }
  return (streams ? SendStream(reference) : SendWhole(reference))
    .attach(kj::mv(answer))
    .exclusiveJoin(aCall.WatchClient());
}

kj::Promise<void> EngineHttp::SendWhole(Answer& aAnswer)
{
  const EngineOutput output = aAnswer.Take();
  for (const EngineToken& token : output.tokens) {
    aAnswer.text += token.text;
    aAnswer.nextOffset = token.offset + 1;
    if (breakAfter_ && (*breakAfter_)-- == 0) {
      breakAfter_.reset();
      return aAnswer.call.Cut();
    }
  }
  if (output.finish.empty()) {
    return aAnswer.WaitForNews().then([this, &aAnswer] { return SendWhole(aAnswer); });
  }
  const uint64_t generated = aAnswer.nextOffset - aAnswer.firstOffset;
  return aAnswer.call.SendJson(
    200, { { "id", "chatcmpl-" + aAnswer.requestId },
           { "object", "chat.completion" },
           { "created", aAnswer.createdS },
           { "model", aAnswer.modelName },
           { "choices",
             { { { "index", 0 },
                 { "message", { { "role", "assistant" }, { "content", aAnswer.text } } },
                 { "finish_reason", output.finish } } } },
           { "usage",
             { { "prompt_tokens", aAnswer.promptTokens },
               { "completion_tokens", generated },
               { "total_tokens", aAnswer.promptTokens + generated } } } });
}

kj::Promise<void> EngineHttp::SendStream(Answer& aAnswer)
{
  const EngineOutput output = aAnswer.Take();
  bool cut = false;
  auto text = kj::heapString(Render(aAnswer, output, cut).c_str());
  const bool ended = !output.finish.empty();
  auto written = text.size() == 0 ? kj::Promise<void>(kj::READY_NOW)
                                  : aAnswer.stream->write(text.begin(), text.size());
  return written.attach(kj::mv(text)).then([this, &aAnswer, cut, ended] {
    if (cut) {
      return aAnswer.call.Cut();
    }
    if (ended) {
      aAnswer.stream = nullptr;
      return kj::Promise<void>(kj::READY_NOW);
    }
    return aAnswer.WaitForNews().then([this, &aAnswer] { return SendStream(aAnswer); });
  });
}

/// Returns the events of the output. Sets aCut and stops where the connection is to be
/// cut.
std::string EngineHttp::Render(Answer& aAnswer, const EngineOutput& aOutput, bool& aCut)
{
  const auto event = [&](const std::string& aId, uint64_t aOffset, const json& aDelta,
                         const json& aFinish) {
    const json chunk = {
      { "id", "chatcmpl-" + aId },
      { "object", "chat.completion.chunk" },
      { "created", aAnswer.createdS },
      { "model", aAnswer.modelName },
      { "token_offset", aOffset },
      { "choices",
        { { { "index", 0 }, { "delta", aDelta }, { "finish_reason", aFinish } } } }
    };
    return "data: " + chunk.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
  };
  std::string text;
  for (const EngineToken& token : aOutput.tokens) {
    if (breakAfter_ && (*breakAfter_)-- == 0) {
      breakAfter_.reset();
      aCut = true;
      return text;
    }
    if (crossEvery_ != 0 && ++chunks_ % crossEvery_ == 0) {
      text += event("crossed", token.offset, { { "content", "crossed " } }, nullptr);
    }
    text +=
      event(aAnswer.requestId, token.offset, { { "content", token.text } }, nullptr);
    aAnswer.nextOffset = token.offset + 1;
  }
  if (!aOutput.finish.empty()) {
    text += event(aAnswer.requestId, aAnswer.nextOffset, json::object(), aOutput.finish);
    text += "data: [DONE]\n\n";
  }
  return text;
}

kj::Promise<void> EngineHttp::Export(HttpCall& aCall)
{
  const json body = aCall.JsonBody();
  if (!body.is_object() || !body.contains("request_id") ||
      !body["request_id"].is_string()) {
    return aCall.SendError(400, "request_id is missing");
  }
  const auto handle = model_.ExportKv(body["request_id"].get<std::string>());
  return handle ? aCall.SendJson(200, { { "kv_handle", *handle } })
                : aCall.SendError(404, "no such request");
}

kj::Promise<void> EngineHttp::Order(HttpCall& aCall)
{
  const json body = aCall.JsonBody();
  if (!body.is_object()) {
    return aCall.SendError(400, "the body is not a JSON object");
  }
  try {
    const bool applied = model_.Order(body.at("order"), body.value("model", ""),
                                      body.value("fencing", uint64_t{ 0 }));
    return applied ? aCall.SendJson(200, { { "applied", true } })
                   : aCall.SendError(409, "the fencing token is stale");
  } catch (const json::exception& error) {
    return aCall.SendError(400, error.what());
  }
}

json EngineHttp::Control(const json& aControl)
{
  refuse_ = aControl.value("refuse", refuse_);
  if (aControl.contains("delay_ms")) {
    delay_ = std::chrono::milliseconds(aControl["delay_ms"].get<uint32_t>());
  }
  if (aControl.contains("break_after")) {
    breakAfter_ = aControl["break_after"].is_null()
                    ? std::nullopt
                    : std::optional(aControl["break_after"].get<uint64_t>());
  }
  crossEvery_ = aControl.value("cross_every", crossEvery_);
  if (aControl.contains("freeze_ms")) {
    model_.Freeze(std::chrono::milliseconds(aControl["freeze_ms"].get<uint32_t>()),
                  SteadyNow());
    wake_.Notify();
  }
  return { { "refuse", refuse_ },
           { "delay_ms", delay_.count() / 1000 },
           { "break_after", breakAfter_ ? json(*breakAfter_) : json() },
           { "cross_every", crossEvery_ } };
}

} // namespace gooseberrypath::standins
