#include "gooseberrypath/backend_http.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/loop_fixture.h"

using namespace gooseberrypath;
using namespace std::chrono_literals;

static_assert(BackendPort<BackendHttp>);

namespace {

BackendHttpOptions OptionsOf(LoopFixture& aLoop)
{
  return { .network = aLoop.Network(), .timer = aLoop.Timer(), .sink = aLoop.Sink() };
}

StartServiceAttempt ServiceAttempt(std::string aAddress, std::string aMethod = "POST")
{
  return { .attempt = { 5 },
           .address = std::move(aAddress),
           .method = std::move(aMethod),
           .target = "/pickups?a=1",
           .headers = { { "X-Team", "t" }, { "Connection", "X-Hop" }, { "X-Hop", "1" } },
           .body = "pickup",
           .timeout = 10s };
}

std::string Chunk(int aOffset, const std::string& aText)
{
  return R"(data: {"id":"chatcmpl-5","token_offset":)" + std::to_string(aOffset) +
         R"(,"choices":[{"delta":{"content":")" + aText + "\"}}]}\n\n";
}

const std::string kFinish = "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
const std::string kHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

} // namespace

TEST_CASE("BackendHttp passes a service call through", "[backend]")
{
  // Guards against hop-by-hop fields that are passed on and against changed bodies.
  LoopFixture loop;
  BackendHttp backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(ServiceAttempt(loop.AddressOf(*listener)));
  RawPeer service = loop.Accept(*listener);
  const std::string request = service.ReadUntil("\r\n\r\npickup");
  CHECK(request == "POST /pickups?a=1 HTTP/1.1\r\nContent-Length: 6\r\nHost: " +
                     loop.AddressOf(*listener) + "\r\nX-Team: t\r\n\r\npickup");
  service.Write("HTTP/1.1 418 Odd\r\nContent-Length: 2\r\nX-Price: 3\r\n"
                "Connection: X-Hop\r\nX-Hop: 1\r\n\r\no");
  service.Write("k");
  const auto answer = loop.WaitFor<AttemptAnswered>();
  CHECK(answer.attempt == AttemptId{ 5 });
  CHECK(answer.status == 418);
  CHECK(answer.headers == Headers{ { "X-Price", "3" } });
  CHECK(answer.body == "ok");
  CHECK(service.ReadAll().empty()); // the connection is not used again
  CHECK(loop.events.empty());
  CHECK(backends.AttemptCount() == 0);
}

TEST_CASE("BackendHttp tells refused connections from broken ones", "[backend]")
{
  // Guards against a second run of an action that may have run, and against
  // outcome_unknown for an action that was never sent.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.maxAnswerBytes = 100;
  BackendHttp backends(std::move(options));
  SECTION("refused")
  {
    backends.Execute(ServiceAttempt(loop.RefusingAddress()));
    CHECK(loop.WaitFor<AttemptNotSent>().attempt == AttemptId{ 5 });
  }
  SECTION("refused model attempt")
  {
    backends.Execute(StartModelAttempt{ { 5 }, loop.RefusingAddress(), {}, "{}" });
    CHECK(loop.WaitFor<AttemptNotSent>().attempt == AttemptId{ 5 });
  }
  SECTION("malformed address")
  {
    backends.Execute(ServiceAttempt("localhost:80"));
    CHECK(loop.WaitFor<AttemptNotSent>().attempt == AttemptId{ 5 });
  }
  SECTION("after the connection was made")
  {
    auto listener = loop.Listen();
    auto attempt = ServiceAttempt(loop.AddressOf(*listener));
    const std::string answer =
      GENERATE("", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "nonsense\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut",
               "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'),
               "timeout");
    INFO(answer);
    const bool isTimeout = answer == "timeout";
    if (isTimeout) {
      attempt.timeout = 50ms;
    }
    backends.Execute(attempt);
    RawPeer service = loop.Accept(*listener);
    service.ReadUntil("\r\n\r\npickup");
    if (!isTimeout) {
      service.Write(answer);
      service.Close();
    }
    CHECK(loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 5 });
  }
  CHECK(loop.events.empty());
  CHECK(backends.AttemptCount() == 0);
  CHECK(backends.Errors().Count() == 0);
}

