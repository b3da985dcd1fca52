#include "entry/duty_system.h"

#include <utility>

#include <catch2/catch.hpp>

#include "entry/testing/duty_simulation.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

TEST_CASE("Entry: the duty state survives its encoding as JSON", "[entry][duty]")
{
  const DutyState state{ .holder = "d1",
                         .incarnation = 7,
                         .token = 3,
                         .renewal = 20,
                         .reports = { { .window = 5, .counts = { { "acme", 12 } } } },
                         .firstUnreported = 6,
                         .counts = { { 6, "d1/7", "acme", 4 } },
                         .engineDemands = { { "assistant", { 2.5, 3.5 } } } };
  CHECK(DecodeDutyState(EncodeDutyState(state)) == state);
  CHECK(DecodeDutyState("") == DutyState{});
  CHECK_FALSE(DecodeDutyState("{}"));
  CHECK_FALSE(DecodeDutyState("junk"));
}

TEST_CASE("Entry: usage counts merge in any order, also twice", "[entry][duty]")
{
  UsageCount first(5s);
  UsageCount second(5s);
  first.Add(12s, "a", "acme");
  first.Add(13s, "a", "acme");
  second.Add(14s, "b", "acme");
  second.Add(15s, "b", "acme"); // the next window
  second.Merge(first.Rows());
  second.Merge(first.Rows());
  first.Merge(second.Rows());
  CHECK(first.Totals(2) == std::map<std::string, uint64_t>{ { "acme", 3 } });
  CHECK(first.Rows() == second.Rows());
  first.DropBefore(3);
  CHECK(first.Totals(2).empty());
  CHECK(first.WindowEnd(2) == 15s);
}

TEST_CASE("Entry: without faults every window is reported completely and in time",
          "[entry][duty]")
{
  DutySimulation simulation(1, true);
  simulation.Run(0s);
  CHECK(simulation.Violations() == 0);
  const auto totals = simulation.ReportedTotals();
  REQUIRE_FALSE(totals.empty());
  uint64_t sum = 0;
  for (const auto& [window, total] : totals) {
    sum += total;
  }
  CHECK(sum > 0);
  CHECK(sum <= simulation.StartedCalls());
}

TEST_CASE("Entry: no two holders act at once under random faults", "[entry][duty]")
{
  // Guards against two reports for a window, tokens that decrease, and holders that
  // alternate within the lease. The naive store shows that the simulation finds such
  // faults: it accepts writes without checking the offset.
  int naiveBroken = 0;
  size_t calls = 0;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    DutySimulation simulation(seed, true);
    simulation.Run(60s);
    INFO("seed " << seed);
    CHECK(simulation.Violations() == 0);
    calls += simulation.Calls().size();
    if (seed <= 40) {
      DutySimulation naive(seed, false);
      naive.Run(60s);
      naiveBroken += naive.Violations() > 0 ? 1 : 0;
    }
  }
  CHECK(calls > 1200); // on average 8 windows of each run
  CHECK(naiveBroken > 20);
}

TEST_CASE("Entry: holders act one at a time when the store goes back to a copy",
          "[entry][duty]")
{
  // Guards against two reports for a window and tokens that fall after the store comes
  // back from a copy, while the holder or all daemons are killed.
  size_t calls = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    DutySimulation simulation(seed, true, 8, true);
    simulation.Run(60s);
    INFO("seed " << seed);
    CHECK(simulation.Violations() == 0);
    calls += simulation.Calls().size();
  }
  CHECK(calls > 400);
}

TEST_CASE("Entry: holders act one at a time when the store goes back, 95 daemons",
          "[entry][duty]")
{
  // Guards against the same with many daemons, which read the store one after the other.
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    DutySimulation simulation(seed, true, 95, true);
    simulation.Run(30s);
    INFO("seed " << seed);
    CHECK(simulation.Violations() == 0);
  }
}

TEST_CASE("Entry: a duty state that cannot be read is logged in every era",
          "[entry][duty]")
{
  // Guards against a store that fails without a line, because the failure names no era.
  EntryFixture entry({ .host = "d1", .peerAddress = "d1", .reportsUsage = true });
  entry.Prepare();
  entry.Post(StoreEraRead{ 3 });
  entry.TakeActions<WriteEvent>();
  const auto reasons = [&] {
    std::vector<std::string> found;
    for (const WriteEvent& line : entry.TakeActions<WriteEvent>()) {
      if (line.event == "duty_state_unread") {
        found.push_back(line.fields.front().second);
      }
    }
    return found;
  };
  entry.Post(DutyStateRead{ .isRead = false, .reason = "the store is down" });
  CHECK(reasons() == std::vector<std::string>{ "the store is down" });
  entry.Post(DutyStateRead{ .isRead = true, .era = 2 });
  CHECK(reasons().size() == 1);
}

