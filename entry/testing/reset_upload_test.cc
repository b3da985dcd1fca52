// Tests of connections that are reset while an upload is being written, in each order in
// which the write and the read meet the reset.

#include <optional>

#include <netinet/in.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "entry/backend_port.h"
#include "entry/socket.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

using EntryLoop = BasicLoopFixture<Event>;

/// A gate that holds operations until it is opened.
class Gate
{
public:
  Gate()
    : Gate(kj::newPromiseAndFulfiller<void>())
  {
  }

  kj::Promise<void> Wait() { return opened_.addBranch(); }
  void Open() { fulfiller_->fulfill(); }

private:
  explicit Gate(kj::PromiseFulfillerPair<void> aPair)
    : opened_(aPair.promise.fork())
    , fulfiller_(kj::mv(aPair.fulfiller))
  {
  }

  kj::ForkedPromise<void> opened_;
  kj::Own<kj::PromiseFulfiller<void>> fulfiller_;
};

/// A TCP connection whose reads, writes and reports of failed writes wait for gates.
class GatedStream final : public kj::AsyncIoStream
{
public:
  explicit GatedStream(kj::Own<kj::AsyncIoStream> aStream)
    : stream_(kj::mv(aStream))
  {
  }

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMin, size_t aMax) override
  {
    return reads.Wait().then(
      [this, aBuffer, aMin, aMax] { return stream_->tryRead(aBuffer, aMin, aMax); });
  }

  kj::Promise<void> write(const void* aBuffer, size_t aSize) override
  {
    return writes.Wait()
      .then([this, aBuffer, aSize] { return stream_->write(aBuffer, aSize); })
      .catch_([this](kj::Exception&& aError) {
        hasWriteFailed = true;
        return reports.Wait().then([error = kj::mv(aError)]() mutable -> void {
          kj::throwFatalException(kj::mv(error));
        });
      });
  }

  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    return stream_->write(aPieces);
  }

  kj::Promise<void> whenWriteDisconnected() override
  {
    return stream_->whenWriteDisconnected();
  }

  void shutdownWrite() override { stream_->shutdownWrite(); }

  void getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aSize) override
  {
    stream_->getsockopt(aLevel, aOption, aValue, aSize);
  }

  kj::Maybe<int> getFd() const override { return stream_->getFd(); }

  Gate reads;
  Gate writes;
  Gate reports;
  bool hasWriteFailed = false;

private:
  kj::Own<kj::AsyncIoStream> stream_;
};

/// Closes the connection with a TCP reset.
void Reset(RawPeer& aPeer)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  aPeer.stream->setsockopt(SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  aPeer.Close();
}

/// A socket on a gated connection to a peer.
struct GatedSocket
{
  explicit GatedSocket(EntryLoop& aLoop)
    : listener(aLoop.Listen())
    , connection(aLoop.ConnectTo(static_cast<uint16_t>(listener->getPort())))
    , peer(aLoop.Accept(*listener))
  {
    auto gated = kj::heap<GatedStream>(kj::mv(connection.stream));
    stream = gated.get();
    socket.emplace(kj::mv(gated),
                   SocketOptions{ .onBytes =
                                    [this](std::span<const char> aBytes) {
                                      received.append(aBytes.data(), aBytes.size());
                                    },
                                  .onClosed = [this](SocketEnd aEnd) { end = aEnd; } });
  }

  kj::Own<kj::ConnectionReceiver> listener;
  RawPeer connection;
  RawPeer peer;
  GatedStream* stream = nullptr;
  std::string received;
  std::optional<SocketEnd> end;
  std::optional<Socket> socket;
};

} // namespace

