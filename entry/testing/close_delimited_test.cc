// Tests of responses towards callers whose end only the end of the connection marks.

#include <optional>

#include <catch2/catch.hpp>

#include "entry/testing/cut_response.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

/// A caller port with one caller, whose stream has begun.
struct StreamFixture
{
  StreamFixture()
    : portNumber(static_cast<uint16_t>(loop.Listen()->getPort()))
  {
    port.emplace(
      CallerPortOptions{ .network = loop.Network(),
                         .timer = loop.Timer(),
                         .sink = loop.Sink(),
                         .now = [this] { return now; },
                         .address = "127.0.0.1:" + std::to_string(portNumber) });
    caller.emplace(loop.ConnectTo(portNumber));
    caller->Write(
      "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n");
    exchange = loop.WaitFor<CallArrived>().exchange;
    port->Execute(WriteStreamHead{
      .exchange = exchange, .status = 200, .framing = BodyFraming::CloseDelimited });
  }

  void WriteBytes(const std::string& aBytes)
  {
    port->Execute(WriteStreamBytes{ exchange, aBytes });
  }

  EntryLoop loop;
  TimePoint now{ 1s };
  uint16_t portNumber;
  std::optional<CallerPort> port;
  std::optional<RawPeer> caller;
  ExchangeId exchange;
};

const std::string kEvent = "id: 1\ndata: a\n\n";

} // namespace

TEST_CASE("A body that the connection's end delimits ends in order only if it is whole",
          "[entry][close_delimited]")
{
  // Guards against a broken response that the caller takes for whole, as its connection
  // was closed like that of a whole one.
  StreamFixture fixture;
  fixture.WriteBytes(kEvent);
  SECTION("whole")
  {
    fixture.port->Execute(FinishStream{ fixture.exchange });
    const ReceivedResponse received = ReadResponse(fixture.loop, *fixture.caller);
    CHECK(received.framing == BodyFraming::CloseDelimited);
    CHECK(received.claim == EndClaim::ConnectionEnds);
    CHECK(received.body == kEvent);
    CHECK(fixture.loop.Count<CallArrived>() == 0); // the pipelined call was not taken
  }
  SECTION("broken off")
  {
    fixture.port->Execute(AbortResponse{ fixture.exchange });
    const ReceivedResponse received = ReadResponse(fixture.loop, *fixture.caller);
    CHECK(received.claim == EndClaim::Broken);
    CHECK(received.body == kEvent);
  }
  SECTION("the daemon ends")
  {
    CHECK(fixture.caller->ReadUntil(kEvent).ends_with(kEvent));
    fixture.port.reset();
    char byte = 0;
    CHECK_THROWS_AS(
      fixture.caller->stream->tryRead(&byte, 1, 1).wait(fixture.loop.io.waitScope),
      kj::Exception);
  }
}

TEST_CASE("A caller that reads slowly gets all events before the reset",
          "[entry][close_delimited]")
{
  // Guards against a reset that discards events that were ready.
  StreamFixture fixture;
  const std::string events(1'500'000, 'x');
  fixture.WriteBytes(events);
  fixture.port->Execute(AbortResponse{ fixture.exchange });
  fixture.loop.Timer().afterDelay(300 * kj::MILLISECONDS).wait(fixture.loop.io.waitScope);
  const ReceivedResponse received = ReadResponse(fixture.loop, *fixture.caller);
  CHECK(received.body.size() == events.size());
  CHECK(received.claim == EndClaim::Broken);
}

TEST_CASE("A caller that takes its response slowly gets all of it",
          "[entry][close_delimited]")
{
  // Guards against a whole response that is cut two seconds after it was written.
  StreamFixture fixture;
  const size_t size = 12'000'000;
  fixture.WriteBytes(std::string(size, 'x'));
  fixture.port->Execute(FinishStream{ fixture.exchange });
  std::string part(3'000'000, '\0');
  for (int i = 0; i < 3; ++i) {
    fixture.caller->stream->read(part.data(), part.size())
      .wait(fixture.loop.io.waitScope);
    fixture.loop.Timer()
      .afterDelay(300 * kj::MILLISECONDS) // longer than between two checks
      .wait(fixture.loop.io.waitScope);
    fixture.now += 1500ms;
  }
  CHECK(3 * part.size() + fixture.caller->ReadAll().size() > size);
}

} // namespace gooseberrypath::entry
