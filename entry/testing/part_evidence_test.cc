// Tests what counts as evidence against a part of a prompt, who is refused for it, and
// how a block ends.

#include <chrono>
#include <iostream>

#include <catch2/catch.hpp>

#include "entry/part_gossip.h"
#include "entry/status_report.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr uint64_t kCrashing = 0xdead;
constexpr uint64_t kShared = 0x5a5a;
constexpr TimePoint kNow{ 1000s };

BrokenStart StartOf(uint32_t aBackend, uint32_t aCall, std::vector<uint64_t> aParts,
                    uint32_t aTeam = 1)
{
  return { .id = { .backend = aBackend, .startedMs = 1, .request = { .low = aCall } },
           .team = aTeam,
           .at = kNow,
           .parts = std::move(aParts) };
}

/// Callers of two teams, and a daemon that has run for long enough to judge parts.
struct PartFixture : public EntryFixture
{
  PartFixture()
  {
    Configuration configuration = TestConfiguration();
    configuration.teams.push_back({ .name = "other" });
    configuration.teamOfKey["o"] = 1;
    Prepare(std::move(configuration));
    Advance(4s);
  }

  ExchangeId PostPartCall(const std::vector<uint64_t>& aParts,
                          const std::string& aKey = "k")
  {
    ModelDemand demand{ .promptTokens = 10, .maxOutputTokens = 10 };
    for (const uint64_t part : aParts) {
      demand.parts.push_back({ .id = part, .tokens = 5 });
    }
    demand.parts.push_back({ .id = 0x1000000 + ++own_, .tokens = 5 });
    return PostCall("plans", aKey, std::move(demand));
  }

  /// Sends a call with the parts, whose engine ends before it begins to answer.
  void EndEngineWith(const std::vector<uint64_t>& aParts, const std::string& aKey = "k")
  {
    PostPartCall(aParts, aKey);
    const StartAttempt attempt = SendLatestAttempt();
    REQUIRE_FALSE(attempt.backend.empty());
    Post(AttemptBroken{ attempt.attempt, "closed", BreakCause::Closed });
    AddBackend(attempt.backend + "x", "assistant");
    Post(FleetRead{ .changes = { BackendRemoved{ attempt.backend } } });
    TakeActions<WriteResponse>();
  }

  void Answer(const std::vector<uint64_t>& aParts, const std::string& aKey = "k")
  {
    PostPartCall(aParts, aKey);
    const StartAttempt attempt = SendLatestAttempt();
    Post(StreamStarted{ attempt.attempt, { .status = 200, .hasResponseStamp = true } });
    Post(StreamEvents{ attempt.attempt, "id: 1\ndata: a\n\n", "1" });
    Post(StreamEnded{ attempt.attempt });
  }

  bool IsSent() { return !TakeActions<StartAttempt>().empty(); }

private:
  uint64_t own_ = 0;
};

} // namespace

TEST_CASE("Entry: one call counts once against a part", "[entry][part]")
{
  // Guards against a block because one crash is told twice, or one call was repeated.
  PartEvidence evidence;
  evidence.AddOwn(kNow, StartOf(1, 7, { kCrashing }));
  evidence.Merge(kNow, StartOf(1, 7, { kCrashing })); // told back by a peer
  evidence.Merge(kNow, StartOf(2, 7, { kCrashing })); // the same call at another engine
  evidence.Merge(kNow, StartOf(1, 8, { kCrashing })); // another call at the same engine
  SECTION("the same call or the same engine is no second evidence")
  {
    PartEvidence other;
    other.Merge(kNow, StartOf(1, 7, { kCrashing }));
    other.Merge(kNow, StartOf(2, 7, { kCrashing }));
    other.Update(kNow);
    CHECK(other.BlockFor(kCrashing, 1) == nullptr);
  }
  SECTION("two calls at two engines block")
  {
    PartEvidence other;
    other.Merge(kNow, StartOf(1, 7, { kCrashing }));
    other.Merge(kNow, StartOf(2, 8, { kCrashing }));
    other.Update(kNow);
    REQUIRE(other.BlockFor(kCrashing, 1) != nullptr);
    CHECK(other.BlockFor(kCrashing, 1)->starts == 2);
  }
  SECTION("a call that ended both engines explains the one beside it")
  {
    evidence.Update(kNow);
    CHECK(evidence.BlockFor(kCrashing, 1) == nullptr);
    evidence.Merge(kNow, StartOf(3, 9, { kCrashing })); // and not one at a third engine
    evidence.Update(kNow);
    REQUIRE(evidence.BlockFor(kCrashing, 1) != nullptr);
    CHECK(evidence.BlockFor(kCrashing, 1)->starts == 3);
  }
  SECTION("an answer that a peer tells frees the part")
  {
    evidence.Merge(kNow, StartOf(3, 9, { kCrashing }));
    evidence.Update(kNow);
    REQUIRE(evidence.BlockFor(kCrashing, 1) != nullptr);
    evidence.RecordPeerAnswer(kNow + 1s, PartEvidence::KeyOf(kCrashing));
    evidence.Merge(kNow + 1s, StartOf(1, 7, { kCrashing })); // told again by a slow peer
    evidence.Update(kNow + 1s);
    CHECK(evidence.BlockFor(kCrashing, 1) == nullptr);
  }
}