TEST_CASE("Entry: a killed holder is replaced before a report is late", "[entry][duty]")
{
  // A report is due 10 s after its window, and a holder may be killed at the window's
  // end.
  EntryOptions options{ .host = "d2", .peerAddress = "d2", .reportsUsage = true };
  EntryFixture entry(options);
  entry.Prepare();
  const DutyState held{
    .holder = "d1", .incarnation = 1, .token = 4, .renewal = 9, .firstUnreported = 1
  };
  entry.Advance(300ms);
  entry.Post(DutyStateRead{ .isRead = true, .text = EncodeDutyState(held), .end = 9 });
  CHECK(entry.TakeActions<WriteDutyState>().empty());
  Duration waited{};
  std::vector<WriteDutyState> writes;
  while (writes.empty() && waited < 10s) {
    entry.Advance(100ms);
    waited += 100ms;
    if (!entry.TakeActions<ReadDutyState>().empty()) {
      entry.Post(
        DutyStateRead{ .isRead = true, .text = EncodeDutyState(held), .end = 9 });
    }
    writes = entry.TakeActions<WriteDutyState>();
  }
  REQUIRE_FALSE(writes.empty());
  CHECK(waited >= 3s); // never within the lease
  CHECK(waited <= 5s);
  CHECK(writes[0].at == 9);
  CHECK(DecodeDutyState(writes[0].text)->token == 5);
}

TEST_CASE("Entry: an order whose backends do not start is sent again", "[entry][duty]")
{
  // Guards against reclaimable backends that are never ordered again after they were
  // reclaimed, because an earlier order for the same number was accepted.
  EntryFixture entry({ .host = "d1",
                       .dataCentre = "c1",
                       .dataCentres = { "c1" },
                       .ordersBackends = true });
  Configuration configuration = TestConfiguration();
  configuration.services["assistant"].scaling =
    ScalingPolicy{ .min = 1, .max = 6, .bootTime = 4s };
  entry.Prepare(configuration);
  size_t sent = 0;
  uint64_t end = 0;
  const auto run = [&](Duration aTime, int aStatus) {
    for (Duration done{}; done < aTime; done += 100ms) {
      entry.Advance(100ms);
      for (const ReadDutyState& read : entry.TakeActions<ReadDutyState>()) {
        static_cast<void>(read);
        entry.Post(DutyStateRead{ .isRead = true, .end = end });
      }
      for (const WriteDutyState& write : entry.TakeActions<WriteDutyState>()) {
        static_cast<void>(write);
        entry.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = ++end });
      }
      for (const SendOrder& order : entry.TakeActions<SendOrder>()) {
        sent += order.order.isReclaimable ? 1 : 0;
        entry.Post(OrderSent{ order.order, aStatus });
      }
    }
  };
  run(5s, 200);
  CHECK(sent == 1);
  run(4s, 200); // the backends boot
  CHECK(sent == 1);
  run(4s, 200); // they do not start
  CHECK(sent == 2);
  run(6s, 409); // none are available
  CHECK(sent >= 3);
}

TEST_CASE("Entry: a report waits for the counts of a daemon that was partitioned",
          "[entry][duty]")
{
  // Guards against a report without the counts of daemons that are alive again but have
  // not sent them yet. Such a report missed up to 40% of the calls of a window.
  EntryFixture entry({ .host = "d1", .reportsUsage = true });
  entry.Prepare();
  uint64_t end = 0;
  uint64_t sequence = 0;
  std::vector<UsageReport> reports;
  const auto run = [&](Duration aTime, const std::vector<UsageRow>& aUsage) {
    for (Duration done{}; done < aTime; done += 100ms) {
      entry.Advance(100ms);
      entry.Post(DigestReceived{
        .from = "d2:1",
        .digest = {
          .daemon = "d2", .incarnation = 1, .sequence = ++sequence, .usage = aUsage } });
      for ([[maybe_unused]] const auto& read : entry.TakeActions<ReadDutyState>()) {
        entry.Post(DutyStateRead{ .isRead = true, .end = end });
      }
      for ([[maybe_unused]] const auto& write : entry.TakeActions<WriteDutyState>()) {
        entry.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = ++end });
      }
      for (const SendUsage& sent : entry.TakeActions<SendUsage>()) {
        reports.push_back(sent.report);
        entry.Post(UsageSent{ .window = sent.report.window, .isAccepted = true });
      }
    }
  };
  // The fixture starts at 100 s of the wall clock, where window 20 begins.
  run(5s + 3s, {}); // d2 is alive but has sent no counts
  CHECK(reports.empty());
  run(2s, { { .window = 20, .team = "acme", .count = 7 } });
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].window == 20);
  CHECK(reports[0].counts.at("acme") == 7);
  // A daemon that never sends its counts delays a report only until the timeout.
  run(8s, {});
  CHECK(reports.size() == 2);
}

