// Backends that say in their answers that they leave or want no calls for a while.

#include <catch2/catch.hpp>

#include "entry/backend_notice.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

/// A daemon with two backends of each service and one peer.
class NoticeFixture : public EntryFixture
{
public:
  NoticeFixture()
    : EntryFixture({ .host = "d1",
                     .dataCentre = "c1",
                     .dataCentres = { "c1" },
                     .retryBudget = { .extra = 100 } })
  {
    Configuration configuration = TestConfiguration();
    for (Route& route : configuration.routes) {
      route.timeout = 10s;
    }
    Prepare(configuration);
    Hear({});
    Advance(1s);
    actions.clear();
  }

  /// Receives a digest of the peer with these leaving backends.
  void Hear(std::vector<LeavingBackend> aLeaving)
  {
    Post(DigestReceived{ .from = "d2:1",
                         .digest = { .daemon = "d2",
                                     .incarnation = 1,
                                     .sequence = ++sequence_,
                                     .leaving = std::move(aLeaving) } });
  }

  /// Lets a status call be answered with this head and returns the backend that answered.
  std::string AnswerWith(ResponseHead aHead)
  {
    PostCall("status");
    const StartAttempt attempt = SendLatestAttempt();
    aHead.isSigned = true;
    Post(AttemptAnswered{ attempt.attempt, aHead, "body" });
    return attempt.backend;
  }

  /// Returns the backends that get the next calls.
  std::set<std::string> NextBackends(int aCalls = 12)
  {
    std::set<std::string> used;
    for (int i = 0; i < aCalls; ++i) {
      const ExchangeId id = PostCall("status");
      used.insert(SendLatestAttempt().backend);
      Post(CallerDisconnected{ id });
    }
    return used;
  }

  bool IsLeaving(const std::string& aId) const
  {
    return GetWorld().backends.Find(aId)->entry.isLeaving;
  }

private:
  uint64_t sequence_ = 0;
};

std::string Other(const std::string& aId)
{
  return aId == "booking1" ? "booking2" : "booking1";
}

} // namespace

TEST_CASE("Entry: a backend that says it leaves gets nothing new", "[entry][notice]")
{
  // Guards against calls to a backend that is about to end, which the store may name as
  // ready until its entry is removed.
  NoticeFixture entry;
  const std::string leaving = entry.AnswerWith({ .status = 200, .isLeaving = true });
  CHECK(entry.LastStatus() == 200);
  CHECK(entry.NextBackends() == std::set{ Other(leaving) });
  SECTION("kept connections to it are closed")
  {
    CHECK(entry.TakeActions<CloseIdleBackendConnections>().size() == 1);
  }
  SECTION("the peers are told at once")
  {
    entry.Advance(20ms);
    const auto digests = entry.TakeActions<SendDigest>();
    REQUIRE_FALSE(digests.empty());
    CHECK(digests.back().digest.leaving ==
          std::vector{ LeavingBackend{ .id = leaving } });
  }
  SECTION("later entries of the same start do not undo it, the store away or not")
  {
    entry.Post(StoreReachabilityChanged{ .isReachable = false, .reason = "down" });
    entry.AddBackend(leaving, "booking", 7);
    CHECK(entry.NextBackends() == std::set{ Other(leaving) });
  }
  SECTION("an entry that lapsed and came back does not undo it")
  {
    entry.Post(FleetRead{ .changes = { BackendRemoved{ leaving } } });
    entry.AddBackend(leaving, "booking", 7);
    CHECK(entry.IsLeaving(leaving));
  }
  SECTION("a new start under the same id serves")
  {
    BackendEntry reborn = EntryFixture::MakeBackendEntry(leaving, "booking");
    reborn.startedMs = 99;
    entry.Post(FleetRead{ .changes = { reborn } });
    CHECK_FALSE(entry.IsLeaving(leaving));
  }
  SECTION("when all leave, calls are refused at once")
  {
    entry.AnswerWith({ .status = 200, .isLeaving = true });
    entry.actions.clear();
    entry.PostCall("status");
    CHECK(entry.LastStatus() == 503);
  }
}

TEST_CASE("Entry: a stream's head tells that its engine leaves", "[entry][notice]")
{
  NoticeFixture entry;
  entry.PostCall("questions");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(StreamStarted{ attempt.attempt,
                            { .status = 200, .isSigned = true, .isLeaving = true } });
  CHECK(entry.IsLeaving(attempt.backend));
  // The stream itself goes on: an engine that leaves ends what it has begun.
  CHECK(entry.TakeActions<CancelAttempt>().empty());
}

TEST_CASE("Entry: an attempt that was not sent leaves a leaving backend",
          "[entry][notice]")
{
  // Guards against a call that waits for its connection and is sent after the notice.
  NoticeFixture entry;
  entry.PostCall("pickups");
  const auto waiting = entry.TakeActions<StartAttempt>();
  REQUIRE(waiting.size() == 1);
  entry.Hear({ { .id = waiting[0].backend } });
  const auto cancelled = entry.TakeActions<CancelAttempt>();
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled[0].attempt == waiting[0].attempt);
  CHECK(entry.SendLatestAttempt().backend == Other(waiting[0].backend));
}

