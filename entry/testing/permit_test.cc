// Tests of the parts that keep a backend's limit for all daemons together: the choice of
// the granter, its bucket, the stock of a daemon, the messages, and what callers get.

#include <catch2/catch.hpp>

#include "entry/granter_choice.h"
#include "entry/permit_bucket.h"
#include "entry/permit_message.h"
#include "entry/permit_stock.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };

constexpr Duration kSettle = 1s;

GranterChoice ChoiceOf(const std::set<std::string>& aHosts)
{
  GranterChoice choice(kStart);
  for (const std::string& host : aHosts) {
    choice.SetEligible(kStart, host, true);
  }
  choice.SetAliveShare(kStart, 1, kSettle);
  return choice;
}

/// A daemon with a peer that grants the permits of all backends or of none.
class PermitFixture : public EntryFixture
{
public:
  PermitFixture()
  {
    Prepare();
    Hear(true);
    Advance(3s);
    Hear(true);
    Advance(200ms);
    actions.clear();
  }

  void Hear(bool aGrants, bool aIsStopping = false)
  {
    Post(DigestReceived{ .from = "d2:1",
                         .digest = { .daemon = "d2",
                                     .incarnation = 1,
                                     .sequence = ++sequence_,
                                     .isStopping = aIsStopping,
                                     .grantsPermits = aGrants } });
  }

  /// Lets both booking backends name a limit.
  void NameLimits(double aPerSecond)
  {
    for (const std::string id : { "booking1", "booking2" }) {
      Post(DigestReceived{ .from = "d2:1",
                           .digest = { .daemon = "d2",
                                       .incarnation = 1,
                                       .sequence = ++sequence_,
                                       .limits = { { DigestKey(id),
                                                     { .perSecond = aPerSecond,
                                                       .sentAt = 102s,
                                                       .receivedAt = 102s } } },
                                       .grantsPermits = true } });
    }
    actions.clear();
  }

  /// Removes the other booking backend.
  void KeepOnly(const std::string& aBackend)
  {
    const std::string other = aBackend == "booking1" ? "booking2" : "booking1";
    Post(FleetRead{ .changes = { BackendRemoved{ other } } });
    actions.clear();
  }

  /// Returns the requests for permits that were sent since the last call.
  std::vector<PermitRequest> TakeAsks()
  {
    std::vector<PermitRequest> asks;
    for (const SendPermitMessage& sent : TakeActions<SendPermitMessage>()) {
      if (const auto* ask = std::get_if<PermitRequest>(&sent.message)) {
        asks.push_back(*ask);
      }
    }
    return asks;
  }

  void Reply(const PermitRequest& aAsk, uint32_t aGranted, Duration aAskAgainAfter)
  {
    Post(PermitReplyReceived{ { .process = "d2/1",
                                .id = aAsk.id,
                                .backend = aAsk.backend,
                                .granted = aGranted,
                                .askAgainAfter = aAskAgainAfter,
                                .statement = aAsk.statement } });
  }

private:
  uint64_t sequence_ = 0;
};

/// Returns the booking backend whose permits the peer grants; the daemon itself grants
/// those of the other one.
std::string PeerGranted()
{
  GranterChoice choice = ChoiceOf({ "d1", "d2" });
  return choice.GranterOf(DigestKey("booking1")).host == "d2" ? "booking1" : "booking2";
}

} // namespace

