// Tests that a connection which always has bytes leaves turns to the others, and that the
// work for a message grows with its bytes only. Turns are counted by what was read of the
// busy connection, so the tests do not depend on time.

#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/backend_port.h"
#include "entry/bulk_turns.h"
#include "entry/caller_port.h"
#include "entry/http_reader.h"
#include "entry/sse_event_splitter.h"
#include "gooseberrypath/event_loop.h"
#include "gooseberrypath/testing/loop_fixture.h"
#include "gooseberrypath/testing/raw_socket.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

using EntryLoop = BasicLoopFixture<Event>;

// What may be charged for a busy connection between two polls: 8 KiB are read in a turn,
// and the buffer of a body has up to half more than its bytes.
constexpr size_t kMostBetweenPolls = kTurnsPerPoll * size_t{ 8192 } * 3 / 2;

// The busy connection is read up to here before the other one sends.
constexpr size_t kReadBefore = size_t{ 64 } * 1024;

constexpr size_t kMostBusyBytes = size_t{ 3 } * 1024 * 1024;

// What is read in one turn.
constexpr size_t kTurnBytes = 8192;

const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r1\r\n"
  "Gooseberrypath-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A stream of one backend, which has read the call.
struct StreamFixture
{
  StreamFixture()
  {
    backends.Execute(StartAttempt{ .attempt = { 1 },
                                   .backend = "i-1",
                                   .address = EntryLoop::AddressOf(*listener),
                                   .method = "POST",
                                   .target = "/",
                                   .headers = { { "Host", "h" } },
                                   .body = "call-body",
                                   .requestId = "r1",
                                   .timeLeft = 10s,
                                   .isStream = true,
                                   .mayRetry = true });
    peer.emplace(loop.Accept(*listener));
    peer->ReadUntil("call-body");
  }

  /// Sends bytes that fit one read, so that they arrive in one turn.
  void SendInOneTurn(const std::string& aBytes)
  {
    REQUIRE(aBytes.size() <= kTurnBytes);
    peer->Write(aBytes);
  }

  EntryLoop loop;
  kj::Own<kj::ConnectionReceiver> listener = loop.Listen();
  BackendPort backends{ { .network = loop.Network(),
                          .timer = loop.Timer(),
                          .sink = loop.Sink(),
                          .now = [] { return TimePoint{ 1s }; } } };
  std::optional<RawPeer> peer;
};

/// Returns a chunk of less than 16 bytes.
std::string SmallChunk(std::string_view aText)
{
  return std::string(1, "0123456789abcdef"[aText.size()]) + "\r\n" + std::string(aText) +
         "\r\n";
}

} // namespace

TEST_CASE("A caller that always has bytes leaves turns to others", "[entry][turns]")
{
  // Guards against a connection that is read until it has no bytes, while the loop does
  // not see what others send.
  EntryLoop loop;
  const auto port = static_cast<uint16_t>(loop.Listen()->getPort());
  auto memory = std::make_shared<MemoryAccount>();
  size_t readAtSend = 0;
  size_t readAtArrival = 0;
  std::optional<RawSocket> other;
  // The port asks for the time as it reads, so the other caller sends amid the reads.
  const auto sendWhenBusy = [&] {
    if (readAtSend == 0 && memory->InUse() >= kReadBefore) {
      readAtSend = memory->InUse();
      other->Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    return TimePoint{ 1s };
  };
  CallerPort callers({ .network = loop.Network(),
                       .timer = loop.Timer(),
                       .sink =
                         [&](Event aEvent) {
                           readAtArrival = memory->InUse();
                           loop.Sink()(std::move(aEvent));
                         },
                       .now = sendWhenBusy,
                       .address = "127.0.0.1:" + std::to_string(port),
                       .memory = memory });
  other.emplace(RawSocket::Connect(port));
  loop.RunUntil([&] { return callers.ConnectionCount() == 1; });
  RawSocket busy = RawSocket::Connect(port);
  const size_t sent =
    busy.SendUntilFull("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
                       std::string(8192, 'x'), kMostBusyBytes);
  REQUIRE(sent > kReadBefore + kMostBetweenPolls + kReadBefore);
  CHECK(loop.WaitFor<CallArrived>().call.target == "/b");
  CHECK(readAtArrival - readAtSend < kMostBetweenPolls);
}

TEST_CASE("Events that come in many small chunks are passed on together",
          "[entry][turns]")
{
  // Guards against a turn of thousands of messages: each chunk of one read had its own,
  // and calls at sound backends waited for the turns of thirty such streams.
  constexpr int kEvents = 400;
  StreamFixture fixture;
  std::string bytes = kStreamHead;
  std::string expected;
  for (int i = 1; i <= kEvents; ++i) {
    const std::string event = "id:" + std::to_string(i) + "\n\n";
    bytes += SmallChunk(event);
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
    kStreamHead + SmallChunk("id: 1\n\n") + SmallChunk("id: 2\n\n") + SmallChunk("id: ");
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
    kStreamHead + SmallChunk("id: 1\n\n"));
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
  EntryLoop loop;
  BulkTurns turns(loop.Timer());
  const auto port = static_cast<uint16_t>(loop.Listen()->getPort());
  auto memory = std::make_shared<MemoryAccount>(2 * kBusy * kBytesOfEach);
  size_t asked = 0;
  size_t askedAtArrival = 0;
  std::optional<RawSocket> other;
  const auto sendWhenBusy = [&] {
    if (++asked == 4 * kBusy) {
      other->Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    return TimePoint{ 1s };
  };
  CallerPort callers({ .network = loop.Network(),
                       .timer = loop.Timer(),
                       .sink =
                         [&](Event aEvent) {
                           askedAtArrival = asked;
                           loop.Sink()(std::move(aEvent));
                         },
                       .now = sendWhenBusy,
                       .address = "127.0.0.1:" + std::to_string(port),
                       .memory = memory,
                       .bulkTurns = &turns });
  other.emplace(RawSocket::Connect(port));
  loop.RunUntil([&] { return callers.ConnectionCount() == 1; });
  std::vector<RawSocket> busy;
  size_t sent = 0;
  for (size_t i = 0; i < kBusy; ++i) {
    busy.push_back(RawSocket::Connect(port));
    sent += busy.back().SendUntilFull(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
      std::string(kTurnBytes, 'x'), kBytesOfEach);
  }
  REQUIRE(sent >= kBusy * kBytesOfEach);
  CHECK(loop.WaitFor<CallArrived>().call.target == "/b");
  CHECK(askedAtArrival - 4 * kBusy <= kMostAsked);
  // The busy connections go on.
  loop.RunUntil([&] { return memory->InUse() >= sent; });
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
