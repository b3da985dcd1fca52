// Tests of load reports: how long they hold, how own calls and restarts change them, how
// daemons pass them on, and that nonsense does no harm. The test in stale_choice_test.cc
// shows their use under load.

#include "entry/load_gossip.h"

#include <catch2/catch.hpp>

#include "entry/backend_choice.h"
#include "entry/backend_notice.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };

ResponseHead HeadWith(const LoadReport& aReport)
{
  return { .status = 200, .hasResponseStamp = true, .load = { .report = aReport } };
}

/// A daemon that knows eight booking backends and a number of live peers.
World MakeWorld(size_t aPeers)
{
  World world(EntryOptions{ .host = "d0", .dataCentre = "c1" }, kStart);
  for (size_t i = 0; i < 8; ++i) {
    const std::string id = "booking" + std::to_string(i);
    world.backends.Insert(
      id, BackendRow{ .entry = EntryFixture::MakeBackendEntry(id, "booking"),
                      .key = DigestKey(id) });
  }
  for (size_t i = 1; i <= aPeers; ++i) {
    world.peers.Insert("d" + std::to_string(i), PeerRow{ .isAlive = true });
  }
  return world;
}

PeerDigest ThroughTheWire(std::vector<GossipedLoad> aLoads)
{
  const std::string bytes = EncodeDigest({ .daemon = "d1", .loads = std::move(aLoads) });
  return *DecodeDigest(bytes);
}

} // namespace

TEST_CASE("Entry: a load report ages and is joined with own calls", "[entry][load]")
{
  // Guards against a choice by load figures that no longer hold, for example of a frozen
  // backend, and against calls of this daemon that count twice or not at all.
  ReportedLoad load;
  CHECK_FALSE(load.Estimate(kStart));
  load.CountCalls(kStart - 1ms, 1); // the report counts it
  REQUIRE(load.Apply({ .running = 4, .waiting = 1, .slots = 6, .pace = 2.5 },
                     { .receivedAt = kStart, .isOwn = true }));
  load.CountCalls(kStart, -1); // the call that it answers
  CHECK(load.Estimate(kStart)->calls == 4U);
  load.CountCalls(kStart + 10ms, 1);
  load.CountCalls(kStart + 20ms, 1);
  CHECK(load.Estimate(kStart + 300ms)->calls == 6U);
  CHECK(load.Estimate(kStart + 300ms)->age == 300ms);
  CHECK_FALSE(load.Estimate(kStart + 301ms)->calls);
  CHECK(load.Estimate(kStart + 600ms)->pace == 2.5);
  CHECK_FALSE(load.Estimate(kStart + 601ms));
  // A peer's older report does not replace it, a newer one joins with the calls since.
  CHECK_FALSE(load.Apply({ .running = 1 }, { .receivedAt = kStart - 1ms }));
  CHECK(load.Apply({ .running = 2 }, { .receivedAt = kStart + 15ms }));
  CHECK(load.Estimate(kStart + 30ms)->calls == 3U);
  CHECK_FALSE(load.OwnReportSince(TimePoint{}));
}

TEST_CASE("Entry: a restarted backend is not known by its earlier reports",
          "[entry][load]")
{
  // Guards against the load of a process that has ended, under the same id and address.
  EntryFixture entry;
  entry.Prepare();
  const auto malformed = [&] {
    entry.PostCall("status");
    const StartAttempt attempt = entry.SendLatestAttempt();
    ResponseHead head = HeadWith({ .running = 6, .slots = 6 });
    head.load = { .malformed = "3,0" };
    entry.Post(AttemptAnswered{ attempt.attempt, head, "body" });
    CHECK(entry.LastStatus() == 200);
    int lines = 0;
    for (const WriteEvent& line : entry.TakeActions<WriteEvent>()) {
      lines += line.event == "backend_load_malformed" ? 1 : 0;
    }
    return lines;
  };
  entry.Post(FleetRead{ .changes = { BackendRemoved{ "booking2" } } });
  entry.PostCall("status");
  const StartAttempt before = entry.SendLatestAttempt();
  REQUIRE(before.backend == "booking1");
  CHECK(malformed() == 1);
  CHECK(malformed() == 0);
  entry.Advance(20ms);
  BackendEntry restarted = EntryFixture::MakeBackendEntry("booking1", "booking");
  restarted.startedMs = 99;
  entry.Post(FleetRead{ .changes = { restarted } });
  entry.Post(AttemptAnswered{ before.attempt, HeadWith({ .running = 5 }), "body" });
  const ReportedLoad& load = entry.GetWorld().backends.Find("booking1")->reportedLoad;
  CHECK_FALSE(load.Estimate(entry.Now()));
  CHECK(entry.LastStatus() == 200);
  CHECK(malformed() == 1);
  CHECK(entry.GetWorld().counters.Get(EntryCounter::LoadReportsMalformed) == 3);
  entry.Post(DigestReceived{
    .from = "d2:1",
    .digest = { .daemon = "d2",
                .incarnation = 1,
                .sequence = 1,
                .loads = { { DigestKey("booking1"), 10ms, { .running = 5 } } } } });
  CHECK_FALSE(load.Estimate(entry.Now()));
}