TEST_CASE("BackendHttp takes an answer whose status is no final one for a broken one",
          "[backend]")
{
  // Guards against a status that no caller understands and that is passed on as an
  // answer.
  LoopFixture loop;
  BackendHttp backends(OptionsOf(loop));
  auto listener = loop.Listen();
  const bool isModel = GENERATE(false, true);
  const std::string status = GENERATE("000", "099", "0", "20", "600", "999");
  INFO(status << (isModel ? " of an engine" : " of a service"));
  if (isModel) {
    backends.Execute(StartModelAttempt{ { 5 }, loop.AddressOf(*listener), {}, "pickup" });
  } else {
    backends.Execute(ServiceAttempt(loop.AddressOf(*listener)));
  }
  RawPeer service = loop.Accept(*listener);
  service.ReadUntil("\r\n\r\npickup");
  service.Write("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
  CHECK(loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 5 });
  CHECK(loop.events.empty());
  CHECK(backends.AttemptCount() == 0);
}

TEST_CASE("BackendHttp: an answer without length that was cut does not look whole",
          "[.][product_end_known_red]")
{
  // Guards against a length that the daemon adds to an answer whose service broke off.
  LoopFixture loop;
  BackendHttp backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(ServiceAttempt(loop.AddressOf(*listener)));
  RawPeer service = loop.Accept(*listener);
  service.ReadUntil("\r\n\r\npickup");
  service.Write("HTTP/1.1 200 OK\r\n\r\ncut");
  service.Close();
  loop.RunUntil([&] { return !loop.events.empty(); });
  CHECK(loop.Count<AttemptAnswered>() == 0);
}

TEST_CASE("BackendHttp keeps the length of an answer to HEAD", "[backend]")
{
  // Guards against waiting for a body that is never sent, and against a lost length.
  LoopFixture loop;
  BackendHttp backends(OptionsOf(loop));
  auto listener = loop.Listen();
  auto attempt = ServiceAttempt(loop.AddressOf(*listener), "HEAD");
  attempt.body = {};
  backends.Execute(attempt);
  RawPeer service = loop.Accept(*listener);
  service.ReadUntil("\r\n\r\n");
  service.Write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
  const auto answer = loop.WaitFor<AttemptAnswered>();
  CHECK(answer.headers == Headers{ { "Content-Length", "77" } });
  CHECK(answer.body.empty());
}

TEST_CASE("BackendHttp emits the tokens of a model attempt", "[backend]")
{
  // Guards against lost or reordered tokens and against taking a cut stream for a whole
  // one.
  LoopFixture loop;
  BackendHttp backends(OptionsOf(loop));
  auto listener = loop.Listen();
  const AttemptId id{ 5 };
  backends.Execute(StartModelAttempt{
    id, loop.AddressOf(*listener), { { "traceparent", "00-1" } }, "{}" });
  RawPeer engine = loop.Accept(*listener);
  const std::string request = engine.ReadUntil("{}");
  CHECK(request.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"));
  CHECK(request.find("traceparent: 00-1") != std::string::npos);
  engine.Write(kHead + Chunk(0, "a"));
  CHECK(loop.WaitFor<AttemptToken>().text == "a"); // before the stream ended
  const std::string next = Chunk(1, "b");
  engine.Write(next.substr(0, 20));
  engine.Write(next.substr(20));
  const auto token = loop.WaitFor<AttemptToken>();
  CHECK(token.attempt == id);
  CHECK(token.answerId == "chatcmpl-5");
  CHECK(token.offset == 1);
  CHECK(token.text == "b");
  SECTION("finished")
  {
    engine.Write(Chunk(2, "c") + kFinish + "data: [DONE]\n\n" + Chunk(3, "d"));
    CHECK(loop.WaitFor<AttemptFinished>().finishReason == "stop");
    CHECK(loop.WaitFor<AttemptToken>().text == "c");
  }
  SECTION("ended without [DONE]")
  {
    engine.Write(kFinish);
    engine.Close();
    CHECK(loop.WaitFor<AttemptBroken>().attempt == id);
  }
  SECTION("[DONE] without finish_reason")
  {
    engine.Write("data: [DONE]\n\n");
    CHECK(loop.WaitFor<AttemptBroken>().attempt == id);
  }
  SECTION("malformed after a token")
  {
    engine.Write(Chunk(2, "c") + "data: oops\n\n");
    CHECK(loop.WaitFor<AttemptBroken>().attempt == id);
    CHECK(loop.WaitFor<AttemptToken>().text == "c");
  }
  SECTION("cancelled")
  {
    engine.Write(Chunk(2, "c"));
    backends.Execute(CancelAttempt{ id });
    CHECK(engine.ReadAll().empty()); // the engine sees the end of the connection
  }
  CHECK(loop.events.empty());
  CHECK(backends.AttemptCount() == 0);
  CHECK(backends.Errors().Count() == 0);
}

TEST_CASE("BackendHttp allows cancelling and starting from the sink", "[backend]")
{
  // Guards against a use of an attempt that the core cancelled while handling its token.
  LoopFixture loop;
  BackendHttp* port = nullptr;
  auto options = OptionsOf(loop);
  auto listener = loop.Listen();
  const std::string address = loop.AddressOf(*listener);
  options.sink = [&, inner = loop.Sink()](Event aEvent) {
    if (std::holds_alternative<AttemptToken>(aEvent)) {
      port->Execute(CancelAttempt{ { 5 } });
      port->Execute(StartModelAttempt{ { 6 }, address, {}, "{}" });
    }
    inner(std::move(aEvent));
  };
  BackendHttp backends(std::move(options));
  port = &backends;
  backends.Execute(StartModelAttempt{ { 5 }, address, {}, "{}" });
  RawPeer engine = loop.Accept(*listener);
  engine.Write(kHead + Chunk(0, "a") + Chunk(1, "b"));
  RawPeer second = loop.Accept(*listener);
  second.Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  const auto answer = loop.WaitFor<AttemptAnswered>();
  CHECK(answer.attempt == AttemptId{ 6 });
  CHECK(answer.status == 503);
  CHECK(loop.Count<AttemptToken>() == 1);
}

TEST_CASE("BackendHttp polls loads", "[backend]")
{
  // Guards against a crash on malformed reports and against polling of removed backends.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.loadInterval = 1ms;
  BackendHttp backends(std::move(options));
  auto listener = loop.Listen();
  const std::string address = loop.AddressOf(*listener);
  backends.Execute(WatchLoads{ { address, loop.RefusingAddress(), "nonsense" } });
  RawPeer engine = loop.Accept(*listener);
  const auto answer = [&](const std::string& aBody) {
    CHECK(engine.ReadUntil("\r\n\r\n").starts_with("GET /load HTTP/1.1\r\n"));
    engine.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
                 "\r\n\r\n" + aBody);
  };
  answer("[]");
  answer(R"({"running":-1})");
  answer(R"({"running":3,"queued":2,"kv_used_tokens":9,"kv_limit_tokens":10,)"
         R"("measured_ms_ago":40})");
  const auto report = loop.WaitFor<LoadReport>();
  CHECK(report.address == address);
  CHECK(report.running == 3);
  CHECK(report.queued == 2);
  CHECK(report.kvUsedTokens == 9);
  CHECK(report.kvLimitTokens == 10);
  CHECK(report.age == 40ms);
  CHECK(backends.LoadFailures() >= 3);
  backends.Execute(WatchLoads{});
  engine.ReadAll();
  CHECK(loop.events.empty());
  CHECK(backends.Errors().Count() == 0);
}

