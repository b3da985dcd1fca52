// Tests of the placement of calls across daemons, at the daemon that asks and at the
// placer, without a network.

#include <ctime>
#include <iostream>

#include <catch2/catch.hpp>

#include "entry/placement_message.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr size_t kPeers = 20;

/// Returns the host that places the calls of the booking service.
std::string PlacerAmong(const std::set<std::string>& aHosts)
{
  GranterChoice choice(TimePoint{});
  for (const std::string& host : aHosts) {
    choice.SetEligible(TimePoint{}, host, true);
  }
  return choice.GranterOf(DigestKey("booking")).host;
}

std::set<std::string> PeerHosts()
{
  std::set<std::string> hosts;
  for (size_t i = 0; i < kPeers; ++i) {
    hosts.insert("p" + std::to_string(i));
  }
  return hosts;
}

/// Returns a host name with which this daemon is the placer of the booking service, or
/// with which a peer is.
std::string OwnHost(bool aIsPlacer)
{
  for (int i = 0;; ++i) {
    std::string own = "d" + std::to_string(i);
    std::set<std::string> hosts = PeerHosts();
    hosts.insert(own);
    if ((PlacerAmong(hosts) == own) == aIsPlacer) {
      return own;
    }
  }
}

/// A daemon with peers, whose booking backends send load reports.
class PlacementFixture : public EntryFixture
{
public:
  explicit PlacementFixture(bool aIsPlacer = false)
    : EntryFixture({ .host = OwnHost(aIsPlacer),
                     .dataCentre = "c1",
                     .dataCentres = { "c1" },
                     .retryBudget = { .extra = 1000 } })
  {
    Prepare();
    Wait(4s);
    Answer(AnyAttempt("pickups"), 0);
    actions.clear();
  }

  /// Lets time pass in which all peers are heard.
  void Wait(Duration aTime)
  {
    for (Duration elapsed{}; elapsed < aTime; elapsed += 200ms) {
      for (const std::string& host : PeerHosts()) {
        Hear(host);
      }
      Advance(200ms);
    }
  }

  void Hear(const std::string& aHost)
  {
    if (silent != aHost) {
      Post(DigestReceived{ .from = aHost + ":1",
                           .digest = { .daemon = aHost,
                                       .incarnation = 1,
                                       .sequence = ++sequence_,
                                       .grantsPermits = true } });
    }
  }

  /// Starts a call and returns its attempt, which was sent.
  StartAttempt AnyAttempt(const std::string& aRoute)
  {
    PostCall(aRoute);
    return SendLatestAttempt();
  }

  /// Answers an attempt with a load report.
  void Answer(const StartAttempt& aAttempt, uint32_t aRunning)
  {
    ResponseHead head{ .status = 200, .hasResponseStamp = true };
    head.load.report = LoadReport{ .running = aRunning, .slots = 6 };
    Post(AttemptAnswered{ aAttempt.attempt, head, "body" });
  }

  /// Returns the placement messages of a kind that were sent since the last call.
  template<typename M>
  std::vector<M> Take()
  {
    std::vector<M> taken;
    std::erase_if(actions, [&](const Action& aAction) {
      const auto* sent = std::get_if<SendPlacementMessage>(&aAction);
      const M* found = sent == nullptr ? nullptr : std::get_if<M>(&sent->message);
      if (found != nullptr) {
        taken.push_back(*found);
      }
      return found != nullptr;
    });
    return taken;
  }

  /// Starts a call and returns its request to the placer.
  PlaceRequest Ask()
  {
    exchange = PostCall("status");
    const auto asked = Take<PlaceRequest>();
    REQUIRE(asked.size() == 1);
    CHECK(TakeActions<StartAttempt>().empty());
    return asked[0];
  }

