// Tests of the account of request memory and of what the port for callers does when it is
// exhausted.

#include "gooseberrypath/memory_account.h"

#include <numeric>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/caller_port.h"
#include "gooseberrypath/shared_bytes.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

namespace {

using EntryLoop = BasicLoopFixture<Event>;

constexpr size_t kBodyLimit = size_t{ 64 } * 1024;

/// A CallerPort with a small account, whose bound is what one legal request needs.
struct MemoryFixture
{
  explicit MemoryFixture(size_t aMaxConnections = 100)
    : port(static_cast<uint16_t>(loop.Listen()->getPort()))
    , callers({ .network = loop.Network(),
                .timer = loop.Timer(),
                .sink = loop.Sink(),
                .now = [this] { return now; },
                .address = "127.0.0.1:" + std::to_string(port),
                .maxConnections = aMaxConnections,
                .memory = memory })
  {
    callers.Execute(
      SetCallerLimits{ { .maxHeadBytes = 1024, .maxBodyBytes = kBodyLimit } });
  }

  /// Connects and sends the head of a request and the first bytes of its body. Waits
  /// until they are read.
  RawPeer Begin(size_t aLength, size_t aSent)
  {
    const size_t before = memory->InUse();
    RawPeer caller = loop.ConnectTo(port);
    caller.Write(Head(aLength) + std::string(aSent, 'x'));
    loop.RunUntil([&] { return memory->InUse() >= before + aSent; });
    return caller;
  }

  static std::string Head(size_t aLength, const std::string& aField = "")
  {
    return "POST /a/ HTTP/1.1\r\nHost: h\r\n" + aField +
           "Content-Length: " + std::to_string(aLength) + "\r\n\r\n";
  }

  /// Runs the port until it has handled what was written to it.
  void Settle() { loop.Timer().afterDelay(5 * kj::MILLISECONDS).wait(loop.io.waitScope); }

  EntryLoop loop;
  TimePoint now{ 1s };
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>(1);
  uint16_t port;
  CallerPort callers;
};

} // namespace

TEST_CASE("Request memory: the account is the sum of its charges", "[entry][memory]")
{
  // Guards against bytes that are counted twice, lost, or not returned, which would
  // refuse requests for ever or admit them without a bound. Compared with plain sums.
  auto memory = std::make_shared<MemoryAccount>(10000);
  std::vector<MemoryCharge> charges;
  std::vector<size_t> model;
  std::mt19937 random(7);
  const auto sum = [&] {
    return std::accumulate(model.begin(), model.end(), size_t{ 0 });
  };
  for (int step = 0; step < 5000; ++step) {
    const size_t at = model.empty() ? 0 : random() % model.size();
    const size_t bytes = random() % 1000;
    switch (model.empty() ? 0 : random() % 5) {
      case 0:
        charges.emplace_back(memory);
        model.push_back(0);
        break;
      case 1: {
        const bool fits = bytes <= model[at] || sum() - model[at] + bytes <= 10000;
        REQUIRE(charges[at].TryResize(bytes) == fits);
        model[at] = fits ? bytes : model[at];
        break;
      }
      case 2:
        charges[at].Resize(bytes);
        model[at] = bytes;
        break;
      case 3:
        charges.push_back(charges[at].Split(bytes));
        model.push_back(std::min(bytes, model[at]));
        model[at] -= model.back();
        break;
      default:
        charges[at] = std::move(charges.back());
        charges.pop_back();
        model[at] = model.back();
        model.pop_back();
        break;
    }
    REQUIRE(memory->InUse() == sum());
    REQUIRE(memory->Free() == 10000 - std::min<size_t>(10000, sum()));
  }
  charges.clear();
  CHECK(memory->InUse() == 0);
}

TEST_CASE("Request memory: shared bytes are charged until the last holder is gone",
          "[entry][memory]")
{
  // Guards against a body that is still queued to a backend and no longer counted.
  auto memory = std::make_shared<MemoryAccount>(1000);
  MemoryCharge charge(memory);
  charge.Resize(100);
  SharedBytes first(std::string(60, 'x'), charge.Split(100));
  SharedBytes second = first;
  CHECK(second.View().data() == first.View().data());
  first = SharedBytes();
  CHECK(memory->InUse() == 100);
  second = SharedBytes();
  CHECK(memory->InUse() == 0);
}

