// Tests of the placer's view of one service: which backend a call gets, and what the view
// becomes when releases, reports or backends fail.

#include <catch2/catch.hpp>

#include "entry/duration_text.h"
#include "entry/placement_ledger.h"
#include "entry/service_placer.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };

/// A ledger with three backends of six slots each, with the keys 1 to 3.
class LedgerFixture
{
public:
  LedgerFixture()
  {
    for (uint32_t key = 1; key <= 3; ++key) {
      backends[key] = { .slots = 6, .startedMs = 1, .dataCentre = 9 };
    }
    ledger.SetBackends(now, backends);
  }

  /// Keeps only the first backend.
  void KeepOne()
  {
    backends.erase(2);
    backends.erase(3);
    ledger.SetBackends(now, backends);
  }

  std::optional<uint32_t> Place(std::vector<uint32_t> aExcluded = {})
  {
    return ledger.Place(now, { .key = { "d1/1", ++lastId },
                               .dataCentre = 9,
                               .timeLeft = 2s,
                               .latencyObjective = 500ms,
                               .excluded = std::move(aExcluded) });
  }

  size_t PlaceUntilFull()
  {
    size_t placed = 0;
    while (Place()) {
      ++placed;
    }
    return placed;
  }

  void Report(uint32_t aBackend, uint32_t aRunning, uint32_t aWaiting = 0,
              double aPace = 1)
  {
    ledger.ApplyReport(
      now, aBackend,
      { .running = aRunning, .waiting = aWaiting, .slots = 6, .pace = aPace }, now);
  }

  void Release(uint64_t aId, uint32_t aBackend, uint32_t aRunning)
  {
    ledger.Release(
      now, { .process = "d1/1",
             .id = aId,
             .backend = aBackend,
             .wasUsed = true,
             .timeAtBackend = 30ms,
             .report = AgedLoadReport{ { .running = aRunning, .slots = 6 }, 0ms } });
  }

  TimePoint now = kStart;
  uint64_t lastId = 0;
  std::map<uint32_t, PlaceableBackend> backends;
  PlacementLedger ledger{ 30 };
};

} // namespace

TEST_CASE("Entry: calls are placed evenly and only at free slots", "[entry][placement]")
{
  // Guards against a backend with a queue while another one has free slots.
  LedgerFixture fixture;
  for (int i = 0; i < 9; ++i) {
    REQUIRE(fixture.Place());
  }
  for (uint32_t key = 1; key <= 3; ++key) {
    CHECK(fixture.ledger.CallsAt(fixture.now, key) == 3);
  }
  CHECK(fixture.PlaceUntilFull() == 9);
  fixture.Release(1, 1, 6);
  CHECK(fixture.Place());
  CHECK_FALSE(fixture.Place());
}

TEST_CASE("Entry: the pace and failures of a backend count", "[entry][placement]")
{
  // Guards against calls at a slow backend, or at the one where the call failed, while
  // others are idle.
  LedgerFixture fixture;
  fixture.Report(1, 0, 0, 2.5);
  fixture.Report(2, 0, 0, 2.5);
  CHECK(fixture.Place() == 3U);
  CHECK(fixture.Place({ 3 }) != 3U);
  CHECK(fixture.Place({ 1, 2, 3 }) == 3U);
  fixture.now += 700ms; // the paces are too old
  CHECK(fixture.Place() != 3U);
}

TEST_CASE("Entry: a repeated request keeps its backend", "[entry][placement]")
{
  // Guards against two slots for one call when a datagram arrives twice.
  LedgerFixture fixture;
  const auto first = fixture.Place();
  fixture.lastId -= 1;
  CHECK(fixture.Place() == first);
  CHECK(fixture.ledger.Size() == 1);
}

TEST_CASE("Entry: a lost release does not block its slot", "[entry][placement]")
{
  // Guards against slots that stay in use because a release was lost, and against calls
  // on their way being taken for lost ones.
  LedgerFixture fixture;
  fixture.KeepOne();
  CHECK(fixture.PlaceUntilFull() == 6);
  SECTION("a report shows that calls ended")
  {
    fixture.now += 200ms;
    fixture.Report(1, 2);
    CHECK(fixture.ledger.CallsAt(fixture.now, 1) == 2);
  }
  SECTION("a report from before their arrival shows nothing")
  {
    fixture.now += 5ms;
    fixture.Report(1, 0);
    CHECK(fixture.ledger.CallsAt(fixture.now, 1) == 6);
  }
  SECTION("without reports, it ends soon after the deadline of its call")
  {
    fixture.now += 2600ms;
    fixture.ledger.RemoveExpired(fixture.now);
    CHECK(fixture.ledger.Size() == 0);
  }
  SECTION("the process that holds the placements ended")
  {
    fixture.ledger.RemoveProcess("d1/1");
    CHECK(fixture.ledger.Size() == 0);
    CHECK(fixture.PlaceUntilFull() == 6);
  }
}