  void Reply(const PlaceRequest& aRequest, PlaceOutcome aOutcome, Duration aWait = {})
  {
    Post(PlaceReplyReceived{ .from = "p:1",
                             .reply = { .id = aRequest.id,
                                        .service = aRequest.service,
                                        .outcome = aOutcome,
                                        .backend = DigestKey("booking2"),
                                        .wait = aWait } });
  }

  uint64_t Count(EntryCounter aCounter) { return GetWorld().counters.Get(aCounter); }

  std::string silent; // host of a peer that is not heard
  ExchangeId exchange;

private:
  uint64_t sequence_ = 0;
};

/// Posts a request of a peer to a daemon that may be the placer and returns the reply.
PlaceReply Request(PlacementFixture& aEntry, uint64_t aId,
                   const std::string& aHost = "p1")
{
  aEntry.Post(PlaceRequestReceived{ .from = aHost + ":1",
                                    .request = { .process = aHost + "/1",
                                                 .id = aId,
                                                 .service = DigestKey("booking"),
                                                 .timeLeft = 2s,
                                                 .latencyObjective = 500ms } });
  const auto replies = aEntry.Take<PlaceReply>();
  REQUIRE(replies.size() == 1);
  return replies[0];
}

} // namespace

TEST_CASE("Entry: placement messages are decoded as they were sent", "[entry][placement]")
{
  // Guards against a message that is taken for another kind, and against values from
  // outside that cannot be.
  const std::string request =
    EncodePlacementMessage(PlaceRequest{ .process = "d1/9",
                                         .id = 4,
                                         .service = 7,
                                         .priority = 2,
                                         .team = 5,
                                         .dataCentre = 6,
                                         .timeLeft = 2s,
                                         .latencyObjective = 300ms,
                                         .excluded = { 11, 12 } });
  const auto asked = std::get<PlaceRequest>(*DecodePlacementMessage(request));
  CHECK(asked.process == "d1/9");
  CHECK(asked.timeLeft == 2s);
  CHECK(asked.excluded == std::vector<uint32_t>{ 11, 12 });
  const auto reply = std::get<PlaceReply>(*DecodePlacementMessage(EncodePlacementMessage(
    PlaceReply{ .id = 4, .outcome = PlaceOutcome::Held, .wait = 80ms })));
  CHECK(reply.outcome == PlaceOutcome::Held);
  CHECK(reply.wait == 80ms);
  const LoadReport load{ .running = 3, .waiting = 1, .slots = 6, .pace = 1.5 };
  const std::string release =
    EncodePlacementMessage(PlaceRelease{ .process = "d1/9",
                                         .id = 4,
                                         .service = 7,
                                         .backend = 8,
                                         .wasUsed = true,
                                         .timeAtBackend = 31ms,
                                         .report = AgedLoadReport{ load, 3ms } });
  const auto ended = std::get<PlaceRelease>(*DecodePlacementMessage(release));
  CHECK(ended.wasUsed);
  CHECK(ended.timeAtBackend == 31ms);
  CHECK(ended.report->report == load);
  CHECK_FALSE(IsPermitMessage(request));
  CHECK_FALSE(IsPlacementMessage(EncodeDigest({ .daemon = "d1" })));
  CHECK_FALSE(DecodeDigest(request));
  CHECK_FALSE(DecodePlacementMessage(EncodePlacementMessage(PlaceRequest{})));
  for (const double malformed : { -1.0, 0.0, HUGE_VAL, std::nan("") }) {
    CHECK_FALSE(DecodePlacementMessage(EncodePlacementMessage(PlaceRelease{
      .process = "d1", .report = AgedLoadReport{ { .pace = malformed }, 0ms } })));
  }
  for (size_t length = 0; length < request.size(); ++length) {
    CHECK_FALSE(DecodePlacementMessage(request.substr(0, length)));
  }
  // With IP and UDP headers, the three messages of a call stay under 400 bytes.
  const std::string placed =
    EncodePlacementMessage(PlaceReply{ .id = 70'000,
                                       .service = 0xf1234567,
                                       .outcome = PlaceOutcome::Placed,
                                       .backend = 0xf7654321 });
  CHECK(request.size() + placed.size() + release.size() + 3 * size_t{ 28 } < 400);
}