TEST_CASE("Entry: a false load report has no effect after its time", "[entry][load]")
{
  // Guards against a backend that attracts calls for long because it says that it is idle
  // and fast. With few daemons, its report changes nothing at all.
  World world = MakeWorld(30);
  for (auto& [id, row] : world.backends) {
    world.peerUse[row.key].inFlight = 6;
    row.entry.isLeaving = id != "booking0" && id != "booking1";
  }
  const auto configuration = std::make_shared<const Configuration>(TestConfiguration());
  const RequestRow row{ .configuration = configuration,
                        .route = &configuration->routes.front(),
                        .service = "booking" };
  world.peerUse[DigestKey("booking1")].inFlight = 1;
  BackendRow& liar = *world.backends.Find("booking0");
  ApplyBackendNotice(world, liar, HeadWith({ .slots = 6, .pace = 0.01 }), kStart);
  CHECK(ChooseBackend(world, row)->id == "booking0");
  CHECK(ChooseBackend(world, row)->loadAge == Duration{});
  world.timers.AdvanceTo(kStart + 601ms);
  CHECK(ChooseBackend(world, row)->id == "booking1");
  CHECK_FALSE(ChooseBackend(world, row)->loadAge);
  // The opposite lie neither refuses calls nor makes the backend slow.
  ApplyBackendNotice(world, liar, HeadWith({ .pace = 100 }), world.Now());
  liar.entry.isLeaving = false;
  world.backends.Find("booking1")->entry.isLeaving = true;
  CHECK(ChooseBackend(world, row)->expectedMs < 100);

  World small = MakeWorld(15);
  for (size_t i = 1; i < 8; ++i) {
    ApplyBackendNotice(small, *small.backends.Find("booking" + std::to_string(i)),
                       HeadWith({ .slots = 6, .pace = 0.01 }), kStart);
  }
  small.peerUse[DigestKey("booking1")].inFlight = 5;
  small.backends.Find("booking0")
    ->reportedLoad.Apply({ .running = 100, .pace = 100 }, { .receivedAt = kStart });
  const auto costliest = ChooseBackend(small, row);
  World unreported = MakeWorld(15);
  unreported.peerUse[DigestKey("booking1")].inFlight = 5;
  const auto expected = ChooseBackend(unreported, row);
  CHECK(costliest->id == expected->id);
  CHECK(costliest->expectedMs == expected->expectedMs);
  CHECK(LoadsToGossip(small, {}).empty());
}

TEST_CASE("Entry: a digest carries the newest load reports", "[entry][load]")
{
  // Guards against digests that grow with the backends, and against reports of a peer
  // that are nonsense or too old.
  World sender = MakeWorld(30);
  for (size_t i = 0; i < 8; ++i) {
    sender.timers.AdvanceTo(kStart + i * 10ms);
    ApplyBackendNotice(
      sender, *sender.backends.Find("booking" + std::to_string(i)),
      HeadWith({ .running = static_cast<uint32_t>(i), .slots = 6, .pace = 1.25 }),
      kStart);
  }
  const auto loads = LoadsToGossip(sender, kStart - 1s);
  REQUIRE(loads.size() == 6);
  CHECK(LoadsToGossip(sender, kStart + 60ms).size() == 1);
  const size_t bytes = EncodeDigest({ .daemon = "d1", .loads = loads }).size() -
                       EncodeDigest({ .daemon = "d1" }).size();
  CHECK(bytes <= loads.size() * 16);

  World receiver = MakeWorld(30);
  receiver.timers.AdvanceTo(kStart + 70ms);
  ApplyGossipedLoads(receiver, ThroughTheWire(loads).loads);
  CHECK(receiver.counters.Get(EntryCounter::LoadReportsFromPeers) == 6);
  const auto estimate =
    receiver.backends.Find("booking5")->reportedLoad.Estimate(receiver.Now());
  REQUIRE(estimate);
  CHECK(estimate->calls == 5U);
  CHECK(estimate->pace == 1.25);
  CHECK(estimate->age == 20ms);
  CHECK_FALSE(receiver.backends.Find("booking0")->reportedLoad.Estimate(receiver.Now()));

  const uint32_t key = DigestKey("booking0");
  for (const GossipedLoad& dropped :
       { GossipedLoad{ key, 1001ms, {} }, GossipedLoad{ key, -1ms, {} },
         GossipedLoad{ key, {}, { .slots = 0 } }, GossipedLoad{ key, {}, { .pace = 0 } },
         GossipedLoad{ key, {}, { .running = 60'000 } } }) {
    ApplyGossipedLoads(receiver, { dropped });
  }
  CHECK(receiver.counters.Get(EntryCounter::LoadReportsFromPeers) == 6);
}

} // namespace gooseberrypath::entry