TEST_CASE("Entry: what a peer says of a backend concerns one start of it",
          "[entry][notice]")
{
  // Guards against a new start that is emptied for what was said of the one before.
  NoticeFixture entry;
  BackendEntry reborn = EntryFixture::MakeBackendEntry("booking1", "booking");
  reborn.startedMs = 99;
  entry.Post(FleetRead{ .changes = { reborn } });
  entry.Hear({ { .id = "booking1", .startedMs = 5 } });
  CHECK_FALSE(entry.IsLeaving("booking1"));
  // A removed entry may come back; a backend that leaves stays so.
  entry.Hear(
    { { .id = "booking1", .startedMs = 99, .isRemoved = true }, { .id = "booking2" } });
  CHECK(entry.IsLeaving("booking1"));
  reborn.sequence = 3;
  entry.Post(FleetRead{ .changes = { reborn } });
  CHECK_FALSE(entry.IsLeaving("booking1"));
  entry.AddBackend("booking2", "booking", 3);
  CHECK(entry.IsLeaving("booking2"));
}

TEST_CASE("Entry: a refusing backend that asks for quiet gets it", "[entry][notice]")
{
  // Guards against a backend that is kept busy with calls that it turns away.
  NoticeFixture entry;
  const ResponseHead busy{ .status = 503, .wasNotExecuted = true, .retryAfter = 1500ms };
  const std::string quiet = entry.AnswerWith(busy);
  const StartAttempt again = entry.SendLatestAttempt();
  CHECK(again.backend == Other(quiet));
  entry.Respond(again, 200);
  CHECK(entry.LastStatus() == 200);
  SECTION("until the time is over")
  {
    entry.Advance(1400ms);
    CHECK(entry.NextBackends() == std::set{ Other(quiet) });
    entry.Advance(150ms);
    entry.Post(FleetRead{ .changes = { BackendRemoved{ Other(quiet) } } });
    CHECK(entry.NextBackends() == std::set{ quiet });
  }
  SECTION("a later entry does not end it")
  {
    entry.AddBackend(quiet, "booking", 9);
    entry.Advance(1000ms);
    CHECK(entry.NextBackends() == std::set{ Other(quiet) });
  }
  SECTION("if all ask for it, callers hear when one can serve")
  {
    entry.Advance(500ms);
    CHECK(entry.AnswerWith(busy) == Other(quiet));
    const auto refused = entry.TakeActions<WriteResponse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].status == 503);
    CHECK(FindHeader(refused[0].headers, "Retry-After") == "1.000");
    // The next one is refused without another try.
    entry.PostCall("pickups");
    CHECK(entry.TakeActions<StartAttempt>().empty());
    CHECK(entry.LastStatus() == 503);
  }
  SECTION("attempts that wait for a connection go elsewhere")
  {
    entry.Advance(2s);
    entry.PostCall("pickups");
    const auto waiting = entry.TakeActions<StartAttempt>();
    REQUIRE(waiting.size() == 1);
    const ExchangeId id = entry.PostCall("status");
    auto answered = entry.TakeActions<StartAttempt>();
    while (answered.back().backend != waiting[0].backend) {
      entry.Post(CallerDisconnected{ id });
      entry.PostCall("status");
      answered = entry.TakeActions<StartAttempt>();
    }
    entry.Post(AttemptSent{ answered.back().attempt });
    entry.Post(AttemptAnswered{ answered.back().attempt, busy, "" });
    bool isWithdrawn = false;
    for (const CancelAttempt& cancelled : entry.TakeActions<CancelAttempt>()) {
      isWithdrawn = isWithdrawn || cancelled.attempt == waiting[0].attempt;
    }
    CHECK(isWithdrawn);
  }
}

TEST_CASE("Entry: a short wish for quiet does not end a longer one", "[entry][notice]")
{
  World world(EntryOptions{}, TimePoint{ 100s });
  BackendRow backend;
  ApplyBackendNotice(world, backend, { .status = 503, .retryAfter = 2s });
  ApplyBackendNotice(world, backend, { .status = 503, .retryAfter = 100ms });
  CHECK(backend.backOffUntil == TimePoint{ 102s });
}

TEST_CASE("Entry: a stream that stalls goes on at another engine", "[entry][notice]")
{
  // Guards against a stream whose engine lives and sends a byte now and then, but no
  // event.
  NoticeFixture entry;
  entry.PostCall("questions");
  const StartAttempt first = entry.SendLatestAttempt();
  entry.Post(StreamStarted{ first.attempt, { .status = 200, .isSigned = true } });
  for (int i = 1; i <= 5; ++i) {
    // Slow, with pauses just under the limit: it stays where it is.
    entry.Post(StreamEvents{ first.attempt, "id: e\ndata: a\n\n", std::to_string(i) });
    entry.Advance(900ms);
  }
  CHECK(entry.TakeActions<CancelAttempt>().empty());
  entry.Advance(200ms);
  CHECK(entry.TakeActions<CancelAttempt>().size() == 1);
  const StartAttempt second = entry.SendLatestAttempt();
  CHECK(second.backend != first.backend);
  CHECK(second.lastEventId == "5");
}

} // namespace gooseberrypath::entry
