// A call to a backend, the start of its response and a backend that has read it, for
// tests of BackendPort.
//
//   BackendFixture fixture({ .isStream = true });
//   fixture.peer->Write(kChunkedHead + ChunkOf("data: a\n\n"));

#ifndef ENTRY_TESTING_BACKEND_CALLS_H_
#define ENTRY_TESTING_BACKEND_CALLS_H_

#include <cstdio>
#include <optional>
#include <string>
#include <utility>

#include "entry/backend_port.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

using EntryLoop = BasicLoopFixture<Event>;

/// Returns a call with the request id "r" and this number.
inline StartAttempt MakeAttempt(uint64_t aId, std::string aAddress,
                                bool aIsStream = false)
{
  return { .attempt = { aId },
           .backend = "i-1",
           .address = std::move(aAddress),
           .method = "POST",
           .target = "/pickups/7?a=1",
           .headers = { { "Host", "shop.example" } },
           .body = "call-body",
           .requestId = "r" + std::to_string(aId),
           .timeLeft = std::chrono::seconds(10),
           .isStream = aIsStream,
           .mayRetry = true };
}

/// The head of the response to the first call, without its framing and its end.
inline const std::string kResponseHead =
  "HTTP/1.1 200 OK\r\nGooseberrypath-Request-Id: r1\r\n"
  "Gooseberrypath-Response-Stamp: s\r\n";

inline const std::string kChunkedHead =
  kResponseHead + "Transfer-Encoding: chunked\r\n\r\n";

inline std::string ChunkOf(const std::string& aText)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

/// The limits of a BackendPort under test.
struct BackendFixtureOptions
{
  bool isStream = false;
  // For one event, for bytes that bring no response or event, and for responses four
  // times of it. 0: the port's own limits.
  size_t limitBytes = 0;
};

/// A BackendPort and a backend that has read its first call.
struct BackendFixture
{
  explicit BackendFixture(const BackendFixtureOptions& aOptions)
    : backends(PortOptions(aOptions.limitBytes))
  {
    backends.Execute(MakeAttempt(1, EntryLoop::AddressOf(*listener), aOptions.isStream));
    peer.emplace(loop.Accept(*listener));
    peer->ReadUntil("call-body");
  }

  EntryLoop loop;
  kj::Own<kj::ConnectionReceiver> listener = loop.Listen();
  BackendPort backends;
  std::optional<RawPeer> peer;

private:
  BackendPortOptions PortOptions(size_t aLimitBytes)
  {
    BackendPortOptions options{ .network = loop.Network(),
                                .timer = loop.Timer(),
                                .sink = loop.Sink(),
                                .now = [] {
                                  return TimePoint{ std::chrono::seconds(1) };
                                } };
    if (aLimitBytes > 0) {
      options.maxResponseBytes = 4 * aLimitBytes;
      options.maxBufferedBytes = 8 * aLimitBytes;
      options.maxEventBytes = aLimitBytes;
      options.maxDiscardedBytes = aLimitBytes;
    }
    return options;
  }
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_BACKEND_CALLS_H_