TEST_CASE("Entry: a holder that is isolated from the others releases the lease",
          "[entry][duty]")
{
  // Guards against a holder that reaches the store but no other daemon. It reported 363
  // of 5,262 calls and ordered backends only for its own load.
  EntryFixture entry({ .host = "d1", .reportsUsage = true });
  entry.Prepare();
  uint64_t end = 0;
  uint64_t sequence = 0;
  std::string state;
  const auto run = [&](Duration aTime, bool aReceivesAll) {
    for (Duration done{}; done < aTime; done += 100ms) {
      entry.Advance(100ms);
      ++sequence;
      for (const std::string daemon : { "d2", "d3", "d4" }) {
        if (aReceivesAll || daemon == "d4") {
          entry.Post(DigestReceived{
            .from = daemon + ":1",
            .digest = { .daemon = daemon, .incarnation = 1, .sequence = sequence } });
        }
      }
      for ([[maybe_unused]] const auto& read : entry.TakeActions<ReadDutyState>()) {
        entry.Post(DutyStateRead{ .isRead = true, .text = state, .end = end });
      }
      for (const WriteDutyState& write : entry.TakeActions<WriteDutyState>()) {
        state = write.text;
        entry.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = ++end });
      }
    }
  };
  run(5s, true);
  CHECK(entry.GetWorld().dutyToken == 1);
  run(4s, false); // digests of d2 and d3 no longer arrive
  CHECK(entry.GetWorld().dutyToken == 0);
  // If no other daemon acquires the lease, an isolated holder is better than none.
  run(8s, false);
  CHECK(entry.GetWorld().dutyToken == 2);
  run(4s, false);
  CHECK(entry.GetWorld().dutyToken == 2);
}

TEST_CASE("Entry: counts of an isolated daemon reach the holder through the store",
          "[entry][duty]")
{
  // Guards against reports that lack the calls of daemons that reach the store but no
  // holder.
  const EntryOptions options{ .host = "d2", .reportsUsage = true };
  EntryFixture isolated(options);
  isolated.Prepare();
  // The fixture starts at 100 s of the wall clock, where window 20 begins.
  isolated.PostCall("status");
  isolated.Respond(isolated.SendLatestAttempt(), 200);
  const DutyState held{ .holder = "d1", .token = 1, .renewal = 1, .firstUnreported = 20 };
  isolated.Post(DutyStateRead{ .isRead = true, .text = EncodeDutyState(held), .end = 1 });
  isolated.Advance(5s + 2s);
  const auto written = isolated.TakeActions<WriteUsage>();
  REQUIRE(written.size() == 1); // once per window

  EntryFixture holder({ .host = "d1", .reportsUsage = true });
  holder.Prepare();
  holder.Post(DigestReceived{
    .from = "d2:1", .digest = { .daemon = "d2", .incarnation = 1, .sequence = 1 } });
  uint64_t end = 0;
  std::vector<UsageReport> reports;
  for (Duration done{}; done < 12s; done += 100ms) {
    holder.Advance(100ms);
    for ([[maybe_unused]] const auto& read : holder.TakeActions<ReadDutyState>()) {
      holder.Post(DutyStateRead{ .isRead = true, .end = end });
    }
    for ([[maybe_unused]] const auto& write : holder.TakeActions<WriteDutyState>()) {
      holder.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = ++end });
    }
    for ([[maybe_unused]] const auto& read : holder.TakeActions<ReadUsage>()) {
      holder.Post(UsageRead{ .texts = { written[0].text, "no JSON" } });
    }
    for (const SendUsage& sent : holder.TakeActions<SendUsage>()) {
      reports.push_back(sent.report);
      holder.Post(UsageSent{ .window = sent.report.window, .isAccepted = true });
    }
  }
  REQUIRE_FALSE(reports.empty());
  CHECK(reports[0].window == 20);
  CHECK(reports[0].counts.at("acme") == 1);
}

