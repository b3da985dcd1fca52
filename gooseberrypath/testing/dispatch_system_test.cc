#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/testing/dispatch_fixture.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kChat =
  R"({"messages":[{"role":"user","content":"plan"}],"stream":true,"max_tokens":20})";

std::string WireName(AttemptId aId)
{
  return "d0-1000-a" + std::to_string(aId.value);
}

AttemptToken Token(AttemptId aId, uint64_t aOffset)
{
  return { .attempt = aId,
           .answerId = "chatcmpl-" + WireName(aId),
           .offset = aOffset,
           .text = "t" + std::to_string(aOffset) + " " };
}

std::string ErrorKindOf(const ReplyWhole& aReply)
{
  return nlohmann::json::parse(aReply.body)["error"]["kind"];
}

/// Returns the text that a streaming caller received.
std::string ReceivedText(const std::vector<ReplyStreamEvent>& aEvents)
{
  std::string text;
  for (const ReplyStreamEvent& event : aEvents) {
    if (event.data != "[DONE]" && event.event.empty()) {
      const auto chunk = nlohmann::json::parse(event.data);
      text += chunk["choices"][0]["delta"].value("content", "");
    }
  }
  return text;
}

} // namespace

TEST_CASE("A stream goes on after its engine breaks, without gap or repeat", "[dispatch]")
{
  // Guards against a stream that restarts from the beginning or loses a token.
  DispatchFixture f;
  f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  const auto first = f.Take<StartModelAttempt>().at(0);
  f.Post(Token(first.attempt, 0));
  f.Post(Token(first.attempt, 1));
  f.Post(AttemptBroken{ first.attempt, "reset" });
  const auto second = f.Take<StartModelAttempt>().at(0);
  CHECK(second.address != first.address);
  const auto body = nlohmann::json::parse(second.body);
  CHECK(body["messages"].back()["content"] == "t0 t1 ");
  CHECK(body["continue_final_message"] == true);
  CHECK(body["max_tokens"] == 18);
  f.Post(Token(second.attempt, 2));
  f.Post(AttemptFinished{ second.attempt, "stop" });
  CHECK(ReceivedText(f.Take<ReplyStreamEvent>()) == "t0 t1 t2 ");
  CHECK(f.Take<ReplyStreamEnd>().size() == 1);
  CHECK(f.world.requests.IsEmpty());
  CHECK(f.world.attempts.IsEmpty());
}

TEST_CASE("Late and crossed tokens are dropped", "[dispatch]")
{
  // Guards against answers that are matched to requests by arrival.
  DispatchFixture f;
  f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  const auto first = f.Take<StartModelAttempt>().at(0);
  f.Post(Token(first.attempt, 0));
  AttemptToken crossed = Token(first.attempt, 1);
  crossed.answerId = "chatcmpl-d1-2000-a7";
  crossed.text = "other ";
  f.Post(crossed);
  CHECK(f.Take<CancelAttempt>().size() == 1);
  f.Post(Token(first.attempt, 1)); // late
  const auto second = f.Take<StartModelAttempt>().at(0);
  f.Post(Token(second.attempt, 1));
  f.Post(AttemptFinished{ second.attempt, "stop" });
  CHECK(ReceivedText(f.Take<ReplyStreamEvent>()) == "t0 t1 ");
  CHECK(f.world.counters.Get(Counter::TokensDropped) == 2);
}

TEST_CASE("Quick questions go before long answers, and a late long one is promoted",
          "[dispatch]")
{
  // Guards against a long answer that starves behind quick questions, and the reverse.
  DispatchFixture f;
  const auto priorityOf = [&](const std::string& aLimit) {
    f.Request("POST", "/v1/chat/completions", {},
              R"({"messages":[{"role":"user","content":"a"}])" + aLimit + "}");
    const auto start = f.Take<StartModelAttempt>().at(0);
    return nlohmann::json::parse(start.body)["priority"].get<int>();
  };
  CHECK(priorityOf(R"(,"max_tokens":50)") == kQuickPriority);
  CHECK(priorityOf(R"(,"max_tokens":4000)") == kLongPriority);
  CHECK(priorityOf("") == kLongPriority);
  f.Advance(10s); // the first-token timeout
  const auto again = f.Take<StartModelAttempt>();
  REQUIRE(again.size() == 3);
  for (const StartModelAttempt& start : again) {
    CHECK(nlohmann::json::parse(start.body)["priority"] == kQuickPriority);
  }
  CHECK(PriorityOf(RequestRow{ .job = "j" }) == kQueuedPriority);
}

