// Tests that a connection which always has bytes leaves turns to the others, and that the
// work for a message grows with its bytes only. Turns are counted by what was read of the
// busy connection, so the tests do not depend on time.

#include <functional>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/backend_port.h"
#include "entry/bulk_turns.h"
#include "entry/caller_port.h"
#include "entry/http_reader.h"
#include "entry/sse_event_splitter.h"
#include "entry/testing/backend_calls.h"
#include "gooseberrypath/event_loop.h"
#include "gooseberrypath/testing/raw_socket.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

// What may be charged for a busy connection between two polls: 8 KiB are read in a turn,
// and the buffer of a body has up to half more than its bytes.
constexpr size_t kMostBetweenPolls = kTurnsPerPoll * size_t{ 8192 } * 3 / 2;

// The busy connection is read up to here before the other one sends.
constexpr size_t kReadBefore = size_t{ 64 } * 1024;

constexpr size_t kMostBusyBytes = size_t{ 3 } * 1024 * 1024;

// What is read in one turn.
constexpr size_t kTurnBytes = 8192;

/// A stream whose backend sends what fits one read, so that it arrives in one turn.
struct StreamFixture : BackendFixture
{
  StreamFixture()
    : BackendFixture({ .isStream = true })
  {
  }

  void SendInOneTurn(const std::string& aBytes)
  {
    REQUIRE(aBytes.size() <= kTurnBytes);
    peer->Write(aBytes);
  }
};

/// A port for callers, and one caller that sends a request while others keep the port
/// busy.
struct CallersFixture
{
  /// aOnRead is called once or twice in each read, aOnArrival for each request.
  CallersFixture(std::function<void()> aOnRead, std::function<void()> aOnArrival,
                 bool aBoundsTurns)
    : callers({ .network = loop.Network(),
                .timer = loop.Timer(),
                .sink =
                  [this, onArrival = std::move(aOnArrival)](Event aEvent) {
                    onArrival();
                    loop.Sink()(std::move(aEvent));
                  },
                .now =
                  [onRead = std::move(aOnRead)] {
                    onRead();
                    return TimePoint{ 1s };
                  },
                .address = "127.0.0.1:" + std::to_string(port),
                .memory = memory,
                .bulkTurns = aBoundsTurns ? &turns : nullptr })
    , other(RawSocket::Connect(port))
  {
    loop.RunUntil([&] { return callers.ConnectionCount() == 1; });
  }

  void SendRequest() { other.Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n"); }

  /// Connects another caller and sends a part of its request, which must fit the buffers
  /// of the operating system. Returns the number of bytes.
  size_t SendBusyBody(size_t aMost)
  {
    busy.push_back(RawSocket::Connect(port));
    return busy.back().SendUntilFull(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
      std::string(kTurnBytes, 'x'), aMost);
  }

  EntryLoop loop;
  BulkTurns turns{ loop.Timer() };
  const uint16_t port = static_cast<uint16_t>(loop.Listen()->getPort());
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>();
  CallerPort callers;
  RawSocket other;
  std::vector<RawSocket> busy;
};

} // namespace

TEST_CASE("A caller that always has bytes leaves turns to others", "[entry][turns]")
{
  // Guards against a connection that is read until it has no bytes, while the loop does
  // not see what others send.
  CallersFixture* started = nullptr;
  size_t readAtSend = 0;
  size_t readAtArrival = 0;
  // The port asks for the time as it reads, so the other caller sends amid the reads.
  const auto sendWhenBusy = [&] {
    if (started != nullptr && readAtSend == 0 &&
        started->memory->InUse() >= kReadBefore) {
      readAtSend = started->memory->InUse();
      started->SendRequest();
    }
  };
  CallersFixture fixture(
    sendWhenBusy, [&] { readAtArrival = started->memory->InUse(); }, false);
  started = &fixture;
  const size_t sent = fixture.SendBusyBody(kMostBusyBytes);
  REQUIRE(sent > kReadBefore + kMostBetweenPolls + kReadBefore);
  CHECK(fixture.loop.WaitFor<CallArrived>().call.target == "/b");
  CHECK(readAtArrival - readAtSend < kMostBetweenPolls);
}