TEST_CASE("Entry: a new placer counts the calls that it did not place",
          "[entry][placement]")
{
  // Guards against a new placer that fills backends which the calls of the former one
  // still use.
  LedgerFixture fixture;
  SECTION("from digests")
  {
    fixture.backends[1].digestedCalls = 4;
    fixture.ledger.SetBackends(fixture.now, fixture.backends);
    CHECK(fixture.PlaceUntilFull() == 14);
  }
  SECTION("from a report, which also has a queue")
  {
    fixture.KeepOne();
    fixture.Report(1, 6, 3);
    CHECK(fixture.PlaceUntilFull() == 0);
    fixture.now += 20ms;
    fixture.Report(1, 4);
    CHECK(fixture.PlaceUntilFull() == 2);
  }
  SECTION("its own calls in old digests do not count twice")
  {
    fixture.KeepOne();
    fixture.now += 2s;
    CHECK(fixture.PlaceUntilFull() == 6);
    fixture.backends[1].digestedCalls = 6;
    fixture.ledger.SetBackends(fixture.now, fixture.backends);
    CHECK(fixture.ledger.CallsAt(fixture.now, 1) == 6);
    for (uint64_t id = 1; id <= 6; ++id) {
      fixture.ledger.Release(fixture.now, { .process = "d1/1", .id = id, .backend = 1 });
    }
    fixture.ledger.SetBackends(fixture.now, fixture.backends);
    CHECK(fixture.PlaceUntilFull() == 6);
  }
}

TEST_CASE("Entry: a restarted backend has no calls", "[entry][placement]")
{
  // Guards against placements at a process that has ended.
  LedgerFixture fixture;
  fixture.KeepOne();
  CHECK(fixture.PlaceUntilFull() == 6);
  fixture.Report(1, 6, 3);
  fixture.backends[1].startedMs = 2;
  fixture.ledger.SetBackends(fixture.now, fixture.backends);
  CHECK(fixture.ledger.Size() == 0);
  CHECK(fixture.PlaceUntilFull() == 6);
  fixture.Release(1, 1, 6); // of a call before the restart
  CHECK_FALSE(fixture.Place());
}

TEST_CASE("Entry: a false load report has a bounded effect", "[entry][placement]")
{
  // Guards against a backend that gets all calls, or none for good, by what it reports.
  LedgerFixture fixture;
  fixture.KeepOne();
  SECTION("it reports a huge load")
  {
    fixture.Report(1, 4'000'000'000, 4'000'000'000, 1e9);
    CHECK(fixture.PlaceUntilFull() == 0);
    fixture.now += 301ms;
    CHECK(fixture.PlaceUntilFull() == 6);
  }
  SECTION("it always reports no load and many slots")
  {
    size_t placed = 0;
    for (int i = 0; i < 100; ++i) {
      fixture.ledger.ApplyReport(fixture.now, 1, { .running = 0, .slots = 1000 },
                                 fixture.now);
      placed += fixture.PlaceUntilFull();
      fixture.now += 10ms;
    }
    CHECK(placed <= 12); // its slots, and as many again in a second
  }
}

TEST_CASE("Entry: a part of the daemons places on its share of the slots",
          "[entry][placement]")
{
  // Guards against two halves of the daemons that fill all slots twice.
  LedgerFixture fixture;
  fixture.ledger.SetShare(0.34);
  CHECK(fixture.PlaceUntilFull() == 6);
}

TEST_CASE("Entry: a part of the daemons uses slots that the other part leaves free",
          "[entry][placement]")
{
  // Guards against slots that stay unused in a partition although reports show that the
  // other side does not use them.
  LedgerFixture fixture;
  fixture.KeepOne();
  fixture.ledger.SetShare(0.34);
  fixture.Report(1, 0);
  CHECK(fixture.PlaceUntilFull() == 6);
}

TEST_CASE("Entry: a part of the daemons keeps its share while the other part is busy",
          "[entry][placement]")
{
  // Guards against subtracting the other side's calls from this side's share.
  LedgerFixture fixture;
  fixture.KeepOne();
  fixture.ledger.SetShare(0.34);
  fixture.Report(1, 6);
  CHECK(fixture.PlaceUntilFull() == 2);
}