TEST_CASE("Entry: a part that another one explains is not blocked", "[entry][part]")
{
  // Guards against healthy parts that are blocked because they come with a crashing one.
  PartEvidence evidence;
  evidence.Merge(kNow, StartOf(1, 1, { kCrashing, kShared }));
  evidence.Merge(kNow, StartOf(2, 2, { kCrashing, kShared }));
  evidence.Merge(kNow, StartOf(3, 3, { kCrashing }));
  evidence.Update(kNow);
  CHECK(evidence.BlockFor(kCrashing, 1) != nullptr);
  CHECK(evidence.BlockFor(kShared, 1) == nullptr);
}

TEST_CASE("Entry: an engine that goes on to answer has not ended", "[entry][part]")
{
  // Guards against a block by connections that are reset at living engines.
  PartEvidence evidence;
  evidence.Merge(kNow, StartOf(1, 1, { kCrashing }));
  evidence.Merge(kNow, StartOf(2, 2, { kCrashing }));
  evidence.RecordAlive(kNow + 300ms, 1, 1);
  evidence.Update(kNow + 300ms);
  CHECK(evidence.BlockFor(kCrashing, 1) == nullptr);
}

TEST_CASE("Entry: the tables of parts are bounded", "[entry][part]")
{
  // Guards against a caller who fills the memory with parts that nobody else sends.
  PartEvidence evidence;
  for (uint32_t i = 0; i < 20000; ++i) {
    evidence.Merge(kNow, StartOf(i, i, { i, i + 1 }));
    evidence.RecordPeerAnswer(kNow, 0x80000000U + i);
  }
  evidence.Update(kNow);
  CHECK(evidence.Starts().size() <= 512);
  evidence.Update(kNow + 121s);
  CHECK(evidence.Starts().empty());
}

TEST_CASE(
  "Entry: calls with a blocked part are refused at once and free it when answered",
  "[entry][part]")
{
  // Guards against calls that end a third engine, and against a block without end.
  PartFixture entry;
  entry.EndEngineWith({ kShared, kCrashing });
  entry.Answer({ kShared });
  entry.EndEngineWith({ kShared, kCrashing });
  entry.PostPartCall({ kShared, kCrashing });
  CHECK_FALSE(entry.IsSent());
  const auto refused = entry.TakeActions<WriteResponse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].status == 503);
  CHECK(refused[0].body.View().find("prompt_blocked") != std::string::npos);
  CHECK(refused[0].body.View().find("not_run") != std::string::npos);
  CHECK_FALSE(FindHeader(refused[0].headers, "Retry-After").empty());
  CHECK(RenderStatus(entry.GetWorld()).find("\"part\":\"dead\"") != std::string::npos);
  entry.PostPartCall({ kShared });
  CHECK(entry.IsSent());
  entry.Advance(4s);
  entry.Answer({ kShared, kCrashing }); // the trial
  entry.PostPartCall({ kShared, kCrashing });
  CHECK(entry.IsSent());
}

TEST_CASE("Entry: a blocked part that ends its trials is not tried any more",
          "[entry][part]")
{
  // Guards against an engine that ends every few seconds to see whether a part is
  // healthy.
  PartFixture entry;
  entry.EndEngineWith({ kCrashing });
  entry.EndEngineWith({ kCrashing });
  size_t sent = 0;
  for (int second = 0; second < 300; ++second) {
    entry.PostPartCall({ kCrashing });
    if (const StartAttempt attempt = entry.SendLatestAttempt();
        !attempt.backend.empty()) {
      ++sent;
      entry.Post(AttemptBroken{ attempt.attempt, "closed", BreakCause::Closed });
    }
    entry.Advance(1s);
    entry.actions.clear();
  }
  CHECK(sent >= 1);
  CHECK(sent <= 2);
}

