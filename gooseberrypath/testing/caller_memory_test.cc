// Tests of the account of request memory at the callers' port of `serve`.

#include <catch2/catch.hpp>

#include "gooseberrypath/caller_http.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath {

using namespace std::chrono_literals;

namespace {

constexpr size_t kBodyLimit = size_t{ 4 } * 1024 * 1024;

struct Fixture
{
  std::string Head(size_t aLength) const
  {
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(aLength) +
           "\r\n\r\n";
  }

  /// Connects and sends the head of a request and the first bytes of its body. Waits
  /// until they are read.
  RawPeer Begin(size_t aLength, size_t aSent)
  {
    const size_t before = memory->InUse();
    RawPeer caller = loop.ConnectTo(callers.Port());
    caller.Write(Head(aLength) + std::string(aSent, 'x'));
    loop.RunUntil([&] { return memory->InUse() >= before + aSent; });
    return caller;
  }

  void Wait(kj::Duration aTime)
  {
    loop.Timer().afterDelay(aTime).wait(loop.io.waitScope);
  }

  LoopFixture loop;
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>(1);
  CallerHttp callers{ { .network = loop.Network(),
                        .timer = loop.Timer(),
                        .sink = loop.Sink(),
                        .maxBodyBytes = kBodyLimit,
                        .maxConnections = 2,
                        .memory = memory } };
};

} // namespace

TEST_CASE("CallerHttp refuses a request that finds no room", "[caller][memory]")
{
  // Guards against a total of bodies without a bound, and against refusals that do not
  // say that nothing was run or that keep what was read.
  Fixture fixture;
  MemoryCharge others(fixture.memory);
  others.Resize(fixture.memory->Bound() - 20000);
  RawPeer caller = fixture.loop.ConnectTo(fixture.callers.Port());
  caller.Write(fixture.Head(30000) + std::string(30000, 'x'));
  const std::string answer = caller.ReadAll();
  CHECK(answer.starts_with("HTTP/1.1 503 "));
  CHECK(answer.find("\r\nRetry-After: 1\r\n") != std::string::npos);
  CHECK(answer.find("not_run") != std::string::npos);
  CHECK(fixture.loop.events.empty());
  CHECK(fixture.memory->InUse() == others.Bytes());
  CHECK(fixture.callers.GetShortages() == Shortages{ .refusedRequests = 1 });
  CHECK(fixture.callers.Errors().Count() == 0);
}

TEST_CASE("CallerHttp charges a request until it is answered", "[caller][memory]")
{
  // Guards against requests that run and are no longer counted, and against memory that
  // is never returned.
  Fixture fixture;
  RawPeer caller = fixture.Begin(30000, 30000);
  {
    const auto request = fixture.loop.WaitFor<CallerRequest>();
    CHECK(fixture.memory->InUse() >= 30000);
    fixture.callers.Execute(ReplyWhole{ .request = request.request, .body = "ok" });
    caller.ReadUntil("ok");
    CHECK(fixture.memory->InUse() >= 30000);
  }
  CHECK(fixture.memory->InUse() == 0);
}

TEST_CASE("CallerHttp drops the slowest incomplete body to make room", "[caller][memory]")
{
  // Guards against bodies that stop before their end and shut out all other requests.
  Fixture fixture;
  RawPeer stopped = fixture.Begin(kBodyLimit, 30000);
  fixture.Wait(600 * kj::MILLISECONDS);
  MemoryCharge others(fixture.memory);
  others.Resize(fixture.memory->Bound() - 40000);
  RawPeer caller = fixture.loop.ConnectTo(fixture.callers.Port());
  caller.Write(fixture.Head(20000) + std::string(20000, 'y'));
  CHECK(fixture.loop.WaitFor<CallerRequest>().body == std::string(20000, 'y'));
  CHECK(stopped.ReadAll().starts_with("HTTP/1.1 408 "));
  CHECK(fixture.callers.GetShortages() == Shortages{ .droppedRequests = 1 });
}

TEST_CASE("CallerHttp replaces the connection that waits longest", "[caller][memory]")
{
  // Guards against idle connections and incomplete requests that shut out new callers,
  // and against the end of a connection whose request runs.
  Fixture fixture;
  RawPeer busy = fixture.Begin(10, 10);
  const RequestId running = fixture.loop.WaitFor<CallerRequest>().request;
  RawPeer idle = fixture.loop.ConnectTo(fixture.callers.Port());
  fixture.loop.RunUntil([&] { return fixture.callers.ConnectionCount() == 2; });
  fixture.Wait(600 * kj::MILLISECONDS);
  RawPeer caller = fixture.loop.ConnectTo(fixture.callers.Port());
  caller.Write(fixture.Head(2) + "xx");
  CHECK(fixture.loop.WaitFor<CallerRequest>().body == "xx");
  CHECK(idle.ReadAll().empty());
  CHECK(fixture.callers.ConnectionCount() == 2);
  fixture.callers.Execute(ReplyWhole{ .request = running, .body = "ok" });
  CHECK(busy.ReadUntil("ok").starts_with("HTTP/1.1 200 "));
}

} // namespace gooseberrypath