TEST_CASE("Request memory: a body announced over the limit is refused at its head",
          "[entry][memory]")
{
  // Guards against a caller that is invited by 100 Continue to send a body that is
  // refused.
  MemoryFixture fixture;
  RawPeer caller = fixture.loop.ConnectTo(fixture.port);
  caller.Write(MemoryFixture::Head(kBodyLimit + 1, "Expect: 100-continue\r\n"));
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 413 "));
  CHECK(fixture.memory->InUse() == 0);
  RawPeer legal = fixture.loop.ConnectTo(fixture.port);
  legal.Write(MemoryFixture::Head(kBodyLimit, "Expect: 100-continue\r\n"));
  CHECK(legal.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  legal.Write(std::string(kBodyLimit, 'x'));
  CHECK(fixture.loop.WaitFor<CallArrived>().call.body.size() == kBodyLimit);
}

TEST_CASE("Request memory: a request that finds no room is refused and leaves nothing",
          "[entry][memory]")
{
  // Guards against a total without a bound, and against memory held by refused requests.
  MemoryFixture fixture;
  {
    MemoryCharge others(fixture.memory);
    others.Resize(fixture.memory->Bound() - 20000);
    RawPeer caller = fixture.loop.ConnectTo(fixture.port);
    caller.Write(MemoryFixture::Head(30000) + std::string(30000, 'x'));
    const std::string answer = caller.ReadAll();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("\r\nRetry-After: 1\r\n") != std::string::npos);
    CHECK(answer.find("not_run") != std::string::npos);
    CHECK(fixture.loop.Count<CallArrived>() == 0);
    CHECK(fixture.memory->InUse() == others.Bytes());
    CHECK(fixture.callers.GetShortages().refusedRequests == 1);
  }
  RawPeer caller = fixture.Begin(30000, 30000);
  CHECK(fixture.loop.WaitFor<CallArrived>().call.body.size() == 30000);
  CHECK(fixture.memory->InUse() == 0); // the call is gone
}

TEST_CASE("Request memory: the slowest incomplete body is dropped to make room",
          "[entry][memory]")
{
  // Guards against bodies that stop before their end and shut out all other requests, and
  // against the loss of bodies that still arrive.
  MemoryFixture fixture;
  RawPeer stopped = fixture.Begin(kBodyLimit, 30000);
  fixture.now += 1s;
  RawPeer arriving = fixture.Begin(kBodyLimit, 30000);
  fixture.now += 300ms;
  MemoryCharge others(fixture.memory);
  others.Resize(fixture.memory->Free());
  RawPeer caller = fixture.loop.ConnectTo(fixture.port);
  caller.Write(MemoryFixture::Head(20000) + std::string(20000, 'y'));
  CHECK(fixture.loop.WaitFor<CallArrived>().call.body == std::string(20000, 'y'));
  CHECK(stopped.ReadAll().starts_with("HTTP/1.1 408 "));
  others.Resize(0);
  arriving.Write(std::string(kBodyLimit - 30000, 'x'));
  CHECK(fixture.loop.WaitFor<CallArrived>().call.body.size() == kBodyLimit);
  CHECK(fixture.callers.GetShortages() == Shortages{ .droppedRequests = 1 });
}

TEST_CASE("Request memory: a byte now and then does not keep a body open",
          "[entry][memory]")
{
  // Guards against bodies without an end, and against the loss of a slow caller that
  // sends at the minimum rate, through pauses as long as the idle timeout allows.
  MemoryFixture fixture;
  SECTION("single bytes")
  {
    RawPeer caller = fixture.Begin(kBodyLimit, 1);
    for (int i = 0; i < 4; ++i) {
      fixture.now += 5s;
      caller.Write("x");
      fixture.Settle();
    }
    CHECK(caller.ReadAll().starts_with("HTTP/1.1 408 "));
  }
  SECTION("the minimum rate")
  {
    constexpr size_t kPart = size_t{ 14 } * 1024; // in 14 s
    RawPeer caller = fixture.Begin(4 * kPart, kPart);
    for (int i = 0; i < 3; ++i) {
      fixture.now += 14s;
      fixture.loop.Timer()
        .afterDelay(300 * kj::MILLISECONDS)
        .wait(fixture.loop.io.waitScope);
      caller.Write(std::string(kPart, 'x'));
      fixture.Settle();
    }
    CHECK(fixture.loop.WaitFor<CallArrived>().call.body.size() == 4 * kPart);
  }
}

TEST_CASE("Request memory: a new connection replaces the one that waits longest",
          "[entry][memory]")
{
  // Guards against incomplete requests that hold all connections and shut out others, and
  // against the end of a connection whose call runs.
  MemoryFixture fixture(2);
  RawPeer busy = fixture.Begin(10, 10);
  const ExchangeId running = fixture.loop.WaitFor<CallArrived>().exchange;
  RawPeer stopped = fixture.Begin(kBodyLimit, 10);
  fixture.now += 1s;
  RawPeer caller = fixture.loop.ConnectTo(fixture.port);
  caller.Write(MemoryFixture::Head(10) + std::string(10, 'x'));
  CHECK(fixture.loop.WaitFor<CallArrived>().call.body.size() == 10);
  CHECK(stopped.ReadAll().empty());
  CHECK(fixture.callers.ConnectionCount() == 2);
  fixture.callers.Execute(WriteResponse{ .exchange = running, .status = 200 });
  CHECK(busy.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

} // namespace gooseberrypath::entry
