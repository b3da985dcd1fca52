#include "entry/request_system.h"

#include <catch2/catch.hpp>

#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

using namespace std::chrono_literals;

TEST_CASE("Entry: a call before the first configuration is refused as unavailable",
          "[entry]")
{
  // Guards against 401 or 404, which callers take as final, for calls that the
  // configuration allows once it is read.
  EntryFixture entry;
  entry.PostCall("status");
  entry.Advance(250ms);
  const auto answers = entry.TakeActions<WriteResponse>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 503);
  CHECK_FALSE(FindHeader(answers[0].headers, "Retry-After").empty());
  // Later calls do not wait, because the store may be unreachable for a long time.
  entry.PostCall("status");
  CHECK(entry.LastStatus() == 503);
}

TEST_CASE("Entry: calls at the start wait for the first read of the store", "[entry]")
{
  // Guards against refusals in the first 100 ms after a power failure of all hosts, when
  // all callers retry at the same time.
  EntryFixture entry;
  const ExchangeId served = entry.PostCall("status");
  const ExchangeId disconnected = entry.PostCall("status");
  entry.Advance(100ms);
  CHECK(entry.TakeActions<WriteResponse>().empty());
  entry.Post(CallerDisconnected{ disconnected });
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

TEST_CASE("Entry: calls are checked against the routes and keys in force", "[entry]")
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

TEST_CASE("Entry: a backend's response is passed on unchanged", "[entry]")
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
  // Guards against executing a call twice, and against a response that says "not
  // executed" for a call that may have been executed.
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
  SECTION("no response before the deadline")
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

TEST_CASE("Entry: retries end at the route's maximum and at the retry budget", "[entry]")
{
  EntryFixture entry; // without an allowance, 20 calls permit fewer than 4 retries
  entry.Prepare();
  int retries = 0;
  for (int i = 0; i < 20; ++i) {
    entry.PostCall("status");
    entry.Post(AttemptBroken{ entry.SendLatestAttempt().attempt, "reset" });
    const StartAttempt second = entry.SendLatestAttempt();
    if (!second.backend.empty()) {
      ++retries;
      entry.Post(AttemptBroken{ second.attempt, "reset" });
      CHECK(entry.TakeActions<StartAttempt>().empty()); // the maximum is 2
    }
    CHECK(entry.LastStatus() == 502);
  }
  CHECK(retries >= 1);
  CHECK(retries <= 4);
}

TEST_CASE("Entry: retries after a misdirected call draw on the budget", "[entry]")
{
  // Guards against attempts beyond the budget when other backends take over addresses.
  EntryFixture entry; // without an allowance, 20 calls permit fewer than 4 retries
  entry.Prepare();
  int retries = 0;
  for (int i = 0; i < 20; ++i) {
    entry.PostCall("pickups");
    const StartAttempt first = entry.SendLatestAttempt();
    entry.Post(
      AttemptAnswered{ first.attempt, { .status = 421, .isMisdirected = true } });
    const StartAttempt second = entry.SendLatestAttempt();
    if (!second.backend.empty()) {
      ++retries;
      entry.Respond(second, 200);
    }
    const int status = entry.LastStatus();
    CHECK((status == 200 || status == 503)); // 503 is correct: the call was not executed
    entry.Advance(1s);
  }
  CHECK(retries >= 1);
  CHECK(retries <= 4);
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

TEST_CASE("Entry: a resumable stream goes on at another engine after its last event",
          "[entry]")
{
  // Guards against lost or duplicate events and a second head after a change of engines.
  EntryOptions options{ .host = "d1", .dataCentre = "c1", .dataCentres = { "c1" } };
  options.retryBudget.extra = 10;
  EntryFixture entry(options);
  entry.Prepare();
  const ExchangeId id = entry.PostCall("questions");
  const StartAttempt first = entry.SendLatestAttempt();
  entry.Post(StreamStarted{ first.attempt, { .status = 200, .hasResponseStamp = true } });
  entry.Post(StreamEvents{ first.attempt, "id: 1\ndata: a\n\n", "1" });
  entry.Post(AttemptBroken{ first.attempt, "reset" });
  const StartAttempt second = entry.SendLatestAttempt();
  CHECK(second.lastEventId == "1");
  CHECK(second.backend != first.backend);
  entry.Post(
    StreamStarted{ second.attempt, { .status = 200, .hasResponseStamp = true } });
  entry.Post(StreamEvents{ second.attempt, "id: 2\ndata: b\n\n", "2" });
  entry.Post(StreamEnded{ second.attempt });
  CHECK(entry.TakeActions<WriteStreamHead>().size() == 1);
  CHECK(entry.TakeActions<WriteStreamBytes>().size() == 2);
  const auto ends = entry.TakeActions<FinishStream>();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].exchange == id);
}