TEST_CASE("Entry: a call starts at the backend that the placer names",
          "[entry][placement]")
{
  // Guards against calls that choose alone while a placer answers, and against placements
  // that are not released.
  PlacementFixture entry;
  const PlaceRequest request = entry.Ask();
  CHECK(request.service == DigestKey("booking"));
  CHECK(EncodePlacementMessage(request).find("r2") == std::string::npos);
  entry.Reply(request, PlaceOutcome::Placed);
  const StartAttempt attempt = entry.SendLatestAttempt();
  CHECK(attempt.backend == "booking2");
  CHECK(entry.Take<PlaceRelease>().empty());
  entry.Answer(attempt, 4);
  const auto released = entry.Take<PlaceRelease>();
  REQUIRE(released.size() == 1);
  CHECK(released[0].id == request.id);
  CHECK(released[0].backend == DigestKey("booking2"));
  CHECK(released[0].wasUsed);
  CHECK(released[0].report->report.running == 4);
  // A call that failed asks again, without the backend at which it failed.
  const PlaceRequest second = entry.Ask();
  entry.Reply(second, PlaceOutcome::Placed);
  entry.Respond(entry.SendLatestAttempt(), 500);
  CHECK(entry.Take<PlaceRelease>().size() == 1);
  const auto again = entry.Take<PlaceRequest>();
  REQUIRE(again.size() == 1);
  CHECK(again[0].excluded == std::vector<uint32_t>{ DigestKey("booking2") });
}

TEST_CASE("Entry: services that the placer does not know of are not placed",
          "[entry][placement]")
{
  // Guards against requests for model services, for services without load reports, and in
  // small deployments.
  PlacementFixture entry;
  entry.PostCall("questions", "k", ModelDemand{ .promptTokens = 9 });
  CHECK(entry.SendLatestAttempt().attempt.value > 0);
  CHECK(entry.Take<PlaceRequest>().empty());
  entry.Wait(6s); // no report came
  CHECK(entry.AnyAttempt("status").attempt.value > 0);
  EntryFixture small;
  small.Prepare();
  for (int i = 0; i < 2; ++i) {
    small.PostCall("status");
    const StartAttempt attempt = small.SendLatestAttempt();
    ResponseHead head{ .status = 200, .hasResponseStamp = true };
    head.load.report = LoadReport{ .slots = 6 };
    small.Post(AttemptAnswered{ attempt.attempt, head, "" });
    CHECK(small.LastStatus() == 200);
  }
}

TEST_CASE("Entry: without a reply a daemon chooses alone", "[entry][placement]")
{
  // Guards against calls that hang while a datagram is lost or the placer is down, and
  // against slots that a late reply would keep in use.
  PlacementFixture entry;
  const PlaceRequest request = entry.Ask();
  entry.Advance(10ms);
  const StartAttempt attempt = entry.SendLatestAttempt();
  CHECK(attempt.attempt.value > 0);
  CHECK(entry.Count(EntryCounter::PlacementsUnanswered) == 1);
  REQUIRE(entry.Take<PlaceRelease>().size() == 1);
  SECTION("the reply comes late")
  {
    entry.Reply(request, PlaceOutcome::Placed);
    const auto released = entry.Take<PlaceRelease>();
    REQUIRE(released.size() == 1);
    CHECK(released[0].id == request.id);
    CHECK_FALSE(released[0].wasUsed);
    CHECK(entry.TakeActions<StartAttempt>().empty());
  }
  SECTION("the placer is not asked for a while")
  {
    CHECK(entry.AnyAttempt("status").attempt.value > 0);
    CHECK(entry.Take<PlaceRequest>().empty());
    entry.Wait(200ms);
    entry.Ask();
  }
  SECTION("the end of the call is not told to anyone")
  {
    entry.Answer(attempt, 1);
    CHECK(entry.Take<PlaceRelease>().empty());
    CHECK(entry.LastStatus() == 200);
  }
}

