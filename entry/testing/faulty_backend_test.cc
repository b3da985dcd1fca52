// Tests against backends that repeat a refusal, stop in the middle of a response, or end
// a response with its connection.

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "entry/backend_port.h"
#include "entry/testing/entry_fixture.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;
using EntryLoop = BasicLoopFixture<Event>;

const std::string kFields =
  "Gooseberrypath-Request-Id: r1\r\nGooseberrypath-Response-Stamp: s\r\n";
const std::string kRefusal =
  "HTTP/1.1 503 Busy\r\nGooseberrypath-Request-Id: r1\r\n"
  "Gooseberrypath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// A backend port and one backend, which gets calls over raw connections.
struct FaultyBackend
{
  FaultyBackend()
    : port({ .network = loop.Network(),
             .timer = loop.Timer(),
             .sink = loop.Sink(),
             .now = [] { return TimePoint{ 1s }; } })
    , listener(loop.Listen())
  {
  }

  void Send(uint64_t aAttempt, const std::string& aRequestId, bool aIsStream = false,
            const std::string& aMethod = "POST")
  {
    port.Execute(StartAttempt{ .attempt = { aAttempt },
                               .backend = "i-1",
                               .address = loop.AddressOf(*listener),
                               .method = aMethod,
                               .target = "/pickups/7",
                               .headers = { { "Host", "shop.example" } },
                               .body = "call-body",
                               .requestId = aRequestId,
                               .timeLeft = 10s,
                               .isStream = aIsStream,
                               .mayRetry = true });
  }

  /// Sends call r1 and returns the connection on which the backend has read it.
  RawPeer Accept(bool aIsStream = false, const std::string& aMethod = "POST")
  {
    Send(1, "r1", aIsStream, aMethod);
    RawPeer peer = loop.Accept(*listener);
    peer.ReadUntil("call-body");
    return peer;
  }

  void Settle() { loop.Timer().afterDelay(5 * kj::MILLISECONDS).wait(loop.io.waitScope); }

  EntryLoop loop;
  BackendPort port;
  kj::Own<kj::ConnectionReceiver> listener;
};

} // namespace

TEST_CASE("A refusal that a backend repeats is not taken for a later call",
          "[entry][faulty]")
{
  // Guards against 'not run' for a call that runs, and against a second run elsewhere.
  FaultyBackend backend;
  RawPeer peer = backend.Accept();
  peer.Write(kRefusal);
  CHECK(backend.loop.WaitFor<AttemptAnswered>().head.wasNotExecuted);
  REQUIRE(backend.port.IdleCount() == 1);
  SECTION("of a call with the same id")
  {
    backend.Send(2, "r1");
    backend.Settle();
    peer.Write(kRefusal);
    backend.Settle();
    CHECK(backend.loop.Count<AttemptAnswered>() == 0);
    RawPeer next = backend.loop.Accept(*backend.listener);
    next.ReadUntil("call-body");
    next.Write("HTTP/1.1 200 OK\r\n" + kFields + "Content-Length: 2\r\n\r\nok");
    CHECK(backend.loop.WaitFor<AttemptAnswered>().body == "ok");
  }
  SECTION("of a call with another id, split over reads")
  {
    backend.Send(2, "r2");
    peer.ReadUntil("call-body");
    peer.Write(kRefusal.substr(0, 30));
    backend.Settle();
    peer.Write(kRefusal.substr(30));
    backend.Settle();
    CHECK(backend.loop.Count<AttemptAnswered>() == 0);
    peer.Write("HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r2\r\n"
               "Gooseberrypath-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
    CHECK(backend.loop.WaitFor<AttemptAnswered>().body == "ok");
  }
  SECTION("without an id")
  {
    backend.Send(2, "r2");
    peer.ReadUntil("call-body");
    peer.Write("HTTP/1.1 503 Busy\r\nGooseberrypath-Not-Executed: 1\r\n"
               "Content-Length: 0\r\n\r\n");
    CHECK(backend.loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 2 });
    CHECK(backend.loop.Count<AttemptAnswered>() == 0);
  }
  SECTION("before the next call is written")
  {
    peer.Write(kRefusal);
    backend.loop.WaitFor<UnsolicitedBytes>();
    backend.Send(2, "r2");
    RawPeer next = backend.loop.Accept(*backend.listener);
    next.ReadUntil("call-body");
    CHECK(backend.loop.Count<AttemptAnswered>() == 0);
  }
}