TEST_CASE("BackendHttp exports a KV cache with exactly one result", "[backend]")
{
  // Guards against a stream that waits for an export without a result, and against a
  // handle taken from an error.
  LoopFixture loop;
  BackendHttp backends(OptionsOf(loop));
  ExportKv action{ .attempt = { 5 },
                   .address = loop.RefusingAddress(),
                   .name = "d0-1-a5",
                   .timeout = 300ms };
  SECTION("refused connection")
  {
    backends.Execute(action);
    CHECK(loop.WaitFor<KvExportFailed>().attempt == AttemptId{ 5 });
  }
  SECTION("malformed address")
  {
    action.address = "localhost:80";
    backends.Execute(action);
    CHECK(loop.WaitFor<KvExportFailed>().attempt == AttemptId{ 5 });
  }
  SECTION("answers")
  {
    auto listener = loop.Listen();
    action.address = loop.AddressOf(*listener);
    const std::string answer =
      GENERATE("200 OK|{\"kv_handle\":\"kv1-7\"}", "200 OK|{\"kv_handle\":\"\"}",
               "200 OK|{}", "200 OK|[", "404 Not Found|{\"kv_handle\":\"x\"}", "timeout");
    INFO(answer);
    backends.Execute(action);
    RawPeer engine = loop.Accept(*listener);
    const std::string request = engine.ReadUntil("\"d0-1-a5\"}");
    CHECK(request.starts_with("POST /kv/export HTTP/1.1\r\n"));
    CHECK(request.ends_with("\r\n\r\n{\"request_id\":\"d0-1-a5\"}"));
    if (const size_t bar = answer.find('|'); bar != std::string::npos) {
      const std::string body = answer.substr(bar + 1);
      engine.Write("HTTP/1.1 " + answer.substr(0, bar) + "\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (answer.find("kv1-7") != std::string::npos) {
      CHECK(loop.WaitFor<KvExported>().handle == "kv1-7");
    } else {
      CHECK(loop.WaitFor<KvExportFailed>().attempt == AttemptId{ 5 });
    }
  }
  CHECK(loop.events.empty());
}