TEST_CASE("A stalled stream is moved and the old attempt cancelled", "[dispatch]")
{
  DispatchFixture f;
  f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  const auto first = f.Take<StartModelAttempt>().at(0);
  f.Advance(1s);
  f.Post(Token(first.attempt, 0));
  f.Advance(9s);
  f.Advance(1s);
  CHECK(f.Take<CancelAttempt>().size() == 1);
  CHECK(f.Take<StartModelAttempt>().size() == 1);
  CHECK(f.world.counters.Get(Counter::AttemptsStalled) == 1);
}

TEST_CASE("A reclaim notice moves streams before the host goes", "[dispatch]")
{
  DispatchFixture f;
  f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  const auto first = f.Take<StartModelAttempt>().at(0);
  for (auto& [id, backend] : f.world.backends) {
    if (backend.spec.address == first.address) {
      backend.leaving = true;
      f.Post(ReclaimNotice{ .host = backend.spec.host, .timeLeft = 5s });
      break;
    }
  }
  CHECK(f.Take<StartModelAttempt>().empty());
  f.Advance(4500ms);
  const auto second = f.Take<StartModelAttempt>();
  REQUIRE(second.size() == 1);
  CHECK(second[0].address != first.address);
}

TEST_CASE("An action whose connection broke is never sent again", "[dispatch]")
{
  // Guards against a retry on any error, which runs the action twice.
  DispatchFixture f;
  f.Request("POST", "/pickups", { { "Idempotency-Key", "k1" } }, "{}");
  const auto attempt = f.Take<StartServiceAttempt>().at(0);
  f.Post(AttemptBroken{ attempt.attempt, "reset" });
  f.Advance(20s);
  CHECK(f.Take<StartServiceAttempt>().empty());
  CHECK(ErrorKindOf(f.Take<ReplyWhole>().at(0)) == "outcome_unknown");
  REQUIRE(f.world.claimEnds.size() == 1);
  CHECK(f.world.claimEnds[0].how == ClaimEnd::How::Unknown);
}

TEST_CASE("A service's answer to another request is not passed on", "[dispatch]")
{
  // Guards against a caller that gets the outcome of another caller's action.
  DispatchFixture f;
  const Headers other = { { "X-Request-Id", "d7-1000-a1" } };
  f.Request("POST", "/pickups", { { "Idempotency-Key", "k1" } }, "{}");
  const auto action = f.Take<StartServiceAttempt>().at(0);
  f.Post(AttemptAnswered{ action.attempt, 200, other, "theirs" });
  CHECK(ErrorKindOf(f.Take<ReplyWhole>().at(0)) == "outcome_unknown");
  CHECK(f.Take<StartServiceAttempt>().empty());
  REQUIRE(f.world.claimEnds.size() == 1);
  CHECK(f.world.claimEnds[0].how == ClaimEnd::How::Unknown);
  for (int i = 0; i < 5; ++i) { // earns one retry
    f.Request("GET", "/status");
  }
  const auto reads = f.Take<StartServiceAttempt>();
  f.Post(AttemptAnswered{ reads.at(0).attempt, 200, other, "theirs" });
  CHECK(f.Take<ReplyWhole>().empty());
  CHECK(f.Take<StartServiceAttempt>().size() == 1);
}

TEST_CASE("A refused connection proves that nothing was sent", "[dispatch]")
{
  DispatchFixture f;
  f.Request("POST", "/pickups", { { "Idempotency-Key", "k1" } }, "{}");
  const auto first = f.Take<StartServiceAttempt>().at(0);
  f.Post(AttemptNotSent{ first.attempt, "refused" });
  const auto second = f.Take<StartServiceAttempt>().at(0);
  CHECK(second.address != first.address);
  for (auto& [id, backend] : f.world.backends) {
    backend.leaving = true;
  }
  f.Post(AttemptNotSent{ second.attempt, "refused" });
  const auto reply = f.Take<ReplyWhole>().at(0);
  CHECK(ErrorKindOf(reply) == "no_backend");
  CHECK(FindHeader(reply.headers, "Retry-After") == "2");
  REQUIRE(f.world.claimEnds.size() == 1);
  CHECK(f.world.claimEnds[0].how == ClaimEnd::How::Abandoned);
}

TEST_CASE("A late answer of an action is recorded after the caller was answered",
          "[dispatch]")
{
  DispatchFixture f;
  f.Request("POST", "/pickups", { { "Idempotency-Key", "k1" } }, "{}");
  const auto attempt = f.Take<StartServiceAttempt>().at(0);
  CHECK(attempt.timeout > 30s);
  f.Advance(30s);
  CHECK(ErrorKindOf(f.Take<ReplyWhole>().at(0)) == "outcome_unknown");
  f.Post(AttemptAnswered{ attempt.attempt, 200, {}, "done" });
  CHECK(f.Take<ReplyWhole>().empty());
  REQUIRE(f.world.claimEnds.size() == 1);
  CHECK(f.world.claimEnds[0].how == ClaimEnd::How::Done);
  CHECK(f.world.claimEnds[0].answer.body == "done");
}