TEST_CASE("A connection on which another backend answered is not used again",
          "[entry][faulty]")
{
  // Guards against a repeated 421 without an id that is taken for the next call.
  FaultyBackend backend;
  RawPeer peer = backend.Accept();
  peer.Write("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
  CHECK(backend.loop.WaitFor<AttemptAnswered>().head.isMisdirected);
  CHECK(backend.port.IdleCount() == 0);
}

TEST_CASE("A response that stops at any byte is not complete", "[entry][faulty]")
{
  // Guards against a 200 with an empty or short body that looks whole.
  const std::string head = "HTTP/1.1 200 OK\r\n" + kFields;
  const std::string withLength = head + "Content-Length: 5\r\n\r\nwhole";
  const std::string chunked =
    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  const std::string withoutLength = head + "\r\n";
  for (const bool isStream : { false, true }) {
    for (const std::string& response : { withLength, chunked, withoutLength }) {
      for (size_t size = 0; size < response.size(); size += isStream ? 7 : 3) {
        INFO(response.substr(0, size));
        FaultyBackend backend;
        RawPeer peer = backend.Accept(isStream);
        peer.Write(response.substr(0, size));
        peer.Close();
        CHECK(backend.loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 1 });
        CHECK(backend.loop.Count<AttemptAnswered>() == 0);
        CHECK(backend.loop.Count<StreamEnded>() == 0);
      }
    }
  }
}