TEST_CASE("Entry: the placer may hold or refuse a call", "[entry][placement]")
{
  // Guards against a held call that keeps a place in the queue after its caller left,
  // against one that waits for a lost reply, and against calls that are sent although
  // they were refused.
  PlacementFixture entry;
  const PlaceRequest request = entry.Ask();
  SECTION("refused")
  {
    entry.Reply(request, PlaceOutcome::Refused, 70ms);
    const auto responses = entry.TakeActions<WriteResponse>();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].status == 503);
    CHECK(FindHeader(responses[0].headers, "Retry-After") == "0.070");
    CHECK(entry.TakeActions<StartAttempt>().empty());
    CHECK(entry.Take<PlaceRelease>().empty());
  }
  SECTION("not the placer")
  {
    entry.Reply(request, PlaceOutcome::NotPlacer);
    CHECK(entry.SendLatestAttempt().attempt.value > 0);
  }
  SECTION("placed at a backend that cannot be used")
  {
    entry.AddBackend("booking2", "booking", 2, true);
    entry.Reply(request, PlaceOutcome::Placed);
    CHECK(entry.SendLatestAttempt().backend == "booking1");
    REQUIRE(entry.Take<PlaceRelease>().size() == 1);
    CHECK(entry.Count(EntryCounter::PlacementsGivenUp) == 1);
  }
  SECTION("held")
  {
    entry.Reply(request, PlaceOutcome::Held, 300ms);
    for (int i = 0; i < 4; ++i) {
      entry.Advance(25ms);
      const auto repeated = entry.Take<PlaceRequest>();
      REQUIRE(repeated.size() == 1);
      CHECK(repeated[0].id == request.id);
      CHECK(repeated[0].timeLeft < request.timeLeft);
      entry.Reply(request, PlaceOutcome::Held, 300ms);
    }
    CHECK(entry.TakeActions<StartAttempt>().empty());
    SECTION("and placed")
    {
      entry.Reply(request, PlaceOutcome::Placed);
      CHECK(entry.SendLatestAttempt().backend == "booking2");
    }
    SECTION("and the caller leaves")
    {
      entry.Post(CallerDisconnected{ entry.exchange });
      const auto released = entry.Take<PlaceRelease>();
      REQUIRE(released.size() == 1);
      CHECK_FALSE(released[0].wasUsed);
      entry.Reply(request, PlaceOutcome::Placed);
      CHECK(entry.TakeActions<StartAttempt>().empty());
      CHECK(entry.Take<PlaceRelease>().size() == 1);
    }
    SECTION("and the second reply is lost")
    {
      entry.Advance(25ms);
      CHECK(entry.Take<PlaceRequest>().size() == 1);
      entry.Advance(10ms);
      CHECK(entry.SendLatestAttempt().attempt.value > 0);
      CHECK(entry.Take<PlaceRelease>().size() == 1);
    }
  }
}

TEST_CASE("Entry: a dead placer is replaced", "[entry][placement]")
{
  // Guards against daemons that ask a daemon which is gone, and against a new placer that
  // begins before the former one has heard of it.
  PlacementFixture entry;
  std::set<std::string> hosts = PeerHosts();
  entry.silent = PlacerAmong(hosts);
  hosts.erase(entry.silent);
  entry.Wait(2s);
  entry.Answer(entry.AnyAttempt("pickups"), 0);
  entry.Take<PlaceRequest>();
  entry.TakeActions<SendPlacementMessage>();
  entry.PostCall("status");
  const auto sent = entry.TakeActions<SendPlacementMessage>();
  const std::string own = entry.GetWorld().options.host;
  hosts.insert(own);
  const std::string next = PlacerAmong(hosts);
  REQUIRE(next != own);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == next + ":1");
}

