#include "gooseberrypath/caller_http.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrypath/testing/loop_fixture.h"

using namespace gooseberrypath;
using namespace std::chrono_literals;

static_assert(CallerPort<CallerHttp>);

namespace {

CallerHttpOptions OptionsOf(LoopFixture& aLoop)
{
  return { .network = aLoop.Network(), .timer = aLoop.Timer(), .sink = aLoop.Sink() };
}

ReplyWhole Answer(RequestId aRequest, std::string aBody)
{
  return { .request = aRequest, .status = 200, .headers = {}, .body = std::move(aBody) };
}

/// Checks that an answer is a typed error of this kind.
void CheckError(const std::string& aAnswer, ErrorKind aKind)
{
  INFO(aAnswer);
  CHECK(aAnswer.starts_with("HTTP/1.1 " + std::to_string(InfoOf(aKind).status)));
  CHECK(aAnswer.find("\r\nX-Request-Id: d0-1-c") != std::string::npos);
  const size_t body = aAnswer.find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  const auto json = nlohmann::json::parse(aAnswer.substr(body + 4));
  CHECK(json["error"]["kind"] == InfoOf(aKind).name);
}

const std::string kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("CallerHttp passes a request on and its answer back", "[caller]")
{
  // Guards against lost headers, changed bodies and mixed-up chunked framing.
  LoopFixture loop;
  CallerHttp callers(OptionsOf(loop));
  RawPeer caller = loop.ConnectTo(callers.Port());
  const bool isChunked = GENERATE(false, true);
  const std::string body{ "a\0\xff\r\nz", 6 };
  caller.Write("PUT /book/7?x=%20y HTTP/1.1\r\nHost: shop\r\nX-Team: t\r\nx-odd: 1\r\n");
  if (isChunked) {
    caller.Write("Transfer-Encoding: chunked\r\n\r\n2\r\n" + body.substr(0, 2) +
                 "\r\n4\r\n");
    caller.Write(body.substr(2) + "\r\n0\r\n\r\n");
  } else {
    caller.Write("Content-Length: 6\r\n\r\n");
    for (const char byte : body) {
      caller.Write({ &byte, 1 });
    }
  }
  const auto request = loop.WaitFor<CallerRequest>();
  CHECK(request.method == "PUT");
  CHECK(request.target == "/book/7?x=%20y");
  CHECK(request.body == body);
  CHECK(FindHeader(request.headers, "X-Team") == "t");
  CHECK(FindHeader(request.headers, "X-Odd") == "1");
  CHECK(FindHeader(request.headers, "Host") == "shop");

  callers.Execute(ReplyWhole{ .request = request.request,
                              .status = 201,
                              .headers = { { "Set-Cookie", "a=1" },
                                           { "Set-Cookie", "b=2" },
                                           { "Connection", "X-Hop" },
                                           { "X-Hop", "1" },
                                           { "X-Bad", "a\r\nb" } },
                              .body = body });
  const std::string answer = caller.ReadUntil(body);
  CHECK(answer == "HTTP/1.1 201 Created\r\nContent-Length: 6\r\nSet-Cookie: a=1\r\n"
                  "Set-Cookie: b=2\r\n\r\n" +
                    body);
  loop.RunUntil([&] { return callers.RequestCount() == 0; });
  callers.Execute(Answer(request.request, "")); // must be ignored
  caller.Write(kGet);
  CHECK(loop.WaitFor<CallerRequest>().request != request.request);
  CHECK(loop.Count<CallerGone>() == 0);
  CHECK(callers.Errors().Count() == 0);
}

TEST_CASE("CallerHttp streams events in order", "[caller]")
{
  // Guards against lost, reordered or wrongly framed events.
  LoopFixture loop;
  CallerHttp callers(OptionsOf(loop));
  RawPeer caller = loop.ConnectTo(callers.Port());
  caller.Write(kGet);
  const RequestId id = loop.WaitFor<CallerRequest>().request;
  callers.Execute(ReplyStreamHead{ id, { { "X-Request-Id", "r" } } });
  callers.Execute(ReplyStreamEvent{ id, "r:0", "", "one" });
  const std::string first = caller.ReadUntil("one\n\n\r\n");
  CHECK(first == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                 "Content-Type: text/event-stream\r\nX-Request-Id: r\r\n\r\n"
                 "13\r\nid: r:0\ndata: one\n\n\r\n");
  callers.Execute(ReplyStreamEvent{ id, "r:1", "", "two" });
  callers.Execute(ReplyStreamEvent{ id, "", "error", "{}\n{}" });
  callers.Execute(ReplyStreamEnd{ id });
  // Both events are in one chunk.
  CHECK(caller.ReadUntil("0\r\n\r\n") ==
        "33\r\nid: r:1\ndata: two\n\nevent: error\ndata: {}\ndata: {}\n\n\r\n0\r\n\r\n");
  loop.RunUntil([&] { return callers.RequestCount() == 0; });
  CHECK(loop.events.empty());
}

TEST_CASE("CallerHttp tells that a caller is gone", "[caller]")
{
  // Guards against work that goes on for callers that closed their connection.
  LoopFixture loop;
  CallerHttp callers(OptionsOf(loop));
  RawPeer caller = loop.ConnectTo(callers.Port());
  caller.Write(kGet);
  const RequestId id = loop.WaitFor<CallerRequest>().request;
  SECTION("before the answer")
  {
    caller.Close();
  }
  SECTION("by ending its side")
  {
    caller.stream->shutdownWrite();
  }
  SECTION("in a stream")
  {
    callers.Execute(ReplyStreamHead{ id, {} });
    callers.Execute(ReplyStreamEvent{ id, "", "", "one" });
    caller.ReadUntil("one");
    caller.Close();
  }
  CHECK(loop.WaitFor<CallerGone>().request == id);
  callers.Execute(Answer(id, ""));
  loop.RunUntil([&] { return callers.ConnectionCount() == 0; });
  CHECK(callers.RequestCount() == 0);
  CHECK(callers.Errors().Count() == 0);
}

TEST_CASE("CallerHttp can answer half-closed callers", "[caller]")
{
  // Guards against treating the end of the request as the end of the caller where the
  // setting says otherwise.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.isHalfCloseGone = false;
  CallerHttp callers(std::move(options));
  RawPeer caller = loop.ConnectTo(callers.Port());
  caller.Write(kGet);
  caller.stream->shutdownWrite();
  const RequestId id = loop.WaitFor<CallerRequest>().request;
  callers.Execute(Answer(id, "whole"));
  CHECK(caller.ReadAll().ends_with("\r\n\r\nwhole"));
  CHECK(loop.Count<CallerGone>() == 0);
}

TEST_CASE("CallerHttp serves pipelined requests in order", "[caller]")
{
  // Guards against bytes lost by the reading ahead while the first request runs.
  LoopFixture loop;
  CallerHttp callers(OptionsOf(loop));
  RawPeer caller = loop.ConnectTo(callers.Port());
  caller.Write(kGet);
  const RequestId first = loop.WaitFor<CallerRequest>().request;
  caller.Write("POST /y HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
               std::string(2000, 'y'));
  callers.Execute(Answer(first, "1st"));
  CHECK(caller.ReadUntil("1st").ends_with("1st"));
  const auto second = loop.WaitFor<CallerRequest>();
  CHECK(second.body == std::string(2000, 'y'));
  callers.Execute(Answer(second.request, "2nd"));
  CHECK(caller.ReadUntil("2nd").ends_with("2nd"));
}

TEST_CASE("CallerHttp answers what it refuses with typed errors", "[caller]")
{
  // Guards against untyped answers, resets and events for requests that were refused.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.maxBodyBytes = 10;
  options.maxHeaderBytes = 2000;
  options.bodyTimeout = 20ms;
  options.headTimeout = 300ms;
  CallerHttp callers(std::move(options));
  RawPeer caller = loop.ConnectTo(callers.Port());
  std::string request;
  auto kind = ErrorKind::BadRequest;
  SECTION("long body")
  {
    request = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 70000\r\n\r\n" +
              std::string(70000, 'x');
    kind = ErrorKind::BodyTooLarge;
  }
  SECTION("many header fields")
  {
    request = "GET / HTTP/1.1\r\nX-A: " + std::string(3000, 'a') + "\r\n\r\n";
    kind = ErrorKind::HeadersTooLarge;
  }
  SECTION("long chunked body")
  {
    request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n"
              "0\r\n\r\n";
    kind = ErrorKind::BodyTooLarge;
  }
  SECTION("slow body")
  {
    request = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab";
    kind = ErrorKind::RequestTimeout;
  }
  SECTION("slow head")
  {
    request = "POST / HT";
    kind = ErrorKind::RequestTimeout;
  }
  SECTION("broken request line")
  {
    request = "NONSENSE\r\n\r\n";
  }
  SECTION("unknown method")
  {
    request = "BREW / HTTP/1.1\r\n\r\n";
  }
  SECTION("broken chunk")
  {
    request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
  }
  SECTION("long head")
  {
    request = "GET / HTTP/1.1\r\nX: " + std::string(200000, 'x') + "\r\n\r\n";
    kind = ErrorKind::HeadersTooLarge;
  }
  auto writing = caller.stream->write(request.data(), request.size())
                   .eagerlyEvaluate([](kj::Exception&&) {});
  const std::string head = caller.ReadUntil("\r\n\r\n");
  INFO(head);
  const size_t length = head.find("Content-Length: ");
  REQUIRE(length != std::string::npos);
  std::string body(std::stoul(head.substr(length + 16)), ' ');
  caller.stream->read(body.data(), body.size()).wait(loop.io.waitScope);
  CheckError(head + body, kind);
  CHECK(loop.events.empty());
  CHECK(callers.Errors().Count() == 0);
}

TEST_CASE("CallerHttp limits connections and running requests", "[caller]")
{
  // Guards against unbounded memory under overload.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.maxConnections = 2;
  options.maxRequests = 1;
  options.discardTimeout = 50ms;
  CallerHttp callers(std::move(options));
  RawPeer first = loop.ConnectTo(callers.Port());
  first.Write(kGet);
  const RequestId id = loop.WaitFor<CallerRequest>().request;
  RawPeer second = loop.ConnectTo(callers.Port());
  second.Write("GET /x HTTP/1.1\r\n\r\n");
  CheckError(second.ReadUntil("}}"), ErrorKind::Overloaded);
  RawPeer third = loop.ConnectTo(callers.Port());
  third.Write(kGet);
  CheckError(third.ReadAll(), ErrorKind::Overloaded);
  CHECK(callers.ConnectionCount() == 2);

  // A planned stop answers the running request and closes the idle connection.
  callers.Stop();
  CHECK(second.ReadAll().empty());
  callers.Execute(Answer(id, "done"));
  const std::string answer = first.ReadAll();
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(answer.ends_with("done"));
  loop.RunUntil([&] { return callers.ConnectionCount() == 0; });
  CHECK_THROWS(loop.ConnectTo(callers.Port()));
  CHECK(loop.Count<CallerGone>() == 0);
}

TEST_CASE("CallerHttp drops a caller that does not read its stream", "[caller]")
{
  // Guards against queues that grow without limit for slow callers.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.maxQueuedBytes = 100'000;
  CallerHttp callers(std::move(options));
  RawPeer caller = loop.ConnectTo(callers.Port());
  caller.Write(kGet);
  const RequestId id = loop.WaitFor<CallerRequest>().request;
  callers.Execute(ReplyStreamHead{ id, {} });
  const std::string data(50'000, 'd');
  for (int i = 0; i < 2000 && loop.Count<CallerGone>() == 0; ++i) {
    callers.Execute(ReplyStreamEvent{ id, "", "", data });
    loop.io.waitScope.poll();
  }
  CHECK(loop.WaitFor<CallerGone>().request == id);
  loop.RunUntil([&] { return callers.ConnectionCount() == 0; });
  CHECK(callers.Errors().Count() == 0);
}
