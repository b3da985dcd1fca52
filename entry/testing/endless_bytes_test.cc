// Tests with faulty backends that send endless data. Every reader must stop at a limit,
// so that the memory of the daemon stays bounded and its other calls continue.

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "entry/backend_port.h"
#include "entry/peer_digest.h"
#include "entry/testing/backend_calls.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

constexpr size_t kLimitBytes = size_t{ 64 } * 1024; // of the BackendPort under test
// A test that has sent this much assumes that the daemon has no limit.
constexpr size_t kMaxSentBytes = size_t{ 8 } * 1024 * 1024;

/// A BackendPort with small limits and a backend that sends without end.
struct EndlessBackendFixture : BackendFixture
{
  explicit EndlessBackendFixture(bool aIsStream)
    : BackendFixture({ .isStream = aIsStream, .limitBytes = kLimitBytes })
  {
  }

  /// Sends aPrefix once and then aRepeated until the daemon closes the connection or
  /// kMaxSentBytes are sent. Returns the number of bytes that were sent.
  size_t SendEndlessly(const std::string& aPrefix, const std::string& aRepeated)
  {
    size_t sent = 0;
    std::string next = aPrefix;
    while (loop.Count<AttemptBroken>() == 0 && sent < kMaxSentBytes) {
      const bool isOpen =
        peer->stream->write(next.data(), next.size())
          .then([] { return true; }, [](kj::Exception&&) { return false; })
          .wait(loop.io.waitScope);
      if (!isOpen) {
        break;
      }
      sent += next.size();
      next = aRepeated;
    }
    return sent;
  }
};

} // namespace

TEST_CASE("An endless response breaks the attempt", "[entry][endless]")
{
  // Guards against a daemon that is killed for using too much memory, or that reads until
  // the deadline of the call.
  const std::string piece(1000, 'x');
  std::string prefix;
  std::string repeated;
  bool isStream = false;
  SECTION("one header field")
  {
    prefix = "HTTP/1.1 200 OK\r\nX-Endless: ";
    repeated = piece;
  }
  SECTION("many header fields")
  {
    prefix = "HTTP/1.1 200 OK\r\n";
    repeated = "X-Endless: " + piece + "\r\n";
  }
  SECTION("interim responses")
  {
    prefix = "HTTP/1.1 103 Early Hints\r\n\r\n";
    repeated = "HTTP/1.1 103 Early Hints\r\nLink: " + piece + "\r\n\r\n";
  }
  SECTION("a body with a length")
  {
    prefix = kResponseHead + "Content-Length: 99999999999\r\n\r\n";
    repeated = piece;
  }
  SECTION("a body without a length")
  {
    prefix = kResponseHead + "\r\n";
    repeated = piece;
  }
  SECTION("chunks")
  {
    prefix = kChunkedHead;
    repeated = "3e8\r\n" + piece + "\r\n";
  }
  SECTION("a chunk extension")
  {
    prefix = kChunkedHead + "5;";
    repeated = piece;
  }
  SECTION("trailers")
  {
    prefix = kChunkedHead + "2\r\nok\r\n0\r\n";
    repeated = "X-Endless: " + piece + "\r\n";
  }
  SECTION("one event of a stream")
  {
    isStream = true;
    prefix = kChunkedHead + "6\r\ndata: \r\n";
    repeated = "3e8\r\n" + piece + "\r\n";
  }
  SECTION("comments of a stream")
  {
    isStream = true;
    prefix = kChunkedHead + "9\r\ndata: a\n\n\r\n";
    repeated = "3\r\n:\n\n\r\n3e8\r\n:" + piece.substr(0, 997) + "\n\n\r\n";
  }
  SECTION("blank lines of a stream")
  {
    isStream = true;
    prefix = kChunkedHead;
    repeated = "3e8\r\n" + std::string(piece.size(), '\n') + "\r\n";
  }
  SECTION("the body of a response to another call")
  {
    prefix = "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r9\r\n\r\n";
    repeated = piece;
  }
  SECTION("responses to other calls")
  {
    prefix =
      "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r9\r\nContent-Length: 0\r\n\r\n";
    repeated = prefix;
  }
  SECTION("not HTTP")
  {
    prefix = piece;
    repeated = piece;
  }
  EndlessBackendFixture fixture(isStream);
  // More than the limit may be sent, since the socket buffers take bytes until the daemon
  // closes the connection.
  CHECK(fixture.SendEndlessly(prefix, repeated) < kMaxSentBytes);
  CHECK(fixture.loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 1 });
  CHECK(fixture.loop.Count<AttemptAnswered>() == 0);
  CHECK(fixture.loop.Count<StreamEnded>() == 0);
  CHECK(fixture.backends.Errors().Count() == 0);
}

TEST_CASE("Responses that are read concurrently share one limit", "[entry][endless]")
{
  // Guards against many responses, each below the limit for one, that exhaust the memory
  // together.
  EndlessBackendFixture fixture(false);
  std::vector<RawPeer> peers;
  for (uint64_t id = 2; id <= 12; ++id) {
    fixture.backends.Execute(
      MakeAttempt(id, EntryLoop::AddressOf(*fixture.listener), false));
    peers.push_back(fixture.loop.Accept(*fixture.listener));
    peers.back().ReadUntil("call-body");
    peers.back().Write("HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r" +
                       std::to_string(id) + "\r\nContent-Length: 100000\r\n\r\n" +
                       std::string(kLimitBytes, 'x'));
  }
  fixture.loop.WaitFor<AttemptBroken>();
  // The other responses are still read, and cancelled ones no longer count.
  for (uint64_t id = 3; id <= 6; ++id) {
    fixture.backends.Execute(CancelAttempt{ { id } });
  }
  peers.front().Write(std::string(100000 - kLimitBytes, 'x'));
  CHECK(fixture.loop.WaitFor<AttemptAnswered>().body.size() == 100000);
}