TEST_CASE("Entry: two daemons do not grant the permits of one backend", "[entry][limit]")
{
  // Guards against a new granter that begins before the earlier one has heard of it.
  GranterChoice choice = ChoiceOf({ "d1" });
  CHECK(choice.GranterOf(7).host == "d1");
  CHECK(choice.GrantsFrom(choice.GranterOf(7)) == kStart + kSettle);
  const TimePoint later = kStart + 10s;
  for (int i = 0; i < 30; ++i) {
    choice.SetEligible(later, "d" + std::to_string(i), true);
  }
  const Granter granter = choice.GranterOf(7);
  SECTION("a daemon that was granter before goes on, another one waits")
  {
    CHECK(choice.GrantsFrom(granter) ==
          (granter.host == "d1" ? kStart + kSettle : later + kSettle));
  }
  SECTION("the granter stays while others come and go")
  {
    choice.SetEligible(later + 5s, granter.host == "d3" ? "d4" : "d3", false);
    CHECK(choice.GranterOf(7).host == granter.host);
    CHECK(choice.GrantsFrom(choice.GranterOf(7)) == choice.GrantsFrom(granter));
  }
  SECTION("after a suspension it waits again")
  {
    choice.Restart(later + 9s);
    CHECK(choice.GrantsFrom(choice.GranterOf(7)) == later + 10s);
  }
  SECTION("the backends of a service have different granters")
  {
    std::set<std::string> granters;
    for (uint32_t key = 0; key < 100; ++key) {
      granters.insert(choice.GranterOf(key).host);
    }
    CHECK(granters.size() > 15);
  }
}

TEST_CASE("Entry: a part of the daemons grants its share of a limit", "[entry][limit]")
{
  // Guards against two halves of the daemons that each grant the whole limit, also while
  // they find each other again.
  GranterChoice choice = ChoiceOf({ "d1" });
  CHECK(choice.Share() == 0);
  choice.SetAliveShare(kStart + 1s, 1, kSettle);
  CHECK(choice.Share() == 1);
  choice.SetAliveShare(kStart + 2s, 0.5, kSettle);
  CHECK(choice.Share() == 0.5);
  choice.SetAliveShare(kStart + 3s, 1, kSettle);
  choice.SetAliveShare(kStart + 3500ms, 0.75, kSettle);
  CHECK(choice.Share() == 0.5);
  choice.SetAliveShare(kStart + 4s, 1, kSettle);
  CHECK(choice.Share() == 0.75);
}

TEST_CASE("Entry: a granter grants no more than the rate", "[entry][limit]")
{
  // Guards against permits that are granted twice for a repeated request, or saved up
  // while nobody asks.
  PermitBucket bucket(kStart);
  bucket.SetRate(kStart, 4);
  CHECK(bucket.Grant(kStart, { .process = "p", .id = 1 }).permits == 0);
  CHECK(bucket.Grant(kStart, { .process = "p", .id = 2 }).askAgainAfter == 250ms);
  const TimePoint later = kStart + 250ms;
  CHECK(bucket.Grant(later, { .process = "p", .id = 3 }).permits == 1);
  CHECK(bucket.Grant(later, { .process = "p", .id = 3 }).permits == 1);
  CHECK(bucket.Grant(later, { .process = "p", .id = 2 }).permits == 0);
  CHECK(bucket.Grant(later, { .process = "q", .id = 1 }).permits == 0);
  uint32_t granted = 0;
  for (uint64_t id = 10; id < 30; ++id) {
    granted += bucket.Grant(later + 1h, { .process = "p", .id = id }).permits;
  }
  CHECK(granted == 4); // three, and what the rate brings in a quarter of a second
}

TEST_CASE("Entry: a granter slows down daemons that ask too often", "[entry][limit]")
{
  // Guards against a granter that spends its processor time on requests that get nothing.
  PermitBucket bucket(kStart);
  bucket.SetRate(kStart, 1);
  Duration longest{};
  for (int i = 0; i < 381; ++i) {
    const auto grant = bucket.Grant(
      kStart + 2s, { .process = "p" + std::to_string(i), .id = 1, .wanted = 50 });
    CHECK(grant.permits <= 2);
    longest = std::max(longest, grant.askAgainAfter);
  }
  CHECK(longest > 5s);
}

