#include "entry/caller_port.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

using EntryLoop = BasicLoopFixture<Event>;

/// A CallerPort that listens on a free TCP port of the loopback interface.
struct CallerPortFixture
{
  explicit CallerPortFixture(EntryLoop& aLoop)
    : port(static_cast<uint16_t>(aLoop.Listen()->getPort()))
    , callers({ .network = aLoop.Network(),
                .timer = aLoop.Timer(),
                .sink = aLoop.Sink(),
                .now = [this] { return now; },
                .address = "127.0.0.1:" + std::to_string(port) })
  {
  }

  TimePoint now{ 1s };
  uint16_t port;
  CallerPort callers;
};

const std::string kRequest = "POST /pickups/7 HTTP/1.1\r\nHost: Shop.example:80\r\n"
                             "Gooseberrypath-Request-Id: r1\r\n"
                             "Gooseberrypath-Deadline-Ms: 1500\r\n"
                             "Authorization: Token k1\r\n"
                             "Gooseberrypath-Tenant: forged\r\n"
                             "Content-Length: 6\r\n\r\npickup";

} // namespace

TEST_CASE("Pipelined calls are decoded and answered one by one", "[entry][caller]")
{
  // Guards against a second call that is submitted before the first one has its response,
  // and against headers by which a caller could pretend to be another team.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer caller = loop.ConnectTo(fixture.port);
  caller.Write(kRequest + kRequest); // the second one waits for the first response
  const auto arrived = loop.WaitFor<CallArrived>();
  CHECK(arrived.call.host == "shop.example");
  CHECK(arrived.call.target == "/pickups/7");
  CHECK(arrived.call.key == "k1");
  CHECK(arrived.call.callerTimeout == 1500ms);
  CHECK(arrived.call.body == "pickup");
  // The API key and fields that only the system may set are not forwarded.
  CHECK(FindHeader(arrived.call.headers, "Gooseberrypath-Tenant").empty());
  CHECK(FindHeader(arrived.call.headers, "Authorization").empty());
  CHECK(loop.Count<CallArrived>() == 0);
  fixture.callers.Execute(
    WriteResponse{ .exchange = arrived.exchange, .status = 201, .body = "ok" });
  CHECK(caller.ReadUntil("\r\n\r\nok") ==
        "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  CHECK(loop.WaitFor<CallArrived>().exchange != arrived.exchange);
}

TEST_CASE("A chunked body is read completely", "[entry][caller]")
{
  // Guards against a body that is cut at a chunk or contains chunk framing.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer caller = loop.ConnectTo(fixture.port);
  caller.Write(
    "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc");
  caller.Write("\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(loop.WaitFor<CallArrived>().call.body == "abcde");
}

TEST_CASE("A request with two conflicting lengths is refused", "[entry][caller]")
{
  // Guards against request smuggling by Content-Length together with Transfer-Encoding.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer caller = loop.ConnectTo(fixture.port);
  caller.Write("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b/ HTTP/1.1\r\n\r\n");
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 400 "));
  CHECK(loop.events.empty());
}

TEST_CASE("An aborted stream does not look complete", "[entry][caller]")
{
  // Guards against a caller that takes the first part of a stream for all of it.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer caller = loop.ConnectTo(fixture.port);
  caller.Write(kRequest);
  const ExchangeId id = loop.WaitFor<CallArrived>().exchange;
  fixture.callers.Execute(WriteStreamHead{ id, 200, {} });
  fixture.callers.Execute(WriteStreamBytes{ id, "data: a\n\n" });
  SECTION("aborted")
  {
    fixture.callers.Execute(AbortResponse{ id });
    CHECK(caller.ReadAll().ends_with("\r\n\r\n9\r\ndata: a\n\n\r\n"));
  }
  SECTION("ended")
  {
    fixture.callers.Execute(FinishStream{ id });
    CHECK(caller.ReadUntil("0\r\n\r\n").ends_with("9\r\ndata: a\n\n\r\n0\r\n\r\n"));
  }
}

TEST_CASE("A caller that disconnects is reported at once", "[entry][caller]")
{
  // Guards against work for a caller that has gone, and against a late response to it.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer caller = loop.ConnectTo(fixture.port);
  caller.Write(kRequest);
  const ExchangeId id = loop.WaitFor<CallArrived>().exchange;
  caller.Close();
  CHECK(loop.WaitFor<CallerDisconnected>().exchange == id);
  // A response after that has no effect.
  fixture.callers.Execute(WriteResponse{ .exchange = id, .status = 200 });
}

TEST_CASE("Draining closes idle connections, and busy ones after their response",
          "[entry][caller]")
{
  // Guards against a planned stop that cuts calls or waits for idle connections.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer idle = loop.ConnectTo(fixture.port);
  RawPeer busy = loop.ConnectTo(fixture.port);
  busy.Write(kRequest);
  const ExchangeId id = loop.WaitFor<CallArrived>().exchange;
  fixture.now += 500ms;
  fixture.callers.Execute(CloseIdleCallerConnections{});
  CHECK(idle.ReadAll().empty());
  fixture.callers.Execute(WriteResponse{ .exchange = id, .status = 200, .body = "ok" });
  CHECK(busy.ReadAll() ==
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
}

TEST_CASE("Draining does not cut a call on a new connection", "[entry][caller]")
{
  // Guards against connections that are accepted just before a planned stop and closed
  // without a response, and against a reset of those still in the listen backlog.
  EntryLoop loop;
  CallerPortFixture fixture(loop);
  RawPeer fresh = loop.ConnectTo(fixture.port);
  loop.RunUntil([&] { return fixture.callers.ConnectionCount() == 1; });
  fixture.callers.Execute(CloseIdleCallerConnections{});
  RawPeer waiting = loop.ConnectTo(fixture.port);
  fixture.callers.Execute(StopAccepting{});
  loop.Timer().afterDelay(20 * kj::MILLISECONDS).wait(loop.io.waitScope);
  for (RawPeer* caller : { &fresh, &waiting }) {
    caller->Write(kRequest);
    fixture.callers.Execute(
      WriteResponse{ .exchange = loop.WaitFor<CallArrived>().exchange, .status = 503 });
    CHECK(caller->ReadAll().starts_with("HTTP/1.1 503 "));
    caller->Close();
  }
  CHECK_THROWS(loop.ConnectTo(fixture.port));
  loop.WaitFor<AllCallersDisconnected>();
}

} // namespace gooseberrypath::entry