TEST_CASE("Events that come in many small chunks are passed on together",
          "[entry][turns]")
{
  // Guards against a turn of thousands of messages: each chunk of one read had its own,
  // and calls at sound backends waited for the turns of thirty such streams.
  constexpr int kEvents = 400;
  StreamFixture fixture;
  std::string bytes = kChunkedHead;
  std::string expected;
  for (int i = 1; i <= kEvents; ++i) {
    const std::string event = "id:" + std::to_string(i) + "\n\n";
    bytes += ChunkOf(event);
    expected += event;
  }
  fixture.SendInOneTurn(bytes);
  const auto events = fixture.loop.WaitFor<StreamEvents>();
  CHECK(events.bytes == expected);
  CHECK(events.lastId == std::to_string(kEvents));
  fixture.peer->Write("0\r\n\r\n");
  CHECK(fixture.loop.WaitFor<StreamEnded>().received.events == kEvents);
  CHECK(fixture.loop.Count<StreamEvents>() == 0);
}

TEST_CASE("Events come before what ends their stream in the same turn", "[entry][turns]")
{
  // Guards against events that are lost, come late or come twice when the bytes behind
  // them end or break the stream.
  StreamFixture fixture;
  const std::string start =
    kChunkedHead + ChunkOf("id: 1\n\n") + ChunkOf("id: 2\n\n") + ChunkOf("id: ");
  BreakCause cause = BreakCause::Malformed;
  SECTION("malformed bytes")
  {
    fixture.SendInOneTurn(start + "no chunk\r\n");
  }
  SECTION("an end inside an event")
  {
    fixture.SendInOneTurn(start + "0\r\n\r\n");
  }
  SECTION("the end of the connection")
  {
    fixture.SendInOneTurn(start);
    fixture.peer->Close();
    cause = BreakCause::Closed;
  }
  const auto broken = fixture.loop.WaitFor<AttemptBroken>();
  CHECK(broken.cause == cause);
  CHECK(broken.received.events == 2);
  CHECK(broken.received.bytes == 18);
  REQUIRE(fixture.loop.Count<StreamEvents>() == 1);
  const auto events = fixture.loop.WaitFor<StreamEvents>();
  CHECK(events.bytes == "id: 1\n\nid: 2\n\n");
  CHECK(events.lastId == "2");
}

TEST_CASE("Events behind the response to another call are passed on", "[entry][turns]")
{
  // Guards against events that wait for the next read when another response comes first.
  StreamFixture fixture;
  fixture.SendInOneTurn(
    "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r9\r\nContent-Length: 3\r\n\r\none" +
    kChunkedHead + ChunkOf("id: 1\n\n"));
  CHECK(fixture.loop.WaitFor<StreamEvents>().bytes == "id: 1\n\n");
}

TEST_CASE("Many connections that always have bytes leave turns to others",
          "[entry][turns]")
{
  // Guards against a call that waits for a turn of every busy connection at each of its
  // steps: what is read before it grew with the number of busy connections.
  constexpr size_t kBusy = 32;
  constexpr size_t kBytesOfEach = size_t{ 256 } * 1024;
  // The port asks for the time once or twice in each read. The other caller's bytes are
  // seen at the next poll, and read before the turns that are given after it.
  constexpr size_t kMostAsked = 2 * kBulkTurnsPerPoll * 2;
  CallersFixture* started = nullptr;
  size_t asked = 0;
  size_t askedAtArrival = 0;
  const auto sendWhenBusy = [&] {
    if (started != nullptr && ++asked == 4 * kBusy) {
      started->SendRequest();
    }
  };
  CallersFixture fixture(
    sendWhenBusy, [&] { askedAtArrival = asked; }, true);
  started = &fixture;
  size_t sent = 0;
  for (size_t i = 0; i < kBusy; ++i) {
    sent += fixture.SendBusyBody(kBytesOfEach);
  }
  REQUIRE(sent >= kBusy * kBytesOfEach);
  CHECK(fixture.loop.WaitFor<CallArrived>().call.target == "/b");
  CHECK(askedAtArrival - 4 * kBusy <= kMostAsked);
  // The busy connections go on.
  fixture.loop.RunUntil([&] { return fixture.memory->InUse() >= sent; });
}

