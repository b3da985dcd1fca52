#include "entry/request_system.h"

#include <catch2/catch.hpp>

#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

TEST_CASE("Entry: a call before the first configuration is refused, not denied",
          "[entry]")
{
  // Guards against 401 or 404 for calls that the configuration allows.
  EntryFixture entry;
  entry.PostCall("status");
  entry.Advance(250ms);
  const auto answers = entry.TakeActions<WriteResponse>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 503);
  CHECK_FALSE(FindHeader(answers[0].headers, "Retry-After").empty());
  // Later calls do not wait: the store may be out of reach for long.
  entry.PostCall("status");
  CHECK(entry.LastStatus() == 503);
}

TEST_CASE("Entry: calls at the start wait for the first reading of the store", "[entry]")
{
  // Guards against refusals in the first 100 ms after a loss of power on all hosts, when
  // the callers of the whole outage come back at once.
  EntryFixture entry;
  const ExchangeId served = entry.PostCall("status");
  const ExchangeId left = entry.PostCall("status");
  entry.Advance(100ms);
  CHECK(entry.TakeActions<WriteResponse>().empty());
  entry.Post(CallerDisconnected{ left });
  entry.Prepare();
  const auto started = entry.TakeActions<StartAttempt>();
  REQUIRE(started.size() == 1);
  entry.Post(AttemptSent{ started[0].attempt });
  entry.Respond(started[0], 200);
  const auto answers = entry.TakeActions<WriteResponse>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].exchange == served);
  CHECK(answers[0].status == 200);
}

TEST_CASE("Entry: routes and keys of the configuration in force decide", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("elsewhere");
  CHECK(entry.LastStatus() == 404);
  entry.PostCall("status", "unknown");
  CHECK(entry.LastStatus() == 401);
  // An older version than the one in force is ignored.
  Configuration next = TestConfiguration(2);
  next.teamOfKey = { { "k2", 0 } };
  entry.Post(ConfigurationRead{ std::make_shared<const Configuration>(next) });
  entry.Post(
    ConfigurationRead{ std::make_shared<const Configuration>(TestConfiguration(1)) });
  entry.PostCall("status");
  CHECK(entry.LastStatus() == 401);
}

TEST_CASE("Entry: an answer is passed on unchanged", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("pickups");
  const StartAttempt attempt = entry.SendLatestAttempt();
  CHECK(attempt.team == "acme");
  CHECK(attempt.timeLeft <= 2s);
  entry.Respond(attempt, 409);
  const auto answers = entry.TakeActions<WriteResponse>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 409);
  CHECK(answers[0].body == "body");
  CHECK(entry.GetWorld().requests.IsEmpty());
}

TEST_CASE("Entry: a non-idempotent call is never sent twice", "[entry]")
{
  // Guards against a second pickup, and against "not run" for one that may have run.
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("pickups");
  const StartAttempt attempt = entry.SendLatestAttempt();
  SECTION("broken")
  {
    entry.Post(AttemptBroken{ attempt.attempt, "reset" });
    CHECK(entry.LastStatus() == 502);
  }
  SECTION("answered with a failure")
  {
    entry.Respond(attempt, 500);
    CHECK(entry.LastStatus() == 500);
  }
  SECTION("silent until the time is over")
  {
    entry.Advance(2100ms);
    CHECK(entry.LastStatus() == 504);
    CHECK(entry.TakeActions<CancelAttempt>().size() == 1);
  }
  SECTION("refused by the backend")
  {
    entry.Respond(attempt, 503, true);
    CHECK(entry.LastStatus() == 503);
  }
  SECTION("answered without a signature")
  {
    entry.Post(AttemptAnswered{ attempt.attempt, { .status = 200 }, "body" });
    CHECK(entry.LastStatus() == 502);
  }
  CHECK(entry.TakeActions<StartAttempt>().empty());
  CHECK(entry.GetWorld().requests.IsEmpty());
}