TEST_CASE("A caller that leaves cancels a chat, a stream later, and no action",
          "[dispatch]")
{
  // Guards against work for a caller that does not come back, and against a stream that
  // is lost before its caller could attach again.
  DispatchFixture f;
  const RequestId whole = f.Request("POST", "/v1/chat/completions", {},
                                    R"({"messages":[{"role":"user","content":"a"}]})");
  f.Post(CallerGone{ whole });
  CHECK(f.Take<CancelAttempt>().size() == 1);
  CHECK(f.world.requests.IsEmpty());
  const RequestId chat =
    f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  f.Post(CallerGone{ chat });
  f.Advance(f.world.options.reattachTime - 1ms);
  CHECK(f.Take<CancelAttempt>().empty());
  CHECK(f.world.requests.Size() == 1);
  f.Advance(1ms);
  CHECK(f.Take<CancelAttempt>().size() == 1);
  CHECK(f.world.requests.IsEmpty());
  CHECK(f.world.attempts.IsEmpty());
  const RequestId pickup =
    f.Request("POST", "/pickups", { { "Idempotency-Key", "k1" } }, "{}");
  f.Post(CallerGone{ pickup });
  CHECK(f.Take<CancelAttempt>().empty());
  CHECK(f.world.requests.Size() == 1);
}

TEST_CASE("Requests that cannot be served get one typed error", "[dispatch]")
{
  DispatchFixture f;
  const auto kindOf = [&](const char* aMethod, const char* aTarget,
                          const Headers& aHeaders, const char* aBody) {
    f.Request(aMethod, aTarget, aHeaders, aBody);
    const auto reply = f.Take<ReplyWhole>().at(0);
    CHECK(FindHeader(reply.headers, "X-Request-Id").starts_with("d0-1000-r"));
    return ErrorKindOf(reply);
  };
  CHECK(kindOf("GET", "/nowhere", {}, "") == "route_not_found");
  CHECK(kindOf("POST", "/pickupsx", {}, "") == "route_not_found");
  CHECK(kindOf("POST", "/pickups/1", {}, "") == "key_missing");
  CHECK(kindOf("POST", "/pickups", { { "Idempotency-Key", "a b" } }, "") ==
        "key_invalid");
  CHECK(kindOf("POST", "/pickups", { { "X-Team", "nobody" } }, "") == "bad_header");
  CHECK(kindOf("POST", "/v1/chat/completions", {}, "{") == "bad_request");
  CHECK(kindOf("POST", "/v1/chat/completions", {}, R"({"messages":[]})") ==
        "bad_request");
  CHECK(kindOf("GET", "/v1/chat/completions", {}, "") == "method_not_allowed");
  f.world.refusesRequests = true;
  CHECK(kindOf("GET", "/status", {}, "") == "draining");
  CHECK(f.world.requests.IsEmpty());
}

TEST_CASE("An idempotent call is tried again within the retry budget", "[dispatch]")
{
  // Guards against a retry storm: five calls earn one retry at 20 percent.
  DispatchFixture f;
  size_t sent = 0;
  for (int i = 0; i < 5; ++i) {
    f.Request("GET", "/status");
    for (auto attempts = f.Take<StartServiceAttempt>(); !attempts.empty();
         attempts = f.Take<StartServiceAttempt>()) {
      sent += attempts.size();
      f.Post(AttemptBroken{ attempts[0].attempt, "reset" });
    }
  }
  CHECK(sent == 6);
  CHECK(f.Take<ReplyWhole>().size() == 5);
}

namespace {

/// An engine that fails at random. The naive version takes each token as it comes and
/// starts again from the beginning.
struct StreamRun
{
  std::string ours;
  std::string naive;
  uint64_t attempts = 0;
};

StreamRun RunFaultyStream(uint64_t aSeed)
{
  constexpr uint64_t kTokens = 20;
  DispatchFixture f(aSeed);
  std::mt19937_64 random(aSeed);
  f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  StreamRun run;
  auto starts = f.Take<StartModelAttempt>();
  while (!starts.empty()) {
    const AttemptId id = starts[0].attempt;
    uint64_t next = f.world.attempts.Find(id)->firstOffset;
    ++run.attempts;
    while (starts[0].attempt == id && f.world.attempts.Find(id)) {
      // At most 7 attempts fail, since the policy allows 8.
      const uint64_t fault = run.attempts < 8 ? random() % 12 : 11;
      AttemptToken token = Token(id, next);
      if (next == kTokens) {
        f.Post(AttemptFinished{ id, "stop" });
        break;
      }
      if (fault == 0) {
        f.Post(AttemptBroken{ id, "reset" });
        break;
      }
      if (fault == 1) {
        token.answerId = "chatcmpl-other";
        token.text = "other ";
      } else if (fault == 2) {
        token = Token(id, next + 1);
      } else {
        ++next;
      }
      run.naive += token.text;
      f.Post(token);
      if (fault == 3) {
        f.Post(token);
        run.naive += token.text;
      }
    }
    f.Advance(1s);
    starts = f.Take<StartModelAttempt>();
  }
  run.ours = ReceivedText(f.Take<ReplyStreamEvent>());
  return run;
}

} // namespace