TEST_CASE("Entry: after a holder's failure only the first few daemons read the store",
          "[entry][duty]")
{
  // Guards against 74 daemons that all read the store twice a second until the lease has
  // expired.
  const auto storeReads = [](int aDaemonsBefore) {
    EntryFixture entry({ .host = "m", .reportsUsage = true });
    entry.Prepare();
    entry.Advance(300ms);
    entry.Post(DutyStateRead{ .isRead = true });
    entry.TakeActions<ReadDutyState>();
    size_t reads = 0;
    for (uint64_t step = 1; step <= 33; ++step) {
      for (int i = 0; i < aDaemonsBefore; ++i) {
        const std::string host = "a" + std::to_string(i);
        entry.Post(DigestReceived{ .from = host + ":1",
                                   .digest = { .daemon = host,
                                               .incarnation = 1,
                                               .sequence = step,
                                               .canReachStore = true } });
      }
      entry.Advance(100ms);
      const size_t now = entry.TakeActions<ReadDutyState>().size();
      reads += now;
      if (now > 0) {
        entry.Post(DutyStateRead{
          .isRead = true,
          .text = EncodeDutyState({ .holder = "z", .token = 1, .firstUnreported = 1 }) });
      }
    }
    return reads;
  };
  CHECK(storeReads(0) >= 3);
  CHECK(storeReads(20) == 0);
}

TEST_CASE("Entry: the first order waits until the initial fleet is known",
          "[entry][duty]")
{
  // Guards against a plan for half of the initial fleet, when its other entries are read
  // a few seconds later. It released ordinary backends that the first calls needed.
  EntryFixture entry({ .host = "d1",
                       .dataCentre = "c1",
                       .dataCentres = { "c1" },
                       .ordersBackends = true });
  Configuration configuration = TestConfiguration();
  configuration.services["assistant"].scaling =
    ScalingPolicy{ .min = 1, .max = 60, .bootTime = 4s };
  entry.Prepare(configuration);
  uint64_t end = 0;
  std::vector<FleetOrder> orders;
  for (int second = 0; second < 9; ++second) {
    if (second < 5) {
      for (int i = 0; i < 4; ++i) { // 22 backends with the two of the fixture
        entry.AddBackend("a" + std::to_string(4 * second + i), "assistant");
      }
    }
    for (int step = 0; step < 10; ++step) {
      entry.Advance(100ms);
      for ([[maybe_unused]] const auto& read : entry.TakeActions<ReadDutyState>()) {
        entry.Post(DutyStateRead{ .isRead = true, .end = end });
      }
      for ([[maybe_unused]] const auto& write : entry.TakeActions<WriteDutyState>()) {
        entry.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = ++end });
      }
      for (const SendOrder& order : entry.TakeActions<SendOrder>()) {
        orders.push_back(order.order);
      }
    }
  }
  REQUIRE_FALSE(orders.empty());
  // A fleet of 22 is provisioned for an engine demand of 10: 3 reclaimable backends for
  // each.
  CHECK(orders[0].isReclaimable);
  CHECK(orders[0].count == 30);

  // Guards against an engine demand that grows with the backends that were ordered for
  // it.
  for (const FleetOrder& order : std::exchange(orders, {})) {
    entry.Post(OrderSent{ .order = order, .status = 200 });
  }
  for (int i = 0; i < 30; ++i) {
    BackendEntry entered =
      EntryFixture::MakeBackendEntry("r" + std::to_string(i), "assistant");
    entered.isReclaimable = true;
    entry.Post(FleetRead{ .changes = { entered } });
  }
  for (int step = 0; step < 40; ++step) {
    entry.Advance(100ms);
    for ([[maybe_unused]] const auto& write : entry.TakeActions<WriteDutyState>()) {
      entry.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = ++end });
    }
    for (const SendOrder& order : entry.TakeActions<SendOrder>()) {
      orders.push_back(order.order);
      entry.Post(OrderSent{ .order = order.order, .status = 200 });
    }
  }
  for (const FleetOrder& order : orders) {
    INFO((order.isReclaimable ? "reclaimable " : "ordinary ") << order.count);
    CHECK(order.count <= 30);
  }
}

} // namespace gooseberrypath::entry
