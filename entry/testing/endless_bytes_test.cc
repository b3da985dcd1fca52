// Backends in trouble that send bytes without end. Every reader gives up at a limit, so
// that the memory of the daemon stays bounded and its other calls go on.

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "entry/backend_port.h"
#include "entry/peer_digest.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

using EntryLoop = BasicLoopFixture<Event>;

constexpr size_t kLimit = size_t{ 64 } * 1024; // of the port under test
constexpr size_t kMost =
  size_t{ 8 } * 1024 * 1024; // that a test sends before it gives up

const std::string kHead = "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r1\r\n"
                          "Gooseberrypath-Response-Stamp: s\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";

StartAttempt Attempt(uint64_t aId, std::string aAddress, bool aIsStream)
{
  return { .attempt = { aId },
           .backend = "i-1",
           .address = std::move(aAddress),
           .method = "POST",
           .target = "/",
           .headers = { { "Host", "h" } },
           .body = "call-body",
           .requestId = "r" + std::to_string(aId),
           .timeLeft = 10s,
           .isStream = aIsStream,
           .mayRepeat = true };
}

/// A port with small limits and one backend that has read a call.
struct Endless
{
  explicit Endless(bool aIsStream)
  {
    backends.Execute(Attempt(1, EntryLoop::AddressOf(*listener), aIsStream));
    peer.emplace(loop.Accept(*listener));
    peer->ReadUntil("call-body");
  }

  /// Sends the beginning and then the piece again and again until the daemon closes the
  /// connection. Returns the bytes that were sent.
  size_t SendEndlessly(const std::string& aStart, const std::string& aPiece)
  {
    size_t sent = 0;
    std::string next = aStart;
    while (loop.Count<AttemptBroken>() == 0 && sent < kMost) {
      const bool isOpen =
        peer->stream->write(next.data(), next.size())
          .then([] { return true; }, [](kj::Exception&&) { return false; })
          .wait(loop.io.waitScope);
      if (!isOpen) {
        break;
      }
      sent += next.size();
      next = aPiece;
    }
    return sent;
  }

  EntryLoop loop;
  kj::Own<kj::ConnectionReceiver> listener = loop.Listen();
  BackendPort backends{ { .network = loop.Network(),
                          .timer = loop.Timer(),
                          .sink = loop.Sink(),
                          .now = [] { return TimePoint{ 1s }; },
                          .maxAnswerBytes = 4 * kLimit,
                          .maxKeptBytes = 8 * kLimit,
                          .maxEventBytes = kLimit,
                          .maxSkippedBytes = kLimit } };
  std::optional<RawPeer> peer;
};

} // namespace

TEST_CASE("Bytes without end instead of an answer are given up", "[entry][endless]")
{
  // Guards against a daemon that is killed for its memory, or reads on until the
  // deadline.
  const std::string piece(1000, 'x');
  std::string start;
  std::string more;
  bool isStream = false;
  SECTION("a field of the head")
  {
    start = "HTTP/1.1 200 OK\r\nX-Endless: ";
    more = piece;
  }
  SECTION("fields of the head")
  {
    start = "HTTP/1.1 200 OK\r\n";
    more = "X-Endless: " + piece + "\r\n";
  }
  SECTION("interim answers")
  {
    start = "HTTP/1.1 103 Early Hints\r\n\r\n";
    more = "HTTP/1.1 103 Early Hints\r\nLink: " + piece + "\r\n\r\n";
  }
  SECTION("a body with a length")
  {
    start = kHead + "Content-Length: 99999999999\r\n\r\n";
    more = piece;
  }
  SECTION("a body without a length")
  {
    start = kHead + "\r\n";
    more = piece;
  }
  SECTION("chunks")
  {
    start = kChunked;
    more = "3e8\r\n" + piece + "\r\n";
  }
  SECTION("an extension of a chunk")
  {
    start = kChunked + "5;";
    more = piece;
  }
  SECTION("trailers")
  {
    start = kChunked + "2\r\nok\r\n0\r\n";
    more = "X-Endless: " + piece + "\r\n";
  }
  SECTION("an event")
  {
    isStream = true;
    start = kChunked + "6\r\ndata: \r\n";
    more = "3e8\r\n" + piece + "\r\n";
  }
  SECTION("the body of an answer to another call")
  {
    start = "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r9\r\n\r\n";
    more = piece;
  }
  SECTION("answers to other calls")
  {
    start =
      "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r9\r\nContent-Length: 0\r\n\r\n";
    more = start;
  }
  SECTION("no HTTP at all")
  {
    start = piece;
    more = piece;
  }
  Endless endless(isStream);
  // What is sent beyond the limit was on its way when the daemon closed the connection.
  CHECK(endless.SendEndlessly(start, more) < kMost);
  CHECK(endless.loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 1 });
  CHECK(endless.loop.Count<AttemptAnswered>() == 0);
  CHECK(endless.loop.Count<StreamEnded>() == 0);
  CHECK(endless.backends.Errors().Count() == 0);
}