TEST_CASE("A connection that is gone leaves its turn to the next", "[entry][turns]")
{
  // Guards against turns that nobody takes, and against connections that wait for ever
  // when one before them closes.
  EntryLoop loop;
  BulkTurns turns(loop.Timer());
  std::vector<size_t> order;
  std::vector<kj::Promise<void>> waiting;
  for (size_t i = 0; i < 3 * kBulkTurnsPerPoll; ++i) {
    waiting.push_back(
      turns.Next().then([&order, i] { order.push_back(i); }).eagerlyEvaluate(nullptr));
  }
  waiting.erase(waiting.begin(), waiting.begin() + 2 * kBulkTurnsPerPoll);
  loop.RunUntil([&] { return order.size() == kBulkTurnsPerPoll; });
  CHECK(order.front() == 2 * kBulkTurnsPerPoll);
  CHECK(turns.GivenCount() == kBulkTurnsPerPoll);
  bool hasTurn = false;
  auto later = turns.Next().then([&] { hasTurn = true; }).eagerlyEvaluate(nullptr);
  loop.RunUntil([&] { return hasTurn; });
}

TEST_CASE("An event in small parts is split like a whole one", "[entry][turns]")
{
  // Guards against ends of events that are missed where a part ends inside them, and
  // against work that grows with the square of an event: the whole event was searched
  // again with each part, which takes hours for this one.
  constexpr size_t kEventBytes = size_t{ 2 } * 1024 * 1024;
  SseEventSplitter splitter;
  size_t completed = 0;
  for (size_t i = 0; i < kEventBytes; ++i) {
    completed += splitter.Feed("x").count;
  }
  CHECK(completed == 0);
  CHECK(splitter.PartialEvent().size() == kEventBytes);
  const auto end = GENERATE(as<std::string>{}, "\n\n", "\n\r\n", "\r\n\r\n");
  CompleteEvents events;
  for (const char byte : "\nid: 7" + end) {
    REQUIRE(events.count == 0);
    events = splitter.Feed({ &byte, 1 });
  }
  CHECK(events.count == 1);
  CHECK(events.lastId == "7");
  CHECK(events.bytes.size() == kEventBytes + 6 + end.size());
  CHECK(splitter.PartialEvent().empty());
}

TEST_CASE("Many small messages in one buffer are read one by one", "[entry][turns]")
{
  // Guards against messages that are lost or changed where parsed bytes are removed from
  // the buffer.
  constexpr int kMessages = 5000;
  int heads = 0;
  int ends = 0;
  HttpReader reader({ .onHead =
                        [&](HttpHead& aHead) {
                          CHECK(aHead.target == "/" + std::to_string(heads));
                          ++heads;
                        },
                      .onBody = [](std::string_view) {},
                      .onEnd = [&] { ++ends; } });
  std::string bytes;
  for (int i = 0; i < kMessages; ++i) {
    bytes += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  const size_t half = bytes.size() / 2;
  REQUIRE(reader.Feed({ bytes.data(), half }));
  for (int i = 1; i < kMessages; ++i) {
    if (i == kMessages / 4) {
      REQUIRE(reader.Feed({ bytes.data() + half, bytes.size() - half }));
    }
    REQUIRE(ends == i);
    REQUIRE(reader.Next());
  }
  CHECK(ends == kMessages);
  CHECK(reader.BufferedBytes() == 0);
}

} // namespace gooseberrypath::entry