TEST_CASE("Entry: a late or unknown reply brings no permit", "[entry][limit]")
{
  // Guards against permits that reach the backend seconds after they were granted, on top
  // of those granted meanwhile.
  PermitStock stock;
  CHECK(stock.MayGet(kStart));
  CHECK_FALSE(stock.Take(kStart));
  stock.AddWaiting(kStart);
  const uint64_t id = stock.BeginAsk(kStart, 7).id;
  SECTION("in time")
  {
    CHECK(stock.EndAsk(kStart + 3ms, id, { .permits = 1 }));
    CHECK(stock.Take(kStart + 3ms));
    CHECK_FALSE(stock.Take(kStart + 3ms));
  }
  SECTION("more than asked for, and twice")
  {
    CHECK(stock.EndAsk(kStart + 3ms, id, { .permits = 9 }));
    CHECK_FALSE(stock.EndAsk(kStart + 3ms, id, { .permits = 9 }));
    CHECK(stock.Take(kStart + 3ms));
    CHECK_FALSE(stock.Take(kStart + 3ms));
  }
  SECTION("late")
  {
    stock.EndAsk(kStart + 600ms, id, { .permits = 1 });
    CHECK_FALSE(stock.Take(kStart + 600ms));
  }
  SECTION("after it was given up")
  {
    stock.Deny(kStart + 200ms);
    CHECK_FALSE(stock.EndAsk(kStart + 60ms, id, { .permits = 1 }));
    CHECK_FALSE(stock.MayGet(kStart + 100ms));
    CHECK(stock.MayGet(kStart + 200ms));
  }
  SECTION("a denial without a time still pauses the requests")
  {
    stock.EndAsk(kStart, id, {});
    CHECK_FALSE(stock.MayGet(kStart));
  }
}

TEST_CASE("Entry: permit messages are decoded as they were sent", "[entry][limit]")
{
  // Guards against a message that is taken for a digest, and against values from outside
  // that no limit can have.
  const LimitStatement statement{ .perSecond = 1.5, .sentAt = 10ms, .receivedAt = 12ms };
  const std::string request = EncodePermitMessage(PermitRequest{
    .process = "d1/9", .id = 4, .backend = 7, .wanted = 3, .statement = statement });
  REQUIRE(IsPermitMessage(request));
  const auto asked = std::get<PermitRequest>(*DecodePermitMessage(request));
  CHECK(asked.process == "d1/9");
  CHECK(asked.wanted == 3);
  CHECK(asked.statement == statement);
  const std::string reply = EncodePermitMessage(
    PermitReply{ .process = "d2/8", .id = 4, .granted = 2, .askAgainAfter = 1h });
  const auto answered = std::get<PermitReply>(*DecodePermitMessage(reply));
  CHECK(answered.granted == 2);
  CHECK(answered.askAgainAfter == 10s);
  CHECK_FALSE(answered.statement.perSecond);
  CHECK_FALSE(IsPermitMessage(EncodeDigest({ .daemon = "d1" })));
  CHECK_FALSE(DecodeDigest(request));
  CHECK_FALSE(DecodePermitMessage(EncodePermitMessage(PermitRequest{})));
  for (const double malformed : { -1.0, HUGE_VAL, std::nan("") }) {
    CHECK_FALSE(DecodePermitMessage(EncodePermitMessage(
      PermitRequest{ .process = "d1", .statement = { .perSecond = malformed } })));
    CHECK_FALSE(DecodeDigest(
      EncodeDigest({ .daemon = "d1", .limits = { { 7, { .perSecond = malformed } } } })));
  }
  for (size_t length = 0; length < request.size(); ++length) {
    CHECK_FALSE(DecodePermitMessage(request.substr(0, length)));
  }
}

TEST_CASE("Entry: a call without a permit goes to another backend at once",
          "[entry][limit]")
{
  // Guards against a call that waits for a limited backend while another one could serve.
  PermitFixture entry;
  entry.NameLimits(1);
  const std::string asked = PeerGranted();
  entry.PostCall("status");
  const auto asks = entry.TakeAsks();
  if (asks.empty()) {
    // The daemon grants the permits of the chosen backend itself.
    CHECK(entry.SendLatestAttempt().backend != asked);
    return;
  }
  CHECK(asks[0].backend == DigestKey(asked));
  entry.Reply(asks[0], 0, 700ms);
  CHECK(entry.SendLatestAttempt().backend != asked);
}

