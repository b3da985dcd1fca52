#include "standins/engine_model.h"

#include <catch2/catch.hpp>

using namespace gooseberrypath;
using namespace gooseberrypath::standins;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

ChatCall MakeCall(const std::string& aId, const std::string& aPrompt, int aPriority = 0)
{
  const json body = { { "request_id", aId },
                      { "priority", aPriority },
                      { "messages",
                        { { { "role", "user" }, { "content", aPrompt } } } } };
  return ParseChatCall(body.dump()).value();
}

/// Continues the call after its first tokens.
ChatCall Continue(const std::string& aId, const std::string& aPrompt, size_t aReceived,
                  const std::string& aHandle = "")
{
  const ChatCall whole = MakeCall(aId, aPrompt);
  std::string text;
  for (size_t i = 0; i < aReceived; ++i) {
    text += AnswerToken(whole.promptHash, i);
  }
  json body = { { "request_id", aId },
                { "continue_final_message", true },
                { "add_generation_prompt", false },
                { "messages",
                  { { { "role", "user" }, { "content", aPrompt } },
                    { { "role", "assistant" }, { "content", text } } } } };
  if (!aHandle.empty()) {
    body["kv_transfer_params"] = { { "kv_handle", aHandle } };
  }
  return ParseChatCall(body.dump()).value();
}

std::string TextOf(const EngineOutput& aOutput)
{
  std::string text;
  for (const EngineToken& token : aOutput.tokens) {
    text += token.text;
  }
  return text;
}

const std::string kLongPrompt = [] {
  std::string text = "tokens=20";
  for (int i = 0; i < 94; ++i) {
    text += " w" + std::to_string(i);
  }
  return text; // 95 words; with the two role tokens 97 prompt tokens
}();

} // namespace

TEST_CASE("A continued answer equals the rest of the whole answer", "[standins]")
{
  // Guards against answers that depend on where the text was cut.
  EngineModel engine(EngineOptions{});
  const ChatCall whole = MakeCall("a", "hello tokens=30");
  const std::string expected = ExpectedAnswer(whole);
  const auto first = engine.Submit(whole, TimePoint{});
  engine.AdvanceTo(TimePoint{ 1h });
  auto output = engine.TakeOutput(first);
  CHECK(output.tokens.size() == 30);
  CHECK(output.finish == "stop");
  CHECK(TextOf(output) == expected);

  const auto rest = engine.Submit(Continue("b", "hello tokens=30", 12), TimePoint{ 1h });
  engine.AdvanceTo(TimePoint{ 2h });
  output = engine.TakeOutput(rest);
  CHECK(output.tokens.front().offset == 12);
  CHECK(expected.ends_with(TextOf(output)));
  CHECK(output.tokens.size() == 18);
  CHECK(engine.Stats()["continuation_mismatches"] == 0);
}

TEST_CASE("max_tokens caps the answer and counts the partial answer", "[standins]")
{
  // Guards against a resumed answer that is longer or shorter than the original one.
  ChatCall call = Continue("a", "tokens=30", 12);
  call.maxTokens = 8;
  CHECK(call.TotalLength() == 20);
  call.maxTokens = 18;
  CHECK(call.TotalLength() == 30);

  EngineModel engine(EngineOptions{});
  call.maxTokens = 0;
  const auto id = engine.Submit(call, TimePoint{});
  engine.AdvanceTo(TimePoint{ 1s });
  const EngineOutput output = engine.TakeOutput(id);
  CHECK(output.tokens.empty());
  CHECK(output.finish == "length");
}

TEST_CASE("Malformed chat requests are refused", "[standins]")
{
  // Guards against a crash or a silent default on invalid input.
  const char* const body = GENERATE(
    "", "[]", R"({"messages":[]})", R"({"messages":[{"role":"user","content":7}]})",
    R"({"messages":[{"content":"x"}]})", R"({"messages":["x"]})",
    R"({"messages":[{"role":"user","content":"x"}],"continue_final_message":true,)"
    R"("add_generation_prompt":false})");
  CHECK_FALSE(ParseChatCall(body));
}

TEST_CASE("The first token comes after the prefill, the next at the decode interval",
          "[standins]")
{
  // Guards against prefill times that ignore the prompt length or the cache.
  EngineModel engine({ .prefillPerToken = 1ms, .decodeInterval = 10ms });
  const auto first = engine.Submit(MakeCall("a", kLongPrompt), TimePoint{});
  CHECK(engine.NextDue() == TimePoint{ 97ms });
  engine.AdvanceTo(TimePoint{ 97ms });
  CHECK(engine.TakeOutput(first).tokens.size() == 1);
  CHECK(engine.NextDue() == TimePoint{ 107ms });
  engine.AdvanceTo(TimePoint{ 1s });

  // 6 blocks of 16 tokens are cached; the 97th token is computed.
  engine.Submit(MakeCall("b", kLongPrompt), TimePoint{ 1s });
  CHECK(engine.NextDue() == TimePoint{ 1001ms });
  CHECK(engine.Stats()["prompt_tokens_cached"] == 96);
  CHECK(engine.Stats()["prompt_tokens_computed"] == 98);
}