TEST_CASE("A stream that ends inside an event is broken off", "[entry][faulty]")
{
  // Guards against a cut stream that is passed on as complete because its end is the end
  // of the connection.
  FaultyBackend backend;
  RawPeer peer = backend.Accept(true);
  peer.Write("HTTP/1.1 200 OK\r\n" + kFields + "\r\nid: 1\ndata: a\n\n");
  CHECK(backend.loop.WaitFor<StreamEvents>().lastId == "1");
  SECTION("inside an event")
  {
    peer.Write("id: 2\nda");
    peer.Close();
    CHECK(backend.loop.WaitFor<AttemptBroken>().cause == BreakCause::Closed);
    CHECK(backend.loop.Count<StreamEvents>() == 0);
  }
  SECTION("before the empty line of an event")
  {
    peer.Write("id: 2\ndata: b\n");
    peer.Close();
    backend.loop.WaitFor<AttemptBroken>();
    CHECK(backend.loop.Count<StreamEvents>() == 0);
  }
  SECTION("inside a character")
  {
    peer.Write("id: 2\ndata: \xc3");
    peer.Close();
    backend.loop.WaitFor<AttemptBroken>();
    CHECK(backend.loop.Count<StreamEvents>() == 0);
  }
  SECTION("at the end of an event")
  {
    peer.Write("id: 2\ndata: \xc3\xa9\n\n");
    peer.Close();
    CHECK(backend.loop.WaitFor<StreamEvents>().lastId == "2");
    backend.loop.WaitFor<StreamEnded>();
  }
  SECTION("by a reset at the end of an event")
  {
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    peer.stream->setsockopt(SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    peer.Close();
    backend.loop.WaitFor<AttemptBroken>();
    CHECK(backend.loop.Count<StreamEnded>() == 0);
  }
}

TEST_CASE("A framed stream that ends inside an event is broken off", "[entry][faulty]")
{
  // Guards against a partial event that is passed on because the last chunk came.
  FaultyBackend backend;
  RawPeer peer = backend.Accept(true);
  peer.Write("HTTP/1.1 200 OK\r\n" + kFields +
             "Content-Length: 22\r\n\r\n"
             "id: 1\ndata: a\n\nid: 2\nda");
  backend.loop.WaitFor<AttemptBroken>();
  CHECK(backend.loop.Count<StreamEnded>() == 0);
}

TEST_CASE("A stream without any event that ends with its connection is broken off",
          "[entry][faulty]")
{
  // Guards against an engine that ended right after its head and looks like an empty
  // stream.
  FaultyBackend backend;
  RawPeer peer = backend.Accept(true);
  peer.Write("HTTP/1.1 200 OK\r\n" + kFields + "\r\n");
  peer.Close();
  CHECK(backend.loop.WaitFor<AttemptBroken>().cause == BreakCause::Closed);
  CHECK(backend.loop.Count<StreamEnded>() == 0);
}

TEST_CASE("Responses without a body and of HTTP/1.0 are complete", "[entry][faulty]")
{
  // Guards against a response that waits for a body that never comes, or that misses the
  // body that ends with its connection.
  FaultyBackend backend;
  SECTION("204")
  {
    RawPeer peer = backend.Accept();
    peer.Write("HTTP/1.1 204 None\r\n" + kFields + "\r\n");
    CHECK(backend.loop.WaitFor<AttemptAnswered>().body.empty());
  }
  SECTION("304")
  {
    RawPeer peer = backend.Accept();
    peer.Write("HTTP/1.1 304 Same\r\n" + kFields + "\r\n");
    CHECK(backend.loop.WaitFor<AttemptAnswered>().body.empty());
  }
  SECTION("an answer to HEAD")
  {
    RawPeer peer = backend.Accept(false, "HEAD");
    peer.Write("HTTP/1.1 200 OK\r\n" + kFields + "Content-Length: 5\r\n\r\n");
    CHECK(backend.loop.WaitFor<AttemptAnswered>().body.empty());
  }
  SECTION("HTTP/1.0")
  {
    RawPeer peer = backend.Accept();
    peer.Write("HTTP/1.0 200 OK\r\n" + kFields + "\r\nwhole");
    peer.Close();
    CHECK(backend.loop.WaitFor<AttemptAnswered>().body == "whole");
    CHECK(backend.port.IdleCount() == 0);
  }
}

namespace {

/// An entry core with a stream that broke off after its first event and goes on at
/// another backend.
struct ResumedStream
{
  ResumedStream()
  {
    entry.Prepare();
    entry.PostCall("questions");
    const StartAttempt first = entry.SendLatestAttempt();
    entry.Post(
      StreamStarted{ first.attempt, { .status = 200, .hasResponseStamp = true } });
    entry.Post(StreamEvents{ first.attempt, kEvent, "1" });
    entry.Post(AttemptBroken{ first.attempt, "closed", BreakCause::Closed });
    second = entry.SendLatestAttempt();
    REQUIRE(second.attempt != AttemptId{});
  }

  /// Checks that the caller got the first event and then a broken connection.
  void CheckAborted()
  {
    entry.Advance(20s);
    size_t bytes = 0;
    for (const WriteStreamBytes& part : entry.TakeActions<WriteStreamBytes>()) {
      bytes += part.bytes.size();
    }
    CHECK(bytes == kEvent.size());
    CHECK(entry.TakeActions<FinishStream>().empty());
    CHECK(entry.TakeActions<WriteResponse>().empty());
    CHECK(entry.TakeActions<AbortResponse>().size() == 1);
  }

  const std::string kEvent = "id: 1\ndata: a\n\n";
  EntryFixture entry{ EntryOptions{ .host = "d1",
                                    .dataCentre = "c1",
                                    .dataCentres = { "c1" },
                                    .retryBudget = { .extra = 10 } } };
  StartAttempt second;
};

} // namespace

TEST_CASE("Entry: an error after a stream broke off does not reach the caller",
          "[entry][faulty]")
{
  // Guards against the text of an error in the middle of a stream, and against a broken
  // stream that ends as if it were complete.
  for (const int status : { 200, 400, 404, 500, 503 }) {
    for (const bool wasNotRun : { false, true }) {
      INFO("status " << status << ", not run " << wasNotRun);
      ResumedStream stream;
      stream.entry.Respond(stream.second, status, wasNotRun);
      stream.CheckAborted();
    }
  }
}

TEST_CASE("Entry: a malformed answer after a stream broke off does not reach the caller",
          "[entry][faulty]")
{
  // Guards against the whole head of an error in the middle of a stream.
  for (const int status : { 200, 204 }) {
    for (const bool hasContentEncoding : { false, true }) {
      INFO("status " << status << ", encoded " << hasContentEncoding);
      ResumedStream stream;
      stream.entry.Post(AttemptAnswered{ stream.second.attempt,
                                         { .status = status,
                                           .hasResponseStamp = hasContentEncoding,
                                           .hasContentEncoding = hasContentEncoding },
                                         "body" });
      stream.CheckAborted();
    }
  }
}

} // namespace gooseberrypath::entry