TEST_CASE("Entry: calls are refused at once while all backends are at their limits",
          "[entry][limit]")
{
  // Guards against calls that are held until their deadlines, or refused without a time
  // after which there is room.
  PermitFixture entry;
  entry.NameLimits(0);
  // The bucket of the daemon's own backend has no permit at first; the peer denies.
  entry.PostCall("status");
  for (const PermitRequest& ask : entry.TakeAsks()) {
    entry.Reply(ask, 0, 700ms);
  }
  entry.Advance(10ms);
  const auto refused = entry.TakeActions<WriteResponse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].status == 503);
  CHECK_FALSE(FindHeader(refused[0].headers, "Retry-After").empty());
  CHECK(entry.GetWorld().counters.Get(EntryCounter::LimitsRefused) == 1);
  // The next call is refused in the same tick, without a request for permits.
  entry.PostCall("pickups");
  CHECK(entry.TakeAsks().empty());
  CHECK(entry.LastStatus() == 503);
  CHECK(entry.TakeActions<StartAttempt>().empty());
  // A limit of 0 does not lose the backend for good: some calls still ask it.
  entry.Advance(5s);
  entry.Hear(true);
  entry.PostCall("status");
  const bool isTried =
    !entry.TakeAsks().empty() || entry.SendLatestAttempt().attempt.value > 0;
  CHECK(isTried);
}

TEST_CASE("Entry: a granter that does not reply delays a call only briefly",
          "[entry][limit]")
{
  // Guards against calls that hang while the daemon that grants permits is down.
  PermitFixture entry;
  entry.NameLimits(1);
  entry.KeepOnly(PeerGranted());
  entry.PostCall("status");
  CHECK(entry.TakeAsks().size() == 1);
  entry.Advance(40ms);
  const auto repeats = entry.TakeAsks();
  REQUIRE_FALSE(repeats.empty());
  entry.Advance(20ms);
  CHECK(entry.LastStatus() == 503);
  // A reply that comes now is not used.
  entry.Reply(repeats[0], 1, 0ms);
  CHECK(entry.TakeActions<StartAttempt>().empty());
  CHECK(entry.GetWorld().counters.Get(EntryCounter::PermitsUnanswered) == 1);
}

TEST_CASE("Entry: each attempt at a limited backend uses a permit", "[entry][limit]")
{
  // Guards against second attempts that do not count towards the limit.
  PermitFixture entry;
  entry.NameLimits(1);
  entry.KeepOnly(PeerGranted());
  entry.PostCall("status");
  auto asks = entry.TakeAsks();
  REQUIRE(asks.size() == 1);
  entry.Reply(asks[0], 1, 500ms);
  const StartAttempt first = entry.SendLatestAttempt();
  REQUIRE(first.attempt.value > 0);
  entry.Respond(first, 500);
  CHECK(entry.TakeActions<StartAttempt>().empty());
  CHECK(entry.LastStatus() == 502);
}

TEST_CASE("Entry: a backend without a limit needs no permit", "[entry][limit]")
{
  // Guards against calls that are delayed or refused although no limit is in force.
  PermitFixture entry;
  entry.NameLimits(1);
  for (const std::string id : { "booking1", "booking2" }) {
    entry.Post(
      PermitReplyReceived{ { .process = "d2/1",
                             .backend = DigestKey(id),
                             .statement = { .sentAt = 103s, .receivedAt = 103s } } });
  }
  for (int i = 0; i < 20; ++i) {
    entry.PostCall("status");
    CHECK(entry.SendLatestAttempt().attempt.value > 0);
  }
  CHECK(entry.TakeAsks().empty());
}

} // namespace gooseberrypath::entry