TEST_CASE("Entry: an idempotent call goes to another backend after a failure", "[entry]")
{
  EntryOptions options{ .host = "d1", .dataCentre = "c1", .dataCentres = { "c1" } };
  options.retryBudget.extra = 10;
  EntryFixture entry(options);
  entry.Prepare();
  entry.PostCall("status");
  const StartAttempt first = entry.SendLatestAttempt();
  SECTION("broken")
  {
    entry.Post(AttemptBroken{ first.attempt, "reset" });
  }
  SECTION("failed")
  {
    entry.Respond(first, 500);
  }
  SECTION("silent")
  {
    entry.Advance(1s);
  }
  const StartAttempt second = entry.SendLatestAttempt();
  CHECK(second.backend != first.backend);
  CHECK_FALSE(second.backend.empty());
  entry.Respond(second, 200);
  CHECK(entry.LastStatus() == 200);
}

TEST_CASE("Entry: attempts end at the route's maximum and the retry budget", "[entry]")
{
  EntryFixture entry; // without an allowance, 20 calls allow less than 4 repeats
  entry.Prepare();
  int repeats = 0;
  for (int i = 0; i < 20; ++i) {
    entry.PostCall("status");
    entry.Post(AttemptBroken{ entry.SendLatestAttempt().attempt, "reset" });
    const StartAttempt second = entry.SendLatestAttempt();
    if (!second.backend.empty()) {
      ++repeats;
      entry.Post(AttemptBroken{ second.attempt, "reset" });
      CHECK(entry.TakeActions<StartAttempt>().empty()); // the maximum is 2
    }
    CHECK(entry.LastStatus() == 502);
  }
  CHECK(repeats >= 1);
  CHECK(repeats <= 4);
}

TEST_CASE("Entry: repeats after a wrong backend draw on the budget", "[entry]")
{
  // Guards against arrivals beyond the budget when addresses of backends change hands.
  EntryFixture entry; // without an allowance, 20 calls allow less than 4 repeats
  entry.Prepare();
  int repeats = 0;
  for (int i = 0; i < 20; ++i) {
    entry.PostCall("pickups");
    const StartAttempt first = entry.SendLatestAttempt();
    entry.Post(
      AttemptAnswered{ first.attempt, { .status = 421, .isMisdirected = true } });
    const StartAttempt second = entry.SendLatestAttempt();
    if (!second.backend.empty()) {
      ++repeats;
      entry.Respond(second, 200);
    }
    const int status = entry.LastStatus();
    CHECK((status == 200 || status == 503)); // it has not run, so 503 is true
    entry.Advance(1s);
  }
  CHECK(repeats >= 1);
  CHECK(repeats <= 4);
}

TEST_CASE("Entry: a connection that fails does not count as an attempt", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("pickups");
  const auto first = entry.TakeActions<StartAttempt>().at(0);
  entry.Post(AttemptNotSent{ first.attempt, "refused" });
  const StartAttempt second = entry.SendLatestAttempt();
  CHECK(second.backend != first.backend);
  entry.Respond(second, 200);
  CHECK(entry.LastStatus() == 200);
}

TEST_CASE("Entry: a resumable stream goes on after its last event", "[entry]")
{
  // Guards against lost and repeated events, and against a second head.
  EntryOptions options{ .host = "d1", .dataCentre = "c1", .dataCentres = { "c1" } };
  options.retryBudget.extra = 10;
  EntryFixture entry(options);
  entry.Prepare();
  const ExchangeId id = entry.PostCall("questions");
  const StartAttempt first = entry.SendLatestAttempt();
  entry.Post(StreamStarted{ first.attempt, { .status = 200, .isSigned = true } });
  entry.Post(StreamEvents{ first.attempt, "id: 1\ndata: a\n\n", "1" });
  entry.Post(AttemptBroken{ first.attempt, "reset" });
  const StartAttempt second = entry.SendLatestAttempt();
  CHECK(second.lastEventId == "1");
  CHECK(second.backend != first.backend);
  entry.Post(StreamStarted{ second.attempt, { .status = 200, .isSigned = true } });
  entry.Post(StreamEvents{ second.attempt, "id: 2\ndata: b\n\n", "2" });
  entry.Post(StreamEnded{ second.attempt });
  CHECK(entry.TakeActions<WriteStreamHead>().size() == 1);
  CHECK(entry.TakeActions<WriteStreamBytes>().size() == 2);
  const auto ends = entry.TakeActions<FinishStream>();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].exchange == id);
}