TEST_CASE("Entry: the placer serves all daemons and itself", "[entry][placement]")
{
  // Guards against more calls than slots, and against a placer that sends datagrams to
  // itself.
  PlacementFixture entry(true);
  std::map<uint32_t, int> placed;
  // One call beyond the slots of each backend is on its way while a slot becomes free.
  for (uint64_t id = 1; id <= 13; ++id) {
    const PlaceReply reply = Request(entry, id);
    CHECK(reply.outcome == PlaceOutcome::Placed);
    ++placed[reply.backend];
  }
  const StartAttempt own = entry.AnyAttempt("status");
  CHECK(own.attempt.value > 0);
  ++placed[DigestKey(own.backend)];
  CHECK(placed[DigestKey("booking1")] == 7);
  CHECK(placed[DigestKey("booking2")] == 7);
  CHECK(Request(entry, 14).outcome == PlaceOutcome::Held);
  CHECK(entry.Take<PlaceReply>().empty());
  entry.Answer(own, 6);
  const auto replies = entry.Take<PlaceReply>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].id == 14);
  CHECK(replies[0].outcome == PlaceOutcome::Placed);
  CHECK(entry.Take<PlaceRequest>().empty());
  CHECK(entry.Take<PlaceRelease>().empty());
}

TEST_CASE("Entry: a placer that was suspended does not place at once",
          "[entry][placement]")
{
  // Guards against two placers: while this process was suspended, another daemon became
  // the placer.
  PlacementFixture entry(true);
  CHECK(Request(entry, 1).outcome == PlaceOutcome::Placed);
  entry.Suspend(3s);
  CHECK(Request(entry, 2).outcome == PlaceOutcome::NotPlacer);
  entry.Wait(4s);
  CHECK(Request(entry, 3).outcome == PlaceOutcome::Placed);
}

TEST_CASE("Entry: a placer that stops or is replaced answers the held requests",
          "[entry][placement]")
{
  // Guards against calls that wait for a daemon that no longer places.
  PlacementFixture entry(true);
  for (uint64_t id = 1; id <= 14; ++id) {
    Request(entry, id);
  }
  CHECK(Request(entry, 15).outcome == PlaceOutcome::Held);
  SECTION("it stops")
  {
    entry.Post(StopRequested{});
  }
  SECTION("another daemon is ranked first")
  {
    std::set<std::string> hosts = PeerHosts();
    hosts.insert(entry.GetWorld().options.host);
    std::string next;
    for (int i = 0; next.empty(); ++i) {
      const std::string host = "n" + std::to_string(i);
      hosts.insert(host);
      next = PlacerAmong(hosts) == host ? host : "";
      hosts.erase(host);
    }
    entry.Hear(next);
  }
  entry.Advance(200ms);
  const auto replies = entry.Take<PlaceReply>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].outcome == PlaceOutcome::NotPlacer);
  CHECK(Request(entry, 14).outcome == PlaceOutcome::NotPlacer);
}

TEST_CASE("Entry: the cost of placement", "[.][placement_cost]")
{
  // Measures the figures on docs/CAPACITY.md. Started by hand.
  constexpr uint64_t kRounds = 20'000;
  PlacementFixture entry(true);
  const std::clock_t start = std::clock();
  for (uint64_t id = 1; id <= kRounds; ++id) {
    const uint32_t backend = Request(entry, id).backend;
    entry.Post(PlaceReleaseReceived{
      { .process = "p1/1",
        .id = id,
        .service = DigestKey("booking"),
        .backend = backend,
        .wasUsed = true,
        .timeAtBackend = 30ms,
        .report = AgedLoadReport{ { .running = 1, .slots = 6 }, 0ms } } });
    entry.actions.clear();
  }
  const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  std::cout << "processor time of a placement and its release at the placer: "
            << seconds * 1e6 / kRounds << " us\n";
}

} // namespace gooseberrypath::entry