TEST_CASE("Entry: a part that is blocked again is tried again", "[entry][part]")
{
  // Guards against a part that was freed and is then refused for good, because its
  // earlier trials count.
  PartFixture entry;
  for (int round = 0; round < 3; ++round) {
    entry.EndEngineWith({ kCrashing });
    entry.EndEngineWith({ kCrashing });
    entry.PostPartCall({ kCrashing });
    CHECK_FALSE(entry.IsSent());
    entry.Advance(4s);
    entry.Answer({ kCrashing }); // the trial
    entry.PostPartCall({ kCrashing });
    CHECK(entry.IsSent());
    entry.Advance(8s);
  }
}

TEST_CASE("Entry: no team can block the parts of another one", "[entry][part]")
{
  // Guards against a hostile or broken caller who sends another team's parts together
  // with one that ends engines. He reaches what his own team sends, until a second team's
  // calls end engines with the part too.
  PartFixture entry;
  entry.EndEngineWith({ kShared, kCrashing }, "o");
  entry.EndEngineWith({ kShared, kCrashing }, "o");
  entry.PostPartCall({ kShared }, "o");
  CHECK_FALSE(entry.IsSent());
  entry.PostPartCall({ kShared }, "k");
  CHECK(entry.IsSent());
  entry.Answer({ kShared }, "k");
  entry.PostPartCall({ kShared }, "o");
  CHECK(entry.IsSent());
  entry.PostPartCall({ kShared, kCrashing }, "o");
  CHECK_FALSE(entry.IsSent());
}

TEST_CASE("Entry: a started daemon reads the stored evidence until it has it",
          "[entry][part]")
{
  // Guards against a daemon that ends engines once more, because its only reading of the
  // store failed.
  EntryFixture entry;
  entry.Prepare();
  entry.Post(StoreReachabilityChanged{ .isReachable = true });
  entry.Advance(500ms);
  CHECK(entry.TakeActions<ReadPartEvidence>().size() == 1);
  entry.Advance(2s); // no answer
  CHECK_FALSE(entry.TakeActions<ReadPartEvidence>().empty());
  entry.Post(PartEvidenceRead{});
  entry.Advance(5s);
  CHECK(entry.TakeActions<ReadPartEvidence>().empty());
}

TEST_CASE("Entry: evidence that finds no room is logged", "[entry][part]")
{
  // Guards against a part that is never blocked, without a line that tells why.
  PartFixture entry;
  PeerDigest digest{ .daemon = "d2", .incarnation = 1, .sequence = 1 };
  for (uint32_t i = 0; i < 600; ++i) {
    digest.parts.starts.push_back({ .id = { .backend = i, .request = { .low = i } },
                                    .team = DigestKey("acme"),
                                    .ageMs = 0,
                                    .parts = { 0x70000000ULL + i } });
  }
  entry.Post(DigestReceived{ "10.0.0.2:1", digest });
  entry.actions.clear();
  const auto countLines = [&] {
    const auto lines = entry.TakeActions<WriteEvent>();
    return std::ranges::count(lines, "part_table_full", &WriteEvent::event);
  };
  entry.EndEngineWith({ kCrashing });
  CHECK(countLines() == 1);
  entry.EndEngineWith({ kCrashing });
  CHECK(countLines() == 0); // at most one a minute
}

TEST_CASE("Entry: no team's evidence pushes out that of another one", "[entry][part]")
{
  // Guards against a caller whose many broken requests hide one of another caller that
  // ends engines.
  PartEvidence evidence;
  for (uint32_t i = 0; i < 600; ++i) {
    evidence.AddOwn(kNow, StartOf(i, i, {}, 1));
  }
  const size_t most = evidence.Starts().size();
  CHECK(most < 600);
  for (uint32_t i = 0; i < 3; ++i) {
    CHECK(evidence.AddOwn(kNow, StartOf(1000 + i, 1000, {}, 2)) == StartRecorded::Yes);
  }
  CHECK(evidence.AddOwn(kNow, StartOf(2000, 2000, {}, 1)) == StartRecorded::TableFull);
  CHECK(evidence.Starts().size() == most);
  evidence.Update(kNow);
  CHECK(evidence.BlockFor(RequestPrint{ .low = 1000 }) != nullptr);
}