TEST_CASE("Streams are whole under random engine faults; the naive version's are not",
          "[dispatch][differential]")
{
  constexpr uint64_t kSeeds = 500;
  std::string expected;
  for (int i = 0; i < 20; ++i) {
    expected += "t" + std::to_string(i) + " ";
  }
  uint64_t naiveWrong = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const StreamRun run = RunFaultyStream(seed);
    INFO("seed " << seed << " attempts " << run.attempts);
    REQUIRE(run.ours == expected);
    naiveWrong += run.naive != expected ? 1 : 0;
  }
  WARN("streams: " << kSeeds << " scenarios, ours wrong 0, naive wrong " << naiveWrong);
  CHECK(naiveWrong > 0);
}

TEST_CASE("A KV handle comes from the daemon only", "[dispatch]")
{
  // Guards against a caller that names the cache of another caller's request.
  const auto chat = ParseChatRequest(
    R"({"messages":[{"role":"user","content":"x"}],"kv_transfer_params":{"kv_handle":"h"}})");
  CHECK_FALSE(nlohmann::json::parse(EngineRequestBody(*chat, {}, { .requestId = "r" }))
                .contains("kv_transfer_params"));
  const auto body = nlohmann::json::parse(
    EngineRequestBody(*chat, {}, { .requestId = "r", .kvHandle = "k" }));
  CHECK(body["kv_transfer_params"]["kv_handle"] == "k");
}

TEST_CASE("Tokens between export and move are neither lost nor repeated", "[dispatch]")
{
  // Guards against a resume from the exported position, and against a handle that is
  // carried on after an engine refused it or took it over.
  DispatchFixture f;
  f.Request("POST", "/v1/chat/completions", {}, std::string(kChat));
  const auto first = f.Take<StartModelAttempt>().at(0);
  f.Post(Token(first.attempt, 0));
  for (auto& [id, backend] : f.world.backends) {
    if (backend.spec.address == first.address) {
      backend.leaving = true;
      f.Post(ReclaimNotice{ .host = backend.spec.host, .timeLeft = 2s });
      f.Post(ReclaimNotice{ .host = backend.spec.host, .timeLeft = 2s }); // again
      break;
    }
  }
  CHECK(f.Take<ExportKv>().empty());
  f.Advance(500ms);
  const auto exports = f.Take<ExportKv>();
  REQUIRE(exports.size() == 1);
  CHECK(exports[0].address == first.address);
  CHECK(exports[0].name == WireName(first.attempt));
  CHECK(exports[0].timeout == 1s);
  f.Post(Token(first.attempt, 1)); // the stream goes on
  f.Post(KvExported{ first.attempt, "k" });
  f.Post(Token(first.attempt, 2)); // on its way when the attempt was cancelled
  f.Post(KvExported{ first.attempt, "late" });
  const auto second = f.Take<StartModelAttempt>().at(0);
  auto body = nlohmann::json::parse(second.body);
  CHECK(body["messages"].back()["content"] == "t0 t1 ");
  CHECK(body["kv_transfer_params"]["kv_handle"] == "k");
  SECTION("the handle is refused")
  {
    f.Post(AttemptAnswered{ .attempt = second.attempt, .status = 400 });
    const auto third = f.Take<StartModelAttempt>().at(0);
    body = nlohmann::json::parse(third.body);
    CHECK_FALSE(body.contains("kv_transfer_params"));
    CHECK(f.world.counters.Get(Counter::KvHandlesRefused) == 1);
    f.Post(Token(third.attempt, 2));
    f.Post(AttemptFinished{ third.attempt, "stop" });
  }
  SECTION("the connection is refused: the handle is kept, and dropped once it was used")
  {
    f.Post(AttemptNotSent{ second.attempt, "refused" });
    const auto third = f.Take<StartModelAttempt>().at(0);
    CHECK(third.body.View().find("kv_handle") != std::string::npos);
    f.Post(Token(third.attempt, 2));
    f.Post(AttemptBroken{ third.attempt, "reset" });
    const auto fourth = f.Take<StartModelAttempt>().at(0);
    CHECK(fourth.body.View().find("kv_handle") == std::string::npos);
    f.Post(AttemptFinished{ fourth.attempt, "stop" });
  }
  CHECK(ReceivedText(f.Take<ReplyStreamEvent>()) == "t0 t1 t2 ");
  CHECK(f.Take<ReplyStreamEnd>().size() == 1);
}