TEST_CASE("Entry: a stream that may not be resumed is broken off openly", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("plans");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(StreamStarted{ attempt.attempt, { .status = 200, .isSigned = true } });
  SECTION("before its first event")
  {
    entry.Post(AttemptBroken{ attempt.attempt, "reset" });
    CHECK(entry.LastStatus() == 502);
  }
  SECTION("after its first event")
  {
    entry.Post(StreamEvents{ attempt.attempt, "id: 1\ndata: a\n\n", "1" });
    entry.Post(AttemptBroken{ attempt.attempt, "reset" });
    CHECK(entry.TakeActions<AbortResponse>().size() == 1);
    CHECK(entry.TakeActions<FinishStream>().empty());
  }
  CHECK(entry.TakeActions<StartAttempt>().empty());
}

TEST_CASE("Entry: the work for a caller that left is cancelled", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  const ExchangeId id = entry.PostCall("questions");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(CallerDisconnected{ id });
  const auto cancelled = entry.TakeActions<CancelAttempt>();
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled[0].attempt == attempt.attempt);
  CHECK(entry.GetWorld().attempts.IsEmpty());
  for (const auto& [backend, row] : entry.GetWorld().backends) {
    CHECK(row.inFlight == 0);
  }
}

TEST_CASE("Entry: leaving and removed backends get no new calls", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.AddBackend("booking1", "booking", 2, true);
  SECTION("the other one serves")
  {
    entry.PostCall("status");
    CHECK(entry.SendLatestAttempt().backend == "booking2");
  }
  SECTION("none is left")
  {
    entry.Post(FleetRead{ .changes = { BackendRemoved{ "booking2" } } });
    entry.PostCall("status");
    CHECK(entry.LastStatus() == 503);
    CHECK(entry.TakeActions<StartAttempt>().empty());
  }
}

TEST_CASE("Entry: entries that lapse around an outage of the store are kept for a while",
          "[entry]")
{
  // Guards against an empty fleet when the store returns before its entries do.
  EntryFixture entry;
  entry.Prepare();
  entry.Post(StoreReachabilityChanged{ .isReachable = true });
  entry.Post(StoreReachabilityChanged{ .isReachable = false, .reason = "down" });
  entry.Advance(5s);
  entry.Post(StoreReachabilityChanged{ .isReachable = true });
  entry.Post(FleetRead{
    .changes = { BackendRemoved{ "booking1" }, BackendRemoved{ "booking2" } } });
  entry.PostCall("status");
  CHECK_FALSE(entry.SendLatestAttempt().backend.empty());
  entry.Advance(1s);
  entry.AddBackend("booking1", "booking", 2);
  entry.Advance(2s);
  // The one that came back serves; the other one is gone.
  entry.PostCall("status");
  CHECK(entry.SendLatestAttempt().backend == "booking1");
}

TEST_CASE("Entry: a backend that falls silent keeps its running calls", "[entry]")
{
  // Guards against work that is given up or started again because the backend's entry
  // lapsed while it was only slow to report.
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("plans");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(StreamStarted{ attempt.attempt, { .status = 200, .isSigned = true } });
  entry.Post(StreamEvents{ attempt.attempt, "id: 1\ndata: a\n\n", "1" });
  entry.Post(FleetRead{ .changes = { BackendRemoved{ attempt.backend } } });
  entry.Advance(3s);
  CHECK(entry.TakeActions<CancelAttempt>().empty());
  CHECK(entry.TakeActions<StartAttempt>().empty());
  entry.Post(StreamEvents{ attempt.attempt, "id: 2\ndata: b\n\n", "2" });
  entry.Post(StreamEnded{ attempt.attempt });
  CHECK(entry.TakeActions<FinishStream>().size() == 1);
}