TEST_CASE("Entry: evidence about parts survives the wire and the store", "[entry][part]")
{
  // Guards against evidence that is lost or changed between daemons.
  PeerDigest digest{ .daemon = "d2" };
  digest.storeEra = 4;
  digest.parts.answered = { 5, 6 };
  digest.parts.starts = {
    { .id = { .backend = 1, .startedMs = 2, .request = { .high = 7, .low = 3 } },
      .team = 4,
      .ageMs = 5,
      .parts = { kCrashing, kShared },
      .isCleared = true }
  };
  digest.parts.trials = {
    { .part = kCrashing, .count = 1, .lastAgeMs = 2, .wantedAgeMs = 3 }
  };
  const std::string bytes = EncodeDigest(digest);
  const auto decoded = DecodeDigest(bytes);
  REQUIRE(decoded);
  CHECK(decoded->storeEra == 4);
  CHECK(decoded->parts.answered == digest.parts.answered);
  REQUIRE(decoded->parts.starts.size() == 1);
  CHECK(decoded->parts.starts[0].id == digest.parts.starts[0].id);
  CHECK(decoded->parts.starts[0].parts == digest.parts.starts[0].parts);
  CHECK(decoded->parts.starts[0].isCleared);
  REQUIRE(decoded->parts.trials.size() == 1);
  CHECK(decoded->parts.trials[0].wantedAgeMs == 3);

  PartFixture entry;
  entry.EndEngineWith({ kCrashing });
  const std::string text = EncodePartEvidence(entry.GetWorld());
  const auto stored = DecodePartEvidence(entry.GetWorld(), text);
  REQUIRE(stored);
  REQUIRE(stored->starts.size() == 1);
  CHECK(stored->starts[0].parts == std::vector<uint64_t>{ kCrashing });
  CHECK(stored->starts[0].id.request ==
        entry.GetWorld().partEvidence.Starts().begin()->first.request);
  CHECK_FALSE(DecodePartEvidence(entry.GetWorld(), "junk"));
  CHECK_FALSE(DecodePartEvidence(entry.GetWorld(), "{\"starts\":[{}],\"trials\":[]}"));
}

TEST_CASE("Entry: cost of the evidence about parts", "[.][part_cost]")
{
  // Prints the figures of docs/CAPACITY.md.
  const auto bytesOf = [](size_t aAnswered, size_t aStarts, size_t aTrials) {
    PeerDigest digest{ .daemon = "edge-cm-a-1", .incarnation = 1'780'000'000'000 };
    for (uint32_t i = 0; i < aAnswered; ++i) {
      digest.parts.answered.push_back(PartEvidence::KeyOf(i));
    }
    for (uint32_t i = 0; i < aStarts; ++i) {
      digest.parts.starts.push_back(
        { .id = { .backend = PartEvidence::KeyOf(i),
                  .startedMs = uint64_t{ 1'780'000'000'000 } + i,
                  .request = { .low = PartEvidence::KeyOf(i + 1) } },
          .team = 77,
          .ageMs = 12'345,
          .parts = { 0xb136d718ef79eb57 + i } });
    }
    for (uint32_t i = 0; i < aTrials; ++i) {
      digest.parts.trials.push_back({ .part = 0xb136d718ef79eb57 + i, .count = 1 });
    }
    return EncodeDigest(digest).size();
  };
  std::cout << "bytes: nothing " << bytesOf(0, 0, 0) << ", 4 answered "
            << bytesOf(4, 0, 0) << ", a start " << bytesOf(0, 1, 0) << ", the most "
            << bytesOf(32, 16, 8) << "\nbytes of memory: a start "
            << sizeof(BrokenStart) + sizeof(BrokenStartId) << " and its parts\n";
  PartEvidence evidence;
  for (uint32_t i = 0; i < 512; ++i) {
    evidence.Merge(kNow, StartOf(i, i, { i }));
  }
  constexpr int kRounds = 100'000;
  const auto began = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < kRounds; ++i) {
    evidence.RecordPeerAnswer(kNow, 0x80000000U + i % 2000);
  }
  const std::chrono::duration<double, std::micro> spent =
    std::chrono::steady_clock::now() - began;
  std::cout << "microseconds for an answered part of a peer: " << spent.count() / kRounds
            << '\n';
}

} // namespace gooseberrypath::entry