TEST_CASE("Entry: a broken stream that may not resume is aborted visibly", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("plans");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(
    StreamStarted{ attempt.attempt, { .status = 200, .hasResponseStamp = true } });
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

TEST_CASE("Entry: the attempt of a disconnected caller is cancelled", "[entry]")
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
  SECTION("none remains")
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
  // Guards against an empty fleet when the store recovers before the backends have
  // renewed their entries.
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
  // The backend that renewed its entry serves; the other one was removed.
  entry.PostCall("status");
  CHECK(entry.SendLatestAttempt().backend == "booking1");
}

TEST_CASE("Entry: a backend that falls silent keeps its running calls", "[entry]")
{
  // Guards against cancelling or retrying a call because the backend was only slow to
  // renew its entry.
  EntryFixture entry;
  entry.Prepare();
  entry.PostCall("plans");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(
    StreamStarted{ attempt.attempt, { .status = 200, .hasResponseStamp = true } });
  entry.Post(StreamEvents{ attempt.attempt, "id: 1\ndata: a\n\n", "1" });
  entry.Post(FleetRead{ .changes = { BackendRemoved{ attempt.backend } } });
  entry.Advance(3s);
  CHECK(entry.TakeActions<CancelAttempt>().empty());
  CHECK(entry.TakeActions<StartAttempt>().empty());
  entry.Post(StreamEvents{ attempt.attempt, "id: 2\ndata: b\n\n", "2" });
  entry.Post(StreamEnded{ attempt.attempt });
  CHECK(entry.TakeActions<FinishStream>().size() == 1);
}

TEST_CASE("Entry: an older entry that arrives late is ignored", "[entry]")
{
  EntryFixture entry;
  entry.Prepare();
  entry.AddBackend("booking1", "booking", 3, true);
  entry.AddBackend("booking1", "booking", 2, false);
  CHECK(entry.GetWorld().backends.Find("booking1")->entry.isLeaving);
}

TEST_CASE("Entry: under overload the calls that would be late are refused", "[entry]")
{
  // Guards against accepting more prompts than the engines can prefill, which makes every
  // call late. The queue of each engine must stay within the latency objective.
  EntryFixture entry;
  entry.Prepare();
  const ModelDemand demand{ .promptTokens = 20'000,
                            .maxOutputTokens = 400,
                            .parts = { { 1, 500 }, { 2, 19'500 } } };
  int accepted = 0;
  int refused = 0;
  for (uint64_t i = 0; i < 40; ++i) {
    ModelDemand own = demand;
    own.parts.back().id = 100 + i;
    entry.PostCall("plans", "k", own);
    const auto answers = entry.TakeActions<WriteResponse>();
    if (answers.empty()) {
      ++accepted;
      continue;
    }
    ++refused;
    CHECK(answers[0].status == 503);
    CHECK_FALSE(FindHeader(answers[0].headers, "Retry-After").empty());
  }
  CHECK(accepted >= 4);
  CHECK(refused >= 20);
  for (const auto& [id, row] : entry.GetWorld().backends) {
    CHECK(row.waitingTokens <=
          80 * 650 + 20'000); // 1.3 times 500 ms at 80 tokens/ms, plus one prompt
  }
}

TEST_CASE("Entry: a planned stop serves, then refuses, then exits", "[entry]")
{
  // Guards against accepting calls late in a stop, which the exit would break off.
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
  SECTION("when the last caller has disconnected")
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
    entry.PostCall("plans"); // the call was already on its way
    CHECK(entry.LastStatus() == 503);
    entry.Advance(700ms);
    CHECK(entry.TakeActions<ExitProcess>().size() == 1);
  }
}

TEST_CASE("Entry: a planned stop ends in time whatever runs", "[entry]")
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