TEST_CASE("A valid stream of many small events or chunks is not cut", "[entry][endless]")
{
  // Guards against limits that break a valid stream because it has many events, sends
  // each byte in a chunk of its own, or has comments between its events.
  EndlessBackendFixture fixture(true);
  fixture.peer->Write(kChunkedHead);
  std::string expected;
  std::string received;
  const auto send = [&](const std::string& aBytes) {
    fixture.peer->Write("1\r\n" + aBytes.substr(0, 1) + "\r\n");
    for (size_t i = 1; i < aBytes.size(); ++i) {
      fixture.peer->Write("1\r\n" + aBytes.substr(i, 1) + "\r\n");
    }
    expected += aBytes;
  };
  for (int i = 1; i <= 20; ++i) {
    send("id: " + std::to_string(i) + "\ndata: abc\n\n");
  }
  const std::string event = "data: " + std::string(1000, 'y') + "\n\n";
  for (int i = 0; i < 200; ++i) { // together larger than the limit for one event
    fixture.peer->Write("3f0\r\n" + event + "\r\n");
    expected += event;
  }
  const std::string comment = ":" + std::string(1005, 'z') + "\n\n";
  for (int i = 0; i < 200; ++i) { // between events less than the limit
    const bool isEvent = i % 50 == 0;
    fixture.peer->Write("3f0\r\n" + (isEvent ? event : comment) + "\r\n");
    expected += isEvent ? event : comment;
  }
  fixture.peer->Write("0\r\n\r\n");
  fixture.loop.WaitFor<StreamEnded>();
  while (fixture.loop.Count<StreamEvents>() > 0) {
    received += fixture.loop.WaitFor<StreamEvents>().bytes;
  }
  CHECK(received == expected);
}

TEST_CASE("A late duplicate of a response is not taken for the next one",
          "[entry][endless]")
{
  // Guards against a response without request id that is delivered to a later call on the
  // same connection.
  EndlessBackendFixture fixture(false);
  fixture.peer->Write(kResponseHead + "Content-Length: 3\r\n\r\none");
  CHECK(fixture.loop.WaitFor<AttemptAnswered>().body == "one");
  fixture.backends.Execute(
    MakeAttempt(2, EntryLoop::AddressOf(*fixture.listener), false));
  fixture.peer->ReadUntil("call-body");
  SECTION("with its request id")
  {
    fixture.peer->Write(kResponseHead + "Content-Length: 3\r\n\r\none");
    fixture.peer->Write(
      "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r2\r\n"
      "Gooseberrypath-Response-Stamp: s\r\nContent-Length: 3\r\n\r\ntwo");
    CHECK(fixture.loop.WaitFor<AttemptAnswered>().body == "two");
  }
  SECTION("without request id")
  {
    fixture.peer->Write("HTTP/1.1 200 OK\r\nGooseberrypath-Response-Stamp: s\r\n"
                        "Content-Length: 3\r\n\r\none");
    CHECK(fixture.loop.WaitFor<AttemptBroken>().attempt == AttemptId{ 2 });
    CHECK(fixture.loop.Count<AttemptAnswered>() == 0);
  }
}

TEST_CASE("Bytes on an idle connection are reported and close it", "[entry][endless]")
{
  // Guards against a duplicate response that is taken for the response to the next call.
  EndlessBackendFixture fixture(false);
  fixture.peer->Write(kResponseHead + "Content-Length: 3\r\n\r\none");
  fixture.loop.WaitFor<AttemptAnswered>();
  fixture.peer->Write(kResponseHead + "Content-Length: 3\r\n\r\none");
  CHECK(fixture.loop.WaitFor<UnsolicitedBytes>().address ==
        EntryLoop::AddressOf(*fixture.listener));
  CHECK(fixture.backends.IdleCount() == 0);
}

TEST_CASE("A call is not sent if connecting ends after its send deadline",
          "[entry][endless]")
{
  // Guards against a daemon that was frozen while it connected and then sends the call to
  // a backend that has meanwhile announced its shutdown.
  EndlessBackendFixture fixture(false);
  StartAttempt late = MakeAttempt(2, EntryLoop::AddressOf(*fixture.listener), false);
  late.sendBy = TimePoint{ 999ms };
  fixture.backends.Execute(late);
  CHECK(fixture.loop.WaitFor<AttemptNotSent>().attempt == AttemptId{ 2 });
  CHECK(fixture.loop.Count<AttemptSent>() == 1); // the first call
}

TEST_CASE("A datagram that unpacks to a very large digest is refused", "[entry][endless]")
{
  // Guards against small datagrams that use up the memory of a small host. Packed
  // encoding represents up to 256 zero words by two bytes, so a valid digest can unpack
  // to a large one.
  constexpr size_t kMaxDatagramBytes = size_t{ 60 } * 1024;
  PeerDigest digest{ .daemon = "d2", .incarnation = 1, .sequence = 1 };
  digest.teams.resize(1000);
  CHECK(DecodeDigest(EncodeDigest(digest)));
  digest.teams.resize(60'000);
  const std::string packed = EncodeDigest(digest);
  REQUIRE(packed.size() < kMaxDatagramBytes);
  CHECK_FALSE(DecodeDigest(packed));
}

} // namespace gooseberrypath::entry