TEST_CASE("Answers that are read at once share one limit", "[entry][endless]")
{
  // Guards against many endless answers, each of which is under the limit of one.
  Endless endless(false);
  std::vector<RawPeer> peers;
  for (uint64_t id = 2; id <= 12; ++id) {
    endless.backends.Execute(Attempt(id, EntryLoop::AddressOf(*endless.listener), false));
    peers.push_back(endless.loop.Accept(*endless.listener));
    peers.back().ReadUntil("call-body");
    peers.back().Write("HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r" +
                       std::to_string(id) + "\r\nContent-Length: 100000\r\n\r\n" +
                       std::string(kLimit, 'x'));
  }
  endless.loop.WaitFor<AttemptBroken>();
  // The others are still read, and the memory of those that end is free again.
  for (uint64_t id = 3; id <= 6; ++id) {
    endless.backends.Execute(CancelAttempt{ { id } });
  }
  peers.front().Write(std::string(100000 - kLimit, 'x'));
  CHECK(endless.loop.WaitFor<AttemptAnswered>().body.size() == 100000);
}

TEST_CASE("A slow stream in small pieces stays whole", "[entry][endless]")
{
  // Guards against limits that cut sound streams: many events, and events a byte at a
  // time.
  Endless endless(true);
  endless.peer->Write(kChunked);
  std::string expected;
  std::string got;
  const auto send = [&](const std::string& aBytes) {
    endless.peer->Write("1\r\n" + aBytes.substr(0, 1) + "\r\n");
    for (size_t i = 1; i < aBytes.size(); ++i) {
      endless.peer->Write("1\r\n" + aBytes.substr(i, 1) + "\r\n");
    }
    expected += aBytes;
  };
  for (int i = 1; i <= 20; ++i) {
    send("id: " + std::to_string(i) + "\ndata: abc\n\n");
  }
  const std::string event = "data: " + std::string(1000, 'y') + "\n\n";
  for (int i = 0; i < 200; ++i) { // in sum more than the limit of one event
    endless.peer->Write("3f0\r\n" + event + "\r\n");
    expected += event;
  }
  endless.peer->Write("0\r\n\r\n");
  endless.loop.WaitFor<StreamEnded>();
  while (endless.loop.Count<StreamEvents>() > 0) {
    got += endless.loop.WaitFor<StreamEvents>().bytes;
  }
  CHECK(got == expected);
}

TEST_CASE("A late copy of an answer does not reach the next call", "[entry][endless]")
{
  // Guards against an answer that is taken for the one to another call because it names
  // none, on a connection that is in use again.
  Endless endless(false);
  endless.peer->Write(kHead + "Content-Length: 3\r\n\r\none");
  CHECK(endless.loop.WaitFor<AttemptAnswered>().body == "one");
  endless.backends.Execute(Attempt(2, EntryLoop::AddressOf(*endless.listener), false));
  endless.peer->ReadUntil("call-body");
  SECTION("that names its call")
  {
    endless.peer->Write(kHead + "Content-Length: 3\r\n\r\none");
    endless.peer->Write(
      "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r2\r\n"
      "Gooseberrypath-Response-Stamp: s\r\nContent-Length: 3\r\n\r\ntwo");
    CHECK(endless.loop.WaitFor<AttemptAnswered>().body == "two");
  }
  SECTION("that names none")
  {
    endless.peer->Write("HTTP/1.1 200 OK\r\nGooseberrypath-Response-Stamp: s\r\n"
                        "Content-Length: 3\r\n\r\none");
    CHECK(endless.loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 2 });
    CHECK(endless.loop.Count<AttemptAnswered>() == 0);
  }
}

TEST_CASE("Bytes on an idle connection are counted and end it", "[entry][endless]")
{
  Endless endless(false);
  endless.peer->Write(kHead + "Content-Length: 3\r\n\r\none");
  endless.loop.WaitFor<AttemptAnswered>();
  endless.peer->Write(kHead + "Content-Length: 3\r\n\r\none");
  CHECK(endless.loop.WaitFor<UnaskedBytes>().address ==
        EntryLoop::AddressOf(*endless.listener));
  CHECK(endless.backends.IdleCount() == 0);
}

TEST_CASE("A call whose connection stands too late is not sent", "[entry][endless]")
{
  // Guards against a daemon that wakes from a freeze and sends what waited for its
  // connection meanwhile, to a backend that has said that it leaves.
  Endless endless(false);
  StartAttempt late = Attempt(2, EntryLoop::AddressOf(*endless.listener), false);
  late.sendBy = TimePoint{ 999ms };
  endless.backends.Execute(late);
  CHECK(endless.loop.WaitFor<AttemptNotSent>().attempt == AttemptId{ 2 });
  CHECK(endless.loop.Count<AttemptSent>() == 1); // the first call
}

TEST_CASE("A datagram that unpacks to a great size is refused", "[entry][endless]")
{
  // Guards against datagrams that take the memory of a small host: in the packed form two
  // bytes stand for up to 256 words of zeros, so the rest of the digest may be sound.
  constexpr size_t kDatagram = size_t{ 60 } * 1024;
  PeerDigest digest{ .daemon = "d2", .incarnation = 1, .sequence = 1 };
  digest.teams.resize(1000);
  CHECK(DecodeDigest(EncodeDigest(digest)));
  digest.teams.resize(60'000);
  const std::string packed = EncodeDigest(digest);
  REQUIRE(packed.size() < kDatagram);
  CHECK_FALSE(DecodeDigest(packed));
}

} // namespace gooseberrypath::entry
