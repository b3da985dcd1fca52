#include "entry/backend_port.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "entry/testing/backend_calls.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

BackendPortOptions OptionsOf(EntryLoop& aLoop)
{
  return { .network = aLoop.Network(),
           .timer = aLoop.Timer(),
           .sink = aLoop.Sink(),
           .now = [] { return TimePoint{ 1s }; } };
}

std::string MakeResponse(int aId, const std::string& aBody,
                         const std::string& aExtraFields = "")
{
  return "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r" + std::to_string(aId) +
         "\r\nGooseberrypath-Response-Stamp: s\r\n" + aExtraFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Closes the connection with a TCP reset.
void Reset(RawPeer& aPeer)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  aPeer.stream->setsockopt(SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  aPeer.Close();
}

} // namespace

TEST_CASE("An idle connection carries the next call", "[entry][backend]")
{
  // Guards against a new connection for each call, whose setup costs the backend time.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener)));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  backend.Write(MakeResponse(1, "one"));
  CHECK(loop.WaitFor<AttemptAnswered>().body == "one");
  CHECK(backends.IdleCount() == 1);
  backends.Execute(MakeAttempt(2, loop.AddressOf(*listener)));
  backend.ReadUntil("call-body");
  backend.Write(MakeResponse(2, "two"));
  CHECK(loop.WaitFor<AttemptAnswered>().body == "two");
}

TEST_CASE("A response to another call is discarded", "[entry][backend]")
{
  // Guards against a late response that is delivered to the caller of the next call.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener)));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  backend.Write(MakeResponse(9, "wrong"));
  backend.Write(MakeResponse(1, "right"));
  CHECK(loop.WaitFor<AttemptAnswered>().body == "right");
  CHECK(backends.IdleCount() == 0); // the connection is not reused
}

TEST_CASE("Bytes after a response close the connection", "[entry][backend]")
{
  // Guards against extra bytes that are taken for the response to the next call.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener)));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  SECTION("with the response")
  {
    backend.Write(MakeResponse(1, "one") + MakeResponse(1, "again"));
    CHECK(loop.WaitFor<AttemptAnswered>().body == "one");
    CHECK(backends.IdleCount() == 0);
  }
  SECTION("later")
  {
    backend.Write(MakeResponse(1, "one"));
    CHECK(loop.WaitFor<AttemptAnswered>().body == "one");
    backend.Write("junk");
    loop.RunUntil([&] { return backends.IdleCount() == 0; });
  }
}

TEST_CASE("A truncated or reset response breaks the attempt", "[entry][backend]")
{
  // Guards against a truncated response that looks complete, and against a crash of the
  // daemon when a connection is reset during a call.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener)));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  SECTION("truncated in the body")
  {
    const std::string response = MakeResponse(1, "whole");
    backend.Write(response.substr(0, response.size() - 2));
    backend.Close();
  }
  SECTION("closed without a response")
  {
    backend.Close();
  }
  SECTION("reset without a response")
  {
    Reset(backend);
  }
  SECTION("reset in a close-delimited response")
  {
    backend.Write("HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r1\r\n\r\npart");
    loop.Timer().afterDelay(5 * kj::MILLISECONDS).wait(loop.io.waitScope);
    Reset(backend);
  }
  SECTION("not HTTP")
  {
    backend.Write("rubbish rubbish\r\n\r\n");
  }
  CHECK(loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 1 });
  loop.Timer().afterDelay(5 * kj::MILLISECONDS).wait(loop.io.waitScope);
  CHECK(loop.Count<AttemptAnswered>() == 0);
}

TEST_CASE("The end of the connection ends a response without length", "[entry][backend]")
{
  // Guards against a close-delimited response that is reported as broken.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener)));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  backend.Write("HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r1\r\n"
                "Gooseberrypath-Response-Stamp: s\r\n\r\nwhole");
  backend.Close();
  CHECK(loop.WaitFor<AttemptAnswered>().body == "whole");
}

TEST_CASE("A stream is passed on in complete events", "[entry][backend]")
{
  // Guards against a partial event before a stream breaks and resumes. The resumed stream
  // repeats the whole event, so the caller would get its first part twice.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener), true));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  backend.Write(kChunkedHead + ChunkOf("id: 1\ndata: a\n\nid: 2\nda"));
  loop.WaitFor<StreamStarted>();
  const auto first = loop.WaitFor<StreamEvents>();
  CHECK(first.bytes == "id: 1\ndata: a\n\n");
  CHECK(first.lastId == "1");
  SECTION("completed")
  {
    backend.Write(ChunkOf("ta: b\n\n") + "0\r\n\r\n");
    CHECK(loop.WaitFor<StreamEvents>().bytes == "id: 2\ndata: b\n\n");
    loop.WaitFor<StreamEnded>();
  }
  SECTION("reset")
  {
    Reset(backend);
    loop.WaitFor<AttemptBroken>();
    CHECK(loop.Count<StreamEvents>() == 0);
  }
  SECTION("ended without its last chunk")
  {
    backend.Close();
    loop.WaitFor<AttemptBroken>();
  }
}

TEST_CASE("A cancelled attempt has no further events", "[entry][backend]")
{
  // Guards against responses to calls that have ended, and against a backend that
  // continues a call whose caller has disconnected.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  backends.Execute(MakeAttempt(1, loop.AddressOf(*listener)));
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("call-body");
  backends.Execute(CancelAttempt{ { 1 } });
  CHECK(backend.ReadAll().empty());
  loop.WaitFor<AttemptSent>();
  CHECK(loop.events.empty());
}

TEST_CASE("A refused connection is reported as an attempt that was not sent",
          "[entry][backend]")
{
  // Guards against a call that is not retried elsewhere although nothing was sent.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  backends.Execute(MakeAttempt(1, loop.RefusingAddress()));
  CHECK(loop.WaitFor<AttemptNotSent>().attempt == AttemptId{ 1 });
  CHECK(loop.Count<AttemptSent>() == 0);
}

TEST_CASE("Each call on a connection that is reset ends exactly once", "[entry][backend]")
{
  // Guards against use of a connection after it was reset.
  EntryLoop loop;
  BackendPort backends(OptionsOf(loop));
  auto listener = loop.Listen();
  for (uint64_t id = 1; id <= 60; ++id) {
    backends.Execute(MakeAttempt(id, loop.AddressOf(*listener), id % 2 == 0));
    RawPeer backend = loop.Accept(*listener);
    backend.ReadUntil("call-body");
    if (id % 3 == 0) {
      backend.Write("HTTP/1.1 200 OK\r\nContent-Le");
    }
    Reset(backend);
    CHECK(loop.WaitFor<AttemptBroken>().attempt == AttemptId{ id });
  }
  CHECK(backends.Errors().Count() == 0);
}

} // namespace gooseberrypath::entry