TEST_CASE("The queue is ordered by priority, then by arrival", "[standins]")
{
  // Guards against a queue in order of arrival only.
  EngineModel engine({ .maxRunning = 1 });
  engine.Submit(MakeCall("running", "tokens=1"), TimePoint{});
  const auto late = engine.Submit(MakeCall("late", "tokens=1", 5), TimePoint{});
  const auto soon = engine.Submit(MakeCall("soon", "tokens=1", -1), TimePoint{});
  const auto next = engine.Submit(MakeCall("next", "tokens=1", -1), TimePoint{});
  std::vector<SequenceId> order;
  while (const auto due = engine.NextDue()) {
    for (const SequenceId id : engine.AdvanceTo(*due)) {
      order.push_back(id);
    }
  }
  order.erase(order.begin());
  CHECK(order == std::vector{ soon, next, late });
}

TEST_CASE("Releasing a running sequence admits the next", "[standins]")
{
  // Guards against sequences that stay busy after their client disconnected.
  EngineModel engine({ .maxRunning = 1 });
  const auto first = engine.Submit(MakeCall("a", "x"), TimePoint{});
  const auto queued = engine.Submit(MakeCall("b", "y"), TimePoint{});
  engine.Submit(MakeCall("c", "z"), TimePoint{});
  engine.Release(queued, TimePoint{ 1ms });
  engine.Release(first, TimePoint{ 1ms });
  CHECK(engine.Stats()["cancelled"] == 2);
  CHECK(engine.Stats()["running"] == 1);
  CHECK(engine.Stats()["queued"] == 0);
}

TEST_CASE("An imported handle of another engine skips the prefill", "[standins]")
{
  // Guards against handles that only the exporting process understands, and against
  // handles that cover another prompt.
  EngineModel source(EngineOptions{});
  source.Submit(MakeCall("a", kLongPrompt), TimePoint{});
  source.AdvanceTo(TimePoint{ 60ms });
  const std::string handle = source.ExportKv("a").value();
  CHECK_FALSE(source.ExportKv("unknown"));

  EngineModel target(EngineOptions{});
  target.Submit(Continue("b", kLongPrompt, 4, handle), TimePoint{});
  CHECK(target.Stats()["tokens_recomputed"] == 1);

  EngineModel other(EngineOptions{});
  other.Submit(Continue("c", "different " + kLongPrompt, 4, handle), TimePoint{});
  CHECK(other.Stats()["tokens_recomputed"] == 102);
  for (const char* const bad : { "x", "-", "kv1-", "kv1-0-", "kv1--9" }) {
    EngineModel engine(EngineOptions{});
    engine.Submit(Continue("d", kLongPrompt, 4, bad), TimePoint{});
    CHECK(engine.Stats()["tokens_recomputed"] == 101);
  }
}

TEST_CASE("The prefix cache evicts the least recently used blocks", "[standins]")
{
  // Guards against a cache that grows without limit or loses the start of a prefix first.
  std::vector<std::string> one(48, "one");
  std::vector<std::string> two(32, "two");
  size_t removed = 0;
  PrefixCache cache(64, [&](uint64_t, bool aStored) { removed += aStored ? 0 : 1; });
  cache.Insert(one);
  cache.Insert(two);
  CHECK(cache.UsedTokens() == 64);
  CHECK(removed == 1);
  CHECK(cache.Match(one) == 32);
  CHECK(cache.Match(two) == 32);
}

TEST_CASE("Load reports and cache events are late, and events have gaps", "[standins]")
{
  // Guards against stand-ins that hide the delays and losses of real engines.
  EngineModel engine({ .loadLag = 100ms, .eventLag = 50ms, .eventDropEvery = 2 });
  engine.Submit(MakeCall("a", kLongPrompt), TimePoint{ 1s });
  CHECK(engine.Load(TimePoint{ 1099ms })["running"] == 0);
  CHECK(engine.Load(TimePoint{ 1100ms })["running"] == 1);
  CHECK(engine.Load(TimePoint{ 1100ms })["measured_ms_ago"] == 100);
  CHECK(engine.CacheEvents(0, TimePoint{ 1049ms })["events"].empty());
  std::vector<uint64_t> seqs;
  const json page = engine.CacheEvents(1, TimePoint{ 1050ms });
  for (const json& event : page["events"]) {
    seqs.push_back(event["seq"]);
  }
  CHECK(seqs == std::vector<uint64_t>{ 3, 5 });
}

TEST_CASE("A freeze delays running and new sequences", "[standins]")
{
  // Guards against tokens during a freeze.
  EngineModel engine(EngineOptions{});
  engine.Submit(MakeCall("a", "x"), TimePoint{});
  engine.AdvanceTo(TimePoint{ 5ms });
  engine.Freeze(1s, TimePoint{ 5ms });
  engine.Submit(MakeCall("b", "y"), TimePoint{ 6ms });
  CHECK(engine.NextDue() > TimePoint{ 1005ms });
}

TEST_CASE("Stale fencing tokens are refused only where they are checked", "[standins]")
{
  // Guards against a stand-in that protects callers that real engines do not protect.
  const bool checks = GENERATE(true, false);
  EngineModel engine({ .checkFencing = checks });
  CHECK(engine.Order("load", "m", 5));
  CHECK(engine.Order("load", "m", 5));
  CHECK(engine.Order("unload", "m", 4) == !checks);
  CHECK(engine.Order("load", "other", 1));
}