TEST_CASE("Entry: a report that counts calls which ended on its way blocks no slot",
          "[entry][placement]")
{
  // Guards against calls that were released before their report arrived and are taken for
  // calls beyond the placements.
  LedgerFixture fixture;
  fixture.KeepOne();
  CHECK(fixture.PlaceUntilFull() == 6);
  fixture.now += 30ms;
  for (uint64_t id = 1; id <= 6; ++id) {
    fixture.ledger.Release(fixture.now, { .process = "d1/1", .id = id, .backend = 1 });
  }
  fixture.now += 5ms;
  fixture.Report(1, 6);
  CHECK(fixture.PlaceUntilFull() == 6);
}

TEST_CASE("Entry: calls that only a report shows do not block a backend for long",
          "[entry][placement]")
{
  // Guards against a backend that gets no call, and thus sends no newer report, until the
  // maximum age of the last one.
  LedgerFixture fixture;
  fixture.KeepOne();
  fixture.Report(1, 6);
  CHECK(fixture.PlaceUntilFull() == 0);
  fixture.now += FromMs(2 * fixture.ledger.WorkMs());
  CHECK(fixture.PlaceUntilFull() == 6);
}

TEST_CASE("Entry: a request that finds no slot is held until one is free",
          "[entry][placement]")
{
  // Guards against a request that is refused although a slot becomes free in time, and
  // against one that is held although it cannot start in time.
  ServicePlacer placer({ .workMs = 30, .slots = 1 });
  placer.SetBackends(kStart, { { 1, { .slots = 1 } } }, 1);
  const auto request = [](uint64_t aId, Duration aTimeLeft) {
    return PlaceRequest{
      .process = "d1/1", .id = aId, .timeLeft = aTimeLeft, .latencyObjective = 1s
    };
  };
  CHECK(placer.Answer(kStart, "a", request(1, 1s)).outcome == PlaceOutcome::Placed);
  CHECK(placer.Answer(kStart, "a", request(2, 1s)).outcome == PlaceOutcome::Held);
  CHECK(placer.Answer(kStart, "a", request(2, 1s)).outcome == PlaceOutcome::Held);
  const PlaceReply late = placer.Answer(kStart, "a", request(3, 40ms));
  CHECK(late.outcome == PlaceOutcome::Refused);
  CHECK(late.wait > 0ms);
  CHECK(placer.TakeReplies(kStart).empty());
  SECTION("a slot becomes free")
  {
    placer.Release(kStart + 30ms, { .process = "d1/1", .id = 1, .backend = 1 });
    const auto replies = placer.TakeReplies(kStart + 30ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].reply.outcome == PlaceOutcome::Placed);
    CHECK(replies[0].reply.id == 2);
    CHECK_FALSE(placer.HoldsRequests());
  }
  SECTION("no slot becomes free")
  {
    const auto replies = placer.TakeReplies(kStart + 1s);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].reply.outcome == PlaceOutcome::Refused);
    CHECK_FALSE(placer.HoldsRequests());
  }
  SECTION("the caller leaves")
  {
    placer.Release(kStart, { .process = "d1/1", .id = 2 });
    CHECK_FALSE(placer.HoldsRequests());
    placer.Release(kStart + 30ms, { .process = "d1/1", .id = 1, .backend = 1 });
    CHECK(placer.TakeReplies(kStart + 30ms).empty());
  }
  SECTION("the daemon stops placing")
  {
    const auto replies = placer.Dismiss();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].reply.outcome == PlaceOutcome::NotPlacer);
  }
}

TEST_CASE("Entry: a held call that failed at the only free backend is placed elsewhere",
          "[entry][placement]")
{
  // Guards against a queue that no request leaves while its first one failed at the
  // backend with the free slot.
  ServicePlacer placer({ .workMs = 30, .slots = 2 });
  placer.SetBackends(kStart, { { 1, { .slots = 1 } }, { 2, { .slots = 1 } } }, 1);
  for (uint64_t id = 1; id <= 2; ++id) {
    placer.Answer(kStart, "a",
                  { .process = "p", .id = id, .timeLeft = 1s, .latencyObjective = 1s });
  }
  CHECK(placer
          .Answer(kStart, "a",
                  { .process = "p",
                    .id = 3,
                    .timeLeft = 1s,
                    .latencyObjective = 1s,
                    .excluded = { 1 } })
          .outcome == PlaceOutcome::Held);
  const uint64_t first = *placer.Ledger().FindPlacement({ "p", 1 }) == 1 ? 1 : 2;
  placer.Release(kStart, { .process = "p", .id = first, .backend = 1 });
  const auto replies = placer.TakeReplies(kStart);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].reply.backend == 2);
}

} // namespace gooseberrypath::entry