TEST_CASE("A reset that a write meets first is no end of file for the read",
          "[entry][reset_upload]")
{
  // The failed write takes the error of the connection, so the next read sees an end of
  // file. Guards against a cut response without length that looks complete.
  EntryLoop loop;
  GatedSocket gated(loop);
  gated.socket->Write("upload");
  gated.peer.Write("part of a response");
  Reset(gated.peer);
  gated.stream->writes.Open();
  loop.RunUntil([&] { return gated.stream->hasWriteFailed; });
  SECTION("the read reports first")
  {
    gated.stream->reads.Open();
    loop.RunUntil([&] { return gated.end.has_value(); });
    CHECK(gated.received == "part of a response");
    gated.stream->reports.Open();
  }
  SECTION("the write reports first")
  {
    gated.stream->reports.Open();
    loop.RunUntil([&] { return gated.end.has_value(); });
    gated.stream->reads.Open();
  }
  CHECK(gated.end == SocketEnd::Reset);
}

TEST_CASE("A reset that a read meets first is a reset", "[entry][reset_upload]")
{
  EntryLoop loop;
  GatedSocket gated(loop);
  gated.socket->Write("upload");
  gated.peer.Write("part of a response");
  Reset(gated.peer);
  gated.stream->reads.Open();
  loop.RunUntil([&] { return gated.end.has_value(); });
  CHECK(gated.received == "part of a response");
  CHECK(gated.end == SocketEnd::Reset);
}

TEST_CASE("A connection that the peer closed in order was not reset",
          "[entry][reset_upload]")
{
  // Guards against sound responses without length that are taken for broken.
  EntryLoop loop;
  GatedSocket gated(loop);
  gated.stream->reads.Open();
  gated.stream->writes.Open();
  SECTION("while this side is open")
  {
    gated.peer.Write("response");
    gated.peer.Close();
  }
  SECTION("after this side was closed")
  {
    gated.socket->Write("upload");
    gated.socket->CloseAfterWrites();
    CHECK(gated.peer.ReadAll() == "upload");
    gated.peer.Write("response");
    gated.peer.Close();
  }
  SECTION("both at the same time")
  {
    gated.peer.Write("response");
    gated.socket->CloseAfterWrites();
    gated.peer.Close();
  }
  loop.RunUntil([&] { return gated.end.has_value(); });
  CHECK(gated.received == "response");
  CHECK(gated.end == SocketEnd::Closed);
}

TEST_CASE("A response without length is not complete when its upload is reset",
          "[entry][reset_upload]")
{
  // The upload fills the buffers of the connection, so the write and the read of the
  // daemon become possible together when the reset arrives.
  EntryLoop loop;
  BackendPort backends(
    { .network = loop.Network(), .timer = loop.Timer(), .sink = loop.Sink(), .now = [] {
       return TimePoint{ 1s };
     } });
  auto listener = loop.Listen();
  backends.Execute(StartAttempt{ .attempt = { 1 },
                                 .backend = "i-1",
                                 .address = EntryLoop::AddressOf(*listener),
                                 .method = "POST",
                                 .target = "/pickups/7",
                                 .headers = { { "Host", "shop.example" } },
                                 .body = std::string(16 << 20, 'x'),
                                 .requestId = "r1",
                                 .timeLeft = 10s });
  RawPeer backend = loop.Accept(*listener);
  backend.ReadUntil("\r\n\r\n");
  loop.WaitFor<AttemptSent>();
  loop.Timer().afterDelay(20 * kj::MILLISECONDS).wait(loop.io.waitScope);
  const std::string response = "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r1\r\n"
                               "Gooseberrypath-Response-Stamp: s\r\n\r\npart";
  // The loop does not run between the two, as the response fits into the buffer.
  REQUIRE(::send(KJ_ASSERT_NONNULL(backend.stream->getFd()), response.data(),
                 response.size(), 0) == static_cast<ssize_t>(response.size()));
  Reset(backend);
  loop.RunUntil([&] { return !loop.events.empty(); });
  CHECK(loop.Count<AttemptAnswered>() == 0);
  CHECK(loop.Count<AttemptBroken>() == 1);
}

} // namespace gooseberrypath::entry