TEST_CASE("Entry: a late copy of an older entry changes nothing", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.AddBackend("booking1", "booking", 3, true);
  entry.AddBackend("booking1", "booking", 2, false);
  CHECK(entry.GetWorld().backends.Find("booking1")->entry.isLeaving);
}

TEST_CASE("Entry: under overload late calls are refused and the others stay in time",
          "[entry]")
{
  // Pattern: more prompts than the engines can read. Taking all makes every call late;
  // the queue in front of each engine must stay within what the objective allows.
  EntryFixture entry;
  entry.Prepare();
  const ModelDemand demand{ .promptTokens = 20'000,
                            .maxOutputTokens = 400,
                            .parts = { { 1, 500 }, { 2, 19'500 } } };
  int taken = 0;
  int refused = 0;
  for (uint64_t i = 0; i < 40; ++i) {
    ModelDemand own = demand;
    own.parts.back().id = 100 + i;
    entry.PostCall("plans", "k", own);
    const auto answers = entry.TakeActions<WriteResponse>();
    if (answers.empty()) {
      ++taken;
      continue;
    }
    ++refused;
    CHECK(answers[0].status == 503);
    CHECK_FALSE(FindHeader(answers[0].headers, "Retry-After").empty());
  }
  CHECK(taken >= 4);
  CHECK(refused >= 20);
  for (const auto& [id, row] : entry.GetWorld().backends) {
    CHECK(row.waitingTokens <= 80 * 650 + 20'000); // 1.3 times the objective, at 80 a ms
  }
}

TEST_CASE("Entry: a planned stop serves, then refuses, then exits", "[entry]")
{
  // Guards against calls that are taken late in a stop and broken off by its end.
  EntryFixture entry;
  entry.Prepare();
  entry.Post(FleetRead{ .isSnapshot = false });
  CHECK(entry.TakeActions<SetReady>().back().isReady);
  entry.Post(StopRequested{});
  CHECK_FALSE(entry.TakeActions<SetReady>().back().isReady);
  entry.Advance(1s);
  entry.PostCall("plans");
  const StartAttempt running = entry.SendLatestAttempt();
  CHECK_FALSE(running.backend.empty());
  entry.Advance(2s);
  CHECK(entry.TakeActions<CloseIdleCallerConnections>().size() == 1);
  entry.PostCall("plans");
  CHECK(entry.LastStatus() == 503);
  CHECK(entry.TakeActions<StartAttempt>().empty());
  CHECK(entry.TakeActions<ExitProcess>().empty());
  entry.Respond(running, 200);
  CHECK(entry.LastStatus() == 200);
  SECTION("when the last caller has left")
  {
    entry.Post(AllCallersDisconnected{});
    CHECK(entry.TakeActions<StopAccepting>().size() == 1);
    CHECK(entry.TakeActions<ExitProcess>().empty());
    entry.Post(AllCallersDisconnected{});
    CHECK(entry.TakeActions<ExitProcess>().size() == 1);
  }
  SECTION("with callers that stay connected")
  {
    entry.Advance(200ms);
    CHECK(entry.TakeActions<StopAccepting>().size() == 1);
    CHECK(entry.TakeActions<ExitProcess>().empty());
    entry.PostCall("plans"); // it was on its way
    CHECK(entry.LastStatus() == 503);
    entry.Advance(700ms);
    CHECK(entry.TakeActions<ExitProcess>().size() == 1);
  }
}

TEST_CASE("Entry: a stop ends in time whatever runs", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("plans");
  entry.SendLatestAttempt();
  entry.Post(StopRequested{});
  entry.Advance(7500ms);
  CHECK(entry.TakeActions<ExitProcess>().size() == 1);
}

} // namespace gooseberrypath::entry
